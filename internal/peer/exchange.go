package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"ragwortstile/internal/wire"
)

// WindowBytes is the initial credit of the replier of an exchange. A requester that does not read
// buffers at most this many bytes and one frame.
const WindowBytes = 1 << 20

// Exchange is the requester's side of one request and its replies. It must not be used by several
// goroutines at once.
type Exchange struct {
	conn    *conn
	id      uint64
	payload bool

	mu           sync.Mutex
	queue        []reply
	allowed      int64 // remaining credit of the replier in bytes
	consumed     int64 // bytes read by Recv since the last Credit message
	lastReceived bool  // the reply with FlagLast has arrived; it may still be in the queue
	err          error
	signal       chan struct{} // capacity 1; wakes Recv
}

type reply struct {
	message wire.Message
	size    int // of the frame in bytes
}

func (c *conn) startExchange(ctx context.Context, m wire.Message) (*Exchange, error) {
	c.mu.Lock()
	c.lastID++
	x := &Exchange{
		conn:    c,
		id:      c.lastID,
		payload: m.Kind().Payload(),
		allowed: WindowBytes,
		signal:  make(chan struct{}, 1),
	}
	c.outbound[x.id] = x
	c.mu.Unlock()
	if err := x.send(ctx, m); err != nil {
		x.remove()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) send(ctx context.Context, m wire.Message) error {
	data, err := x.conn.node.counters.encode(wire.Envelope{Exchange: x.id, Flags: wire.FlagRequest, Message: m})
	if err != nil {
		return err
	}
	return x.conn.enqueue(ctx, x.payload, data)
}

// Remote identifies the replier.
func (x *Exchange) Remote() Remote { return x.conn.remote }

// Recv returns the next reply, and io.EOF after the last one. A reply of type wire.Error is returned as
// the error. If the connection breaks, the error wraps ErrClosed.
func (x *Exchange) Recv(ctx context.Context) (wire.Message, error) {
	for {
		m, credit, err := x.pop()
		if credit > 0 {
			x.sendCredit(credit)
		}
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-x.signal:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pop removes and returns the next reply, if there is one, and the credit in bytes to send to the
// replier for the replies read so far.
func (x *Exchange) pop() (m wire.Message, credit int64, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.queue) == 0 {
		if x.err == nil && x.lastReceived {
			return nil, 0, io.EOF
		}
		return nil, 0, x.err
	}
	first := x.queue[0]
	x.queue[0] = reply{}
	x.queue = x.queue[1:]
	x.consumed += int64(first.size)
	if x.consumed >= WindowBytes/2 && !x.lastReceived {
		credit = x.consumed
		x.consumed = 0
		x.allowed += credit
	}
	if e, ok := first.message.(wire.Error); ok {
		return nil, credit, e
	}
	return first.message, credit, nil
}

func (x *Exchange) sendCredit(credit int64) {
	data, err := wire.Encode(wire.Envelope{
		Exchange: x.id,
		Flags:    wire.FlagRequest,
		Message:  wire.Credit{Bytes: credit},
	})
	if err == nil {
		_ = x.conn.tryEnqueue(data) // a failure closes the connection, which Recv reports
	}
}

// push queues a reply for Recv. It fails with ErrFlowControl if the replier had no credit left. A replier that fails for
// lack of credit may still say so.
func (x *Exchange) push(e wire.Envelope, size int) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lastReceived {
		return fmt.Errorf("reply after the last one of exchange %d: %w", x.id, wire.ErrMalformed)
	}
	if _, failed := e.Message.(wire.Error); x.allowed <= 0 && !(failed && e.Flags&wire.FlagLast != 0) {
		return ErrFlowControl
	}
	x.allowed -= int64(size)
	x.queue = append(x.queue, reply{message: e.Message, size: size})
	if e.Flags&wire.FlagLast != 0 {
		x.lastReceived = true
		go x.remove() // own goroutine: the caller holds x.mu, and remove locks conn.mu
	}
	x.wake()
	return nil
}

func (x *Exchange) fail(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err == nil && !x.lastReceived {
		x.err = err
	}
	x.wake()
}

func (x *Exchange) wake() {
	select {
	case x.signal <- struct{}{}:
	default:
	}
}

func (x *Exchange) remove() {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	delete(x.conn.outbound, x.id)
}

// Close ends the exchange. If the last reply has not arrived, Close cancels the replier's context.
func (x *Exchange) Close() {
	x.mu.Lock()
	open := !x.lastReceived && x.err == nil
	if x.err == nil {
		x.err = fmt.Errorf("%w: by the requester", ErrClosed)
	}
	x.mu.Unlock()
	x.remove()
	if !open {
		return
	}
	data, err := wire.Encode(wire.Envelope{Exchange: x.id, Flags: wire.FlagRequest, Message: wire.Cancel{}})
	if err != nil {
		return
	}
	// Cancel goes through the same queue as the request, so that it cannot arrive before the request.
	ctx, cancel := context.WithTimeout(context.Background(), x.conn.node.cfg.WriteTimeout)
	defer cancel()
	_ = x.conn.enqueue(ctx, x.payload, data)
}

// Replier is the replier's side of an exchange. It must not be used by several goroutines at once.
type Replier struct {
	conn    *conn
	id      uint64
	payload bool
	cancel  context.CancelFunc

	mu       sync.Mutex
	credit   int64         // bytes that may still be sent
	lastSent bool          // the last reply was sent
	signal   chan struct{} // capacity 1; wakes takeCredit
}

func newReplier(c *conn, id uint64, payload bool, cancel context.CancelFunc) *Replier {
	return &Replier{
		conn:    c,
		id:      id,
		payload: payload,
		cancel:  cancel,
		credit:  WindowBytes,
		signal:  make(chan struct{}, 1),
	}
}

// ErrFinished means that the last reply of the exchange has already been sent.
var ErrFinished = errors.New("exchange is finished")

// Send sends a reply that is not the last one. It blocks while the requester has given no credit.
func (r *Replier) Send(ctx context.Context, m wire.Message) error {
	return r.send(ctx, m, wire.FlagReply)
}

// SendLast sends the last reply. It blocks like Send.
func (r *Replier) SendLast(ctx context.Context, m wire.Message) error {
	return r.send(ctx, m, wire.FlagReply|wire.FlagLast)
}

func (r *Replier) send(ctx context.Context, m wire.Message, flags wire.Flags) error {
	data, err := r.conn.node.counters.encode(wire.Envelope{Exchange: r.id, Flags: flags, Message: m})
	if err != nil {
		return err
	}
	if err := r.takeCredit(ctx, int64(len(data)), flags&wire.FlagLast != 0); err != nil {
		return err
	}
	return r.conn.enqueue(ctx, r.payload, data)
}

// takeCredit waits for credit and deducts a frame of the given size. A positive credit is enough for a
// frame of any size, so the credit can become negative.
func (r *Replier) takeCredit(ctx context.Context, size int64, last bool) error {
	for {
		r.mu.Lock()
		if r.lastSent {
			r.mu.Unlock()
			return ErrFinished
		}
		if r.credit > 0 {
			r.credit -= size
			r.lastSent = last
			r.mu.Unlock()
			return nil
		}
		r.mu.Unlock()
		select {
		case <-r.signal:
		case <-r.conn.done:
			return fmt.Errorf("%w: %w", ErrClosed, r.conn.err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Replier) addCredit(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit += min(max(bytes, 0), WindowBytes+wire.MaxFrameBytes)
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// finish ends the exchange. If the handler has not sent the last reply, it sends an Error instead.
func (r *Replier) finish(err error) {
	r.conn.mu.Lock()
	delete(r.conn.inbound, r.id)
	r.conn.mu.Unlock()
	r.mu.Lock()
	sent := r.lastSent
	r.lastSent = true
	r.mu.Unlock()
	if sent {
		return
	}
	if err == nil {
		err = wire.Error{Code: wire.CodeUnsupported, Detail: "no reply"}
	}
	data, encErr := wire.Encode(wire.Envelope{
		Exchange: r.id,
		Flags:    wire.FlagReply | wire.FlagLast,
		Message:  toWireError(err),
	})
	if encErr != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.conn.node.cfg.WriteTimeout)
	defer cancel()
	_ = r.conn.enqueue(ctx, r.payload, data)
}
