// Package record defines the records that instances and operators append to the platform's log.
//
// Each append is a Batch of Records of one session. Split divides a record that is too large for a batch
// into Fragments, and an Assembler joins them again. Whether a record is valid depends on its position
// in the log; package fsm decides that. The types of this package only define the encoding.
package record

import (
	"time"

	"ragwortstile/internal/id"
)

// Kind identifies the type of a record. The numbers are part of the log format and are never reused.
type Kind uint8

// Kinds of records.
const (
	KindClaim Kind = iota + 1
	KindHandover
	KindClaimRefresh
	KindOpen
	KindBranch
	KindRaise
	KindTurn
	KindIntent
	KindOutcome
	KindSettle
	KindEnd
	KindReleased
	KindSnapshot
	KindPublish
	KindManifestRefresh
	KindOrderIntent
	KindFragment
)

// Record is one entry of a batch. All record types of this package implement it.
type Record interface {
	Kind() Kind
}

// Holder gives the slot and the epoch under which a record is written. The record is valid only if, at
// its position in the log, this epoch is the current one of the slot and the writer holds it.
type Holder struct {
	Slot  id.Slot  `msgpack:"sl"`
	Epoch id.Epoch `msgpack:"ep"`
}

// Claim makes Session the holder of a slot if the slot's epoch is still Prev. The new epoch is Prev+1.
type Claim struct {
	Slot    id.Slot    `msgpack:"sl"`
	Prev    id.Epoch   `msgpack:"pe"`
	Session id.Session `msgpack:"ss"`
}

// Handover passes a slot from its holder to the session To. The new epoch is Epoch+1.
type Handover struct {
	Holder
	To id.Session `msgpack:"to"`
}

// ClaimRefresh writes a claim again before the log's retention removes it.
type ClaimRefresh struct {
	Holder
	Session id.Session `msgpack:"ss"`
}

// Limits is the budget of a program. A field that is 0 sets no limit.
type Limits struct {
	Tokens      int64         `msgpack:"tk" json:"tokens,omitempty" yaml:"tokens"`
	Calls       int64         `msgpack:"cl" json:"calls,omitempty" yaml:"calls"`
	ChargeCents int64         `msgpack:"ch" json:"charge_cents,omitempty" yaml:"charge_cents"`
	WallTime    time.Duration `msgpack:"wt" json:"wall_time,omitempty" yaml:"wall_time"`
}

// Spend is an amount of tokens, calls and charge.
type Spend struct {
	Tokens      int64 `msgpack:"tk" json:"tokens"`
	Calls       int64 `msgpack:"cl" json:"calls"`
	ChargeCents int64 `msgpack:"ch" json:"charge_cents"`
}

// Add returns the sum of two amounts.
func (s Spend) Add(o Spend) Spend {
	return Spend{Tokens: s.Tokens + o.Tokens, Calls: s.Calls + o.Calls, ChargeCents: s.ChargeCents + o.ChargeCents}
}

// Sub returns the difference of two amounts.
func (s Spend) Sub(o Spend) Spend {
	return Spend{Tokens: s.Tokens - o.Tokens, Calls: s.Calls - o.Calls, ChargeCents: s.ChargeCents - o.ChargeCents}
}

// Open starts a program.
type Open struct {
	Holder
	Program   id.Program `msgpack:"p"`
	Team      string     `msgpack:"t"`
	Duty      string     `msgpack:"d"`
	Key       string     `msgpack:"k"`  // idempotency key of the caller, unique within the team
	Limits    Limits     `msgpack:"l"`  // lower of the caller's and the manifest's limits
	HighWater Spend      `msgpack:"hw"` // spending that the holder may reach without a further record
	OpenedAt  time.Time  `msgpack:"at"` // wall time of the instance that opens the program
	Deadline  time.Time  `msgpack:"dl"` // zero if there is none
}

// Branch starts a branch of a program for a sub-agent.
type Branch struct {
	Holder
	Program id.Program `msgpack:"p"`
	Name    string     `msgpack:"b"`
	Parent  string     `msgpack:"pb"`
	Key     string     `msgpack:"k"`
}

// Raise raises the high-water mark of a program: the spending up to which the holder needs no further
// record before it dispatches calls.
type Raise struct {
	Holder
	Program   id.Program `msgpack:"p"`
	HighWater Spend      `msgpack:"hw"`
	Used      Spend      `msgpack:"u"` // spending of attempts that have no other record
}

// Message is one message of a conversation. Raw is the JSON that the caller or the engine sent.
type Message struct {
	Raw []byte `msgpack:"r"`
}

// Turn records a completed model call with its new messages and the answer.
type Turn struct {
	Holder
	Call      id.Call   `msgpack:"c"`
	Key       string    `msgpack:"k"`
	Digest    uint64    `msgpack:"dg"` // digest of the request body, to compare requests that repeat the key
	New       []Message `msgpack:"n"`  // messages after the recorded history, without the answer
	Answer    Message   `msgpack:"a"`
	Body      []byte    `msgpack:"bd"` // answer as sent to the caller: JSON or an event stream
	Stream    bool      `msgpack:"st"` // Body is an event stream
	Status    int       `msgpack:"hs"` // HTTP status of the answer
	Used      Spend     `msgpack:"u"`
	HighWater Spend     `msgpack:"hw"`
	Endpoint  string    `msgpack:"e"`
	// Recovered means that a new holder writes the record after a takeover, from the copy of a peer.
	Recovered bool `msgpack:"rc,omitempty"`
}

// Intent is written before a non-idempotent call is dispatched, which happens at most once.
type Intent struct {
	Holder
	Call      id.Call `msgpack:"c"`
	Key       string  `msgpack:"k"`
	Digest    uint64  `msgpack:"dg"`
	Service   string  `msgpack:"sv"`
	Operation string  `msgpack:"op"`
	Cost      Spend   `msgpack:"u"` // highest possible cost
	Attempt   int     `msgpack:"n"` // number of the attempt in its ID
}

// Executed tells whether a call was executed.
type Executed uint8

// Values of Executed.
const (
	ExecutedUnknown Executed = iota
	ExecutedNo
	ExecutedYes
)

// String returns the value for problem details.
func (e Executed) String() string {
	switch e {
	case ExecutedNo:
		return "no"
	case ExecutedYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Outcome records the result of a service call. For a non-idempotent call it closes the Intent. An
// idempotent call has no Intent, so its Outcome takes the next sequence number of the branch.
type Outcome struct {
	Holder
	Call      id.Call  `msgpack:"c"`
	Key       string   `msgpack:"k"`
	Digest    uint64   `msgpack:"dg"`
	Executed  Executed `msgpack:"x"`
	Status    int      `msgpack:"hs"` // HTTP status of the service's response; 0 if there was none
	Body      []byte   `msgpack:"bd"`
	Used      Spend    `msgpack:"u"`
	HighWater Spend    `msgpack:"hw"`
	// Recovered means that a new holder writes the record after a takeover, from the copy of a peer.
	Recovered bool `msgpack:"rc,omitempty"`
}

// Settle resolves an unknown outcome with the result that the caller has determined.
type Settle struct {
	Holder
	Call     id.Call  `msgpack:"c"`
	Executed Executed `msgpack:"x"` // ExecutedYes or ExecutedNo
	Body     []byte   `msgpack:"bd"`
}

// EndCause tells why a program ended.
type EndCause uint8

// Causes of the end of a program.
const (
	EndByCaller EndCause = iota + 1
	EndBudget
	EndWallTime
	EndExpired
)

// String returns the cause for logs and responses.
func (c EndCause) String() string {
	switch c {
	case EndByCaller:
		return "ended_by_caller"
	case EndBudget:
		return "budget_exhausted"
	case EndWallTime:
		return "wall_time_exceeded"
	case EndExpired:
		return "expired"
	default:
		return "unknown"
	}
}

// End ends a program. Endpoints lists the endpoints that may still have cache of it.
type End struct {
	Holder
	Program   id.Program `msgpack:"p"`
	Cause     EndCause   `msgpack:"ca"`
	Endpoints []string   `msgpack:"es"`
}

// Released records that an endpoint no longer has cache of an ended program.
type Released struct {
	Holder
	Program  id.Program `msgpack:"p"`
	Endpoint string     `msgpack:"e"`
}

// Snapshot replaces the state of a program. State is encoded by package fsm.
type Snapshot struct {
	Holder
	Program id.Program `msgpack:"p"`
	State   []byte     `msgpack:"s"`
	// A state that is larger than one append is split into parts 1 to Parts, written in order.
	Part  int `msgpack:"pn"`
	Parts int `msgpack:"pc"`
}

// Publish puts a manifest into force if the current version is still Expected.
type Publish struct {
	Expected uint64 `msgpack:"ex"`
	Manifest []byte `msgpack:"m"`  // canonical JSON
	Digest   string `msgpack:"dg"` // hex SHA-256 of Manifest
	Operator string `msgpack:"by"`
}

// ManifestRefresh writes the manifest in force again before the log's retention removes it.
type ManifestRefresh struct {
	Version  uint64 `msgpack:"v"`
	Manifest []byte `msgpack:"m"`
	Digest   string `msgpack:"dg"`
	// ReadTo is the first offset that the writer had not read. A reader that has read the log from there
	// on can determine which of the publications since then were valid.
	ReadTo uint64 `msgpack:"to"`
}

// OrderIntent is written before an order is sent to an engine. The fence of the order consists of the
// epoch of slot 0 and the serial number.
type OrderIntent struct {
	Holder
	Endpoint string `msgpack:"e"`
	Serial   uint64 `msgpack:"n"`
	Order    []byte `msgpack:"o"` // JSON of the order
}

// Kind implements Record.
func (Claim) Kind() Kind { return KindClaim }

// Kind implements Record.
func (Handover) Kind() Kind { return KindHandover }

// Kind implements Record.
func (ClaimRefresh) Kind() Kind { return KindClaimRefresh }

// Kind implements Record.
func (Open) Kind() Kind { return KindOpen }

// Kind implements Record.
func (Branch) Kind() Kind { return KindBranch }

// Kind implements Record.
func (Raise) Kind() Kind { return KindRaise }

// Kind implements Record.
func (Turn) Kind() Kind { return KindTurn }

// Kind implements Record.
func (Intent) Kind() Kind { return KindIntent }

// Kind implements Record.
func (Outcome) Kind() Kind { return KindOutcome }

// Kind implements Record.
func (Settle) Kind() Kind { return KindSettle }

// Kind implements Record.
func (End) Kind() Kind { return KindEnd }

// Kind implements Record.
func (Released) Kind() Kind { return KindReleased }

// Kind implements Record.
func (Snapshot) Kind() Kind { return KindSnapshot }

// Kind implements Record.
func (Publish) Kind() Kind { return KindPublish }

// Kind implements Record.
func (ManifestRefresh) Kind() Kind { return KindManifestRefresh }

// Kind implements Record.
func (OrderIntent) Kind() Kind { return KindOrderIntent }

// Kind implements Record.
func (Fragment) Kind() Kind { return KindFragment }
