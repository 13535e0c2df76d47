// Package peer connects the instances with each other. Each pair of instances shares one TCP
// connection, authenticated by a pre-shared key or by TLS. It carries one-way messages, and exchanges
// of one request and one or more replies.
//
// A Node manages all peer connections of an instance and passes incoming messages to its Handler. An
// Exchange is the requester's side of a request, a Replier the side that answers it.
//
// One-way messages arrive in order, or the connection breaks and Disconnected is called on both sides.
// Replies of an exchange arrive in order. A credit limits the replies in flight of each exchange, so
// that a slow requester delays only its own exchange.
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

// Default timeouts and backoffs of Config.
const (
	DefaultWriteTimeout     = 5 * time.Second
	DefaultIdleTimeout      = 6 * time.Second // as long as membership waits before it considers a silent peer dead
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultMinBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
)

// maxHandshakes limits the number of accepted connections that are not authenticated yet.
const maxHandshakes = 128

// Intervals for replacing a connection of a pair by another one.
const (
	// simultaneousDialWindow: a connection younger than this counts as dialed at the same time as a new
	// one of the same pair.
	simultaneousDialWindow = 2 * time.Second
	dialDelay              = 500 * time.Millisecond // the instance with the higher name lets the other dial first
	retirePollInterval     = 500 * time.Millisecond
	retireTimeout          = 10 * time.Second // for the open exchanges of a replaced connection
)

var (
	errReplaced = errors.New("replaced by another connection of the pair")
	errStopped  = errors.New("instance stops")
)

// Handler handles the messages and requests of peers, and changes of the connections.
type Handler interface {
	// Connected is called when a connection is established, before any Receive of that connection.
	Connected(Remote)
	// Disconnected is called after the last Receive of a connection. One-way messages that were sent
	// shortly before the disconnect may be lost. If the connection was replaced, Connected of the new
	// connection may be called before Disconnected of the old one.
	Disconnected(Remote, error)
	// Receive handles a one-way message. It must return quickly: the connection is closed if messages
	// arrive while its receive queue is full.
	Receive(Remote, wire.Message)
	// Serve handles a request in its own goroutine. The context is cancelled when the requester cancels
	// or the connection breaks. If Serve returns without SendLast, the requester gets the returned error:
	// a wire.Error unchanged, any other error converted to a wire.Error with a code, and without its text
	// unless it is a protocol error.
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

	WriteTimeout     time.Duration // for writing one frame
	IdleTimeout      time.Duration // a connection that receives no byte for this long is closed
	HandshakeTimeout time.Duration // for the TCP connect of the dialer, and for the handshake after it
	MinBackoff       time.Duration // initial interval between dials
	MaxBackoff       time.Duration // maximum interval between dials

	lastKind wire.Kind // stated to peers; tests set it
}

// Peer is an instance to keep a connection with.
type Peer struct {
	Instance string
	Addr     string // IP address and port
}

// Node manages all peer connections of one instance.
type Node struct {
	cfg        Config
	counters   counters
	lastConnID atomic.Uint64
	handshakes chan struct{} // one element per handshake in progress of an accepted connection

	mu       sync.Mutex
	stopped  bool
	conns    map[string]*conn // current connection to each instance, by instance name
	allConns map[*conn]bool   // all open connections, including replaced ones that still serve exchanges
	dialers  map[string]*dialer
	changed  chan struct{} // closed and replaced when conns changes
	wg       sync.WaitGroup
}

// New returns a Node. It fails if a required setting is missing, or unless exactly one of Keys and
// Certificates is set.
func New(cfg Config) (*Node, error) {
	if (cfg.Keys == nil) == (cfg.Certificates == nil) {
		return nil, errors.New("peer: exactly one of pre-shared keys and certificates must be set")
	}
	if cfg.Session == "" || cfg.Handler == nil || cfg.Log == nil {
		return nil, errors.New("peer: session, handler and log must be set")
	}
	if cfg.lastKind == 0 {
		cfg.lastKind = wire.LastKind
	}
	setDefault(&cfg.WriteTimeout, DefaultWriteTimeout)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&cfg.MinBackoff, DefaultMinBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	return &Node{
		cfg:        cfg,
		conns:      make(map[string]*conn),
		allConns:   make(map[*conn]bool),
		handshakes: make(chan struct{}, maxHandshakes),
		dialers:    make(map[string]*dialer),
		changed:    make(chan struct{}),
	}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// ByteCounts returns the bytes sent and received so far.
func (n *Node) ByteCounts() ByteCounts { return n.counters.read() }

// Connected returns the remotes of all current connections.
func (n *Node) Connected() []Remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	remotes := make([]Remote, 0, len(n.conns))
	for _, c := range n.conns {
		remotes = append(remotes, c.remote)
	}
	return remotes
}

// Session returns the session of an instance that is connected now, and false if it is not connected.
func (n *Node) Session(instance string) (id.Session, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[instance]
	if c == nil {
		return "", false
	}
	return c.remote.Session, true
}

// Send sends a one-way message to a session without blocking. It fails with ErrNotConnected,
// ErrWrongSession, ErrUnknownToPeer, ErrQueueFull or an error that wraps ErrClosed.
func (n *Node) Send(to id.Session, m wire.Message) error {
	c, err := n.find(to, m.Kind())
	if err != nil {
		return err
	}
	data, err := n.counters.encode(wire.Envelope{Message: m})
	if err != nil {
		return err
	}
	return c.tryEnqueue(data)
}

// Broadcast queues a one-way message for every connected peer that knows its kind, and returns for how many it was queued.
func (n *Node) Broadcast(m wire.Message) (int, error) {
	data, err := n.counters.encode(wire.Envelope{Message: m})
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	conns := make([]*conn, 0, len(n.conns))
	for _, c := range n.conns {
		if m.Kind() <= c.remote.LastKind {
			conns = append(conns, c)
		}
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

// OpenExchange starts an exchange with a session. The caller must read the replies and close the
// exchange.
func (n *Node) OpenExchange(ctx context.Context, to id.Session, m wire.Message) (*Exchange, error) {
	c, err := n.find(to, m.Kind())
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

// find returns the connection to a session that knows a kind of message.
func (n *Node) find(to id.Session, kind wire.Kind) (*conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[to.Instance()]
	if c == nil {
		return nil, fmt.Errorf("%s: %w", to, ErrNotConnected)
	}
	if c.remote.Session != to {
		return nil, fmt.Errorf("%s: connected to %s: %w", to, c.remote.Session, ErrWrongSession)
	}
	if kind > c.remote.LastKind {
		return nil, fmt.Errorf("%s to %s: %w", kind, to, ErrUnknownToPeer)
	}
	return c, nil
}

// Serve accepts connections until the context ends, then closes all connections and waits for their
// handlers to return. It can be called only once per Node.
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

// admit starts the handshake of an accepted connection, or closes the connection if too many handshakes
// are in progress.
func (n *Node) admit(ctx context.Context, nc net.Conn) {
	select {
	case n.handshakes <- struct{}{}:
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

// start runs f in a goroutine that shutdown waits for. After shutdown it does nothing and returns false.
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
	for c := range n.allConns {
		go c.close(errStopped)
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Node) accept(ctx context.Context, raw net.Conn) {
	nc, hello, err := n.acceptHandshake(ctx, raw)
	<-n.handshakes
	if err != nil {
		_ = raw.Close()
		n.cfg.Log.WithFields(logrus.Fields{"remote": raw.RemoteAddr().String(), "reason": err.Error()}).
			Warn("peer connection refused")
		return
	}
	n.serveConn(nc, hello, false)
}

// serveConn registers and serves an authenticated connection until it is closed.
func (n *Node) serveConn(nc net.Conn, hello wire.Hello, dialed bool) {
	remote := Remote{Session: hello.Session, Zone: hello.Zone, ConnID: n.lastConnID.Add(1), LastKind: hello.LastKind}
	if remote.LastKind == 0 {
		remote.LastKind = wire.UnstatedLastKind
	}
	c := newConn(n, nc, remote, dialed)
	if !n.register(c) {
		_ = nc.Close()
		return
	}
	log := n.cfg.Log.WithFields(logrus.Fields{"peer": string(remote.Session), "dialed": dialed})
	log.Info("peer connected")
	err := c.run()
	n.unregister(c)
	if closedNormally(err) {
		log.WithField("reason", err.Error()).Info("peer disconnected")
		return
	}
	log.WithField("reason", err.Error()).Warn("peer disconnected")
}
