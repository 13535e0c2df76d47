package ledger

import (
	"context"
	"time"

	"ragwortstile/internal/history"
)

// protectStalled protects records outside the partition while appends stall.
func (ld *leader) protectStalled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ld.stallSignal:
		}
		for ctx.Err() == nil {
			entries, stalled := ld.unprotected(time.Now())
			if !stalled {
				break
			}
			pause := protectInterval
			if !ld.protectEntries(ctx, entries) {
				pause = protectRetryDelay
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// unprotected returns the records that are neither in the store nor protected, once appends have stalled for
// stallThreshold. The second result reports whether appends fail.
func (ld *leader) unprotected(now time.Time) ([]*entry, bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.stalledSince.IsZero() || ld.isClosed() {
		return nil, false
	}
	if now.Sub(ld.stalledSince) < stallThreshold {
		return nil, true
	}
	var out []*entry
	for _, list := range [][]*entry{ld.inFlight, ld.pending} {
		for _, e := range list {
			if !e.protected && !e.finished && e.record.Kind != history.RecordClaim {
				out = append(out, e)
			}
		}
	}
	return out, true
}

// protectEntries reports whether all of the records are safe.
func (ld *leader) protectEntries(ctx context.Context, entries []*entry) bool {
	if len(entries) == 0 {
		return true
	}
	safe := ld.protect(ctx, ld, entries)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.isClosed() {
		return false
	}
	for _, e := range safe {
		e.protected = true
		e.finish(nil)
	}
	return len(safe) == len(entries)
}
