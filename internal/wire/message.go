package wire

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
)

// Message is the content of a frame. The concrete types of this package implement it.
type Message interface {
	Kind() Kind
}

// Hello opens a connection in both directions. The acceptor's Hello carries its proof.
type Hello struct {
	Session    id.Session `msgpack:"ss"`
	Zone       string     `msgpack:"z"` // availability zone
	MinVersion uint8      `msgpack:"vl"`
	MaxVersion uint8      `msgpack:"vh"`
	Nonce      []byte     `msgpack:"n"`
	KeyIDs     [][]byte   `msgpack:"ki"` // dialer: keys it has; acceptor: the key it chose; empty with TLS
	Proof      []byte     `msgpack:"pf"` // acceptor only
}

// Proof is the dialer's answer to the acceptor's challenge.
type Proof struct {
	Proof []byte `msgpack:"pf"`
}

// Ready tells the dialer that the acceptor has accepted it.
type Ready struct{}

// ErrorCode is the machine-readable part of an Error.
type ErrorCode string

// Codes of errors.
const (
	CodeUnknownVersion ErrorCode = "unknown_version"
	CodeUnknownKind    ErrorCode = "unknown_kind"
	CodeMalformed      ErrorCode = "malformed"
	CodeAuth           ErrorCode = "authentication_failed"
	CodeBusy           ErrorCode = "busy"
	CodeNotHolder      ErrorCode = "not_holder"
	CodeNotDispatcher  ErrorCode = "not_dispatcher"
	CodeWrongSession   ErrorCode = "wrong_session"
	CodeUnsupported    ErrorCode = "unsupported"
	CodeInternal       ErrorCode = "internal"
	CodeDraining       ErrorCode = "draining"
	CodeFlowControl    ErrorCode = "flow_control"
)

// Error ends an exchange, or a connection when it has exchange ID 0. It implements error.
type Error struct {
	Code   ErrorCode  `msgpack:"c"`
	Detail string     `msgpack:"d"`
	Holder id.Session `msgpack:"h"` // with CodeNotHolder and CodeNotDispatcher: who is, if known
}

// Error implements error.
func (e Error) Error() string { return "peer: " + string(e.Code) + ": " + e.Detail }

// Cancel ends an exchange early. The requester sends it.
type Cancel struct{}

// Credit lets the replier of an exchange send more bytes.
type Credit struct {
	Bytes int64 `msgpack:"b"`
}

// Ping keeps an idle connection from being closed. It has no answer.
type Ping struct{}

// Ack answers requests that have no other answer, such as CopyPut and CopyDrop.
type Ack struct{}

// PoolCount is a number of calls of a pool.
type PoolCount struct {
	Pool  string `msgpack:"p"`
	Calls int    `msgpack:"c"`
}

// LeavingEndpoint tells that an endpoint is leaving, as some instance has observed.
type LeavingEndpoint struct {
	Endpoint string `msgpack:"e"`
	AgeMS    uint64 `msgpack:"a"` // since the first instance observed it
}

// Heartbeat is sent to every peer each 500 ms. Session and availability zone of the sender are those
// of the connection's Hello. The lists are packed because heartbeats are most of the control bytes
// of an idle instance.
type Heartbeat struct {
	Round           uint64            `msgpack:"n"` // rises by 1 with each round of the session
	ManifestVersion uint64            `msgpack:"mv,omitempty"`
	Draining        bool              `msgpack:"dr,omitempty"`
	Slots           SlotEpochs        `msgpack:"sl,omitempty"`
	Leaving         []LeavingEndpoint `msgpack:"lv,omitempty"`
	// Running lists the sender's running calls of the pools that the recipient dispatches. Listing
	// all pools to everyone would take 39 entries in every heartbeat.
	Running []PoolCount `msgpack:"rn,omitempty"`
}

// HeartbeatAck answers a round. It carries the heard peers, because only an answer to an own round
// tells a claimant how fresh this information is: a heartbeat can arrive late by any time.
type HeartbeatAck struct {
	Round  uint64        `msgpack:"n"`
	Uptime time.Duration `msgpack:"u"` // of the session that answers
	Heard  HeardList     `msgpack:"hd,omitempty"`
}

// Forward passes one authenticated caller request to the owner of its program. Exactly one field is
// set. The Req fields are ignored; the owner assigns its own. The replies are Chunks.
type Forward struct {
	Open    *program.OpenProgram    `msgpack:"op,omitempty"`
	Branch  *program.OpenBranch     `msgpack:"br,omitempty"`
	Model   *program.ModelCall      `msgpack:"mc,omitempty"`
	Service *program.ServiceCall    `msgpack:"sc,omitempty"`
	Settle  *program.SettleCall     `msgpack:"st,omitempty"`
	Join    *program.JoinCall       `msgpack:"jn,omitempty"`
	End     *program.EndProgram     `msgpack:"en,omitempty"`
	Read    *program.ReadProgram    `msgpack:"rd,omitempty"`
	Explain *program.ExplainProgram `msgpack:"ex,omitempty"`
}

// Chunk is one reply to a Forward. Exactly one field is set. Reply and End are last replies.
type Chunk struct {
	Reply *program.Reply      `msgpack:"r,omitempty"`
	Data  *program.StreamData `msgpack:"d,omitempty"`
	End   *program.StreamEnd  `msgpack:"e,omitempty"`
}

// Submit queues an attempt at the dispatcher of a pool. Like all messages between owner and
// dispatcher it is one-way; the owner submits again when the connection or the dispatcher changes.
type Submit struct {
	Pool    string        `msgpack:"po"`
	Request sched.Request `msgpack:"rq"`
}

// Withdraw gives up an attempt.
type Withdraw struct {
	Pool string     `msgpack:"po"`
	ID   id.Attempt `msgpack:"id"`
}

// Done reports the end of a granted attempt.
type Done struct {
	Pool string     `msgpack:"po"`
	Done sched.Done `msgpack:"dn"`
}

// Grant lets the owner dispatch an attempt. The owner knows the request by its ID.
type Grant struct {
	Pool     string        `msgpack:"po"`
	ID       id.Attempt    `msgpack:"id"`
	Endpoint string        `msgpack:"e"`
	Reason   sched.Reason  `msgpack:"r"`
	MoveFrom string        `msgpack:"mf"`
	Waited   time.Duration `msgpack:"w"`
}

// Refuse tells the owner that an attempt was not granted and will not be.
type Refuse struct {
	Pool       string        `msgpack:"po"`
	ID         id.Attempt    `msgpack:"id"`
	Reason     sched.Reason  `msgpack:"r"`
	RetryAfter time.Duration `msgpack:"ra"`
}

// RunningCall is a granted attempt that has not ended.
type RunningCall struct {
	Request  sched.Request `msgpack:"rq"`
	Endpoint string        `msgpack:"e"`
}

// Running reports the running calls of an owner to a new dispatcher of a pool.
type Running struct {
	Pool  string        `msgpack:"po"`
	Calls []RunningCall `msgpack:"cs"`
}

// ProgramPaused tells a dispatcher that a branch waits for a tool.
type ProgramPaused struct {
	Pool   string              `msgpack:"po"`
	Paused sched.ProgramPaused `msgpack:"pp"`
}

// ProgramEnded tells a dispatcher that a program needs no cache any more.
type ProgramEnded struct {
	Pool  string             `msgpack:"po"`
	Ended sched.ProgramEnded `msgpack:"pe"`
}

// Copy is a group of records that a peer keeps while the log is down.
type Copy struct {
	Slot    id.Slot    `msgpack:"sl"`
	Epoch   id.Epoch   `msgpack:"ep"`
	Session id.Session `msgpack:"ss"` // the owner that asked for it
	Ref     uint64     `msgpack:"rf"` // unique in the session
	Batch   []byte     `msgpack:"bt"` // encoded by package record
}

// CopyPut asks a peer to keep a copy. An Ack answers it.
type CopyPut struct {
	Copy Copy `msgpack:"c"`
}

// CopyGet asks for the copies of a slot at epochs up to Epoch. Copies answer it; the last reply has
// More unset.
type CopyGet struct {
	Slot  id.Slot  `msgpack:"sl"`
	Epoch id.Epoch `msgpack:"ep"`
}

// Copies is a reply to CopyGet.
type Copies struct {
	Copies []Copy `msgpack:"cs"`
	More   bool   `msgpack:"m"`
}

// CopyDrop lets a peer forget copies that were read back from the log: those of the session with the
// given Refs, and those of any session under an epoch below Below. An Ack answers it.
type CopyDrop struct {
	Slot    id.Slot    `msgpack:"sl"`
	Session id.Session `msgpack:"ss"`
	Refs    []uint64   `msgpack:"rf"`
	Below   id.Epoch   `msgpack:"bl,omitempty"`
}

// ManifestGet asks for the manifest in force if its version is at least Min. Manifest answers it.
type ManifestGet struct {
	Min uint64 `msgpack:"mi"`
}

// Manifest is the manifest in force. Version 0 means that the peer has none that is new enough.
type Manifest struct {
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"dg"` // hex SHA-256 of JSON
	JSON    []byte `msgpack:"m"`
}

// Explain asks an owner for the decisions taken for a program. Explained answers it.
type Explain struct {
	Team    string     `msgpack:"t"` // empty: an operator asks
	Program id.Program `msgpack:"p"`
}

// Explained is the answer to Explain.
type Explained struct {
	Decisions []program.Decision `msgpack:"ds"`
}

// StatusGet asks for the state of an instance. Status answers it.
type StatusGet struct{}

// PoolStatus is the state of a pool at its dispatcher.
type PoolStatus struct {
	Pool    string `msgpack:"po"`
	Waiting int    `msgpack:"w"`
	Running int    `msgpack:"r"`

	Endpoints []EndpointStatus `msgpack:"e"`
	Duties    []DutyStatus     `msgpack:"d"`
}

// EndpointStatus is an endpoint as the dispatcher of its pool sees it.
type EndpointStatus struct {
	Name        string `msgpack:"n" json:"name"`
	Zone        string `msgpack:"z" json:"zone"`
	InFlight    int    `msgpack:"i" json:"in_flight"`
	Limit       int    `msgpack:"l" json:"limit"` // calls that it may have now
	Leaving     bool   `msgpack:"v" json:"leaving"`
	BreakerOpen bool   `msgpack:"o" json:"breaker_open"`
}

// DutyStatus is the owed and the given share of a duty in a pool, from 0 to 1, over the last window
// in which the pool had work.
type DutyStatus struct {
	Duty  string  `msgpack:"d" json:"duty"`
	Owed  float64 `msgpack:"o" json:"owed"`
	Given float64 `msgpack:"g" json:"given"`
}

// NeedsAttention is a program that goes on only after a person has acted, or should be looked at.
type NeedsAttention struct {
	Program   id.Program `msgpack:"p" json:"program"`
	Team      string     `msgpack:"t" json:"tenant"`
	Duty      string     `msgpack:"d" json:"duty"`
	Reason    string     `msgpack:"r" json:"reason"` // unknown_outcome, deadline_passed or budget_spent
	Branch    string     `msgpack:"b" json:"branch,omitempty"`
	Seq       uint64     `msgpack:"s" json:"seq,omitempty"`
	Key       string     `msgpack:"k" json:"key,omitempty"`
	Service   string     `msgpack:"sv" json:"service,omitempty"`
	Operation string     `msgpack:"op" json:"operation,omitempty"`
}

// PeerAge tells how long ago an instance heard from a peer directly.
type PeerAge struct {
	Session id.Session    `msgpack:"ss"`
	Age     time.Duration `msgpack:"a"`
}

// Status is the state of an instance.
type Status struct {
	Session         id.Session    `msgpack:"ss"`
	Zone            string        `msgpack:"z"`
	Ready           bool          `msgpack:"rd"`
	Draining        bool          `msgpack:"dr"`
	LogDown         bool          `msgpack:"ld"`
	ManifestVersion uint64        `msgpack:"mv"`
	ManifestAge     time.Duration `msgpack:"ma"` // since this version came into force here
	Slots           SlotEpochs    `msgpack:"sl"`
	Programs        int           `msgpack:"pn"` // open programs of the slots held
	Pools           []PoolStatus  `msgpack:"ps"` // pools this instance dispatches
	Peers           []PeerAge     `msgpack:"pr"`

	DeclaredVersion uint64           `msgpack:"dv"` // highest manifest version that the instance has read
	Needs           []NeedsAttention `msgpack:"np"` // the first ones; NeedsCount has their number
	NeedsCount      int              `msgpack:"nc"`
}
