// Package upstream sends requests to endpoints over HTTP/1.1 connections that are used again.
//
// It tells exactly whether a request was written, and matches answers with requests, since an endpoint
// may send an answer twice: the second one then stands where the next answer is due. A connection on
// which anything else than the one whole answer was seen isn't used again.
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

// Times and sizes of connections.
const (
	dialTimeout = 400 * time.Millisecond
	// silentAfter closes connections whose peer acknowledges nothing that was sent.
	silentAfter = 800 * time.Millisecond
	// keepAliveMargin is taken off the idle time that an endpoint states, for requests on their way.
	keepAliveMargin = 500 * time.Millisecond
	// unstatedIdle is how long a connection is kept whose endpoint states no idle time.
	unstatedIdle = 4 * time.Second
	readBuffer   = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is awaited. Larger ones are
	// written beside it, since an endpoint may answer before it has read all.
	inlineBody = 32 << 10
	// maxStale bounds the answers to other requests that are passed over.
	maxStale = 4
	// maxStaleBytes bounds each of them.
	maxStaleBytes = 1 << 20
)

// ErrNotSent means that nothing of the request was written.
var ErrNotSent = errors.New("request not sent")

// errForeign means that a connection carried too many answers to other requests.
var errForeign = errors.New("answers to other requests")

// Request is one request to an endpoint.
type Request struct {
	Method string
	URI    string // path and query as they came
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer belongs to the request.
	Matches func(status int, h http.Header) bool
}

// Response is an answer. Exactly one of Reuse and Discard is called at its end.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	conn *conn
	stop func() bool
	pool *Pool
	last bool // the connection ends with the answer
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	addr    string
	br      *bufio.Reader
	writing chan error // of a body that is written beside the answer; nil without
	since   time.Time  // start of idleness
	idle    time.Duration
}

// Pool holds the idle connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn // by address; the last used at the end
	dials  int64
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{
		idle: make(map[string][]*conn),
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Best effort: without the option a dead connection is found by the request's deadline.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
			})
		}},
	}
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// HasIdle tells whether an idle connection to an address is there.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

// CloseUnlisted closes the idle connections to addresses that are not listed.
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

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	var closing []*conn
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.since) < c.idle {
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

// take returns an idle connection to an address, or nil.
func (p *Pool) take(addr string) *conn {
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
		if time.Since(c.since) < c.idle && c.quiet() {
			return c
		}
		c.abort()
	}
}

// quiet tells whether an idle connection is open and nothing has arrived on it.
func (c *conn) quiet() bool {
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
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer), idle: unstatedIdle}, nil
}

// Do sends a request to an address and returns the head of the answer. The context's end breaks the
// connection. Errors that wrap ErrNotSent say that nothing was written; after any other the request may
// have run.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (*Response, error) {
	c := p.take(addr)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		c.abort()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, c.abort)
	resp, err := c.exchange(r)
	if err != nil {
		stop()
		c.abort()
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, conn: c, stop: stop, pool: p, last: resp.Close}, nil
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
	request := &http.Request{Method: r.Method}
	for range maxStale {
		resp, err := http.ReadResponse(c.br, request)
		if err != nil {
			return nil, fmt.Errorf("answer: %w", err)
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStaleBytes); err != io.EOF {
			return nil, fmt.Errorf("%w: %w", errForeign, err)
		}
	}
	return nil, errForeign
}

func (c *conn) send(head, body []byte) error {
	c.writing = nil
	if len(body) <= inlineBody {
		n, err := c.Write(append(head, body...))
		return writeError(n, err)
	}
	if n, err := c.Write(head); err != nil {
		return writeError(n, err)
	}
	c.writing = make(chan error, 1)
	go func() {
		_, err := c.Write(body)
		c.writing <- err
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

// Discard breaks the connection, which makes the endpoint drop the request if it still runs.
func (r *Response) Discard() {
	r.stop()
	r.conn.abort()
}

// Reuse gives the connection back after the whole body was read.
func (r *Response) Reuse() {
	c := r.conn
	if !r.stop() || r.last || c.br.Buffered() > 0 || !c.clean(r.Header) {
		c.abort()
		return
	}
	c.since = time.Now()
	r.pool.mu.Lock()
	r.pool.idle[c.addr] = append(r.pool.idle[c.addr], c)
	r.pool.mu.Unlock()
}

// clean tells whether another request may follow, and takes the idle time that the endpoint states.
func (c *conn) clean(h http.Header) bool {
	if c.writing != nil {
		select {
		case err := <-c.writing:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	if idle, ok := statedIdle(h.Get("Keep-Alive")); ok {
		c.idle = idle - keepAliveMargin
	}
	return c.idle > 0
}

func statedIdle(keepAlive string) (time.Duration, bool) {
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
