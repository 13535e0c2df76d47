package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin/logstand"
)

// received collects what a tailer reports through its callbacks.
type received struct {
	offsets collector[uint64]
	tails   collector[uint64]
	gaps    collector[[2]uint64]
	failed  collector[error]
}

func newTailer(c *logservice.LogClient, got *received) *logservice.Tailer {
	return logservice.NewTailer(logservice.TailerConfig{
		Client: c, Stream: stream, Wait: 100 * time.Millisecond,
		Deliver: func(_ context.Context, e logservice.Entry) error { got.offsets.add(e.Offset); return nil },
		AtTail:  got.tails.add,
		Expired: func(from, earliest uint64) { got.gaps.add([2]uint64{from, earliest}) },
		Failed:  got.failed.add,
	})
}

func appendN(t *testing.T, c *logservice.LogClient, n int) {
	t.Helper()
	for i := range n {
		_, err := c.Append(context.Background(), stream, fmt.Appendf(nil, "%d", i))
		must.NoError(t, err)
	}
}

func offsetRange(from, to uint64) []uint64 {
	var all []uint64
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

// Guards against entries that are skipped or delivered twice around an outage, and against AtTail being
// called before all entries were delivered.
func TestTailerExactlyOnceThroughOutage(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	appendN(t, c, 7)
	l.Expire(stream, 2)
	got := &received{}
	run(t, newTailer(c, got).Serve)
	eventually(t, "the tail", func() bool { return len(got.tails.get()) == 1 })
	must.Eq(t, offsetRange(2, 7), got.offsets.get())
	l.SetOutage(true)
	eventually(t, "a failed read", func() bool { return len(got.failed.get()) > 2 })
	must.ErrorIs(t, got.failed.get()[0], logservice.ErrOutage)
	l.SetOutage(false)
	appendN(t, c, 5)
	eventually(t, "all entries", func() bool { return len(got.offsets.get()) == 10 })
	must.Eq(t, offsetRange(2, 12), got.offsets.get())
	must.Eq(t, []uint64{7}, got.tails.get())
	must.Eq(t, 0, len(got.gaps.get()))
}

// Guards against a tailer that stops for good when the retention of the log removed its next entries, or
// that continues without reporting the missing entries.
func TestTailerExpired(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	got := &received{}
	tailer := newTailer(c, got)
	appendN(t, c, 3)
	stop := run(t, tailer.Serve)
	eventually(t, "the tail", func() bool { return len(got.tails.get()) == 1 })
	stop()
	appendN(t, c, 5)
	l.Expire(stream, 6)
	run(t, tailer.Serve)
	eventually(t, "the tail again", func() bool { return len(got.tails.get()) == 2 })
	must.Eq(t, append(offsetRange(0, 3), 6, 7), got.offsets.get())
	must.Eq(t, [][2]uint64{{3, 6}}, got.gaps.get())
}

// Guards against an entry that is lost or delivered twice when Deliver fails and Serve is restarted.
func TestTailerRestartAfterFailedDelivery(t *testing.T) {
	checkGoroutines(t)
	_, c := startLog(t, logstand.Settings{})
	appendN(t, c, 4)
	var got []uint64
	broken := errors.New("delivery failed")
	tailer := logservice.NewTailer(logservice.TailerConfig{Client: c, Stream: stream,
		Deliver: func(_ context.Context, e logservice.Entry) error {
			if e.Offset == 2 && len(got) == 2 {
				got = append(got, 99)
				return broken
			}
			got = append(got, e.Offset)
			if e.Offset == 3 {
				return broken
			}
			return nil
		}})
	must.ErrorIs(t, tailer.Serve(context.Background()), broken)
	must.ErrorIs(t, tailer.Serve(context.Background()), broken)
	must.Eq(t, []uint64{0, 1, 99, 2, 3}, got)
}

// Guards against one read per append: 13 instances append up to 260 times per second.
func TestTailerPacesReads(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	got := &received{}
	run(t, newTailer(c, got).Serve)
	eventually(t, "the tail", func() bool { return len(got.tails.get()) == 1 })
	start := time.Now()
	before := l.Stats().Reads
	const n = 300
	appendN(t, c, n)
	eventually(t, "all entries", func() bool { return len(got.offsets.get()) == n })
	limit := int(time.Since(start)/(10*time.Millisecond)) + 2
	must.LessEq(t, limit, l.Stats().Reads-before)
	must.Eq(t, offsetRange(0, n), got.offsets.get())
}
