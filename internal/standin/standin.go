// Package standin contains the code that the stand-ins, simulated servers in place of the platform, the
// engines and the services, share: Scale speeds up their simulated time, Server serves them over HTTP, and
// functions write responses and simulate connection faults. The stand-ins are in the packages below this
// one. They are for tests, the demo and the standin command; none of them is used in production.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Scale is the factor by which a stand-in runs faster than real time: at 10, a second of simulated time takes
// 100 ms. Values of 0 or below mean 1.
type Scale float64

// Real converts a duration of simulated time to real time.
func (s Scale) Real(d time.Duration) time.Duration {
	if s <= 0 {
		return d
	}
	return time.Duration(float64(d) / float64(s))
}

// Sleep waits for a duration of simulated time or until ctx ends. It reports whether the whole time passed.
func (s Scale) Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(s.Real(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WriteJSON sends a response with the given status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have disconnected
}

// WriteError sends a response with the given status and the body {"error":{"message":...}}, the format of
// the engines.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	type body struct {
		Message string `json:"message"`
	}
	WriteJSON(w, status, map[string]body{"error": {Message: fmt.Sprintf(format, args...)}})
}

// SetRetryAfter sets the Retry-After header to d in seconds, with three decimals.
func SetRetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", d.Seconds()))
}

// BreakConnection closes the connection of the current request without a response, or in the middle of one.
// It panics with http.ErrAbortHandler and does not return.
func BreakConnection() {
	panic(http.ErrAbortHandler)
}

// Hang blocks until the client cancels the request or disconnects.
func Hang(r *http.Request) {
	<-r.Context().Done()
}
