// Package order decides which orders engines get. An order is a command to an engine to load a model
// version or adapters, or to change its role. One instance at a time gives orders: the controller, which
// is the holder of slot 0.
//
// Controller compares the desired state of each engine with the state that it reads, and brings the
// engine to the desired state by one order after the other. It is a deterministic state machine without
// I/O: Step takes an event with its time and returns typed actions, which the caller carries out. Time
// is a time.Duration on the instance's monotonic clock.
//
// Invariants, if the caller carries out no action after its NotAfter:
//
//   - An order is sent only after its intent was read back from the log as valid. Its fence is above the
//     fences of all earlier intents, because it begins with the epoch of slot 0.
//   - An engine has at most one order in progress. For an engine that ignores fences this also holds
//     across controllers: a new controller waits until the previous one's lease and the longest time in
//     which an order takes effect have passed.
//   - Two fetches from the weight store are at least FetchInterval apart, also across controllers.
//
// A process that is paused between the check of NotAfter and the write can still send late. An engine
// that checks fences refuses such an order. On an engine that ignores fences, the controller detects the
// wrong state by its periodic reads and corrects it.
package order

import (
	"errors"
	"fmt"

	"ragwortstile/internal/id"
)

// ControllerSlot is the slot whose holder is the controller.
const ControllerSlot id.Slot = 0

// Fence is the fencing token of an order. It defines a total order over the orders of all controllers.
// Epoch is the epoch of slot 0; Serial numbers the orders of one epoch from 1.
type Fence struct {
	Epoch  id.Epoch `json:"epoch"`
	Serial uint64   `json:"serial"`
}

// Less reports whether f is older than o.
func (f Fence) Less(o Fence) bool {
	if f.Epoch != o.Epoch {
		return f.Epoch < o.Epoch
	}
	return f.Serial < o.Serial
}

// String returns "<epoch>.<serial>".
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Serial) }

const serialBits = 32

// Number returns the fencing token as the number that engines compare. It preserves the order of Less while
// epoch and serial are below 2^32, which is 136 years at one order and one claim a second.
func (f Fence) Number() uint64 { return uint64(f.Epoch)<<serialBits | f.Serial&(1<<serialBits-1) }

// ErrStaleFence reports that an order's fence is not above the last one accepted.
var ErrStaleFence = errors.New("order has an old fence")

// FenceChecker accepts fences in ascending order only. A component that carries out orders keeps one
// per engine.
type FenceChecker struct{ last Fence }

// Accept records a fence as the last one accepted. It returns an error that wraps ErrStaleFence if the
// fence is not above the previous one.
func (g *FenceChecker) Accept(f Fence) error {
	if !g.last.Less(f) {
		return fmt.Errorf("fence %s is not above %s: %w", f, g.last, ErrStaleFence)
	}
	g.last = f
	return nil
}

// Last returns the last fence accepted.
func (g *FenceChecker) Last() Fence { return g.last }
