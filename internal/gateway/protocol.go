package gateway

import (
	"net/http"
	"time"

	"ragwortstile/internal/discovery"
	"ragwortstile/internal/ledger"
	"ragwortstile/internal/ratelimit"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/store"
)

// Meta is the information that the headers of a request carry.
type Meta struct {
	ID                string // of the request; each attempt of the caller has its own
	Program           string // empty if the request belongs to no program
	Session           string // sequence of turns within the program; all its requests go to the same service
	Previous          string // turn that this request continues
	BadPrevious       bool   // the previous turn has a malformed ID, so it cannot exist
	HasBudget         bool
	Budget            int64 // tokens that the program may generate
	TokensIn          int64
	MaxTokensOut      int64
	ExpectedTokensOut int64         // the caller's estimate; 0 if not given
	Timeout           time.Duration // how long the caller waits for the response; 0 if not given
	HasProgramTimeout bool
	ProgramTimeout    time.Duration // time until the program should be finished; 0 if that has passed
	LastEvent         string        // ID of the event after which the caller wants a stream to continue
	Affinity          string        // key of the object that the request concerns
	PromptParts       []PromptPart  // shared parts of the prompt, in order
	APIKey            string        // of the caller's team; must get into no log, error or metric
}

// PromptPart is a part of a prompt that several requests have in common.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Attempt is what the headers of a request to an endpoint state about the attempt.
type Attempt struct {
	Endpoint  string        // ID, so that another endpoint that has taken over the address rejects the request
	Remaining time.Duration // time left until the deadline
	LastEvent string        // ID of the event after which a stream continues; empty for a whole stream
	HasTeams  bool          // the configuration has teams: what the caller sent of its team is not forwarded
	Team      string        // name of the caller's team; empty for none
}

// Reply is the information that the headers of a response carry.
type Reply struct {
	ID           string // of the request that is answered
	NotExecuted  bool   // the endpoint has not executed the request and will not
	FromEndpoint bool   // an endpoint produced the response
	// StatesLimit reports whether the response says if its endpoint limits its requests, and Limit what it says.
	StatesLimit bool
	Limit       ratelimit.Statement
	Leaving     bool // the endpoint leaves
}

// answers reports whether the response is that to a request. first tells that it is the first one on its connection. Later
// ones must name the request: a refusal without an ID may be a copy of an earlier one, while the endpoint runs this
// request.
func (r Reply) answers(request string, first bool) bool {
	return r.ID == request || (r.ID == "" && r.NotExecuted && first)
}

// Protocol decodes and encodes the platform's headers of requests and responses.
type Protocol interface {
	Decode(h http.Header) Meta
	// Encode returns the headers of the request to an endpoint, from those of the caller's request.
	Encode(h http.Header, a Attempt) http.Header
	DecodeReply(status int, h http.Header) Reply
	// EncodeReply copies the headers of an endpoint's response to the response for the caller.
	EncodeReply(dst, src http.Header)
	// EncodeRefusal sets the headers of a response that this instance generates itself.
	EncodeRefusal(h http.Header, id string, retryAfter time.Duration)
}

// Store is the store: the topics of the ledger, and the compacted topics to which operators write the
// configuration and endpoints write their entries.
type Store interface {
	ledger.Store
	store.CompactedTopics
}

// Topics names the topics of the store that hold the configuration and the endpoint list, and decodes their
// records.
type Topics struct {
	ConfigTopic    string
	ConfigKey      string
	EndpointTopic  string
	DecodeConfig   func(data []byte) (routing.Config, error)
	ShareConfig    func(data []byte) ([]byte, error) // returns a configuration as peers get it, without API keys
	DecodeEndpoint func(id string, data []byte) (discovery.Endpoint, error)
}
