package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"ragwortstile/internal/wire"
)

// WindowBytes is the credit that the replier of an exchange starts with. A requester that does not
// read holds at most this much and one frame in memory.
const WindowBytes = 1 << 20

// Exchange is the requester's side of one request. It is used by one goroutine at a time.
type Exchange struct {
	conn    *conn
	id      uint64
	payload bool

	mu       sync.Mutex
	queue    []reply
	allowed  int64 // bytes that the replier may still send
	consumed int64 // bytes read since the last Credit
	last     bool  // the last reply is in the queue
	err      error
	signal   chan struct{} // capacity 1
}

type reply struct {
	message wire.Message
	size    int
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
	c.out[x.id] = x
	c.mu.Unlock()
	if err := x.send(ctx, m); err != nil {
		x.remove()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) send(ctx context.Context, m wire.Message) error {
	data, err := x.conn.node.bytes.encode(wire.Envelope{Exchange: x.id, Flags: wire.FlagRequest, Message: m})
	if err != nil {
		return err
	}
	return x.conn.enqueue(ctx, x.payload, data)
}

// Remote returns the other side.
func (x *Exchange) Remote() Remote { return x.conn.remote }

// Recv returns the next reply. After the last one it returns io.EOF. A reply of type wire.Error is
// returned as the error. When the connection breaks, the error wraps ErrClosed.
func (x *Exchange) Recv(ctx context.Context) (wire.Message, error) {
	for {
		m, credit, err := x.pop()
		if credit > 0 {
			x.grant(credit)
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

// pop returns the next reply, if there is one, and the credit to give for what was read.
func (x *Exchange) pop() (m wire.Message, credit int64, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.queue) == 0 {
		if x.err == nil && x.last {
			return nil, 0, io.EOF
		}
		return nil, 0, x.err
	}
	first := x.queue[0]
	x.queue[0] = reply{}
	x.queue = x.queue[1:]
	x.consumed += int64(first.size)
	if x.consumed >= WindowBytes/2 && !x.last {
		credit = x.consumed
		x.consumed = 0
		x.allowed += credit
	}
	if e, ok := first.message.(wire.Error); ok {
		return nil, credit, e
	}
	return first.message, credit, nil
}

func (x *Exchange) grant(credit int64) {
	data, err := wire.Encode(wire.Envelope{
		Exchange: x.id,
		Flags:    wire.FlagRequest,
		Message:  wire.Credit{Bytes: credit},
	})
	if err == nil {
		_ = x.conn.tryEnqueue(data) // a failure closes the connection, which Recv reports
	}
}

// push adds a reply. It fails with ErrFlowControl when the replier had no credit left.
func (x *Exchange) push(e wire.Envelope, size int) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.last {
		return fmt.Errorf("reply after the last one of exchange %d: %w", x.id, wire.ErrMalformed)
	}
	if x.allowed <= 0 {
		return ErrFlowControl
	}
	x.allowed -= int64(size)
	x.queue = append(x.queue, reply{message: e.Message, size: size})
	if e.Flags&wire.FlagLast != 0 {
		x.last = true
		go x.remove() // the caller holds x.mu, remove takes the lock of the connection
	}
	x.wake()
	return nil
}

func (x *Exchange) fail(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err == nil && !x.last {
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
	delete(x.conn.out, x.id)
}

// Close ends the exchange. If the last reply has not arrived, the replier's context is cancelled.
func (x *Exchange) Close() {
	x.mu.Lock()
	open := !x.last && x.err == nil
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
	// The cancellation takes the queue of its request, so that it does not overtake it.
	ctx, cancel := context.WithTimeout(context.Background(), x.conn.node.cfg.WriteTimeout)
	defer cancel()
	_ = x.conn.enqueue(ctx, x.payload, data)
}

// Replier is the replier's side of an exchange. It is used by one goroutine at a time.
type Replier struct {
	conn    *conn
	id      uint64
	payload bool
	cancel  context.CancelFunc

	mu     sync.Mutex
	credit int64
	sent   bool // the last reply was sent
	signal chan struct{}
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

// ErrFinished tells that the last reply of an exchange was already sent.
var ErrFinished = errors.New("exchange is finished")

// Send sends a reply that is not the last one. It waits while the requester reads too slowly.
func (r *Replier) Send(ctx context.Context, m wire.Message) error {
	return r.send(ctx, m, wire.FlagReply)
}

// SendLast sends the last reply.
func (r *Replier) SendLast(ctx context.Context, m wire.Message) error {
	return r.send(ctx, m, wire.FlagReply|wire.FlagLast)
}

func (r *Replier) send(ctx context.Context, m wire.Message, flags wire.Flags) error {
	data, err := r.conn.node.bytes.encode(wire.Envelope{Exchange: r.id, Flags: flags, Message: m})
	if err != nil {
		return err
	}
	if err := r.takeCredit(ctx, int64(len(data)), flags&wire.FlagLast != 0); err != nil {
		return err
	}
	return r.conn.enqueue(ctx, r.payload, data)
}

func (r *Replier) takeCredit(ctx context.Context, size int64, last bool) error {
	for {
		r.mu.Lock()
		if r.sent {
			r.mu.Unlock()
			return ErrFinished
		}
		if r.credit > 0 {
			r.credit -= size
			r.sent = last
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

// finish ends the exchange with an Error if the handler sent no last reply.
func (r *Replier) finish(err error) {
	r.conn.mu.Lock()
	delete(r.conn.in, r.id)
	r.conn.mu.Unlock()
	r.mu.Lock()
	sent := r.sent
	r.sent = true
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
