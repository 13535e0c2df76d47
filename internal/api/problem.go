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

// document is the JSON form of a problem. Error repeats it in the form that common client libraries
// of chat completions read; RFC 9457 allows such extension members.
type document struct {
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

// refuse returns a problem of a request that was refused before anything was run.
func refuse(status int, code, detail, place string) program.Problem {
	return program.Problem{Type: code, Status: status, Detail: detail, Place: place, Executed: record.ExecutedNo}
}

func problemDocument(p program.Problem) document {
	d := document{
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

// clientErrorType maps a status to the error types that chat completion clients know.
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

// writeProblem writes a problem as the whole answer. retryAfter is rounded up to whole seconds.
func writeProblem(w http.ResponseWriter, p program.Problem, retryAfter time.Duration) {
	if p.Status < 400 || p.Status > 599 {
		p.Status = http.StatusInternalServerError
	}
	body, err := json.Marshal(problemDocument(p))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	// Client libraries repeat some refusals on their own. A call whose outcome is unknown may only
	// be repeated under its key, which the library may not have sent.
	if p.Executed != record.ExecutedNo {
		w.Header().Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// problemEvent returns a problem as the last event of a stream that has already started.
func problemEvent(p program.Problem) []byte {
	body, err := json.Marshal(problemDocument(p))
	if err != nil {
		body = []byte(`{"error":{"message":"encoding of the problem failed"}}`)
	}
	out := append([]byte("data: "), body...)
	return append(out, "\n\n"...)
}
