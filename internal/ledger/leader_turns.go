package ledger

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/store"
)

// releaseBudgets lowers the ceilings in the store to what programs have used, so that the next holder need not count
// the rest as spent. It is a single try: without it programs have less of their budgets left.
func (ld *leader) releaseBudgets() {
	ld.mu.Lock()
	ld.releasing = true
	records := ld.state.Release(time.Now())
	stalled := !ld.stalledSince.IsZero()
	ld.mu.Unlock()
	if len(records) == 0 || stalled {
		return
	}
	var data [][]byte
	size := 0
	for _, r := range records {
		encoded, err := r.Encode()
		if err != nil {
			ld.logger.WithField("reason", err.Error()).Warn("ceiling of a budget not released")
			continue
		}
		if size += len(encoded) + recordPrefixBytes; size > ld.maxAppendBytes {
			break
		}
		data = append(data, encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := ld.storeLog.Append(ctx, store.AppendRequest{
		Partition: ld.part, Records: data, Producer: producer, Epoch: ld.epoch, Sequence: ld.sequence, ExpectedEnd: -1,
	})
	ld.onResult(err)
	if err != nil {
		ld.logger.WithField("reason", err.Error()).Info("ceilings of budgets not released")
		return
	}
	ld.logger.WithField("count", len(data)).Info("ceilings of budgets released")
}

// begin decides whether an attempt may run.
func (ld *leader) begin(ctx context.Context, b history.Begin) (history.Outcome, Permit, error) {
	if err := ld.awaitReady(ctx); err != nil {
		return 0, Permit{}, err
	}
	logged := false
	for verified := false; ; {
		outcome, permit, budgetChanged, covered, err := ld.tryBegin(b)
		if !covered && !logged && ld.isStalled() {
			logged = true
			ld.logger.WithFields(logrus.Fields{"program": b.Program, "call": b.Turn}).Info("turn waits, the store holds too little of its program's budget")
		}
		if err == nil && outcome == history.UnknownTurn && !verified {
			// A holder that was replaced does not have the newest turns.
			if err := ld.barrier(ctx); err != nil {
				return 0, Permit{}, err
			}
			verified = true
			continue
		}
		if err != nil || outcome != history.MustWait {
			return outcome, permit, err
		}
		select {
		case <-budgetChanged:
		case <-time.After(overdueCheckInterval): // other attempts may pass their deadline without an event
		case <-ld.closed:
			return 0, Permit{}, errNotHolder
		case <-ctx.Done():
			return history.MustWait, Permit{}, nil
		}
	}
}

// overdueCheckInterval is how often a waiting attempt checks for attempts that passed their deadline.
const overdueCheckInterval = 200 * time.Millisecond

// tryBegin makes one decision. covered is false if the attempt has to wait because the ceiling in the store does not cover
// it. In an outage of the store it then reserves nothing.
func (ld *leader) tryBegin(b history.Begin) (outcome history.Outcome, permit Permit, budgetChanged <-chan struct{}, covered bool, err error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.mayServe() {
		return 0, Permit{}, nil, true, errNotHolder
	}
	if b.Previous != "" && !b.HasChain {
		var ok bool
		if permit.Body, ok = ld.state.Body(b.Previous); !ok {
			return history.UnknownTurn, Permit{}, nil, true, nil
		}
	}
	if ld.inOutage() && !ld.state.AllowedInOutage(b) {
		return history.MustWait, Permit{}, ld.budgetChanged, false, nil
	}
	permit.Begun = ld.state.Begun(b.Program)
	outcome, record := ld.state.Begin(b, time.Now())
	if outcome != history.Granted {
		return outcome, permit, ld.budgetChanged, true, nil
	}
	if record != nil {
		e, err := ld.enqueue(*record, false)
		if err != nil {
			return 0, Permit{}, nil, true, err
		}
		ld.latestGrants[b.Program] = e
	}
	if !ld.state.Cover(b) {
		return history.MustWait, Permit{}, ld.budgetChanged, false, nil
	}
	return outcome, permit, nil, true, nil
}

// confirm waits until the grant of an attempt is safe. The grant may be part of the record of a turn, whose text may
// still wait for the store.
func (ld *leader) confirm(ctx context.Context, program, attempt string) error {
	ld.mu.Lock()
	reserved, e := ld.state.HasReservation(program, attempt), ld.latestGrants[program]
	serving := ld.mayServe()
	ld.mu.Unlock()
	if !serving || !reserved {
		return errNotHolder
	}
	if e == nil {
		return nil
	}
	if err := await(ctx, e.budget); err != nil {
		return err
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return e.err
}

// end applies the end of an attempt. For a complete turn it waits until the record is safe; it returns errNoPrevious if
// the partition lacks the turn before it. The end of a turn that has ended already is a repetition; then it waits until
// the earlier records are in the store.
func (ld *leader) end(ctx context.Context, end history.End) error {
	if err := ld.awaitReady(ctx); err != nil {
		return err
	}
	ld.mu.Lock()
	if !ld.mayServe() {
		ld.mu.Unlock()
		return errNotHolder
	}
	if end.Complete && end.Previous != "" && !ld.state.HasTurn(end.Previous) {
		ld.mu.Unlock()
		return errNoPrevious
	}
	record, isNew := ld.state.End(end, time.Now())
	if !isNew {
		ld.mu.Unlock()
		return ld.barrier(ctx)
	}
	e, err := ld.enqueue(record, end.Complete)
	if record.Ceiling > 0 && err == nil {
		ld.latestGrants[end.Program] = e
	}
	ld.notifyBudgets()
	ld.mu.Unlock()
	if err != nil || !end.Complete {
		return err
	}
	return ld.wait(ctx, e)
}

// find returns the text of the chain of a turn, including the turn. Before it reports that there is no such
// turn, it appends a record to verify that this leader still holds the partition.
func (ld *leader) find(ctx context.Context, turn string) ([]byte, bool, error) {
	if err := ld.awaitReady(ctx); err != nil {
		return nil, false, err
	}
	ld.mu.Lock()
	body, ok := ld.state.Body(turn)
	ld.mu.Unlock()
	if ok {
		return body, true, nil
	}
	return nil, false, ld.barrier(ctx)
}

// adopt adds a turn of another partition with the text of its chain. It returns once the store has the turn.
func (ld *leader) adopt(ctx context.Context, turn string, body []byte, retention time.Duration) error {
	if err := ld.awaitReady(ctx); err != nil {
		return err
	}
	ld.mu.Lock()
	if !ld.mayServe() {
		ld.mu.Unlock()
		return errNotHolder
	}
	if ld.state.HasTurn(turn) {
		stored := ld.state.Stored(turn)
		ld.mu.Unlock()
		if stored {
			return nil
		}
		return ld.barrier(ctx) // an earlier adoption may still wait for the store
	}
	var e *entry // of the last record, which completes the turn
	var err error
	for _, r := range ld.state.ImportChain(turn, body, retention, ld.maxTurnBytes, time.Now()) {
		if e, err = ld.enqueue(r, true); err != nil {
			break
		}
	}
	ld.mu.Unlock()
	if err != nil {
		return err
	}
	return ld.wait(ctx, e)
}

// expire drops expired entries from memory and, every trimInterval, from the store.
func (ld *leader) expire(ctx context.Context, retention time.Duration) {
	if !ld.isServing() {
		return
	}
	now := time.Now()
	ld.mu.Lock()
	ld.state.Expire(now, retention)
	for program, e := range ld.latestGrants {
		if e.finished && e.err == nil {
			delete(ld.latestGrants, program)
		}
	}
	for sum, at := range ld.recentSums {
		if now.Sub(at) > copyTTL {
			delete(ld.recentSums, sum)
		}
	}
	before := int64(0)
	if now.Sub(ld.lastTrim) > trimInterval {
		ld.lastTrim = now
		for len(ld.offsetMarks) > 0 && now.Sub(ld.offsetMarks[0].at) > retention+trimMargin {
			before = ld.offsetMarks[0].offset
			ld.offsetMarks = ld.offsetMarks[1:]
		}
	}
	before = min(before, ld.state.OldestOffset(), ld.claimOffset)
	if now.Sub(ld.claimStoredAt) > claimRefreshInterval && ld.stalledSince.IsZero() {
		ld.claimStoredAt = now
		if _, err := ld.enqueue(ld.claimRecord(), false); err != nil {
			ld.logger.WithField("reason", err.Error()).Warn("claim not repeated")
		}
	}
	ld.renew(now)
	ld.mu.Unlock()
	if before == 0 {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	if err := ld.storeLog.Trim(tctx, ld.part, before); err != nil {
		ld.logger.WithField("reason", err.Error()).Info("trim failed; will be retried")
	}
}
