package order

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/record"
)

// Times of the controller.
const (
	// ReadInterval is how often the state of an idle engine is read. It bounds how long the late
	// order of a paused controller stays uncorrected on an engine that ignores fences.
	ReadInterval = 10 * time.Second
	// RetryWait follows a fetch or an order that was refused or has failed.
	RetryWait = 10 * time.Second
	// foreignFenceWait follows an order that was refused for its fence while the log names no newer
	// controller.
	foreignFenceWait = 10 * RetryWait
)

// Controller decides the orders of one session. It is idle unless the session holds slot 0.
type Controller struct {
	self    id.Session
	limits  manifest.Orders
	engines map[string]*engine
	order   []string // engine names, sorted

	control   ActiveController
	since     time.Duration // when the own control of this epoch was read
	serial    uint64
	lease     Lease
	nextFetch time.Duration // the weight store gets no fetch before it
	reads     uint64
	stopped   time.Duration // no orders before it, because an engine has seen a newer fence
	actions   []Action
}

// New returns the controller of a session.
func New(self id.Session) *Controller {
	return &Controller{self: self, engines: make(map[string]*engine)}
}

// Active tells whether this session is the controller as far as it has read.
func (c *Controller) Active() bool { return c.control.Holder == c.self }

// Step applies an event and returns what to do.
func (c *Controller) Step(now time.Duration, e Event) []Action {
	c.actions = nil
	switch e := e.(type) {
	case Configure:
		c.configure(e)
	case ActiveController:
		c.setControl(now, e)
	case Lease:
		c.lease = e
	case IntentApplied:
		c.intentApplied(now, e)
	case FetchFinished:
		c.fetched(now, e)
	case OrderFinished:
		c.sent(now, e)
	case StateRead:
		c.stateRead(now, e)
	case Tick:
	}
	if c.Active() && now >= c.stopped {
		c.plan(now)
	}
	return c.actions
}

func (c *Controller) do(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) log(name string, f Fence, what, reason string) {
	c.do(Log{Endpoint: name, Fence: f, Code: what, Reason: reason})
}

func (c *Controller) configure(e Configure) {
	c.limits = e.Limits
	c.order = nil
	wanted := make(map[string]bool)
	for _, t := range e.Targets {
		wanted[t.Endpoint] = true
		c.order = append(c.order, t.Endpoint)
		if c.engines[t.Endpoint] == nil {
			c.engines[t.Endpoint] = &engine{}
		}
		c.engines[t.Endpoint].target = t
	}
	slices.SortFunc(c.order, cmp.Compare[string])
	for name, en := range c.engines {
		// An engine with an order under way is kept, in case that it is listed again before the order ends.
		if !wanted[name] && en.phase == idle {
			delete(c.engines, name)
		}
	}
}

// setControl starts again with every epoch. What another controller did is found by reading state.
func (c *Controller) setControl(now time.Duration, e ActiveController) {
	if e == c.control || e.Epoch < c.control.Epoch {
		return
	}
	c.control = e
	c.stopped = 0
	c.serial = 0
	c.since = now
	// The previous controller may have started a fetch until its lease ended.
	c.nextFetch = now + membership.LeaseTime + c.limits.FetchInterval
	for _, en := range c.engines {
		en.reset()
	}
	if e.Holder == c.self {
		c.log("", Fence{Epoch: e.Epoch}, "control_taken", "slot_0_held")
	}
}

func (c *Controller) leaseHolds(now time.Duration) bool {
	return now >= c.lease.From && now < c.lease.Until
}

// plan advances every engine by what can be done now.
func (c *Controller) plan(now time.Duration) {
	for _, name := range c.order {
		en := c.engines[name]
		switch en.phase {
		case idle:
			c.planIdle(now, name, en)
		case ready:
			c.startOrder(now, name, en)
		case fetchedWeights:
			c.send(now, name, en)
		case fetching, sending, settling:
			c.checkTimeout(now, name, en)
		}
	}
}

func (c *Controller) planIdle(now time.Duration, name string, en *engine) {
	if en.target.Leaving || now < en.notBefore {
		return
	}
	if !en.read || now-en.readAt >= ReadInterval {
		c.read(now, name, en)
		return
	}
	if !en.known || !c.leaseHolds(now) || now < c.firstOrder(en) {
		return
	}
	next, needed := nextOrder(name, en.target.Desired, en.state)
	if !needed {
		return
	}
	if next.Kind == Load && (now < c.nextFetch || c.loadPlanned()) {
		return
	}
	c.appendIntent(name, en, next)
}

// loadPlanned tells whether a load waits for its intent or its fetch. Another one would have to wait
// for the weight store anyway, and its order could be out of date by then.
func (c *Controller) loadPlanned() bool {
	for _, en := range c.engines {
		if en.order.Kind == Load && (en.phase == recording || en.phase == ready) {
			return true
		}
	}
	return false
}

// firstOrder returns when the engine may get its first order of this epoch. An engine that ignores
// fences could still take an order that the previous controller sent at the end of its lease.
func (c *Controller) firstOrder(en *engine) time.Duration {
	if !en.target.IgnoresFence {
		return c.since
	}
	return c.since + membership.LeaseTime + c.limits.Timeout
}

func (c *Controller) read(now time.Duration, name string, en *engine) {
	c.reads++
	en.read, en.readAt, en.readID, en.known = true, now, c.reads, false
	c.do(ReadState{Endpoint: name, ReadID: c.reads})
}

func (c *Controller) appendIntent(name string, en *engine, next Order) {
	body, err := json.Marshal(next)
	if err != nil {
		panic(fmt.Sprintf("order: encode order: %v", err)) // strings only
	}
	c.serial++
	en.phase, en.order = recording, next
	en.fence = Fence{Epoch: c.control.Epoch, Serial: c.serial}
	c.do(AppendIntent{Intent: record.OrderIntent{
		Holder:   record.Holder{Slot: ControllerSlot, Epoch: c.control.Epoch},
		Endpoint: name,
		Serial:   c.serial,
		Order:    body,
	}})
}

// current returns the engine if the event belongs to its order under way.
func (c *Controller) current(name string, f Fence, in phase) *engine {
	en := c.engines[name]
	if en == nil || en.fence != f || en.phase != in {
		return nil
	}
	return en
}

func (c *Controller) intentApplied(now time.Duration, e IntentApplied) {
	en := c.current(e.Endpoint, e.Fence, recording)
	if en == nil {
		return
	}
	if !e.Valid {
		en.rest(now + RetryWait)
		c.log(e.Endpoint, e.Fence, "order_dropped", "intent_not_valid")
		return
	}
	en.phase = ready
}

// startOrder goes on with a recorded order once the lease holds, unless the manifest wants
// something else by now.
func (c *Controller) startOrder(now time.Duration, name string, en *engine) {
	wanted, needed := nextOrder(name, en.target.Desired, en.state)
	if !needed || !wanted.equal(en.order) || en.target.Leaving {
		c.log(name, en.fence, "order_dropped", "no_longer_wanted")
		en.rest(now)
		return
	}
	if !c.leaseHolds(now) {
		return
	}
	if en.order.Kind != Load {
		c.send(now, name, en)
		return
	}
	if now < c.nextFetch {
		return
	}
	// The shell may start the fetch as late as the end of the lease.
	c.nextFetch = c.lease.Until + c.limits.FetchInterval
	en.phase, en.until = fetching, now+c.limits.Timeout
	c.do(FetchWeights{
		Endpoint: name,
		Model:    en.order.Model,
		Version:  en.order.Version,
		Fence:    en.fence,
		NotAfter: c.lease.Until,
	})
}

func (c *Controller) fetched(now time.Duration, e FetchFinished) {
	en := c.current(e.Endpoint, e.Fence, fetching)
	if en == nil {
		return
	}
	if e.Outcome != OK {
		c.log(e.Endpoint, e.Fence, "order_dropped", "fetch_failed")
		en.rest(now + RetryWait)
		return
	}
	en.phase = fetchedWeights
}

func (c *Controller) send(now time.Duration, name string, en *engine) {
	if !c.leaseHolds(now) {
		return
	}
	en.phase, en.until = sending, now+c.limits.Timeout
	c.log(name, en.fence, "order_sent", string(en.order.Kind))
	c.do(SendOrder{Order: en.order, Fence: en.fence, NotAfter: c.lease.Until, Timeout: c.limits.Timeout})
}

func (c *Controller) sent(now time.Duration, e OrderFinished) {
	en := c.current(e.Endpoint, e.Fence, sending)
	if en == nil {
		return
	}
	switch e.Outcome {
	case OK:
		en.rest(now)
	case StaleFence:
		// A newer controller has newer fences. The log will confirm it; until then this one stops. If
		// it does not, the fence came from elsewhere, and only this engine is left alone for longer.
		c.stopped = now + RetryWait
		en.rest(now + foreignFenceWait)
		c.log(e.Endpoint, e.Fence, "control_stopped", "newer_fence_seen")
	case Rejected:
		en.rest(now + RetryWait)
		c.log(e.Endpoint, e.Fence, "order_failed", "refused_by_engine")
	default:
		// The order may still take effect, so the engine gets no other until it cannot any more. The
		// shell may have written it as late as the end of the lease it was given.
		en.phase = settling
		en.until = max(en.until, c.lease.Until+c.limits.Timeout)
		c.log(e.Endpoint, e.Fence, "order_unanswered", "may_take_effect_late")
	}
}

// checkTimeout ends a phase whose answer did not come.
func (c *Controller) checkTimeout(now time.Duration, name string, en *engine) {
	if now < en.until {
		return
	}
	switch en.phase {
	case sending:
		en.phase, en.until = settling, max(en.until, c.lease.Until)+c.limits.Timeout
	default:
		c.log(name, en.fence, "order_ended", "no_answer_in_time")
		en.rest(now)
	}
}

func (c *Controller) stateRead(now time.Duration, e StateRead) {
	en := c.engines[e.Endpoint]
	if en == nil || en.phase != idle || !en.read || en.readID != e.ReadID {
		return
	}
	en.known, en.state, en.readAt = e.Known, e.State, now
}
