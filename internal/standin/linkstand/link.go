// Package linkstand is a stand-in for a network link of limited bandwidth in tests.
package linkstand

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// segmentBytes is the part in which the connections of a Link share it.
const segmentBytes = 4 << 10

// Link is a network link of limited bandwidth to a TCP server. All connections share it, in each direction.
type Link struct {
	Addr string // IP address and port at which the server is reached through the link

	listener net.Listener
	target   string
	up, down bandwidth
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// bandwidth delays data to a rate.
type bandwidth struct {
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time // when the data so far has passed
}

// pass waits until n more bytes have passed.
func (b *bandwidth) pass(n int) {
	b.mu.Lock()
	if now := time.Now(); b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.bytesPerSecond * float64(time.Second)))
	until := b.free
	b.mu.Unlock()
	time.Sleep(time.Until(until))
}

// New starts a link to a server and closes it at the end of the test.
func New(t testing.TB, target string, mbitPerSecond float64) *Link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	rate := mbitPerSecond * 1e6 / 8
	l := &Link{
		Addr: listener.Addr().String(), listener: listener, target: target, conns: make(map[net.Conn]bool),
		up: bandwidth{bytesPerSecond: rate}, down: bandwidth{bytesPerSecond: rate},
	}
	go l.accept()
	t.Cleanup(l.close)
	return l
}

func (l *Link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		if !l.add(from, to) {
			return
		}
		go l.forward(to, from, &l.up)
		go l.forward(from, to, &l.down)
	}
}

// add notes the connections that close ends. It closes them and returns false if the link is closed.
func (l *Link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = true
		if l.closed {
			_ = c.Close()
		}
	}
	return !l.closed
}

// forward passes data on until one side ends. It closes both, since HTTP needs no half-closed connections.
func (l *Link) forward(to, from net.Conn, b *bandwidth) {
	defer l.end(to, from)
	segment := make([]byte, segmentBytes)
	for {
		n, err := from.Read(segment)
		b.pass(n)
		if _, writeErr := to.Write(segment[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (l *Link) end(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

func (l *Link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.Close()
	}
}
