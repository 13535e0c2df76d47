package order

import (
	"slices"
	"time"

	"ragwortstile/internal/manifest"
)

// phase is the progress of an engine's order.
type phase uint8

const (
	idle           phase = iota // no order in progress
	recording                   // the intent is being appended to the log
	ready                       // the intent was read back as valid
	fetching                    // waiting for the weight store
	weightsFetched              // the weights are available; the order can be sent
	sending                     // waiting for the engine's answer
	unanswered                  // no answer arrived; the order may still take effect until the phase ends
)

// engine is the controller's state of one engine.
type engine struct {
	target Target

	phase     phase
	order     Order
	fence     Fence
	until     time.Duration // end of the phase
	notBefore time.Duration // no new order before this time

	read   bool          // the state was requested since the last order
	readAt time.Duration // when it was requested or, if later, when it arrived
	readID uint64        // of the latest ReadState
	known  bool          // the requested state has arrived
	state  manifest.Engine
}

// reset discards the order in progress and the state for a new epoch.
func (e *engine) reset() {
	*e = engine{target: e.target}
}

// finish ends the order in progress. The state is read again before the next order.
func (e *engine) finish(notBefore time.Duration) {
	e.phase, e.order, e.notBefore = idle, Order{}, notBefore
	e.read, e.known = false, false
}

// nextOrder returns the next order that an engine needs to reach the desired state: first model and
// version, because loading them can unload adapters, then the adapters, then the role.
func nextOrder(name string, want, have manifest.Engine) (Order, bool) {
	switch {
	case want.Model != have.Model || want.Version != have.Version:
		return Order{Endpoint: name, Kind: Load, Model: want.Model, Version: want.Version}, true
	case !sameSet(want.Adapters, have.Adapters):
		return Order{Endpoint: name, Kind: Adapters, Adapters: slices.Clone(want.Adapters)}, true
	case want.Role != have.Role:
		return Order{Endpoint: name, Kind: SetRole, Role: want.Role}, true
	default:
		return Order{}, false
	}
}

// sameSet reports whether a and b contain the same strings, regardless of order and duplicates.
func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}

func (o Order) equal(p Order) bool {
	return o.Endpoint == p.Endpoint && o.Kind == p.Kind && o.Model == p.Model && o.Version == p.Version &&
		o.Role == p.Role && sameSet(o.Adapters, p.Adapters)
}

// Apply returns the state of an engine after it has carried out an order.
func (o Order) Apply(have manifest.Engine) manifest.Engine {
	switch o.Kind {
	case Load:
		have.Model, have.Version, have.Adapters = o.Model, o.Version, nil
	case Adapters:
		have.Adapters = slices.Clone(o.Adapters)
	case SetRole:
		have.Role = o.Role
	}
	return have
}
