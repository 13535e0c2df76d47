package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/memory"
)

const (
	// fileDescriptors of limits.max_fds are left for files, or half of them if there are fewer than twice as many.
	fileDescriptors = 200
	// callerConnsPercent of the others are for callers. The rest is for endpoints, peers and the store.
	callerConnsPercent = 75
	// bytesPerCallerConn is the memory of the machine for each connection of a caller, which bounds their number.
	bytesPerCallerConn = 64 << 10
	// connBytes is what a connection takes by itself: its goroutine, its buffers and its state.
	connBytes = 12 << 10
	// headBytes is what a request takes from its first byte on, besides its head: buffers and the stack that it needs.
	headBytes = 4 << 10
	// headCopies is the number of times that a head is in memory while it is parsed.
	headCopies = 2

	// slowHeadTime is the time after which the head of a request may be given up for a new connection. Callers inside
	// the limits send it within header_timeout_ms.
	slowHeadTime = 3 * time.Second

	// writeStallTime is how long a caller may take to read minWriteBytes, or the rest, of what is written to it. It is
	// longer than the pause of a caller whose link is cut for several seconds and whose packets are then sent again.
	writeStallTime = 20 * time.Second
	minWriteBytes  = 4 << 10

	// kernelBufferBytes is the size of the send and receive buffer of a connection. The kernel lets them grow to several
	// MB otherwise, for each caller that does not read. It keeps 20 MB/s at a round trip of 6 ms.
	kernelBufferBytes = 128 << 10

	// processBytes is what the process needs without callers.
	processBytes = 16 << 20
	// heapPercent of the memory of the machine may be used by the Go runtime (see memoryLimitShare of the command).
	heapPercent = 60
	// minAccountFraction is the fraction of the memory that requests get at least.
	minAccountFraction = 8
)

var errHeadMemory = errors.New("no memory for the head of a request")

// maxCallerConns returns the bound of the connections of callers. maxFDs is 0 if the settings name no limit.
func maxCallerConns(memoryBytes int64, maxFDs int) int {
	n := int(memoryBytes / bytesPerCallerConn)
	if maxFDs > 0 {
		n = min(n, (maxFDs-min(fileDescriptors, maxFDs/2))*callerConnsPercent/100)
	}
	return max(n, 1)
}

// accountBytes returns what requests may hold together: what the Go runtime may use, less the process's own memory and
// that of the connections.
func accountBytes(memoryBytes int64, conns int) int64 {
	return max(memoryBytes*heapPercent/100-processBytes-int64(conns)*connBytes, memoryBytes/minAccountFraction)
}

// callers bounds the connections of callers and follows what they do. It is safe for concurrent use.
type callers struct {
	account *memory.Account
	metrics *instanceMetrics
	log     logrus.FieldLogger
	max     int

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newCallers(s Settings, account *memory.Account, metrics *instanceMetrics, log logrus.FieldLogger) *callers {
	return &callers{account: account, metrics: metrics, log: log, max: maxCallerConns(s.MemoryBytes, s.MaxFDs), conns: make(map[*callerConn]struct{})}
}

func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// callerListener is a listener whose connections are followed by callers.
type callerListener struct {
	net.Listener
	callers *callers
}

// Accept implements net.Listener. At the bound of the connections an idle one is closed for the new one. If there is
// none, the new one is closed.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.callers.admit(raw); conn != nil {
			return conn, nil
		}
	}
}

// admit returns the followed connection, or closes it and returns nil.
func (c *callers) admit(raw net.Conn) *callerConn {
	if tcp, ok := raw.(interface {
		SetReadBuffer(int) error
		SetWriteBuffer(int) error
	}); ok {
		if err := errors.Join(tcp.SetReadBuffer(kernelBufferBytes), tcp.SetWriteBuffer(kernelBufferBytes)); err != nil {
			c.log.WithField("reason", err.Error()).Debug("buffers of a caller's connection not set")
		}
	}
	conn := &callerConn{Conn: raw, callers: c, phase: phaseSilent, since: time.Now()}
	conn.head = c.account.Open(memory.Heads, conn.since, nil)
	c.mu.Lock()
	var idle *callerConn
	full := len(c.conns) >= c.max
	if full {
		idle = c.mostIdle()
	}
	if !full || idle != nil {
		c.conns[conn] = struct{}{}
	}
	if idle != nil {
		delete(c.conns, idle)
	}
	c.mu.Unlock()
	if !full {
		return conn
	}
	victim, reason := net.Conn(idle), "idle_closed"
	if idle == nil {
		victim, reason = raw, "refused"
	}
	c.metrics.connectionRefused(reason)
	c.log.WithFields(logrus.Fields{"reason": reason, "count": c.max}).Info("too many connections of callers")
	if err := victim.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		c.log.WithField("reason", err.Error()).Info("caller's connection not closed")
	}
	if idle == nil {
		return nil
	}
	return conn
}

// mostIdle returns the connection to close first: one that has never sent anything, otherwise one that is kept alive,
// otherwise one whose head takes longer than slowHeadTime. Among several it is the one that has been so for the longest
// time. The caller holds the lock.
func (c *callers) mostIdle() *callerConn {
	var best *callerConn
	var bestRank phase
	for conn := range c.conns {
		if conn.phase == phaseRequest || conn.phase == phaseHead && time.Since(conn.since) < slowHeadTime {
			continue
		}
		rank := conn.phase
		if rank == phaseSilent && time.Since(conn.since) < slowHeadTime {
			rank = phaseRequest // its request may be on the way
		}
		if best == nil || rank < bestRank || rank == bestRank && conn.since.Before(best.since) {
			best, bestRank = conn, rank
		}
	}
	return best
}

// evictHeads closes the connections whose heads have been arriving for the longest time, and for at least
// memory.StallTime, until need bytes are free for the head on another connection. It reports whether they are granted.
func (c *callers) evictHeads(arriving *callerConn, need int64) bool {
	for {
		var oldest *callerConn
		c.mu.Lock()
		for conn := range c.conns {
			if conn != arriving && conn.phase == phaseHead && time.Since(conn.since) >= memory.StallTime && (oldest == nil || conn.since.Before(oldest.since)) {
				oldest = conn
			}
		}
		c.mu.Unlock()
		if oldest == nil {
			return false
		}
		c.metrics.connectionRefused("slow_head")
		c.log.WithField("remote", oldest.RemoteAddr().String()).Info("connection closed: its head arrives slowly and memory is short")
		if err := oldest.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			c.log.WithField("reason", err.Error()).Info("caller's connection not closed")
		}
		if arriving.head.Try(need) {
			return true
		}
	}
}

// connState follows the states of the server.
func (c *callers) connState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		caller.head.Release()
		caller.set(phaseIdle)
	case http.StateHijacked, http.StateClosed:
		caller.forget()
	}
}

// callerKey is the context key of the connection of a request.
type callerKey struct{}

func (c *callers) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
}

// headRead notes that the head of a request has been read.
func headRead(ctx context.Context) {
	if conn, ok := ctx.Value(callerKey{}).(*callerConn); ok {
		conn.set(phaseRequest)
		conn.head.Keep(memory.Waiting)
	}
}

// phase is what a connection is used for.
type phase uint8

const (
	phaseSilent  phase = iota // nothing has arrived yet
	phaseIdle                 // kept alive after a request
	phaseHead                 // the head of a request arrives
	phaseRequest              // a request is being served
)

// callerConn is the connection of a caller. It charges the heads of requests to the account, and gives up callers that
// do not read their responses.
type callerConn struct {
	net.Conn
	callers *callers
	head    *memory.Grant // of the request in progress

	// protected by callers.mu
	phase phase
	since time.Time // of the phase
}

func (c *callerConn) set(p phase) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

func (c *callerConn) inHead(n int) (first, head bool) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	if n > 0 && c.phase <= phaseIdle {
		c.phase, c.since = phaseHead, time.Now()
		return true, true
	}
	return false, c.phase == phaseHead
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	first, head := c.inHead(n)
	if !head || n == 0 {
		return n, err
	}
	need := int64(n) * headCopies
	if first {
		c.head.Keep(memory.Heads)
		need += headBytes
	}
	if !c.head.Try(need) && !c.callers.evictHeads(c, need) && !c.waitForHead(need) {
		c.callers.metrics.connectionRefused("head_memory")
		c.callers.log.WithField("bytes", need).Info("connection closed: no memory for the head of a request")
		return 0, &net.OpError{Op: "read", Err: errHeadMemory} // the server answers other errors with status 400
	}
	return n, err
}

// Write implements net.Conn. A caller that reads slowly gets everything; one that has stopped is given up.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeStallTime)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case n < minWriteBytes:
			c.callers.metrics.slowCaller("response")
			c.callers.log.WithFields(logrus.Fields{"bytes": n, "remote": c.RemoteAddr().String()}).Info("caller does not read its response; connection given up")
			return written, fmt.Errorf("caller has not read for %s: %w", writeStallTime, err)
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.forget()
	return c.Conn.Close()
}

// forget ends the accounting of the connection.
func (c *callerConn) forget() {
	c.callers.mu.Lock()
	delete(c.callers.conns, c)
	c.callers.mu.Unlock()
	c.head.Release()
}

// CloseWrite shuts down the sending side, where the connection can do that.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what becomes of unsent data when the connection is closed, where the connection can do that.
func (c *callerConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// waitForHead revokes bodies without progress and waits for their bytes for a moment.
func (c *callerConn) waitForHead(need int64) bool {
	wait := c.head.Grow(need, time.Now())
	if wait == nil {
		return true
	}
	select {
	case <-wait.Granted():
		return true
	case <-time.After(memoryWait):
		return !c.callers.account.Cancel(wait)
	}
}
