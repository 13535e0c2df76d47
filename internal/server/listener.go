package server

import (
	"crypto/tls"
	"net"
	"sync"
	"time"
)

const (
	// maxCallerConns bounds the connections of callers. A connection takes about 20 KB, and 128 MB is
	// the bound of the control work of an instance.
	maxCallerConns = 4096
	// idleTimeout ends connections of callers between two requests.
	idleTimeout = 2 * time.Minute
)

// limitListener accepts a connection only while fewer than its limit are open.
type limitListener struct {
	net.Listener
	places chan struct{}
}

// newFrontListener returns the listener of the callers' front, with TLS if it is configured.
func newFrontListener(l net.Listener, cfg *tls.Config) net.Listener {
	limited := &limitListener{Listener: l, places: make(chan struct{}, maxCallerConns)}
	if cfg == nil {
		return limited
	}
	return tls.NewListener(limited, cfg)
}

// Accept implements net.Listener. A connection above the limit is closed at once, so that the
// balancer sees the refusal and a closed listener is noticed.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &limitedConn{Conn: c, release: func() { <-l.places }}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitedConn gives its place back when it is closed.
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
