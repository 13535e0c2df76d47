package logservice

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// readWait is the long poll of one read.
	readWait = 5 * time.Second
	// readSlack is added to the long poll before a read without an answer is given up. It is long
	// because a log that is slow, but answers, must still be read to the tail.
	readSlack = 10 * time.Second

	// readInterval paces the reads at the tail. Without it, each append of any instance costs each
	// reader one exchange: 260 per second for 13 instances.
	readInterval = 10 * time.Millisecond

	readBackoffMin = 50 * time.Millisecond
	readBackoffMax = time.Second
)

// TailerConfig sets up a Tailer. The callbacks run on the goroutine of Serve, one at a time.
type TailerConfig struct {
	Client *LogClient
	Stream string
	// Deliver takes the next entry. An error other than that of ctx stops Serve; the entry counts
	// as not delivered and is delivered again by the next Serve.
	Deliver func(ctx context.Context, e Entry) error
	// AtTail is called when all entries below next have been delivered, once at first and again
	// after each time the reader fell behind. It may be nil.
	AtTail func(next uint64)
	// TailRead is called after each read that reached the tail, when its entries were delivered. sent
	// is when the read was sent: what was appended before it has been delivered. It may be nil.
	TailRead func(sent time.Time)
	// Expired is called when the retention removed entries that were not yet delivered: those from
	// from to earliest-1. The state that was built from the stream is incomplete then. It is not
	// called for entries before the first one that was delivered. It may be nil.
	Expired func(from, earliest uint64)
	// Failed is called for each read that failed, for metrics and logs. It may be nil.
	Failed func(err error)
	// Wait is the long poll of one read. Default 5 s.
	Wait time.Duration
	// Interval is the least time between the starts of two reads at the tail. Default 10 ms.
	Interval time.Duration
}

// Tailer reads a stream from its earliest offset and delivers each entry in order, exactly once.
type Tailer struct {
	cfg       TailerConfig
	started   bool // next is set
	delivered bool // an entry was delivered
	next      uint64
	atTail    bool
	last      time.Time // start of the last read
}

// NewTailer returns a Tailer that starts at the earliest offset.
func NewTailer(cfg TailerConfig) *Tailer {
	setDefault(&cfg.Wait, readWait)
	setDefault(&cfg.Interval, readInterval)
	return &Tailer{cfg: cfg}
}

// Serve reads until ctx ends or Deliver fails. It continues where an earlier Serve stopped. Only
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

// String names the tailer in the supervisor's log.
func (t *Tailer) String() string { return "tailer of " + t.cfg.Stream }

type deliverError struct{ err error }

func (e *deliverError) Error() string { return e.err.Error() }

func (t *Tailer) step(ctx context.Context) error {
	if !t.started {
		return t.start(ctx)
	}
	wait := t.cfg.Wait
	if !t.atTail {
		wait = 0 // the first report of the tail must not wait for an append
	} else if !sleep(ctx, time.Until(t.last.Add(t.cfg.Interval))) {
		return ctx.Err()
	}
	t.last = time.Now()
	rctx, cancel := context.WithTimeout(ctx, t.cfg.Wait+readSlack)
	defer cancel()
	page, err := t.cfg.Client.Read(rctx, t.cfg.Stream, t.next, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		t.skip(expired.Earliest)
		return nil
	}
	if err != nil {
		return err
	}
	return t.deliver(ctx, page)
}

func (t *Tailer) start(ctx context.Context) error {
	rctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	earliest, err := t.cfg.Client.Earliest(rctx, t.cfg.Stream)
	if err != nil {
		return err
	}
	t.next = earliest
	t.started = true
	return nil
}

func (t *Tailer) skip(earliest uint64) {
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
		t.cfg.TailRead(t.last)
	}
	return nil
}

func (t *Tailer) report(err error) {
	if t.cfg.Failed != nil {
		t.cfg.Failed(err)
	}
}

// newBackoff returns an exponential backoff without an end.
func newBackoff(first, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = limit
	b.Multiplier = 2
	b.Reset()
	return b
}

// retryDelay returns the next delay, at least what a rate limit asked for.
func retryDelay(err error, b backoff.BackOff) time.Duration {
	d := b.NextBackOff()
	var limited *RateLimitedError
	if errors.As(err, &limited) && limited.RetryAfter > d {
		return limited.RetryAfter
	}
	return d
}
