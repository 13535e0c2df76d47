package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/wire"
)

// errPeerClosed means that the peer closed the connection at the end of a frame.
var errPeerClosed = errors.New("closed by the peer")

// remoteError is an Error message that the peer sent about the whole connection, not about an exchange.
type remoteError struct{ err wire.Error }

func (e *remoteError) Error() string { return "closed by the peer: " + e.err.Error() }
func (e *remoteError) Unwrap() error { return e.err }

// idleReader sets a deadline for every read, so that a peer that vanished without closing the connection
// is detected.
type idleReader struct {
	nc      net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (r idleReader) Read(p []byte) (int, error) {
	if err := r.nc.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	return r.nc.Read(p)
}

func (c *conn) readLoop() error {
	r := bufio.NewReaderSize(idleReader{nc: c.nc, timeout: c.node.cfg.IdleTimeout}, ioBufferBytes)
	for {
		f, err := wire.ReadFrame(r, wire.MaxFrameBytes)
		if errors.Is(err, io.EOF) {
			return errPeerClosed
		}
		if err != nil {
			return err
		}
		c.node.counters.addReceived(f.Kind, f.Size())
		e, err := c.node.counters.decode(f)
		if err != nil {
			return err
		}
		if err := c.dispatch(e, f.Size()); err != nil {
			return err
		}
		select {
		case <-c.done:
			return c.err
		default:
		}
	}
}

// dispatch passes a message to its exchange or to the handler. An error closes the connection.
func (c *conn) dispatch(e wire.Envelope, size int) error {
	switch {
	case e.Flags&wire.FlagReply != 0:
		return c.dispatchReply(e, size)
	case e.Flags&wire.FlagRequest != 0:
		return c.dispatchRequest(e)
	}
	switch m := e.Message.(type) {
	case wire.Ping:
		return nil
	case wire.Error:
		return &remoteError{err: m}
	case wire.Hello, wire.Proof, wire.Ready, wire.Cancel, wire.Credit:
		return fmt.Errorf("%s outside its place: %w", m.Kind(), wire.ErrMalformed)
	}
	select {
	case c.receive <- e.Message:
		return nil
	default:
		return ErrSlowHandler
	}
}

func (c *conn) dispatchReply(e wire.Envelope, size int) error {
	c.mu.Lock()
	x := c.outbound[e.Exchange]
	c.mu.Unlock()
	if x == nil { // cancelled before the reply arrived
		return nil
	}
	return x.push(e, size)
}

func (c *conn) dispatchRequest(e wire.Envelope) error {
	c.mu.Lock()
	r := c.inbound[e.Exchange]
	inbound := len(c.inbound)
	c.mu.Unlock()
	switch m := e.Message.(type) {
	case wire.Cancel:
		if r != nil {
			r.cancel()
		}
		return nil
	case wire.Credit:
		if r != nil {
			r.addCredit(m.Bytes)
		}
		return nil
	}
	if r != nil {
		return fmt.Errorf("exchange %d is in use: %w", e.Exchange, wire.ErrMalformed)
	}
	if inbound >= maxInboundRequests {
		return c.refuseRequest(e.Exchange)
	}
	c.startRequest(e)
	return nil
}

func (c *conn) refuseRequest(exchange uint64) error {
	data, err := wire.Encode(wire.Envelope{
		Exchange: exchange,
		Flags:    wire.FlagReply | wire.FlagLast,
		Message:  wire.Error{Code: wire.CodeBusy, Detail: "too many requests under way"},
	})
	if err != nil {
		return err
	}
	return c.tryEnqueue(data)
}

func (c *conn) startRequest(e wire.Envelope) {
	ctx, cancel := context.WithCancel(context.Background())
	r := newReplier(c, e.Exchange, e.Message.Kind().Payload(), cancel)
	c.mu.Lock()
	c.inbound[e.Exchange] = r
	c.mu.Unlock()
	select {
	case <-c.done: // close may have cancelled all of c.inbound before r was added
		cancel()
	default:
	}
	go func() {
		defer cancel()
		r.finish(c.serve(ctx, e.Message, r))
	}()
}

// serve has a request of the peer handled. A handler that panics must not end the instance.
func (c *conn) serve(ctx context.Context, m wire.Message, r *Replier) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			c.node.cfg.Log.WithFields(logrus.Fields{
				"peer": string(c.remote.Session), "name": m.Kind().String(), "reason": fmt.Sprint(reason), "stack": string(debug.Stack()),
			}).Error("handler of a peer's request panicked")
			err = wire.Error{Code: wire.CodeInternal, Detail: "handler panicked"}
		}
	}()
	return c.node.cfg.Handler.Serve(ctx, c.remote, m, r)
}
