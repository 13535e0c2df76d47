// Package logservice holds the clients for the services of the platform: the append-only log, the
// list of instances and endpoints, and the weight store.
package logservice

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the clients. They are matched with errors.Is.
var (
	// ErrOutage means that the service answered 503 or could not be dialled: nothing took effect.
	ErrOutage = errors.New("service is down")
	// ErrUnknownResult means that the request was sent and no usable answer came back. An append
	// may have taken effect.
	ErrUnknownResult = errors.New("answer lost, result unknown")
	// ErrMalformed means that an answer does not follow the protocol.
	ErrMalformed = errors.New("malformed answer")
	// ErrTooLarge means that a request or an answer is above its bound.
	ErrTooLarge = errors.New("too large")
	// ErrBufferFull means that the appender holds its maximum of unwritten bytes.
	ErrBufferFull = errors.New("append buffer is full")
	// ErrNotFound means that the service does not know the name asked for.
	ErrNotFound = errors.New("not found")
)

// RateLimitedError is a 429: nothing took effect. RetryAfter is zero when the service gave none.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited, retry after %s", e.RetryAfter)
}

// ExpiredError is a 410: the offset asked for was removed by the retention.
type ExpiredError struct {
	Earliest uint64 // first offset that is still there
	Next     uint64 // offset of the next append
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("offset expired, earliest is %d", e.Earliest)
}

// StatusError is an answer with a status that the protocol does not provide for.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected status %d", e.Status)
}
