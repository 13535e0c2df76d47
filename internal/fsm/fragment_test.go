package fsm

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Guards against a turn in several appends that is lost, applied in part, or accepted although another
// session took over the slot before the last part.
func TestTurnInFragments(t *testing.T) {
	for _, takenOver := range []bool{false, true} {
		p := NewPrograms(time.Hour, 0)
		at := time.Unix(1000, 0)
		offset := uint64(0)
		apply := func(s id.Session, seq uint64, recs ...record.Record) []Effect {
			offset++
			return p.Apply(offset-1, record.Batch{Session: s, Seq: seq, At: at, Records: recs})
		}
		const a, b = id.Session("a.1"), id.Session("b.1")
		h := record.Holder{Slot: 5, Epoch: 1}
		prog := id.NewProgram(5, "x")
		apply(a, 1, record.Claim{Slot: 5, Session: a}, record.Open{Holder: h, Program: prog})
		turn := record.Turn{
			Holder: h, Call: id.Call{Program: prog, Branch: id.MainBranch, Seq: 1}, Key: "k",
			Body: bytes.Repeat([]byte{'x'}, 2*record.MaxBatchBytes),
		}
		parts, err := record.Split(turn, record.MaxBatchBytes)
		must.NoError(t, err)
		last := len(parts) - 1
		for i, part := range parts[:last] {
			must.Eq(t, Ignored, apply(a, uint64(2+i), part.Record)[0].Verdict)
			must.Eq(t, 0, p.Program(prog).Branches[id.MainBranch].LastSeq)
		}
		want := Valid
		if takenOver {
			apply(b, 1, record.Claim{Slot: 5, Prev: 1, Session: b})
			want = StaleEpoch
		}
		e := apply(a, uint64(2+last), parts[last].Record)[0]
		must.Eq(t, want, e.Verdict)
		must.True(t, bytes.Equal(turn.Body, e.Record.(record.Turn).Body))
		must.Eq(t, Duplicate, apply(a, uint64(2+last), parts[last].Record)[0].Verdict)
		must.Eq(t, !takenOver, p.Program(prog).Branches[id.MainBranch].LastSeq == 1)
	}
}
