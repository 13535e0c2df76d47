package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/wire"
)

const testWait = 10 * time.Second

// recorder is a Handler that records messages and disconnects. It answers a Forward with a stream of
// blocks, and other requests with one reply or an error.
type recorder struct {
	mu          sync.Mutex
	received    []wire.Message
	disconnects []error
	canceled    chan struct{} // closed when a stream fails; may be nil
	sent        int           // blocks sent by all streams
	blocks      int           // blocks per stream
	patience    time.Duration // after which a stream that waits for credit fails; 0 for never
}

func (h *recorder) Connected(Remote) {}

func (h *recorder) Disconnected(_ Remote, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disconnects = append(h.disconnects, err)
}

func (h *recorder) Receive(_ Remote, m wire.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, m)
}

func (h *recorder) Serve(ctx context.Context, _ Remote, m wire.Message, r *Replier) error {
	switch m.(type) {
	case wire.StatusGet:
		return r.SendLast(ctx, wire.Status{Zone: "z1", Programs: 7})
	case wire.Explain:
		return wire.Error{Code: wire.CodeNotHolder, Holder: "c.1"}
	case wire.Forward:
		return h.stream(ctx, r)
	}
	return errors.New("secret detail")
}

const blockBytes = 256 << 10

func (h *recorder) stream(ctx context.Context, r *Replier) error {
	if h.patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.patience)
		defer cancel()
	}
	for i := range h.blocks {
		data := program.StreamData{Offset: int64(i) * blockBytes, Data: make([]byte, blockBytes)}
		if err := r.Send(ctx, wire.Chunk{Data: &data}); err != nil {
			if h.canceled != nil {
				close(h.canceled)
			}
			return err
		}
		h.mu.Lock()
		h.sent++
		h.mu.Unlock()
	}
	return r.SendLast(ctx, wire.Chunk{End: &program.StreamEnd{}})
}

func (h *recorder) count() (received, disconnects, sent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.received), len(h.disconnects), h.sent
}

type testNode struct {
	*Node
	handler *recorder
	addr    string
	stop    func()
}

var testKey = []byte("0123456789abcdef-key-one")

func startNode(t testing.TB, session id.Session, change func(*Config)) *testNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return startNodeAt(t, session, l, change)
}

func startNodeAt(t testing.TB, session id.Session, l net.Listener, change func(*Config)) *testNode {
	t.Helper()
	keys, err := NewKeyring(testKey)
	must.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &recorder{blocks: 64}
	cfg := Config{Session: session, Zone: "z", Handler: h, Log: log, Keys: keys}
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Serve(ctx, l)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return &testNode{Node: n, handler: h, addr: l.Addr().String(), stop: stop}
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func current(n *testNode, instance string) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[instance]
}

func link(t testing.TB, a, b *testNode) {
	t.Helper()
	a.SetPeers([]Peer{{Instance: b.cfg.Session.Instance(), Addr: b.addr}})
	waitFor(t, "connection", func() bool { return len(a.Connected()) == 1 && len(b.Connected()) == 1 })
}

func ask(t *testing.T, n *testNode, to id.Session, m wire.Message) (wire.Message, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	return n.Request(ctx, to, m)
}

// Guards against replies delivered to the wrong exchange, lost or reordered one-way messages, and errors
// that lose their type, with many exchanges on one connection.
func TestExchangesAndOneWayMessages(t *testing.T) {
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	link(t, a, b)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			m, err := ask(t, a, "b.1", wire.StatusGet{})
			must.NoError(t, err)
			must.Eq(t, 7, m.(wire.Status).Programs)
		})
		wg.Go(func() {
			_, err := ask(t, b, "a.1", wire.Explain{})
			var refused wire.Error
			must.True(t, errors.As(err, &refused))
			must.Eq(t, wire.Error{Code: wire.CodeNotHolder, Holder: "c.1"}, refused)
		})
	}
	wg.Wait()
	_, err := ask(t, a, "b.1", wire.ManifestGet{})
	must.Eq(t, error(wire.Error{Code: wire.CodeInternal, Detail: "internal error"}), err)
	for i := range 200 {
		must.NoError(t, a.Send("b.1", wire.HeartbeatAck{Round: uint64(i)}))
	}
	waitFor(t, "one-way messages", func() bool { n, _, _ := b.handler.count(); return n == 200 })
	for i, m := range b.handler.received {
		must.Eq(t, uint64(i), m.(wire.HeartbeatAck).Round)
	}
	bytes := a.ByteCounts()
	must.Positive(t, bytes.ControlOut)
	must.Positive(t, bytes.PayloadOut) // ManifestGet
	must.ErrorIs(t, a.Send("x.1", wire.Ping{}), ErrNotConnected)
	must.ErrorIs(t, a.Send("b.2", wire.Ping{}), ErrWrongSession)
}

// A message of a later kind would end the connection to a peer that runs an earlier version.
func TestLaterKindsAreNotSentToEarlierVersions(t *testing.T) {
	old := func(c *Config) { c.lastKind = wire.UnstatedLastKind }
	a, b, c := startNode(t, "a.1", nil), startNode(t, "b.1", old), startNode(t, "c.1", nil)
	a.SetPeers([]Peer{{Instance: "b", Addr: b.addr}, {Instance: "c", Addr: c.addr}})
	waitFor(t, "connections", func() bool { return len(a.Connected()) == 2 })
	sent, err := a.Broadcast(wire.RequestCrashes{})
	must.NoError(t, err)
	must.Eq(t, 1, sent)
	must.ErrorIs(t, a.Send("b.1", wire.RequestCrashes{}), ErrUnknownToPeer)
	_, err = ask(t, a, "b.1", wire.SendPermitGet{})
	must.ErrorIs(t, err, ErrUnknownToPeer)
	must.NoError(t, a.Send("b.1", wire.GroupChanged{}))
	waitFor(t, "messages", func() bool {
		atB, _, _ := b.handler.count()
		atC, _, _ := c.handler.count()
		return atB == 1 && atC == 1
	})
}

// Guards against a slow reader that blocks other exchanges or to which its peer sends without limit.
func TestSlowReaderDelaysOnlyItsExchange(t *testing.T) {
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	link(t, a, b)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	x, err := a.OpenExchange(ctx, "b.1", wire.Forward{})
	must.NoError(t, err)
	defer x.Close()
	waitFor(t, "window used up", func() bool { _, _, sent := b.handler.count(); return sent >= WindowBytes/blockBytes })
	for range 20 {
		_, err := ask(t, a, "b.1", wire.StatusGet{})
		must.NoError(t, err)
	}
	_, _, sent := b.handler.count()
	must.LessEq(t, WindowBytes/blockBytes+1, sent)
	want := int64(0)
	for {
		m, err := x.Recv(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		must.NoError(t, err)
		if c := m.(wire.Chunk); c.Data != nil {
			must.Eq(t, want, c.Data.Offset)
			want += blockBytes
		}
	}
	must.Eq(t, int64(b.handler.blocks)*blockBytes, want)
}

// Guards against a connection that breaks because a replier without credit says that its exchange has failed.
func TestFailureWithoutCreditKeepsTheConnection(t *testing.T) {
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	b.handler.patience = 50 * time.Millisecond
	link(t, a, b)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	x, err := a.OpenExchange(ctx, "b.1", wire.Forward{})
	must.NoError(t, err)
	defer x.Close()
	waitFor(t, "end of the exchange", func() bool { return current(b, "a").openExchanges() == 0 })
	_, err = ask(t, a, "b.1", wire.StatusGet{})
	must.NoError(t, err)
	for err == nil {
		_, err = x.Recv(ctx)
	}
	var failure wire.Error
	must.True(t, errors.As(err, &failure))
}

// Guards against a replier that continues after the requester closed the exchange, and against leaked
// exchanges.
func TestCancelReachesTheReplier(t *testing.T) {
	canceled := make(chan struct{})
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	b.handler.canceled = canceled
	link(t, a, b)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	x, err := a.OpenExchange(ctx, "b.1", wire.Forward{})
	must.NoError(t, err)
	_, err = x.Recv(ctx)
	must.NoError(t, err)
	x.Close()
	select {
	case <-canceled:
	case <-ctx.Done():
		t.Fatal("replier was not cancelled")
	}
	waitFor(t, "no exchange left", func() bool {
		return current(a, "b").openExchanges() == 0 && current(b, "a").openExchanges() == 0
	})
	_, err = ask(t, a, "b.1", wire.StatusGet{})
	must.NoError(t, err)
}

// Guards against an exchange that waits forever after its connection broke, and checks that the node
// reconnects to the new session of the restarted peer.
func TestReconnectToRestartedPeer(t *testing.T) {
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	link(t, a, b)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	x, err := a.OpenExchange(ctx, "b.1", wire.Forward{})
	must.NoError(t, err)
	defer x.Close()
	b.stop()
	for err == nil {
		_, err = x.Recv(ctx)
	}
	must.ErrorIs(t, err, ErrClosed)
	l, err := net.Listen("tcp", b.addr)
	must.NoError(t, err)
	startNodeAt(t, "b.2", l, nil)
	waitFor(t, "reconnection", func() bool { _, err := ask(t, a, "b.2", wire.StatusGet{}); return err == nil })
	must.ErrorIs(t, a.Send("b.1", wire.Ping{}), ErrWrongSession)
	waitFor(t, "disconnected event", func() bool { _, disconnects, _ := a.handler.count(); return disconnects == 1 })
}

// Guards against a shutdown that waits for a replaced connection that still serves an exchange.
func TestStopClosesReplacedConnections(t *testing.T) {
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	link(t, a, b)
	x, err := a.OpenExchange(t.Context(), "b.1", wire.Forward{})
	must.NoError(t, err)
	defer x.Close()
	go func() { _ = a.dial(context.Background(), Peer{Instance: "b", Addr: b.addr}) }()
	waitFor(t, "second connection", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.allConns) == 2
	})
	start := time.Now()
	a.stop()
	must.Less(t, retireTimeout/2, time.Since(start))
}

// Guards against a pair with two connections, or none, after both sides dialed at the same time.
func TestSimultaneousDialLeavesOneConnection(t *testing.T) {
	for round := range 5 {
		a := startNode(t, "a.1", nil)
		b := startNode(t, id.Session(fmt.Sprintf("b.%d", round)), nil)
		var wg sync.WaitGroup
		wg.Go(func() { _ = a.dial(t.Context(), Peer{Instance: "b", Addr: b.addr}) })
		wg.Go(func() { _ = b.dial(t.Context(), Peer{Instance: "a", Addr: a.addr}) })
		waitFor(t, "one connection each", func() bool {
			_, disconnectsA, _ := a.handler.count()
			_, disconnectsB, _ := b.handler.count()
			return disconnectsA == 1 && disconnectsB == 1 && len(a.Connected()) == 1 && len(b.Connected()) == 1
		})
		must.True(t, current(a, "b").dialed)
		must.False(t, current(b, "a").dialed)
		a.stop()
		b.stop()
		wg.Wait()
	}
}
