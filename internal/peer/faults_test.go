package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

func testLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// rawPeer connects to a node as an authenticated peer and returns the connection, on which a test can
// write any bytes.
func rawPeer(t *testing.T, to *testNode, session id.Session) net.Conn {
	t.Helper()
	keys, err := NewKeyring(testKey)
	must.NoError(t, err)
	n, err := New(Config{Session: session, Handler: &recorder{}, Log: testLog(), Keys: keys})
	must.NoError(t, err)
	raw, err := net.Dial("tcp", to.addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	nc, _, err := n.dialHandshake(context.Background(), raw)
	must.NoError(t, err)
	return nc
}

func frame(length uint32, rest ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), rest...)
}

// Guards against a malformed frame that crashes the process, is not reported to its sender or breaks
// other connections.
func TestBadFramesCloseOnlyTheirConnection(t *testing.T) {
	nested := append(frame(100002, wire.Version, byte(wire.KindPing)), bytes.Repeat([]byte{0x91}, 100000)...)
	cases := []struct {
		name string
		data []byte
		code wire.ErrorCode
	}{
		{"unknown version", frame(3, 99, byte(wire.KindPing), 0x80), wire.CodeUnknownVersion},
		{"unknown kind", frame(3, wire.Version, 250, 0x80), wire.CodeUnknownKind},
		{"oversized", frame(wire.MaxFrameBytes+1, wire.Version), wire.CodeMalformed},
		{"too short", frame(1, wire.Version), wire.CodeMalformed},
		{"not msgpack", frame(3, wire.Version, byte(wire.KindPing), 0xc1), wire.CodeMalformed},
		{"nested too deeply", nested, wire.CodeMalformed},
		{"hello outside the handshake", mustEncode(wire.Hello{}), wire.CodeMalformed},
	}
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	link(t, a, b)
	for _, c := range cases {
		nc := rawPeer(t, b, "raw.1")
		_, err := nc.Write(c.data)
		must.NoError(t, err)
		must.Eq(t, c.code, readError(t, nc).Code, must.Sprint(c.name))
	}
	truncated := rawPeer(t, b, "raw.1")
	_, err := truncated.Write(frame(100, wire.Version, byte(wire.KindPing)))
	must.NoError(t, err)
	must.NoError(t, truncated.(*net.TCPConn).CloseWrite())
	must.Eq(t, wire.CodeMalformed, readError(t, truncated).Code)
	_, err = ask(t, a, "b.1", wire.StatusGet{})
	must.NoError(t, err)
	_, disconnects, _ := a.handler.count()
	must.Zero(t, disconnects)
}

// readError returns the error that the peer sends before it closes the connection.
func readError(t *testing.T, nc net.Conn) wire.Error {
	t.Helper()
	must.NoError(t, nc.SetReadDeadline(time.Now().Add(testWait)))
	for {
		f, err := wire.ReadFrame(nc, wire.MaxFrameBytes)
		must.NoError(t, err)
		e, err := wire.Decode(f)
		must.NoError(t, err)
		if report, ok := e.Message.(wire.Error); ok {
			return report
		}
	}
}

// Guards against a replier that exceeds its credit and fills the requester's memory.
func TestFlowControlViolationClosesTheConnection(t *testing.T) {
	b := startNode(t, "b.1", nil)
	nc := rawPeer(t, b, "raw.1")
	waitFor(t, "connection", func() bool { return len(b.Connected()) == 1 })
	x, err := b.OpenExchange(context.Background(), "raw.1", wire.ManifestGet{})
	must.NoError(t, err)
	reply, err := wire.Encode(wire.Envelope{
		Exchange: x.id,
		Flags:    wire.FlagReply,
		Message:  wire.Manifest{JSON: make([]byte, WindowBytes)},
	})
	must.NoError(t, err)
	for range 2 {
		_, _ = nc.Write(reply)
	}
	waitFor(t, "close", func() bool { _, disconnects, _ := b.handler.count(); return disconnects == 1 })
	must.ErrorIs(t, b.handler.disconnects[0], ErrFlowControl)
	_, err = x.Recv(context.Background())
	must.NoError(t, err) // the reply within the credit
	_, err = x.Recv(context.Background())
	must.ErrorIs(t, err, ErrClosed)
}

// Guards against a sender that blocks without limit on a peer that does not read.
func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	b := startNode(t, "b.1", func(c *Config) {
		c.WriteTimeout = 200 * time.Millisecond
		c.IdleTimeout = time.Minute
	})
	rawPeer(t, b, "raw.1")
	waitFor(t, "connection", func() bool { return len(b.Connected()) == 1 })
	big := wire.Heartbeat{Leaving: []wire.LeavingEndpoint{{Endpoint: string(make([]byte, 1<<20))}}}
	waitFor(t, "send failure", func() bool {
		err := b.Send("raw.1", big)
		return errors.Is(err, ErrClosed) || errors.Is(err, ErrQueueFull) || errors.Is(err, ErrNotConnected)
	})
	waitFor(t, "disconnected", func() bool { return len(b.Connected()) == 0 })
}

// Guards against a peer that vanished without closing its connection and still counts as connected.
func TestSilentPeerIsClosed(t *testing.T) {
	b := startNode(t, "b.1", func(c *Config) { c.IdleTimeout = 300 * time.Millisecond })
	start := time.Now()
	rawPeer(t, b, "raw.1")
	waitFor(t, "disconnected event", func() bool { _, disconnects, _ := b.handler.count(); return disconnects == 1 })
	must.GreaterEq(t, 300*time.Millisecond, time.Since(start))
	a := startNode(t, "a.1", func(c *Config) { c.IdleTimeout = 300 * time.Millisecond })
	link(t, a, b)
	time.Sleep(time.Second) // pings keep an idle connection open
	_, disconnects, _ := a.handler.count()
	must.Zero(t, disconnects)
}
