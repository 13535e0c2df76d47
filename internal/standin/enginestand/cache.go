package enginestand

import (
	"crypto/sha256"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"ragwortstile/internal/engine"
)

// maxEvents is the maximum number of cache events that can be read. Beyond it, the oldest half is dropped.
const maxEvents = 1 << 16

// cachedMessage is the hash and the number of tokens of a message of a cached prefix.
type cachedMessage struct {
	Sum    [sha256.Size]byte `json:"sum"`
	Tokens int64             `json:"tokens"`
}

// cacheEntry is the cached prefix of one tag.
type cacheEntry struct {
	Messages []cachedMessage `json:"messages"`
	Tokens   int64           `json:"tokens"`
	used     uint64          // value of prefixCache.clock at the last use
	reused   bool            // a request or an export has used the prefix of the tag
}

// timedEvent is a cache event and the time at which it happened.
type timedEvent struct {
	event engine.WireCacheEvent
	at    time.Time
}

// prefixCache stores prefixes by tag and evicts the least recently used ones.
type prefixCache struct {
	limit   int64  // capacity in tokens
	tokens  int64  // tokens of all entries
	clock   uint64 // logical clock, incremented by each use of an entry
	entries map[string]*cacheEntry
	events  []timedEvent // oldest first
	next    uint64       // offset of the next event
}

func newPrefixCache(limit int64) prefixCache {
	return prefixCache{limit: limit, entries: make(map[string]*cacheEntry)}
}

// tokensByTag returns the number of cached tokens of each tag.
func (c *prefixCache) tokensByTag() map[string]int64 {
	all := make(map[string]int64, len(c.entries))
	for tag, entry := range c.entries {
		all[tag] = entry.Tokens
	}
	return all
}

// lookup returns the number of tokens of the leading messages that are also at the start of the tag's entry. If
// there are any, it marks the entry as used.
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

// touch sets the time of the last use of an entry.
func (c *prefixCache) touch(entry *cacheEntry) {
	c.clock++
	entry.used = c.clock
}

// put stores or replaces the entry of a tag and evicts the least recently used entries until the cache is within
// its limit. It calls event for each change and returns the number of evicted tokens that were never reused.
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

// oldest returns the tag of the least recently used entry.
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

// tagsOf returns the sorted tags of a program, or only that of the given branch if branch is not empty.
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

// lookup returns the number of tokens of the messages that are cached under a tag.
func (e *Engine) lookup(tag string, messages []json.RawMessage) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.lookup(tag, messages)
}

// cacheMessages caches messages under the tag of a request. lastTokens is the number of tokens of the last message,
// or 0 to derive it from the length. A request that was ended by a restart or canceled caches nothing.
func (e *Engine) cacheMessages(q *request, messages []json.RawMessage, lastTokens int) {
	if q.tag == "" {
		return
	}
	var entry cacheEntry
	for i, m := range messages {
		tokens := messageTokens(m)
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
	e.stats.WastedTokens += e.cache.put(q.tag, entry, e.addCacheEvent)
	e.recordLoad()
}

// addCacheEvent records a cache event, or drops it as DropEventEvery says. A dropped event uses up an offset. The
// caller holds the lock.
func (e *Engine) addCacheEvent(kind, tag string, tokens int64) {
	offset := e.cache.next
	e.cache.next++
	if n := e.settings.DropEventEvery; n > 0 && e.cache.next%uint64(n) == 0 {
		return
	}
	event := engine.WireCacheEvent{Offset: offset, Kind: kind, Tag: tag, Tokens: tokens}
	e.cache.events = append(e.cache.events, timedEvent{event: event, at: time.Now()})
	if len(e.cache.events) > maxEvents {
		e.cache.events = e.cache.events[maxEvents/2:]
	}
}
