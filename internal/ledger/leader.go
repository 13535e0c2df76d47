package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/store"
)

// Limits of a leader.
const (
	// grantLinger is how long a grant waits for other records to share its append. It does not delay callers,
	// because an engine takes longer to produce its first event.
	grantLinger = 8 * time.Millisecond
	// minAppendTimeout is more than ten times the usual response time of the store.
	minAppendTimeout = 60 * time.Millisecond
	maxAppendTimeout = time.Second
	// appendTimeoutFactor times the average append time is the timeout of the first try of an append.
	appendTimeoutFactor = 3
	// appendRetryDelay limits the rate of retries while the store refuses appends.
	appendRetryDelay = 40 * time.Millisecond
	// stallThreshold is how long an append may fail before its records are protected outside the partition. A
	// store that is merely slow answers within this time.
	stallThreshold = 250 * time.Millisecond
	// releaseTimeout bounds the last append of a holder that gives its partition up.
	releaseTimeout = 200 * time.Millisecond
	// lateCopyWindow is how long after a claim peers that were out of reach may still connect and offer copies.
	lateCopyWindow    = 3 * time.Second
	protectInterval   = 10 * time.Millisecond
	protectRetryDelay = 100 * time.Millisecond
	// smoothing is the weight of the newest sample in an exponential moving average.
	smoothing = 0.2
	// trimInterval is the time between deletions of expired records from the store.
	trimInterval = 20 * time.Second
	// trimMargin is how long records are kept in the store beyond the longest retention.
	trimMargin = 30 * time.Second
	// claimRefreshInterval is the time between repetitions of a claim. The newest claim names the epoch, so it must
	// outlive the records that the store deletes by their age.
	claimRefreshInterval = 30 * time.Second
)

// producer is the producer ID of history in the fences of the store. All holders share it, so that the epoch
// decides between them.
const producer = "history"

// Errors of a leader.
var (
	errNotHolder  = errors.New("partition is held by another instance")
	errStopping   = errors.New("instance stops")
	errNoPrevious = errors.New("partition lacks the previous turn")
	errShortRead  = errors.New("read returned no records before the end of the partition")
	errEpochUsed  = errors.New("epoch was used before")
)

// leader is the partition leader: the instance part that holds one partition. It is the only writer of the
// partition under its epoch, and serves reads from memory.
type leader struct {
	part           store.Partition
	generation     int64 // of the group when the partition was assigned
	epoch          int64 // of the claim
	maxAppendBytes int   // limit of a single append
	maxTurnBytes   int   // limit of the text of a turn in one record
	// recordRetention is how long the store keeps records; 0 if it does not delete them by their age.
	recordRetention time.Duration
	instance        string
	storeLog        store.Log
	logger          logrus.FieldLogger
	onResult        func(err error) // called with the result of each append
	loads           chan struct{}   // of the instance: holds an element for each partition that is being loaded
	uploads         *atomic.Int64   // of the instance: size of the appends in flight
	// protect keeps records outside the partition while the store does not accept them. It returns the records
	// that are safe.
	protect func(ctx context.Context, ld *leader, entries []*entry) (safe []*entry)
	// collect returns the copies that peers hold. It is called once the partition is claimed.
	collect func(ctx context.Context, part int, epoch int64, known func(sum uint64) bool) [][]byte
	// announceClaim is called once the claimed partition is served.
	announceClaim func(part int, epoch int64)
	// announceStored is called when all records that were protected outside the partition are in the store.
	announceStored func(part int, epoch int64)
	// retainCopies keeps records as copies on this instance that a stopping leader could not append.
	retainCopies func(part int, epoch int64, records [][]byte)

	ready  chan struct{} // closed once the partition is claimed and loaded
	closed chan struct{} // closed when the leader has stopped
	cancel context.CancelFunc

	mu            sync.Mutex
	state         *history.State
	releasing     bool // the partition is being given up
	pending       []*entry
	inFlight      []*entry  // batch of the append in flight
	stalledSince  time.Time // start of the failing append; zero when appends succeed
	stallSignal   chan struct{}
	latestGrants  map[string]*entry // newest grant by program; expire removes it once it is safe
	budgetChanged chan struct{}     // closed and replaced when an attempt ends or a ceiling is stored
	wake          chan struct{}
	sequence      int64
	avgAppendTime time.Duration // moving average of the duration of appends
	offsetMarks   []offsetMark
	lastTrim      time.Time
	claimedAt     time.Time
	claimOffset   int64                // of the newest claim record
	claimStoredAt time.Time            // when that was stored
	recentSums    map[uint64]time.Time // of records of the last copyTTL, so that copies of them are not fetched again

	offerMu sync.Mutex // held while offered copies are fetched
}

func newLeader(part store.Partition, generation int64, instance string, maxAppendBytes, maxTurnBytes int, storeLog store.Log, logger logrus.FieldLogger, onResult func(error)) *leader {
	return &leader{
		part: part, generation: generation, maxAppendBytes: maxAppendBytes, maxTurnBytes: maxTurnBytes, instance: instance, storeLog: storeLog, onResult: onResult,
		logger:        logger.WithFields(logrus.Fields{"part": part.Part}),
		ready:         make(chan struct{}),
		closed:        make(chan struct{}),
		state:         history.NewState(),
		latestGrants:  make(map[string]*entry),
		recentSums:    make(map[uint64]time.Time),
		budgetChanged: make(chan struct{}),
		wake:          make(chan struct{}, 1),
		stallSignal:   make(chan struct{}, 1),
	}
}

// run claims the partition and appends its records until the context ends or the leader is fenced.
func (ld *leader) run(ctx context.Context) {
	err := ld.claim(ctx)
	if err == nil {
		ld.applyCopies(ld.collect(ctx, ld.part.Part, ld.epoch, ld.hasRecord))
		ld.mu.Lock()
		ld.state.FinishRecovery()
		ld.claimedAt = time.Now()
		ld.mu.Unlock()
		close(ld.ready)
		ld.announceClaim(ld.part.Part, ld.epoch)
		go ld.protectStalled(ctx)
		if err = ld.write(ctx); errors.Is(err, errStopping) {
			ld.releaseBudgets()
		}
	}
	ld.stop(err)
}

// applyCopies applies and queues records that peers held for an earlier holder.
func (ld *leader) applyCopies(records [][]byte) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now, taken := time.Now(), 0
	for _, data := range records {
		ld.recentSums[xxhash.Sum64(data)] = now
		r, err := history.Decode(data)
		if err != nil {
			ld.logger.WithField("reason", err.Error()).Warn("copy skipped")
			continue
		}
		if ld.state.Applied(r) {
			continue
		}
		e, err := ld.enqueue(ld.state.LoadCopy(r, now), true)
		if err != nil {
			ld.logger.WithField("reason", err.Error()).Warn("copy skipped")
			continue
		}
		e.protected = true
		taken++
	}
	if len(records) > 0 {
		ld.logger.WithFields(logrus.Fields{"count": taken, "offset": len(records)}).Info("copies of an earlier holder taken over")
	}
}

func (ld *leader) isStalled() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return !ld.stalledSince.IsZero()
}

// olderThan reports whether the claim of the leader has an earlier epoch.
func (ld *leader) olderThan(epoch int64) bool {
	select {
	case <-ld.ready:
		return ld.epoch < epoch
	default:
		return ld.generation < epoch/epochsPerGeneration
	}
}

func (ld *leader) stop(cause error) {
	ld.mu.Lock()
	var copies [][]byte
	for _, list := range [][]*entry{ld.inFlight, ld.pending} {
		for _, e := range list {
			if e.record.Kind != history.RecordClaim && (e.copied || e.protected || !ld.stalledSince.IsZero()) {
				if data, err := e.copyData(); err != nil {
					ld.logger.WithFields(logrus.Fields{"call": e.record.Turn, "reason": err.Error()}).Warn("record not kept as a copy")
				} else {
					copies = append(copies, data)
				}
			}
			e.finish(errNotHolder)
		}
	}
	ld.inFlight, ld.pending = nil, nil
	ld.retainCopies(ld.part.Part, ld.epoch, copies)
	close(ld.closed)
	ld.mu.Unlock()
	ld.logger.WithField("reason", fmt.Sprint(cause)).Info("partition released")
}

// awaitReady waits until the partition is claimed.
func (ld *leader) awaitReady(ctx context.Context) error {
	select {
	case <-ld.closed:
		return errNotHolder
	case <-ld.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// inOutage reports whether appends fail for longer than a store that is merely slow would take. The caller holds the lock.
func (ld *leader) inOutage() bool {
	return !ld.stalledSince.IsZero() && time.Since(ld.stalledSince) >= stallThreshold
}

// recentlyClaimed reports whether peers that were out of reach at the claim may still offer copies.
func (ld *leader) recentlyClaimed(now time.Time) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return now.Sub(ld.claimedAt) < lateCopyWindow
}

// hasRecord reports whether a recent record with the sum is known.
func (ld *leader) hasRecord(sum uint64) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	_, ok := ld.recentSums[sum]
	return ok
}

func (ld *leader) isServing() bool {
	select {
	case <-ld.ready:
		return !ld.isClosed()
	default:
		return false
	}
}

// mayServe reports whether requests are still served. The caller holds the lock.
func (ld *leader) mayServe() bool { return !ld.releasing && !ld.isClosed() }

func (ld *leader) isClosed() bool {
	select {
	case <-ld.closed:
		return true
	default:
		return false
	}
}

func await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (ld *leader) claimRecord() history.Record {
	return history.Record{Kind: history.RecordClaim, At: time.Now().UnixMilli(), Epoch: ld.epoch, Holder: ld.instance}
}
