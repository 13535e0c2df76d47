// Package order decides which orders engines get: to load a model version or adapters, or to change
// role. One instance at a time gives orders: the controller, which is the holder of slot 0.
//
// Controller is a deterministic state machine without I/O: Step takes an event with its time and
// returns typed actions. Time is a time.Duration on the instance's monotonic clock.
//
// Invariants, for a shell that carries out no action after its NotAfter:
//
//   - An order is sent only after its intent was read back from the log as valid, and its fence is
//     above all fences of earlier intents, because it begins with the epoch of slot 0.
//   - An engine has at most one order at a time. For an engine that ignores fences this holds across
//     controllers too: a new controller waits until the previous one's lease and the longest time in
//     which an order takes effect have passed.
//   - Two fetches from the weight store are at least FetchInterval apart, across controllers too.
//
// A process that is paused between the check of NotAfter and the write can still send late. An
// engine that checks fences refuses that order; on one that does not, the controller finds the wrong
// state by reading it periodically, and corrects it.
package order

import (
	"errors"
	"fmt"

	"ragwortstile/internal/id"
)

// ControllerSlot is the slot whose holder is the controller.
const ControllerSlot id.Slot = 0

// Fence orders the orders of all controllers. Epoch is that of slot 0, Serial starts at 1 in each.
type Fence struct {
	Epoch  id.Epoch `json:"epoch"`
	Serial uint64   `json:"serial"`
}

// Less tells whether f is older than o.
func (f Fence) Less(o Fence) bool {
	if f.Epoch != o.Epoch {
		return f.Epoch < o.Epoch
	}
	return f.Serial < o.Serial
}

// String returns "<epoch>.<serial>".
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Serial) }

const serialBits = 32

// Number returns the fencing number that engines compare. It keeps the order of Less while epoch
// and serial are below 2^32, which at one order a second and claim a second takes 136 years.
func (f Fence) Number() uint64 { return uint64(f.Epoch)<<serialBits | f.Serial&(1<<serialBits-1) }

// ErrStaleFence tells that an order's fence is not above the last one accepted.
var ErrStaleFence = errors.New("order has an old fence")

// FenceChecker accepts fences in rising order. Whoever carries out orders keeps one per engine.
type FenceChecker struct{ last Fence }

// Accept takes a fence, or fails with an error that wraps ErrStaleFence.
func (g *FenceChecker) Accept(f Fence) error {
	if !g.last.Less(f) {
		return fmt.Errorf("fence %s is not above %s: %w", f, g.last, ErrStaleFence)
	}
	g.last = f
	return nil
}

// Last returns the last fence accepted.
func (g *FenceChecker) Last() Fence { return g.last }
