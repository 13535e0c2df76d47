package logservice_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/record"
	"ragwortstile/internal/standin/logstand"
)

const stream = "programs"

func newAppender(t *testing.T, cfg logservice.AppenderConfig) *logservice.Appender {
	t.Helper()
	cfg.Stream = stream
	cfg.Session = "i1.a"
	a, err := logservice.NewAppender(cfg)
	must.NoError(t, err)
	return a
}

// appliedSlots returns the slots of the claims in the stream in order. Like a reader it ignores a batch whose
// sequence number is not above the last one of its session.
func appliedSlots(t *testing.T, l *logstand.Log) []int {
	t.Helper()
	last := make(map[id.Session]uint64)
	var all []int
	for _, data := range l.Records(stream) {
		b, err := record.Decode(data)
		must.NoError(t, err)
		if b.Seq <= last[b.Session] {
			continue
		}
		must.Eq(t, last[b.Session]+1, b.Seq)
		last[b.Session] = b.Seq
		for _, r := range b.Records {
			all = append(all, int(r.(record.Claim).Slot))
		}
	}
	return all
}

func addClaims(t *testing.T, a *logservice.Appender, from, to int) []int {
	t.Helper()
	var all []int
	for i := from; i < to; i++ {
		must.NoError(t, a.Add(record.Claim{Slot: id.Slot(i), Session: "i1.a"}))
		all = append(all, i)
	}
	return all
}

func flush(t *testing.T, a *logservice.Appender) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(t, a.Flush(ctx))
}

// Guards against more than 20 appends per second of one session.
func TestAppenderGroupCommit(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	a := newAppender(t, logservice.AppenderConfig{Client: c})
	run(t, a.Serve)
	start := time.Now()
	var want []int
	for i := range 60 {
		want = append(want, addClaims(t, a, i, i+1)...)
		time.Sleep(5 * time.Millisecond)
	}
	flush(t, a)
	limit := int(time.Since(start)/(50*time.Millisecond)) + 1
	must.LessEq(t, limit, l.Stats().Appends)
	must.Greater(t, 1, l.Stats().Appends)
	must.Eq(t, want, appliedSlots(t, l))
	must.Eq(t, 0, a.Buffered())
}

// Guards against records that are lost, duplicated or reordered when responses are lost, the log is
// unavailable, or the network delivers an append a second time later.
func TestAppenderNoLossOrDuplicateUnderFaults(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{Rate: 40})
	a := newAppender(t, logservice.AppenderConfig{Client: c, MinInterval: 5 * time.Millisecond})
	run(t, a.Serve)
	var want []int
	for i := range 40 {
		switch i % 8 {
		case 1:
			l.LoseAnswers(2)
		case 3:
			l.DuplicateAppends(2, 60*time.Millisecond)
		case 5:
			l.SetOutage(true)
		}
		want = append(want, addClaims(t, a, i, i+1)...)
		if i%8 == 5 {
			refused := l.Stats().Refused
			eventually(t, "a refused append", func() bool { return l.Stats().Refused > refused })
			l.SetOutage(false)
		}
		time.Sleep(12 * time.Millisecond)
	}
	flush(t, a)
	eventually(t, "a delayed duplicate", func() bool { return l.Stats().Duplicates > 0 })
	must.Eq(t, want, appliedSlots(t, l))
	must.Positive(t, l.Stats().LostAnswers)
	must.Positive(t, l.Stats().Refused)
}

// Guards against an append that hangs until its timeout although the reader has read the batch, and
// against a report for another batch that ends the one in flight.
func TestAppenderEndsWhenReaderSawBatch(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	l.SetAnswerDelay(time.Hour)
	committed := &collector[uint64]{}
	a := newAppender(t, logservice.AppenderConfig{Client: c, AttemptTimeout: time.Hour,
		Committed: func(seq, _ uint64, known bool) {
			if !known {
				committed.add(seq)
			}
		}})
	run(t, a.Serve)
	addClaims(t, a, 0, 1)
	eventually(t, "the append", func() bool { return len(l.Records(stream)) == 1 })
	a.Seen(2)
	time.Sleep(20 * time.Millisecond)
	must.Positive(t, a.Buffered())
	a.Seen(1)
	a.Seen(1)
	flush(t, a)
	eventually(t, "the commit", func() bool { return len(committed.get()) == 1 })
	must.Eq(t, []uint64{1}, committed.get())
	must.Eq(t, 1, l.Stats().Appends)
}

// Guards against an outage that is reported late, and against one whose end is not noticed while no
// records are added.
func TestAppenderReportsDownAndUp(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	l.SetOutage(true)
	reports := &collector[bool]{}
	a := newAppender(t, logservice.AppenderConfig{Client: c, Down: reports.add, ProbeInterval: 50 * time.Millisecond})
	run(t, a.Serve)
	start := time.Now()
	want := addClaims(t, a, 0, 3)
	eventually(t, "down", func() bool { return len(reports.get()) == 1 })
	must.GreaterEq(t, 150*time.Millisecond, time.Since(start))
	must.Less(t, time.Second, time.Since(start)) // 150 ms plus a margin for a busy machine
	l.SetOutage(false)
	eventually(t, "up", func() bool { return len(reports.get()) == 2 })
	flush(t, a)
	must.Eq(t, []bool{true, false}, reports.get())
	must.Eq(t, want, appliedSlots(t, l))

	l.SetAnswerDelay(300 * time.Millisecond) // above the 150 ms of DownAfter, but every append is confirmed
	want = append(want, addClaims(t, a, 3, 5)...)
	flush(t, a)
	must.Eq(t, []bool{true, false, true}, reports.get())
	l.SetAnswerDelay(0)
	eventually(t, "up without a record to write", func() bool { return len(reports.get()) == 4 })
	must.Eq(t, want, appliedSlots(t, l))
}

// Guards against memory that grows as long as the log is down, and against a record that blocks the
// stream because it is too large for a batch.
func TestAppenderBounds(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	l.SetOutage(true)
	a := newAppender(t, logservice.AppenderConfig{Client: c, MaxBuffered: 3 << 20})
	run(t, a.Serve)
	big := record.Publish{Manifest: make([]byte, 700<<10)}
	for range 4 {
		must.NoError(t, a.Add(big))
	}
	must.ErrorIs(t, a.Add(big), logservice.ErrBufferFull)
	must.ErrorIs(t, a.Add(record.Publish{Manifest: make([]byte, 1<<20)}), logservice.ErrTooLarge)
	l.SetOutage(false)
	flush(t, a)
	must.Eq(t, 4, len(l.Records(stream))) // one per batch: two of them exceed the limit of a batch
	must.NoError(t, a.Add(big))
	flush(t, a)
}

// Guards against a batch above the size limit of the log when many small records fill it.
func TestAppenderFillsBatches(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	a := newAppender(t, logservice.AppenderConfig{Client: c})
	const n = 60000
	many := make([]record.Record, n)
	for i := range many {
		many[i] = record.Claim{Slot: id.Slot(i % id.Slots), Session: "i1.a"}
	}
	must.NoError(t, a.Add(many...))
	run(t, a.Serve)
	flush(t, a)
	must.Eq(t, n, len(appliedSlots(t, l)))
	largest := 0
	for _, data := range l.Records(stream) {
		largest = max(largest, len(data))
	}
	must.LessEq(t, record.MaxBatchBytes, largest)
	must.Greater(t, record.MaxBatchBytes*9/10, largest)
}

// Guards against a different batch with a sequence number that was already used, after the supervisor has
// restarted Serve.
func TestAppenderRestartRepeatsOpenBatch(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{})
	l.SetAnswerDelay(time.Hour)
	a := newAppender(t, logservice.AppenderConfig{Client: c})
	stop := run(t, a.Serve)
	want := addClaims(t, a, 0, 2)
	eventually(t, "the append", func() bool { return len(l.Records(stream)) == 1 })
	stop()
	l.SetAnswerDelay(0)
	want = append(want, addClaims(t, a, 2, 4)...)
	run(t, a.Serve)
	flush(t, a)
	must.Eq(t, want, appliedSlots(t, l))
	must.Eq(t, l.Records(stream)[0], l.Records(stream)[1])
}

// Guards against 13 instances that together exceed the append rate of the log, for example because an appender
// needs more than one batch for the records of one interval. Each writes 60 records per second, as an instance
// does at the present rate of calls.
func TestThirteenAppendersStayBelowRate(t *testing.T) {
	checkGoroutines(t)
	l, c := startLog(t, logstand.Settings{Rate: 300})
	const instances, records = 13, 90 // 60 records per second and instance for 1.5 s
	var all []*logservice.Appender
	for i := range instances {
		a, err := logservice.NewAppender(logservice.AppenderConfig{Client: c, Stream: stream, Session: id.Session(fmt.Sprintf("i%d.a", i))})
		must.NoError(t, err)
		run(t, a.Serve)
		all = append(all, a)
	}
	start := time.Now()
	for i := range records {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / 60)))
		for _, a := range all {
			must.NoError(t, a.Add(record.Claim{Slot: id.Slot(i % id.Slots), Session: "i1.a"}))
		}
	}
	for _, a := range all {
		flush(t, a)
	}
	must.Eq(t, instances*records, len(appliedSlots(t, l)))
	must.Eq(t, 0, l.Stats().RateLimited)
	t.Logf("%d appends in %s", l.Stats().Appends, time.Since(start))
}
