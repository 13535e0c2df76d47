package server

import (
	"crypto/tls"
	"net"
	"sync"
	"time"
)

const (
	// maxCallerConns bounds the connections of callers. A connection takes about 20 KB, and the
	// control work of an instance may use 128 MB of memory.
	maxCallerConns = 4096
	// idleTimeout closes a caller's connection that is idle between two requests.
	idleTimeout = 2 * time.Minute
)

// limitListener accepts a connection only while fewer than its limit are open.
type limitListener struct {
	net.Listener
	sem chan struct{}
}

// newAPIListener returns the listener of the HTTP API, with TLS if it is configured.
func newAPIListener(l net.Listener, cfg *tls.Config) net.Listener {
	limited := &limitListener{Listener: l, sem: make(chan struct{}, maxCallerConns)}
	if cfg == nil {
		return limited
	}
	return tls.NewListener(limited, cfg)
}

// Accept implements net.Listener. A connection above the limit is closed at once: the load balancer
// then sees the refusal, and Accept still notices when the listener is closed.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.sem <- struct{}{}:
			return &limitedConn{Conn: c, release: func() { <-l.sem }}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitedConn releases its place in the semaphore when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
