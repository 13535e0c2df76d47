package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/store"
)

// entry is a record that is queued for, or part of, an append. The record is safe once it is in the store, or
// protected: a complete turn by another partition, any other record by copies that peers hold. Records that were
// taken over from copies of an earlier holder count as protected.
type entry struct {
	record    history.Record
	data      []byte
	urgent    bool // appended without the delay of grantLinger
	queuedAt  time.Time
	done      chan struct{} // closed once err is set
	budget    chan struct{} // closed once the budget part is safe or err is set
	err       error
	finished  bool // done is closed
	protected bool // safe, but not yet in its partition in the store
	copied    bool // enough peers hold a copy of its budget part
}

// copyData returns the encoded budget part of the record.
func (e *entry) copyData() ([]byte, error) {
	if e.record.Kind != history.RecordTurn {
		return e.data, nil
	}
	return e.record.BudgetPart().Encode()
}

// offsetMark records the time at which the partition ended at an offset.
type offsetMark struct {
	offset int64
	at     time.Time
}

// write appends queued records until the context ends or the leader is fenced.
func (ld *leader) write(ctx context.Context) error {
	ld.sequence = 1
	for {
		batch, err := ld.nextBatch(ctx)
		if err != nil {
			return err
		}
		end, err := ld.append(ctx, batch)
		if err != nil {
			return err
		}
		ld.sequence++
		ld.mu.Lock()
		for n, e := range batch {
			offset := end - int64(len(batch)-n)
			ld.state.MarkStored(e.record, offset)
			if e.record.Kind == history.RecordClaim {
				ld.claimOffset, ld.claimStoredAt = offset, time.Now()
			}
			e.finish(nil)
		}
		ld.inFlight, ld.stalledSince = nil, time.Time{}
		if hasCeilings(batch) {
			ld.notifyBudgets()
		}
		flushed := hasCopies(batch) && !hasCopies(ld.pending)
		ld.mu.Unlock()
		if flushed {
			ld.announceStored(ld.part.Part, ld.epoch)
		}
	}
}

// notifyBudgets wakes the attempts that wait for their budget. The caller holds the lock.
func (ld *leader) notifyBudgets() {
	close(ld.budgetChanged)
	ld.budgetChanged = make(chan struct{})
}

func hasCeilings(list []*entry) bool {
	return slices.ContainsFunc(list, func(e *entry) bool { return e.record.Ceiling > 0 })
}

// hasCopies reports whether peers may hold copies of some of the records.
func hasCopies(list []*entry) bool {
	for _, e := range list {
		if e.copied || e.protected {
			return true
		}
	}
	return false
}

// nextBatch waits for queued records and returns those of the next append.
func (ld *leader) nextBatch(ctx context.Context) ([]*entry, error) {
	for {
		ld.mu.Lock()
		batch, wait := ld.dueBatch(time.Now())
		ld.mu.Unlock()
		if len(batch) > 0 {
			return batch, nil
		}
		var linger <-chan time.Time
		if wait > 0 {
			linger = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil, errStopping
		case <-ld.wake:
		case <-linger:
		}
	}
}

// dueBatch returns the records of the next append, or how long they may still wait for others.
func (ld *leader) dueBatch(now time.Time) ([]*entry, time.Duration) {
	if len(ld.pending) == 0 {
		return nil, 0
	}
	urgent := false
	for _, e := range ld.pending {
		urgent = urgent || e.urgent
	}
	if left := grantLinger - now.Sub(ld.pending[0].queuedAt); !urgent && left > 0 {
		return nil, left
	}
	size, n := 0, 0
	for n < len(ld.pending) && (n == 0 || size+len(ld.pending[n].data) < ld.maxAppendBytes) {
		size += len(ld.pending[n].data) + recordPrefixBytes
		n++
	}
	batch := ld.pending[:n:n]
	ld.pending = ld.pending[n:]
	ld.inFlight = batch
	return batch, 0
}

// recordPrefixBytes is the overhead of each record in a store call.
const recordPrefixBytes = 4

// append appends a batch and retries until the outcome is known. The sequence number prevents a retry from
// repeating an append whose response was lost. It returns the end of the partition after the batch.
func (ld *leader) append(ctx context.Context, batch []*entry) (int64, error) {
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	first := time.Now()
	size := batchSize(batch)
	for try := 0; ; try++ {
		upload := maxTransferTime(ld.uploads.Add(size))
		timeout := upload + min(max(appendTimeoutFactor*ld.avgAppendTime, minAppendTimeout)<<min(try, 4), maxAppendTimeout)
		actx, cancel := context.WithTimeout(ctx, timeout)
		start := time.Now()
		end, err := ld.storeLog.Append(actx, store.AppendRequest{
			Partition: ld.part, Records: records, Producer: producer, Epoch: ld.epoch, Sequence: ld.sequence, ExpectedEnd: -1,
		})
		cancel()
		ld.uploads.Add(-size)
		ld.onResult(err)
		var sequence *store.SequenceError
		switch {
		case err == nil:
			ld.recordAppend(time.Since(start), end)
			return end, nil
		case errors.Is(err, store.ErrFenced):
			return 0, err
		case errors.As(err, &sequence):
			if sequence.Expected == ld.sequence+1 {
				// An earlier try was appended. Its end is not known; 0 keeps the records from being trimmed too early.
				return int64(len(batch)), nil
			}
			return 0, fmt.Errorf("append with sequence number %d: %w", ld.sequence, err)
		case ctx.Err() != nil:
			return 0, errStopping
		}
		ld.logger.WithFields(logrus.Fields{"reason": err.Error(), "count": try, "took": time.Since(start).Milliseconds()}).
			Debug("append failed")
		ld.markStalled(first)
		if errors.Is(err, store.ErrUnavailable) || time.Since(start) < timeout {
			select {
			case <-ctx.Done():
				return 0, errStopping
			case <-time.After(appendRetryDelay):
			}
		}
	}
}

// minTransferRate is the rate, in bytes per second, that large transfers of an instance still get together on its busy link:
// a third of 22 Mbit/s, the slowest link of the supported deployments.
const minTransferRate = 900_000

// maxTransferTime returns how long transfers may take on a slow link that they share, given their size in bytes. After an
// outage of the store they are far larger than usual.
func maxTransferTime(size int64) time.Duration {
	return time.Duration(size) * time.Second / minTransferRate
}

// batchSize returns the size of an append of the records in bytes.
func batchSize(batch []*entry) int64 {
	size := 0
	for _, e := range batch {
		size += len(e.data) + recordPrefixBytes
	}
	return int64(size)
}

// markStalled records that the append in flight has failed.
func (ld *leader) markStalled(first time.Time) {
	ld.mu.Lock()
	ld.stalledSince = first
	ld.mu.Unlock()
	select {
	case ld.stallSignal <- struct{}{}:
	default:
	}
}

func (ld *leader) recordAppend(took time.Duration, end int64) {
	ld.avgAppendTime += time.Duration(smoothing * float64(took-ld.avgAppendTime))
	now := time.Now()
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if n := len(ld.offsetMarks); n == 0 || now.Sub(ld.offsetMarks[n-1].at) > time.Second {
		ld.offsetMarks = append(ld.offsetMarks, offsetMark{offset: end, at: now})
	}
}

// finish reports the outcome of the record to its waiters, once. The caller holds the lock of the leader.
func (e *entry) finish(err error) {
	if e.finished {
		return
	}
	e.finished, e.err = true, err
	close(e.done)
	if !e.copied {
		close(e.budget)
	}
}

// markCopied records that enough peers hold a copy of the budget part. The caller holds the lock of the leader.
func (e *entry) markCopied() {
	if e.copied || e.finished {
		return
	}
	e.copied = true
	close(e.budget)
}

// enqueue queues a record for an append. The caller holds the lock.
func (ld *leader) enqueue(r history.Record, urgent bool) (*entry, error) {
	data, err := r.Encode()
	if err != nil {
		return nil, err
	}
	e := &entry{record: r, data: data, urgent: urgent, queuedAt: time.Now(), done: make(chan struct{}), budget: make(chan struct{})}
	ld.pending = append(ld.pending, e)
	ld.recentSums[xxhash.Sum64(data)] = e.queuedAt
	select {
	case ld.wake <- struct{}{}:
	default:
	}
	return e, nil
}

// wait waits until the record is safe.
func (ld *leader) wait(ctx context.Context, e *entry) error {
	if err := await(ctx, e.done); err != nil {
		return err
	}
	return e.err
}

// barrier waits until all records that are queued now are in the store.
func (ld *leader) barrier(ctx context.Context) error {
	ld.mu.Lock()
	if !ld.mayServe() {
		ld.mu.Unlock()
		return errNotHolder
	}
	e, err := ld.enqueue(ld.claimRecord(), true)
	ld.mu.Unlock()
	if err != nil {
		return err
	}
	return ld.wait(ctx, e)
}
