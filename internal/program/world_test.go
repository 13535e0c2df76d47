package program

import (
	"fmt"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

const (
	testRetention  = time.Hour
	testLease      = 3 * time.Second
	testClaimAfter = 6 * time.Second // without a heartbeat before a claim
	testSlot       = id.Slot(5)
)

var testEpoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// fataler is what *testing.T, *testing.B and *rapid.T share.
type fataler interface {
	Fatalf(format string, args ...any)
	Helper()
}

// fakeLog is the platform's log in memory: it can lose answers, be down and expire records.
type fakeLog struct {
	batches     [][]byte
	appendedAt  []time.Duration
	earliest    int
	down        bool
	lostAnswers int // answers to lose
}

func (l *fakeLog) append(data []byte, now time.Duration) bool {
	if l.down {
		return false
	}
	l.batches = append(l.batches, data)
	l.appendedAt = append(l.appendedAt, now)
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return false
	}
	return true
}

func (l *fakeLog) expire(now time.Duration) {
	for l.earliest < len(l.appendedAt) && now-l.appendedAt[l.earliest] > testRetention {
		l.earliest++
	}
}

// owner is one instance: a core, its fold and its log client.
type owner struct {
	w             *world
	session       id.Session
	fsm           *fsm.Programs
	core          *Core
	queue         []record.Record
	inFlight      []byte
	seq           uint64
	dead          bool
	paused        bool
	lastHeartbeat time.Duration // last heartbeat
}

func (o *owner) step(ev Event) {
	if o.dead {
		return
	}
	for _, a := range o.core.Step(o.w.now, ev, nil) {
		o.w.act(o, a)
	}
}

func (o *owner) flush() {
	if o.inFlight == nil && len(o.queue) > 0 {
		n := min(len(o.queue), 64)
		o.seq++
		b := record.Batch{Session: o.session, Seq: o.seq, At: o.w.wall(), Records: o.queue[:n]}
		o.queue = append([]record.Record(nil), o.queue[n:]...)
		data, err := record.Encode(b)
		if err != nil {
			o.w.t.Fatalf("encode: %v", err)
		}
		o.inFlight = data
	}
	if o.inFlight != nil && o.w.log.append(o.inFlight, o.w.now) {
		o.inFlight = nil
	}
}

func (o *owner) read() {
	if o.w.log.down {
		return
	}
	for int(o.fsm.Next()) < len(o.w.log.batches) {
		off := o.fsm.Next()
		if int(off) < o.w.log.earliest {
			w := o.w
			w.kill(o) // its position has expired: the process starts again
			return
		}
		b, err := record.Decode(o.w.log.batches[off])
		if err != nil {
			o.w.t.Fatalf("decode offset %d: %v", off, err)
		}
		if b.Session == o.session && b.Seq == o.seq {
			o.inFlight = nil // seen while reading: no further retry
		}
		for _, e := range o.fsm.Apply(off, b) {
			o.step(Applied{e})
		}
	}
}

type netMessage struct {
	to  *owner // nil: endpoints and peers
	run func()
}

// run is what an endpoint did for one attempt.
type endpointRun struct {
	program  id.Program
	key      string
	endpoint string
	stream   []byte
	answer   []byte
	tokens   int64
	prompt   int64
	active   bool
	lost     bool // the endpoint has forgotten it
}

type copyEntry struct {
	by    id.Session
	ref   uint64
	slot  id.Slot
	epoch id.Epoch
	recs  []record.Record
}

type execKey struct {
	program id.Program
	key     string
}

// world joins owners, the log, peers that hold copies, endpoints and callers.
type world struct {
	t       fataler
	now     time.Duration
	log     *fakeLog
	owners  []*owner
	net     []netMessage
	pick    func(n int, what string) int // 0: no fault
	ref     *fsm.Programs                // has read everything from offset 0
	refNext int
	copies  []copyEntry
	fence   map[id.Slot]id.Epoch
	runs    map[id.Attempt]*endpointRun
	execs   map[execKey]int // executions of non-idempotent operations
	ran     map[execKey]int // runs of any call at any endpoint
	cache   map[string]map[id.Program]bool
	oracle  *oracle
	nextID  int
}

func newWorld(t fataler, owners int) *world {
	w := &world{
		t: t, log: &fakeLog{}, fence: map[id.Slot]id.Epoch{}, runs: map[id.Attempt]*endpointRun{},
		execs: map[execKey]int{}, ran: map[execKey]int{}, cache: map[string]map[id.Program]bool{},
		pick: func(int, string) int { return 0 }, ref: fsm.NewPrograms(testRetention, 0),
	}
	w.oracle = newOracle(w)
	for range owners {
		w.join()
	}
	return w
}

func (w *world) wall() time.Time { return testEpoch.Add(w.now) }

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Duties: []manifest.Duty{{Name: "d", Teams: []string{"t", "u"}, Pools: []string{"m", "s"}}},
		Pools: []manifest.Pool{
			{Name: "m", Kind: manifest.PoolModel, MaxTokens: 50, Timeout: 20 * time.Second},
			{Name: "s", Kind: manifest.PoolService, Timeout: 10 * time.Second},
		},
		Endpoints: []manifest.Endpoint{{Name: "m1", Pool: "m"}, {Name: "m2", Pool: "m"}, {Name: "s1", Pool: "s"}},
		Services: []manifest.Service{{Pool: "s", Operations: []manifest.Operation{
			{Name: "charge", ChargeCents: 10},
			{Name: "reserve", ChargeCents: 10, CanBeAsked: true},
			{Name: "look", Idempotent: true},
		}}},
	}
}

// join starts an instance that reads the log from its earliest offset.
func (w *world) join() *owner {
	w.nextID++
	o := &owner{w: w, session: id.Session(fmt.Sprintf("i%d.1", w.nextID)), lastHeartbeat: w.now}
	o.fsm = fsm.NewPrograms(testRetention, uint64(w.log.earliest))
	o.core = New(Config{Session: o.session, Zone: "z", StateMachine: o.fsm})
	w.owners = append(w.owners, o)
	o.step(SetManifest{Version: 1, Manifest: testManifest()})
	o.step(LeaseChanged{Until: w.now + testLease})
	o.step(Tick{Now: w.wall()})
	o.read()
	return o
}

// kill ends an instance. Its callers lose their connections.
func (w *world) kill(o *owner) {
	o.dead = true
	for _, r := range w.oracle.reqs {
		if r.owner == o && !r.done {
			r.done = true
			w.oracle.open[execKey{r.program, r.key}]--
		}
	}
}

// claim appends a claim if the rules of membership allow it.
func (w *world) claim(o *owner, s id.Slot) bool {
	st := o.fsm.Slot(s)
	for _, h := range w.owners {
		if h.session == st.Holder && (h == o || w.now-h.lastHeartbeat < testClaimAfter) {
			return false
		}
	}
	o.queue = append(o.queue, record.Claim{Slot: s, Prev: st.Epoch, Session: o.session})
	return true
}

func (w *world) holder(s id.Slot) *owner {
	st := w.ref.Slot(s)
	for _, o := range w.owners {
		if o.session == st.Holder && !o.dead {
			return o
		}
	}
	return nil
}

func (w *world) send(to *owner, f func()) { w.net = append(w.net, netMessage{to: to, run: f}) }

// deliver carries out message i of the network. Messages of a dead owner are lost; those to a paused
// owner stay.
func (w *world) deliver(i int) {
	m := w.net[i]
	if m.to != nil && m.to.paused && !m.to.dead {
		return
	}
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	if m.to == nil || !m.to.dead {
		m.run()
	}
}

func (w *world) deliverAll() {
	for n := 0; n < len(w.net); {
		before := len(w.net)
		w.deliver(n)
		if len(w.net) >= before && n < len(w.net) && w.net[n].to != nil && w.net[n].to.paused && !w.net[n].to.dead {
			n++
		}
	}
}

// pump runs everything that needs no time.
func (w *world) pump() {
	for range 4 {
		w.deliverAll()
		for _, o := range w.owners {
			if !o.dead && !o.paused {
				o.flush()
			}
		}
		w.readRef()
		for _, o := range w.owners {
			if !o.dead && !o.paused {
				o.read()
			}
		}
	}
	w.deliverAll()
}

// advance lets time pass in steps of 100 ms, with heartbeats and ticks of live owners.
func (w *world) advance(d time.Duration) { w.advanceBy(d, 100*time.Millisecond) }

func (w *world) advanceBy(d, step time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.log.expire(w.now)
		w.heartbeat()
		w.pump()
	}
}

func (w *world) heartbeat() {
	for _, o := range w.owners {
		if o.dead || o.paused {
			continue
		}
		o.lastHeartbeat = w.now
		o.step(LeaseChanged{Until: w.now + testLease})
		o.step(LogState{Down: w.log.down})
		o.step(Tick{Now: w.wall()})
	}
}

func (w *world) readRef() {
	for w.refNext < len(w.log.batches) {
		b, err := record.Decode(w.log.batches[w.refNext])
		if err != nil {
			w.t.Fatalf("decode: %v", err)
		}
		for _, e := range w.ref.Apply(uint64(w.refNext), b) {
			w.oracle.applied(e)
		}
		w.refNext++
	}
}

func (w *world) act(o *owner, a Action) {
	switch x := a.(type) {
	case Append:
		o.queue = append(o.queue, x.Records...)
	case PutCopies:
		w.send(nil, func() { w.putCopies(o, x) })
	case DropCopies:
		w.dropCopies(o, x)
	case FetchCopies:
		w.send(o, func() { w.fetchCopies(o, x) })
	case Submit:
		w.send(o, func() { w.grant(o, x) })
	case DispatchModel:
		w.send(nil, func() { w.runModel(o, x) })
	case DispatchService:
		w.send(o, func() { w.runService(o, x) })
	case CancelAttempt:
		w.send(nil, func() { w.cancel(o, x) })
	case AskOutcome:
		w.send(nil, func() { w.ask(o, x) })
	case ReleaseCache:
		w.send(nil, func() { w.release(o, x) })
	case Reply:
		w.oracle.reply(o, x)
	case StreamData:
		w.oracle.data(x)
	case StreamEnd:
		w.oracle.end(o, x)
	}
}

func (w *world) putCopies(o *owner, x PutCopies) {
	if x.Epoch < w.fence[x.Slot] {
		return // a later holder has fetched the copies
	}
	w.copies = append(w.copies, copyEntry{by: o.session, ref: x.Ref, slot: x.Slot, epoch: x.Epoch, recs: x.Records})
	w.send(o, func() { o.step(CopiesStored{Ref: x.Ref}) })
}

func (w *world) dropCopies(o *owner, x DropCopies) {
	var keep []copyEntry
	for _, e := range w.copies {
		drop := e.slot == x.Slot && e.epoch < x.Below
		for _, ref := range x.Refs {
			drop = drop || e.by == o.session && e.ref == ref
		}
		if !drop {
			keep = append(keep, e)
		}
	}
	w.copies = keep
}

func (w *world) fetchCopies(o *owner, x FetchCopies) {
	w.fence[x.Slot] = max(w.fence[x.Slot], x.Epoch)
	var recs []record.Record
	for _, e := range w.copies {
		if e.slot == x.Slot && e.epoch < x.Epoch {
			recs = append(recs, e.recs...)
		}
	}
	o.step(CopiesFetched{Slot: x.Slot, Records: recs})
}

func (w *world) grant(o *owner, x Submit) {
	endpoint := map[string]string{"m": "m1", "s": "s1"}[x.Pool]
	if x.Pool == "m" && (slices.Contains(x.Request.Avoid, "m1") || w.pick(2, "endpoint") == 1) {
		endpoint = "m2"
	}
	if w.pick(20, "refuse") == 19 {
		o.step(Refused{sched.Refuse{Request: x.Request, Reason: "queue_full", RetryAfter: time.Second}})
		return
	}
	g := Granted{sched.Grant{Request: x.Request, Endpoint: endpoint, Reason: "test"}}
	o.step(g)
	if w.pick(10, "grant twice") == 9 {
		o.step(g)
	}
}
