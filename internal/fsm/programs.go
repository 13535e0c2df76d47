package fsm

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// provenance tells how a reader knows the claim of a slot.
type provenance uint8

const (
	fromStart provenance = iota // every claim since offset 0 was read
	inferred                    // a holder's record named the epoch; its claim was before the first offset read
	claimed                     // a claim was read, but not the claims before it
)

type slotEntry struct {
	SlotState
	at       time.Time // record time of the claim or its refresh
	how      provenance
	programs map[id.Program]*Program
	queue    []dueEntry // programs in the order of their base; stale entries are skipped
}

type sessionEntry struct {
	seq       uint64
	last      time.Time
	fragments *record.Assembler // nil unless a record is incomplete
}

// Programs is the fold of the programs stream.
//
// A reader that starts at offset 0 knows every claim. A reader that starts later learns a slot's
// epoch from the first record of a holder. Every claim after its first offset is visible to it, so a
// gap between epochs shows that all it accepted for the slot so far was written by deposed holders,
// and that state is dropped.
type Programs struct {
	retention time.Duration
	next      uint64 // first offset that was not read
	now       time.Time
	slots     [id.Slots]slotEntry
	sessions  map[id.Session]sessionEntry
	parts     map[id.Program]*assembly
	ended     []endedEntry
	keys      map[openKey]id.Program
	fence     uint64 // serial number of the latest valid order
	pruned    time.Time
}

// assembly collects the parts of a snapshot.
type assembly struct {
	holder  record.Holder
	place   Position
	at      time.Time
	next    int
	parts   int
	state   []byte
	touched bool // another record of the program came in between
}

type openKey struct{ team, key string }

type endedEntry struct {
	program id.Program
	slot    id.Slot
	at      time.Time
}

// NewPrograms returns the state before the record at offset start, which is 0 or the earliest
// offset that the log retains.
func NewPrograms(retention time.Duration, start uint64) *Programs {
	p := &Programs{
		retention: retention,
		next:      start,
		sessions:  map[id.Session]sessionEntry{},
		parts:     map[id.Program]*assembly{},
		keys:      map[openKey]id.Program{},
	}
	for i := range p.slots {
		p.slots[i].programs = map[id.Program]*Program{}
		if start > 0 {
			p.slots[i].how = inferred
		}
	}
	return p
}

// Next returns the first offset that was not applied.
func (p *Programs) Next() uint64 { return p.next }

// Now returns the record time: the latest wall time of any batch read so far.
func (p *Programs) Now() time.Time { return p.now }

// Slot returns the current claim of a slot.
func (p *Programs) Slot(s id.Slot) SlotState { return p.slots[s%id.Slots].SlotState }

// SessionSeq returns the last batch sequence number of a session, 0 if none was read.
func (p *Programs) SessionSeq(s id.Session) uint64 { return p.sessions[s].seq }

// OrderSerial returns the serial number of the latest valid order under the current epoch of slot 0.
func (p *Programs) OrderSerial() uint64 { return p.fence }

// Program returns the state of a program, or nil. The caller must not change it.
func (p *Programs) Program(pid id.Program) *Program {
	s, err := pid.Slot()
	if err != nil {
		return nil
	}
	return p.slots[s].programs[pid]
}

// ByKey returns the program that a team opened with an idempotency key. Of two programs opened with
// the same key by two holders at the same time, it is the first in log order.
func (p *Programs) ByKey(team, key string) (id.Program, bool) {
	pid, ok := p.keys[openKey{team, key}]
	return pid, ok
}

func (p *Programs) addKey(prog *Program) {
	k := openKey{prog.Team, prog.Key}
	if _, taken := p.keys[k]; !taken && prog.Key != "" && !prog.unused() {
		p.keys[k] = prog.ID
	}
}

func (p *Programs) dropKey(prog *Program) {
	k := openKey{prog.Team, prog.Key}
	if p.keys[k] == prog.ID {
		delete(p.keys, k)
	}
}

// Each calls f for every program of a slot, in no particular order.
func (p *Programs) Each(s id.Slot, f func(*Program)) {
	for _, prog := range p.slots[s%id.Slots].programs {
		f(prog)
	}
}

// Apply folds the batch at an offset. Offsets rise; a batch at an offset that was read before changes
// nothing and has no effects.
func (p *Programs) Apply(offset uint64, b record.Batch) []Effect {
	if offset < p.next {
		return nil
	}
	p.next = offset + 1
	if b.At.After(p.now) {
		p.now = b.At
	}
	effects := make([]Effect, 0, len(b.Records))
	seen := p.sessions[b.Session]
	duplicate := b.Seq <= seen.seq
	if !duplicate {
		seen.seq = b.Seq
	}
	seen.last = p.now
	for i, rec := range b.Records {
		e := Effect{Position: Position{Offset: offset, Index: i}, Writer: b.Session, Record: rec, Verdict: Duplicate}
		if !duplicate {
			p.foldPart(&seen, &e)
		}
		effects = append(effects, e)
	}
	p.sessions[b.Session] = seen
	p.expire()
	return effects
}

// foldPart folds the record of an effect. Of a record in fragments, the last one has the effect of the
// whole record, and the others are ignored.
func (p *Programs) foldPart(s *sessionEntry, e *Effect) {
	_, isFragment := e.Record.(record.Fragment)
	if !isFragment && s.fragments == nil {
		e.Verdict = p.fold(e.Position, e.Writer, e.Record)
		return
	}
	if s.fragments == nil {
		s.fragments = &record.Assembler{}
	}
	whole, err := s.fragments.Add(e.Record)
	switch {
	case err != nil:
		s.fragments = nil
		e.Verdict = OutOfOrder
	case whole == nil:
		e.Verdict = Ignored
	default:
		s.fragments = nil
		e.Record = whole
		e.Verdict = p.fold(e.Position, e.Writer, whole)
	}
}

func (p *Programs) fold(at Position, writer id.Session, rec record.Record) Verdict {
	switch r := rec.(type) {
	case record.Claim:
		return p.claim(writer, r)
	case record.Handover:
		return p.handover(writer, r)
	case record.ClaimRefresh:
		return p.refresh(writer, r)
	case record.Open:
		return p.open(at, writer, r)
	case record.Branch:
		return p.change(writer, r.Holder, r.Program, r)
	case record.Raise:
		return p.change(writer, r.Holder, r.Program, r)
	case record.Turn:
		return p.change(writer, r.Holder, r.Call.Program, r)
	case record.Intent:
		return p.change(writer, r.Holder, r.Call.Program, r)
	case record.Outcome:
		return p.change(writer, r.Holder, r.Call.Program, r)
	case record.Settle:
		return p.change(writer, r.Holder, r.Call.Program, r)
	case record.End:
		return p.change(writer, r.Holder, r.Program, r)
	case record.Released:
		return p.change(writer, r.Holder, r.Program, r)
	case record.Snapshot:
		return p.snapshot(at, writer, r)
	case record.OrderIntent:
		return p.order(writer, r)
	default:
		return OutOfOrder
	}
}

func (p *Programs) open(at Position, writer id.Session, r record.Open) Verdict {
	if !p.holds(writer, r.Holder, r.Program) {
		return StaleEpoch
	}
	s := &p.slots[r.Slot]
	if s.programs[r.Program] != nil || !within(r.Mark, r.Limits) {
		return OutOfOrder
	}
	prog := NewProgram(r)
	s.programs[r.Program] = prog
	p.addKey(prog)
	p.rebase(s, prog, at, p.now)
	return Valid
}

func (p *Programs) change(writer id.Session, h record.Holder, pid id.Program, rec record.Record) Verdict {
	if !p.holds(writer, h, pid) {
		return StaleEpoch
	}
	if a := p.parts[pid]; a != nil {
		a.touched = true
	}
	prog := p.slots[h.Slot].programs[pid]
	if prog == nil {
		return OutOfOrder
	}
	v := prog.Apply(rec, p.now)
	if _, isEnd := rec.(record.End); isEnd && v == Valid {
		p.ended = append(p.ended, endedEntry{program: pid, slot: h.Slot, at: p.now})
		if prog.unused() {
			p.dropKey(prog)
		}
	}
	return v
}

func (p *Programs) order(writer id.Session, r record.OrderIntent) Verdict {
	if r.Slot != 0 || !p.current(writer, r.Holder) {
		return StaleEpoch
	}
	if r.Serial <= p.fence {
		return OutOfOrder
	}
	p.fence = r.Serial
	return Valid
}

// expire drops tombstones whose age has passed and whose cache was released everywhere, and the
// sequence numbers of sessions whose batches the log no longer holds.
func (p *Programs) expire() {
	keep := 0
	for keep < len(p.ended) && p.now.Sub(p.ended[keep].at) > TombstoneAge {
		e := p.ended[keep]
		keep++
		prog := p.slots[e.slot].programs[e.program]
		if prog == nil {
			continue
		}
		if len(prog.CacheEndpoints) > 0 {
			e.at = p.now // looked at again after another period
			p.ended = append(p.ended, e)
			continue
		}
		p.dropKey(prog)
		delete(p.slots[e.slot].programs, e.program)
	}
	p.ended = p.ended[keep:]
	if p.retention <= 0 || p.now.Sub(p.pruned) < p.retention/4 {
		return
	}
	p.pruned = p.now
	for s, e := range p.sessions {
		if p.now.Sub(e.last) > 2*p.retention {
			delete(p.sessions, s)
		}
	}
}
