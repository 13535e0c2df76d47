// Package peer connects instances with each other: one TCP connection per pair, authenticated by a
// pre-shared key or by TLS, that carries one-way messages and exchanges of one request and one or
// more replies.
//
// One-way messages of a connection arrive in order, or the connection breaks and the handlers of
// both sides are told by Disconnected. Replies of an exchange arrive in order. The replies of each
// exchange are bounded by credit, so a slow requester delays its own exchange only.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// Defaults of Config.
const (
	DefaultWriteTimeout     = 5 * time.Second
	DefaultIdleTimeout      = 6 * time.Second // the time after which membership takes a silent peer for dead
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultMinBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
)

// maxHandshakes bounds the accepted connections that are not authenticated yet.
const maxHandshakes = 128

// Times of replacing one connection of a pair by another.
const (
	// simultaneous is the age below which two connections of a pair count as dialed at once.
	simultaneous  = 2 * time.Second
	dialGrace     = 500 * time.Millisecond // the instance with the higher name lets the other dial first
	retirePoll    = 500 * time.Millisecond
	retireTimeout = 10 * time.Second
)

var (
	errReplaced = errors.New("replaced by another connection of the pair")
	errStopped  = errors.New("instance stops")
)

// Handler takes what peers send.
type Handler interface {
	// Connected is called before any Receive of the connection.
	Connected(Remote)
	// Disconnected is called after the last Receive. One-way messages that were sent shortly before
	// may be lost. When a connection was replaced, Connected of the new one can come first.
	Disconnected(Remote, error)
	// Receive takes a one-way message. It must return quickly; a connection whose messages are not
	// taken is closed.
	Receive(Remote, wire.Message)
	// Serve answers a request in its own goroutine. The context ends when the requester cancels or
	// the connection breaks. If Serve returns without SendLast, the requester gets its error; an
	// error of type wire.Error is passed on as it is, of others only the code.
	Serve(context.Context, Remote, wire.Message, *Replier) error
}

// Config holds the settings of a Node. Exactly one of Keys and Certificates is set.
type Config struct {
	Session      id.Session
	Zone         string
	Handler      Handler
	Log          logrus.FieldLogger
	Keys         *Keyring
	Certificates *Certificates

	WriteTimeout     time.Duration // of one frame
	IdleTimeout      time.Duration // a connection without any byte received for so long is closed
	HandshakeTimeout time.Duration
	MinBackoff       time.Duration
	MaxBackoff       time.Duration
}

// Peer is an instance to keep a connection with.
type Peer struct {
	Instance string
	Addr     string // IP address and port
}

// Node is one instance's end of all its peer connections.
type Node struct {
	cfg    Config
	bytes  counters
	serial atomic.Uint64
	shakes chan struct{} // one entry per handshake of an accepted connection

	mu      sync.Mutex
	stopped bool
	conns   map[string]*conn // the one of each pair, by instance
	all     map[*conn]bool   // also those that were replaced and still serve exchanges
	dialers map[string]*dialer
	changed chan struct{} // closed and replaced when conns changes
	wg      sync.WaitGroup
}

// New returns a Node. It fails when the settings contradict each other.
func New(cfg Config) (*Node, error) {
	if (cfg.Keys == nil) == (cfg.Certificates == nil) {
		return nil, errors.New("peer: exactly one of pre-shared keys and certificates must be set")
	}
	if cfg.Session == "" || cfg.Handler == nil || cfg.Log == nil {
		return nil, errors.New("peer: session, handler and log must be set")
	}
	setDefault(&cfg.WriteTimeout, DefaultWriteTimeout)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&cfg.MinBackoff, DefaultMinBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	return &Node{
		cfg:     cfg,
		conns:   make(map[string]*conn),
		all:     make(map[*conn]bool),
		shakes:  make(chan struct{}, maxHandshakes),
		dialers: make(map[string]*dialer),
		changed: make(chan struct{}),
	}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// ByteCounts returns what was sent and received so far.
func (n *Node) ByteCounts() ByteCounts { return n.bytes.read() }

// Connected returns the remotes that are connected now.
func (n *Node) Connected() []Remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	remotes := make([]Remote, 0, len(n.conns))
	for _, c := range n.conns {
		remotes = append(remotes, c.remote)
	}
	return remotes
}

// Session returns the run of an instance that is connected now.
func (n *Node) Session(instance string) (id.Session, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[instance]
	if c == nil {
		return "", false
	}
	return c.remote.Session, true
}

// Send sends a one-way message to a session without waiting. It fails with ErrNotConnected,
// ErrWrongSession, ErrQueueFull or an error that wraps ErrClosed.
func (n *Node) Send(to id.Session, m wire.Message) error {
	c, err := n.find(to)
	if err != nil {
		return err
	}
	data, err := n.bytes.encode(wire.Envelope{Message: m})
	if err != nil {
		return err
	}
	return c.tryEnqueue(data)
}

// Broadcast sends a one-way message to every connected peer and returns how many took it.
func (n *Node) Broadcast(m wire.Message) (int, error) {
	data, err := n.bytes.encode(wire.Envelope{Message: m})
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	conns := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	sent := 0
	for _, c := range conns {
		if c.tryEnqueue(data) == nil {
			sent++
		}
	}
	return sent, nil
}

// OpenExchange starts an exchange with a session. The caller reads the replies and closes the exchange.
func (n *Node) OpenExchange(ctx context.Context, to id.Session, m wire.Message) (*Exchange, error) {
	c, err := n.find(to)
	if err != nil {
		return nil, err
	}
	return c.startExchange(ctx, m)
}

// Request sends a request and returns its first reply.
func (n *Node) Request(ctx context.Context, to id.Session, m wire.Message) (wire.Message, error) {
	x, err := n.OpenExchange(ctx, to, m)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	return x.Recv(ctx)
}

func (n *Node) find(to id.Session) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[to.Instance()]
	if c == nil {
		return nil, fmt.Errorf("%s: %w", to, ErrNotConnected)
	}
	if c.remote.Session != to {
		return nil, fmt.Errorf("%s: connected to %s: %w", to, c.remote.Session, ErrWrongSession)
	}
	return c, nil
}

// Serve accepts connections until the context ends, then closes all connections and waits for
// their handlers. A Node serves once.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer n.shutdown()
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("peer listener: %w", err)
		}
		n.admit(ctx, nc)
	}
}

// admit starts the handshake of an accepted connection, or closes it when too many are under way.
func (n *Node) admit(ctx context.Context, nc net.Conn) {
	select {
	case n.shakes <- struct{}{}:
	default:
		_ = nc.Close()
		n.cfg.Log.WithFields(logrus.Fields{"remote": nc.RemoteAddr().String(), "reason": "too many handshakes"}).
			Warn("peer connection refused")
		return
	}
	if !n.start(func() { n.accept(ctx, nc) }) {
		_ = nc.Close()
	}
}

// start runs f in a goroutine that shutdown waits for. It does nothing after shutdown.
func (n *Node) start(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return false
	}
	n.wg.Go(f)
	return true
}

func (n *Node) shutdown() {
	n.mu.Lock()
	n.stopped = true
	for _, d := range n.dialers {
		d.cancel()
	}
	for c := range n.all {
		go c.close(errStopped)
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Node) accept(ctx context.Context, raw net.Conn) {
	nc, hello, err := n.acceptHandshake(ctx, raw)
	<-n.shakes
	if err != nil {
		_ = raw.Close()
		n.cfg.Log.WithFields(logrus.Fields{"remote": raw.RemoteAddr().String(), "reason": err.Error()}).
			Warn("peer connection refused")
		return
	}
	n.serveConn(nc, hello, false)
}

// serveConn runs an authenticated connection until it ends.
func (n *Node) serveConn(nc net.Conn, hello wire.Hello, dialed bool) {
	remote := Remote{Session: hello.Session, Zone: hello.Zone, ConnID: n.serial.Add(1)}
	c := newConn(n, nc, remote, dialed)
	if !n.register(c) {
		_ = nc.Close()
		return
	}
	log := n.cfg.Log.WithFields(logrus.Fields{"peer": string(remote.Session), "dialed": dialed})
	log.Info("peer connected")
	err := c.run()
	n.unregister(c)
	if orderly(err) {
		log.WithField("reason", err.Error()).Info("peer disconnected")
		return
	}
	log.WithField("reason", err.Error()).Warn("peer disconnected")
}
