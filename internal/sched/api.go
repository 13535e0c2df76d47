// Package sched decides which waiting call of a pool runs next and at which endpoint.
//
// A Scheduler is a deterministic state machine without I/O. Its dispatcher passes each Event (a submitted
// call, a result, a load report, a configuration) with the current time to Step, which returns the
// Actions that follow: Grant and Refuse answer the owner of a call, Release frees cache at an endpoint.
// The scheduler reads no clock, starts no goroutine and draws no random number. Time is a time.Duration
// since an arbitrary start that the caller chooses, and never decreases.
package sched

import (
	"time"

	"ragwortstile/internal/id"
)

// Request describes a call that waits for an endpoint.
type Request struct {
	ID              id.Attempt    `msgpack:"id"`
	Owner           id.Session    `msgpack:"ow"`
	Program         id.Program    `msgpack:"p"`
	Branch          string        `msgpack:"b"`
	Team            string        `msgpack:"t"`
	Duty            string        `msgpack:"d"`
	Zone            string        `msgpack:"z"`  // availability zone of the owner
	PromptTokens    int64         `msgpack:"pt"` // length of the whole prompt
	SharedTokens    int64         `msgpack:"sh"` // part of the prompt that the branch's last call left in a cache
	MaxTokens       int64         `msgpack:"mt"` // limit on the output
	LastEndpoint    string        `msgpack:"le"` // endpoint of the branch's last call; empty: none
	Attained        time.Duration `msgpack:"at"` // service time that the program has received so far
	Calls           int64         `msgpack:"nc"` // finished calls of the program; 0: the program is new
	WaitingBranches int           `msgpack:"pw"` // branches of the program that wait for this one to finish
	ProgramAge      time.Duration `msgpack:"ag"` // time since the program was opened
	Deadline        time.Duration `msgpack:"dl"` // time left until the program's deadline; 0: none
	CallTimeLimit   time.Duration `msgpack:"cl"` // time left until the caller gives up; 0: none
	Idempotent      bool          `msgpack:"ip"`
	Retry           int           `msgpack:"rt"` // number of earlier attempts of the call
	Avoid           []string      `msgpack:"av"` // endpoints that failed earlier attempts
}

// Endpoint is an endpoint of the pool as described by the manifest and the platform's endpoint list.
type Endpoint struct {
	Name        string
	Zone        string
	MaxInFlight int   // limit on concurrent calls
	CacheTokens int64 // size of the prefix cache; 0: unknown
	CanExport   bool  // its cache can be moved to and from other endpoints
	Leaving     bool  // it gets no new calls
}

// Duty is a duty with the share of the pool's work that it is owed.
type Duty struct {
	Name  string
	Share float64 // 0 to 1
}

// Config is the part of the manifest that the scheduler of one pool needs.
type Config struct {
	Pool          string
	Model         bool    // model engines with a prefix cache; otherwise service servers
	QueueLimit    int     // limit on waiting calls; 0: none
	WeightLatency float64 // weight of predicted time in the cost of an endpoint
	WeightCache   float64 // weight of wasted prefix tokens in the cost of an endpoint
	Duties        []Duty
	Endpoints     []Endpoint
	Options       Options // the zero value is the full policy
}

// Event is an input of Step: one of the types below with an event method.
type Event interface{ event() }

// Configure replaces the configuration. Running calls keep their grants.
type Configure struct{ Config Config }

// Submit queues a call. A repeated ID is ignored.
type Submit struct{ Request Request }

// Withdraw removes a waiting call. A running call stays counted until its owner reports Done.
type Withdraw struct{ ID id.Attempt }

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	ResultOK       Result = iota + 1
	ResultRejected        // the endpoint refused the call before running any of it
	ResultFailed          // connection error, 5xx or broken stream
	ResultTimeout
	ResultCanceled // canceled by the owner
)

// Done reports the end of a granted call as observed by its owner.
type Done struct {
	ID           id.Attempt    `msgpack:"id"`
	Endpoint     string        `msgpack:"e"`
	Result       Result        `msgpack:"r"`
	PromptTokens int64         `msgpack:"pt"`
	CachedTokens int64         `msgpack:"ct"` // prompt tokens found in the cache
	OutputTokens int64         `msgpack:"ot"`
	FirstToken   time.Duration `msgpack:"ft"` // from dispatch to first token
	Total        time.Duration `msgpack:"to"` // from dispatch to the end
}

// Running restores a granted call that an owner reports to a new scheduler, so that the call counts
// against the endpoint's limit.
type Running struct {
	Request  Request
	Endpoint string
}

// OwnerLost drops the waiting and running calls of an owner whose session is dead.
type OwnerLost struct{ Session id.Session }

// LoadReport is what an endpoint reported about itself; Age is the delay of the report.
type LoadReport struct {
	Endpoint   string
	Age        time.Duration
	Running    int
	Waiting    int
	CacheUsed  int64  // tokens
	Generation uint64 // changes when the engine restarts
}

// CacheEventKind distinguishes stored from evicted prefixes.
type CacheEventKind uint8

// Kinds of cache events.
const (
	CacheStored CacheEventKind = iota + 1
	CacheEvicted
)

// CacheEvent is an engine's report of a change in its cache. Events arrive late and can be lost.
type CacheEvent struct {
	Endpoint string
	Kind     CacheEventKind
	Program  id.Program
	Branch   string
	Tokens   int64
}

// ProgramPaused reports that a branch of a program waits for a tool; Expected is the expected length of the pause.
type ProgramPaused struct {
	Program  id.Program
	Branch   string
	Expected time.Duration
}

// ProgramEnded reports that a program has ended, so that its cached prefixes can be released.
type ProgramEnded struct{ Program id.Program }

// BranchEnded reports that a sub-agent has finished, so that the cached prefixes of its branch can be released.
type BranchEnded struct {
	Program id.Program
	Branch  string
}

// EndpointLeaving stops new grants to an endpoint before the platform's endpoint list shows it as leaving.
type EndpointLeaving struct{ Endpoint string }

// Tick advances time so that waiting calls can be granted, refused or expired.
type Tick struct{}

func (Configure) event()       {}
func (Submit) event()          {}
func (Withdraw) event()        {}
func (Done) event()            {}
func (Running) event()         {}
func (OwnerLost) event()       {}
func (LoadReport) event()      {}
func (CacheEvent) event()      {}
func (ProgramPaused) event()   {}
func (ProgramEnded) event()    {}
func (BranchEnded) event()     {}
func (EndpointLeaving) event() {}
func (Tick) event()            {}

// Action is an output of Step.
type Action interface{ action() }

// Reason is why a decision was taken. It appears in the log and in the output of explain.
type Reason string

// Grant lets the owner dispatch a call to an endpoint. The owner reports Done afterwards.
type Grant struct {
	Request  Request
	Endpoint string
	Reason   Reason
	MoveFrom string        // if not empty, the prefix is first exported there and imported at Endpoint
	Waited   time.Duration // from submission to the grant
}

// Refuse tells the owner that a submitted call was not granted and will not be. No part of it has run.
type Refuse struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Release asks an endpoint to drop the cached prefix of a branch, or of a whole program if Branch is empty.
type Release struct {
	Endpoint string
	Program  id.Program
	Branch   string
	Reason   Reason
}

func (Grant) action()   {}
func (Refuse) action()  {}
func (Release) action() {}
