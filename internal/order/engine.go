package order

import (
	"slices"
	"time"

	"ragwortstile/internal/manifest"
)

// phase is the progress of the order of one engine.
type phase uint8

const (
	idle           phase = iota // no order under way
	recording                   // the intent is being appended
	ready                       // the intent is in the log
	fetching                    // the weight store works
	fetchedWeights              // the order can be sent
	sending                     // the engine has not answered
	settling                    // no answer came; the order may still take effect until the time is up
)

type engine struct {
	target Target

	phase     phase
	order     Order
	fence     Fence
	until     time.Duration // end of the phase
	notBefore time.Duration // no new order before it

	read   bool // the state was asked for since the last order
	readAt time.Duration
	readID uint64 // of the latest ReadState
	known  bool   // and has arrived
	state  manifest.Engine
}

// reset forgets the order under way and the state, for a new epoch.
func (e *engine) reset() {
	*e = engine{target: e.target}
}

// rest ends the order under way. The state is read again before the next one.
func (e *engine) rest(notBefore time.Duration) {
	e.phase, e.order, e.notBefore = idle, Order{}, notBefore
	e.read, e.known = false, false
}

// nextOrder returns the order that brings an engine one step nearer to the desired state: first
// model and version, which can unload adapters, then adapters, then the role.
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

// Apply returns the state of an engine after an order. Stand-ins of engines use it.
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
