package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin/logstand"
)

// Guards against reads that skip records and against a wrong offset for the next append.
func TestLogAppendAndRead(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	_, c := startLog(t, logstand.Settings{})
	for i := range 5 {
		offset, err := c.Append(ctx, "a", fmt.Appendf(nil, "r%d", i))
		must.NoError(t, err)
		must.Eq(t, uint64(i), offset)
	}
	page, err := c.Read(ctx, "a", 2, 0)
	must.NoError(t, err)
	must.Eq(t, 3, len(page.Entries))
	must.Eq(t, "r2", string(page.Entries[0].Data))
	next, err := c.Next(ctx, "a")
	must.NoError(t, err)
	must.Eq(t, 5, next)
	page, err = c.Read(ctx, "b", 0, 0)
	must.NoError(t, err)
	must.Eq(t, 0, len(page.Entries))
}

// Guards against a long poll that misses an append, or that returns early without one.
func TestLogLongPoll(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	_, c := startLog(t, logstand.Settings{})
	start := time.Now()
	page, err := c.Read(ctx, "a", 0, 50*time.Millisecond)
	must.NoError(t, err)
	must.Eq(t, 0, len(page.Entries))
	must.GreaterEq(t, 50*time.Millisecond, time.Since(start))
	appended := time.AfterFunc(20*time.Millisecond, func() { _, _ = c.Append(ctx, "a", []byte("x")) })
	defer appended.Stop()
	page, err = c.Read(ctx, "a", 0, 20*time.Second)
	must.NoError(t, err)
	must.Eq(t, 1, len(page.Entries))
}

// Guards against errors that mislead the caller about whether a record was appended.
func TestLogTypedErrors(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	l, c := startLog(t, logstand.Settings{Rate: 1})
	_, err := c.Append(ctx, "a", []byte("0"))
	must.NoError(t, err)
	_, err = c.Append(ctx, "a", []byte("1"))
	var limited *logservice.RateLimitedError
	must.ErrorAs[*logservice.RateLimitedError](t, err, &limited)
	must.Greater(t, 0, limited.RetryAfter)

	l.SetOutage(true)
	_, err = c.Append(ctx, "a", []byte("1"))
	must.ErrorIs(t, err, logservice.ErrOutage)
	_, err = c.Read(ctx, "a", 0, 0)
	must.ErrorIs(t, err, logservice.ErrOutage)
	must.Eq(t, 1, len(l.Records("a")))

	_, err = c.Append(ctx, "a", make([]byte, logservice.MaxAppendBytes+1))
	must.ErrorIs(t, err, logservice.ErrTooLarge)

	unreachable := logservice.NewLogClient("http://127.0.0.1:1", logservice.NewHTTPClient())
	_, err = unreachable.Append(ctx, "a", []byte("1"))
	must.ErrorIs(t, err, logservice.ErrOutage)
	must.False(t, errors.Is(err, logservice.ErrUnknownResult))
}

// Guards against an append that took effect and is reported as without effect, because its response was lost.
func TestLogAppendResponseLost(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	l, c := startLog(t, logstand.Settings{})
	l.LoseAnswers(1)
	_, err := c.Append(ctx, "a", []byte("x"))
	must.ErrorIs(t, err, logservice.ErrUnknownResult)
	must.False(t, errors.Is(err, logservice.ErrOutage))
	must.Eq(t, 1, len(l.Records("a")))
}

// Guards against net/http retrying an append on its own after the log closed the connection: the stand-in
// would count two appends. net/http retries only on reused connections, so there is a first append.
func TestLogAppendIsNotRepeatedByTransport(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	l, c := startLog(t, logstand.Settings{})
	for range 20 {
		_, err := c.Append(ctx, "a", []byte("first"))
		must.NoError(t, err)
		l.LoseAnswers(1)
		before := l.Stats().Appends
		_, err = c.Append(ctx, "a", []byte("second"))
		must.ErrorIs(t, err, logservice.ErrUnknownResult)
		must.Eq(t, before+1, l.Stats().Appends)
	}
}

// Guards against a reader that cannot find the offset to continue from after the retention of the log removed
// its next records.
func TestLogExpiredOffset(t *testing.T) {
	checkGoroutines(t)
	ctx := context.Background()
	l, c := startLog(t, logstand.Settings{})
	for range 6 {
		_, err := c.Append(ctx, "a", []byte("x"))
		must.NoError(t, err)
	}
	l.Expire("a", 4)
	_, err := c.Read(ctx, "a", 1, 0)
	var expired *logservice.ExpiredError
	must.ErrorAs[*logservice.ExpiredError](t, err, &expired)
	must.Eq(t, logservice.ExpiredError{Earliest: 4, Next: 6}, *expired)
	earliest, err := c.Earliest(ctx, "a")
	must.NoError(t, err)
	must.Eq(t, 4, earliest)
}

// Guards against a 5xx status other than 503 that is taken for a request without effect.
func TestLogServerErrorIsUnknown(t *testing.T) {
	checkGoroutines(t)
	base, client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	_, err := logservice.NewLogClient(base, client).Append(context.Background(), "a", []byte("x"))
	must.ErrorIs(t, err, logservice.ErrUnknownResult)
}
