package enginestand

import (
	"crypto/sha256"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"ragwortstile/internal/engine"
)

// maxEvents bounds the cache events that can be read; older ones are lost.
const maxEvents = 1 << 16

// cachedMessage is a message of a cached prefix.
type cachedMessage struct {
	Sum    [sha256.Size]byte `json:"sum"`
	Tokens int64             `json:"tokens"`
}

// cacheEntry is the prefix of one tag.
type cacheEntry struct {
	Messages []cachedMessage `json:"messages"`
	Tokens   int64           `json:"tokens"`
	used     uint64          // clock of the last use
	reused   bool            // found by a request since it was filled
}

// storedEvent is a cache event with the time at which it happened.
type storedEvent struct {
	event engine.WireCacheEvent
	at    time.Time
}

// prefixCache keeps prefixes by tag and evicts those that were not used for the longest time.
type prefixCache struct {
	limit   int64
	tokens  int64
	clock   uint64
	entries map[string]*cacheEntry
	events  []storedEvent
	next    uint64 // offset of the next event
}

func newPrefixCache(limit int64) prefixCache {
	return prefixCache{limit: limit, entries: make(map[string]*cacheEntry)}
}

func (c *prefixCache) held() map[string]int64 {
	all := make(map[string]int64, len(c.entries))
	for tag, entry := range c.entries {
		all[tag] = entry.Tokens
	}
	return all
}

// lookup returns the tokens of the messages at the start that the tag's entry shares.
func (c *prefixCache) lookup(tag string, messages []json.RawMessage) int64 {
	entry := c.entries[tag]
	if entry == nil {
		return 0
	}
	var shared int64
	for i, m := range messages {
		if i >= len(entry.Messages) || entry.Messages[i].Sum != sha256.Sum256(compact(m)) {
			break
		}
		shared += entry.Messages[i].Tokens
	}
	if shared > 0 {
		entry.reused = true
		c.touch(entry)
	}
	return shared
}

func (c *prefixCache) touch(entry *cacheEntry) {
	c.clock++
	entry.used = c.clock
}

// put replaces the entry of a tag and evicts others until the memory suffices. It returns the
// evicted tokens that were never reused.
func (c *prefixCache) put(tag string, entry cacheEntry, event func(kind, tag string, tokens int64)) int64 {
	old := c.entries[tag]
	if old != nil {
		c.tokens -= old.Tokens
		entry.reused = old.reused
	}
	c.entries[tag] = &entry
	c.tokens += entry.Tokens
	c.touch(&entry)
	event(engine.KindStored, tag, entry.Tokens)
	var wasted int64
	for c.tokens > c.limit {
		oldest := c.oldest()
		evicted := c.entries[oldest]
		if !evicted.reused {
			wasted += evicted.Tokens
		}
		c.remove(oldest)
		event(engine.KindEvicted, oldest, evicted.Tokens)
	}
	return wasted
}

func (c *prefixCache) oldest() string {
	var tag string
	var used uint64
	for t, entry := range c.entries {
		if tag == "" || entry.used < used {
			tag, used = t, entry.used
		}
	}
	return tag
}

func (c *prefixCache) remove(tag string) {
	c.tokens -= c.entries[tag].Tokens
	delete(c.entries, tag)
}

// tagsOf returns the tags of a program, or the one of its branch if that is not empty.
func (c *prefixCache) tagsOf(prog, branch string) []string {
	var tags []string
	for tag := range c.entries {
		p, b, _ := strings.Cut(tag, "/")
		if p == prog && (branch == "" || b == branch) {
			tags = append(tags, tag)
		}
	}
	sort.Strings(tags)
	return tags
}

func (e *Engine) lookup(tag string, messages []json.RawMessage) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.lookup(tag, messages)
}

// store caches the messages of a request; the last one has lastTokens tokens unless that is 0. A
// request that a restart or a cancellation ended stores nothing.
func (e *Engine) store(q *request, messages []json.RawMessage, lastTokens int) {
	if q.tag == "" {
		return
	}
	var entry cacheEntry
	for i, m := range messages {
		tokens := promptTokens(m)
		if i == len(messages)-1 && lastTokens > 0 {
			tokens = int64(lastTokens)
		}
		entry.Messages = append(entry.Messages, cachedMessage{Sum: sha256.Sum256(compact(m)), Tokens: tokens})
		entry.Tokens += tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.generation != e.generation || q.ctx.Err() != nil {
		return
	}
	e.stats.WastedTokens += e.cache.put(q.tag, entry, e.cacheEvent)
	e.sample()
}

// cacheEvent notes an event, or loses it. The caller holds the lock.
func (e *Engine) cacheEvent(kind, tag string, tokens int64) {
	offset := e.cache.next
	e.cache.next++
	if n := e.settings.DropEventEvery; n > 0 && e.cache.next%uint64(n) == 0 {
		return
	}
	event := engine.WireCacheEvent{Offset: offset, Kind: kind, Tag: tag, Tokens: tokens}
	e.cache.events = append(e.cache.events, storedEvent{event: event, at: time.Now()})
	if len(e.cache.events) > maxEvents {
		e.cache.events = e.cache.events[maxEvents/2:]
	}
}
