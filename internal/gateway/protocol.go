package gateway

import (
	"net/http"
	"time"

	"ragwortstile/internal/discovery"
	"ragwortstile/internal/ledger"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/store"
)

// Meta is what the headers of a request say.
type Meta struct {
	ID           string // of the caller's attempt
	Program      string // empty outside programs
	Line         string // sequence of turns within the program
	Previous     string // turn that is continued
	BadPrevious  bool   // a turn is named that cannot exist
	HasBudget    bool
	Budget       int64 // tokens that the program may generate
	TokensIn     int64
	MaxTokensOut int64
	LikelyOut    int64         // the caller's estimate; 0 without
	Wait         time.Duration // how long the caller waits; 0 when not said
	Finish       time.Duration // how long until the program should be done; 0 when not said
	Affinity     string        // object that the request concerns
	Parts        []Part        // of the prompt, in order
}

// Part is a part of a prompt that requests share.
type Part struct {
	ID     string
	Tokens int64
}

// Reply is what the headers of an endpoint's answer say.
type Reply struct {
	ID     string
	NotRun bool // the endpoint has not run the request and will not
	Signed bool // the answer is an endpoint's
}

// Protocol decodes and encodes the headers of requests and answers.
type Protocol interface {
	Decode(h http.Header) Meta
	// Encode returns the headers for an endpoint, which is named so that another one at its address
	// refuses the request.
	Encode(h http.Header, endpoint string, left time.Duration) http.Header
	DecodeReply(status int, h http.Header) Reply
	// EncodeReply copies the headers of an answer for the caller.
	EncodeReply(dst, src http.Header)
	// EncodeRefusal sets the headers of an answer of this instance's own.
	EncodeRefusal(h http.Header, id string, retryAfter time.Duration)
}

// Store is the store with the lists that operators and endpoints write.
type Store interface {
	ledger.Store
	store.CompactedTopics
}

// Lists names what operators and endpoints write into the store.
type Lists struct {
	ConfigTopic    string
	ConfigKey      string
	EndpointTopic  string
	DecodeConfig   func(data []byte) (routing.Config, error)
	DecodeEndpoint func(id string, data []byte) (discovery.Endpoint, error)
}
