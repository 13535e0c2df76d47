// Package logservice holds the HTTP clients for the services of the platform: the append-only log, the
// list of instances and endpoints, and the weight store.
//
// LogClient makes single requests to the log. An Appender on top of it writes the records of one
// session by group commit, and a Tailer reads a stream from its earliest offset on and follows its
// tail. ListClient polls the list, WeightClient fetches from the weight store.
package logservice

import (
	"errors"
	"fmt"
	"time"
)

// Errors of the clients, to be matched with errors.Is.
var (
	// ErrOutage means that the service responded with 503 or no connection could be opened: the request had no effect.
	ErrOutage = errors.New("service is unavailable")
	// ErrUnknownResult means that the request was sent, but no usable response was received. An
	// append may have taken effect.
	ErrUnknownResult = errors.New("no usable response, result unknown")
	// ErrMalformed means that a response does not follow the protocol.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLarge means that a request or a response exceeds its size limit.
	ErrTooLarge = errors.New("size limit exceeded")
	// ErrBufferFull means that the unwritten records of an Appender would exceed MaxBuffered.
	ErrBufferFull = errors.New("append buffer is full")
	// ErrNotFound means that the service has nothing under the requested name.
	ErrNotFound = errors.New("not found")
)

// RateLimitedError reports status 429: the request had no effect. RetryAfter is zero when the service
// sent no delay.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limited, retry after %s", e.RetryAfter)
}

// ExpiredError reports status 410: the record at the requested offset was removed by the retention of
// the log.
type ExpiredError struct {
	Earliest uint64 // first offset that the stream still holds
	Next     uint64 // offset of the next append
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("offset expired, earliest offset is %d", e.Earliest)
}

// StatusError reports a response with a status that the protocol does not define.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected HTTP status %d", e.Status)
}
