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

// The simulation runs two controllers against one log, engines and a weight store. All clocks are equal;
// the tests of package membership cover clocks at different offsets.
const (
	simStep       = 100 * time.Millisecond // simulated time of one step
	orderTimeout  = 8 * time.Second
	fetchInterval = 20 * time.Second
)

type simEngine struct {
	state   manifest.Engine
	checker FenceChecker
	ignores bool          // ignores fences
	pending []effect      // orders that were written and take effect later
	busy    time.Duration // until the last accepted order has taken effect
	orders  []Fence       // fences of all accepted orders
}

type effect struct {
	at    time.Duration
	order Order
}

// queued is an action that an instance carries out at a later time.
type queued struct {
	at     time.Duration
	action Action
}

// delivery is the answer to an action, which arrives at an instance at a later time.
type delivery struct {
	at time.Duration
	to int
	e  Event
}

// simInstance carries out the actions of one controller.
type simInstance struct {
	c           *Controller
	session     id.Session
	pausedUntil time.Duration
	lease       Lease
	control     ActiveController
	read        int      // number of log entries read
	late        bool     // the pause falls between the check of NotAfter and the write
	queue       []queued // actions that are not carried out yet
}

// logEntry is a claim of slot 0 or the intent of an order.
type logEntry struct {
	at      time.Duration
	control *ActiveController
	intent  *record.OrderIntent
	writer  id.Session
}

type sim struct {
	now       time.Duration
	rng       *rand.Rand
	instances []*simInstance
	log       []logEntry
	engines   map[string]*simEngine
	replies   []delivery
	fetches   []time.Duration // times of all fetches that were not late
	sent      map[Fence]Order
	failure   error         // the first violation of a rule
	replyLoss float64       // probability that an answer is lost
	maxDelay  time.Duration // between an action and the write of its request
}

func engineState(version string) manifest.Engine {
	return manifest.Engine{Model: "m", Version: version, Adapters: []string{"a", "b"}, Role: manifest.RoleMixed}
}

func newSim(seed uint64, engines int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 2)), engines: make(map[string]*simEngine), sent: make(map[Fence]Order)}
	for i := range engines {
		s.engines[fmt.Sprintf("e%d", i)] = &simEngine{ignores: i%2 == 0, state: manifest.Engine{Model: "old"}}
	}
	for _, name := range []id.Session{"a.1", "b.1"} {
		s.instances = append(s.instances, &simInstance{c: New(name), session: name})
	}
	s.setDesired("v1")
	return s
}

// setDesired changes the desired state of all engines.
func (s *sim) setDesired(version string) {
	var targets []Target
	for name, e := range s.engines {
		targets = append(targets, Target{Endpoint: name, Desired: engineState(version), IgnoresFence: e.ignores})
	}
	limits := manifest.Orders{FetchInterval: fetchInterval, Timeout: orderTimeout}
	for _, in := range s.instances {
		s.carryOut(in, in.c.Step(s.now, Configure{Targets: targets, Limits: limits}))
	}
}

// appendClaim appends a claim of slot 0 at the next epoch to the log.
func (s *sim) appendClaim(i int) {
	epoch := id.Epoch(1)
	for _, e := range s.log {
		if e.control != nil {
			epoch = e.control.Epoch + 1
		}
	}
	s.log = append(s.log, logEntry{at: s.now, control: &ActiveController{Holder: s.instances[i].session, Epoch: epoch}})
}

func (s *sim) holder() ActiveController {
	var c ActiveController
	for _, e := range s.log {
		if e.control != nil {
			c = *e.control
		}
	}
	return c
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("at %s: "+format, append([]any{s.now}, args...)...)
	}
}

func (s *sim) step() {
	s.now += simStep
	for _, e := range s.engines {
		e.pending = slices.DeleteFunc(e.pending, func(p effect) bool {
			if p.at > s.now {
				return false
			}
			e.state = p.order.Apply(e.state)
			return true
		})
	}
	for i, in := range s.instances {
		if in.pausedUntil > s.now {
			continue
		}
		s.runQueue(i, in)
		s.readLog(in)
		if in.control.Holder == in.session && s.holder().Holder == in.session {
			in.lease = Lease{From: in.lease.From, Until: s.now + 3*time.Second}
			s.carryOut(in, in.c.Step(s.now, in.lease))
		}
		s.deliver(i, in)
		s.carryOut(in, in.c.Step(s.now, Tick{}))
	}
}

func (s *sim) readLog(in *simInstance) {
	for ; in.read < len(s.log); in.read++ {
		e := s.log[in.read]
		if e.at+50*time.Millisecond > s.now {
			return
		}
		if e.control != nil {
			in.control = *e.control
			s.carryOut(in, in.c.Step(s.now, *e.control))
			continue
		}
		if e.writer == in.session {
			fence := Fence{Epoch: e.intent.Epoch, Serial: e.intent.Serial}
			valid := in.control.Holder == in.session && in.control.Epoch == e.intent.Epoch
			s.carryOut(in, in.c.Step(s.now, IntentApplied{Endpoint: e.intent.Endpoint, Fence: fence, Valid: valid}))
		}
	}
}

func (s *sim) deliver(i int, in *simInstance) {
	var rest, due []delivery
	for _, d := range s.replies {
		if d.to == i && d.at <= s.now {
			due = append(due, d)
		} else {
			rest = append(rest, d)
		}
	}
	s.replies = rest
	for _, d := range due {
		s.carryOut(in, in.c.Step(s.now, d.e))
	}
}

// carryOut queues actions with a delay, as in practice some time passes before a request is written.
func (s *sim) carryOut(in *simInstance, actions []Action) {
	for _, a := range actions {
		at := s.now + time.Duration(s.rng.Int64N(int64(s.maxDelay)+1))
		in.queue = append(in.queue, queued{at: at, action: a})
	}
}

func (s *sim) runQueue(i int, in *simInstance) {
	queue := in.queue
	in.queue = nil
	for _, q := range queue {
		if q.at > s.now {
			in.queue = append(in.queue, q)
			continue
		}
		s.execute(i, in, q.action, in.late && q.at+2*simStep < s.now)
	}
	in.late = false
}

func (s *sim) reply(i int, delay time.Duration, e Event) {
	if s.rng.Float64() < s.replyLoss {
		return
	}
	s.replies = append(s.replies, delivery{at: s.now + delay, to: i, e: e})
}

// execute carries out an action. late simulates a pause between the check of NotAfter and the write.
func (s *sim) execute(i int, in *simInstance, a Action, late bool) {
	delay := time.Duration(s.rng.Int64N(int64(2 * time.Second)))
	switch a := a.(type) {
	case AppendIntent:
		s.log = append(s.log, logEntry{at: s.now, intent: &a.Intent, writer: in.session})
	case ReadState:
		s.reply(i, delay, StateRead{Endpoint: a.Endpoint, ReadID: a.ReadID, Known: true, State: s.engines[a.Endpoint].state})
	case FetchWeights:
		late = late && s.now >= a.NotAfter
		if s.now >= a.NotAfter && !late {
			s.reply(i, 0, FetchFinished{Endpoint: a.Endpoint, Fence: a.Fence, Outcome: Rejected})
			return
		}
		if n := len(s.fetches); !late && n > 0 && s.now-s.fetches[n-1] < fetchInterval {
			s.fail("fetch %s after the last one", s.now-s.fetches[n-1])
		}
		if !late {
			s.fetches = append(s.fetches, s.now)
		}
		s.reply(i, delay, FetchFinished{Endpoint: a.Endpoint, Fence: a.Fence, Outcome: OK})
	case SendOrder:
		s.sendOrder(i, a, late)
	}
}

func (s *sim) sendOrder(i int, a SendOrder, late bool) {
	s.checkIntent(a)
	e := s.engines[a.Order.Endpoint]
	late = late && s.now >= a.NotAfter
	if s.now >= a.NotAfter && !late {
		s.reply(i, 0, OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: Rejected})
		return
	}
	if err := e.checker.Accept(a.Fence); errors.Is(err, ErrStaleFence) && !e.ignores {
		s.reply(i, 0, OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: StaleFence})
		return
	}
	sameEpoch := len(e.orders) > 0 && e.orders[len(e.orders)-1].Epoch == a.Fence.Epoch
	if !late && s.now < e.busy && (e.ignores || sameEpoch) {
		s.fail("engine %s got order %s while another was in progress", a.Order.Endpoint, a.Fence)
	}
	takes := time.Duration(s.rng.Int64N(int64(orderTimeout)))
	if !late {
		e.busy = s.now + takes
	}
	e.orders = append(e.orders, a.Fence)
	e.pending = append(e.pending, effect{at: s.now + takes, order: a.Order})
	s.reply(i, takes, OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: OK})
}

// checkIntent checks that the intent of the order is in the log and that its fence was not used before.
func (s *sim) checkIntent(a SendOrder) {
	if _, used := s.sent[a.Fence]; used {
		s.fail("fence %s was used twice", a.Fence)
	}
	s.sent[a.Fence] = a.Order
	for _, l := range s.log {
		if l.intent != nil && l.intent.Epoch == a.Fence.Epoch && l.intent.Serial == a.Fence.Serial {
			var o Order
			if err := json.Unmarshal(l.intent.Order, &o); err != nil || !o.equal(a.Order) {
				s.fail("order %s differs from its intent", a.Fence)
			}
			return
		}
	}
	s.fail("order %s has no intent in the log", a.Fence)
}

func (s *sim) converged(version string) bool {
	for _, e := range s.engines {
		if _, needed := nextOrder("", engineState(version), e.state); needed || len(e.pending) > 0 {
			return false
		}
	}
	return true
}
