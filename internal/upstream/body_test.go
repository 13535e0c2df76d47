package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// closeConn closes a connection with FIN, or with RST if reset is set.
func closeConn(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// earlyServer starts a server that answers a request before it has read more than the head, with a response that has no
// length. It then ends the connection as told.
func earlyServer(t *testing.T, end func(c *net.TCPConn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 64))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody")
		end(c.(*net.TCPConn))
	}()
	return l.Addr().String()
}

// Guards against a response that is reset while the request is still being written, and is taken for a whole one: the
// system reports a reset once, and the writer may get that report.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	const large = 16 << 20 // more than the socket buffers
	release := make(chan struct{})
	defer close(release)
	for name, tc := range map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset": {func(c *net.TCPConn) { closeConn(c, true) }, false},
		"closed with unread data, which resets it": {func(c *net.TCPConn) {
			time.Sleep(50 * time.Millisecond) // until data has arrived
			closeConn(c, false)
		}, false},
		"end, and the request is read": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
		"end, and the request waits":   {func(c *net.TCPConn) { _ = c.CloseWrite(); <-release }, true},
		"end, and then a reset": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond) // until the end has arrived
			closeConn(c, true)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := NewPool(nil).Do(ctx, earlyServer(t, tc.end), Request{
				Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, large),
				Matches: func(int, http.Header, bool) bool { return true },
			})
			must.NoError(t, err)
			defer resp.Discard()
			for wait := time.Now().Add(200 * time.Millisecond); len(resp.conn.bodyWritten) == 0 && time.Now().Before(wait); {
				time.Sleep(time.Millisecond) // the writer gets the report of the reset
			}
			body, err := io.ReadAll(resp.Body)
			must.Eq(t, "body", string(body))
			if tc.whole {
				must.NoError(t, err)
			} else {
				must.Error(t, err)
				must.True(t, BrokenOff(err))
			}
		})
	}
}
