// Package endpoint is the HTTP client for model engines and services. Client.Send writes each request
// other than a GET at most once, runs a check of the caller immediately before the first byte, and
// reports whether any byte may have reached the endpoint. The connections of the transport enforce
// this: conn.Write needs the writePermit of the request that uses the connection.
package endpoint

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errAbandoned rejects a write after Send has reported that the request was not sent.
var errAbandoned = errors.New("request was abandoned before it was written")

// ErrSecondWrite means that the transport tried to write a request on a second connection after
// bytes had gone out on the first.
var ErrSecondWrite = errors.New("request was already written on another connection")

// NotAllowedError means that the check before the write failed. The request was not written.
type NotAllowedError struct{ Reason error }

// Error implements error.
func (e *NotAllowedError) Error() string { return "request not written: " + e.Reason.Error() }

// Unwrap returns the error of the check.
func (e *NotAllowedError) Unwrap() error { return e.Reason }

// writePermit controls on which connection one request may be written. net/http may retry a request
// on a second connection when the first one, which was reused, fails. Unless mayRewrite is set, the
// permit allows that only while no byte has been written. It runs the check again.
type writePermit struct {
	check func() error // runs before the first byte; may be nil
	// mayRewrite allows a retry on another connection after bytes were written. It is set for GET
	// requests: they change nothing, and must not fail because the endpoint was closing a reused
	// connection.
	mayRewrite bool

	mu      sync.Mutex
	writer  *conn // connection that the request is written on
	writing bool  // a write is in progress
	written int64 // bytes
	denied  error // returned by all further writes
}

// beginWrite returns nil if the request may be written on the connection. endWrite must follow then.
func (p *writePermit) beginWrite(c *conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.denied != nil {
		return p.denied
	}
	if p.writer == c && p.written > 0 {
		p.writing = true
		return nil
	}
	if (p.written > 0 || p.writing) && !p.mayRewrite {
		return ErrSecondWrite
	}
	if p.check != nil {
		if err := p.check(); err != nil {
			p.denied = &NotAllowedError{Reason: err}
			return p.denied
		}
	}
	p.writer = c
	p.writing = true
	return nil
}

func (p *writePermit) endWrite(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = false
	p.written += int64(n)
}

// close reports whether a byte of the request may have left the process. If not, it rejects all later
// writes, because http.Client.Do can return before the transport writes the request.
func (p *writePermit) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.written > 0 || p.writing {
		return true
	}
	if p.denied == nil {
		p.denied = errAbandoned
	}
	return false
}

// checkError returns the error of the check or nil. net/http may return an error of its own instead of
// the one that Write returned.
func (p *writePermit) checkError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var denied *NotAllowedError
	if errors.As(p.denied, &denied) {
		return denied
	}
	return nil
}

// conn is a network connection that writes only with the permit of the request that uses it.
type conn struct {
	net.Conn
	permit atomic.Pointer[writePermit]
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	p := c.permit.Load()
	if p == nil {
		return c.Conn.Write(b) // TLS handshake; no request uses the connection yet
	}
	if err := p.beginWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	p.endWrite(n)
	return n, err
}

// trackedConn returns the conn that underlies a connection of net/http, or nil.
func trackedConn(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
