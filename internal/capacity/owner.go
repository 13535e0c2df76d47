package capacity

import (
	"bytes"
	"fmt"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// loopback drives an owner core whose log, dispatcher and engine answer at once.
type loopback struct {
	w       *writer
	core    *program.Core
	now     time.Duration
	req     program.ReqID
	pending []program.Action
	replies int

	holdEngine bool       // the engine does not finish its calls
	running    id.Attempt // the last call that was dispatched
}

func newLoopback() *loopback {
	w := newWriter()
	l := &loopback{w: w, core: program.New(program.Config{Session: session, Zone: "a", StateMachine: w.fold})}
	l.step(program.SetManifest{Version: 1, Manifest: probeManifest()})
	l.step(program.LeaseChanged{Until: time.Hour})
	l.step(program.Tick{Now: epochStart})
	for s := range id.Slots {
		claim := record.Claim{Slot: id.Slot(s), Prev: 1, Session: session}
		l.append([]record.Record{claim})
	}
	return l
}

func probeManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Duties:    []manifest.Duty{{Name: "drafting", Teams: []string{"tenant"}, Pools: []string{"model"}}},
		Pools:     []manifest.Pool{{Name: "model", Kind: manifest.PoolModel, MaxTokens: 100, Timeout: time.Minute}},
		Endpoints: []manifest.Endpoint{{Name: "engine-1", Pool: "model"}},
	}
}

func (l *loopback) step(ev program.Event) {
	l.now += time.Microsecond
	l.pending = l.core.Step(l.now, ev, l.pending)
	for len(l.pending) > 0 {
		a := l.pending[0]
		l.pending = l.pending[1:]
		l.act(a)
	}
}

func (l *loopback) act(a program.Action) {
	switch a := a.(type) {
	case program.Append:
		l.append(a.Records)
	case program.FetchCopies:
		l.step(program.CopiesFetched{Slot: a.Slot})
	case program.Submit:
		l.step(program.Granted{Grant: sched.Grant{Request: a.Request, Endpoint: "engine-1"}})
	case program.DispatchModel:
		l.running = a.Attempt
		if !l.holdEngine {
			l.step(finishedOK(a.Attempt))
		}
	case program.ReleaseCache:
		l.step(program.CacheReleased{Program: a.Program, Endpoint: a.Endpoint})
	case program.Reply:
		if a.Problem != nil {
			panic(fmt.Sprintf("probe call refused: %+v", *a.Problem))
		}
		l.replies++
	}
}

func (l *loopback) append(recs []record.Record) {
	l.w.seq++
	batch := record.Batch{Session: session, Seq: l.w.seq, At: epochStart, Records: recs}
	effects := l.w.fold.Apply(l.w.offset, batch)
	l.w.offset++
	for _, e := range effects {
		l.step(program.Applied{Effect: e})
	}
}

func (l *loopback) open(n int) {
	l.req++
	l.step(program.OpenProgram{
		Req: l.req, Program: programID(n), Team: "tenant", Duty: "drafting", Key: fmt.Sprintf("open-%d", n),
		Limits: record.Limits{Tokens: 640_000}, Now: epochStart,
	})
}

func (l *loopback) call(n, seq int) {
	l.req++
	l.step(program.ModelCall{
		Req: l.req, Team: "tenant", Program: programID(n), Branch: id.MainBranch,
		Key: fmt.Sprintf("key-%d", seq), Digest: uint64(seq), Model: "model", MaxTokens: 50,
		Messages: []record.Message{{Raw: bytes.Repeat([]byte{'q'}, 64)}}, History: program.HistoryAppend,
	})
}

func ownerProbes() []probe {
	return []probe{
		{
			name: "owner: time of a model call, all events", xUnit: "call", yUnit: "us",
			loads: []int{1000, 4000, 16000},
			run: func(n int) float64 {
				const perProgram = 10
				l := newLoopback()
				for i := range (n + perProgram - 1) / perProgram {
					l.open(i)
				}
				l.replies = 0
				seconds := secondsOf(func() {
					for i := range n {
						l.call(i/perProgram, i%perProgram)
					}
				})
				if l.replies != n {
					panic(fmt.Sprintf("%d calls gave %d replies", n, l.replies))
				}
				return seconds * 1e6
			},
		},
		{
			name: "owner: memory of a program in use", xUnit: "program", yUnit: "B",
			loads: []int{500, 1000, 2000, 4000},
			run: func(n int) float64 {
				return heapOf(func() any {
					l := newLoopback()
					for i := range n {
						l.open(i)
						l.call(i, 0)
					}
					return l
				})
			},
		},
		{
			name: "owner: take-over of programs without text", xUnit: "program", yUnit: "us",
			loads: []int{640, 2560, 10240},
			run:   takeOverMicros,
		},
	}
}

// takeOverMicros times the claim of all slots by a second session and the copies that follow.
func takeOverMicros(n int) float64 {
	w := newWriter()
	for i := range n {
		w.apply(openRecord(i))
		w.apply(turnRecord(i, 1, 0))
	}
	core := program.New(program.Config{Session: "i-2.b", Zone: "b", StateMachine: w.fold})
	core.Step(0, program.SetManifest{Version: 1, Manifest: probeManifest()}, nil)
	core.Step(0, program.Tick{Now: epochStart}, nil)
	return secondsOf(func() { claimAll(w.fold, core, w.offset) }) * 1e6
}

func claimAll(fold *fsm.Programs, core *program.Core, offset uint64) {
	const next = id.Session("i-2.b")
	b := record.Batch{Session: next, Seq: 1, At: epochStart}
	for s := range id.Slots {
		b.Records = append(b.Records, record.Claim{Slot: id.Slot(s), Prev: 1, Session: next})
	}
	for _, e := range fold.Apply(offset, b) {
		core.Step(0, program.Applied{Effect: e}, nil)
	}
	for s := range id.Slots {
		core.Step(0, program.CopiesFetched{Slot: id.Slot(s)}, nil)
	}
}
