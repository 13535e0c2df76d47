package engine

import (
	"encoding/json"
	"time"
)

// Kinds of cache events on the wire.
const (
	KindStored  = "stored"
	KindEvicted = "evicted"
)

// LoadResponse answers GET /v1/load.
type LoadResponse struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	MaxRunning  int    `json:"max_running"`
	CacheUsed   int64  `json:"cache_used_tokens"`
	CacheTokens int64  `json:"cache_tokens"`
	Generation  uint64 `json:"generation"` // changes when the engine restarts
	AgeMS       int64  `json:"age_ms"`     // time since the report was made
}

// CacheEventsResponse answers GET /v1/cache/events. Offsets rise by 1; a gap means lost events.
type CacheEventsResponse struct {
	Generation uint64           `json:"generation"`
	Events     []WireCacheEvent `json:"events"`
	Next       uint64           `json:"next"`
}

// WireCacheEvent tells that the prefix of a tag was stored or evicted.
type WireCacheEvent struct {
	Offset uint64 `json:"offset"`
	Kind   string `json:"kind"`
	Tag    string `json:"tag"`
	Tokens int64  `json:"tokens"`
}

// CacheResponse answers GET /v1/cache.
type CacheResponse struct {
	Generation uint64           `json:"generation"`
	Entries    []WireCacheEntry `json:"entries"`
}

// WireCacheEntry is the prefix held for a tag.
type WireCacheEntry struct {
	Tag    string `json:"tag"`
	Tokens int64  `json:"tokens"`
}

// ExportRequest asks for a ticket for the cache of a tag.
type ExportRequest struct {
	Tag string `json:"tag"`
}

// ExportResponse brings a ticket that another engine can fetch the cache with, once.
type ExportResponse struct {
	Ticket string `json:"ticket"`
	Tokens int64  `json:"tokens"`
}

// ImportRequest asks an engine to fetch the cache of a ticket from the engine at Source.
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

// StaleFenceResponse is the body of a 409 to an order.
type StaleFenceResponse struct {
	Fence uint64 `json:"fence"` // highest fencing number seen
}

// milliseconds returns a duration that is not negative. Sums beyond the range are cut.
func milliseconds(ms int64) time.Duration {
	const limit = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(max(0, ms), limit)) * time.Millisecond
}
