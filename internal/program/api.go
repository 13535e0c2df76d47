// Package program decides everything that concerns the programs of the slots an instance holds: the
// order of calls, repeated keys, history, budget, intents, outcomes, retries and the release of
// engine memory.
//
// Core is a deterministic state machine without I/O: Step takes an event with its time and returns
// typed actions, which the surrounding shell carries out. It reads no clock, starts no goroutine
// and draws no random number. Durable state is that of package fsm; Core never changes it except by
// applying records that were read back from the log, plus the state of calls under way.
package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// ReqID names one caller request at one front: it is unique in this owner's process.
type ReqID uint64

// Event is an input of Step.
type Event interface{ event() }

// OpenProgram asks to start a program. The shell has authenticated the team.
type OpenProgram struct {
	Req      ReqID
	Program  id.Program // chosen by the shell in a slot this instance holds
	Team     string
	Duty     string
	Key      string
	Limits   record.Limits // as asked by the caller; the core takes the smaller of these and the duty's
	Now      time.Time     // wall time, for the record
	Deadline time.Time
}

// OpenBranch asks to start a sub-agent.
type OpenBranch struct {
	Req     ReqID
	Team    string
	Program id.Program
	Name    string
	Parent  string
	Key     string
}

// HistoryMode tells how the messages of a model call relate to the recorded history.
type HistoryMode uint8

// Modes of history.
const (
	HistoryFull   HistoryMode = iota // the messages start with the recorded history
	HistoryAppend                    // the messages follow the recorded history
)

// ModelCall asks for a chat completion.
type ModelCall struct {
	Req       ReqID
	Team      string
	Program   id.Program
	Branch    string
	Key       string // empty: the shell has generated one
	Seq       uint64 // sequence number the caller expects; 0: the next one
	Digest    uint64 // of the request body
	Model     string // pool
	Messages  []record.Message
	History   HistoryMode
	MaxTokens int64  // 0: the pool's default
	Params    []byte // JSON object of the other request fields, passed to the engine
	Stream    bool
	FromByte  int64         // a repeated key with a stream: first byte the caller wants
	TimeLimit time.Duration // until the caller gives up; 0: the pool's timeout
}

// ServiceCall asks for an operation of a plain service.
type ServiceCall struct {
	Req       ReqID
	Team      string
	Program   id.Program
	Branch    string
	Key       string
	Seq       uint64
	Digest    uint64
	Service   string
	Operation string
	Body      []byte
	TimeLimit time.Duration
}

// SettleCall closes an unknown outcome with what the caller found out.
type SettleCall struct {
	Req      ReqID
	Team     string
	Program  id.Program
	Key      string
	Executed record.Executed
	Body     []byte
}

// JoinCall asks for the recorded outcome or the stream under way of a key.
type JoinCall struct {
	Req      ReqID
	Team     string
	Program  id.Program
	Key      string
	FromByte int64
}

// EndProgram asks to end a program.
type EndProgram struct {
	Req     ReqID
	Team    string
	Program id.Program
}

// ReadProgram asks for the state of a program; History includes the messages.
type ReadProgram struct {
	Req     ReqID
	Team    string
	Program id.Program
	Branch  string
	History bool
}

// ExplainProgram asks for the decisions taken for a program.
type ExplainProgram struct {
	Req     ReqID
	Team    string // empty: an operator asks
	Program id.Program
}

// CallerGone tells that the front lost the caller of a request. The call itself goes on.
type CallerGone struct{ Req ReqID }

// Applied feeds back what the fold made of a record, in log order.
type Applied struct{ Effect fsm.Effect }

// LogState tells whether the log answers appends in time.
type LogState struct{ Down bool }

// CopiesStored tells that enough peers hold the copy asked for by PutCopies.
type CopiesStored struct{ Ref uint64 }

// CopiesFetched brings the copies that peers held for a slot that was taken over. The slot serves
// no call before it.
type CopiesFetched struct {
	Slot    id.Slot
	Records []record.Record
}

// LeaseChanged tells until when the instance's lease holds.
type LeaseChanged struct{ Until time.Duration }

// Granted and Refused bring the dispatcher's decisions.
type Granted struct{ Grant sched.Grant }

// Refused brings a refusal of the dispatcher: the call was not run.
type Refused struct{ Refuse sched.Refuse }

// Progress brings bytes of a streamed answer, numbered from Offset. Duplicates are dropped by offset.
type Progress struct {
	Attempt id.Attempt
	Offset  int64
	Data    []byte
}

// Finished brings the end of an attempt.
type Finished struct {
	Attempt id.Attempt
	Result  sched.Result
	Status  int
	// Sent is false when it is certain that no byte of the request reached the endpoint.
	Sent         bool
	Body         []byte // whole answer, for answers that are not streamed
	Answer       []byte // JSON of the assistant message, for model calls
	Length       int64  // number of bytes of a streamed answer from its start; 0: not known
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
	FirstToken   time.Duration
	Total        time.Duration
}

// OutcomeReported brings the answer of a service to a question about an attempt.
type OutcomeReported struct {
	Attempt  id.Attempt
	Executed record.Executed
	Status   int
	Body     []byte
}

// CacheReleased tells that an endpoint confirmed a release, or restarted and holds nothing.
type CacheReleased struct {
	Program  id.Program
	Endpoint string
}

// CacheHeld lists the programs whose cache an endpoint holds, for reconciliation.
type CacheHeld struct {
	Endpoint string
	Programs []id.Program
}

// EngineRestarted tells that an endpoint restarted and holds no cache any more.
type EngineRestarted struct{ Endpoint string }

// SetManifest puts a manifest in force. A version that is not above the present one is ignored.
type SetManifest struct {
	Version  uint64
	Manifest *manifest.Manifest // not changed after the event
}

// Draining starts the hand-over of all slots: no new program, calls under way finish.
type Draining struct{}

// Handover asks to hand a slot to another session once its calls are finished.
type Handover struct {
	Slot id.Slot
	To   id.Session
}

// Tick advances time: deadlines, wall-time limits, retries, snapshots that are due.
type Tick struct{ Now time.Time }

func (OpenProgram) event()     {}
func (OpenBranch) event()      {}
func (ModelCall) event()       {}
func (ServiceCall) event()     {}
func (SettleCall) event()      {}
func (JoinCall) event()        {}
func (EndProgram) event()      {}
func (ReadProgram) event()     {}
func (ExplainProgram) event()  {}
func (CallerGone) event()      {}
func (Applied) event()         {}
func (LogState) event()        {}
func (CopiesStored) event()    {}
func (CopiesFetched) event()   {}
func (LeaseChanged) event()    {}
func (Granted) event()         {}
func (Refused) event()         {}
func (Progress) event()        {}
func (Finished) event()        {}
func (OutcomeReported) event() {}
func (CacheReleased) event()   {}
func (CacheHeld) event()       {}
func (Draining) event()        {}
func (EngineRestarted) event() {}
func (SetManifest) event()     {}
func (Handover) event()        {}
func (Tick) event()            {}

// Action is an output of Step.
type Action interface{ action() }

// Append adds records to the next batch of the programs stream. The shell retries until they are
// read back; Applied events follow in log order.
type Append struct{ Records []record.Record }

// PutCopies stores records in the memory of two peers while the log is down; CopiesStored answers Ref.
type PutCopies struct {
	Ref     uint64
	Slot    id.Slot
	Epoch   id.Epoch
	Records []record.Record
}

// DropCopies lets peers forget copies that have been read back from the log: those of this session
// with the given Refs, and those of any session under an epoch below Below.
type DropCopies struct {
	Slot  id.Slot
	Refs  []uint64
	Below id.Epoch
}

// FetchCopies asks all live peers for the copies of a slot; CopiesFetched answers.
type FetchCopies struct {
	Slot  id.Slot
	Epoch id.Epoch
}

// Submit queues an attempt at the pool's dispatcher.
type Submit struct {
	Pool    string
	Request sched.Request
}

// Withdraw gives up an attempt that waits at the dispatcher.
type Withdraw struct {
	Pool    string
	Attempt id.Attempt
}

// ReportDone tells the dispatcher how an attempt ended.
type ReportDone struct {
	Pool string
	Done sched.Done
}

// DispatchModel sends a model call to an endpoint. Progress and Finished answer it.
type DispatchModel struct {
	Attempt   id.Attempt
	Endpoint  string
	Model     string
	CacheTag  string // "<program>/<branch>"
	Messages  []record.Message
	MaxTokens int64
	Params    []byte
	Stream    bool
	MoveFrom  string
	Timeout   time.Duration
	// Resume asks the engine for the stream of this attempt instead, from byte FromByte on.
	Resume   bool
	FromByte int64
}

// DispatchService sends a service call to an endpoint. Finished answers it.
type DispatchService struct {
	Attempt   id.Attempt
	Endpoint  string
	Operation string
	Body      []byte
	Epoch     id.Epoch
	// NotAfter is the end of the lease: a non-idempotent request must not be written after it.
	NotAfter   time.Duration
	Idempotent bool
	Timeout    time.Duration
}

// CancelAttempt stops an attempt at its endpoint.
type CancelAttempt struct {
	Attempt  id.Attempt
	Endpoint string
}

// AskOutcome asks a service for the outcome of an attempt; OutcomeReported answers.
type AskOutcome struct {
	Attempt id.Attempt
	Service string
}

// ReleaseCache asks an endpoint to drop a program's cache; CacheReleased answers.
type ReleaseCache struct {
	Endpoint string
	Program  id.Program
}

// ProgramPaused tells the dispatcher that a branch waits for a tool.
type ProgramPaused struct {
	Pool   string
	Paused sched.ProgramPaused
}

// NotifyEnded tells the dispatchers of model pools that a program needs no cache any more.
type NotifyEnded struct {
	Program id.Program
	Pools   []string
}

// Reply answers a caller request that is not streamed, or refuses one. Exactly one Reply or one
// StreamEnd ends each request.
type Reply struct {
	Req        ReqID
	Status     int
	Body       []byte // JSON; for a problem, the body is built from Problem
	Problem    *Problem
	RetryAfter time.Duration
	Call       id.Call
}

// StreamData sends bytes of the event stream to a caller. The first one starts the stream.
type StreamData struct {
	Req    ReqID
	Offset int64
	Data   []byte
}

// StreamEnd ends a stream. A nil Problem means that the answer is whole and acknowledged.
type StreamEnd struct {
	Req     ReqID
	Problem *Problem
}

// HandoverReady tells the shell that the Handover record of a slot was read back; the slot has no
// call under way.
type HandoverReady struct{ Slot id.Slot }

// Decision is one line of explain and of the log.
type Decision struct {
	At       time.Duration   `json:"at_ns"`
	Call     id.Call         `json:"call"`
	Attempt  id.Attempt      `json:"attempt,omitempty"`
	Endpoint string          `json:"endpoint,omitempty"`
	Epoch    id.Epoch        `json:"epoch"`
	What     string          `json:"what"`
	Reason   sched.Reason    `json:"reason"`
	Used     record.Spend    `json:"used"`
	Executed record.Executed `json:"-"`
	Waited   time.Duration   `json:"waited_ns,omitempty"` // at the dispatcher
}

// Log asks the shell to log a decision.
type Log struct{ Decision Decision }

func (Append) action()          {}
func (PutCopies) action()       {}
func (DropCopies) action()      {}
func (FetchCopies) action()     {}
func (Submit) action()          {}
func (Withdraw) action()        {}
func (ReportDone) action()      {}
func (DispatchModel) action()   {}
func (DispatchService) action() {}
func (CancelAttempt) action()   {}
func (AskOutcome) action()      {}
func (ReleaseCache) action()    {}
func (ProgramPaused) action()   {}
func (Reply) action()           {}
func (StreamData) action()      {}
func (StreamEnd) action()       {}
func (HandoverReady) action()   {}
func (Log) action()             {}
func (NotifyEnded) action()     {}

// Problem is an RFC 9457 problem. Type is a short code such as "budget_exhausted".
type Problem struct {
	Type     string
	Status   int
	Detail   string
	Place    string // path in the request, for bad input
	Executed record.Executed
}
