package order

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
)

// The world runs two controllers against one log, engines and a weight store. Clocks are equal;
// package membership covers clocks at different offsets.
const (
	worldStep     = 100 * time.Millisecond
	orderTimeout  = 8 * time.Second
	fetchInterval = 20 * time.Second
)

type worldEngine struct {
	state   manifest.Engine
	gate    FenceChecker
	ignores bool
	// pending are orders that were written and take effect later.
	pending []effect
	busy    time.Duration // until the last accepted order has taken effect
	orders  []Fence
}

type effect struct {
	at    time.Duration
	order Order
}

type queued struct {
	at     time.Duration
	action Action
}

type delivery struct {
	at time.Duration
	to int
	e  Event
}

type shell struct {
	c       *Controller
	session id.Session
	paused  time.Duration
	lease   Lease
	control ActiveController
	read    int      // log position
	late    bool     // the next pause falls between the check of NotAfter and the write
	queue   []queued // actions that the shell has not carried out yet
}

type logEntry struct {
	at      time.Duration
	control *ActiveController
	intent  *record.OrderIntent
	writer  id.Session
}

type world struct {
	now       time.Duration
	rng       *rand.Rand
	shells    []*shell
	log       []logEntry
	engines   map[string]*worldEngine
	inflight  []delivery
	fetches   []time.Duration
	sent      map[Fence]Order
	failure   error
	loseAnswr float64
	maxDelay  time.Duration // of carrying out an action
}

func engineState(version string) manifest.Engine {
	return manifest.Engine{Model: "m", Version: version, Adapters: []string{"a", "b"}, Role: manifest.RoleMixed}
}

func newWorld(seed uint64, engines int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 2)), engines: make(map[string]*worldEngine), sent: make(map[Fence]Order)}
	for i := range engines {
		w.engines[fmt.Sprintf("e%d", i)] = &worldEngine{ignores: i%2 == 0, state: manifest.Engine{Model: "old"}}
	}
	for _, name := range []id.Session{"a.1", "b.1"} {
		w.shells = append(w.shells, &shell{c: New(name), session: name})
	}
	w.want("v1")
	return w
}

func (w *world) want(version string) {
	var targets []Target
	for name, e := range w.engines {
		targets = append(targets, Target{Endpoint: name, Desired: engineState(version), IgnoresFence: e.ignores})
	}
	limits := manifest.Orders{FetchInterval: fetchInterval, Timeout: orderTimeout}
	for _, s := range w.shells {
		w.carryOut(s, s.c.Step(w.now, Configure{Targets: targets, Limits: limits}))
	}
}

func (w *world) take(i int) {
	epoch := id.Epoch(1)
	for _, e := range w.log {
		if e.control != nil {
			epoch = e.control.Epoch + 1
		}
	}
	w.log = append(w.log, logEntry{at: w.now, control: &ActiveController{Holder: w.shells[i].session, Epoch: epoch}})
}

func (w *world) holder() ActiveController {
	var c ActiveController
	for _, e := range w.log {
		if e.control != nil {
			c = *e.control
		}
	}
	return c
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %s: "+format, append([]any{w.now}, args...)...)
	}
}

func (w *world) step() {
	w.now += worldStep
	for _, e := range w.engines {
		e.pending = slices.DeleteFunc(e.pending, func(p effect) bool {
			if p.at > w.now {
				return false
			}
			e.state = p.order.Apply(e.state)
			return true
		})
	}
	for i, s := range w.shells {
		if s.paused > w.now {
			continue
		}
		w.runQueue(i, s)
		w.readLog(s)
		if s.control.Holder == s.session && w.holder().Holder == s.session {
			s.lease = Lease{From: s.lease.From, Until: w.now + 3*time.Second}
			w.carryOut(s, s.c.Step(w.now, s.lease))
		}
		w.deliver(i, s)
		w.carryOut(s, s.c.Step(w.now, Tick{}))
	}
}

func (w *world) readLog(s *shell) {
	for ; s.read < len(w.log); s.read++ {
		e := w.log[s.read]
		if e.at+50*time.Millisecond > w.now {
			return
		}
		if e.control != nil {
			s.control = *e.control
			w.carryOut(s, s.c.Step(w.now, *e.control))
			continue
		}
		if e.writer == s.session {
			fence := Fence{Epoch: e.intent.Epoch, Serial: e.intent.Serial}
			valid := s.control.Holder == s.session && s.control.Epoch == e.intent.Epoch
			w.carryOut(s, s.c.Step(w.now, IntentApplied{Endpoint: e.intent.Endpoint, Fence: fence, Valid: valid}))
		}
	}
}

func (w *world) deliver(i int, s *shell) {
	var rest, due []delivery
	for _, d := range w.inflight {
		if d.to == i && d.at <= w.now {
			due = append(due, d)
		} else {
			rest = append(rest, d)
		}
	}
	w.inflight = rest
	for _, d := range due {
		w.carryOut(s, s.c.Step(w.now, d.e))
	}
}

// carryOut queues actions, as a shell takes its time to write a request.
func (w *world) carryOut(s *shell, actions []Action) {
	for _, a := range actions {
		at := w.now + time.Duration(w.rng.Int64N(int64(w.maxDelay)+1))
		s.queue = append(s.queue, queued{at: at, action: a})
	}
}

func (w *world) runQueue(i int, s *shell) {
	queue := s.queue
	s.queue = nil
	for _, q := range queue {
		if q.at > w.now {
			s.queue = append(s.queue, q)
			continue
		}
		w.execute(i, s, q.action, s.late && q.at+2*worldStep < w.now)
	}
	s.late = false
}

func (w *world) reply(i int, delay time.Duration, e Event) {
	if w.rng.Float64() < w.loseAnswr {
		return
	}
	w.inflight = append(w.inflight, delivery{at: w.now + delay, to: i, e: e})
}

// execute carries out an action. late stands for a pause between the check of NotAfter and the write.
func (w *world) execute(i int, s *shell, a Action, late bool) {
	delay := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	switch a := a.(type) {
	case AppendIntent:
		w.log = append(w.log, logEntry{at: w.now, intent: &a.Intent, writer: s.session})
	case ReadState:
		w.reply(i, delay, StateRead{Endpoint: a.Endpoint, ReadID: a.ReadID, Known: true, State: w.engines[a.Endpoint].state})
	case FetchWeights:
		late = late && w.now >= a.NotAfter
		if w.now >= a.NotAfter && !late {
			w.reply(i, 0, FetchFinished{Endpoint: a.Endpoint, Fence: a.Fence, Outcome: Rejected})
			return
		}
		if n := len(w.fetches); !late && n > 0 && w.now-w.fetches[n-1] < fetchInterval {
			w.fail("fetch %s after the last one", w.now-w.fetches[n-1])
		}
		if !late {
			w.fetches = append(w.fetches, w.now)
		}
		w.reply(i, delay, FetchFinished{Endpoint: a.Endpoint, Fence: a.Fence, Outcome: OK})
	case SendOrder:
		w.sendOrder(i, a, late)
	}
}

func (w *world) sendOrder(i int, a SendOrder, late bool) {
	w.checkIntent(a)
	e := w.engines[a.Order.Endpoint]
	late = late && w.now >= a.NotAfter
	if w.now >= a.NotAfter && !late {
		w.reply(i, 0, OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: Rejected})
		return
	}
	if err := e.gate.Accept(a.Fence); errors.Is(err, ErrStaleFence) && !e.ignores {
		w.reply(i, 0, OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: StaleFence})
		return
	}
	sameEpoch := len(e.orders) > 0 && e.orders[len(e.orders)-1].Epoch == a.Fence.Epoch
	if !late && w.now < e.busy && (e.ignores || sameEpoch) {
		w.fail("engine %s got order %s while one was under way", a.Order.Endpoint, a.Fence)
	}
	takes := time.Duration(w.rng.Int64N(int64(orderTimeout)))
	if !late {
		e.busy = w.now + takes
	}
	e.orders = append(e.orders, a.Fence)
	e.pending = append(e.pending, effect{at: w.now + takes, order: a.Order})
	w.reply(i, takes, OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: OK})
}

// checkIntent requires the order's intent in the log, and a fence that was not used before.
func (w *world) checkIntent(a SendOrder) {
	if _, used := w.sent[a.Fence]; used {
		w.fail("fence %s was used twice", a.Fence)
	}
	w.sent[a.Fence] = a.Order
	for _, l := range w.log {
		if l.intent != nil && l.intent.Epoch == a.Fence.Epoch && l.intent.Serial == a.Fence.Serial {
			var o Order
			if err := json.Unmarshal(l.intent.Order, &o); err != nil || !o.equal(a.Order) {
				w.fail("order %s differs from its intent", a.Fence)
			}
			return
		}
	}
	w.fail("order %s has no intent in the log", a.Fence)
}

func (w *world) converged(version string) bool {
	for _, e := range w.engines {
		if _, needed := nextOrder("", engineState(version), e.state); needed || len(e.pending) > 0 {
			return false
		}
	}
	return true
}
