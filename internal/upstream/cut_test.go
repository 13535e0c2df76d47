package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutServer starts a server that answers the request "0" completely, keeps the connection, and answers every other
// request with the next text that it takes from texts, after which it closes the connection.
func cutServer(t *testing.T, texts <-chan string, reset bool) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				_ = c.Close()
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Header.Get("Id") != "0" {
				_, _ = io.WriteString(c, <-texts)
				closeConn(c, reset)
				return
			}
			_, _ = io.WriteString(c, reply("0", "first"))
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// get sends a request and returns the body of its response.
func get(p *Pool, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, Request{
		Method: "POST", URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Discard()
		return "", err
	}
	resp.Reuse()
	return string(body), nil
}

// Guards against a response that was cut off at any byte, in its head too, and is taken for a whole one with an empty
// or a shorter body. Only a response without length or chunks may end with its connection, after its head and not by a
// reset.
func TestResponsesCutAtEachByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, text := range map[string]string{
		"length":        head + "Content-Length: 12\r\nServer: s\r\n\r\ntwelve bytes",
		"length 0":      head + "Content-Length: 0\r\n\r\n",
		"chunked":       head + "Transfer-Encoding: chunked\r\n\r\nc;x=y\r\ntwelve bytes\r\n10\r\nsixteen bytes ..\r\n0\r\n\r\n",
		"trailers":      head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4\r\nfour\r\n0\r\nT: 1\r\nU: 2\r\n\r\n",
		"without":       head + "Server: s\r\n\r\nends with its connection",
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nends with its connection",
		"close":         head + "Connection: close\r\n\r\nends with its connection",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"no body":       "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	} {
		headEnd := strings.LastIndex(text, "\r\n\r\n") + 4
		withoutLength := strings.Contains(text, "ends with its connection")
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/reset=%t/kept=%t", name, reset, kept), func(t *testing.T) {
					texts := make(chan string, 1)
					addr := cutServer(t, texts, reset)
					for n := range len(text) + 1 {
						p := NewPool(nil)
						if kept {
							_, err := get(p, addr, "0")
							must.NoError(t, err)
						}
						texts <- text[:n]
						body, err := get(p, addr, "1")
						must.Eq(t, 1, p.Dials())
						must.False(t, p.HasIdle(addr) && withoutLength)
						switch {
						case withoutLength && n >= headEnd && !reset:
							must.NoError(t, err)
							must.Eq(t, text[headEnd:n], body)
						case n < len(text) || withoutLength:
							must.Error(t, err, must.Sprintf("%q as a response with the body %q", text[:n], body))
							must.False(t, errors.Is(err, ErrNotSent)) // the endpoint may have executed the request
						default:
							must.NoError(t, err)
						}
					}
				})
			}
		}
	}
}

// Responses whose framing is ambiguous or invalid are not used.
func TestInvalidFraming(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: 4, 5\r\n", "Content-Length: -1\r\n", "Content-Length: +4\r\n",
		"Content-Length:\r\n", "Content-Length: 0x4\r\n", "Content-Length: 99999999999999999999\r\n",
		"Content-Length: 9223372036854775807\r\n", // valid, but the body is short
		"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding:\r\n",
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", // chunks count, and the body has none
		" folded: x\r\n", "no colon\r\n",
		"Content-Length : 9\r\n", "Transfer-Encoding : chunked\r\n", // ignored by net/http
	} {
		texts := make(chan string, 1)
		texts <- "HTTP/1.1 200 OK\r\n" + fields + "Id: 1\r\n\r\nfour"
		body, err := get(NewPool(nil), cutServer(t, texts, false), "1")
		must.Error(t, err, must.Sprintf("%q accepted with the body %q", fields, body))
		must.False(t, errors.Is(err, ErrNotSent))
	}
}

// Guards against bytes behind a response that must have no body being taken for the next response.
func TestBodiesWhereNoneMayBe(t *testing.T) {
	for _, tc := range []struct{ method, status string }{{"HEAD", "200 OK"}, {"GET", "204 No Content"}, {"GET", "304 Not Modified"}} {
		addr, conns := script(t, "HTTP/1.1 "+tc.status+"\r\nContent-Length: 4\r\n\r\nbody", reply("", "next"))
		p := NewPool(nil)
		for n, want := range []string{"", "next"} {
			method := tc.method
			if n > 0 {
				method = "GET"
			}
			resp, err := p.Do(t.Context(), addr, Request{Method: method, URI: "/", Host: "h", Header: http.Header{},
				Matches: func(int, http.Header, bool) bool { return true }})
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, want, string(body))
			resp.Reuse()
		}
		must.Eq(t, 2, conns())
	}
}
