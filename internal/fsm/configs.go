package fsm

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Manifest is a published configuration. Version 0 means that none is known.
type Manifest struct {
	Version  uint64
	Data     []byte
	Digest   string
	Operator string
}

// Configs is the replicated state of the config stream.
//
// A reader that starts after offset 0 cannot tell whether a publication it reads was valid, because
// the version before it is not known. It keeps such publications until it reads a ManifestRefresh whose
// writer had read the log at least up to this reader's first offset. The ManifestRefresh states the
// version at the offset up to which its writer had read; the reader then applies the publications from
// that offset on. A publication does not count as a refresh, so the log always holds a ManifestRefresh.
type Configs struct {
	retention   time.Duration
	start       uint64    // first offset that the reader reads
	next        uint64    // first offset that was not applied
	now         time.Time // record time
	exact       bool      // current is decided by the log; otherwise its version is a lower bound
	current     Manifest
	adopted     Manifest  // from a peer
	refreshedAt time.Time // record time of the latest ManifestRefresh, or of the first publication
	pending     []Effect  // undecided publications
	sessions    map[id.Session]sessionEntry
}

// NewConfigs returns the state before the batch at offset start, which is 0 or the earliest offset
// that the log retains. With a retention of 0 no refresh is due and no session is removed.
func NewConfigs(retention time.Duration, start uint64) *Configs {
	return &Configs{
		retention: retention, start: start, next: start, exact: start == 0,
		sessions: map[id.Session]sessionEntry{},
	}
}

// Current returns the manifest in force: the one decided by the log, or a newer one adopted from a
// peer that has read further.
func (c *Configs) Current() Manifest {
	if c.adopted.Version > c.current.Version {
		return c.adopted
	}
	return c.current
}

// VersionExact reports whether the version is decided by the log. It is false for a reader that started
// after offset 0 and has not read a ManifestRefresh that resolves the pending publications.
func (c *Configs) VersionExact() bool { return c.exact }

// Next returns the first offset that was not applied.
func (c *Configs) Next() uint64 { return c.next }

// Now returns the record time: the latest wall time of any batch applied so far.
func (c *Configs) Now() time.Time { return c.now }

// Adopt uses a manifest that a peer found valid in the log. It returns false and changes nothing if
// the version is not above the current one.
func (c *Configs) Adopt(m Manifest) bool {
	if m.Version <= c.Current().Version {
		return false
	}
	c.adopted = m
	return true
}

// Apply applies the batch at an offset. Publications that were undecided are returned again, with
// their verdict, among the effects of the ManifestRefresh that resolves them and before it.
func (c *Configs) Apply(offset uint64, b record.Batch) []Effect {
	if offset < c.next {
		return nil
	}
	c.next = offset + 1
	if b.At.After(c.now) {
		c.now = b.At
	}
	seen := c.sessions[b.Session]
	duplicate := b.Seq <= seen.seq
	seen.seq = max(seen.seq, b.Seq)
	seen.lastBatchAt = c.now
	c.sessions[b.Session] = seen
	effects := make([]Effect, 0, len(b.Records))
	for i, rec := range b.Records {
		e := Effect{Position: Position{Offset: offset, Index: i}, Writer: b.Session, Record: rec, Verdict: Duplicate}
		if duplicate {
			effects = append(effects, e)
			continue
		}
		switch r := rec.(type) {
		case record.Publish:
			e.Verdict = c.applyPublish(e, r)
		case record.ManifestRefresh:
			var decided bool
			effects, decided = c.resolvePending(r, effects)
			e.Verdict = c.applyRefresh(r)
			if decided {
				e.Verdict = Valid
			}
		default:
			e.Verdict = OutOfOrder
		}
		effects = append(effects, e)
	}
	c.prune()
	return effects
}

func (c *Configs) applyPublish(e Effect, r record.Publish) Verdict {
	if !c.exact {
		if r.Expected < c.current.Version {
			return WrongExpected
		}
		c.pending = append(c.pending, e)
		return Undecided
	}
	if r.Expected != c.current.Version {
		return WrongExpected
	}
	if c.refreshedAt.IsZero() {
		c.refreshedAt = c.now
	}
	c.current = Manifest{Version: r.Expected + 1, Data: r.Manifest, Digest: r.Digest, Operator: r.Operator}
	return Valid
}

// resolvePending applies the undecided publications if the refresh states the version at an offset from
// which on this reader has read everything. It reports whether it did.
func (c *Configs) resolvePending(r record.ManifestRefresh, effects []Effect) ([]Effect, bool) {
	if c.exact || r.ReadTo < c.start {
		return effects, false
	}
	c.exact = true
	c.current = Manifest{Version: r.Version, Data: r.Manifest, Digest: r.Digest}
	for _, e := range c.pending {
		if e.Position.Offset < r.ReadTo {
			continue
		}
		e.Verdict = c.applyPublish(e, e.Record.(record.Publish))
		effects = append(effects, e)
	}
	c.pending = nil
	return effects, true
}

func (c *Configs) applyRefresh(r record.ManifestRefresh) Verdict {
	c.refreshedAt = c.now
	if r.Version <= c.current.Version {
		return Ignored
	}
	c.current = Manifest{Version: r.Version, Data: r.Manifest, Digest: r.Digest}
	return Valid
}

// DueRefresh returns the ManifestRefresh that the controller must write, and true, if the latest refresh
// is older than a third of the retention at record time now.
func (c *Configs) DueRefresh(now time.Time) (record.ManifestRefresh, bool) {
	if c.retention <= 0 || c.current.Version == 0 || !c.exact || now.Sub(c.refreshedAt) <= c.retention/3 {
		return record.ManifestRefresh{}, false
	}
	m := c.current
	return record.ManifestRefresh{Version: m.Version, Manifest: m.Data, Digest: m.Digest, ReadTo: c.next}, true
}

func (c *Configs) prune() {
	for s, e := range c.sessions {
		if c.retention > 0 && c.now.Sub(e.lastBatchAt) > 2*c.retention {
			delete(c.sessions, s)
		}
	}
}
