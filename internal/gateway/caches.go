package gateway

import (
	"container/list"
	"sync"
	"time"
)

const (
	// prefixCacheBytes bounds the total size of the cached texts. A cached text saves the next turn of a
	// program a copy from the instance that holds the program's history partition.
	prefixCacheBytes = 3 << 20
	// prefixCacheAge is longer than the usual time between two turns of a program, including tool calls.
	prefixCacheAge = 6 * time.Second
)

type cachedPrefix struct {
	id      string // of the turn that the text ends with
	body    []byte
	addedAt time.Time
}

// prefixCache holds, by turn, the text of the turn's chain (the turn and all turns before it), for the latest
// turns that this instance served. It is safe for concurrent use.
type prefixCache struct {
	mu    sync.Mutex
	byID  map[string]*list.Element
	order *list.List // oldest first
	bytes int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{byID: make(map[string]*list.Element), order: list.New()}
}

// get returns the text up to and including a turn, and whether it is known. The text before a program's first
// turn, whose ID is empty, is known to be empty.
func (c *prefixCache) get(id string) ([]byte, bool) {
	if id == "" {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil, false
	}
	return e.Value.(cachedPrefix).body, true
}

func (c *prefixCache) put(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[id] != nil {
		return
	}
	c.byID[id] = c.order.PushBack(cachedPrefix{id: id, body: body, addedAt: time.Now()})
	c.bytes += len(body)
	for c.bytes > prefixCacheBytes {
		c.drop(c.order.Front())
	}
}

// prune drops the texts that are older than prefixCacheAge and so unlikely to be continued.
func (c *prefixCache) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.order.Front(); e != nil && now.Sub(e.Value.(cachedPrefix).addedAt) > prefixCacheAge; e = c.order.Front() {
		c.drop(e)
	}
}

func (c *prefixCache) drop(e *list.Element) {
	old := c.order.Remove(e).(cachedPrefix)
	delete(c.byID, old.id)
	c.bytes -= len(old.body)
}

// affinity records which endpoint has a program's prompt prefix in its cache. It is safe for concurrent use.
type affinity struct {
	mu         sync.Mutex
	placements map[string]placement // by program
}

type placement struct {
	endpoint string
	addedAt  time.Time
}

// affinityTTL is how long a placement is remembered.
const affinityTTL = 10 * time.Second

func newAffinity() *affinity { return &affinity{placements: make(map[string]placement)} }

// Estimate of the time that a turn saves at an endpoint that has its prefix cached: processing a prompt token
// takes a small part of the time of generating one, and prefixes are several times as long as outputs.
const (
	prefixSaving = 0.25    // fraction of the turn's time that a prefix of three turns or more saves
	bytesPerTurn = 4 << 10 // assumed length of the text of a turn
)

// savings returns by endpoint the fraction of its time that a request is expected to save there.
func (a *affinity) savings(program string, prefix []byte) map[string]float64 {
	if program == "" || len(prefix) == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.placements[program]
	if !ok {
		return nil
	}
	return map[string]float64{p.endpoint: prefixSaving * min(1, float64(len(prefix))/(3*bytesPerTurn))}
}

func (a *affinity) record(program, endpoint string) {
	if program == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.placements[program] = placement{endpoint: endpoint, addedAt: time.Now()}
}

func (a *affinity) prune(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for program, p := range a.placements {
		if now.Sub(p.addedAt) > affinityTTL {
			delete(a.placements, program)
		}
	}
}
