package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/wire"
)

// register makes c the connection of its pair, unless the present one is kept. The connection that
// loses serves its exchanges to their end. It returns false after shutdown.
func (n *Node) register(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return false
	}
	n.all[c] = true
	instance := c.remote.Session.Instance()
	old := n.conns[instance]
	if old != nil && n.keeps(old, c) {
		c.retire()
		return true
	}
	if old != nil && old.remote.Session != c.remote.Session {
		go old.close(fmt.Errorf("%w: it restarted as %s", errReplaced, c.remote.Session))
	} else if old != nil {
		old.retire()
	}
	n.conns[instance] = c
	n.notify()
	return true
}

// keeps tells whether the present connection stays the one of the pair. Both sides decide alike
// when both dialed at once: the connection that the instance with the lower name dialed stays. In
// all other cases the newer one wins, because the older may be broken without this side's knowledge.
func (n *Node) keeps(old, c *conn) bool {
	if old.remote.Session != c.remote.Session {
		return false
	}
	if old.dialed == c.dialed || time.Since(old.born) > simultaneous {
		return false
	}
	return old.dialed == n.dialsFirst(c.remote.Session.Instance())
}

// dialsFirst tells whether this instance is the one of the pair that normally dials.
func (n *Node) dialsFirst(instance string) bool { return n.cfg.Session.Instance() < instance }

func (n *Node) unregister(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, c)
	instance := c.remote.Session.Instance()
	if n.conns[instance] == c {
		delete(n.conns, instance)
		n.notify()
	}
}

// notify wakes the dialers. The caller holds n.mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

type dialer struct {
	addr   string
	cancel context.CancelFunc
}

// SetPeers replaces the list of instances to keep connections with. Connections with instances that
// are no longer listed stay open until they break, because the list can lag.
func (n *Node) SetPeers(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return
	}
	wanted := make(map[string]bool)
	for _, p := range peers {
		if p.Instance == n.cfg.Session.Instance() {
			continue
		}
		wanted[p.Instance] = true
		n.setDialer(p)
	}
	for instance, d := range n.dialers {
		if !wanted[instance] {
			d.cancel()
			delete(n.dialers, instance)
		}
	}
}

func (n *Node) setDialer(p Peer) {
	if d := n.dialers[p.Instance]; d != nil {
		if d.addr == p.Addr {
			return
		}
		d.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.dialers[p.Instance] = &dialer{addr: p.Addr, cancel: cancel}
	n.wg.Go(func() { n.dialLoop(ctx, p) })
}

// dialLoop keeps a connection with one instance.
func (n *Node) dialLoop(ctx context.Context, p Peer) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = n.cfg.MinBackoff
	wait.MaxInterval = n.cfg.MaxBackoff
	for ctx.Err() == nil {
		n.waitMissing(ctx, p.Instance)
		if !n.dialsFirst(p.Instance) && n.waitConnected(ctx, p.Instance, dialGrace) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		start := time.Now()
		err := n.dial(ctx, p)
		if err == nil && time.Since(start) > n.cfg.MaxBackoff {
			wait.Reset()
		}
		if err != nil && ctx.Err() == nil {
			n.cfg.Log.WithFields(logrus.Fields{"peer": p.Instance, "reason": err.Error()}).Debug("peer dial failed")
		}
		sleep(ctx, wait.NextBackOff())
	}
}

// dial connects and serves the connection until it ends. It returns nil if there was a connection.
func (n *Node) dial(ctx context.Context, p Peer) error {
	nc, hello, err := n.connect(ctx, p.Addr)
	if err != nil {
		return err
	}
	if hello.Session.Instance() != p.Instance {
		_ = nc.Close()
		return fmt.Errorf("%s at %s: %w", hello.Session, p.Addr, ErrWrongSession)
	}
	n.serveConn(nc, hello, true)
	return nil
}

// connect opens a connection and authenticates both sides.
func (n *Node) connect(ctx context.Context, addr string) (net.Conn, wire.Hello, error) {
	dctx, cancel := context.WithTimeout(ctx, n.cfg.HandshakeTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(dctx, "tcp", addr)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	nc, hello, err := n.dialHandshake(dctx, raw)
	if err != nil {
		_ = raw.Close()
		n.cfg.Log.WithFields(logrus.Fields{"remote": addr, "reason": err.Error()}).Warn("peer handshake failed")
		return nil, wire.Hello{}, err
	}
	return nc, hello, nil
}

// DialSeed connects with whatever instance listens at an address, and serves the connection until it ends.
// It is for instances that don't know their peers yet.
func (n *Node) DialSeed(ctx context.Context, addr string) error {
	nc, hello, err := n.connect(ctx, addr)
	if err != nil {
		return err
	}
	if !n.start(func() { n.serveConn(nc, hello, true) }) {
		_ = nc.Close()
	}
	return nil
}

// waitMissing returns when there is no connection with the instance or the context ends.
func (n *Node) waitMissing(ctx context.Context, instance string) {
	n.waitUntil(ctx, instance, false)
}

// waitConnected returns true when a connection with the instance appeared in time.
func (n *Node) waitConnected(ctx context.Context, instance string, timeout time.Duration) bool {
	wctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.waitUntil(wctx, instance, true)
}

func (n *Node) waitUntil(ctx context.Context, instance string, connected bool) bool {
	for {
		n.mu.Lock()
		_, ok := n.conns[instance]
		changed := n.changed
		n.mu.Unlock()
		if ok == connected {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
