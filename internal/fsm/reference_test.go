package fsm

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// fresh makes the rapid tests use new seeds. Without it they run the same cases each time.
var fresh = flag.Bool("fresh", false, "run rapid tests with fresh seeds")

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !set[name] && !*fresh {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// referenceModel decides whether a record is valid by searching all valid records before it.
type referenceModel struct {
	valid []referenceEntry
	seqs  map[id.Session]uint64
}

type referenceEntry struct {
	writer id.Session
	rec    record.Record
}

func (n *referenceModel) slot(s id.Slot) SlotState {
	var st SlotState
	for _, e := range n.valid {
		switch r := e.rec.(type) {
		case record.Claim:
			if r.Slot == s {
				st = SlotState{Holder: r.Session, Epoch: r.Prev + 1}
			}
		case record.Handover:
			if r.Slot == s {
				st = SlotState{Holder: r.To, Epoch: r.Epoch + 1}
			}
		}
	}
	return st
}

// branch returns what the valid records state about a branch: the last sequence number, the open intent
// and the unknown outcome.
func (n *referenceModel) branch(p id.Program, name string) (known, ended bool, last uint64, intent, unknown *id.Call) {
	for _, e := range n.valid {
		switch r := e.rec.(type) {
		case record.Open:
			known = known || r.Program == p && name == id.MainBranch
		case record.Branch:
			known = known || r.Program == p && r.Name == name
		case record.End:
			ended = ended || r.Program == p
		case record.Turn:
			if r.Call.Program == p && r.Call.Branch == name {
				last = r.Call.Seq
			}
		case record.Intent:
			if r.Call.Program == p && r.Call.Branch == name {
				last, intent = r.Call.Seq, &r.Call
			}
		case record.Outcome:
			if r.Call.Program == p && r.Call.Branch == name {
				last, intent, unknown = r.Call.Seq, nil, nil
				if r.Executed == record.ExecutedUnknown {
					unknown = &r.Call
				}
			}
		case record.Settle:
			if r.Call.Program == p && r.Call.Branch == name {
				unknown = nil
			}
		}
	}
	return
}

func (n *referenceModel) next(c id.Call) bool {
	known, ended, last, intent, unknown := n.branch(c.Program, c.Branch)
	return known && !ended && intent == nil && unknown == nil && c.Seq == last+1
}

func (n *referenceModel) accepts(w id.Session, rec record.Record) bool {
	holds := func(h record.Holder) bool { return n.slot(h.Slot) == SlotState{Holder: w, Epoch: h.Epoch} }
	switch r := rec.(type) {
	case record.Claim:
		return n.slot(r.Slot).Epoch == r.Prev
	case record.Handover:
		return holds(r.Holder)
	case record.Open:
		known, _, _, _, _ := n.branch(r.Program, id.MainBranch)
		return holds(r.Holder) && !known
	case record.Branch:
		main, ended, _, _, _ := n.branch(r.Program, id.MainBranch)
		known, _, _, _, _ := n.branch(r.Program, r.Name)
		return holds(r.Holder) && main && !ended && !known
	case record.Turn:
		return holds(r.Holder) && n.next(r.Call)
	case record.Intent:
		return holds(r.Holder) && n.next(r.Call)
	case record.Outcome:
		_, _, _, intent, unknown := n.branch(r.Call.Program, r.Call.Branch)
		certain := r.Executed != record.ExecutedUnknown
		switch {
		case intent != nil:
			return holds(r.Holder) && *intent == r.Call
		case unknown != nil:
			return holds(r.Holder) && *unknown == r.Call && certain
		}
		return holds(r.Holder) && certain && n.next(r.Call)
	case record.Settle:
		_, _, _, _, unknown := n.branch(r.Call.Program, r.Call.Branch)
		return holds(r.Holder) && unknown != nil && *unknown == r.Call
	case record.End:
		known, ended, _, _, _ := n.branch(r.Program, id.MainBranch)
		return holds(r.Holder) && known && !ended
	}
	return false
}

func (n *referenceModel) apply(b record.Batch) []bool {
	out := make([]bool, len(b.Records))
	if b.Seq <= n.seqs[b.Session] {
		return out
	}
	n.seqs[b.Session] = b.Seq
	for i, r := range b.Records {
		if out[i] = n.accepts(b.Session, r); out[i] {
			n.valid = append(n.valid, referenceEntry{b.Session, r})
		}
	}
	return out
}

// drawRecord draws a record that is valid often enough for long sequences of valid records. Keys follow
// the sequence number, so that the reference model needs no rule about repeated keys.
func drawRecord(t *rapid.T, n *referenceModel, w id.Session) record.Record {
	slot := n.slot(5)
	epoch := slot.Epoch
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 && epoch > 0 {
		epoch--
	}
	h := record.Holder{Slot: 5, Epoch: epoch}
	p := rapid.SampledFrom([]id.Program{"p05-a", "p05-b"}).Draw(t, "program")
	name := rapid.SampledFrom([]string{id.MainBranch, "sub"}).Draw(t, "branch")
	_, _, last, intent, unknown := n.branch(p, name)
	c := id.Call{Program: p, Branch: name, Seq: last + 1}
	if rapid.IntRange(0, 9).Draw(t, "wrong number") == 0 {
		c.Seq++
	}
	open := c
	if intent != nil {
		open = *intent
	} else if unknown != nil {
		open = *unknown
	}
	key := func(c id.Call) string { return c.String() }
	x := record.Executed(rapid.IntRange(0, 2).Draw(t, "executed"))
	switch rapid.IntRange(0, 12).Draw(t, "kind") {
	case 0:
		return record.Claim{Slot: 5, Prev: epoch, Session: w}
	case 1:
		return record.Handover{Holder: h, To: "b.1"}
	case 2, 3:
		return record.Open{Holder: h, Program: p, Key: string(p)}
	case 4:
		return record.Branch{Holder: h, Program: p, Name: "sub", Parent: id.MainBranch}
	case 5, 6:
		return record.Turn{Holder: h, Call: c, Key: key(c)}
	case 7:
		return record.Intent{Holder: h, Call: c, Key: key(c)}
	case 8, 9, 10:
		return record.Outcome{Holder: h, Call: open, Key: key(open), Executed: x}
	case 11:
		return record.Settle{Holder: h, Call: open, Executed: record.ExecutedYes}
	default:
		return record.End{Holder: h, Program: p, Cause: record.EndByCaller}
	}
}

// Guards against an incrementally updated state that differs from what the records say.
func TestApplyAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPrograms(retention, 0)
		n := &referenceModel{seqs: map[id.Session]uint64{}}
		ws := []*writer{{session: "a.1"}, {session: "b.1"}}
		var lastBatch record.Batch
		for i := range rapid.IntRange(5, 60).Draw(t, "batches") {
			w := ws[rapid.IntRange(0, 1).Draw(t, "writer")]
			if h := n.slot(5).Holder; h != "" && rapid.IntRange(0, 3).Draw(t, "holder writes") > 0 {
				w = map[id.Session]*writer{"a.1": ws[0], "b.1": ws[1]}[h]
			}
			b := lastBatch
			if i == 0 || rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
				b = w.batch(time.Duration(i)*time.Second, drawRecord(t, n, w.session))
			}
			lastBatch = b
			want := n.apply(b)
			for j, e := range p.Apply(uint64(i), b) {
				if (e.Verdict == Valid) != want[j] {
					t.Fatalf("batch %d record %d %+v: verdict %s, reference model %v", i, j, e.Record, e.Verdict, want[j])
				}
			}
			if p.Slot(5) != n.slot(5) {
				t.Fatalf("batch %d: slot %+v, reference model %+v", i, p.Slot(5), n.slot(5))
			}
		}
	})
}
