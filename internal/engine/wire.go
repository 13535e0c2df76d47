package engine

import (
	"encoding/json"
	"time"
)

// Values of WireCacheEvent.Kind.
const (
	KindStored  = "stored"
	KindEvicted = "evicted"
)

// LoadResponse is the body of the answer to GET /v1/load.
type LoadResponse struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	MaxRunning  int    `json:"max_running"`
	CacheUsed   int64  `json:"cache_used_tokens"`
	CacheTokens int64  `json:"cache_tokens"`
	Generation  uint64 `json:"generation"` // changes when the engine restarts
	AgeMS       int64  `json:"age_ms"`     // age of the report in ms
}

// CacheEventsResponse is the body of the answer to GET /v1/cache/events. Offsets increase by 1; a gap
// means that events are lost.
type CacheEventsResponse struct {
	Generation uint64           `json:"generation"`
	Events     []WireCacheEvent `json:"events"`
	Next       uint64           `json:"next"` // offset after the last event
}

// WireCacheEvent says that the prefix of a cache tag was stored or evicted.
type WireCacheEvent struct {
	Offset uint64 `json:"offset"`
	Kind   string `json:"kind"`
	Tag    string `json:"tag"`
	Tokens int64  `json:"tokens"`
}

// CacheResponse is the body of the answer to GET /v1/cache.
type CacheResponse struct {
	Generation uint64           `json:"generation"`
	Entries    []WireCacheEntry `json:"entries"`
}

// WireCacheEntry is the prefix that an engine caches for a tag.
type WireCacheEntry struct {
	Tag    string `json:"tag"`
	Tokens int64  `json:"tokens"`
}

// ExportRequest is the body of POST /v1/cache/export, which asks for a ticket for the cache of a tag.
type ExportRequest struct {
	Tag string `json:"tag"`
}

// ExportResponse is the answer to an ExportRequest. Another engine can fetch the cache once with the
// ticket.
type ExportResponse struct {
	Ticket string `json:"ticket"`
	Tokens int64  `json:"tokens"`
}

// ImportRequest is the body of POST /v1/cache/import, which asks an engine to fetch the cache of a ticket
// from the engine at Source.
type ImportRequest struct {
	Tag    string `json:"tag"`
	Ticket string `json:"ticket"`
	Source string `json:"source"` // base URL
}

// OrderRequest is the body of POST /v1/orders.
type OrderRequest struct {
	Fence uint64          `json:"fence"`
	Order json.RawMessage `json:"order"`
}

// StaleFenceResponse is the body of a 409 answer to an order.
type StaleFenceResponse struct {
	Fence uint64 `json:"fence"` // highest fencing token that the engine has seen
}

// milliseconds converts a number of milliseconds to a duration, clamped to between 0 and 24 h.
func milliseconds(ms int64) time.Duration {
	const limit = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(max(0, ms), limit)) * time.Millisecond
}
