package server

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an unlimited number of connections: one above the limit must be closed, and closing
// one must make room for another.
func TestConnectionsAreLimited(t *testing.T) {
	t.Parallel()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer raw.Close()
	l := &limitListener{Listener: raw, sem: make(chan struct{}, 2)}
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", raw.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	refused := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		netErr, isNet := err.(net.Error)
		return err != nil && (!isNet || !netErr.Timeout())
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	must.True(t, refused(dial()))
	must.NoError(t, first.Close())
	_ = first.Close() // a second close must not free another place
	dial()
	select {
	case <-accepted:
	case <-time.After(5 * time.Second):
		t.Fatal("closing a connection made no room for another")
	}
	must.True(t, refused(dial()))
}
