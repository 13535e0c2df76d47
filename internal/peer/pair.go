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

// register makes c the current connection to its instance, unless the existing connection is kept. The
// connection that is not used for new exchanges stays open until its exchanges have ended, unless the
// peer has restarted. register returns false after shutdown.
func (n *Node) register(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return false
	}
	n.allConns[c] = true
	instance := c.remote.Session.Instance()
	old := n.conns[instance]
	if old != nil && n.keepsExisting(old, c) {
		c.retire()
		return true
	}
	if old != nil && old.remote.Session != c.remote.Session {
		go old.close(fmt.Errorf("%w: it restarted as %s", errReplaced, c.remote.Session))
	} else if old != nil {
		old.retire()
	}
	n.conns[instance] = c
	n.notifyChanged()
	return true
}

// keepsExisting reports whether the existing connection remains the current one. If both sides dialed at
// the same time, both keep the connection that the instance with the lower name dialed, so that they
// agree on one. Otherwise the newer connection is used, because the older one may be broken without this
// side having noticed.
func (n *Node) keepsExisting(old, c *conn) bool {
	if old.remote.Session != c.remote.Session {
		return false
	}
	if old.dialed == c.dialed || time.Since(old.created) > simultaneousDialWindow {
		return false
	}
	return old.dialed == n.dialsFirst(c.remote.Session.Instance())
}

// dialsFirst reports whether this instance is the one of the pair that normally dials.
func (n *Node) dialsFirst(instance string) bool { return n.cfg.Session.Instance() < instance }

func (n *Node) unregister(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.allConns, c)
	instance := c.remote.Session.Instance()
	if n.conns[instance] == c {
		delete(n.conns, instance)
		n.notifyChanged()
	}
}

// notifyChanged wakes the goroutines that wait for a change of n.conns. The caller holds n.mu.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// dialer is a running dialLoop for one instance.
type dialer struct {
	addr   string
	cancel context.CancelFunc
}

// SetPeers replaces the list of instances to stay connected to. Connections to instances that are no
// longer listed stay open until they break, because the list can be out of date.
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

// dialLoop dials one instance whenever there is no connection to it, until the context ends.
func (n *Node) dialLoop(ctx context.Context, p Peer) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = n.cfg.MinBackoff
	wait.MaxInterval = n.cfg.MaxBackoff
	for ctx.Err() == nil {
		n.waitDisconnected(ctx, p.Instance)
		if !n.dialsFirst(p.Instance) && n.waitConnected(ctx, p.Instance, dialDelay) {
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

// dial connects to an instance and serves the connection until it is closed. It returns nil if a
// connection was established.
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

// connect opens a TCP connection and runs the handshake, which authenticates both sides.
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

// DialSeed connects to whichever instance listens at an address and returns after the handshake. The
// connection is served in the background until it is closed. It is for an instance that does not know
// its peers yet.
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

// waitDisconnected returns when there is no connection to the instance or the context ends.
func (n *Node) waitDisconnected(ctx context.Context, instance string) {
	n.waitUntil(ctx, instance, false)
}

// waitConnected reports whether there is a connection to the instance before the timeout.
func (n *Node) waitConnected(ctx context.Context, instance string, timeout time.Duration) bool {
	wctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.waitUntil(wctx, instance, true)
}

// waitUntil waits until there is a connection to the instance, or none if connected is false. It returns
// false if the context ends first.
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
