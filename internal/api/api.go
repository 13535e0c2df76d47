// Package api is the HTTP front for callers: it authenticates teams, checks requests strictly,
// turns them into events of package program and writes the answers back as JSON, event streams or
// problem documents (RFC 9457).
//
// The front keeps no state of programs. Everything that a repeated request needs is held by the
// owner of the program's slot, so any instance can serve any request.
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
	// MaxBodyBytes bounds a request body. A history of 640,000 tokens takes about 3 MB; the frame
	// between instances holds 16 MiB.
	MaxBodyBytes = 8 << 20
	// MaxIdempotencyKeyBytes bounds an idempotency key, which is kept for each call of a program.
	MaxIdempotencyKeyBytes = 200
	// MaxNameBytes bounds the name of a branch, a model or an operation.
	MaxNameBytes = 100
)

// ImplicitWallTime ends an implicit one-call program whose front died before it could end it.
const ImplicitWallTime = 15 * time.Minute

// Backend is the part of the instance that the front calls. All methods may be called concurrently.
type Backend interface {
	// Submit hands an event to the owner of its program, here or at another instance. The Req field
	// is set by the backend. The answers arrive in the sink; exactly one Reply or StreamEnd ends them.
	// The returned function tells that the caller is gone.
	Submit(ev program.Request, sink Sink) (gone func())
	// LocalSlot returns a slot that this instance holds.
	LocalSlot() (id.Slot, bool)
	// Manifest returns the manifest in force, or nil.
	Manifest() *manifest.Manifest
	// AcceptsPrograms tells whether new programs are accepted; it is false while the instance drains.
	AcceptsPrograms() bool
	// Ready returns nil when the instance can serve callers.
	Ready() error
	// Status returns the state of the deployment as a value that encodes to JSON, with the programs
	// of one team or, for an empty name, of all.
	Status(team string) any
	// WriteMetrics writes the metrics in Prometheus text format.
	WriteMetrics(w io.Writer)
}

// Sink receives the answers to one request, in order. Its methods don't block.
type Sink interface {
	Reply(program.Reply)
	StreamData(program.StreamData)
	StreamEnd(program.StreamEnd)
}

// Frontend serves the HTTP paths of the project.
type Frontend struct {
	backend  Backend
	operator string // hex SHA-256 of the operator's key; empty: no operator
	keys     keyIndex
	mux      *http.ServeMux
}

// New returns a front. operatorDigest is the hex SHA-256 of the operator's bearer key, or empty.
func New(b Backend, operatorDigest string) *Frontend {
	f := &Frontend{backend: b, operator: operatorDigest, mux: http.NewServeMux()}
	f.routes()
	return f
}

func (f *Frontend) routes() {
	f.team("POST /v1/programs", f.openProgram)
	f.team("GET /v1/programs/{id}", f.readProgram)
	f.team("DELETE /v1/programs/{id}", f.endProgram)
	f.team("POST /v1/programs/{id}/branches", f.openBranch)
	f.team("POST /v1/programs/{id}/chat/completions", f.programChat)
	f.team("POST /v1/programs/{id}/branches/{branch}/chat/completions", f.programChat)
	f.team("POST /v1/chat/completions", f.chat)
	f.team("POST /v1/programs/{id}/services/{service}/{operation}", f.serviceCall)
	f.team("POST /v1/programs/{id}/branches/{branch}/services/{service}/{operation}", f.serviceCall)
	f.team("GET /v1/programs/{id}/calls/{key}", f.joinCall)
	f.team("POST /v1/programs/{id}/calls/{key}/settle", f.settleCall)
	f.team("GET /v1/programs/{id}/history", f.history)
	f.team("GET /v1/models", f.models)
	f.teamOrOperator("GET /v1/programs/{id}/explain", f.explain)
	f.teamOrOperator("GET /v1/status", f.status)
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
	writeProblem(w, refuse(http.StatusNotFound, "not_found", "no such path or method: "+r.Method+" "+r.URL.Path, "path"), 0)
}
