package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/store"
)

const (
	// maxLoads is the number of partitions that an instance loads at once. They share its link to the store: if it
	// loaded all at once, none would be ready before the last.
	maxLoads = 4
	// maxReadBytes limits the size of a single read of a claim.
	maxReadBytes = 1 << 20
	// minReadStall and maxReadStall bound how long a read waits for the next part of its result. A read that stalled is
	// repeated with twice the limit, since the store may have more to read than it sends in that time.
	minReadStall = time.Second
	maxReadStall = 4 * time.Second
	// maxReadTime bounds a read whose result arrives very slowly. What has arrived by then is kept.
	maxReadTime = 10 * time.Second
	// maxEpochTries limits the epochs that a claim tries. Each restart of an instance within a generation uses one.
	maxEpochTries = 16
	// claimReportInterval is the time between log lines about a claim that fails repeatedly. Their offset tells whether
	// its reads get further.
	claimReportInterval = 2 * time.Second
)

// partitionClaim is the claim of a leader in progress: the whole partition is read and a claim appended at its end. The
// append is conditional on that end, so that the state includes every record before the claim.
type partitionClaim struct {
	*leader
	next       int64 // offset of the next record to read
	records    int   // number of records read
	readStall  time.Duration
	usedEpoch  int64 // newest epoch that the store has rejected as used
	epochTries int
	begunAt    time.Time
	reportedAt time.Time
}

// claim reads the whole partition and appends a claim at its end. It fails if the partition cannot be claimed under the
// generation of the leader, or when the context ends.
func (ld *leader) claim(ctx context.Context) error {
	now := time.Now()
	c := &partitionClaim{leader: ld, readStall: minReadStall, begunAt: now, reportedAt: now}
	for {
		failed, err := c.try(ctx)
		if err == nil {
			break
		}
		if failed == "" {
			return err
		}
		if err := c.pause(ctx, failed, err); err != nil {
			return err
		}
	}
	ld.claimOffset, ld.claimStoredAt = c.next, time.Now()
	ld.logger.WithFields(logrus.Fields{
		"epoch": ld.epoch, "count": c.records, "offset": c.next, "took": time.Since(c.begunAt).Milliseconds(), "turns": ld.state.Turns(),
	}).Info("partition claimed")
	return nil
}

// try loads what is missing and appends the claim, as one of the maxLoads partitions that the instance loads at once. An
// error is final unless failed names the store call that may succeed later.
func (c *partitionClaim) try(ctx context.Context) (failed string, err error) {
	select {
	case c.loads <- struct{}{}:
		defer func() { <-c.loads }()
	case <-ctx.Done():
		return "", errStopping
	}
	for {
		if err := c.load(ctx); err != nil {
			return "read", err
		}
		if c.epoch, err = nextEpoch(c.generation, max(c.state.Epoch(), c.usedEpoch)); err != nil {
			return "", err
		}
		err := c.appendClaim(ctx, c.next)
		var moved *store.MovedError
		switch {
		case err == nil:
			return "", nil
		case errors.As(err, &moved):
		case errors.Is(err, errEpochUsed) || errors.Is(err, store.ErrFenced):
			// The claims of earlier runs in this generation have expired in the store, or a later generation has begun.
			if c.epochTries++; c.epochTries == maxEpochTries {
				return "", err
			}
			c.usedEpoch = c.epoch
		default:
			return "claim", err
		}
	}
}

// pause logs a failed store call and waits before a retry. It fails when the context ends.
func (c *partitionClaim) pause(ctx context.Context, call string, err error) error {
	log := c.logger.WithFields(logrus.Fields{"name": call, "reason": err.Error()})
	if now := time.Now(); now.Sub(c.reportedAt) >= claimReportInterval {
		c.reportedAt = now
		log.WithFields(logrus.Fields{"count": c.records, "offset": c.next, "took": now.Sub(c.begunAt).Milliseconds()}).
			Warn("partition not claimed yet")
	} else {
		log.Debug("store call failed")
	}
	select {
	case <-ctx.Done():
		return errStopping
	case <-time.After(appendRetryDelay):
		return nil
	}
}

// epochsPerGeneration is the number of epochs within a group generation. An instance that restarts within a
// generation claims its partitions again, under a new epoch.
const epochsPerGeneration = 1 << 16

// nextEpoch returns the epoch of a claim that follows the newest epoch seen. It fails if the newest epoch
// belongs to a later generation, in which another instance holds the partition.
func nextEpoch(generation, newest int64) (int64, error) {
	if newest/epochsPerGeneration > generation {
		return 0, fmt.Errorf("claimed under epoch %d: %w", newest, errNotHolder)
	}
	return max(generation*epochsPerGeneration, newest+1), nil
}

// load reads and applies the records up to the end of the partition.
func (c *partitionClaim) load(ctx context.Context) error {
	for {
		b, err := c.read(ctx)
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > c.next {
			c.next = trimmed.First
			continue
		}
		if err != nil {
			return err
		}
		c.apply(b.Records)
		if c.next >= b.End {
			return nil
		}
		if len(b.Records) == 0 {
			return fmt.Errorf("%w: end %d, first %d", errShortRead, b.End, b.First)
		}
	}
}

// apply applies the next records of the partition.
func (c *partitionClaim) apply(records [][]byte) {
	now, wall := time.Now(), time.Now()
	c.mu.Lock() // the ledger expires records concurrently
	defer c.mu.Unlock()
	for _, data := range records {
		offset := c.next
		c.next++
		c.records++
		r, err := history.Decode(data)
		if err != nil {
			c.logger.WithField("reason", err.Error()).WithField("offset", offset).Warn("malformed record skipped")
			continue
		}
		c.state.Load(r, offset, now, wall)
		if at := time.UnixMilli(r.At); wall.Sub(at) < copyTTL {
			c.recentSums[xxhash.Sum64(data)] = at
		}
	}
}

// read reads the next records. It goes on for as long as parts of them arrive, since other reads may take most of the link.
func (c *partitionClaim) read(ctx context.Context) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	ctx, stop := store.WithMaxStall(ctx, c.readStall)
	defer stop()
	b, err := c.storeLog.Read(ctx, c.part, c.next, maxReadBytes, 0)
	if err != nil && errors.Is(context.Cause(ctx), store.ErrStalled) {
		err = fmt.Errorf("%w: %w", store.ErrStalled, err)
		c.readStall = min(2*c.readStall, maxReadStall)
	}
	return b, err
}

// appendClaim appends a claim under the epoch of the leader. It returns errEpochUsed if the store takes it for a repetition
// of an append of an earlier run, which is answered like the first one.
func (ld *leader) appendClaim(ctx context.Context, at int64) error {
	data, err := ld.claimRecord().Encode()
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	end, err := ld.storeLog.Append(actx, store.AppendRequest{
		Partition: ld.part, Records: [][]byte{data}, Producer: producer, Epoch: ld.epoch, Sequence: 0, ExpectedEnd: at,
	})
	ld.onResult(err)
	var sequence *store.SequenceError
	if errors.As(err, &sequence) || err == nil && end != at+1 {
		return fmt.Errorf("claim under epoch %d: %w", ld.epoch, errEpochUsed)
	}
	return err
}
