package server

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"ragwortstile/internal/engine"
	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/order"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
)

// orders runs the controller of orders (commands to engines, such as loading a model version). The
// core loop owns it.
type orders struct {
	c          *core
	controller *order.Controller
	// confirmed is the state of each engine according to the orders that it confirmed to this
	// controller. Engines do not report their state, so a new controller starts without it, it is
	// dropped when an engine restarts, and the orders are given again.
	confirmed map[string]manifest.Engine
	epoch     id.Epoch
}

func newOrders(c *core) *orders {
	return &orders{c: c, controller: order.New(c.inst.session), confirmed: map[string]manifest.Engine{}}
}

// step passes an event to the controller and executes its actions.
func (o *orders) step(e order.Event) {
	for _, a := range o.controller.Step(o.c.inst.now(), e) {
		o.act(a)
	}
}

// configure passes the target states and limits of the manifest in force to the controller.
func (o *orders) configure() {
	if m := o.c.manifest; m != nil {
		o.step(order.Configure{Targets: order.TargetsOf(m, o.c.members.state.EndpointIsLeaving), Limits: m.Orders})
	}
}

// handleEffect passes changes of the controller slot's holder and the intents read back from the log
// to the controller.
func (o *orders) handleEffect(e fsm.Effect) {
	if state := o.c.programs.Slot(order.ControllerSlot); state.Epoch != o.epoch {
		o.epoch = state.Epoch
		o.confirmed = map[string]manifest.Engine{}
		o.step(order.ActiveController{Holder: state.Holder, Epoch: state.Epoch})
	}
	if r, ok := e.Record.(record.OrderIntent); ok && e.Writer == o.c.inst.session && e.Verdict != fsm.Duplicate {
		o.step(order.IntentApplied{Endpoint: r.Endpoint, Fence: order.Fence{Epoch: r.Epoch, Serial: r.Serial},
			Valid: e.Verdict == fsm.Valid})
	}
}

// engineRestarted discards the state of an engine that has restarted.
func (o *orders) engineRestarted(endpoint string) { delete(o.confirmed, endpoint) }

func (o *orders) act(a order.Action) {
	switch a := a.(type) {
	case order.AppendIntent:
		o.c.append([]record.Record{a.Intent})
	case order.FetchWeights:
		o.c.inst.endpoints.spawn(func() {
			outcome := o.c.inst.fetchWeights(a)
			o.c.events.post(func() { o.step(order.FetchFinished{Endpoint: a.Endpoint, Fence: a.Fence, Outcome: outcome}) })
		})
	case order.SendOrder:
		o.c.inst.endpoints.spawn(func() {
			outcome := o.c.inst.sendOrder(a)
			o.c.events.post(func() { o.orderFinished(a, outcome) })
		})
	case order.ReadState:
		state := o.confirmed[a.Endpoint]
		o.c.events.deferTask(func() {
			o.step(order.StateRead{Endpoint: a.Endpoint, ReadID: a.ReadID, Known: true, State: state})
		})
	case order.Log:
		o.c.inst.log.Info(telemetry.Event(a.Code), telemetry.Endpoint(a.Endpoint), telemetry.Fence(a.Fence), telemetry.Reason(sched.Reason(a.Reason)))
	}
}

func (o *orders) orderFinished(a order.SendOrder, outcome order.Outcome) {
	if outcome == order.OK && a.Fence.Epoch == o.epoch {
		o.confirmed[a.Order.Endpoint] = a.Order.Apply(o.confirmed[a.Order.Endpoint])
	}
	o.step(order.OrderFinished{Endpoint: a.Order.Endpoint, Fence: a.Fence, Outcome: outcome})
}

// fetchWeights makes one request to the weight store, if there is one. The request counts against the
// store's quota.
func (i *Instance) fetchWeights(a order.FetchWeights) order.Outcome {
	if i.cfg.WeightsURL == "" {
		return order.OK
	}
	i.waitWhilePaused()
	if i.now() >= a.NotAfter {
		return order.Rejected
	}
	ctx, cancel := context.WithTimeout(i.ctx, controlTimeout)
	defer cancel()
	_, err := logservice.NewWeightClient(i.cfg.WeightsURL, i.httpClient).Fetch(ctx, a.Model)
	var limited *logservice.RateLimitedError
	switch {
	case err == nil:
		return order.OK
	case errors.As(err, &limited), errors.Is(err, logservice.ErrNotFound), errors.Is(err, logservice.ErrOutage):
		return order.Rejected
	default:
		return order.Unknown
	}
}

// sendOrder sends an order to its engine unless the order's NotAfter has passed.
func (i *Instance) sendOrder(a order.SendOrder) order.Outcome {
	body, err := json.Marshal(a.Order)
	if err != nil {
		return order.Rejected
	}
	ctx, cancel := context.WithTimeout(i.ctx, max(a.Timeout, time.Millisecond))
	defer cancel()
	i.waitWhilePaused()
	if i.now() >= a.NotAfter {
		return order.Rejected
	}
	err = i.endpoints.engineClient.SendOrder(ctx, a.Order.Endpoint, engine.Fence{Epoch: a.Fence.Epoch, Serial: a.Fence.Serial}, body)
	var stale *engine.StaleFenceError
	var status *engine.StatusError
	switch {
	case err == nil:
		return order.OK
	case errors.As(err, &stale):
		return order.StaleFence
	case errors.As(err, &status) && status.Status < 500, errors.Is(err, engine.ErrUnknownEndpoint):
		return order.Rejected
	default:
		return order.Unknown
	}
}
