package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// flood starts a server that answers a request with a text and then with another one, repeated with a pause until
// the caller closes. sent returns the number of bytes that it wrote.
func flood(t *testing.T, text, repeated string, pause time.Duration) (addr string, sent func() int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var total atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				if _, err := c.Read(buf); err != nil {
					return
				}
				again := []byte(repeated)
				n, err := io.WriteString(c, text)
				for err == nil {
					total.Add(int64(n))
					time.Sleep(pause)
					n, err = c.Write(again)
				}
			}()
		}
	}()
	return l.Addr().String(), total.Load
}

const (
	okHead     = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	chunkStart = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against an endpoint that sends bytes without end until its caller closes: the request has to fail soon,
// with a short error, and the memory that it takes has to stay bounded.
func TestFloods(t *testing.T) {
	filler := strings.Repeat("x", 1<<10)
	for name, tc := range map[string]struct{ text, repeated string }{
		"no line end":       {"", filler},
		"blank lines":       {"", "\r\n"},
		"header lines":      {okHead, "A: " + filler + "\r\n"},
		"one header line":   {okHead + "A: ", filler},
		"informational":     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"other requests":    {"", reply("2", filler)},
		"body of another":   {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", filler},
		"chunk extension":   {chunkStart + "4;", filler},
		"chunk size":        {chunkStart, "0"},
		"trailer":           {chunkStart + "0\r\n", "A: " + filler + "\r\n"},
		"trailer, one line": {chunkStart + "0\r\nA: ", filler},
	} {
		t.Run(name, func(t *testing.T) {
			addr, sent := flood(t, tc.text, tc.repeated, 0)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, _, err := send(t, NewPool(nil), addr, "1")
			runtime.ReadMemStats(&after)
			must.Error(t, err)
			must.Less(t, 2*time.Second, time.Since(start)) // the deadline of the request
			must.Less(t, 200, len(err.Error()))
			must.Less(t, 4<<20, sent())                                       // socket buffers included
			must.Less(t, 16*maxHeadBytes, after.TotalAlloc-before.TotalAlloc) // garbage of growing buffers included
		})
	}
}

// Guards against an endpoint that keeps a request open by sending a byte of its head now and then.
func TestTricklingHead(t *testing.T) {
	addr, _ := flood(t, okHead, "A", 50*time.Millisecond)
	start := time.Now()
	_, _, err := send(t, NewPool(nil), addr, "1")
	must.Error(t, err)
	must.Less(t, maxHeadDuration+500*time.Millisecond, time.Since(start))
}

// An endpoint may work for longer than maxHeadDuration before it sends the head, and pause as long within the body.
func TestSlowResponses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		for _, part := range []string{okHead[:10], okHead[10:] + "Content-Length: 2\r\n\r\n", "a", "b"} {
			time.Sleep(maxHeadDuration * 6 / 10)
			_, _ = io.WriteString(c, part)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := NewPool(nil).Do(ctx, l.Addr().String(), Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{},
		Matches: func(int, http.Header, bool) bool { return true }})
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "ab", string(body))
	resp.Discard()
}

// A response to another request is skipped up to the bound of its size, and fails the request above it.
func TestForeignBodyAtItsBound(t *testing.T) {
	for size, ok := range map[int]bool{maxForeignBytes: true, maxForeignBytes + 1: false} {
		addr, _ := script(t, reply("2", strings.Repeat("x", size))+reply("1", "mine"))
		body, _, err := send(t, NewPool(nil), addr, "1")
		if !ok {
			must.ErrorIs(t, err, errForeign)
			must.StrNotContains(t, err.Error(), "%!w")
			continue
		}
		must.NoError(t, err, must.Sprint(fmt.Sprint(size)))
		must.Eq(t, "mine", body)
	}
}

// Guards against a sound endpoint that takes nothing for a second being cut off in the middle of a request.
func TestEndpointThatIsSilentForASecond(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(1300 * time.Millisecond)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, reply("1", strconv.FormatInt(n, 10)))
	}()
	body := make([]byte, 32<<20) // more than the buffers of a connection hold
	resp, err := NewPool(nil).Do(t.Context(), l.Addr().String(), Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: body, Matches: func(int, http.Header, bool) bool { return true },
	})
	must.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, strconv.Itoa(len(body)), string(text))
	resp.Discard()
}
