package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// script starts a server that answers each request with the next of texts; "" closes the connection instead. conns
// returns the number of connections accepted.
func script(t *testing.T, texts ...string) (addr string, conns func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	next, count := make(chan string, len(texts)), make(chan int, 1)
	for _, text := range texts {
		next <- text
	}
	count <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count <- <-count + 1
			go serveScript(c, next)
		}
	}()
	return l.Addr().String(), func() int {
		n := <-count
		count <- n
		return n
	}
}

func serveScript(c net.Conn, next chan string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := <-next
		if text == "" {
			return
		}
		_, _ = io.WriteString(c, text)
		if strings.HasSuffix(text, "<close>") {
			return
		}
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(t *testing.T, p *Pool, addr, id string) (string, *Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	resp, err := p.Do(ctx, addr, Request{
		Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("body"),
		Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Discard()
		return "", nil, err
	}
	return string(body), resp, nil
}

func TestConnectionIsUsedAgain(t *testing.T) {
	addr, conns := script(t, reply("1", "one"), reply("2", "two"))
	p := NewPool(nil)
	for _, id := range []string{"1", "2"} {
		_, resp, err := send(t, p, addr, id)
		must.NoError(t, err)
		resp.Reuse()
	}
	must.Eq(t, 1, conns())
	must.Eq(t, int64(1), p.Dials())
}

// Guards against a duplicate response being taken for the response to the next request. An endpoint sends it
// either at once, so that the connection must not be reused, or late, so that it arrives before the next
// request's response and must be skipped.
func TestDuplicateResponses(t *testing.T) {
	addr, conns := script(t, reply("1", "one")+reply("1", "one"), reply("2", "two"))
	p := NewPool(nil)
	_, resp, err := send(t, p, addr, "1")
	must.NoError(t, err)
	resp.Reuse()
	time.Sleep(20 * time.Millisecond)
	body, resp, err := send(t, p, addr, "2")
	must.NoError(t, err)
	must.Eq(t, "two", body)
	resp.Reuse()
	must.Eq(t, 2, conns())

	addr, _ = script(t, reply("1", "late")+reply("3", "mine"))
	body, _, err = send(t, p, addr, "3")
	must.NoError(t, err)
	must.Eq(t, "mine", body)
}

// Guards against a response on a kept connection being taken for one that cannot be a copy of an earlier response.
func TestFirstResponseOnAConnection(t *testing.T) {
	addr, conns := script(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+reply("1", "one"), reply("1", "late")+reply("2", "two"))
	p := NewPool(nil)
	var first []bool
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(t.Context(), addr, Request{
			Method: "GET", URI: "/x", Host: "h", Header: http.Header{},
			Matches: func(_ int, h http.Header, f bool) bool {
				first = append(first, f)
				return h.Get("Id") == id
			},
		})
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		resp.Reuse()
	}
	must.Eq(t, 1, conns())
	must.Eq(t, []bool{true, false, false}, first)
}

// Guards against a wait until the deadline for the response behind one to another request that lasts until its
// connection ends.
func TestForeignResponseWithoutEnd(t *testing.T) {
	addr, _ := script(t, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\n\r\nfull"+reply("2", "two"))
	begun := time.Now()
	_, _, err := send(t, NewPool(nil), addr, "2")
	must.ErrorIs(t, err, errForeign)
	must.Less(t, time.Second, time.Since(begun))
}

func TestIncompleteResponses(t *testing.T) {
	for _, text := range []string{"", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 90\r\n\r\nfour<close>"} {
		addr, _ := script(t, text)
		_, _, err := send(t, NewPool(nil), addr, "1")
		must.Error(t, err)
		must.False(t, strings.Contains(err.Error(), ErrNotSent.Error()))
	}
}

func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	_, _, err = send(t, NewPool(nil), addr, "1")
	must.ErrorIs(t, err, ErrNotSent)
}

// Guards against a request that is lost because it is sent on an idle connection that the endpoint has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	addr, conns := script(t, reply("1", "one"), reply("2", "two"))
	p := NewPool(nil)
	_, resp, err := send(t, p, addr, "1")
	must.NoError(t, err)
	resp.Reuse()
	for _, idle := range p.idle {
		_ = idle[0].Conn.(*net.TCPConn).CloseRead()
	}
	_, _, err = send(t, p, addr, "2")
	must.NoError(t, err)
	must.Eq(t, 2, conns())
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=0": 0} {
		got, ok := keepAliveTimeout(text)
		must.True(t, ok)
		must.Eq(t, want, got)
	}
	_, ok := keepAliveTimeout("timeout=x")
	must.False(t, ok)
}
