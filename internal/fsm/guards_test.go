package fsm

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

const (
	guardSlot    = id.Slot(3)
	guardProgram = id.Program("p03-x")
)

// logWriter appends batches of sessions to a fold.
type logWriter struct {
	fold *Programs
	seq  map[id.Session]uint64
	next uint64
}

func newLogWriter() *logWriter {
	return &logWriter{fold: NewPrograms(time.Hour, 0), seq: map[id.Session]uint64{}}
}

// write appends one batch and returns the verdicts on its records.
func (w *logWriter) write(s id.Session, recs ...record.Record) []Verdict {
	w.seq[s]++
	return w.writeSeq(s, w.seq[s], recs...)
}

func (w *logWriter) writeSeq(s id.Session, seq uint64, recs ...record.Record) []Verdict {
	at := time.UnixMilli(int64(w.next)).UTC()
	var out []Verdict
	for _, e := range w.fold.Apply(w.next, record.Batch{Session: s, Seq: seq, At: at, Records: recs}) {
		out = append(out, e.Verdict)
	}
	w.next++
	return out
}

func guardTurn(epoch id.Epoch, seq uint64, key string) record.Turn {
	return record.Turn{
		Holder: record.Holder{Slot: guardSlot, Epoch: epoch},
		Call:   id.Call{Program: guardProgram, Branch: id.MainBranch, Seq: seq}, Key: key,
		New: []record.Message{{Raw: []byte(`"` + key + `"`)}}, Answer: record.Message{Raw: []byte(`"a"`)},
	}
}

// opened is a fold with one program of session a at epoch 1.
func opened(t *testing.T) *logWriter {
	t.Helper()
	w := newLogWriter()
	h := record.Holder{Slot: guardSlot, Epoch: 1}
	got := w.write("a", record.Claim{Slot: guardSlot, Session: "a"}, record.Open{Holder: h, Program: guardProgram})
	must.Eq(t, []Verdict{Valid, Valid}, got)
	return w
}

// Guards P1 against a holder that was deposed and goes on writing, and against a claimant that writes
// under an epoch that was never given out.
func TestFoldRefusesOtherEpochs(t *testing.T) {
	w := opened(t)
	must.Eq(t, []Verdict{Valid}, w.write("b", record.Claim{Slot: guardSlot, Prev: 1, Session: "b"}))
	must.Eq(t, []Verdict{WrongExpected}, w.write("c", record.Claim{Slot: guardSlot, Prev: 1, Session: "c"}))
	must.Eq(t, []Verdict{StaleEpoch}, w.write("a", guardTurn(1, 1, "k")))
	must.Eq(t, []Verdict{StaleEpoch}, w.write("a", guardTurn(2, 1, "k")))
	must.Eq(t, []Verdict{StaleEpoch}, w.write("b", guardTurn(3, 1, "k")))
	must.Eq(t, []Verdict{Valid}, w.write("b", guardTurn(2, 1, "k")))
}

// Guards P1 against a call that takes effect before or twice after the one ahead of it.
func TestFoldRefusesCallsOutOfOrder(t *testing.T) {
	w := opened(t)
	must.Eq(t, []Verdict{OutOfOrder}, w.write("a", guardTurn(1, 2, "k2")))
	must.Eq(t, []Verdict{Valid}, w.write("a", guardTurn(1, 1, "k1")))
	must.Eq(t, []Verdict{OutOfOrder}, w.write("a", guardTurn(1, 1, "k3")))
	must.Eq(t, []Verdict{OutOfOrder}, w.write("a", guardTurn(1, 2, "k1")))
	must.Eq(t, []Verdict{Valid}, w.write("a", guardTurn(1, 2, "k2")))
	must.Eq(t, uint64(2), w.fold.Program(guardProgram).Branches[id.MainBranch].LastSeq)
}

// Guards P2 and P3 against an append whose answer was lost and whose repeat counts a second time. The
// raise only adds spending, so no order check stops a second one.
func TestFoldRefusesRepeatedBatch(t *testing.T) {
	w := opened(t)
	raise := record.Raise{
		Holder: record.Holder{Slot: guardSlot, Epoch: 1}, Program: guardProgram, Used: record.Spend{Tokens: 7},
	}
	must.Eq(t, []Verdict{Valid}, w.writeSeq("a", 2, raise))
	must.Eq(t, []Verdict{Duplicate}, w.writeSeq("a", 2, raise))
	must.Eq(t, int64(7), w.fold.Program(guardProgram).Spent.Tokens)
}

// Guards P10 against a version that goes back: by an old refresh, by a publication against an old
// version or by an older manifest of a peer.
func TestFoldRefusesOldConfigs(t *testing.T) {
	c := NewConfigs(time.Hour, 0)
	next := uint64(0)
	write := func(rec record.Record) Verdict {
		next++
		effects := c.Apply(next-1, record.Batch{Session: "op", Seq: next, Records: []record.Record{rec}})
		must.Len(t, 1, effects)
		return effects[0].Verdict
	}
	must.Eq(t, Valid, write(record.Publish{Expected: 0, Digest: "v1"}))
	must.Eq(t, Valid, write(record.Publish{Expected: 1, Digest: "v2"}))
	must.Eq(t, Ignored, write(record.Refresh{Version: 1, Digest: "v1", ReadTo: 1}))
	must.Eq(t, "v2", c.Current().Digest)
	must.Eq(t, Ignored, write(record.Refresh{Version: 2, Digest: "other", ReadTo: 2}))
	must.Eq(t, "v2", c.Current().Digest)
	must.Eq(t, WrongExpected, write(record.Publish{Expected: 1, Digest: "late"}))
	must.Eq(t, WrongExpected, write(record.Publish{Expected: 3, Digest: "early"}))
	must.False(t, c.Adopt(Manifest{Version: 1, Digest: "v1"}))
	must.Eq(t, uint64(2), c.Current().Version)
	must.Eq(t, "v2", c.Current().Digest)
	must.True(t, c.Adopt(Manifest{Version: 3, Digest: "v3"}))
	must.False(t, c.Adopt(Manifest{Version: 2, Digest: "v2"}))
	must.Eq(t, "v3", c.Current().Digest)
}

// Guards P3 against a holder that died with spending that it had not recorded: all below the mark counts,
// through two take-overs, and a recovered turn is not counted a second time.
func TestFoldCountsTheMarkAfterTakeOver(t *testing.T) {
	w := newLogWriter()
	h := record.Holder{Slot: guardSlot, Epoch: 1}
	w.write("a", record.Claim{Slot: guardSlot, Session: "a"}, record.Open{
		Holder: h, Program: guardProgram, Limits: record.Limits{Tokens: 100, ChargeCents: 40},
		Mark: record.Spend{Tokens: 25, ChargeCents: 10},
	})
	counted := func() record.Spend { return w.fold.Program(guardProgram).Counted() }
	must.Eq(t, record.Spend{}, counted())
	w.write("b", record.Claim{Slot: guardSlot, Prev: 1, Session: "b"})
	must.Eq(t, record.Spend{Tokens: 25, ChargeCents: 10}, counted())
	turn := guardTurn(2, 1, "k")
	turn.Recovered = true
	turn.Used = record.Spend{Tokens: 20}
	must.Eq(t, []Verdict{Valid}, w.write("b", turn))
	must.Eq(t, int64(25), counted().Tokens)
	h.Epoch = 2
	must.Eq(t, []Verdict{Valid}, w.write("b", record.Raise{Holder: h, Program: guardProgram, Mark: record.Spend{Tokens: 60, ChargeCents: 10}}))
	w.write("c", record.Claim{Slot: guardSlot, Prev: 2, Session: "c"})
	must.Eq(t, record.Spend{Tokens: 60, ChargeCents: 10}, counted())
}
