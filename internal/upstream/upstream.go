// Package upstream is an HTTP/1.1 client for endpoints with a Pool of keep-alive connections.
//
// Unlike net/http it reports exactly whether any part of a request was written. It also matches each response
// to its request, since an endpoint may send a response twice: on a reused connection the duplicate would be
// taken for the next request's response. A connection goes back to the pool only after a complete
// response with no data behind it.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts and sizes of connections.
const (
	dialTimeout = 400 * time.Millisecond
	// slowDial is the time after which a connection that its request gave up on counts as not accepted.
	slowDial = 150 * time.Millisecond
	// unackedTimeout closes a connection on which sent data stays unacknowledged for this long. A sound endpoint may be
	// silent for a second.
	unackedTimeout = 1600 * time.Millisecond
	// keepAliveMargin is subtracted from the keep-alive timeout that an endpoint announces, so that the endpoint
	// does not close a connection while a request is in flight.
	keepAliveMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies to connections whose endpoint announces no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	readBufferBytes    = 4 << 10 // per connection
	// inlineBodyBytes is the size up to which a body is written before the response is read. Larger bodies are
	// written concurrently, since an endpoint may respond before it has read the whole body.
	inlineBodyBytes = 32 << 10
	// maxResponsesRead bounds the responses that are read for one request: its own and those to other requests,
	// which are skipped.
	maxResponsesRead = 4
	// maxInformational bounds the informational (1xx) responses that are skipped for one request.
	maxInformational = 16
	// maxForeignBytes bounds the body of a response to another request.
	maxForeignBytes = 1 << 20
)

// ErrNotSent reports that no part of the request was written, so the endpoint cannot have executed it.
var ErrNotSent = errors.New("request not sent")

// Errors of responses that cannot be used.
var (
	// errForeign reports that a connection carried too many or too large responses to other requests.
	errForeign       = errors.New("responses to other requests on the connection")
	errInformational = errors.New("too many informational responses")
	errHeaderName    = errors.New("space in a header name")
	errStatusLine    = errors.New("status line is not one of HTTP/1.x")
	errNotWanted     = errors.New("the caller has left")
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	URI    string // path and query as received from the caller
	Host   string
	Header http.Header
	Body   []byte
	// Wanted reports whether the request is still to be sent; nil means that it is. Do asks when it has a connection.
	Wanted func() bool
	// OpenOnly makes Do fail with ErrNotSent rather than open a connection.
	OpenOnly bool
	// Matches reports whether a response belongs to the request. first tells that no other response was read from the
	// connection before, so that the response cannot be a copy of an earlier one there.
	Matches func(status int, h http.Header, first bool) bool
}

// Observer learns how connections fare. Its methods must return quickly.
type Observer interface {
	// Connected is called when an endpoint has accepted a connection, NotConnected when it has not, or has acknowledged
	// nothing on an open one for unackedTimeout.
	Connected()
	NotConnected(addr string)
	// Responded is called when the head of a response has arrived.
	Responded()
}

// Response is the response of an endpoint. The user must finish it with a call of Reuse or Discard; further calls have no
// effect.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	relay   *Relay // of a response that did not arrive over a connection of the pool; then the other fields are empty
	conn    *conn
	stop    func() bool
	pool    *Pool
	closing bool // the endpoint closes the connection after the response

	finished bool // by Reuse or Discard
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	addr        string
	in          *headLimiter // what br reads from
	br          *bufio.Reader
	answered    bool       // a response was read from it
	bodyWritten chan error // result of writing the body concurrently; nil if it was written before reading
	idleSince   time.Time  // start of the current idle period
	idleTimeout time.Duration
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the idle connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	dialTo   DialFunc
	observer Observer // nil for none
	mu       sync.Mutex
	idle     map[string][]*conn // by address, the most recently used last
	dials    int64
}

// Observe sets the observer of all connections. It must be called before the Pool is used.
func (p *Pool) Observe(o Observer) { p.observer = o }

// NewPool returns an empty Pool that opens connections with dial, or over TCP if dial is nil.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dialer := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
		dial = dialer.DialContext
	}
	return &Pool{idle: make(map[string][]*conn), dialTo: dial}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Best effort: without the option a dead connection is detected only by the request's deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// HasIdle reports whether there is an idle connection to an address.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

// Reachable reports whether an endpoint accepts connections at an address: an idle connection to it is still open, or a
// new one, which is kept, can be opened.
func (p *Pool) Reachable(ctx context.Context, addr string) bool {
	if c := p.takeIdle(addr); c != nil {
		p.putIdle(c)
		return true
	}
	return p.Probe(ctx, addr)
}

// Probe reports whether an endpoint accepts a new connection at an address, and keeps the connection.
func (p *Pool) Probe(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return false
	}
	c.idleSince = time.Now()
	p.putIdle(c)
	return true
}

// putIdle adds a connection to the idle ones.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// BrokenOff reports whether an attempt failed because its connection was closed or reset, as it is when the endpoint
// ends.
func BrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// CloseUnlisted closes the idle connections to addresses that are not in listed.
func (p *Pool) CloseUnlisted(listed map[string]bool) {
	p.mu.Lock()
	var closing []*conn
	for addr, conns := range p.idle {
		if !listed[addr] {
			closing = append(closing, conns...)
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.abort()
	}
}

// Prune closes the connections whose idle timeout has passed.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	var closing []*conn
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.abort()
	}
}

func (c *conn) abort() { _ = c.Conn.Close() }

// takeIdle removes a usable idle connection to an address from the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(addr string) *conn {
	for {
		p.mu.Lock()
		conns := p.idle[addr]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[addr] = conns[:len(conns)-1]
		p.mu.Unlock()
		if time.Since(c.idleSince) < c.idleTimeout && c.stillOpen() {
			return c
		}
		c.abort()
	}
}

// stillOpen reports whether an idle connection is open and has received nothing; data on it would be an unsolicited
// response, such as a duplicate.
func (c *conn) stillOpen() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	begun := time.Now()
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dialTo(dctx, "tcp", addr)
	switch {
	case p.observer == nil:
	case err == nil:
		p.observer.Connected()
	case ctx.Err() == nil || time.Since(begun) >= slowDial:
		p.observer.NotConnected(addr)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	in := &headLimiter{conn: nc}
	return &conn{Conn: nc, addr: addr, in: in, br: bufio.NewReaderSize(in, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// Do sends a request to an address and returns the response once its head has been read. When ctx is done, the
// connection is closed. An error that wraps ErrNotSent means that nothing was written; after any other error the
// endpoint may have executed the request.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (*Response, error) {
	c := p.takeIdle(addr)
	if c == nil {
		if r.OpenOnly {
			return nil, fmt.Errorf("%w: no open connection", ErrNotSent)
		}
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		c.abort()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.Wanted != nil && !r.Wanted() {
		if c.idleSince.IsZero() { // a new connection
			c.idleSince = time.Now()
		}
		p.putIdle(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errNotWanted)
	}
	stop := context.AfterFunc(ctx, c.abort)
	resp, err := c.exchange(r)
	if err != nil {
		if p.observer != nil && errors.Is(err, syscall.ETIMEDOUT) {
			p.observer.NotConnected(addr)
		}
		stop()
		c.abort()
		return nil, err
	}
	if p.observer != nil {
		p.observer.Responded()
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: c.body(resp), conn: c, stop: stop, pool: p, closing: resp.Close}, nil
}

func (c *conn) exchange(r Request) (*http.Response, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	if err := c.send(head.Bytes(), r.Body); err != nil {
		return nil, err
	}
	return c.readResponse(r)
}

// readResponse returns the response to a request. It skips informational responses and those to other requests.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	foreign, informational := 0, 0
	for foreign < maxResponsesRead && informational <= maxInformational {
		c.in.begin()
		resp, err := http.ReadResponse(c.br, request)
		c.in.end()
		if err != nil {
			return nil, fmt.Errorf("response head: %w", shorten(err))
		}
		if resp.ProtoMajor != 1 || !ValidStatus(resp.StatusCode) && !isInformational(resp.StatusCode) {
			return nil, fmt.Errorf("%w: HTTP/%d.%d, status %d", errStatusLine, resp.ProtoMajor, resp.ProtoMinor, resp.StatusCode)
		}
		if isInformational(resp.StatusCode) {
			informational++
			continue
		}
		if err := checkNames(resp.Header); err != nil {
			return nil, err
		}
		first := !c.answered
		c.answered = true
		if r.Matches(resp.StatusCode, resp.Header, first) {
			return resp, nil
		}
		foreign++
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, fmt.Errorf("%w: until its end", errForeign)
		}
		if err := skipBody(resp.Body); err != nil {
			return nil, err
		}
	}
	if informational > maxInformational {
		return nil, errInformational
	}
	return nil, errForeign
}

// ValidStatus reports whether a final response may have a status. http.ReadResponse accepts any number of three
// characters, such as 000 or +20.
func ValidStatus(status int) bool { return status >= 200 && status <= 599 }

func isInformational(status int) bool { return status >= 100 && status <= 199 }

// checkNames rejects header names that contain a space, which http.ReadResponse accepts but does not apply: with
// "Content-Length : 9" a body would have no length.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.ContainsRune(name, ' ') {
			return fmt.Errorf("response head: %w", errHeaderName)
		}
	}
	return nil
}

// skipBody reads the body of a response to another request, up to maxForeignBytes.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errForeign, shorten(err))
	case n > maxForeignBytes:
		return fmt.Errorf("%w: body over %d bytes", errForeign, maxForeignBytes)
	}
	return nil
}

func (c *conn) send(head, body []byte) error {
	c.bodyWritten = nil
	if len(body) <= inlineBodyBytes {
		n, err := c.Write(append(head, body...))
		return writeError(n, err)
	}
	if n, err := c.Write(head); err != nil {
		return writeError(n, err)
	}
	c.bodyWritten = make(chan error, 1)
	go func() {
		_, err := c.Write(body)
		c.bodyWritten <- err
	}()
	return nil
}

func writeError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("write after %d bytes: %w", n, err)
	}
}

// Relay is how a response arrives that did not arrive over a connection of a Pool.
type Relay struct {
	Body      io.Reader
	Interrupt func() // makes reads of the body end; may be called concurrently with them
	Close     func() // ends the request if it has not ended
}

// NewResponse returns the response that arrives by a relay.
func NewResponse(status int, h http.Header, relay *Relay) *Response {
	return &Response{Status: status, Header: h, Body: relay.Body, relay: relay}
}

// Interrupt closes the connection, so that a read of the body in another goroutine ends. The response must still be
// finished.
func (r *Response) Interrupt() {
	if r.relay != nil {
		r.relay.Interrupt()
		return
	}
	r.conn.abort()
}

// Discard closes the connection, which makes the endpoint cancel the request if it is still running.
func (r *Response) Discard() {
	if r.finished {
		return
	}
	r.finished = true
	if r.relay != nil {
		r.relay.Close()
		return
	}
	r.stop()
	r.conn.abort()
}

// Reuse returns the connection to the pool if it is reusable, and closes it otherwise. The body must have been read
// to its end.
func (r *Response) Reuse() {
	if r.finished {
		return
	}
	r.finished = true
	if r.relay != nil {
		r.relay.Close()
		return
	}
	c := r.conn
	if !r.stop() || r.closing || c.br.Buffered() > 0 || !c.reusable(r.Header) {
		c.abort()
		return
	}
	c.idleSince = time.Now()
	r.pool.putIdle(c)
}

// reusable reports whether another request may be sent on the connection, and applies the keep-alive timeout that
// the endpoint announced. While a body is still being written or after its write failed, the connection is not
// reusable.
func (c *conn) reusable(h http.Header) bool {
	if c.bodyWritten != nil {
		select {
		case err := <-c.bodyWritten:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	if idle, ok := keepAliveTimeout(h.Get("Keep-Alive")); ok {
		c.idleTimeout = idle - keepAliveMargin
	}
	return c.idleTimeout > 0
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, and whether it is present and valid.
func keepAliveTimeout(keepAlive string) (time.Duration, bool) {
	for _, field := range strings.Split(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil && seconds >= 0
	}
	return 0, false
}
