package gateway

import (
	"container/list"
	"sync"
	"time"
)

const (
	// chainCacheBytes bounds the texts that are kept so that the next turn of a program needs no copy from
	// the holder of its partition.
	chainCacheBytes = 3 << 20
	// chainCacheAge is above the usual time between two turns of a program, tools included.
	chainCacheAge = 6 * time.Second
)

type chain struct {
	id   string
	body []byte
	at   time.Time
}

// chainCache keeps the texts of the newest turns that passed here.
type chainCache struct {
	mu    sync.Mutex
	byID  map[string]*list.Element
	order *list.List // oldest first
	bytes int
}

func newChainCache() *chainCache {
	return &chainCache{byID: make(map[string]*list.Element), order: list.New()}
}

func (c *chainCache) get(id string) ([]byte, bool) {
	if id == "" {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil, false
	}
	return e.Value.(chain).body, true
}

func (c *chainCache) put(id string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[id] != nil {
		return
	}
	c.byID[id] = c.order.PushBack(chain{id: id, body: body, at: time.Now()})
	c.bytes += len(body)
	for c.bytes > chainCacheBytes {
		c.drop(c.order.Front())
	}
}

// prune drops texts that are unlikely to be continued.
func (c *chainCache) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.order.Front(); e != nil && now.Sub(e.Value.(chain).at) > chainCacheAge; e = c.order.Front() {
		c.drop(e)
	}
}

func (c *chainCache) drop(e *list.Element) {
	old := c.order.Remove(e).(chain)
	delete(c.byID, old.id)
	c.bytes -= len(old.body)
}

// affinity remembers which endpoint has the memory of a program's turns.
type affinity struct {
	mu    sync.Mutex
	place map[string]placement // by program
}

type placement struct {
	endpoint string
	at       time.Time
}

// affinityAge is how long a placement is remembered.
const affinityAge = 10 * time.Second

func newAffinity() *affinity { return &affinity{place: make(map[string]placement)} }

// Shares of a turn's time that an endpoint saves which has its chain in memory: reading a token of the
// prompt takes a small part of the time of generating one, and chains are several times as long as
// answers.
const (
	chainSaving  = 0.25
	bytesPerTurn = 4 << 10
)

// saves returns what share of its time a request saves at endpoints.
func (a *affinity) saves(m Meta, prefix []byte) map[string]float64 {
	if m.Program == "" || len(prefix) == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.place[m.Program]
	if !ok {
		return nil
	}
	return map[string]float64{p.endpoint: chainSaving * min(1, float64(len(prefix))/(3*bytesPerTurn))}
}

func (a *affinity) placed(m Meta, endpoint string) {
	if m.Program == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.place[m.Program] = placement{endpoint: endpoint, at: time.Now()}
}

func (a *affinity) prune(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for program, p := range a.place {
		if now.Sub(p.at) > affinityAge {
			delete(a.place, program)
		}
	}
}
