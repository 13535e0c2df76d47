package quota

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// world plays instances that serve the requests of one team, in simulated time: connections between instances that are
// cut, instances that die, freeze and restart, and a store that gives the issue to another instance once it has not
// heard of the issuer.
type world struct {
	rand      *rand.Rand
	now       time.Time
	bound     Bound
	limit     Limit
	instances []*node
	holder    int // by the store
	epoch     int
	replies   []reply
	delay     time.Duration // longest time of a message
	hold      time.Duration // longest time from the permission to the arrival at an endpoint, unless it has expired
	programs  int           // requests of each program

	arrivals []time.Time
	requests []time.Time // that callers sent, in the last window
	limits   []limitChange
	served   int
	refused  [Classes]int // while the requests of a window were within the limit
	over     int          // refused while they were not
	unsure   int
}

type limitChange struct {
	at    time.Time
	limit Limit
}

type node struct {
	name     string
	alive    bool
	frozen   time.Time // until
	noStore  bool
	heard    time.Time // by the store
	limit    Limit
	issuer   *Issuer
	issues   bool
	holder   int // as known
	epoch    int
	account  *Account
	census   *Census
	told     int // instances that the issuer has told that it knows
	counted  int // the same with those that it was told of
	rank     int
	toldAt   time.Time
	links    []link
	waiting  []waiting
	sending  []sending
	programs []program
	noted    time.Time
}

type link struct {
	cut       bool
	connected bool
	silent    time.Time // since when nothing has come, zero while it does
}

type waiting struct {
	at      time.Time
	program uint64
	first   bool
}

type sending struct {
	at   time.Time
	unit Unit
	w    waiting
}

type program struct {
	id   uint64
	left int
	next time.Time
}

// reply is an answer under way to an instance, or a question under way to the issuer.
type reply struct {
	due    time.Time
	to     int
	from   int
	answer *Answer // nil: no answer came in time
	want   *Want
	known  int
	count  int
	rank   int
	cut    bool
}

const (
	maxSimulated  = 64
	simStep       = 5 * time.Millisecond
	simSilence    = time.Second // after which a connection is closed
	simTTL        = time.Second // after which the store gives the issue to another instance
	simAskTimeout = 150 * time.Millisecond
	simClaims     = 400 * time.Millisecond // between two looks at what peers know of the issuer
)

func newWorld(seed uint64, n int, b Bound, l Limit) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), bound: b, limit: l, delay: 10 * time.Millisecond, programs: 4,
	}
	for i := range n {
		w.instances = append(w.instances, &node{name: "i" + strconv.Itoa(i)})
		w.start(i)
	}
	for _, i := range w.instances {
		for j := range i.links {
			i.links[j].connected = true
		}
	}
	w.limits = []limitChange{{w.now, l}}
	w.assign()
	return w
}

// start starts an instance, or starts it again with nothing in its memory.
func (w *world) start(i int) {
	n := w.instances[i]
	links := make([]link, maxSimulated)
	for j := range n.links {
		links[j].cut = n.links[j].cut
	}
	*n = node{
		name: n.name, alive: true, noStore: n.noStore, heard: w.now, limit: w.limit, issuer: NewIssuer(w.rand.Uint64()), account: NewAccount(),
		census: NewCensus(n.name, true, w.now), holder: w.holder, epoch: w.epoch, links: links,
	}
}

func (w *world) runs(i int) bool {
	n := w.instances[i]
	return n.alive && !n.frozen.After(w.now)
}

// assign gives the issue to an instance that the store hears of.
func (w *world) assign() {
	for _, i := range w.rand.Perm(len(w.instances)) {
		if n := w.instances[i]; w.runs(i) && !n.noStore && i != w.holder || len(w.instances) == 1 {
			w.epoch++
			w.holder = i
			n.holder, n.epoch = i, w.epoch
			for j := range w.instances {
				w.learn(j, i)
			}
			return
		}
	}
}

// learn lets an instance learn from a connected one who issues.
func (w *world) learn(to, from int) {
	a, b := w.instances[to], w.instances[from]
	if w.runs(to) && w.runs(from) && a.links[from].connected && !a.links[from].cut && b.epoch > a.epoch {
		a.holder, a.epoch = b.holder, b.epoch
	}
}

func (w *world) setLimit(l Limit) {
	w.limit = l
	w.limits = append(w.limits, limitChange{w.now, l})
	for _, n := range w.instances {
		n.limit = l
	}
}

func (w *world) kill(i int) {
	w.instances[i].alive = false
	w.instances[i].waiting, w.instances[i].sending, w.instances[i].programs = nil, nil, nil
}

// run plays for some time, with a load in programs per second.
func (w *world) run(d time.Duration, perSecond float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simStep) {
		w.connect()
		if h := w.instances[w.holder]; w.now.Sub(h.heard) > simTTL {
			w.assign()
		}
		for i, n := range w.instances {
			if !w.runs(i) {
				continue
			}
			if !n.noStore {
				n.heard = w.now
			}
			w.tick(i)
		}
		w.deliver()
		for len(w.requests) > 0 && w.now.Sub(w.requests[0]) > w.bound.Window {
			w.requests = w.requests[1:]
		}
		if w.rand.Float64() < perSecond*simStep.Seconds() {
			for _, i := range w.rand.Perm(len(w.instances)) {
				if w.instances[i].alive {
					w.instances[i].programs = append(w.instances[i].programs, program{id: w.rand.Uint64(), left: w.programs, next: w.now})
					break
				}
			}
		}
		for i := range w.instances {
			if w.runs(i) {
				w.serve(i)
			}
		}
	}
}

// connect opens and closes connections between instances.
func (w *world) connect() {
	for i, a := range w.instances {
		for j, b := range w.instances {
			l := &a.links[j]
			if i == j || !w.runs(i) {
				continue
			}
			hears := b.alive && !b.frozen.After(w.now) && !l.cut && !b.links[i].cut
			switch {
			case hears && l.connected:
				l.silent = time.Time{}
			case hears:
				l.connected, l.silent = w.rand.IntN(10) == 0, time.Time{}
			case l.connected && !b.alive && !l.cut:
				l.connected = false
			case l.connected && l.silent.IsZero():
				l.silent = w.now
			case l.connected && w.now.Sub(l.silent) >= simSilence:
				l.connected = false
			}
		}
	}
}

func (w *world) tick(i int) {
	n := w.instances[i]
	n.issuer.Tick(w.now)
	var connected []string
	for j := range w.instances {
		if n.links[j].connected && j != i {
			connected = append(connected, w.instances[j].name)
		}
	}
	// The store's confirmation is the latest answer to a renewal, which is due four times in a TTL.
	proven := !n.noStore && w.now.Sub(n.heard) <= simTTL/4
	n.census.Update(connected, proven, w.now)
	if w.now.Sub(n.noted) > simClaims || !n.noStore && w.holder == i {
		n.noted = w.now
		for j := range w.instances {
			w.learn(i, j)
		}
		if !n.noStore && n.epoch < w.epoch && w.rand.IntN(4) == 0 {
			n.holder, n.epoch = w.holder, w.epoch
		}
	}
	switch issues := n.holder == i; {
	case issues && !n.issues:
		n.issuer.Begin("t", n.limit, w.bound.Terms(n.limit), w.now)
		n.issues = true
	case !issues && n.issues:
		n.issuer.End("t")
		n.issues = false
	}
}

func (w *world) latency() time.Duration { return time.Duration(w.rand.Int64N(int64(w.delay) + 1)) }

func (w *world) ask(i int, need [Classes]int, unknown []uint64) {
	n := w.instances[i]
	want := n.account.Ask(need, unknown, w.bound.Terms(n.limit), w.now)
	r := reply{due: w.now.Add(w.latency()), to: i, from: n.holder, want: &want, known: n.census.Known()}
	if w.now.Sub(n.toldAt) <= CensusMemory {
		r.known = max(r.known, n.told)
	}
	switch {
	case n.holder == i:
		r.due = w.now
	case !n.links[n.holder].connected:
		r.want, r.cut, r.due = nil, true, w.now.Add(simStep)
	}
	w.replies = append(w.replies, r)
}

func (w *world) deliver() {
	due := w.replies
	w.replies = nil
	for _, r := range due {
		if r.due.After(w.now) {
			w.replies = append(w.replies, r)
			continue
		}
		if r.want != nil {
			w.replies = append(w.replies, w.grant(r))
			continue
		}
		if !w.instances[r.to].alive || w.instances[r.to].account.askedAt.IsZero() {
			continue
		}
		if !w.runs(r.to) {
			w.replies = append(w.replies, r) // it is read when the instance goes on
			continue
		}
		n := w.instances[r.to]
		if !n.account.asking {
			continue // the instance has restarted
		}
		if r.answer == nil {
			n.account.Unanswered(!r.cut, w.now)
			continue
		}
		n.told, n.counted, n.toldAt, n.rank = r.known, r.count, w.now, r.rank
		n.account.Answered(*r.answer, w.now)
	}
}

// grant lets the issuer answer a question, if that arrives.
func (w *world) grant(r reply) reply {
	h := w.instances[r.from]
	lost := reply{to: r.to, due: r.due.Add(simAskTimeout)}
	if !w.runs(r.from) || h.holder != r.from || !h.issues || r.to != r.from && (h.links[r.to].cut || w.instances[r.to].links[r.from].cut) {
		return lost
	}
	h.census.Told(r.known, w.now)
	terms := w.bound.Terms(h.limit)
	a := h.issuer.Grant("t", h.limit, terms, h.census.Share(terms, h.issuer.Since("t", w.now), w.now), *r.want, w.now)
	return reply{to: r.to, answer: &a, due: w.now.Add(w.latency()), known: h.census.Known(), count: h.census.Count(w.now), rank: h.census.Rank(w.instances[r.to].name)}
}

// serve decides on the requests of an instance, and sends those that have a permission.
func (w *world) serve(i int) {
	n := w.instances[i]
	for p := range n.programs {
		for pr := &n.programs[p]; pr.left > 0 && !pr.next.After(w.now); {
			pr.left--
			n.waiting = append(n.waiting, waiting{at: w.now, program: pr.id, first: pr.left == w.programs-1})
			pr.next = w.now.Add(100*time.Millisecond + time.Duration(w.rand.Int64N(int64(300*time.Millisecond))))
			n.account.Arrived(w.now)
			w.requests = append(w.requests, w.now)
		}
	}
	n.programs = slices.DeleteFunc(n.programs, func(p program) bool { return p.left == 0 })
	terms := w.bound.Terms(n.limit)
	instances := 0 // unknown
	if w.now.Sub(n.toldAt) <= CensusMemory {
		instances = max(n.counted, n.census.Count(w.now))
	}
	var need [Classes]int
	var unknown []uint64
	still := n.waiting[:0]
	for _, q := range n.waiting {
		class := Begun
		if q.first && !n.account.Programs.Known(q.program) {
			class = First
		}
		u, ok := n.account.Take(class, w.now)
		if !ok && n.census.MayIssueOwn(w.now) {
			u, ok = n.account.TakeOwn(terms, instances, n.rank, w.now)
		}
		if ok {
			n.sending = append(n.sending, sending{at: w.now.Add(time.Duration(w.rand.Int64N(int64(w.hold) + 1))), unit: u, w: q})
			continue
		}
		switch v, _ := n.account.Decide(class, w.now.Sub(q.at), w.now); v {
		case Refuse:
			if float64(len(w.requests)) > w.limit.PerSecond*w.bound.Window.Seconds()+w.limit.Burst {
				w.over++
			} else {
				w.refused[class]++
			}
		case Unsure:
			w.unsure++
		default:
			need[class]++
			if class == First {
				unknown = append(unknown, q.program)
			}
			still = append(still, q)
		}
	}
	n.waiting = still
	if n.account.MayAsk(need, terms, w.now) {
		w.ask(i, need, unknown)
	}
	var rest []sending
	for _, s := range n.sending {
		switch {
		case s.at.After(w.now):
			rest = append(rest, s)
		case s.unit.Valid(w.now):
			w.arrivals = append(w.arrivals, w.now)
			w.served++
			n.account.Served(s.w.program, w.now)
		default:
			n.account.GiveBack(Begun, s.unit, w.now)
			n.waiting = append(n.waiting, s.w)
		}
	}
	n.sending = rest
}

// excess returns by how many requests the worst window is over the bound, and when that window begins. A lower limit
// binds one window after it was set.
func (w *world) excess() (float64, time.Time) {
	worst, at := -1e9, time.Time{}
	slices.SortFunc(w.arrivals, func(a, b time.Time) int { return a.Compare(b) })
	for first, last := 0, 0; first < len(w.arrivals); first++ {
		for last < len(w.arrivals) && w.arrivals[last].Sub(w.arrivals[first]) < w.bound.Window {
			last++
		}
		var l Limit
		for n, c := range w.limits {
			end := w.arrivals[last-1].Add(time.Hour)
			if n+1 < len(w.limits) {
				end = w.limits[n+1].at.Add(w.bound.Window)
			}
			if !c.at.After(w.arrivals[last-1]) && end.After(w.arrivals[first]) {
				l.PerSecond, l.Burst = max(l.PerSecond, c.limit.PerSecond), max(l.Burst, c.limit.Burst)
			}
		}
		allowed := (l.PerSecond*w.bound.Window.Seconds()+l.Burst)*(1+w.bound.Overage) + w.bound.Slack
		if over := float64(last-first) - allowed; over > worst {
			worst, at = over, w.arrivals[first]
		}
	}
	return worst, at
}

func (w *world) refusedShare() float64 {
	refused := float64(w.refused[Begun] + w.refused[First] + w.refused[Loop] + w.unsure)
	return refused / max(refused+float64(w.served+w.over), 1)
}
