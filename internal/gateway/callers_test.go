package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/memory"
	"ragwortstile/internal/routing"
)

const testBodyBytes = 1 << 20

// bareProtocol knows no headers.
type bareProtocol struct{ Protocol }

func (bareProtocol) EncodeRefusal(http.Header, string, time.Duration) {}

// holder serves requests up to the end of the hold stage, and answers with the body.
type holder struct {
	g        *Gateway
	server   *http.Server
	lifetime time.Duration // of a request
	holding  chan struct{} // if not nil, a held request waits until it is closed
}

func newHolder(t testing.TB, s Settings) *holder {
	log := logrus.New()
	log.SetOutput(io.Discard)
	account := memory.NewAccount(accountBytes(s.MemoryBytes, maxCallerConns(s.MemoryBytes, s.MaxFDs)))
	metrics := newInstanceMetrics()
	h := &holder{lifetime: 10 * time.Second}
	h.g = &Gateway{account: account, metrics: metrics, protocol: bareProtocol{}, callers: newCallers(s, account, metrics, log), log: log}
	h.server = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: h.g.callers.connContext,
		ConnState: h.g.callers.connState,
	}
	t.Cleanup(func() { _ = h.server.Close() })
	return h
}

// ServeHTTP implements http.Handler.
func (h *holder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	headRead(r.Context())
	q := &request{
		g: h.g, w: w, r: r, limits: routing.Limits{BodyBytes: testBodyBytes}, start: time.Now(), deadline: time.Now().Add(h.lifetime), log: h.g.log,
	}
	defer q.release()
	if rejected := q.hold(); rejected != nil {
		q.reject(rejected)
		return
	}
	if h.holding != nil {
		<-h.holding
	}
	if _, err := w.Write(q.body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// listen serves on a loopback address, which it returns.
func (h *holder) listen(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = h.server.Serve(callerListener{Listener: l, callers: h.g.callers}) }() // ends with the test
	return l.Addr().String()
}

func (h *holder) held() int64 {
	sum := int64(0)
	for _, k := range memory.AllKinds() {
		sum += h.g.account.Held(k)
	}
	return sum
}

// returnsAll checks that all bytes come back to the account.
func (h *holder) returnsAll(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); h.held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held", h.held())
		}
	}
}

var testSettings = Settings{MemoryBytes: 88 << 20, MaxFDs: 3075}

func dial(t testing.TB, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	return c
}

func readResponse(t testing.TB, c net.Conn) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	return resp
}

// Guards against a body that is changed by the way in which it grows, at the sizes where that way changes.
func TestBodiesOfAllSizes(t *testing.T) {
	h := newHolder(t, testSettings)
	addr := h.listen(t)
	for _, size := range []int{
		0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, chunkBytes - 1, chunkBytes, chunkBytes + 1,
		3*chunkBytes - 1, 3 * chunkBytes, testBodyBytes - 1, testBodyBytes,
	} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i>>8*31 + i)
		}
		for name, reader := range map[string]io.Reader{"announced": bytes.NewReader(body), "chunks": io.MultiReader(bytes.NewReader(body))} {
			resp, err := http.Post("http://"+addr, "", reader)
			must.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.True(t, bytes.Equal(body, got), must.Sprint(name, size, resp.Status))
		}
	}
	h.returnsAll(t)
}

// Guards against a refusal that its caller does not get, because it comes while the body is still being sent.
func TestRefusalsReachCallersThatAreSending(t *testing.T) {
	h := newHolder(t, testSettings)
	addr := h.listen(t)
	for name, text := range map[string]string{
		"announced, nothing sent":           fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testBodyBytes+1),
		"announced, a part sent":            fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 4*testBodyBytes, strings.Repeat("x", testBodyBytes/2)),
		"in one chunk over the limit":       fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", 4*testBodyBytes, strings.Repeat("x", testBodyBytes*3/2)),
		"a body that the caller asks about": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testBodyBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, addr)
			_, err := io.WriteString(c, text)
			must.NoError(t, err)
			resp := readResponse(t, c)
			must.Eq(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
			must.True(t, resp.Close)
			_, err = c.Read(make([]byte, 1))
			must.ErrorIs(t, err, io.EOF) // not a reset
		})
	}
	h.returnsAll(t)
}

// Guards against a caller that is refused for memory without a status, or that keeps its memory: a body without
// progress goes when memory is short, and one with progress takes its place.
func TestStalledBodiesMakeRoom(t *testing.T) {
	h := newHolder(t, Settings{MemoryBytes: 8 << 20}) // requests get 1 MB
	addr := h.listen(t)
	var stalled []net.Conn
	for range 3 {
		c := dial(t, addr)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<18, strings.Repeat("x", 1<<18-1))
		must.NoError(t, err)
		stalled = append(stalled, c)
	}
	for h.held() < 3<<18 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(memory.StallTime)
	resp, err := http.Post("http://"+addr, "", strings.NewReader(strings.Repeat("y", 1<<18)))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)
	refused := readResponse(t, stalled[0])
	for _, c := range stalled[1:] {
		_ = c.Close()
	}
	must.Eq(t, http.StatusServiceUnavailable, refused.StatusCode)
	h.returnsAll(t)
}

// Guards against a body whose caller has stopped sending and that is held for ever.
func TestBodyEndsWithTheTimeOfItsRequest(t *testing.T) {
	h := newHolder(t, testSettings)
	h.lifetime = 100 * time.Millisecond
	c := dial(t, h.listen(t))
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, readResponse(t, c).StatusCode)
	h.returnsAll(t)
}

// Guards against a deadline of a body that outlives it and ends a later request on the same connection, or the request
// itself.
func TestConnectionIsUsedAgainAfterABody(t *testing.T) {
	h := newHolder(t, testSettings)
	h.lifetime = 300 * time.Millisecond
	c := dial(t, h.listen(t))
	reader := bufio.NewReader(c)
	for range 3 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy")
		must.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "xy", string(body))
		time.Sleep(2 * h.lifetime)
	}
	h.returnsAll(t)
}

// Guards against a bound on connections that closes those in use: silent connections go first, then idle ones, and with
// neither the new one is refused.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	h := newHolder(t, Settings{MemoryBytes: 88 << 20, MaxFDs: 8})
	must.Eq(t, 3, h.g.callers.max)
	h.holding = make(chan struct{})
	addr := h.listen(t)
	const text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	connect := func(text string, held int) net.Conn {
		c := dial(t, addr)
		_, err := io.WriteString(c, text)
		must.NoError(t, err)
		for h.g.account.Held(memory.Waiting) < int64(held)*firstBufferBytes {
			time.Sleep(time.Millisecond)
		}
		return c
	}
	count := func(n int) {
		for h.g.callers.count() != n {
			time.Sleep(time.Millisecond)
		}
	}
	first := connect(text, 1)
	silent := connect("", 1)
	count(2)
	second := connect(text, 2)
	third := connect(text, 3)
	must.Eq(t, 3, h.g.callers.count())
	_, err := silent.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, isTimeout(err))
	refused := dial(t, addr)
	_, err = refused.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, isTimeout(err))
	close(h.holding)
	for _, c := range []net.Conn{first, second, third} {
		must.Eq(t, http.StatusOK, readResponse(t, c).StatusCode)
	}
	for n := 0; n < 3; { // until the server has noticed that the connections are idle
		h.g.callers.mu.Lock()
		n = 0
		for c := range h.g.callers.conns {
			if c.phase == phaseIdle {
				n++
			}
		}
		h.g.callers.mu.Unlock()
	}
	must.Eq(t, http.StatusOK, readResponse(t, connect(text, 0)).StatusCode)
	count(3)
	h.returnsAll(t)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against bounds that the smallest and the largest machine do not fit, and against an account in which a body of
// the largest size does not fit twice: while it is joined.
func TestBoundsOfMachines(t *testing.T) {
	for _, m := range []struct {
		mb, fds, conns int
	}{{88, 3075, 1408}, {120, 3075, 1920}, {536, 10250, 7537}, {128, 0, 2048}, {88, 100, 37}} {
		conns := maxCallerConns(int64(m.mb)<<20, m.fds)
		must.Eq(t, m.conns, conns)
		must.Greater(t, 2*(4<<20)*8/7, accountBytes(int64(m.mb)<<20, conns))
	}
}

// pipeListener accepts connections within the process.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error {
	close(l.conns)
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// Fuzzes what callers send, up to the end of the hold stage. Whatever it is, and wherever it ends, the server goes on
// and all bytes come back to the account.
func FuzzRequests(f *testing.F) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		"", "\r\n", "GET / HTTP/1.1\r\n\r\n", head, head + "Content-Length: 3\r\n\r\nabc", head + "Content-Length: 3\r\n\r\nab",
		head + "Content-Length: 3\r\n\r\nabc" + head + "Content-Length: 9\r\n\r\nabc", head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + "Content-Length: 2000000\r\n\r\nabc", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\n", head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "POST / HTTP/1.0\r\n\r\nabc", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), uint16(7))
	}
	h := newHolder(f, Settings{MemoryBytes: 8 << 20})
	l := pipeListener{conns: make(chan net.Conn)}
	go func() { _ = h.server.Serve(callerListener{Listener: l, callers: h.g.callers}) }() // ends with the test
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		caller, served := net.Pipe()
		l.conns <- served
		go func() { _, _ = io.Copy(io.Discard, caller) }() // ends when the connection is closed
		for len(data) > 0 {
			n := min(len(data), max(int(piece), 1))
			if _, err := caller.Write(data[:n]); err != nil {
				break // the server has closed the connection
			}
			data = data[n:]
		}
		_ = caller.Close()
		for h.g.callers.count() > 0 {
			time.Sleep(10 * time.Microsecond)
		}
		h.returnsAll(t)
	})
}

// Guards against heads that arrive slowly and use up the memory of heads, so that nobody else's request is read.
func TestSlowHeadsMakeRoom(t *testing.T) {
	h := newHolder(t, Settings{MemoryBytes: 8 << 20}) // heads get 256 KB
	addr := h.listen(t)
	for range 7 {
		c := dial(t, addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 14<<10))
		must.NoError(t, err)
	}
	for h.held() < 7*headCopies*14<<10 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(memory.StallTime)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader("x"))
	must.NoError(t, err)
	req.Header.Set("A", strings.Repeat("x", 14<<10))
	resp, err := client.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// slowConn is a connection on which each write ends at its deadline, after some bytes.
type slowConn struct {
	net.Conn
	perWrite []int
}

func (c *slowConn) SetWriteDeadline(time.Time) error { return nil }
func (c *slowConn) RemoteAddr() net.Addr             { return &net.UnixAddr{} }

func (c *slowConn) Write(p []byte) (int, error) {
	if len(c.perWrite) == 0 {
		return len(p), nil
	}
	n := c.perWrite[0]
	c.perWrite = c.perWrite[1:]
	return n, os.ErrDeadlineExceeded
}

// Guards against a caller that reads slowly and loses its response, and against one that does not read and is never
// given up.
func TestSlowReaders(t *testing.T) {
	h := newHolder(t, testSettings)
	write := func(perWrite ...int) (int, error) {
		c := &callerConn{Conn: &slowConn{perWrite: perWrite}, callers: h.g.callers, head: h.g.account.Open(memory.Heads, time.Now(), nil)}
		return c.Write(make([]byte, 1<<20))
	}
	n, err := write(minWriteBytes, 2*minWriteBytes, minWriteBytes)
	must.NoError(t, err)
	must.Eq(t, 1<<20, n)
	n, err = write(minWriteBytes, minWriteBytes-1)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.Eq(t, 2*minWriteBytes-1, n)
}
