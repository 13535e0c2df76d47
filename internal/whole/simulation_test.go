// Package whole tests several instances together in virtual time: the real cores (packages fsm, program, sched and
// membership) and the codecs of records and messages, with stand-ins for the log, the list of instances and endpoints,
// engines and services. It has test files only.
//
// A simulation runs the nodes (processes of instances), the endpoints and the callers. A driver draws programs and
// faults, and an oracle checks the guarantees of the system at every step.
package whole

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/record"
)

const (
	stepTime      = 50 * time.Millisecond
	retention     = time.Minute // of log records; short, so that records expire during a run
	slots         = 4           // number of slots that programs use
	streamConfig  = 0
	streamProgram = 1
)

var wallStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// fakeLog is the platform's log. An outage affects both streams.
type fakeLog struct {
	streams   [2]logStream
	down      bool
	outageEnd time.Duration // time at which the last outage ended
	ackLoss   float64       // probability that the answer to an append that took effect is lost
}

type logStream struct {
	batches    [][]byte
	appendedAt []time.Duration
	earliest   int // index of the first batch that has not expired
}

// listVersion is the list of instances and endpoints from the time at on.
type listVersion struct {
	at        time.Duration
	instances []membership.Instance
	endpoints []membership.Endpoint
}

// testingT is the part of testing.T and rapid.T that the simulation uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// simulation connects instances, the platform, endpoints and callers. Faults and delays of single messages come
// from rng; the test draws everything else.
type simulation struct {
	t                testingT
	rng              *rand.Rand
	now              time.Duration
	events           eventHeap
	lastSerial       int
	log              fakeLog
	listVersions     []listVersion
	maxListAge       time.Duration // instances may read a list that is this old
	nodes            []*node
	lastRun          int           // number in the session of the process started last
	loss             float64       // probability that a message is lost; above 0 it also enables other network faults
	maxDelay         time.Duration // longest one-way delay of most messages; see delay
	reference        *fsm.Programs // state of a reader that applies each batch as soon as it is appended
	referenceConfigs *fsm.Configs
	referenceNext    [2]int
	leaving          map[string]time.Duration // leaving endpoints, with the time at which the list marked them
	engines          map[string]*engine
	services         map[string]*service
	callers          []*caller
	oracle           *oracle
	trace            []string
}

func newSimulation(t testingT, seed uint64, instances int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), maxDelay: 40 * time.Millisecond, maxListAge: time.Second,
		reference: fsm.NewPrograms(retention, 0), referenceConfigs: fsm.NewConfigs(retention, 0),
		leaving: map[string]time.Duration{}, engines: map[string]*engine{}, services: map[string]*service{},
	}
	sim.oracle = newOracle(sim)
	for _, e := range testManifest().Endpoints {
		if e.Pool == "m" {
			sim.engines[e.Name] = newEngine(sim, e.Name)
		} else {
			sim.services[e.Name] = newService(sim, e.Name)
		}
	}
	var names []string
	for n := range instances {
		names = append(names, fmt.Sprintf("i%d", n))
	}
	sim.setList(names)
	for _, name := range names {
		sim.start(name)
	}
	return sim
}

func testManifest() *manifest.Manifest {
	m := &manifest.Manifest{
		Duties: []manifest.Duty{{Name: "d", Share: 1, Teams: []string{"t"}, Pools: []string{"m", "s"}}},
		Pools: []manifest.Pool{
			{Name: "m", Kind: manifest.PoolModel, MaxTokens: 40, QueueLimit: 50, Timeout: 10 * time.Second},
			{Name: "s", Kind: manifest.PoolService, QueueLimit: 50, Timeout: 8 * time.Second},
		},
		Services: []manifest.Service{{Pool: "s", Operations: []manifest.Operation{
			{Name: "charge", ChargeCents: 10},
			{Name: "reserve", ChargeCents: 10, CanBeAsked: true},
			{Name: "look", Idempotent: true},
		}}},
	}
	for n := range 3 {
		m.Endpoints = append(m.Endpoints, manifest.Endpoint{Name: fmt.Sprintf("m%d", n), Pool: "m", MaxInFlight: 2,
			CacheTokens: 20000})
	}
	for n := range 2 {
		m.Endpoints = append(m.Endpoints, manifest.Endpoint{Name: fmt.Sprintf("s%d", n), Pool: "s", MaxInFlight: 3})
	}
	return m
}

func (sim *simulation) wallTime() time.Time { return wallStart.Add(sim.now) }

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8.2fs ", sim.now.Seconds())+fmt.Sprintf(format, args...))
}

// traceLines is the maximum number of events that a failure prints.
var traceLines = 60

// fail prints the end of the trace and fails the test.
func (sim *simulation) fail(format string, args ...any) {
	for _, line := range sim.trace[max(0, len(sim.trace)-traceLines):] {
		sim.t.Logf("%s", line)
	}
	sim.t.Fatalf("at %.2fs: "+format, append([]any{sim.now.Seconds()}, args...)...)
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.lastSerial++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.lastSerial, run: f})
}

// delay draws the one-way delay of a message. While loss is above 0, one message in 20 takes 8 times as long.
func (sim *simulation) delay() time.Duration {
	d := time.Duration(sim.rng.Int64N(int64(sim.maxDelay)) + 1)
	if sim.loss > 0 && sim.rng.IntN(20) == 0 {
		d *= 8
	}
	return d
}

// deliver runs f at a process after d. A dead process drops f; a paused one runs it when it resumes.
func (sim *simulation) deliver(n *node, d time.Duration, f func()) {
	sim.after(d, func() {
		switch {
		case n.dead:
		case n.paused:
			n.inbox = append(n.inbox, f)
		default:
			f()
		}
	})
}

// exchangeID returns an unused exchange number.
func (sim *simulation) exchangeID() uint64 {
	sim.lastSerial++
	return uint64(sim.lastSerial)
}

func (sim *simulation) node(s id.Session) *node {
	for _, n := range sim.nodes {
		if n.session == s {
			return n
		}
	}
	return nil
}

func (sim *simulation) setList(names []string) {
	v := listVersion{at: sim.now}
	for _, name := range names {
		v.instances = append(v.instances, membership.Instance{Name: name})
	}
	for _, e := range testManifest().Endpoints {
		_, leaving := sim.leaving[e.Name]
		v.endpoints = append(v.endpoints, membership.Endpoint{Name: e.Name, Leaving: leaving})
	}
	sim.listVersions = append(sim.listVersions, v)
}

func (sim *simulation) listed() []string {
	var names []string
	for _, i := range sim.listVersions[len(sim.listVersions)-1].instances {
		names = append(names, i.Name)
	}
	return names
}

func (sim *simulation) setLeaving(endpoint string, leaving bool) {
	sim.tracef("list: %s leaving %v", endpoint, leaving)
	if leaving {
		sim.leaving[endpoint] = sim.now
	} else {
		delete(sim.leaving, endpoint)
	}
	sim.setList(sim.listed())
}

// appendTo sends one append request. It takes effect after a delay, possibly after a later retry of the same batch,
// and the answer, which runs ok, may be lost.
func (sim *simulation) appendTo(stream int, data []byte, ok func()) {
	d := sim.delay()
	if sim.loss > 0 && sim.rng.IntN(30) == 0 {
		d += time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
	}
	sim.after(d, func() {
		if sim.log.down {
			return
		}
		s := &sim.log.streams[stream]
		s.batches = append(s.batches, data)
		s.appendedAt = append(s.appendedAt, sim.now)
		sim.advanceReference()
		if sim.rng.Float64() >= sim.log.ackLoss {
			sim.after(sim.delay(), ok)
		}
	})
}

// advanceReference applies new batches to the reference state and passes their effects to the oracle.
func (sim *simulation) advanceReference() {
	for stream := range sim.log.streams {
		s := &sim.log.streams[stream]
		for ; sim.referenceNext[stream] < len(s.batches); sim.referenceNext[stream]++ {
			b, err := record.Decode(s.batches[sim.referenceNext[stream]])
			if err != nil {
				sim.fail("decode: %v", err)
			}
			effects := sim.referenceConfigs.Apply
			if stream == streamProgram {
				effects = sim.reference.Apply
			}
			for _, e := range effects(uint64(sim.referenceNext[stream]), b) {
				sim.oracle.applied(e)
			}
		}
	}
}

func (sim *simulation) setLogDown(down bool) {
	if sim.log.down && !down {
		sim.log.outageEnd = sim.now
	}
	if sim.log.down != down {
		sim.tracef("log down %v", down)
	}
	sim.log.down = down
}

// advance runs the simulation for d in steps of stepTime.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += stepTime
		for len(sim.events) > 0 && sim.events[0].at <= sim.now {
			heap.Pop(&sim.events).(event).run()
		}
		for i := range sim.log.streams {
			s := &sim.log.streams[i]
			for s.earliest < len(s.appendedAt) && sim.now-s.appendedAt[s.earliest] > retention {
				s.earliest++
			}
		}
		for _, n := range slices.Clone(sim.nodes) { // a process may stop in its tick, which removes it from nodes
			if !n.dead && !n.paused {
				n.tick()
			}
		}
		for _, c := range sim.callers {
			c.tick()
		}
		sim.oracle.checkManifestDelay()
	}
}
