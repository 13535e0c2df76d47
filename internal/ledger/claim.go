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

// claim reads the whole partition and appends a claim at its end. The append is conditional on that end, so
// that the state includes every record before the claim.
func (ld *leader) claim(ctx context.Context) error {
	start := time.Now()
	from, records, used := int64(0), 0, int64(0)
	reported := start
	pause := func(call string, err error) error {
		if now := time.Now(); now.Sub(reported) >= claimReportInterval {
			reported = now
			ld.logger.WithFields(logrus.Fields{
				"name": call, "reason": err.Error(), "count": records, "offset": from, "took": now.Sub(start).Milliseconds(),
			}).Warn("partition not claimed yet")
		}
		return ld.pause(ctx, call, err)
	}
	for tries := 0; ; {
		end, n, err := ld.load(ctx, from)
		records += n
		from = end
		if err != nil {
			if err := pause("read", err); err != nil {
				return err
			}
			continue
		}
		if ld.epoch, err = nextEpoch(ld.generation, max(ld.state.Epoch(), used)); err != nil {
			return err
		}
		if err = ld.appendClaim(ctx, from); err == nil {
			break
		}
		var moved *store.MovedError
		switch {
		case errors.As(err, &moved):
		case errors.Is(err, errEpochUsed) || errors.Is(err, store.ErrFenced):
			// The claims of earlier runs in this generation have expired in the store, or a later generation has begun.
			if tries++; tries == maxEpochTries {
				return err
			}
			used = ld.epoch
		default:
			if err := pause("claim", err); err != nil {
				return err
			}
		}
	}
	ld.claimOffset, ld.claimStoredAt = from, time.Now()
	ld.logger.WithFields(logrus.Fields{
		"epoch": ld.epoch, "count": records, "offset": from, "took": time.Since(start).Milliseconds(), "turns": ld.state.Turns(),
	}).Info("partition claimed")
	return nil
}

// claimReportInterval is the time between log lines about a claim that fails repeatedly. Their offset tells whether its
// reads get further.
const claimReportInterval = 2 * time.Second

// maxEpochTries limits the epochs that a claim tries. Each restart of an instance within a generation uses one.
const maxEpochTries = 16

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

// load reads and applies records from an offset to the end of the partition.
func (ld *leader) load(ctx context.Context, from int64) (end int64, count int, err error) {
	for {
		b, err := ld.read(ctx, from)
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return from, count, err
		}
		now, wall := time.Now(), time.Now()
		ld.mu.Lock() // the ledger expires records concurrently
		for n, data := range b.Records {
			r, err := history.Decode(data)
			if err != nil {
				ld.logger.WithField("reason", err.Error()).WithField("offset", from+int64(n)).Warn("malformed record skipped")
				continue
			}
			ld.state.Load(r, from+int64(n), now, wall)
			if at := time.UnixMilli(r.At); wall.Sub(at) < copyTTL {
				ld.recentSums[xxhash.Sum64(data)] = at
			}
		}
		ld.mu.Unlock()
		count += len(b.Records)
		from += int64(len(b.Records))
		if from >= b.End {
			return from, count, nil
		}
		if len(b.Records) == 0 {
			return from, count, fmt.Errorf("%w: end %d, first %d", errShortRead, b.End, b.First)
		}
	}
}

func (ld *leader) read(ctx context.Context, from int64) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	return ld.storeLog.Read(ctx, ld.part, from, maxReadBytes, 0)
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

// pause logs a failed store call and waits before a retry. It fails when the context ends.
func (ld *leader) pause(ctx context.Context, call string, err error) error {
	ld.logger.WithFields(logrus.Fields{"name": call, "reason": err.Error()}).Debug("store call failed")
	select {
	case <-ctx.Done():
		return errStopping
	case <-time.After(appendRetryDelay):
		return nil
	}
}
