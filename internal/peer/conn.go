package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// Remote identifies the other side of a connection.
type Remote struct {
	Session id.Session
	Zone    string
	ConnID  uint64 // unique in this process; a reconnection gets a new one
	// LastKind is the last kind of message that the remote knows.
	LastKind wire.Kind
}

// Limits of one connection.
const (
	controlQueueFrames   = 1024 // control frames waiting to be written
	payloadQueueFrames   = 16   // payload frames waiting to be written
	receiveQueueMessages = 1024 // one-way messages waiting for the handler
	maxInboundRequests   = 1024 // requests of the peer in progress
	ioBufferBytes        = 64 << 10
	// closeErrorTimeout limits the time for sending the peer the reason of a close.
	closeErrorTimeout = 200 * time.Millisecond
	// closeTimeout limits a write that is in progress when the connection is closed.
	closeTimeout        = 500 * time.Millisecond
	pingsPerIdleTimeout = 3
)

// Errors of sending and of broken connections. ErrClosed is joined with the cause of the close. Their texts
// are published: the fleet status of an instance shows why a peer did not answer.
var (
	ErrClosed       = errors.New("peer connection is closed")
	ErrNotConnected = errors.New("peer is not connected")
	// ErrUnknownToPeer reports a message of a kind that the peer, which runs an earlier version, does not know.
	ErrUnknownToPeer = errors.New("peer does not know the kind of message")
	ErrQueueFull     = errors.New("peer does not read its control messages")
	ErrSlowHandler   = errors.New("own handler does not take one-way messages")
	ErrFlowControl   = errors.New("peer sent more than its credit")
	ErrWrongSession  = errors.New("peer has another session")
)

// conn is one authenticated connection. Its reader never waits for a handler or for the writer, so
// that one exchange cannot block the others.
type conn struct {
	node    *Node
	nc      net.Conn
	remote  Remote
	dialed  bool // this side dialed
	created time.Time

	control chan []byte
	payload chan []byte
	receive chan wire.Message

	done       chan struct{}
	closeOnce  sync.Once
	err        error       // set before done is closed
	closeError *wire.Error // sent to the peer; nil for none; set before done is closed
	retired    atomic.Bool

	mu       sync.Mutex
	lastID   uint64
	outbound map[uint64]*Exchange
	inbound  map[uint64]*Replier
}

func newConn(n *Node, nc net.Conn, remote Remote, dialed bool) *conn {
	return &conn{
		node:     n,
		nc:       nc,
		remote:   remote,
		dialed:   dialed,
		created:  time.Now(),
		control:  make(chan []byte, controlQueueFrames),
		payload:  make(chan []byte, payloadQueueFrames),
		receive:  make(chan wire.Message, receiveQueueMessages),
		done:     make(chan struct{}),
		outbound: make(map[uint64]*Exchange),
		inbound:  make(map[uint64]*Replier),
	}
}

// run serves the connection until it is closed and returns the cause of the close.
func (c *conn) run() error {
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(c.handleLoop)
	c.close(c.readLoop())
	wg.Wait()
	return c.err
}

// close closes the connection; only the first call has an effect. All exchanges fail with an error that
// wraps ErrClosed.
func (c *conn) close(cause error) {
	c.closeOnce.Do(func() {
		c.err = cause
		c.closeError = c.closeErrorFor(cause)
		close(c.done)
		time.AfterFunc(closeTimeout, func() { _ = c.nc.Close() })
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, e := range c.outbound {
			e.fail(fmt.Errorf("%w: %w", ErrClosed, cause))
		}
		for _, r := range c.inbound {
			r.cancel()
		}
	})
}

// closedNormally reports whether the cause of a close is not a fault.
func closedNormally(cause error) bool {
	return errors.Is(cause, errPeerClosed) || errors.Is(cause, errReplaced) || errors.Is(cause, errStopped)
}

// closeErrorFor returns the message that tells the peer why the connection is closed. It is nil for a
// normal close, for a network error and after an error that the peer reported itself.
func (c *conn) closeErrorFor(cause error) *wire.Error {
	var netErr net.Error
	var theirs *remoteError
	if errors.As(cause, &netErr) || errors.As(cause, &theirs) || closedNormally(cause) {
		return nil
	}
	e := toWireError(cause)
	if errors.Is(cause, ErrFlowControl) {
		e.Code = wire.CodeFlowControl
	}
	return &e
}

func (c *conn) writeLoop() {
	defer c.nc.Close()
	w := bufio.NewWriterSize(c.nc, ioBufferBytes)
	ping := time.NewTicker(c.node.cfg.IdleTimeout / pingsPerIdleTimeout)
	defer ping.Stop()
	for {
		data, ok := c.nextFrame(ping.C, w)
		if !ok {
			c.writeCloseError(w)
			return
		}
		if err := c.write(w, data); err != nil {
			c.close(err)
			return
		}
	}
}

// nextFrame returns the next frame to write: control frames first, then payload frames, then a ping
// when it is due. It flushes the buffer before it blocks.
func (c *conn) nextFrame(ping <-chan time.Time, w *bufio.Writer) ([]byte, bool) {
	select {
	case <-c.done:
		return nil, false
	case data := <-c.control:
		return data, true
	default:
	}
	select {
	case data := <-c.payload:
		return data, true
	default:
	}
	if err := c.flush(w); err != nil {
		c.close(err)
		return nil, false
	}
	select {
	case <-c.done:
		return nil, false
	case data := <-c.control:
		return data, true
	case data := <-c.payload:
		return data, true
	case <-ping:
		return pingFrame, true
	}
}

func (c *conn) write(w *bufio.Writer, data []byte) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.node.cfg.WriteTimeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	c.node.counters.addSent(frameKind(data), len(data))
	return nil
}

func (c *conn) flush(w *bufio.Writer) error {
	if w.Buffered() == 0 {
		return nil
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.node.cfg.WriteTimeout)); err != nil {
		return fmt.Errorf("write deadline: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// writeCloseError writes the queued control frames, then the error that tells the peer the cause.
func (c *conn) writeCloseError(w *bufio.Writer) {
	if c.closeError == nil {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(closeErrorTimeout))
	for len(c.control) > 0 {
		_, _ = w.Write(<-c.control)
	}
	if data, err := wire.Encode(wire.Envelope{Message: *c.closeError}); err == nil {
		_, _ = w.Write(data)
	}
	_ = w.Flush()
}

// handleLoop calls the handler: Connected first, then Receive for each one-way message in order, and
// Disconnected last.
func (c *conn) handleLoop() {
	h := c.node.cfg.Handler
	h.Connected(c.remote)
	for {
		select {
		case m := <-c.receive:
			h.Receive(c.remote, m)
			continue
		case <-c.done:
		}
		break
	}
	for len(c.receive) > 0 {
		h.Receive(c.remote, <-c.receive)
	}
	h.Disconnected(c.remote, c.err)
}

// enqueue queues a frame for the writer and blocks while the queue is full.
func (c *conn) enqueue(ctx context.Context, payload bool, data []byte) error {
	queue := c.control
	if payload {
		queue = c.payload
	}
	select {
	case <-c.done:
		return fmt.Errorf("%w: %w", ErrClosed, c.err)
	default:
	}
	select {
	case queue <- data:
		return nil
	case <-c.done:
		return fmt.Errorf("%w: %w", ErrClosed, c.err)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryEnqueue queues a control frame without blocking. A full queue closes the connection, so that a
// one-way message is never dropped silently: messages arrive in order, or both sides see the connection
// break.
func (c *conn) tryEnqueue(data []byte) error {
	select {
	case <-c.done:
		return fmt.Errorf("%w: %w", ErrClosed, c.err)
	default:
	}
	select {
	case c.control <- data:
		return nil
	default:
		c.close(ErrQueueFull)
		return ErrQueueFull
	}
}

func (c *conn) openExchanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outbound) + len(c.inbound)
}

// retire closes a replaced connection when its exchanges have ended, or after retireTimeout. New
// exchanges use the connection that replaced it.
func (c *conn) retire() {
	if !c.retired.CompareAndSwap(false, true) {
		return
	}
	go func() {
		tick := time.NewTicker(retirePollInterval)
		defer tick.Stop()
		deadline := time.Now().Add(retireTimeout)
		for {
			select {
			case <-c.done:
				return
			case <-tick.C:
			}
			if c.openExchanges() == 0 || time.Now().After(deadline) {
				c.close(errReplaced)
				return
			}
		}
	}()
}

var pingFrame = mustEncode(wire.Ping{})

func mustEncode(m wire.Message) []byte {
	data, err := wire.Encode(wire.Envelope{Message: m})
	if err != nil {
		panic(fmt.Sprintf("encode %s: %v", m.Kind(), err))
	}
	return data
}
