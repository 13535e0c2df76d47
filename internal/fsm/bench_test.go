package fsm

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

var sizes = []int{100, 1000, 8000, 64000}

func benchID(i int) id.Program {
	return id.NewProgram(id.Slot(i%id.Slots), fmt.Sprintf("%06d", i))
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// populated returns a Programs with n open programs, the writer that opened them and the next offset.
func populated(n int) (*Programs, *writer, uint64) {
	p := NewPrograms(retention, 0)
	w := &writer{session: "a.1"}
	for s := range id.Slot(id.Slots) {
		p.Apply(uint64(s), w.batch(0, record.Claim{Slot: s, Session: "a.1"}))
	}
	off := uint64(id.Slots)
	for i := range n {
		pid := benchID(i)
		s, _ := pid.Slot()
		p.Apply(off, w.batch(0, open(record.Holder{Slot: s, Epoch: 1}, pid)))
		off++
	}
	return p, w, off
}

// BenchmarkFoldTurn reports the cost of applying a Turn record, and the heap memory of a program, for
// increasing numbers of programs.
func BenchmarkFoldTurn(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			before := heapBytes()
			p, w, off := populated(n)
			perProgram := float64(heapBytes()-before) / float64(n)
			b.ReportAllocs()
			i, seq := 0, uint64(1)
			for b.Loop() {
				pid := benchID(i)
				s, _ := pid.Slot()
				if v := p.Apply(off, w.batch(0, turn(record.Holder{Slot: s, Epoch: 1}, pid, seq)))[0].Verdict; v != Valid {
					b.Fatal(v)
				}
				off++
				if i++; i == n {
					i, seq = 0, seq+1
				}
			}
			b.ReportMetric(perProgram, "B/program")
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkFoldTurnsOfProgram reports the time and memory of applying a turn as the history grows.
func BenchmarkFoldTurnsOfProgram(b *testing.B) {
	for _, turns := range []int{10, 30, 120} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p, w, off := populated(1)
				pid := benchID(0)
				for seq := range turns {
					p.Apply(off, w.batch(0, turn(record.Holder{Slot: 0, Epoch: 1}, pid, uint64(seq+1))))
					off++
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*turns), "ns/turn")
		})
	}
}

// BenchmarkDecodeRecord reports the cost of decoding a batch, per record.
func BenchmarkDecodeRecord(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			h := record.Holder{Slot: 5, Epoch: 1}
			recs := make([]record.Record, n)
			for i := range recs {
				recs[i] = turn(h, pid, uint64(i+1))
			}
			w := &writer{session: "a.1"}
			data, err := record.Encode(w.batch(0, recs...))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := record.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
			b.ReportMetric(float64(len(data))/float64(n), "B/record")
		})
	}
}

// BenchmarkDue reports the cost of DueRefreshes when nothing is due.
func BenchmarkDue(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			p, _, _ := populated(n)
			b.ReportAllocs()
			for b.Loop() {
				p.DueRefreshes("a.1", start.Add(time.Minute), 64)
			}
		})
	}
}
