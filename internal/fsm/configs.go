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

// Configs is the fold of the config stream.
//
// A reader that starts after offset 0 cannot tell whether a publication it reads was valid, because
// the version before it is not known. It keeps such publications until a Refresh whose writer had
// not read further than this reader's first offset states a version; then it folds those that came
// after. A publication does not count as a refresh, so the log always holds one.
type Configs struct {
	retention time.Duration
	start     uint64
	next      uint64
	now       time.Time
	known     bool // the version is exact, not only a lower bound
	current   Manifest
	adopted   Manifest  // from a peer
	based     time.Time // record time of the latest Refresh, or of the first publication
	pending   []Effect
	sessions  map[id.Session]sessionEntry
}

// NewConfigs returns the state before the record at offset start, which is 0 or the earliest offset
// that the log retains.
func NewConfigs(retention time.Duration, start uint64) *Configs {
	return &Configs{
		retention: retention, start: start, next: start, known: start == 0,
		sessions: map[id.Session]sessionEntry{},
	}
}

// Current returns the manifest in force: the one decided by the log, or a newer one of a peer whose
// reader is ahead.
func (c *Configs) Current() Manifest {
	if c.adopted.Version > c.current.Version {
		return c.adopted
	}
	return c.current
}

// Exact tells whether the version is decided by the log. It is false for a reader that started late
// and has not read a conclusive Refresh.
func (c *Configs) Exact() bool { return c.known }

// Next returns the first offset that was not applied.
func (c *Configs) Next() uint64 { return c.next }

// Now returns the record time.
func (c *Configs) Now() time.Time { return c.now }

// Adopt takes over a manifest from a peer whose reader had decided it. A version that is not above
// the present one changes nothing.
func (c *Configs) Adopt(m Manifest) bool {
	if m.Version <= c.Current().Version {
		return false
	}
	c.adopted = m
	return true
}

// Apply folds the batch at an offset. Publications that were undecided come back with their verdict
// in the effects of the refresh that decides them, before it.
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
	seen.last = c.now
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
			e.Verdict = c.publish(e, r)
		case record.Refresh:
			var decided bool
			effects, decided = c.decide(r, effects)
			e.Verdict = c.refresh(r)
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

func (c *Configs) publish(e Effect, r record.Publish) Verdict {
	if !c.known {
		if r.Expected < c.current.Version {
			return WrongExpected
		}
		c.pending = append(c.pending, e)
		return Undecided
	}
	if r.Expected != c.current.Version {
		return WrongExpected
	}
	if c.based.IsZero() {
		c.based = c.now
	}
	c.current = Manifest{Version: r.Expected + 1, Data: r.Manifest, Digest: r.Digest, Operator: r.Operator}
	return Valid
}

// decide folds the undecided publications if the refresh states the version at a place from which
// this reader has read everything.
func (c *Configs) decide(r record.Refresh, effects []Effect) ([]Effect, bool) {
	if c.known || r.ReadTo < c.start {
		return effects, false
	}
	c.known = true
	c.current = Manifest{Version: r.Version, Data: r.Manifest, Digest: r.Digest}
	for _, e := range c.pending {
		if e.Position.Offset < r.ReadTo {
			continue
		}
		e.Verdict = c.publish(e, e.Record.(record.Publish))
		effects = append(effects, e)
	}
	c.pending = nil
	return effects, true
}

func (c *Configs) refresh(r record.Refresh) Verdict {
	c.based = c.now
	if r.Version <= c.current.Version {
		return Ignored
	}
	c.current = Manifest{Version: r.Version, Data: r.Manifest, Digest: r.Digest}
	return Valid
}

// DueRefresh tells whether the controller has to write the manifest again: the latest refresh is older than
// a third of the retention at record time now.
func (c *Configs) DueRefresh(now time.Time) (record.Refresh, bool) {
	if c.retention <= 0 || c.current.Version == 0 || !c.known || now.Sub(c.based) <= c.retention/3 {
		return record.Refresh{}, false
	}
	m := c.current
	return record.Refresh{Version: m.Version, Manifest: m.Data, Digest: m.Digest, ReadTo: c.next}, true
}

func (c *Configs) prune() {
	for s, e := range c.sessions {
		if c.retention > 0 && c.now.Sub(e.last) > 2*c.retention {
			delete(c.sessions, s)
		}
	}
}
