// Package api serves the HTTP API for callers. A Frontend authenticates teams and the operator,
// validates requests, converts them to the request types of package program and submits them to a
// Backend. The Backend sends the answer to a Sink, and the Frontend writes it to the caller as JSON,
// an event stream or a problem document (RFC 9457).
//
// The Frontend stores no program state. The owner of the program's slot keeps what is needed to
// answer a repeated request, so any instance can serve any request.
package api

import (
	"io"
	"net/http"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
)

// Limits of caller requests.
const (
	// MaxBodyBytes limits a request body. A history of 640,000 tokens takes about 3 MB, and a body
	// must fit into the 16 MiB frame in which it is forwarded to another instance.
	MaxBodyBytes = 8 << 20
	// MaxIdempotencyKeyBytes limits an idempotency key. The owner stores the key of each call of a
	// program.
	MaxIdempotencyKeyBytes = 200
	// MaxNameBytes limits a program ID and the name of a branch, model, service or operation.
	MaxNameBytes = 100
)

// ImplicitWallTime is the wall time limit of a program that was opened implicitly for a single call.
// It ends the program if the instance that opened it fails before it can end the program itself.
const ImplicitWallTime = 15 * time.Minute

// Backend is the part of an instance that the Frontend uses. All methods may be called concurrently.
type Backend interface {
	// Submit routes a request to the owner of its program, on this or another instance. The backend
	// sets the Req field. The answer is sent to sink and ends with exactly one Reply or StreamEnd.
	// callerGone reports that the caller has disconnected; the call itself continues.
	Submit(ev program.Request, sink Sink) (callerGone func())
	// LocalSlot returns a slot that this instance owns, or false if it owns none.
	LocalSlot() (id.Slot, bool)
	// Manifest returns the manifest in force, or nil.
	Manifest() *manifest.Manifest
	// AcceptsPrograms reports whether new programs are accepted. It is false while the instance drains.
	AcceptsPrograms() bool
	// Ready returns nil when the instance can serve callers.
	Ready() error
	// Status returns the state of the deployment as a value that encodes to JSON. It includes the
	// programs of the given team, or of all teams if team is empty.
	Status(team string) any
	// WriteMetrics writes the metrics in Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Sink receives the parts of the answer to one request, in order. Its methods don't block.
type Sink interface {
	Reply(program.Reply)
	StreamData(program.StreamData)
	StreamEnd(program.StreamEnd)
}

// Frontend is the http.Handler of the API, the health checks and the metrics.
type Frontend struct {
	backend        Backend
	operatorDigest string // hex SHA-256 of the operator's bearer key; empty if there is no operator
	keys           keyIndex
	mux            *http.ServeMux
}

// New returns a Frontend. operatorDigest is the hex SHA-256 of the operator's bearer key; if it is
// empty, there is no operator.
func New(b Backend, operatorDigest string) *Frontend {
	f := &Frontend{backend: b, operatorDigest: operatorDigest, mux: http.NewServeMux()}
	f.routes()
	return f
}

func (f *Frontend) routes() {
	f.handleTeam("POST /v1/programs", f.openProgram)
	f.handleTeam("GET /v1/programs/{id}", f.readProgram)
	f.handleTeam("DELETE /v1/programs/{id}", f.endProgram)
	f.handleTeam("POST /v1/programs/{id}/branches", f.openBranch)
	f.handleTeam("POST /v1/programs/{id}/chat/completions", f.programChat)
	f.handleTeam("POST /v1/programs/{id}/branches/{branch}/chat/completions", f.programChat)
	f.handleTeam("POST /v1/chat/completions", f.chat)
	f.handleTeam("POST /v1/programs/{id}/services/{service}/{operation}", f.serviceCall)
	f.handleTeam("POST /v1/programs/{id}/branches/{branch}/services/{service}/{operation}", f.serviceCall)
	f.handleTeam("GET /v1/programs/{id}/calls/{key}", f.joinCall)
	f.handleTeam("POST /v1/programs/{id}/calls/{key}/settle", f.settleCall)
	f.handleTeam("GET /v1/programs/{id}/history", f.history)
	f.handleTeam("GET /v1/models", f.models)
	f.handleTeamOrOperator("GET /v1/programs/{id}/explain", f.explain)
	f.handleTeamOrOperator("GET /v1/status", f.status)
	f.mux.HandleFunc("GET /healthz", f.healthz)
	f.mux.HandleFunc("GET /readyz", f.readyz)
	f.mux.HandleFunc("GET /metrics", f.metrics)
	f.mux.HandleFunc("/", notFound)
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mux.ServeHTTP(w, r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, refusal(http.StatusNotFound, "not_found", "no such path or method: "+r.Method+" "+r.URL.Path, "path"), 0)
}
