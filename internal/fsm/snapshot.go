package fsm

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// SnapshotPartBytes is the maximum size of one part of an encoded state. The batch that contains the
// part must stay below record.MaxBatchBytes.
const SnapshotPartBytes = record.MaxBatchBytes * 3 / 4

const stateVersion = 1

// Errors of DecodeState.
var (
	ErrStateVersion = errors.New("unknown version of program state")
	ErrState        = errors.New("malformed program state")
)

type wireState struct {
	Version uint8    `msgpack:"v"`
	Program *Program `msgpack:"p"`
}

// EncodeState returns the encoded program state that Snapshot records carry.
func EncodeState(p *Program) ([]byte, error) {
	data, err := msgpack.Marshal(wireState{Version: stateVersion, Program: p})
	if err != nil {
		return nil, fmt.Errorf("encode state of program %s: %w", p.ID, err)
	}
	return data, nil
}

// DecodeState decodes a program state and checks the invariants that Apply relies on.
func DecodeState(data []byte) (*Program, error) {
	var w wireState
	if err := record.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decode program state: %w", err)
	}
	if w.Version != stateVersion {
		return nil, fmt.Errorf("decode program state: version %d: %w", w.Version, ErrStateVersion)
	}
	p := w.Program
	if p == nil {
		return nil, fmt.Errorf("decode program state: no program: %w", ErrState)
	}
	if p.Branches[id.MainBranch] == nil {
		return nil, fmt.Errorf("decode state of program %s: no main branch: %w", p.ID, ErrState)
	}
	if p.Outcomes == nil {
		p.Outcomes = map[string]*Outcome{}
	}
	for key, o := range p.Outcomes {
		if o == nil {
			return nil, fmt.Errorf("decode state of program %s: key %q has no outcome: %w", p.ID, key, ErrState)
		}
	}
	for name, b := range p.Branches {
		if b == nil || b.Name != name || (b.UnknownOutcome != "" && p.Outcomes[b.UnknownOutcome] == nil) {
			return nil, fmt.Errorf("decode state of program %s: branch %q: %w", p.ID, name, ErrState)
		}
	}
	return p, nil
}

// SnapshotRecords returns the records that write the whole state of a program to the log again, under
// a holder's epoch.
func SnapshotRecords(h record.Holder, p *Program) ([]record.Record, error) {
	data, err := EncodeState(p)
	if err != nil {
		return nil, err
	}
	parts := (len(data) + SnapshotPartBytes - 1) / SnapshotPartBytes
	recs := make([]record.Record, 0, parts)
	for i := range parts {
		end := min(len(data), (i+1)*SnapshotPartBytes)
		recs = append(recs, record.Snapshot{
			Holder: h, Program: p.ID, State: data[i*SnapshotPartBytes : end], Part: i + 1, Parts: parts,
		})
	}
	return recs, nil
}

// applySnapshot collects the parts of a state and, once they are complete, replaces the program with
// it. A state that is older than the known one is ignored.
func (p *Programs) applySnapshot(at Position, writer id.Session, r record.Snapshot) Verdict {
	if !p.checkProgramHolder(writer, r.Holder, r.Program) {
		return StaleEpoch
	}
	a := p.parts[r.Program]
	if r.Part <= 1 {
		a = &snapshotAssembly{holder: r.Holder, position: at, at: p.now, next: 1, parts: max(r.Parts, 1)}
		p.parts[r.Program] = a
	}
	if a == nil || a.holder != r.Holder || max(r.Part, 1) != a.next || max(r.Parts, 1) != a.parts {
		delete(p.parts, r.Program)
		return OutOfOrder
	}
	a.next++
	if a.parts == 1 {
		a.state = r.State
	} else {
		a.state = append(a.state, r.State...)
	}
	if a.next <= a.parts {
		return Valid
	}
	delete(p.parts, r.Program)
	return p.replaceProgram(a, r)
}

func (p *Programs) replaceProgram(a *snapshotAssembly, r record.Snapshot) Verdict {
	prog, err := DecodeState(a.state)
	if err != nil || prog.ID != r.Program {
		return OutOfOrder
	}
	s := &p.slots[r.Slot]
	known := s.programs[r.Program]
	if a.interleaved || (known != nil && known.Rev > prog.Rev) {
		return Ignored
	}
	s.programs[r.Program] = prog
	p.addKey(prog)
	p.setBase(s, prog, a.position, a.at)
	if prog.Ended() && (known == nil || !known.Ended()) {
		p.ended = append(p.ended, endedEntry{program: prog.ID, slot: r.Slot, at: prog.EndedAt})
	}
	return Valid
}

// refreshEntry names a program that must be written to the log again before the record at position is
// removed by the retention.
type refreshEntry struct {
	program  id.Program
	position Position
	at       time.Time
}

// setBase sets the oldest record that the state of prog depends on and queues the program for its next
// refresh.
func (p *Programs) setBase(s *slotEntry, prog *Program, at Position, t time.Time) {
	prog.base = at
	prog.baseAt = t
	s.refreshQueue = append(s.refreshQueue, refreshEntry{program: prog.ID, position: at, at: t})
}

// DueRefreshes lists what a holder must write to the log again before the retention removes the records
// it depends on. The programs of a slot are listed oldest first.
type DueRefreshes struct {
	Claims   []record.ClaimRefresh
	Programs []id.Program
}

// DueRefreshes returns the claims of a session, and at most limit of its programs, that depend on a
// record older than a third of the retention at record time now.
func (p *Programs) DueRefreshes(session id.Session, now time.Time, limit int) DueRefreshes {
	var d DueRefreshes
	if p.retention <= 0 {
		return d
	}
	for i := range p.slots {
		s := &p.slots[i]
		if s.Holder != session || s.Epoch == 0 {
			continue
		}
		if now.Sub(s.claimedAt) > p.retention/3 {
			h := record.Holder{Slot: id.Slot(i), Epoch: s.Epoch}
			d.Claims = append(d.Claims, record.ClaimRefresh{Holder: h, Session: session})
		}
		d.Programs = p.duePrograms(s, now, limit, d.Programs)
	}
	return d
}

// duePrograms appends the due programs of a slot to out, up to limit in total. It first removes
// outdated entries from the front of the queue.
func (p *Programs) duePrograms(s *slotEntry, now time.Time, limit int, out []id.Program) []id.Program {
	for len(s.refreshQueue) > 0 {
		e := s.refreshQueue[0]
		if prog := s.programs[e.program]; prog != nil && prog.base == e.position {
			break
		}
		s.refreshQueue = s.refreshQueue[1:]
	}
	for _, e := range s.refreshQueue {
		if len(out) >= limit || now.Sub(e.at) <= p.retention/3 {
			break
		}
		if prog := s.programs[e.program]; prog != nil && prog.base == e.position {
			out = append(out, e.program)
		}
	}
	return out
}
