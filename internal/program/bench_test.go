package program

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// benchOwner is a Core whose appends are applied at once, without encoding them.
type benchOwner struct {
	b    *testing.B
	core *Core
	sm   *fsm.Programs
	off  uint64
	now  time.Duration
	out  []Action
}

func (o *benchOwner) apply(recs ...record.Record) {
	e := o.sm.Apply(o.off, record.Batch{Session: "a.1", Seq: o.off + 1, At: testEpoch.Add(o.now), Records: recs})
	o.off++
	for _, x := range e {
		if x.Verdict != fsm.Valid && x.Verdict != fsm.Ignored {
			o.b.Fatalf("%+v: %s", x.Record, x.Verdict)
		}
		o.step(Applied{x})
	}
}

// step handles an event and applies the records that it appends. It returns the submitted request, if any.
func (o *benchOwner) step(ev Event) (submitted sched.Request) {
	out := o.core.Step(o.now, ev, o.out[:0])
	o.out = nil
	var recs []record.Record
	for _, a := range out {
		switch x := a.(type) {
		case Append:
			recs = append(recs, x.Records...)
		case Submit:
			submitted = x.Request
		}
	}
	if len(recs) > 0 {
		o.apply(recs...)
	}
	o.out = out
	return submitted
}

func newBenchOwner(b *testing.B, programs int) *benchOwner {
	o := &benchOwner{b: b, sm: fsm.NewPrograms(time.Hour, 0)}
	o.core = New(Config{Session: "a.1", StateMachine: o.sm})
	o.step(SetManifest{Version: 1, Manifest: testManifest()})
	o.step(LeaseChanged{Until: 1000 * time.Hour})
	o.step(Tick{Now: testEpoch})
	for s := range id.Slot(id.Slots) {
		o.apply(record.Claim{Slot: s, Session: "a.1"})
	}
	for i := range programs {
		o.step(OpenProgram{Program: benchProgram(i), Team: "t", Duty: "d", Now: testEpoch})
	}
	return o
}

func benchProgram(i int) id.Program {
	return id.NewProgram(id.Slot(i%id.Slots), fmt.Sprintf("%06d", i))
}

func (o *benchOwner) turn(i int, key string) {
	r := o.step(ModelCall{
		Team: "t", Program: benchProgram(i), Key: key, Model: "m", History: HistoryAppend,
		Messages: []record.Message{{Raw: []byte(`{"role":"user","content":"hello"}`)}},
	})
	o.step(Granted{sched.Grant{Request: r, Endpoint: "m1"}})
	o.step(Finished{
		Attempt: r.ID, Result: sched.ResultOK, Status: 200, Sent: true, PromptTokens: 9, OutputTokens: 9,
		Answer: []byte(`{"role":"assistant","content":"hello"}`), Body: []byte(`{"choices":[]}`),
	})
}

// BenchmarkStepTurn measures the cost of a complete turn (call, grant, answer, commit) and the memory per
// program in Core and the replicated state machine, for growing numbers of programs.
func BenchmarkStepTurn(b *testing.B) {
	for _, n := range []int{100, 1000, 8000, 64000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			before := m.HeapAlloc
			o := newBenchOwner(b, n)
			runtime.GC()
			runtime.ReadMemStats(&m)
			perProgram := float64(m.HeapAlloc-before) / float64(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				o.turn(i%n, fmt.Sprintf("k%d", i/n))
				i++
			}
			b.ReportMetric(perProgram, "B/program")
			runtime.KeepAlive(o)
		})
	}
}

// BenchmarkStepTurnsOfProgram measures the cost of a turn as the history of its program grows.
func BenchmarkStepTurnsOfProgram(b *testing.B) {
	for _, turns := range []int{10, 30, 120} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				o := newBenchOwner(b, 1)
				for i := range turns {
					o.turn(0, fmt.Sprintf("k%d", i))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*turns), "ns/turn")
		})
	}
}

// BenchmarkTick measures the cost of a tick when no timer is due.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 64000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			o := newBenchOwner(b, n)
			b.ReportAllocs()
			for b.Loop() {
				o.now += 10 * time.Millisecond
				o.step(Tick{Now: testEpoch.Add(time.Minute)})
			}
		})
	}
}
