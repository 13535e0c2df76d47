package fsm

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

const retention = 3 * time.Hour

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// writer assigns sequence numbers to the batches of one session.
type writer struct {
	session id.Session
	seq     uint64
}

func (w *writer) batch(at time.Duration, recs ...record.Record) record.Batch {
	w.seq++
	return record.Batch{Session: w.session, Seq: w.seq, At: start.Add(at), Records: recs}
}

func verdicts(es []Effect) []Verdict {
	var out []Verdict
	for _, e := range es {
		out = append(out, e.Verdict)
	}
	return out
}

const pid = id.Program("p05-a")

func open(h record.Holder, p id.Program) record.Open {
	return record.Open{Holder: h, Program: p, Team: "t", Duty: "d", Key: string(p), OpenedAt: start}
}

func turn(h record.Holder, p id.Program, seq uint64) record.Turn {
	key := fmt.Sprintf("k%d", seq)
	return record.Turn{
		Holder: h, Call: id.Call{Program: p, Branch: id.MainBranch, Seq: seq}, Key: key,
		New: []record.Message{{Raw: []byte("q " + key)}}, Answer: record.Message{Raw: []byte("a " + key)},
		Body: []byte("a " + key), Used: record.Spend{Tokens: 3, Calls: 1}, Endpoint: "m1",
	}
}

// Guards against two holders of a slot: of two claims with the same expected epoch the second is
// invalid, and so is every record that the former holder writes after a takeover.
func TestOneClaimWins(t *testing.T) {
	p := NewPrograms(retention, 0)
	a, b := &writer{session: "a.1"}, &writer{session: "b.1"}
	must.Eq(t, []Verdict{Valid}, verdicts(p.Apply(0, a.batch(0, record.Claim{Slot: 5, Session: "a.1"}))))
	must.Eq(t, []Verdict{WrongExpected}, verdicts(p.Apply(1, b.batch(0, record.Claim{Slot: 5, Session: "b.1"}))))
	h := record.Holder{Slot: 5, Epoch: 1}
	must.Eq(t, []Verdict{Valid, Valid}, verdicts(p.Apply(2, a.batch(0, open(h, pid), turn(h, pid, 1)))))
	must.Eq(t, []Verdict{Valid}, verdicts(p.Apply(3, b.batch(0, record.Claim{Slot: 5, Prev: 1, Session: "b.1"}))))
	snap, err := SnapshotRecords(h, p.Program(pid))
	must.NoError(t, err)
	late := a.batch(0, turn(h, pid, 2), snap[0])
	must.Eq(t, []Verdict{StaleEpoch, StaleEpoch}, verdicts(p.Apply(4, late)))
	must.Eq(t, uint64(1), p.Program(pid).Branches[id.MainBranch].LastSeq)
	must.Eq(t, []Verdict{Duplicate, Duplicate}, verdicts(p.Apply(5, late)))
}

// Guards against a snapshot that is lost because it is larger than one append, and against a snapshot
// that replaces newer state.
func TestSnapshotInPartsAndOldSnapshot(t *testing.T) {
	p := NewPrograms(retention, 0)
	a := &writer{session: "a.1"}
	h := record.Holder{Slot: 5, Epoch: 1}
	big := turn(h, pid, 1)
	big.New = []record.Message{{Raw: make([]byte, 2*record.MaxBatchBytes)}}
	p.Apply(0, a.batch(0, record.Claim{Slot: 5, Session: "a.1"}, open(h, pid), big))
	parts, err := SnapshotRecords(h, p.Program(pid))
	must.NoError(t, err)
	must.True(t, len(parts) > 2)
	cold := NewPrograms(retention, 1)
	for i, r := range parts {
		b := a.batch(time.Minute, r)
		data, err := record.Encode(b)
		must.NoError(t, err)
		must.True(t, len(data) <= record.MaxBatchBytes)
		must.Eq(t, []Verdict{Valid}, verdicts(p.Apply(uint64(1+i), b)))
		cold.Apply(uint64(1+i), b)
	}
	must.Eq(t, p.Program(pid).Branches[id.MainBranch].Digest, cold.Program(pid).Branches[id.MainBranch].Digest)
	old := p.Program(pid).Clone()
	next := uint64(1 + len(parts))
	p.Apply(next, a.batch(time.Minute, turn(h, pid, 2)))
	again, err := SnapshotRecords(h, old)
	must.NoError(t, err)
	es := verdicts(p.Apply(next+1, a.batch(time.Minute, again...)))
	must.Eq(t, Ignored, es[len(es)-1])
	must.Eq(t, uint64(2), p.Program(pid).Branches[id.MainBranch].LastSeq)
}

// Guards against a reader that starts late and keeps state of a holder that lost the slot before the
// reader's first offset.
func TestLateReaderDropsFormerHolder(t *testing.T) {
	full, late := NewPrograms(retention, 0), NewPrograms(retention, 2)
	a, b := &writer{session: "a.1"}, &writer{session: "b.1"}
	old, cur := record.Holder{Slot: 5, Epoch: 1}, record.Holder{Slot: 5, Epoch: 2}
	log := []record.Batch{
		a.batch(0, record.Claim{Slot: 5, Session: "a.1"}),
		b.batch(0, record.Claim{Slot: 5, Prev: 1, Session: "b.1"}),
		a.batch(0, open(old, "p05-x")),
		b.batch(0, open(cur, pid), turn(cur, pid, 1)),
	}
	for i, l := range log {
		full.Apply(uint64(i), l)
		late.Apply(uint64(i), l)
	}
	must.Nil(t, late.Program("p05-x"))
	must.Eq(t, full.Slot(5), late.Slot(5))
	must.Eq(t, stateBytes(t, full, pid), stateBytes(t, late, pid))
}

func stateBytes(t must.T, p *Programs, pid id.Program) string {
	prog := p.Program(pid)
	if prog == nil {
		return ""
	}
	c := prog.Clone()
	return fmt.Sprintf("%s %v %v %v %d %d %d %d %v", c.ID, c.Spent, c.HighWater, c.AssumedSpent, c.Rev, c.Branches[id.MainBranch].LastSeq,
		c.Branches[id.MainBranch].Digest, len(c.Outcomes), c.EndCause)
}

// Guards against a reader that starts late and accepts the invalid one of two publications against the
// same version, and against a refresh that overrides a newer version.
func TestLateReaderOfConfig(t *testing.T) {
	op1, op2, ctl := &writer{session: "o1"}, &writer{session: "o2"}, &writer{session: "c.1"}
	log := []record.Batch{
		op1.batch(0, record.Publish{Expected: 0, Digest: "one"}),
		op1.batch(0, record.Publish{Expected: 1, Digest: "two"}),
		ctl.batch(0, record.ManifestRefresh{Version: 1, Digest: "one", ReadTo: 1}),
		op2.batch(0, record.Publish{Expected: 1, Digest: "lost"}),
		op2.batch(0, record.Publish{Expected: 2, Digest: "three"}),
		ctl.batch(0, record.ManifestRefresh{Version: 2, Digest: "two", ReadTo: 4}),
	}
	full, late := NewConfigs(retention, 0), NewConfigs(retention, 2)
	var lateEffects []Effect
	for i, b := range log {
		full.Apply(uint64(i), b)
		lateEffects = append(lateEffects, late.Apply(uint64(i), b)...)
	}
	must.Eq(t, uint64(3), full.Current().Version)
	must.True(t, late.VersionExact())
	must.Eq(t, full.Current(), late.Current())
	must.Eq(t, []Verdict{Valid, Undecided, Undecided, Valid, Valid}, verdicts(lateEffects))
}

// Guards against a publish register that is not linearizable. Publications of three operators overlap in
// time.
func TestPublishRegisterIsLinearizable(t *testing.T) {
	type in struct{ expected uint64 }
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			v := state.(uint64)
			if output.(Verdict) == Valid {
				return input.(in).expected == v, v + 1
			}
			return input.(in).expected != v, v
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		c := NewConfigs(retention, 0)
		ops := []*writer{{session: "o1"}, {session: "o2"}, {session: "o3"}}
		var history []porcupine.Operation
		for i := range rapid.IntRange(1, 30).Draw(t, "n") {
			who := rapid.IntRange(0, 2).Draw(t, "operator")
			lag := rapid.Uint64Range(0, 2).Draw(t, "lag")
			e := c.Current().Version - min(lag, c.Current().Version)
			out := c.Apply(uint64(i), ops[who].batch(0, record.Publish{Expected: e}))[0].Verdict
			history = append(history, porcupine.Operation{
				ClientId: who, Input: in{e}, Output: out, Return: int64(3*i + 2),
				Call: max(0, int64(3*i)-rapid.Int64Range(0, 9).Draw(t, "under way")),
			})
		}
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("not linearizable: %+v", history)
		}
	})
}

// Guards against a slot that two sessions hold at one epoch: concurrent claims must be linearizable as
// operations on a register.
func TestSlotIsLinearizable(t *testing.T) {
	type in struct {
		prev    id.Epoch
		session id.Session
	}
	model := porcupine.Model{
		Init: func() any { return SlotState{} },
		Step: func(state, input, output any) (bool, any) {
			s, i := state.(SlotState), input.(in)
			if output.(Verdict) == Valid {
				return s.Epoch == i.prev, SlotState{Holder: i.session, Epoch: i.prev + 1}
			}
			return s.Epoch != i.prev, s
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		p := NewPrograms(retention, 0)
		ws := []*writer{{session: "a.1"}, {session: "b.1"}, {session: "c.1"}}
		var history []porcupine.Operation
		for i := range rapid.IntRange(1, 30).Draw(t, "n") {
			who := rapid.IntRange(0, 2).Draw(t, "claimant")
			prev := p.Slot(5).Epoch
			prev -= min(prev, id.Epoch(rapid.IntRange(0, 2).Draw(t, "lag")))
			w := ws[who]
			out := p.Apply(uint64(i), w.batch(0, record.Claim{Slot: 5, Prev: prev, Session: w.session}))[0].Verdict
			history = append(history, porcupine.Operation{
				ClientId: who, Input: in{prev, w.session}, Output: out, Return: int64(3*i + 2),
				Call: max(0, int64(3*i)-rapid.Int64Range(0, 9).Draw(t, "under way")),
			})
		}
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("not linearizable: %+v", history)
		}
	})
}

// Guards against an ended program whose state is removed while an engine still holds its cache, or is
// never removed after the release.
func TestTombstone(t *testing.T) {
	p := NewPrograms(retention, 0)
	a := &writer{session: "a.1"}
	h := record.Holder{Slot: 5, Epoch: 1}
	p.Apply(0, a.batch(0, record.Claim{Slot: 5, Session: "a.1"}, open(h, pid), turn(h, pid, 1)))
	p.Apply(1, a.batch(0, record.End{Holder: h, Program: pid, Cause: record.EndByCaller}))
	p.Apply(2, a.batch(TombstoneAge+time.Minute))
	must.NotNil(t, p.Program(pid)) // m1 has not confirmed the release
	p.Apply(3, a.batch(TombstoneAge+2*time.Minute, record.Released{Holder: h, Program: pid, Endpoint: "m1"}))
	p.Apply(4, a.batch(2*TombstoneAge+3*time.Minute))
	must.Nil(t, p.Program(pid))
	_, known := p.ByKey("t", string(pid))
	must.False(t, known)
}
