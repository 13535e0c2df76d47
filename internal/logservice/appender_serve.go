package logservice

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Serve writes batches until ctx ends. A batch that is open then is repeated by the next Serve. Only
// one Serve may run at a time.
func (a *Appender) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		probe := a.awaitWork(ctx)
		if !sleep(ctx, time.Until(a.lastStart.Add(a.cfg.MinInterval))) {
			break
		}
		b, err := a.cut(probe)
		if err != nil {
			return err
		}
		if b != nil {
			a.write(ctx, b)
		}
	}
	return ctx.Err()
}

// awaitWork waits until a batch is open or records wait. It returns true when a probe is due.
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

// appendResult is the answer to one append.
type appendResult struct {
	offset uint64
	err    error
	took   time.Duration
}

// write repeats the bytes of a batch until the log answers or the reader shows it.
func (a *Appender) write(ctx context.Context, b *openBatch) {
	late := time.NewTimer(a.cfg.DownAfter)
	defer late.Stop()
	first := time.Now()
	retry := newBackoff(appendBackoffMin, appendBackoffMax)
	for ctx.Err() == nil {
		r, shown := a.attempt(ctx, b, late.C)
		if shown {
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
		if a.pause(ctx, b, late.C, r.err, retry) {
			a.committed(b, 0, false, time.Since(first))
			return
		}
	}
}

// attempt makes one append. It returns true when the reader showed the batch first. The append is
// given up then, and it has ended when attempt returns, so that only one is ever under way.
func (a *Appender) attempt(ctx context.Context, b *openBatch, late <-chan time.Time) (appendResult, bool) {
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
		case <-late:
			a.setDown(true)
		}
	}
}

// pause waits before the next append. It returns true when the reader showed the batch.
func (a *Appender) pause(ctx context.Context, b *openBatch, late <-chan time.Time, err error, retry backoff.BackOff) bool {
	timer := time.NewTimer(retryDelay(err, retry))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return false
		case <-b.seen:
			return true
		case <-late:
			a.setDown(true)
		case <-ctx.Done():
			return false
		}
	}
}

// committed ends a batch. The log counts as up again only when it took the batch in time: a log that
// is slow answers every append, but late.
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
