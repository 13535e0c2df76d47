package fsm

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// claimOrigin tells how a reader learned the claim of a slot.
type claimOrigin uint8

const (
	fromStart claimOrigin = iota // every claim since offset 0 was read
	inferred                     // a holder's record named the epoch; its claim preceded the first offset read
	claimRead                    // a claim was read, but not the claims before it
)

type slotEntry struct {
	SlotState
	claimedAt    time.Time // record time of the claim or its latest refresh
	origin       claimOrigin
	programs     map[id.Program]*Program
	refreshQueue []refreshEntry // programs, oldest base first; entries with an outdated base are skipped
}

type sessionEntry struct {
	seq         uint64            // of the last batch applied
	lastBatchAt time.Time         // record time
	fragments   *record.Assembler // nil unless a record is incomplete
}

// Programs is the replicated state of the programs stream.
//
// A reader that starts at offset 0 reads every claim. A reader that starts later learns a slot's
// epoch from the first record of a holder. It reads every claim after its first offset. A gap between
// the epoch it knows and that of a later record therefore shows that the missing claims preceded its
// first offset, and that everything it accepted for the slot was written by former holders. It drops
// that state.
type Programs struct {
	retention   time.Duration
	next        uint64 // first offset that was not applied
	now         time.Time
	slots       [id.Slots]slotEntry
	sessions    map[id.Session]sessionEntry
	parts       map[id.Program]*snapshotAssembly
	ended       []endedEntry
	keys        map[openKey]id.Program
	orderSerial uint64 // serial number of the latest valid order
	prunedAt    time.Time
}

// snapshotAssembly collects the parts of a snapshot until it is complete.
type snapshotAssembly struct {
	holder      record.Holder
	position    Position  // of the first part
	at          time.Time // record time of the first part
	next        int       // number of the next part, from 1
	parts       int       // total number
	state       []byte
	interleaved bool // another record of the program was read between the parts
}

type openKey struct{ team, key string }

// endedEntry is an ended program and the record time from which TombstoneAge counts.
type endedEntry struct {
	program id.Program
	slot    id.Slot
	at      time.Time
}

// NewPrograms returns the state before the batch at offset start, which is 0 or the earliest offset
// that the log retains. With a retention of 0 no refresh is due and no session is removed.
func NewPrograms(retention time.Duration, start uint64) *Programs {
	p := &Programs{
		retention: retention,
		next:      start,
		sessions:  map[id.Session]sessionEntry{},
		parts:     map[id.Program]*snapshotAssembly{},
		keys:      map[openKey]id.Program{},
	}
	for i := range p.slots {
		p.slots[i].programs = map[id.Program]*Program{}
		if start > 0 {
			p.slots[i].origin = inferred
		}
	}
	return p
}

// Next returns the first offset that was not applied.
func (p *Programs) Next() uint64 { return p.next }

// Now returns the record time: the latest wall time of any batch applied so far.
func (p *Programs) Now() time.Time { return p.now }

// Slot returns the current claim of a slot.
func (p *Programs) Slot(s id.Slot) SlotState { return p.slots[s%id.Slots].SlotState }

// SessionSeq returns the sequence number of the last batch of a session, 0 if none was applied.
func (p *Programs) SessionSeq(s id.Session) uint64 { return p.sessions[s].seq }

// OrderSerial returns the serial number of the latest valid order under the current epoch of slot 0.
func (p *Programs) OrderSerial() uint64 { return p.orderSerial }

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
	if _, taken := p.keys[k]; !taken && prog.Key != "" && !prog.neverUsed() {
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

// Apply applies the batch at an offset. Offsets increase; a batch at an offset that was applied before
// changes nothing and has no effects.
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
	seen.lastBatchAt = p.now
	for i, rec := range b.Records {
		e := Effect{Position: Position{Offset: offset, Index: i}, Writer: b.Session, Record: rec, Verdict: Duplicate}
		if !duplicate {
			p.applyEffect(&seen, &e)
		}
		effects = append(effects, e)
	}
	p.sessions[b.Session] = seen
	p.expire()
	return effects
}

// applyEffect applies the record of an effect and sets its verdict. Fragments of a record are collected
// and ignored until the last one, which has the effect of the whole record.
func (p *Programs) applyEffect(s *sessionEntry, e *Effect) {
	_, isFragment := e.Record.(record.Fragment)
	if !isFragment && s.fragments == nil {
		e.Verdict = p.applyRecord(e.Position, e.Writer, e.Record)
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
		e.Verdict = p.applyRecord(e.Position, e.Writer, whole)
	}
}

func (p *Programs) applyRecord(at Position, writer id.Session, rec record.Record) Verdict {
	switch r := rec.(type) {
	case record.Claim:
		return p.applyClaim(writer, r)
	case record.Handover:
		return p.applyHandover(writer, r)
	case record.ClaimRefresh:
		return p.applyClaimRefresh(writer, r)
	case record.Open:
		return p.applyOpen(at, writer, r)
	case record.Branch:
		return p.applyToProgram(writer, r.Holder, r.Program, r)
	case record.Raise:
		return p.applyToProgram(writer, r.Holder, r.Program, r)
	case record.Turn:
		return p.applyToProgram(writer, r.Holder, r.Call.Program, r)
	case record.Intent:
		return p.applyToProgram(writer, r.Holder, r.Call.Program, r)
	case record.Outcome:
		return p.applyToProgram(writer, r.Holder, r.Call.Program, r)
	case record.Settle:
		return p.applyToProgram(writer, r.Holder, r.Call.Program, r)
	case record.End:
		return p.applyToProgram(writer, r.Holder, r.Program, r)
	case record.Released:
		return p.applyToProgram(writer, r.Holder, r.Program, r)
	case record.Snapshot:
		return p.applySnapshot(at, writer, r)
	case record.OrderIntent:
		return p.applyOrderIntent(writer, r)
	default:
		return OutOfOrder
	}
}

func (p *Programs) applyOpen(at Position, writer id.Session, r record.Open) Verdict {
	if !p.checkProgramHolder(writer, r.Holder, r.Program) {
		return StaleEpoch
	}
	s := &p.slots[r.Slot]
	if s.programs[r.Program] != nil || !withinLimits(r.HighWater, r.Limits) {
		return OutOfOrder
	}
	prog := NewProgram(r)
	s.programs[r.Program] = prog
	p.addKey(prog)
	p.setBase(s, prog, at, p.now)
	return Valid
}

func (p *Programs) applyToProgram(writer id.Session, h record.Holder, pid id.Program, rec record.Record) Verdict {
	if !p.checkProgramHolder(writer, h, pid) {
		return StaleEpoch
	}
	if a := p.parts[pid]; a != nil {
		a.interleaved = true
	}
	prog := p.slots[h.Slot].programs[pid]
	if prog == nil {
		return OutOfOrder
	}
	v := prog.Apply(rec, p.now)
	if _, isEnd := rec.(record.End); isEnd && v == Valid {
		p.ended = append(p.ended, endedEntry{program: pid, slot: h.Slot, at: p.now})
		if prog.neverUsed() {
			p.dropKey(prog)
		}
	}
	return v
}

func (p *Programs) applyOrderIntent(writer id.Session, r record.OrderIntent) Verdict {
	if r.Slot != 0 || !p.checkHolder(writer, r.Holder) {
		return StaleEpoch
	}
	if r.Serial <= p.orderSerial {
		return OutOfOrder
	}
	p.orderSerial = r.Serial
	return Valid
}

// expire removes ended programs that are older than TombstoneAge and whose cache all endpoints have
// released, and the sequence numbers of sessions whose batches the log no longer retains.
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
			e.at = p.now // checked again after another TombstoneAge
			p.ended = append(p.ended, e)
			continue
		}
		p.dropKey(prog)
		delete(p.slots[e.slot].programs, e.program)
	}
	p.ended = p.ended[keep:]
	if p.retention <= 0 || p.now.Sub(p.prunedAt) < p.retention/4 {
		return
	}
	p.prunedAt = p.now
	for s, e := range p.sessions {
		if p.now.Sub(e.lastBatchAt) > 2*p.retention {
			delete(p.sessions, s)
		}
	}
}
