package logservice

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// defaultReadWait is the long-poll time of one read.
	defaultReadWait = 5 * time.Second
	// readTimeoutMargin plus the long-poll time is the timeout of one read. It is long because a log
	// that responds slowly must still be read up to the tail.
	readTimeoutMargin = 10 * time.Second

	// defaultReadInterval limits the rate of reads at the tail. Without it, each append of any instance
	// causes one request of each reader: 260 per second for 13 instances.
	defaultReadInterval = 10 * time.Millisecond

	readBackoffMin = 50 * time.Millisecond
	readBackoffMax = time.Second
)

// TailerConfig configures a Tailer. The callbacks run on the goroutine of Serve, one at a time.
type TailerConfig struct {
	Client *LogClient
	Stream string
	// Deliver processes the next entry. An error stops Serve; the entry counts as not delivered and is
	// delivered again by the next Serve.
	Deliver func(ctx context.Context, e Entry) error
	// AtTail is called when all entries below next have been delivered: when the tailer reaches the tail
	// for the first time, and each time it reaches the tail again after falling behind. It may be nil.
	AtTail func(next uint64)
	// TailRead is called after the entries of each read that reached the tail have been delivered. sent is
	// the time at which the read was sent: all entries appended before it have been delivered. It may be
	// nil.
	TailRead func(sent time.Time)
	// Expired is called when the retention of the log removed entries before they were delivered: those
	// with offsets from from to earliest-1. State built from the stream is incomplete then. It is not
	// called for entries removed before the first delivery. It may be nil.
	Expired func(from, earliest uint64)
	// Failed is called after each failed read, for metrics and logs. It may be nil.
	Failed func(err error)
	// Wait is the long-poll time of one read. Default 5 s.
	Wait time.Duration
	// Interval is the minimum time between the starts of two reads at the tail. Default 10 ms.
	Interval time.Duration
}

// Tailer reads a stream from its earliest offset on and delivers each entry in order, exactly once.
type Tailer struct {
	cfg       TailerConfig
	started   bool // next holds the offset to read from
	delivered bool // at least one entry was delivered
	next      uint64
	atTail    bool
	lastStart time.Time // start of the most recent read
}

// NewTailer returns a Tailer that starts at the earliest offset.
func NewTailer(cfg TailerConfig) *Tailer {
	setDefault(&cfg.Wait, defaultReadWait)
	setDefault(&cfg.Interval, defaultReadInterval)
	return &Tailer{cfg: cfg}
}

// Serve reads until ctx is done or Deliver fails. It continues where an earlier Serve stopped. Only
// one Serve may run at a time.
func (t *Tailer) Serve(ctx context.Context) error {
	retry := newBackoff(readBackoffMin, readBackoffMax)
	for ctx.Err() == nil {
		err := t.step(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		var failed *deliverError
		if errors.As(err, &failed) {
			return failed.err
		}
		if ctx.Err() != nil {
			break
		}
		t.report(err)
		sleep(ctx, retryDelay(err, retry))
	}
	return ctx.Err()
}

// String returns the name for the supervisor's log.
func (t *Tailer) String() string { return "tailer of " + t.cfg.Stream }

// deliverError marks an error of Deliver, which stops Serve instead of causing a retry.
type deliverError struct{ err error }

func (e *deliverError) Error() string { return e.err.Error() }

// step finds the first offset, or makes one read and delivers its entries.
func (t *Tailer) step(ctx context.Context) error {
	if !t.started {
		return t.start(ctx)
	}
	wait := t.cfg.Wait
	if !t.atTail {
		wait = 0 // a long poll would delay AtTail until the next append
	} else if !sleep(ctx, time.Until(t.lastStart.Add(t.cfg.Interval))) {
		return ctx.Err()
	}
	t.lastStart = time.Now()
	rctx, cancel := context.WithTimeout(ctx, t.cfg.Wait+readTimeoutMargin)
	defer cancel()
	page, err := t.cfg.Client.Read(rctx, t.cfg.Stream, t.next, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		t.skipTo(expired.Earliest)
		return nil
	}
	if err != nil {
		return err
	}
	return t.deliver(ctx, page)
}

// start looks up the earliest offset of the stream.
func (t *Tailer) start(ctx context.Context) error {
	rctx, cancel := context.WithTimeout(ctx, readTimeoutMargin)
	defer cancel()
	earliest, err := t.cfg.Client.Earliest(rctx, t.cfg.Stream)
	if err != nil {
		return err
	}
	t.next = earliest
	t.started = true
	return nil
}

// skipTo continues at the earliest offset that the stream still holds.
func (t *Tailer) skipTo(earliest uint64) {
	if t.delivered && t.cfg.Expired != nil {
		t.cfg.Expired(t.next, earliest)
	}
	t.next = earliest
	t.atTail = false
}

func (t *Tailer) deliver(ctx context.Context, page Page) error {
	for _, e := range page.Entries {
		if err := t.cfg.Deliver(ctx, e); err != nil {
			return &deliverError{err: err}
		}
		t.next = e.Offset + 1
		t.delivered = true
	}
	if t.next < page.Next {
		t.atTail = false
		return nil
	}
	if !t.atTail && t.cfg.AtTail != nil {
		t.cfg.AtTail(page.Next)
	}
	t.atTail = true
	if t.cfg.TailRead != nil {
		t.cfg.TailRead(t.lastStart)
	}
	return nil
}

func (t *Tailer) report(err error) {
	if t.cfg.Failed != nil {
		t.cfg.Failed(err)
	}
}

// newBackoff returns an exponential backoff that never stops retrying.
func newBackoff(first, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = limit
	b.Multiplier = 2
	b.Reset()
	return b
}

// retryDelay returns the next delay of b, or the delay that a rate-limited response asks for if that is longer.
func retryDelay(err error, b backoff.BackOff) time.Duration {
	d := b.NextBackOff()
	var rateLimited *RateLimitedError
	if errors.As(err, &rateLimited) && rateLimited.RetryAfter > d {
		return rateLimited.RetryAfter
	}
	return d
}
