package logservice

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Serve writes batches until ctx is done. A batch that is unconfirmed then is appended again by the next
// Serve. Only one Serve may run at a time.
func (a *Appender) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		probe := a.awaitWork(ctx)
		if !sleep(ctx, time.Until(a.lastStart.Add(a.cfg.MinInterval))) {
			break
		}
		b, err := a.nextBatch(probe)
		if err != nil {
			return err
		}
		if b != nil {
			a.write(ctx, b)
		}
	}
	return ctx.Err()
}

// awaitWork waits until there is an unconfirmed batch or a pending record. While the log is down it
// returns true when ProbeInterval passes without either: an empty batch is to be sent as a probe.
func (a *Appender) awaitWork(ctx context.Context) bool {
	if a.hasWork() {
		return false
	}
	var probe <-chan time.Time
	if a.down {
		timer := time.NewTimer(a.cfg.ProbeInterval)
		defer timer.Stop()
		probe = timer.C
	}
	select {
	case <-a.wake:
		return false
	case <-probe:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *Appender) hasWork() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current != nil || len(a.pending) > 0
}

// appendResult is the result of one append.
type appendResult struct {
	offset uint64
	err    error
	took   time.Duration
}

// write appends the bytes of a batch until the log confirms it or the reader reports it.
func (a *Appender) write(ctx context.Context, b *openBatch) {
	downTimer := time.NewTimer(a.cfg.DownAfter)
	defer downTimer.Stop()
	first := time.Now()
	retry := newBackoff(appendBackoffMin, appendBackoffMax)
	for ctx.Err() == nil {
		r, seen := a.attempt(ctx, b, downTimer.C)
		if seen {
			a.committed(b, 0, false, time.Since(first))
			return
		}
		if r.err == nil {
			a.committed(b, r.offset, true, r.took)
			return
		}
		if ctx.Err() != nil {
			return
		}
		a.failed(r.err)
		if a.pause(ctx, b, downTimer.C, r.err, retry) {
			a.committed(b, 0, false, time.Since(first))
			return
		}
	}
}

// attempt makes one append. It returns true when the reader reported the batch first; the append is
// canceled then. attempt returns only after the request has ended, so that there is never more than
// one in flight.
func (a *Appender) attempt(ctx context.Context, b *openBatch, downAfter <-chan time.Time) (appendResult, bool) {
	actx, cancel := context.WithTimeout(ctx, a.cfg.AttemptTimeout)
	defer cancel()
	a.lastStart = time.Now()
	result := make(chan appendResult, 1)
	go func() {
		start := time.Now()
		offset, err := a.cfg.Client.Append(actx, a.cfg.Stream, b.data)
		result <- appendResult{offset: offset, err: err, took: time.Since(start)}
	}()
	for {
		select {
		case r := <-result:
			return r, false
		case <-b.seen:
			cancel()
			<-result
			return appendResult{}, true
		case <-downAfter:
			a.setDown(true)
		}
	}
}

// pause waits before the next append. It returns true when the reader reported the batch.
func (a *Appender) pause(ctx context.Context, b *openBatch, downAfter <-chan time.Time, err error, retry backoff.BackOff) bool {
	timer := time.NewTimer(retryDelay(err, retry))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case <-b.seen:
			return true
		case <-downAfter:
			a.setDown(true)
		case <-ctx.Done():
			return false
		}
	}
}

// committed completes a batch. The log counts as up again only when it confirmed the batch within
// DownAfter: a log that confirms every append, but too late, still counts as down.
func (a *Appender) committed(b *openBatch, offset uint64, known bool, took time.Duration) {
	a.finish(b)
	if took <= a.cfg.DownAfter {
		a.setDown(false)
	}
	if a.cfg.Written != nil {
		a.cfg.Written(b.count, len(b.data))
	}
	if a.cfg.Committed != nil {
		a.cfg.Committed(b.seq, offset, known)
	}
}

func (a *Appender) setDown(down bool) {
	if a.down == down {
		return
	}
	a.down = down
	if a.cfg.Down != nil {
		a.cfg.Down(down)
	}
}

func (a *Appender) failed(err error) {
	if a.cfg.Failed != nil {
		a.cfg.Failed(err)
	}
}
