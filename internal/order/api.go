package order

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
)

// Kind is the part of an engine's state that an order changes.
type Kind string

// Kinds of orders.
const (
	Load     Kind = "load"     // model and version; requires a fetch from the weight store
	Adapters Kind = "adapters" // the complete set of adapters
	SetRole  Kind = "role"
)

// Order is a command to an engine, in the form in which it is stored in the log and sent to the engine.
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

// Target is an engine that gets orders, with its desired state.
type Target struct {
	Endpoint     string
	Desired      manifest.Engine
	IgnoresFence bool // the engine does not check fences and also accepts orders with a stale one
	Leaving      bool // the endpoint is leaving and gets no orders
}

// Configure replaces the targets and the limits.
type Configure struct {
	Targets []Target
	Limits  manifest.Orders
}

// TargetsOf returns the engines of a manifest that get orders. leaving reports whether an endpoint is
// leaving and may be nil.
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

// ActiveController is the holder of slot 0 according to the part of the log that was read.
type ActiveController struct {
	Holder id.Session
	Epoch  id.Epoch
}

// Lease is the current lease of this instance. Orders and fetches are started only while it holds.
type Lease struct{ From, Until time.Duration }

// IntentApplied reports that an OrderIntent of this session was read back from the log, and whether it
// was valid.
type IntentApplied struct {
	Endpoint string
	Fence    Fence
	Valid    bool
}

// Outcome is the result of a request to an engine or to the weight store.
type Outcome uint8

// Outcomes.
const (
	OK         Outcome = iota + 1
	StaleFence         // refused: the engine has seen a newer fence
	Rejected           // refused for another reason; it had no effect
	Unknown            // no answer; it may still take effect until the order timeout (manifest.Orders)
)

// FetchFinished reports the outcome of a fetch.
type FetchFinished struct {
	Endpoint string
	Fence    Fence
	Outcome  Outcome
}

// OrderFinished reports the outcome of sending an order.
type OrderFinished struct {
	Endpoint string
	Fence    Fence
	Outcome  Outcome
}

// StateRead reports the state of an engine. Known is false if the engine did not answer. ReadID is that
// of the ReadState action; an answer to an earlier ReadState is ignored.
type StateRead struct {
	Endpoint string
	ReadID   uint64
	Known    bool
	State    manifest.Engine
}

// Tick advances time without any other input.
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

// AppendIntent records an order in the log before it is sent. IntentApplied answers it.
type AppendIntent struct{ Intent record.OrderIntent }

// FetchWeights starts a fetch from the weight store unless NotAfter has passed. FetchFinished answers it.
type FetchWeights struct {
	Endpoint string
	Model    string
	Version  string
	Fence    Fence
	NotAfter time.Duration
}

// SendOrder sends an order to an engine unless NotAfter has passed. OrderFinished answers it, with
// Rejected if NotAfter had passed.
type SendOrder struct {
	Order    Order
	Fence    Fence
	NotAfter time.Duration
	Timeout  time.Duration
}

// ReadState requests the state of an engine. StateRead answers it with the same ReadID.
type ReadState struct {
	Endpoint string
	ReadID   uint64
}

// Log asks the caller to log a decision. Code and Reason are fixed codes such as "order_sent".
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
