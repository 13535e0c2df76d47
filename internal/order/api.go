package order

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
)

// Kind tells what an order changes.
type Kind string

// Kinds of orders.
const (
	Load     Kind = "load"     // model and version; needs a fetch from the weight store
	Adapters Kind = "adapters" // the whole set of adapters
	SetRole  Kind = "role"
)

// Order is one order to an engine, as the log and the engine get it.
type Order struct {
	Endpoint string        `json:"endpoint"`
	Kind     Kind          `json:"kind"`
	Model    string        `json:"model,omitempty"`
	Version  string        `json:"version,omitempty"`
	Adapters []string      `json:"adapters,omitempty"`
	Role     manifest.Role `json:"role,omitempty"`
}

// Event is an input of Step.
type Event interface{ event() }

// Target is an engine with its desired state.
type Target struct {
	Endpoint     string
	Desired      manifest.Engine
	IgnoresFence bool
	Leaving      bool // it gets no orders
}

// Configure replaces the desired states and the limits.
type Configure struct {
	Targets []Target
	Limits  manifest.Orders
}

// TargetsOf returns the engines of a manifest that get orders. leaving may be nil.
func TargetsOf(m *manifest.Manifest, leaving func(endpoint string) bool) []Target {
	var targets []Target
	for _, e := range m.Endpoints {
		if !e.Engine.Managed() {
			continue
		}
		t := Target{Endpoint: e.Name, Desired: e.Engine, IgnoresFence: e.IgnoresFence}
		t.Leaving = leaving != nil && leaving(e.Name)
		targets = append(targets, t)
	}
	return targets
}

// ActiveController tells who holds slot 0 as of the log that was read.
type ActiveController struct {
	Holder id.Session
	Epoch  id.Epoch
}

// Lease brings the own lease. Orders and fetches are started only while it holds.
type Lease struct{ From, Until time.Duration }

// IntentApplied tells that an own OrderIntent was read back and whether it was valid.
type IntentApplied struct {
	Endpoint string
	Fence    Fence
	Valid    bool
}

// Outcome tells how a request to an engine or to the weight store ended.
type Outcome uint8

// Outcomes.
const (
	OK         Outcome = iota + 1
	StaleFence         // the engine has seen a newer fence
	Rejected           // refused for another reason, nothing was done
	Unknown            // no answer; it may still take effect until the order timeout
)

// FetchFinished brings the end of a fetch.
type FetchFinished struct {
	Endpoint string
	Fence    Fence
	Outcome  Outcome
}

// OrderFinished brings the end of an order.
type OrderFinished struct {
	Endpoint string
	Fence    Fence
	Outcome  Outcome
}

// StateRead brings the state of an engine. Known is false when it did not answer. Read is that of
// the ReadState it answers; other answers are late and ignored.
type StateRead struct {
	Endpoint string
	ReadID   uint64
	Known    bool
	State    manifest.Engine
}

// Tick lets time pass.
type Tick struct{}

func (Configure) event()        {}
func (ActiveController) event() {}
func (Lease) event()            {}
func (IntentApplied) event()    {}
func (FetchFinished) event()    {}
func (OrderFinished) event()    {}
func (StateRead) event()        {}
func (Tick) event()             {}

// Action is an output of Step.
type Action interface{ action() }

// AppendIntent records an order before it is sent. IntentApplied answers it.
type AppendIntent struct{ Intent record.OrderIntent }

// FetchWeights starts a fetch from the weight store, not after NotAfter. Fetched answers it.
type FetchWeights struct {
	Endpoint string
	Model    string
	Version  string
	Fence    Fence
	NotAfter time.Duration
}

// SendOrder sends an order to an engine, not after NotAfter. Sent answers it, with Rejected if
// NotAfter had passed.
type SendOrder struct {
	Order    Order
	Fence    Fence
	NotAfter time.Duration
	Timeout  time.Duration
}

// ReadState asks an engine for its state. StateRead answers it.
type ReadState struct {
	Endpoint string
	ReadID   uint64
}

// Log asks the shell to log a decision. What and Reason are codes such as "order_sent".
type Log struct {
	Endpoint string
	Fence    Fence
	Code     string
	Reason   string
}

func (AppendIntent) action() {}
func (FetchWeights) action() {}
func (SendOrder) action()    {}
func (ReadState) action()    {}
func (Log) action()          {}
