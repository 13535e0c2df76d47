package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// problemDocument is the JSON form of a problem. Error is an extension member, as RFC 9457 allows: it
// repeats the problem in the form that common client libraries for chat completions read.
type problemDocument struct {
	Type     string      `json:"type"`
	Title    string      `json:"title"`
	Status   int         `json:"status"`
	Detail   string      `json:"detail,omitempty"`
	Executed string      `json:"executed"`
	Place    string      `json:"place,omitempty"`
	Error    clientError `json:"error"`
}

type clientError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// refusal returns the problem of a request that is rejected before anything was executed.
func refusal(status int, code, detail, place string) program.Problem {
	return program.Problem{Type: code, Status: status, Detail: detail, Place: place, Executed: record.ExecutedNo}
}

func newProblemDocument(p program.Problem) problemDocument {
	d := problemDocument{
		Type:     "urn:ragwortstile:problem:" + p.Type,
		Title:    http.StatusText(p.Status),
		Status:   p.Status,
		Detail:   p.Detail,
		Executed: p.Executed.String(),
		Place:    p.Place,
		Error:    clientError{Message: p.Detail, Type: clientErrorType(p.Status), Code: p.Type},
	}
	if d.Error.Message == "" {
		d.Error.Message = d.Title
	}
	if p.Place != "" {
		d.Error.Param = &p.Place
	}
	return d
}

// clientErrorType maps an HTTP status to the error types that chat completion clients know.
func clientErrorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= 500:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// writeProblem writes a problem as the whole answer. A retryAfter above 0 becomes the Retry-After
// header, rounded up to whole seconds.
func writeProblem(w http.ResponseWriter, p program.Problem, retryAfter time.Duration) {
	if p.Status < 400 || p.Status > 599 {
		p.Status = http.StatusInternalServerError
	}
	body, err := json.Marshal(newProblemDocument(p))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	// Client libraries retry requests on some statuses by themselves. A call that may have been
	// executed may only be repeated under its idempotency key, and the library may not send the key.
	if p.Executed != record.ExecutedNo {
		w.Header().Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// problemEvent returns the problem as the last event of an event stream that has already started.
func problemEvent(p program.Problem) []byte {
	body, err := json.Marshal(newProblemDocument(p))
	if err != nil {
		body = []byte(`{"error":{"message":"encoding of the problem failed"}}`)
	}
	out := append([]byte("data: "), body...)
	return append(out, "\n\n"...)
}
