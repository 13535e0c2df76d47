// Package record defines the records that instances and operators append to the platform's log.
//
// A record is valid only by its place in the log; package fsm gives the verdict. The types here
// carry no behaviour apart from encoding.
package record

import (
	"time"

	"ragwortstile/internal/id"
)

// Kind tells the type of a record. The numbers are part of the log format and are never reused.
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

// Record is one entry of a batch. The concrete types of this package implement it.
type Record interface {
	Kind() Kind
}

// Holder names the slot and the epoch under which a record is written. The record is valid only
// while this epoch is the slot's current one at the record's place and belongs to the writer.
type Holder struct {
	Slot  id.Slot  `msgpack:"sl"`
	Epoch id.Epoch `msgpack:"ep"`
}

// Claim takes over a slot whose epoch is still Prev. The new epoch is Prev+1.
type Claim struct {
	Slot    id.Slot    `msgpack:"sl"`
	Prev    id.Epoch   `msgpack:"pe"`
	Session id.Session `msgpack:"ss"`
}

// Handover gives a slot from its holder to another session. The new epoch is Epoch+1.
type Handover struct {
	Holder
	To id.Session `msgpack:"to"`
}

// ClaimRefresh writes a claim again before the retention removes it.
type ClaimRefresh struct {
	Holder
	Session id.Session `msgpack:"ss"`
}

// Limits bounds what a program may spend. A zero field means no limit of that kind.
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
	Program  id.Program `msgpack:"p"`
	Team     string     `msgpack:"t"`
	Duty     string     `msgpack:"d"`
	Key      string     `msgpack:"k"`  // the caller's idempotency key, unique in the team
	Limits   Limits     `msgpack:"l"`  // the smaller of the caller's and the manifest's
	Mark     Spend      `msgpack:"hw"` // budget high-water mark
	OpenedAt time.Time  `msgpack:"at"` // wall time of the opening instance
	Deadline time.Time  `msgpack:"dl"` // zero: none
}

// Branch starts a sub-agent of a program.
type Branch struct {
	Holder
	Program id.Program `msgpack:"p"`
	Name    string     `msgpack:"b"`
	Parent  string     `msgpack:"pb"`
	Key     string     `msgpack:"k"`
}

// Raise lifts the budget high-water mark of a program.
type Raise struct {
	Holder
	Program id.Program `msgpack:"p"`
	Mark    Spend      `msgpack:"hw"`
	Used    Spend      `msgpack:"u"` // spending of attempts that left no other record
}

// Message is one message of a conversation. Raw is its JSON as the caller or the engine sent it.
type Message struct {
	Raw []byte `msgpack:"r"`
}

// Turn records a finished model call: the new messages and the answer.
type Turn struct {
	Holder
	Call     id.Call   `msgpack:"c"`
	Key      string    `msgpack:"k"`
	Digest   uint64    `msgpack:"dg"` // digest of the request body, compared when the key is repeated
	New      []Message `msgpack:"n"`  // messages after the recorded history, the answer excluded
	Answer   Message   `msgpack:"a"`
	Body     []byte    `msgpack:"bd"` // the answer as sent to the caller: JSON, or event-stream bytes
	Stream   bool      `msgpack:"st"` // Body is an event stream
	Status   int       `msgpack:"hs"` // HTTP status of the answer
	Used     Spend     `msgpack:"u"`
	Mark     Spend     `msgpack:"hw"`
	Endpoint string    `msgpack:"e"`
	// Recovered marks a copy from a peer that a new holder writes after a take-over.
	Recovered bool `msgpack:"rc,omitempty"`
}

// Intent announces the one dispatch of a non-idempotent call.
type Intent struct {
	Holder
	Call      id.Call `msgpack:"c"`
	Key       string  `msgpack:"k"`
	Digest    uint64  `msgpack:"dg"`
	Service   string  `msgpack:"sv"`
	Operation string  `msgpack:"op"`
	Cost      Spend   `msgpack:"u"` // the largest possible cost
	Attempt   int     `msgpack:"n"` // number in the attempt ID
}

// Executed tells whether a call was run.
type Executed uint8

// Values of Executed.
const (
	ExecutedUnknown Executed = iota
	ExecutedNo
	ExecutedYes
)

// String returns the word used in problem details.
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

// Outcome records the result of a service call. For a non-idempotent call it closes the Intent; for
// an idempotent call there was none and the record itself takes the branch's next sequence number.
type Outcome struct {
	Holder
	Call     id.Call  `msgpack:"c"`
	Key      string   `msgpack:"k"`
	Digest   uint64   `msgpack:"dg"`
	Executed Executed `msgpack:"x"`
	Status   int      `msgpack:"hs"` // HTTP status of the service's answer; 0 if there was none
	Body     []byte   `msgpack:"bd"`
	Used     Spend    `msgpack:"u"`
	Mark     Spend    `msgpack:"hw"`
	// Recovered marks a copy from a peer that a new holder writes after a take-over.
	Recovered bool `msgpack:"rc,omitempty"`
}

// Settle closes an unknown outcome with what the caller found out.
type Settle struct {
	Holder
	Call     id.Call  `msgpack:"c"`
	Executed Executed `msgpack:"x"` // ExecutedYes or ExecutedNo
	Body     []byte   `msgpack:"bd"`
}

// EndCause tells why a program ended.
type EndCause uint8

// Causes of an end.
const (
	EndByCaller EndCause = iota + 1
	EndBudget
	EndWallTime
	EndExpired
)

// String returns the cause as used in logs and answers.
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

// End closes a program. Endpoints lists those that may still hold its cache.
type End struct {
	Holder
	Program   id.Program `msgpack:"p"`
	Cause     EndCause   `msgpack:"ca"`
	Endpoints []string   `msgpack:"es"`
}

// Released notes that an endpoint no longer holds cache of an ended program.
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
	// Part and Parts split a state that is larger than one append: part 1 to Parts, in order.
	Part  int `msgpack:"pn"`
	Parts int `msgpack:"pc"`
}

// Publish puts a manifest in force if the current version is still Expected.
type Publish struct {
	Expected uint64 `msgpack:"ex"`
	Manifest []byte `msgpack:"m"`  // canonical JSON
	Digest   string `msgpack:"dg"` // hex SHA-256 of Manifest
	Operator string `msgpack:"by"`
}

// ManifestRefresh writes the manifest in force again before the retention removes it.
type ManifestRefresh struct {
	Version  uint64 `msgpack:"v"`
	Manifest []byte `msgpack:"m"`
	Digest   string `msgpack:"dg"`
	// ReadTo is the first offset that the writer had not read. A reader that has seen everything
	// from there on can tell which of the publications since then was valid.
	ReadTo uint64 `msgpack:"to"`
}

// OrderIntent announces an order to an engine. The fence is the epoch of slot 0 and a serial number.
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
