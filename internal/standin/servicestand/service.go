// Package servicestand is a stand-in for a service whose operations are not idempotent, for tests and the demo. Service
// is an HTTP handler that counts the executions of each request and effect. It does not deduplicate requests, so
// that tests can detect a repeated execution. Its methods return the counts and inject faults.
package servicestand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/service"
	"ragwortstile/internal/standin"
)

const maxRequestBytes = 1 << 20 // maximum size of the body of a call

// Settings of a Service. They do not change while it runs.
type Settings struct {
	Scale        standin.Scale
	Latency      time.Duration // simulated time of an operation before it takes effect
	ChecksFence  bool          // refuses a call whose X-Fence is below the highest one seen for the slot
	ChecksExpiry bool          // refuses a call that arrives at or after the time in X-Expires
	CanBeAsked   bool          // responds to GET /requests/{id}, which queries the outcome of a request
	// RefusesAfterQuery makes the service refuse a request that arrives after an outcome query for its ID.
	// Only then can the response to a query for a request that has not arrived be that it is not executed
	// ("no"). Otherwise the response is status 404.
	RefusesAfterQuery bool
}

// Service is the HTTP handler of the service. Its methods are safe for concurrent use.
type Service struct {
	settings Settings
	mux      *http.ServeMux

	mu       sync.Mutex
	requests map[string]*outcome // by request ID
	effects  map[string]int      // number of executions by effect
	fences   map[string]uint64   // highest fencing token seen, by slot
	faults   faults
	refused  int // returned by Refused
}

// outcome is what the service did with the requests of one ID.
type outcome struct {
	executed int    // number of executions
	refused  bool   // refused or queried before any execution; later requests are refused
	body     []byte // response of the last execution
}

// New returns a Service with the given settings.
func New(s Settings) *Service {
	v := &Service{settings: s, mux: http.NewServeMux(), requests: make(map[string]*outcome),
		effects: make(map[string]int), fences: make(map[string]uint64)}
	v.mux.HandleFunc("POST /{operation}", v.handleCall)
	v.mux.HandleFunc("GET /requests/{id}", v.handleQuery)
	return v
}

// ServeHTTP implements http.Handler.
func (v *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Executions returns the number of executions of the request with the given ID.
func (v *Service) Executions(requestID string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o := v.requests[requestID]; o != nil {
		return o.executed
	}
	return 0
}

// EffectCount returns the number of executions with the given effect. The effect of a request is the field
// "effect" of its body, or "<operation> <body>" if there is no such field.
func (v *Service) EffectCount(effect string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.effects[effect]
}

// DuplicateEffects returns the effects that were executed more than once, in no particular order.
func (v *Service) DuplicateEffects() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []string
	for effect, n := range v.effects {
		if n > 1 {
			all = append(all, effect)
		}
	}
	return all
}

// Refused returns the number of requests that were refused because of their fencing token or expiry, or
// because a request of the same ID was refused or queried before.
func (v *Service) Refused() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.refused
}

func (v *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "body is too large")
		return
	}
	f := v.takeFaults()
	if f.hang > 0 {
		standin.Hang(r)
		return
	}
	if f.drop > 0 {
		standin.BreakConnection()
	}
	if f.refuse > 0 {
		refuse(w, f.refuseStatus, "refused by a fault")
		return
	}
	requestID := r.Header.Get(endpoint.RequestIDHeader)
	if reason := v.register(requestID, r.Header); reason != "" {
		refuse(w, http.StatusPreconditionFailed, reason)
		return
	}
	if !v.settings.Scale.Sleep(r.Context(), v.settings.Latency) {
		return
	}
	answer := v.execute(requestID, r.PathValue("operation"), body)
	if f.hangAfter > 0 {
		standin.Hang(r)
		return
	}
	if f.loseAnswer > 0 {
		standin.BreakConnection()
	}
	if f.failAfter > 0 {
		standin.WriteError(w, http.StatusInternalServerError, "failed after the execution")
		return
	}
	w.Header().Set(endpoint.RequestIDHeader, requestID)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// refuse sends an error response with the header X-Executed: no, which says that nothing was executed.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(endpoint.ExecutedHeader, "no")
	standin.WriteError(w, status, "%s", reason)
}

// register records the arrival of a request. It returns the reason if the request is refused, or an empty
// string.
func (v *Service) register(requestID string, h http.Header) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.requests[requestID]
	if o == nil {
		o = &outcome{}
		v.requests[requestID] = o
	}
	reason := v.refusalReason(o, requestID, h)
	if reason != "" {
		v.refused++
		o.refused = o.executed == 0
	}
	return reason
}

// refusalReason returns the reason to refuse a request, or an empty string if it can be executed. The caller
// holds the lock.
func (v *Service) refusalReason(o *outcome, requestID string, h http.Header) string {
	if o.refused {
		return "request was refused before"
	}
	if expires, err := strconv.ParseInt(h.Get("X-Expires"), 10, 64); err == nil && v.settings.ChecksExpiry {
		if time.Now().UnixMilli() >= expires {
			return "request has expired"
		}
	}
	fence, err := strconv.ParseUint(h.Get("X-Fence"), 10, 64)
	if err != nil || !v.settings.ChecksFence {
		return ""
	}
	slot, _, _ := strings.Cut(requestID, "-")
	if fence < v.fences[slot] {
		return "fencing number is old"
	}
	v.fences[slot] = fence
	return ""
}

// execute counts an execution and returns the body of the response, which depends only on the request and on
// how often its effect has been executed.
func (v *Service) execute(requestID, operation string, body []byte) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	effect := effectOf(operation, body)
	v.effects[effect]++
	o := v.requests[requestID]
	o.executed++
	answer, err := json.Marshal(struct {
		Operation string `json:"operation"`
		Effect    string `json:"effect"`
		Execution int    `json:"execution"`
	}{operation, effect, v.effects[effect]})
	if err != nil {
		answer = fmt.Appendf(nil, "{\"error\":%q}", err)
	}
	o.body = answer
	return answer
}

// effectOf returns the effect of a request, see EffectCount.
func effectOf(operation string, body []byte) string {
	var in struct {
		Effect string `json:"effect"`
	}
	if err := json.Unmarshal(body, &in); err == nil && in.Effect != "" {
		return in.Effect
	}
	return operation + " " + string(body)
}

// handleQuery responds to a query for the outcome of a request.
func (v *Service) handleQuery(w http.ResponseWriter, r *http.Request) {
	if !v.settings.CanBeAsked {
		standin.WriteError(w, http.StatusNotFound, "outcomes cannot be asked for")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	requestID := r.PathValue("id")
	o := v.requests[requestID]
	if o == nil && v.settings.RefusesAfterQuery {
		o = &outcome{refused: true}
		v.requests[requestID] = o
	}
	switch {
	case o == nil:
		standin.WriteError(w, http.StatusNotFound, "unknown request")
	case o.executed > 0:
		standin.WriteJSON(w, http.StatusOK, service.OutcomeResponse{Executed: "yes", Status: http.StatusOK, Body: o.body})
	case o.refused:
		standin.WriteJSON(w, http.StatusOK, service.OutcomeResponse{Executed: "no"})
	default:
		standin.WriteJSON(w, http.StatusOK, service.OutcomeResponse{Executed: "unknown"})
	}
}
