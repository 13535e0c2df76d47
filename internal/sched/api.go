// Package sched decides which waiting call of a pool runs next and at which endpoint.
//
// A Scheduler is a deterministic state machine without I/O: Step takes an event with its time and
// returns typed actions. It reads no clock, starts no goroutine and draws no random number. Time is
// a time.Duration since an arbitrary epoch of the caller's choice and never decreases.
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
	PromptTokens    int64         `msgpack:"pt"` // whole prompt
	SharedTokens    int64         `msgpack:"sh"` // part of the prompt that the branch's last call left in a cache
	MaxTokens       int64         `msgpack:"mt"` // upper bound of the answer
	LastEndpoint    string        `msgpack:"le"` // endpoint of the branch's last call; empty: none
	Attained        time.Duration `msgpack:"at"` // service time the program has received
	Calls           int64         `msgpack:"nc"` // finished calls of the program; 0: the program is new
	WaitingBranches int           `msgpack:"pw"` // branches that wait for this one to finish
	ProgramAge      time.Duration `msgpack:"ag"` // since the program was opened
	Deadline        time.Duration `msgpack:"dl"` // time left until the program's deadline; 0: none
	CallTimeLimit   time.Duration `msgpack:"cl"` // time left until the caller gives up; 0: none
	Idempotent      bool          `msgpack:"ip"`
	Retry           int           `msgpack:"rt"` // number of earlier attempts of the call
	Avoid           []string      `msgpack:"av"` // endpoints that failed earlier attempts
}

// Endpoint is an endpoint of the pool as the manifest and the platform's list describe it.
type Endpoint struct {
	Name        string
	Zone        string
	MaxInFlight int
	CacheTokens int64
	CanExport   bool
	Leaving     bool // it gets no new calls
}

// Duty is the owed share of a duty in the pool.
type Duty struct {
	Name  string
	Share float64 // 0 to 1
}

// Config is the part of the manifest that the scheduler of one pool needs.
type Config struct {
	Pool          string
	Model         bool // model engines with a prefix cache; otherwise a plain service
	QueueLimit    int
	WeightLatency float64
	WeightCache   float64
	Duties        []Duty
	Endpoints     []Endpoint
	Options       Options // the zero value is the full policy
}

// Event is an input of Step. The concrete types are listed below.
type Event interface{ event() }

// Configure replaces the configuration. Running calls keep their grants.
type Configure struct{ Config Config }

// Submit queues a call. A repeated ID is ignored.
type Submit struct{ Request Request }

// Withdraw removes a waiting call, or marks a running one as given up by its owner.
type Withdraw struct{ ID id.Attempt }

// Result tells how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	ResultOK       Result = iota + 1
	ResultRejected        // the endpoint refused before it ran anything
	ResultFailed          // connection error, 5xx or broken stream
	ResultTimeout
	ResultCanceled // by the owner
)

// Done reports the end of a granted call as its owner saw it.
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

// Running restores a granted call that an owner reports to a new scheduler, so that it counts
// against the endpoint's limit.
type Running struct {
	Request  Request
	Endpoint string
}

// OwnerLost drops the waiting and running calls of a dead session.
type OwnerLost struct{ Session id.Session }

// LoadReport is what an endpoint said about itself; Age is the delay of the report.
type LoadReport struct {
	Endpoint   string
	Age        time.Duration
	Running    int
	Waiting    int
	CacheUsed  int64
	Generation uint64 // changes when the engine restarts
}

// CacheEventKind tells stored from evicted prefixes.
type CacheEventKind uint8

// Kinds of cache events.
const (
	CacheStored CacheEventKind = iota + 1
	CacheEvicted
)

// CacheEvent is a late and possibly incomplete report of an engine's cache.
type CacheEvent struct {
	Endpoint string
	Kind     CacheEventKind
	Program  id.Program
	Branch   string
	Tokens   int64
}

// ProgramPaused tells that a program waits for a tool; Expected is the expected pause.
type ProgramPaused struct {
	Program  id.Program
	Branch   string
	Expected time.Duration
}

// ProgramEnded tells that the program needs no cache any more.
type ProgramEnded struct{ Program id.Program }

// BranchEnded tells that a sub-agent has finished and its cache is not needed any more.
type BranchEnded struct {
	Program id.Program
	Branch  string
}

// EndpointLeaving stops new grants to an endpoint, ahead of the platform's list.
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

// Reason is why a decision was taken. It appears in logs and in explain.
type Reason string

// Grant lets the owner dispatch a call to an endpoint. The owner reports Done afterwards.
type Grant struct {
	Request  Request
	Endpoint string
	Reason   Reason
	MoveFrom string // when not empty, the cache is exported there and imported at Endpoint first
	Waited   time.Duration
}

// Refuse tells the owner that a waiting call was not and will not be granted. Nothing was run.
type Refuse struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Release asks for the cache of a branch (or of a program, when Branch is empty) to be dropped at an endpoint.
type Release struct {
	Endpoint string
	Program  id.Program
	Branch   string
	Reason   Reason
}

func (Grant) action()   {}
func (Refuse) action()  {}
func (Release) action() {}
