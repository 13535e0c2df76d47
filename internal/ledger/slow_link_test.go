package ledger

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/history"
	"ragwortstile/internal/standin/linkstand"
	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
)

// slowestLinkMbps is the bandwidth of the slowest link of the supported deployments, in Mbit/s.
const slowestLinkMbps = 22

// slowUplink is a store whose appends pass a link of limited bandwidth, which they share.
type slowUplink struct {
	*storestand.Store
	bytesPerSecond float64
	mu             *sync.Mutex
	free           *time.Time // when the appends so far have passed
}

// segmentBytes is the part in which appends share a slowUplink.
const segmentBytes = 4 << 10

func (s slowUplink) Append(ctx context.Context, a store.AppendRequest) (int64, error) {
	size := 0
	for _, r := range a.Records {
		size += len(r)
	}
	for ; size > 0; size -= segmentBytes {
		s.mu.Lock()
		if now := time.Now(); s.free.Before(now) {
			*s.free = now
		}
		*s.free = s.free.Add(time.Duration(segmentBytes / s.bytesPerSecond * float64(time.Second)))
		passed := time.After(time.Until(*s.free))
		s.mu.Unlock()
		select {
		case <-passed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return s.Store.Append(ctx, a)
}

// slowReads is a store whose reads take a while. It notes how many there were at a time.
type slowReads struct {
	*storestand.Store
	inProgress, most atomic.Int32
}

func (s *slowReads) Read(ctx context.Context, p store.Partition, from int64, maxBytes int, wait time.Duration) (store.Batch, error) {
	n := s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
	}
	time.Sleep(50 * time.Millisecond)
	return s.Store.Read(ctx, p, from, maxBytes, wait)
}

// Guards against an instance that loads all of its partitions at once, so that none is ready before the last.
func TestFewPartitionsAreLoadedAtATime(t *testing.T) {
	const parts = 5 * maxLoads
	s := &slowReads{Store: storestand.New(parts)}
	a := start(t, "a", parts, s)
	for deadline := time.Now().Add(5 * time.Second); a.ServedCount() < parts; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprintf("%d partitions are served", a.ServedCount()))
	}
	must.LessEq(t, maxLoads, int(s.most.Load()))
}

// lateReads is a store that begins to answer a read only after some time.
type lateReads struct {
	*storestand.Store
	delay time.Duration
}

func (s lateReads) Read(ctx context.Context, p store.Partition, from int64, maxBytes int, wait time.Duration) (store.Batch, error) {
	select {
	case <-time.After(s.delay):
		return s.Store.Read(ctx, p, from, maxBytes, wait)
	case <-ctx.Done():
		return store.Batch{}, ctx.Err()
	}
}

// Guards against a partition that is never claimed while the store takes longer to begin an answer than a read first waits.
func TestReadsThatStallGetMoreTime(t *testing.T) {
	a := start(t, "a", 1, lateReads{storestand.New(1), minReadStall * 3 / 2})
	for deadline := time.Now().Add(12 * time.Second); a.ServedCount() < 1; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
}

// Guards against turns that are never stored after an outage of the store, because the appends of all partitions share a
// slow link and each of them is given up and sent again before it has passed.
func TestTurnsOfAnOutageAreStoredOverASlowLink(t *testing.T) {
	const (
		parts        = 8
		turnsPerPart = 4
		turnBytes    = 240 << 10
		recoveryTime = 12 * time.Second
	)
	refused := atomic.Bool{}
	s := storestand.New(parts)
	s.SetFault(func(call string, _ store.Partition) storestand.Fault {
		if call == "append" && refused.Load() {
			return storestand.Refuse
		}
		return storestand.None
	})
	a := start(t, "a", parts, slowUplink{Store: s, bytesPerSecond: slowestLinkMbps * 1e6 / 8, mu: new(sync.Mutex), free: new(time.Time)})
	ctx := within(t, 40*time.Second)
	var turns []history.End
	count := make([]int, parts)
	for n := 0; len(turns) < parts*turnsPerPart; n++ {
		e := history.End{
			Program: fmt.Sprint("p", n), Turn: fmt.Sprint("t", n), Complete: true, Input: bytes.Repeat([]byte("x"), turnBytes), Tokens: 5,
			Reserved: 10, Confirmed: true, Retention: testRetention,
		}
		if part := a.part(e.Program); count[part] < turnsPerPart {
			count[part]++
			turns = append(turns, e)
			_, err := a.Begin(ctx, history.Begin{Program: e.Program, Turn: e.Turn, MaxTokens: 10, MaxDuration: time.Minute})
			must.NoError(t, err)
		}
	}
	refused.Store(true)
	var ended sync.WaitGroup
	for _, e := range turns {
		ended.Go(func() { must.NoError(t, a.End(ctx, e)) })
	}
	time.Sleep(time.Second) // until all of them wait
	refused.Store(false)
	begun := time.Now()
	ended.Wait()
	must.Less(t, recoveryTime, time.Since(begun))
}

// startBehindLink starts an instance that peers reach over a slow link.
func startBehindLink(t *testing.T, name string, s Store) *instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return startAt(t, name, 1, s, 0, l, linkstand.New(t, l.Addr().String(), slowestLinkMbps).Addr)
}

// Guards against budgets that are exceeded after an outage of the store, because the next holder of a partition does not get
// all copies over a slow link: a peer is asked for each copy only once.
func TestCopiesAreCollectedOverASlowLink(t *testing.T) {
	const copyCount = 12000
	s := storestand.New(1)
	a, b := startBehindLink(t, "a", s), startBehindLink(t, "b", s)
	runTurn(t, a, "p", "t1", "") // until the partition has a holder
	holder, other := a, b
	if !a.Holds("p") {
		holder, other = b, a
	}
	ld := holder.leader(0)
	var records [][]byte
	for n := range copyCount {
		data, err := history.Record{
			Kind: history.RecordEnd, At: time.Now().UnixMilli(), Program: fmt.Sprintf("program-%08d", n), Turn: fmt.Sprintf("turn-%016d", n), Tokens: 5, Spent: 5,
		}.Encode()
		must.NoError(t, err)
		records = append(records, data)
	}
	must.True(t, other.copies.put(0, ld.epoch, records, time.Now()))
	got := holder.collect(within(t, 10*time.Second), 0, ld.epoch, func(uint64) bool { return false })
	must.Len(t, copyCount, got)
}
