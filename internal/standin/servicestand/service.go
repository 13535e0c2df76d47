// Package servicestand is a stand-in for a plain service whose operations may not be repeated. It
// counts each execution and removes no duplicates by itself, so that a doubled one shows.
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

const maxRequestBytes = 1 << 20

// Settings of a Service. They do not change while it runs.
type Settings struct {
	Scale        standin.Scale
	Latency      time.Duration // model time of an operation before it takes effect
	ChecksFence  bool          // refuses an X-Fence below the highest one of the slot
	ChecksExpiry bool          // refuses after X-Expires
	CanBeAsked   bool          // answers GET /requests/{id}
	// RefusesAfterQuery makes a question about a request that was never seen refuse it when it comes later,
	// which is what allows to answer "no". Without it the answer is 404.
	RefusesAfterQuery bool
}

// Service is the handler. Its methods are safe for concurrent use.
type Service struct {
	settings Settings
	mux      *http.ServeMux

	mu       sync.Mutex
	requests map[string]*outcome // by request ID
	effects  map[string]int      // executions by effect
	fences   map[string]uint64   // highest fence by slot
	faults   faults
	refused  int
}

// outcome is what became of a request ID.
type outcome struct {
	executed int
	refused  bool // refused, or fenced by a question
	body     []byte
}

// New returns a Service.
func New(s Settings) *Service {
	v := &Service{settings: s, mux: http.NewServeMux(), requests: make(map[string]*outcome),
		effects: make(map[string]int), fences: make(map[string]uint64)}
	v.mux.HandleFunc("POST /{operation}", v.handleCall)
	v.mux.HandleFunc("GET /requests/{id}", v.handleAsk)
	return v
}

// ServeHTTP implements http.Handler.
func (v *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Executions returns how often a request ID was executed.
func (v *Service) Executions(requestID string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o := v.requests[requestID]; o != nil {
		return o.executed
	}
	return 0
}

// EffectCount returns how often an effect was executed. The effect is the field "effect" of the request,
// or "<operation> <body>" without it.
func (v *Service) EffectCount(effect string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.effects[effect]
}

// DuplicateEffects returns the effects that were executed more than once.
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

// Refused returns how many requests were refused because of their fence or expiry, or because a
// question came first.
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
	if reason := v.arrive(requestID, r.Header); reason != "" {
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
	if f.lose > 0 {
		standin.BreakConnection()
	}
	if f.fail > 0 {
		standin.WriteError(w, http.StatusInternalServerError, "failed after the execution")
		return
	}
	w.Header().Set(endpoint.RequestIDHeader, requestID)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// refuse answers that nothing was run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(endpoint.ExecutedHeader, "no")
	standin.WriteError(w, status, "%s", reason)
}

// arrive notes a request, or returns why it is refused.
func (v *Service) arrive(requestID string, h http.Header) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.requests[requestID]
	if o == nil {
		o = &outcome{}
		v.requests[requestID] = o
	}
	reason := v.check(o, requestID, h)
	if reason != "" {
		v.refused++
		o.refused = o.executed == 0
	}
	return reason
}

func (v *Service) check(o *outcome, requestID string, h http.Header) string {
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

// execute takes effect and returns the answer, a function of the request and of the execution count.
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

func effectOf(operation string, body []byte) string {
	var in struct {
		Effect string `json:"effect"`
	}
	if err := json.Unmarshal(body, &in); err == nil && in.Effect != "" {
		return in.Effect
	}
	return operation + " " + string(body)
}

func (v *Service) handleAsk(w http.ResponseWriter, r *http.Request) {
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
