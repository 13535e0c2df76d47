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

// Remote names the other side of a connection.
type Remote struct {
	Session id.Session
	Zone    string
	ConnID  uint64 // number of the connection in this process; a reconnection has another one
}

// Bounds of one connection.
const (
	controlQueue  = 1024 // control frames that wait to be written
	payloadQueue  = 16   // payload frames that wait to be written
	receiveQueue  = 1024 // one-way messages that wait for the handler
	maxInbound    = 1024 // requests of the peer under way
	ioBufferBytes = 64 << 10
	// farewellTimeout is how long a closing connection tries to tell the peer why.
	farewellTimeout = 200 * time.Millisecond
	// closeTimeout bounds a write that was under way when the connection was closed.
	closeTimeout = 500 * time.Millisecond
	pingFraction = 3 // pings per idle timeout
)

// Errors of sending. They wrap the cause where there is one.
var (
	ErrClosed       = errors.New("peer connection is closed")
	ErrNotConnected = errors.New("peer is not connected")
	ErrQueueFull    = errors.New("peer does not read its control messages")
	ErrSlowHandler  = errors.New("own handler does not take one-way messages")
	ErrFlowControl  = errors.New("peer sent more than its credit")
	ErrWrongSession = errors.New("peer has another session")
)

// conn is one authenticated connection. Its reader never waits for a handler or for the writer, so
// one exchange cannot hold up the others.
type conn struct {
	node   *Node
	nc     net.Conn
	remote Remote
	dialed bool // by this side
	born   time.Time

	control chan []byte
	payload chan []byte
	receive chan wire.Message

	done     chan struct{}
	once     sync.Once
	err      error       // set before done is closed
	farewell *wire.Error // set before done is closed
	retired  atomic.Bool

	mu     sync.Mutex
	lastID uint64
	out    map[uint64]*Exchange
	in     map[uint64]*Replier
}

func newConn(n *Node, nc net.Conn, remote Remote, dialed bool) *conn {
	return &conn{
		node:    n,
		nc:      nc,
		remote:  remote,
		dialed:  dialed,
		born:    time.Now(),
		control: make(chan []byte, controlQueue),
		payload: make(chan []byte, payloadQueue),
		receive: make(chan wire.Message, receiveQueue),
		done:    make(chan struct{}),
		out:     make(map[uint64]*Exchange),
		in:      make(map[uint64]*Replier),
	}
}

// run serves the connection until it is closed, and returns the cause.
func (c *conn) run() error {
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(c.handleLoop)
	c.close(c.readLoop())
	wg.Wait()
	return c.err
}

// close ends the connection once. All exchanges end with an error that wraps ErrClosed.
func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.err = cause
		c.farewell = c.farewellFor(cause)
		close(c.done)
		time.AfterFunc(closeTimeout, func() { _ = c.nc.Close() })
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, e := range c.out {
			e.fail(fmt.Errorf("%w: %w", ErrClosed, cause))
		}
		for _, r := range c.in {
			r.cancel()
		}
	})
}

// orderly tells whether a connection ended without a fault.
func orderly(cause error) bool {
	return errors.Is(cause, errEOF) || errors.Is(cause, errReplaced) || errors.Is(cause, errStopped)
}

// farewellFor returns the message for the peer. It is nil for an orderly end and when the peer broke
// the connection.
func (c *conn) farewellFor(cause error) *wire.Error {
	var netErr net.Error
	var theirs *remoteError
	if errors.As(cause, &netErr) || errors.As(cause, &theirs) || orderly(cause) {
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
	ping := time.NewTicker(c.node.cfg.IdleTimeout / pingFraction)
	defer ping.Stop()
	for {
		data, ok := c.next(ping.C, w)
		if !ok {
			c.writeFarewell(w)
			return
		}
		if err := c.write(w, data); err != nil {
			c.close(err)
			return
		}
	}
}

// next returns the next frame, control before payload. It flushes before it waits.
func (c *conn) next(ping <-chan time.Time, w *bufio.Writer) ([]byte, bool) {
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
	c.node.bytes.out(frameKind(data), len(data))
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

// writeFarewell writes the frames that were queued before the close and the cause of the close.
func (c *conn) writeFarewell(w *bufio.Writer) {
	if c.farewell == nil {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(farewellTimeout))
	for len(c.control) > 0 {
		_, _ = w.Write(<-c.control)
	}
	if data, err := wire.Encode(wire.Envelope{Message: *c.farewell}); err == nil {
		_, _ = w.Write(data)
	}
	_ = w.Flush()
}

// handleLoop gives one-way messages to the handler in order, between Connected and Disconnected.
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

// enqueue queues a frame for the writer and waits while the queue is full.
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

// tryEnqueue queues a control frame without waiting. A full queue closes the connection: one-way
// messages arrive in order or both sides learn that the connection broke.
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

func (c *conn) exchanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.out) + len(c.in)
}

// retire closes the connection once its exchanges have ended, at the latest after retireTimeout.
// New exchanges use the connection that replaced it.
func (c *conn) retire() {
	if !c.retired.CompareAndSwap(false, true) {
		return
	}
	go func() {
		tick := time.NewTicker(retirePoll)
		defer tick.Stop()
		deadline := time.Now().Add(retireTimeout)
		for {
			select {
			case <-c.done:
				return
			case <-tick.C:
			}
			if c.exchanges() == 0 || time.Now().After(deadline) {
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
