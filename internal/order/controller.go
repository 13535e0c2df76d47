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

// Time intervals of the controller.
const (
	// ReadInterval is how often the state of an engine without an order in progress is read. It bounds
	// how long the effect of a late order by a paused controller remains uncorrected on an engine that
	// ignores fences.
	ReadInterval = 10 * time.Second
	// RetryWait is how long the controller waits after a fetch or an order that was refused or failed
	// before it sends the engine another order.
	RetryWait = 10 * time.Second
	// unknownFenceWait is how long an engine gets no orders after it refused one because of its fence,
	// if the log shows no newer controller.
	unknownFenceWait = 10 * RetryWait
)

// Controller decides which orders a session sends. It does nothing unless the session holds slot 0.
type Controller struct {
	self    id.Session
	limits  manifest.Orders
	engines map[string]*engine
	names   []string // endpoint names of the targets, sorted

	active       ActiveController
	activeSince  time.Duration // when active was read from the log
	serial       uint64        // of the last fence of this epoch
	lease        Lease
	nextFetchAt  time.Duration // earliest time of the next fetch from the weight store
	lastReadID   uint64
	stoppedUntil time.Duration // no orders before this time, because an engine has seen a newer fence
	actions      []Action
}

// New returns the controller of a session.
func New(self id.Session) *Controller {
	return &Controller{self: self, engines: make(map[string]*engine)}
}

// Active reports whether this session is the controller according to the part of the log that it has
// read.
func (c *Controller) Active() bool { return c.active.Holder == c.self }

// Step applies an event and returns the actions to carry out.
func (c *Controller) Step(now time.Duration, e Event) []Action {
	c.actions = nil
	switch e := e.(type) {
	case Configure:
		c.configure(e)
	case ActiveController:
		c.setActive(now, e)
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
	if c.Active() && now >= c.stoppedUntil {
		c.plan(now)
	}
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) log(name string, f Fence, code, reason string) {
	c.emit(Log{Endpoint: name, Fence: f, Code: code, Reason: reason})
}

func (c *Controller) configure(e Configure) {
	c.limits = e.Limits
	c.names = nil
	wanted := make(map[string]bool)
	for _, t := range e.Targets {
		wanted[t.Endpoint] = true
		c.names = append(c.names, t.Endpoint)
		if c.engines[t.Endpoint] == nil {
			c.engines[t.Endpoint] = &engine{}
		}
		c.engines[t.Endpoint].target = t
	}
	slices.SortFunc(c.names, cmp.Compare[string])
	for name, en := range c.engines {
		// An engine with an order in progress is kept in case it becomes a target again before the order
		// ends.
		if !wanted[name] && en.phase == idle {
			delete(c.engines, name)
		}
	}
}

// setActive resets all engines and the serial for a new epoch. What another controller did is detected by
// reading the state of the engines.
func (c *Controller) setActive(now time.Duration, e ActiveController) {
	if e == c.active || e.Epoch < c.active.Epoch {
		return
	}
	c.active = e
	c.stoppedUntil = 0
	c.serial = 0
	c.activeSince = now
	// The previous controller may have started a fetch until its lease ended.
	c.nextFetchAt = now + membership.LeaseTime + c.limits.FetchInterval
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

// plan takes the next step for every engine for which one is possible now.
func (c *Controller) plan(now time.Duration) {
	for _, name := range c.names {
		en := c.engines[name]
		switch en.phase {
		case idle:
			c.planIdle(now, name, en)
		case ready:
			c.startOrder(now, name, en)
		case weightsFetched:
			c.send(now, name, en)
		case fetching, sending, unanswered:
			c.checkTimeout(now, name, en)
		}
	}
}

// planIdle reads the state of an engine without an order in progress, and records the intent of its next
// order.
func (c *Controller) planIdle(now time.Duration, name string, en *engine) {
	if en.target.Leaving || now < en.notBefore {
		return
	}
	if !en.read || now-en.readAt >= ReadInterval {
		c.read(now, name, en)
		return
	}
	if !en.known || !c.leaseHolds(now) || now < c.firstOrderAt(en) {
		return
	}
	next, needed := nextOrder(name, en.target.Desired, en.state)
	if !needed {
		return
	}
	if next.Kind == Load && (now < c.nextFetchAt || c.loadWaiting()) {
		return
	}
	c.appendIntent(name, en, next)
}

// loadWaiting reports whether a load order waits for its intent or its fetch. A second one would have
// to wait for the weight store anyway, and could be outdated by then.
func (c *Controller) loadWaiting() bool {
	for _, en := range c.engines {
		if en.order.Kind == Load && (en.phase == recording || en.phase == ready) {
			return true
		}
	}
	return false
}

// firstOrderAt returns when the engine may get its first order of this epoch. An engine that ignores
// fences could still carry out an order that the previous controller sent at the end of its lease.
func (c *Controller) firstOrderAt(en *engine) time.Duration {
	if !en.target.IgnoresFence {
		return c.activeSince
	}
	return c.activeSince + membership.LeaseTime + c.limits.Timeout
}

func (c *Controller) read(now time.Duration, name string, en *engine) {
	c.lastReadID++
	en.read, en.readAt, en.readID, en.known = true, now, c.lastReadID, false
	c.emit(ReadState{Endpoint: name, ReadID: c.lastReadID})
}

func (c *Controller) appendIntent(name string, en *engine, next Order) {
	body, err := json.Marshal(next)
	if err != nil {
		panic(fmt.Sprintf("order: encode order: %v", err)) // cannot happen: an Order has only strings
	}
	c.serial++
	en.phase, en.order = recording, next
	en.fence = Fence{Epoch: c.active.Epoch, Serial: c.serial}
	c.emit(AppendIntent{Intent: record.OrderIntent{
		Holder:   record.Holder{Slot: ControllerSlot, Epoch: c.active.Epoch},
		Endpoint: name,
		Serial:   c.serial,
		Order:    body,
	}})
}

// inPhase returns the engine if its order in progress has the fence and the phase, and nil otherwise.
func (c *Controller) inPhase(name string, f Fence, want phase) *engine {
	en := c.engines[name]
	if en == nil || en.fence != f || en.phase != want {
		return nil
	}
	return en
}

func (c *Controller) intentApplied(now time.Duration, e IntentApplied) {
	en := c.inPhase(e.Endpoint, e.Fence, recording)
	if en == nil {
		return
	}
	if !e.Valid {
		en.finish(now + RetryWait)
		c.log(e.Endpoint, e.Fence, "order_dropped", "intent_not_valid")
		return
	}
	en.phase = ready
}

// startOrder starts the fetch or the sending of a recorded order if the lease holds. It drops the order
// if the manifest or the leaving of the endpoint has made it obsolete.
func (c *Controller) startOrder(now time.Duration, name string, en *engine) {
	wanted, needed := nextOrder(name, en.target.Desired, en.state)
	if !needed || !wanted.equal(en.order) || en.target.Leaving {
		c.log(name, en.fence, "order_dropped", "no_longer_wanted")
		en.finish(now)
		return
	}
	if !c.leaseHolds(now) {
		return
	}
	if en.order.Kind != Load {
		c.send(now, name, en)
		return
	}
	if now < c.nextFetchAt {
		return
	}
	// The caller may start the fetch as late as the end of the lease.
	c.nextFetchAt = c.lease.Until + c.limits.FetchInterval
	en.phase, en.until = fetching, now+c.limits.Timeout
	c.emit(FetchWeights{
		Endpoint: name,
		Model:    en.order.Model,
		Version:  en.order.Version,
		Fence:    en.fence,
		NotAfter: c.lease.Until,
	})
}

func (c *Controller) fetched(now time.Duration, e FetchFinished) {
	en := c.inPhase(e.Endpoint, e.Fence, fetching)
	if en == nil {
		return
	}
	if e.Outcome != OK {
		c.log(e.Endpoint, e.Fence, "order_dropped", "fetch_failed")
		en.finish(now + RetryWait)
		return
	}
	en.phase = weightsFetched
}

func (c *Controller) send(now time.Duration, name string, en *engine) {
	if !c.leaseHolds(now) {
		return
	}
	en.phase, en.until = sending, now+c.limits.Timeout
	c.log(name, en.fence, "order_sent", string(en.order.Kind))
	c.emit(SendOrder{Order: en.order, Fence: en.fence, NotAfter: c.lease.Until, Timeout: c.limits.Timeout})
}

func (c *Controller) sent(now time.Duration, e OrderFinished) {
	en := c.inPhase(e.Endpoint, e.Fence, sending)
	if en == nil {
		return
	}
	switch e.Outcome {
	case OK:
		en.finish(now)
	case StaleFence:
		// The newer fence is probably that of a newer controller, which the log will show; until then this
		// controller sends no orders to any engine. If the log shows none within RetryWait, the fence has
		// another origin, and only this engine gets no orders for longer.
		c.stoppedUntil = now + RetryWait
		en.finish(now + unknownFenceWait)
		c.log(e.Endpoint, e.Fence, "control_stopped", "newer_fence_seen")
	case Rejected:
		en.finish(now + RetryWait)
		c.log(e.Endpoint, e.Fence, "order_failed", "refused_by_engine")
	default:
		// The order may still take effect, so the engine gets no other order until that is impossible.
		// The caller may have written it as late as the end of the lease that it was given.
		en.phase = unanswered
		en.until = max(en.until, c.lease.Until+c.limits.Timeout)
		c.log(e.Endpoint, e.Fence, "order_unanswered", "may_take_effect_late")
	}
}

// checkTimeout ends a phase whose answer did not arrive in time.
func (c *Controller) checkTimeout(now time.Duration, name string, en *engine) {
	if now < en.until {
		return
	}
	switch en.phase {
	case sending:
		en.phase, en.until = unanswered, max(en.until, c.lease.Until)+c.limits.Timeout
	default:
		c.log(name, en.fence, "order_ended", "no_answer_in_time")
		en.finish(now)
	}
}

func (c *Controller) stateRead(now time.Duration, e StateRead) {
	en := c.engines[e.Endpoint]
	if en == nil || en.phase != idle || !en.read || en.readID != e.ReadID {
		return
	}
	en.known, en.state, en.readAt = e.Known, e.State, now
}
