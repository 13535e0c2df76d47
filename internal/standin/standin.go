// Package standin holds what the stand-ins for the platform, the engines and the services share.
// They are HTTP handlers for tests and the demo; none of them is used in production.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Scale speeds up the time of a stand-in: at 10, a second of model time takes 100 ms. Values of 0 or
// below mean 1.
type Scale float64

// Real returns the real duration of a duration in model time.
func (s Scale) Real(d time.Duration) time.Duration {
	if s <= 0 {
		return d
	}
	return time.Duration(float64(d) / float64(s))
}

// Sleep waits for a duration in model time or until ctx ends. It reports whether the time passed.
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

// WriteJSON answers with a status and the JSON of v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}

// WriteError answers with a status and {"error":{"message":...}}, the form that engines use.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	type body struct {
		Message string `json:"message"`
	}
	WriteJSON(w, status, map[string]body{"error": {Message: fmt.Sprintf(format, args...)}})
}

// SetRetryAfter sets Retry-After in seconds, with decimals.
func SetRetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", d.Seconds()))
}

// BreakConnection ends the connection without an answer, or in the middle of one.
func BreakConnection() {
	panic(http.ErrAbortHandler)
}

// Hang waits until the client gives up.
func Hang(r *http.Request) {
	<-r.Context().Done()
}
