package fsm

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

const (
	testSlot    = id.Slot(3)
	testProgram = id.Program("p03-x")
)

// P1, P2, P3 and P10 in the comments below are the numbers that package breaks uses for the guarantees of
// the system.

// logWriter numbers the batches of sessions and applies them to a Programs.
type logWriter struct {
	programs *Programs
	seq      map[id.Session]uint64
	next     uint64
}

func newLogWriter() *logWriter {
	return &logWriter{programs: NewPrograms(time.Hour, 0), seq: map[id.Session]uint64{}}
}

// write applies one batch and returns the verdicts on its records.
func (w *logWriter) write(s id.Session, recs ...record.Record) []Verdict {
	w.seq[s]++
	return w.writeSeq(s, w.seq[s], recs...)
}

func (w *logWriter) writeSeq(s id.Session, seq uint64, recs ...record.Record) []Verdict {
	at := time.UnixMilli(int64(w.next)).UTC()
	var out []Verdict
	for _, e := range w.programs.Apply(w.next, record.Batch{Session: s, Seq: seq, At: at, Records: recs}) {
		out = append(out, e.Verdict)
	}
	w.next++
	return out
}

func testTurn(epoch id.Epoch, seq uint64, key string) record.Turn {
	return record.Turn{
		Holder: record.Holder{Slot: testSlot, Epoch: epoch},
		Call:   id.Call{Program: testProgram, Branch: id.MainBranch, Seq: seq}, Key: key,
		New: []record.Message{{Raw: []byte(`"` + key + `"`)}}, Answer: record.Message{Raw: []byte(`"a"`)},
	}
}

// newOpenedLog returns a logWriter with one open program, whose slot session a holds at epoch 1.
func newOpenedLog(t *testing.T) *logWriter {
	t.Helper()
	w := newLogWriter()
	h := record.Holder{Slot: testSlot, Epoch: 1}
	got := w.write("a", record.Claim{Slot: testSlot, Session: "a"}, record.Open{Holder: h, Program: testProgram})
	must.Eq(t, []Verdict{Valid, Valid}, got)
	return w
}

// Guarantee P1: guards against a former holder that goes on writing, and against a claimant that writes
// under an epoch that no claim established.
func TestApplyRejectsOtherEpochs(t *testing.T) {
	w := newOpenedLog(t)
	must.Eq(t, []Verdict{Valid}, w.write("b", record.Claim{Slot: testSlot, Prev: 1, Session: "b"}))
	must.Eq(t, []Verdict{WrongExpected}, w.write("c", record.Claim{Slot: testSlot, Prev: 1, Session: "c"}))
	must.Eq(t, []Verdict{StaleEpoch}, w.write("a", testTurn(1, 1, "k")))
	must.Eq(t, []Verdict{StaleEpoch}, w.write("a", testTurn(2, 1, "k")))
	must.Eq(t, []Verdict{StaleEpoch}, w.write("b", testTurn(3, 1, "k")))
	must.Eq(t, []Verdict{Valid}, w.write("b", testTurn(2, 1, "k")))
}

// Guarantee P1: guards against a call that takes effect before the preceding call of its branch, or takes
// effect twice.
func TestApplyRejectsCallsOutOfOrder(t *testing.T) {
	w := newOpenedLog(t)
	must.Eq(t, []Verdict{OutOfOrder}, w.write("a", testTurn(1, 2, "k2")))
	must.Eq(t, []Verdict{Valid}, w.write("a", testTurn(1, 1, "k1")))
	must.Eq(t, []Verdict{OutOfOrder}, w.write("a", testTurn(1, 1, "k3")))
	must.Eq(t, []Verdict{OutOfOrder}, w.write("a", testTurn(1, 2, "k1")))
	must.Eq(t, []Verdict{Valid}, w.write("a", testTurn(1, 2, "k2")))
	must.Eq(t, uint64(2), w.programs.Program(testProgram).Branches[id.MainBranch].LastSeq)
}

// Guarantees P2 and P3: guards against a batch that counts twice because its writer lost the answer to the
// append and repeated it. The Raise only adds spending, so no check of the order rejects a second one.
func TestApplyRejectsRepeatedBatch(t *testing.T) {
	w := newOpenedLog(t)
	raise := record.Raise{
		Holder: record.Holder{Slot: testSlot, Epoch: 1}, Program: testProgram, Used: record.Spend{Tokens: 7},
	}
	must.Eq(t, []Verdict{Valid}, w.writeSeq("a", 2, raise))
	must.Eq(t, []Verdict{Duplicate}, w.writeSeq("a", 2, raise))
	must.Eq(t, int64(7), w.programs.Program(testProgram).Spent.Tokens)
}

// Guarantee P10: guards against a manifest version that decreases because of an old refresh, a publication
// against an old version or an older manifest of a peer.
func TestApplyRejectsOldConfigs(t *testing.T) {
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
	must.Eq(t, Ignored, write(record.ManifestRefresh{Version: 1, Digest: "v1", ReadTo: 1}))
	must.Eq(t, "v2", c.Current().Digest)
	must.Eq(t, Ignored, write(record.ManifestRefresh{Version: 2, Digest: "other", ReadTo: 2}))
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

// Guarantee P3: guards against unrecorded spending of a holder that failed. After a takeover everything
// below the high-water mark counts as spent, also after a second takeover, and a recovered turn is not
// counted twice.
func TestApplyCountsMarkAfterTakeover(t *testing.T) {
	w := newLogWriter()
	h := record.Holder{Slot: testSlot, Epoch: 1}
	w.write("a", record.Claim{Slot: testSlot, Session: "a"}, record.Open{
		Holder: h, Program: testProgram, Limits: record.Limits{Tokens: 100, ChargeCents: 40},
		HighWater: record.Spend{Tokens: 25, ChargeCents: 10},
	})
	counted := func() record.Spend { return w.programs.Program(testProgram).Counted() }
	must.Eq(t, record.Spend{}, counted())
	w.write("b", record.Claim{Slot: testSlot, Prev: 1, Session: "b"})
	must.Eq(t, record.Spend{Tokens: 25, ChargeCents: 10}, counted())
	turn := testTurn(2, 1, "k")
	turn.Recovered = true
	turn.Used = record.Spend{Tokens: 20}
	must.Eq(t, []Verdict{Valid}, w.write("b", turn))
	must.Eq(t, int64(25), counted().Tokens)
	h.Epoch = 2
	must.Eq(t, []Verdict{Valid}, w.write("b", record.Raise{Holder: h, Program: testProgram, HighWater: record.Spend{Tokens: 60, ChargeCents: 10}}))
	w.write("c", record.Claim{Slot: testSlot, Prev: 2, Session: "c"})
	must.Eq(t, record.Spend{Tokens: 60, ChargeCents: 10}, counted())
}
