// Package endpoint sends HTTP requests to engines and services so that each request is written at
// most once, is checked immediately before it is written, and tells for certain when it was not.
package endpoint

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errEnded refuses a write after Send has reported that the request was not sent.
var errEnded = errors.New("request was given up before it was written")

// ErrSecondWrite means that the transport tried to write a request on a second connection after
// bytes had gone out on the first.
var ErrSecondWrite = errors.New("request was already written on another connection")

// NotAllowedError means that the check before the write failed: no byte was written.
type NotAllowedError struct{ Reason error }

// Error implements error.
func (e *NotAllowedError) Error() string { return "request not written: " + e.Reason.Error() }

// Unwrap returns the reason.
func (e *NotAllowedError) Unwrap() error { return e.Reason }

// attempt is the write permission of one request. net/http may take a second connection for a
// request when the first, reused one fails. That is allowed only while no byte has been written,
// and the check runs again.
type attempt struct {
	check func() error
	// safe allows a second write: the request is a GET, which changes nothing, and a reused
	// connection that the endpoint was closing must not fail it.
	safe bool

	mu      sync.Mutex
	writer  *conn // connection that the request is written on
	writing bool  // a write is under way
	written int64
	denied  error
}

// begin asks for permission to write on a connection.
func (a *attempt) begin(c *conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.denied != nil {
		return a.denied
	}
	if a.writer == c && a.written > 0 {
		a.writing = true
		return nil
	}
	if (a.written > 0 || a.writing) && !a.safe {
		return ErrSecondWrite
	}
	if a.check != nil {
		if err := a.check(); err != nil {
			a.denied = &NotAllowedError{Reason: err}
			return a.denied
		}
	}
	a.writer = c
	a.writing = true
	return nil
}

func (a *attempt) wrote(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	a.written += int64(n)
}

// end closes the attempt. It reports whether a byte of the request may have left the process; if
// not, no later write is allowed. http.Client.Do can return while its write is still to come.
func (a *attempt) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.written > 0 || a.writing {
		return true
	}
	if a.denied == nil {
		a.denied = errEnded
	}
	return false
}

// denial returns the error of the check, which net/http may have replaced by its own.
func (a *attempt) denial() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var denied *NotAllowedError
	if errors.As(a.denied, &denied) {
		return denied
	}
	return nil
}

// conn passes writes only with the permission of the attempt that uses it.
type conn struct {
	net.Conn
	attempt atomic.Pointer[attempt]
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil {
		return c.Conn.Write(b) // TLS handshake
	}
	if err := a.begin(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	a.wrote(n)
	return n, err
}

// unwrap returns the conn below a connection that net/http uses, or nil.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
