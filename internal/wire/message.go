package wire

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
)

// Message is the content of a frame. All message types of this package implement it.
type Message interface {
	Kind() Kind
}

// Hello is the first message of a connection in each direction. Without TLS, the acceptor's Hello proves that
// it has the shared key.
type Hello struct {
	Session    id.Session `msgpack:"ss"`
	Zone       string     `msgpack:"z"` // availability zone
	MinVersion uint8      `msgpack:"vl"`
	MaxVersion uint8      `msgpack:"vh"`
	Nonce      []byte     `msgpack:"n"`
	KeyIDs     [][]byte   `msgpack:"ki"`           // dialer: its keys; acceptor: the selected key; empty with TLS
	Proof      []byte     `msgpack:"pf"`           // acceptor only; empty with TLS
	LastKind   Kind       `msgpack:"lk,omitempty"` // the last kind of message that the sender knows; 0: UnstatedLastKind
}

// Proof is the dialer's answer to the acceptor's challenge.
type Proof struct {
	Proof []byte `msgpack:"pf"`
}

// Ready tells the dialer that the acceptor has accepted the connection.
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
	CodeNotSent        ErrorCode = "not_sent"
	CodeCutOff         ErrorCode = "cut_off"
	CodeBrokenOff      ErrorCode = "broken_off"
	CodeEndpointEnded  ErrorCode = "endpoint_ended"
)

// Error ends an exchange, or the connection if its exchange ID is 0. It implements the error interface.
type Error struct {
	Code   ErrorCode  `msgpack:"c"`
	Detail string     `msgpack:"d"`
	Holder id.Session `msgpack:"h"` // actual holder or dispatcher with CodeNotHolder or CodeNotDispatcher, if known
}

// Error implements error.
func (e Error) Error() string { return "peer: " + string(e.Code) + ": " + e.Detail }

// Cancel is sent by the requester to end an exchange early.
type Cancel struct{}

// Credit allows the replier of an exchange to send more bytes (flow control).
type Credit struct {
	Bytes int64 `msgpack:"b"`
}

// Ping prevents an idle connection from being closed. It has no reply.
type Ping struct{}

// Ack is the reply to requests that return no data, such as CopyPut and CopyDrop.
type Ack struct{}

// PoolCount is a pool with a number of its calls.
type PoolCount struct {
	Pool  string `msgpack:"p"`
	Calls int    `msgpack:"c"`
}

// LeavingEndpoint reports an endpoint that an instance has observed to be leaving. Peers pass it on.
type LeavingEndpoint struct {
	Endpoint string `msgpack:"e"`
	AgeMS    uint64 `msgpack:"a"` // milliseconds since the first instance observed it
}

// Heartbeat is sent to every peer each 500 ms. The session and the availability zone of the sender are
// in the Hello of the connection. Its lists are encoded compactly, because heartbeats are most of the
// control traffic of an idle instance.
type Heartbeat struct {
	Round           uint64            `msgpack:"n"` // increases by 1 with each round of the session
	ManifestVersion uint64            `msgpack:"mv,omitempty"`
	Draining        bool              `msgpack:"dr,omitempty"`
	Slots           SlotEpochs        `msgpack:"sl,omitempty"`
	Leaving         []LeavingEndpoint `msgpack:"lv,omitempty"`
	// Running counts the sender's running calls for the pools that the recipient dispatches. Counts for
	// all pools to every peer would take 39 entries in every heartbeat in a deployment with 39 pools.
	Running []PoolCount `msgpack:"rn,omitempty"`
}

// HeartbeatAck is the reply to a Heartbeat and repeats its round. It also lists the peers that the
// sender has heard from. This list is not in Heartbeat, because a heartbeat can arrive arbitrarily late.
// An instance that considers a claim knows when it started its own round, so the reply to that round
// tells it how old the information can be at most.
type HeartbeatAck struct {
	Round  uint64        `msgpack:"n"`
	Uptime time.Duration `msgpack:"u"` // of the replying session
	Heard  HeardList     `msgpack:"hd,omitempty"`
}

// Forward passes an authenticated request of a caller to the owner of its program. Exactly one field is
// set. The owner ignores the Req field of the request and assigns its own number. The replies are
// Chunks.
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

// Chunk is one reply to a Forward. Exactly one field is set. A Chunk with Reply or End is the last one.
type Chunk struct {
	Reply *program.Reply      `msgpack:"r,omitempty"`
	Data  *program.StreamData `msgpack:"d,omitempty"`
	End   *program.StreamEnd  `msgpack:"e,omitempty"`
}

// Submit queues an attempt at the dispatcher of a pool. Like all messages between an owner and a
// dispatcher it is one-way. The owner submits the attempt again if the connection or the dispatcher
// changes.
type Submit struct {
	Pool    string        `msgpack:"po"`
	Request sched.Request `msgpack:"rq"`
}

// Withdraw cancels a submitted attempt.
type Withdraw struct {
	Pool string     `msgpack:"po"`
	ID   id.Attempt `msgpack:"id"`
}

// Done reports the end of a granted attempt to the dispatcher.
type Done struct {
	Pool string     `msgpack:"po"`
	Done sched.Done `msgpack:"dn"`
}

// Grant allows the owner to send an attempt to an endpoint. ID identifies the submitted request.
type Grant struct {
	Pool     string        `msgpack:"po"`
	ID       id.Attempt    `msgpack:"id"`
	Endpoint string        `msgpack:"e"`
	Reason   sched.Reason  `msgpack:"r"`
	MoveFrom string        `msgpack:"mf"`
	Waited   time.Duration `msgpack:"w"`
}

// Refuse tells the owner that an attempt will not be granted.
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

// ProgramPaused tells a dispatcher that a branch of a program is waiting for a tool.
type ProgramPaused struct {
	Pool   string              `msgpack:"po"`
	Paused sched.ProgramPaused `msgpack:"pp"`
}

// ProgramEnded tells a dispatcher that a program has ended and its cache can be released.
type ProgramEnded struct {
	Pool  string             `msgpack:"po"`
	Ended sched.ProgramEnded `msgpack:"pe"`
}

// Copy is an in-memory replica of a batch of records that a peer keeps while the log is unavailable.
type Copy struct {
	Slot    id.Slot    `msgpack:"sl"`
	Epoch   id.Epoch   `msgpack:"ep"`
	Session id.Session `msgpack:"ss"` // owner that sent the batch
	Ref     uint64     `msgpack:"rf"` // unique within the session
	Batch   []byte     `msgpack:"bt"` // encoded by package record
}

// CopyPut asks a peer to keep a copy. The reply is Ack.
type CopyPut struct {
	Copy Copy `msgpack:"c"`
}

// CopyGet asks a peer for the copies of a slot from all epochs up to Epoch. The replies are Copies; More
// is false in the last one.
type CopyGet struct {
	Slot  id.Slot  `msgpack:"sl"`
	Epoch id.Epoch `msgpack:"ep"`
}

// Copies is a reply to CopyGet.
type Copies struct {
	Copies []Copy `msgpack:"cs"`
	More   bool   `msgpack:"m"`
}

// CopyDrop tells a peer to delete copies whose records have been read back from the log: those of the
// session with the given Refs, and those of any session from an epoch below Below. The reply is Ack.
type CopyDrop struct {
	Slot    id.Slot    `msgpack:"sl"`
	Session id.Session `msgpack:"ss"`
	Refs    []uint64   `msgpack:"rf"`
	Below   id.Epoch   `msgpack:"bl,omitempty"`
}

// ManifestGet asks a peer for its manifest in force if the version is at least Min. The reply is Manifest.
type ManifestGet struct {
	Min uint64 `msgpack:"mi"`
}

// Manifest is the reply to ManifestGet. Version is 0 if the peer has no manifest that is new enough.
type Manifest struct {
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"dg"` // hex SHA-256 of JSON
	JSON    []byte `msgpack:"m"`
}

// Explain asks an owner for the decisions made for a program. The reply is Explained.
type Explain struct {
	Team    string     `msgpack:"t"` // empty if an operator asks
	Program id.Program `msgpack:"p"`
}

// Explained is the reply to Explain.
type Explained struct {
	Decisions []program.Decision `msgpack:"ds"`
}

// StatusGet asks an instance for its state. The reply is Status.
type StatusGet struct{}

// PoolStatus is the state of a pool at its dispatcher.
type PoolStatus struct {
	Pool    string `msgpack:"po"`
	Waiting int    `msgpack:"w"`
	Running int    `msgpack:"r"`

	Endpoints []EndpointStatus `msgpack:"e"`
	Duties    []DutyStatus     `msgpack:"d"`
}

// EndpointStatus is the state of an endpoint at the dispatcher of its pool.
type EndpointStatus struct {
	Name        string `msgpack:"n" json:"name"`
	Zone        string `msgpack:"z" json:"zone"`
	InFlight    int    `msgpack:"i" json:"in_flight"`
	Limit       int    `msgpack:"l" json:"limit"` // calls that may be in flight now
	Leaving     bool   `msgpack:"v" json:"leaving"`
	BreakerOpen bool   `msgpack:"o" json:"breaker_open"`
}

// DutyStatus compares the share of a pool that a duty was entitled to (Owed) with the share that it got
// (Given). Both are fractions from 0 to 1 over the last window in which the pool had work.
type DutyStatus struct {
	Duty  string  `msgpack:"d" json:"duty"`
	Owed  float64 `msgpack:"o" json:"owed"`
	Given float64 `msgpack:"g" json:"given"`
}

// NeedsAttention is a program that cannot continue until a person acts, or that a person should check.
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

// PeerAge tells how long ago an instance last received a message directly from a peer.
type PeerAge struct {
	Session id.Session    `msgpack:"ss"`
	Age     time.Duration `msgpack:"a"`
}

// Status is the state of an instance, and the reply to StatusGet.
type Status struct {
	Session         id.Session    `msgpack:"ss"`
	Zone            string        `msgpack:"z"`
	Ready           bool          `msgpack:"rd"`
	Draining        bool          `msgpack:"dr"`
	LogDown         bool          `msgpack:"ld"`
	ManifestVersion uint64        `msgpack:"mv"`
	ManifestAge     time.Duration `msgpack:"ma"` // time since the version came into force at this instance
	Slots           SlotEpochs    `msgpack:"sl"`
	Programs        int           `msgpack:"pn"` // open programs in the slots that the instance holds
	Pools           []PoolStatus  `msgpack:"ps"` // pools that the instance dispatches
	Peers           []PeerAge     `msgpack:"pr"`

	DeclaredVersion uint64           `msgpack:"dv"` // highest manifest version that the instance has read
	Needs           []NeedsAttention `msgpack:"np"` // possibly truncated; NeedsCount is the full number
	NeedsCount      int              `msgpack:"nc"`
}
