package peer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/wire"
)

// Guards against replies delivered to the wrong exchange, leaked exchanges, and deadlocks between credit,
// cancellation and full queues. Both sides open exchanges and close them early at random.
func TestManyExchangesWithCancellations(t *testing.T) {
	a, b := startNode(t, "a.1", nil), startNode(t, "b.1", nil)
	a.handler.blocks, b.handler.blocks = 12, 12
	link(t, a, b)
	ctx, cancel := context.WithTimeout(context.Background(), 6*testWait)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 40 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		wg.Go(func() {
			for range 2 {
				x, err := from.OpenExchange(ctx, to.cfg.Session, wire.Forward{})
				must.NoError(t, err)
				readSome(t, ctx, x, rng.IntN(16))
				x.Close()
			}
		})
	}
	wg.Wait()
	waitFor(t, "no exchange left", func() bool {
		return current(a, "b").openExchanges() == 0 && current(b, "a").openExchanges() == 0
	})
	_, disconnectsA, _ := a.handler.count()
	_, disconnectsB, _ := b.handler.count()
	must.Zero(t, disconnectsA+disconnectsB)
}

// readSome reads up to n replies and checks that their offsets are consecutive.
func readSome(t *testing.T, ctx context.Context, x *Exchange, n int) {
	t.Helper()
	for i := range n {
		m, err := x.Recv(ctx)
		if errors.Is(err, io.EOF) {
			return
		}
		must.NoError(t, err)
		if c := m.(wire.Chunk); c.Data != nil {
			must.Eq(t, int64(i)*blockBytes, c.Data.Offset)
		}
	}
}

// Guards against unauthenticated connections that use memory and goroutines without limit, and checks
// that a peer can connect after their handshakes have timed out.
func TestUnauthenticatedConnectionsAreBounded(t *testing.T) {
	b := startNode(t, "b.1", func(c *Config) { c.HandshakeTimeout = time.Second })
	for range maxHandshakes + 10 {
		nc, err := net.Dial("tcp", b.addr)
		must.NoError(t, err)
		defer nc.Close()
	}
	waitFor(t, "handshake limit reached", func() bool { return len(b.handshakes) == maxHandshakes })
	a := startNode(t, "a.1", nil)
	link(t, a, b)
}

func BenchmarkAsk(b *testing.B) {
	one, two := startNode(b, "a.1", nil), startNode(b, "b.1", nil)
	link(b, one, two)
	for b.Loop() {
		if _, err := one.Request(context.Background(), "b.1", wire.StatusGet{}); err != nil {
			b.Fatal(err)
		}
	}
}
