package capacity

import (
	"bytes"
	"fmt"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

const (
	session   = id.Session("i-1.a")
	retention = time.Hour
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// writer applies batches to a replicated state machine, as one session that holds every slot.
type writer struct {
	sm     *fsm.Programs
	seq    uint64
	offset uint64
}

func newWriter() *writer {
	w := &writer{sm: fsm.NewPrograms(retention, 0)}
	var claims []record.Record
	for s := range id.Slots {
		claims = append(claims, record.Claim{Slot: id.Slot(s), Session: session})
	}
	w.apply(claims...)
	return w
}

func (w *writer) apply(recs ...record.Record) {
	w.seq++
	w.sm.Apply(w.offset, record.Batch{Session: session, Seq: w.seq, At: epochStart, Records: recs})
	w.offset++
}

func programID(n int) id.Program {
	return id.NewProgram(id.Slot(n%id.Slots), fmt.Sprintf("%012x", n))
}

func holderOf(p id.Program) record.Holder {
	s, _ := p.Slot()
	return record.Holder{Slot: s, Epoch: 1}
}

func openRecord(n int) record.Open {
	p := programID(n)
	return record.Open{
		Holder: holderOf(p), Program: p, Team: fmt.Sprintf("tenant-%d", n%2500), Duty: "drafting",
		Key: fmt.Sprintf("open-%d", n), OpenedAt: epochStart,
		Limits: record.Limits{Tokens: 640_000, Calls: 120}, HighWater: record.Spend{Tokens: 160_000},
	}
}

// turnRecord returns a turn whose new message, answer and answer body have payload bytes each.
func turnRecord(n int, seq uint64, payload int) record.Turn {
	p := programID(n)
	text := func(b byte) []byte { return bytes.Repeat([]byte{b}, payload) }
	return record.Turn{
		Holder: holderOf(p), Call: id.Call{Program: p, Branch: id.MainBranch, Seq: seq},
		Key: fmt.Sprintf("key-%d-%d", n, seq), Digest: uint64(n), Status: 200,
		New:    []record.Message{{Raw: text('q')}},
		Answer: record.Message{Raw: text('a')},
		Body:   text('b'),
		Used:   record.Spend{Tokens: 300, Calls: 1}, Endpoint: "engine-1",
	}
}

// stateProbes measures the replicated state machine, which the names of the probes call "fold", the encoding
// of turn records in the log, and the snapshot of a program.
func stateProbes() []probe {
	return []probe{
		{
			name: "fold: memory of an open program without calls", xUnit: "program", yUnit: "B",
			loads: []int{1000, 4000, 16000, 64000},
			run: func(n int) float64 {
				return heapOf(func() any {
					w := newWriter()
					for i := range n {
						w.apply(openRecord(i))
					}
					return w
				})
			},
		},
		{
			name: "fold: memory of a turn without text", xUnit: "turn", yUnit: "B",
			loads: []int{1000, 4000, 16000, 64000},
			run:   func(n int) float64 { return heapOf(func() any { return applyTurns(n, 0) }) },
		},
		{
			name: "fold: memory of recorded text", xUnit: "B of text", yUnit: "B",
			loads: []int{128, 512, 1024, 2048},
			run: func(payload int) float64 {
				const turns = 8000
				return heapOf(func() any { return applyTurns(turns, payload) }) / turns / 3
			},
		},
		{
			name: "fold: time of a turn record", xUnit: "turn", yUnit: "us",
			loads: []int{4000, 16000, 64000},
			run: func(n int) float64 {
				w, turns := preparedTurns(n, 64)
				return secondsOf(func() {
					for _, t := range turns {
						w.apply(t)
					}
				}) * 1e6
			},
		},
		{
			name: "log: bytes of a turn record without text", xUnit: "turn", yUnit: "B",
			loads: []int{1, 10, 100, 1000},
			run:   func(n int) float64 { return float64(len(encodeTurns(n))) },
		},
		{
			name: "log: time to encode and decode a turn record", xUnit: "turn", yUnit: "us",
			loads: []int{500, 1000, 2000, 4000},
			run: func(n int) float64 {
				return secondsOf(func() {
					if _, err := record.Decode(encodeTurns(n)); err != nil {
						panic(err)
					}
				}) * 1e6
			},
		},
		{
			name: "snapshot: time to write and read a history", xUnit: "KB", yUnit: "us",
			loads: []int{64, 256, 1024, 2560},
			run:   snapshotMicros,
		},
	}
}

func applyTurns(n, payload int) *writer {
	w, turns := preparedTurns(n, payload)
	for _, t := range turns {
		w.apply(t)
	}
	return w
}

// preparedTurns returns a state machine with n/8 open programs, and eight turns for each that are not
// applied yet.
func preparedTurns(n, payload int) (*writer, []record.Turn) {
	const perProgram = 8
	w := newWriter()
	turns := make([]record.Turn, 0, n)
	for i := range n / perProgram {
		w.apply(openRecord(i))
		for seq := range perProgram {
			turns = append(turns, turnRecord(i, uint64(seq+1), payload))
		}
	}
	return w, turns
}

func encodeTurns(n int) []byte {
	b := record.Batch{Session: session, Seq: 1, At: epochStart}
	for i := range n {
		b.Records = append(b.Records, turnRecord(i, 1, 0))
	}
	data, err := record.Encode(b)
	if err != nil {
		panic(err)
	}
	return data
}

func snapshotMicros(kilobytes int) float64 {
	const turns = 100
	w := newWriter()
	w.apply(openRecord(0))
	for seq := range turns {
		w.apply(turnRecord(0, uint64(seq+1), kilobytes*1000/turns/3))
	}
	p := w.sm.Program(programID(0))
	return secondsOf(func() {
		data, err := fsm.EncodeState(p)
		if err != nil {
			panic(err)
		}
		if _, err := fsm.DecodeState(data); err != nil {
			panic(err)
		}
	}) * 1e6
}
