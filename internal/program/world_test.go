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
	testClaimDelay = 6 * time.Second // time without a heartbeat after which a slot may be claimed
	testSlot       = id.Slot(5)
)

var testEpoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// fataler is implemented by *testing.T, *testing.B and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
	Helper()
}

// fakeLog is an in-memory log that can lose answers, be down and expire records.
type fakeLog struct {
	batches     [][]byte
	appendedAt  []time.Duration
	earliest    int
	down        bool
	lostAnswers int // number of answers that are still to be lost
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

// owner is a simulated instance: a Core, its replicated state machine and its log client.
type owner struct {
	w             *world
	session       id.Session
	sm            *fsm.Programs
	core          *Core
	queue         []record.Record
	inFlight      []byte // encoded batch that is appended until the log has confirmed it
	seq           uint64
	dead          bool
	paused        bool
	lastHeartbeat time.Duration
}

func (o *owner) step(ev Event) {
	if o.dead {
		return
	}
	for _, a := range o.core.Step(o.w.now, ev, nil) {
		o.w.act(o, a)
	}
}

func (o *owner) appendBatch() {
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

func (o *owner) readLog() {
	if o.w.log.down {
		return
	}
	for int(o.sm.Next()) < len(o.w.log.batches) {
		off := o.sm.Next()
		if int(off) < o.w.log.earliest {
			w := o.w
			w.kill(o) // the next record has expired, so the instance must restart
			return
		}
		b, err := record.Decode(o.w.log.batches[off])
		if err != nil {
			o.w.t.Fatalf("decode offset %d: %v", off, err)
		}
		if b.Session == o.session && b.Seq == o.seq {
			o.inFlight = nil // read back: the append needs no retry
		}
		for _, e := range o.sm.Apply(off, b) {
			o.step(Applied{e})
		}
	}
}

type netMessage struct {
	to  *owner // nil for messages to endpoints and peers
	run func()
}

// endpointRun is the run of one attempt at an endpoint.
type endpointRun struct {
	program  id.Program
	key      string
	endpoint string
	stream   []byte
	answer   []byte
	tokens   int64
	prompt   int64
	active   bool
	lost     bool // the endpoint cannot resume it
}

type copyEntry struct {
	by    id.Session
	ref   uint64
	slot  id.Slot
	epoch id.Epoch
	recs  []record.Record
}

type callKey struct {
	program id.Program
	key     string
}

// world simulates owners, the log, peers that hold copies, endpoints and callers in virtual time.
type world struct {
	t          fataler
	now        time.Duration
	log        *fakeLog
	owners     []*owner
	messages   []netMessage
	pick       func(n int, what string) int // draws a number below n; 0 means no fault
	ref        *fsm.Programs                // reader of the whole log
	refNext    int
	copies     []copyEntry
	fence      map[id.Slot]id.Epoch
	runs       map[id.Attempt]*endpointRun
	execCounts map[callKey]int // number of executions of non-idempotent operations
	runCounts  map[callKey]int // number of runs of any call at any endpoint
	cache      map[string]map[id.Program]bool
	oracle     *oracle
	nextID     int
}

func newWorld(t fataler, owners int) *world {
	w := &world{
		t: t, log: &fakeLog{}, fence: map[id.Slot]id.Epoch{}, runs: map[id.Attempt]*endpointRun{},
		execCounts: map[callKey]int{}, runCounts: map[callKey]int{}, cache: map[string]map[id.Program]bool{},
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

// join starts an instance that reads the log from its earliest retained offset.
func (w *world) join() *owner {
	w.nextID++
	o := &owner{w: w, session: id.Session(fmt.Sprintf("i%d.1", w.nextID)), lastHeartbeat: w.now}
	o.sm = fsm.NewPrograms(testRetention, uint64(w.log.earliest))
	o.core = New(Config{Session: o.session, Zone: "z", StateMachine: o.sm})
	w.owners = append(w.owners, o)
	o.step(SetManifest{Version: 1, Manifest: testManifest()})
	o.step(LeaseChanged{Until: w.now + testLease})
	o.step(Tick{Now: w.wall()})
	o.readLog()
	return o
}

// kill crashes an instance, which disconnects its callers.
func (w *world) kill(o *owner) {
	o.dead = true
	for _, r := range w.oracle.reqs {
		if r.owner == o && !r.done {
			r.done = true
			w.oracle.openRequests[callKey{r.program, r.key}]--
		}
	}
}

// claim appends a claim if the rules of membership allow it.
func (w *world) claim(o *owner, s id.Slot) bool {
	st := o.sm.Slot(s)
	for _, h := range w.owners {
		if h.session == st.Holder && (h == o || w.now-h.lastHeartbeat < testClaimDelay) {
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

func (w *world) send(to *owner, f func()) {
	w.messages = append(w.messages, netMessage{to: to, run: f})
}

// deliver delivers message i. Messages to a dead owner are lost; those to a paused owner stay queued.
func (w *world) deliver(i int) {
	m := w.messages[i]
	if m.to != nil && m.to.paused && !m.to.dead {
		return
	}
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	if m.to == nil || !m.to.dead {
		m.run()
	}
}

func (w *world) deliverAll() {
	for n := 0; n < len(w.messages); {
		before := len(w.messages)
		w.deliver(n)
		if len(w.messages) >= before && n < len(w.messages) && w.messages[n].to != nil && w.messages[n].to.paused && !w.messages[n].to.dead {
			n++
		}
	}
}

// pump runs everything that can happen without time passing.
func (w *world) pump() {
	for range 4 {
		w.deliverAll()
		for _, o := range w.owners {
			if !o.dead && !o.paused {
				o.appendBatch()
			}
		}
		w.readRef()
		for _, o := range w.owners {
			if !o.dead && !o.paused {
				o.readLog()
			}
		}
	}
	w.deliverAll()
}

// advance advances the time in steps of 100 ms, with heartbeats and ticks of live owners.
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
		return // a later holder has already fetched the copies
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
