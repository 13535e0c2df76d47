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

// ownerHarness drives the core of an owner and performs its actions at once, in place of the log, the
// dispatcher and the engine.
type ownerHarness struct {
	w       *writer
	core    *program.Core
	now     time.Duration
	req     program.ReqID
	pending []program.Action
	replies int

	holdEngine bool       // if set, model calls are started but never finish
	running    id.Attempt // the attempt that was dispatched last
}

func newOwnerHarness() *ownerHarness {
	w := newWriter()
	h := &ownerHarness{w: w, core: program.New(program.Config{Session: session, Zone: "a", StateMachine: w.sm})}
	h.step(program.SetManifest{Version: 1, Manifest: probeManifest()})
	h.step(program.LeaseChanged{Until: time.Hour})
	h.step(program.Tick{Now: epochStart})
	for s := range id.Slots {
		claim := record.Claim{Slot: id.Slot(s), Prev: 1, Session: session}
		h.append([]record.Record{claim})
	}
	return h
}

func probeManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Duties:    []manifest.Duty{{Name: "drafting", Teams: []string{"tenant"}, Pools: []string{"model"}}},
		Pools:     []manifest.Pool{{Name: "model", Kind: manifest.PoolModel, MaxTokens: 100, Timeout: time.Minute}},
		Endpoints: []manifest.Endpoint{{Name: "engine-1", Pool: "model"}},
	}
}

func (h *ownerHarness) step(ev program.Event) {
	h.now += time.Microsecond
	h.pending = h.core.Step(h.now, ev, h.pending)
	for len(h.pending) > 0 {
		a := h.pending[0]
		h.pending = h.pending[1:]
		h.perform(a)
	}
}

func (h *ownerHarness) perform(a program.Action) {
	switch a := a.(type) {
	case program.Append:
		h.append(a.Records)
	case program.FetchCopies:
		h.step(program.CopiesFetched{Slot: a.Slot})
	case program.Submit:
		h.step(program.Granted{Grant: sched.Grant{Request: a.Request, Endpoint: "engine-1"}})
	case program.DispatchModel:
		h.running = a.Attempt
		if !h.holdEngine {
			h.step(finishedOK(a.Attempt))
		}
	case program.ReleaseCache:
		h.step(program.CacheReleased{Program: a.Program, Endpoint: a.Endpoint})
	case program.Reply:
		if a.Problem != nil {
			panic(fmt.Sprintf("probe call refused: %+v", *a.Problem))
		}
		h.replies++
	}
}

func (h *ownerHarness) append(recs []record.Record) {
	h.w.seq++
	batch := record.Batch{Session: session, Seq: h.w.seq, At: epochStart, Records: recs}
	effects := h.w.sm.Apply(h.w.offset, batch)
	h.w.offset++
	for _, e := range effects {
		h.step(program.Applied{Effect: e})
	}
}

func (h *ownerHarness) open(n int) {
	h.req++
	h.step(program.OpenProgram{
		Req: h.req, Program: programID(n), Team: "tenant", Duty: "drafting", Key: fmt.Sprintf("open-%d", n),
		Limits: record.Limits{Tokens: 640_000}, Now: epochStart,
	})
}

func (h *ownerHarness) call(n, seq int) {
	h.req++
	h.step(program.ModelCall{
		Req: h.req, Team: "tenant", Program: programID(n), Branch: id.MainBranch,
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
				h := newOwnerHarness()
				for i := range (n + perProgram - 1) / perProgram {
					h.open(i)
				}
				h.replies = 0
				seconds := secondsOf(func() {
					for i := range n {
						h.call(i/perProgram, i%perProgram)
					}
				})
				if h.replies != n {
					panic(fmt.Sprintf("%d calls gave %d replies", n, h.replies))
				}
				return seconds * 1e6
			},
		},
		{
			name: "owner: memory of a program in use", xUnit: "program", yUnit: "B",
			loads: []int{500, 1000, 2000, 4000},
			run: func(n int) float64 {
				return heapOf(func() any {
					h := newOwnerHarness()
					for i := range n {
						h.open(i)
						h.call(i, 0)
					}
					return h
				})
			},
		},
		{
			name: "owner: take-over of programs without text", xUnit: "program", yUnit: "us",
			loads: []int{640, 2560, 10240},
			run:   takeoverMicros,
		},
	}
}

// takeoverMicros returns the time, in microseconds, that a second session needs to claim all slots,
// which hold n programs, and to resume them once their copies have been fetched from peers.
func takeoverMicros(n int) float64 {
	w := newWriter()
	for i := range n {
		w.apply(openRecord(i))
		w.apply(turnRecord(i, 1, 0))
	}
	core := program.New(program.Config{Session: "i-2.b", Zone: "b", StateMachine: w.sm})
	core.Step(0, program.SetManifest{Version: 1, Manifest: probeManifest()}, nil)
	core.Step(0, program.Tick{Now: epochStart}, nil)
	return secondsOf(func() { claimAll(w.sm, core, w.offset) }) * 1e6
}

func claimAll(sm *fsm.Programs, core *program.Core, offset uint64) {
	const next = id.Session("i-2.b")
	b := record.Batch{Session: next, Seq: 1, At: epochStart}
	for s := range id.Slots {
		b.Records = append(b.Records, record.Claim{Slot: id.Slot(s), Prev: 1, Session: next})
	}
	for _, e := range sm.Apply(offset, b) {
		core.Step(0, program.Applied{Effect: e}, nil)
	}
	for s := range id.Slots {
		core.Step(0, program.CopiesFetched{Slot: id.Slot(s)}, nil)
	}
}
