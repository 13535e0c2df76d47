package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/store"
)

// Times of a keeper.
const (
	// grantLinger is how long a grant waits for others to share its append. A caller notices
	// nothing: an engine takes longer to its first event.
	grantLinger = 8 * time.Millisecond
	// minAppendTimeout is above ten times the store's usual answer.
	minAppendTimeout = 60 * time.Millisecond
	maxAppendTimeout = time.Second
	// appendSlack times the usual answer is the time after which an append is sent again.
	appendSlack = 3
	// refusedPause keeps the rate of appends low while the store refuses them.
	refusedPause = 40 * time.Millisecond
	// stallAge is how long an append may fail before records are made to last otherwise. Slow stores answer
	// within it.
	stallAge = 250 * time.Millisecond
	// newClaim is how long after a claim peers may still connect and offer copies.
	newClaim     = 3 * time.Second
	protectPause = 10 * time.Millisecond
	protectRetry = 100 * time.Millisecond
	// readBytes is the most that one read of a claim returns.
	readBytes = 1 << 20
	// smoothing is the weight of the newest figure in a moving average.
	smoothing = 0.2
	// trimEvery is the time between deletions of records that are not needed any more.
	trimEvery = 20 * time.Second
	// trimSlack is kept beyond the longest retention.
	trimSlack = 30 * time.Second
)

// producer names the writer of history in the store's fences. All holders share it; the epoch tells
// them apart.
const producer = "history"

// Errors of a keeper.
var (
	errNotHolder = errors.New("partition is held by another instance")
	errStopping  = errors.New("instance stops")
)

// entry is a record on its way into the store.
type entry struct {
	record history.Record
	data   []byte
	urgent bool
	since  time.Time
	done   chan struct{} // closed once err is set
	err    error
	ended  bool // done is closed
	copied bool // it counts as kept though it isn't in the store
}

// keeper holds one partition: it alone writes it under its epoch, and answers from memory.
type keeper struct {
	part       store.Partition
	generation int64 // of the group, when the partition was dealt out
	epoch      int64 // of the claim
	limit      int   // bytes of an append
	name       string
	log        store.Log
	lines      logrus.FieldLogger
	watch      func(err error) // told of each append's outcome
	// protect makes records last otherwise while the store doesn't take them, and returns those that do.
	protect func(ctx context.Context, k *keeper, entries []*entry) (kept []*entry)
	// collect returns the copies that peers hold, once the partition is claimed.
	collect func(ctx context.Context, part int, epoch int64, known func(sum uint64) bool) [][]byte
	// claimed is told of the claim, once the partition is served.
	claimed func(part int, epoch int64)
	// flushed is told when all records that peers have copies of are in the store.
	flushed func(part int, epoch int64)
	// leave takes the copied records of a keeper that ends.
	leave func(part int, epoch int64, records [][]byte)

	ready  chan struct{} // closed once the partition is claimed and read
	closed chan struct{} // closed when the keeper holds the partition no more
	cancel context.CancelFunc

	mu        sync.Mutex
	state     *history.State
	pending   []*entry
	sending   []*entry  // the append on its way
	stalled   time.Time // start of an append that has failed since; zero otherwise
	stall     chan struct{}
	granting  map[string]*entry // newest grant by program, while it may be on its way
	changed   chan struct{}     // closed and replaced when an attempt ends
	wake      chan struct{}
	sequence  int64
	usual     time.Duration // moving average of an append's time
	marks     []mark
	lastTrim  time.Time
	claimedAt time.Time
	sums      map[uint64]time.Time // of records of the last copyAge, so that copies of them are not fetched

	offers sync.Mutex // held while offered copies are fetched
}

// mark remembers when the partition ended at an offset.
type mark struct {
	offset int64
	at     time.Time
}

func newKeeper(part store.Partition, generation int64, name string, limit int, log store.Log, lines logrus.FieldLogger, watch func(error)) *keeper {
	return &keeper{
		part: part, generation: generation, limit: limit, name: name, log: log, watch: watch,
		lines:    lines.WithFields(logrus.Fields{"part": part.Part}),
		ready:    make(chan struct{}),
		closed:   make(chan struct{}),
		state:    history.NewState(),
		granting: make(map[string]*entry),
		sums:     make(map[uint64]time.Time),
		changed:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
		stall:    make(chan struct{}, 1),
	}
}

// run claims the partition and writes its records until the context ends or another holder is found.
func (k *keeper) run(ctx context.Context) {
	err := k.claim(ctx)
	if err == nil {
		k.recover(k.collect(ctx, k.part.Part, k.epoch, k.hasRecord))
		k.mu.Lock()
		k.state.FinishRecovery()
		k.claimedAt = time.Now()
		k.mu.Unlock()
		close(k.ready)
		k.claimed(k.part.Part, k.epoch)
		go k.protectStalled(ctx)
		err = k.write(ctx)
	}
	k.stop(err)
}

// recover takes the copies that peers held for an earlier holder.
func (k *keeper) recover(records [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, taken := time.Now(), 0
	for _, data := range records {
		k.sums[xxhash.Sum64(data)] = now
		r, err := history.Decode(data)
		if err != nil {
			k.lines.WithField("reason", err.Error()).Warn("copy skipped")
			continue
		}
		if k.state.Applied(r) {
			continue
		}
		k.state.LoadCopy(r, now)
		e, err := k.add(r, true)
		if err != nil {
			k.lines.WithField("reason", err.Error()).Warn("copy skipped")
			continue
		}
		e.copied = true
		taken++
	}
	if len(records) > 0 {
		k.lines.WithFields(logrus.Fields{"count": taken, "offset": len(records)}).Info("copies of an earlier holder taken over")
	}
}

// protectStalled makes records last otherwise while an append stalls.
func (k *keeper) protectStalled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.stall:
		}
		for ctx.Err() == nil {
			entries, stalled := k.unprotected(time.Now())
			if !stalled {
				break
			}
			pause := protectPause
			if !k.protectEntries(ctx, entries) {
				pause = protectRetry
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// unprotected returns the records that are neither in the store nor kept otherwise, once the append has
// stalled for long enough.
func (k *keeper) unprotected(now time.Time) ([]*entry, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stalled.IsZero() || k.isClosed() {
		return nil, false
	}
	if now.Sub(k.stalled) < stallAge {
		return nil, true
	}
	var out []*entry
	for _, list := range [][]*entry{k.sending, k.pending} {
		for _, e := range list {
			if !e.copied && !e.ended && e.record.Kind != history.RecordClaim {
				out = append(out, e)
			}
		}
	}
	return out, true
}

// protectEntries tells whether all of the records are kept.
func (k *keeper) protectEntries(ctx context.Context, entries []*entry) bool {
	if len(entries) == 0 {
		return true
	}
	kept := k.protect(ctx, k, entries)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isClosed() {
		return false
	}
	for _, e := range kept {
		e.copied = true
		e.finish(nil)
	}
	return len(kept) == len(entries)
}

func (k *keeper) isStalled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.stalled.IsZero()
}

// olderThan tells whether the keeper's claim is of an earlier epoch.
func (k *keeper) olderThan(epoch int64) bool {
	select {
	case <-k.ready:
		return k.epoch < epoch
	default:
		return k.generation < epoch/claimsPerGeneration
	}
}

func (k *keeper) stop(cause error) {
	k.mu.Lock()
	var kept [][]byte
	for _, list := range [][]*entry{k.sending, k.pending} {
		for _, e := range list {
			if e.record.Kind != history.RecordClaim && (e.copied || !k.stalled.IsZero()) {
				kept = append(kept, e.data)
			}
			e.finish(errNotHolder)
		}
	}
	k.sending, k.pending = nil, nil
	k.leave(k.part.Part, k.epoch, kept)
	close(k.closed)
	k.mu.Unlock()
	k.lines.WithField("reason", fmt.Sprint(cause)).Info("partition released")
}

// claim reads the whole partition and appends a claim at its end, so that nothing can follow that the
// state doesn't have.
func (k *keeper) claim(ctx context.Context) error {
	start := time.Now()
	from, records := int64(0), 0
	for {
		end, n, err := k.load(ctx, from)
		records += n
		if err != nil {
			if err := k.pause(ctx, "read", err); err != nil {
				return err
			}
			continue
		}
		from = end
		if k.epoch, err = nextEpoch(k.generation, k.state.Epoch()); err != nil {
			return err
		}
		if err = k.appendClaim(ctx, from); err == nil {
			break
		}
		var moved *store.MovedError
		switch {
		case errors.As(err, &moved):
		case errors.Is(err, store.ErrFenced):
			return err
		default:
			if err := k.pause(ctx, "claim", err); err != nil {
				return err
			}
		}
	}
	k.lines.WithFields(logrus.Fields{
		"epoch": k.epoch, "count": records, "offset": from, "took": time.Since(start).Milliseconds(), "turns": k.state.Turns(),
	}).Info("partition claimed")
	return nil
}

// claimsPerGeneration is the number of epochs of a generation: an instance that restarts under the
// generation that it had claims again.
const claimsPerGeneration = 1 << 16

// nextEpoch returns the epoch of a claim after the newest one seen. It fails when that belongs to a later
// generation, whose holder is another instance.
func nextEpoch(generation, newest int64) (int64, error) {
	if newest/claimsPerGeneration > generation {
		return 0, fmt.Errorf("claimed under epoch %d: %w", newest, errNotHolder)
	}
	return max(generation*claimsPerGeneration, newest+1), nil
}

// load reads from an offset to the end.
func (k *keeper) load(ctx context.Context, from int64) (end int64, count int, err error) {
	for {
		b, err := k.read(ctx, from)
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return from, count, err
		}
		now, wall := time.Now(), time.Now()
		k.mu.Lock() // the ledger expires what is over meanwhile
		for _, data := range b.Records {
			r, err := history.Decode(data)
			if err != nil {
				k.lines.WithField("reason", err.Error()).WithField("offset", from).Warn("record skipped")
				continue
			}
			k.state.Load(r, now, wall)
			if at := time.UnixMilli(r.At); wall.Sub(at) < copyAge {
				k.sums[xxhash.Sum64(data)] = at
			}
		}
		k.mu.Unlock()
		count += len(b.Records)
		from += int64(len(b.Records))
		if from >= b.End || len(b.Records) == 0 {
			return max(from, b.End), count, nil
		}
	}
}

func (k *keeper) read(ctx context.Context, from int64) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	return k.log.Read(ctx, k.part, from, readBytes, 0)
}

func (k *keeper) appendClaim(ctx context.Context, at int64) error {
	data, err := history.Record{
		Kind: history.RecordClaim, At: time.Now().UnixMilli(), Epoch: k.epoch, Holder: k.name,
	}.Encode()
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	_, err = k.log.Append(actx, store.AppendRequest{
		Partition: k.part, Records: [][]byte{data}, Producer: producer, Epoch: k.epoch, Sequence: 0, ExpectedEnd: at,
	})
	k.watch(err)
	return err
}

// pause waits before a call is made again. It fails when the context ends.
func (k *keeper) pause(ctx context.Context, call string, err error) error {
	k.lines.WithFields(logrus.Fields{"name": call, "reason": err.Error()}).Debug("store call failed")
	select {
	case <-ctx.Done():
		return errStopping
	case <-time.After(refusedPause):
		return nil
	}
}

// write appends pending records until the context ends.
func (k *keeper) write(ctx context.Context) error {
	k.sequence = 1
	for {
		batch, err := k.take(ctx)
		if err != nil {
			return err
		}
		if err := k.append(ctx, batch); err != nil {
			return err
		}
		k.sequence++
		k.mu.Lock()
		for _, e := range batch {
			k.state.MarkStored(e.record)
			e.finish(nil)
		}
		k.sending, k.stalled = nil, time.Time{}
		flushed := hasCopied(batch) && !hasCopied(k.pending)
		k.mu.Unlock()
		if flushed {
			k.flushed(k.part.Part, k.epoch)
		}
	}
}

func hasCopied(list []*entry) bool {
	for _, e := range list {
		if e.copied {
			return true
		}
	}
	return false
}

// take waits for records and returns those of the next append.
func (k *keeper) take(ctx context.Context) ([]*entry, error) {
	for {
		k.mu.Lock()
		batch, wait := k.due(time.Now())
		k.mu.Unlock()
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
		case <-k.wake:
		case <-linger:
		}
	}
}

// due returns the next records, or how long they may still wait for others.
func (k *keeper) due(now time.Time) ([]*entry, time.Duration) {
	if len(k.pending) == 0 {
		return nil, 0
	}
	urgent := false
	for _, e := range k.pending {
		urgent = urgent || e.urgent
	}
	if left := grantLinger - now.Sub(k.pending[0].since); !urgent && left > 0 {
		return nil, left
	}
	size, n := 0, 0
	for n < len(k.pending) && (n == 0 || size+len(k.pending[n].data) < k.limit) {
		size += len(k.pending[n].data) + lengthPrefix
		n++
	}
	batch := k.pending[:n:n]
	k.pending = k.pending[n:]
	k.sending = batch
	return batch, 0
}

// lengthPrefix is what the store adds to each record of a call.
const lengthPrefix = 4

// append writes a batch, again and again until its outcome is known. The sequence number keeps an
// append that was done without an answer from being done twice.
func (k *keeper) append(ctx context.Context, batch []*entry) error {
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	first := time.Now()
	upload := uploadTime(batch)
	for try := 0; ; try++ {
		timeout := upload + min(max(appendSlack*k.usual, minAppendTimeout)<<min(try, 4), maxAppendTimeout)
		actx, cancel := context.WithTimeout(ctx, timeout)
		start := time.Now()
		end, err := k.log.Append(actx, store.AppendRequest{
			Partition: k.part, Records: records, Producer: producer, Epoch: k.epoch, Sequence: k.sequence, ExpectedEnd: -1,
		})
		cancel()
		k.watch(err)
		var sequence *store.SequenceError
		switch {
		case err == nil:
			k.measured(time.Since(start), end)
			return nil
		case errors.Is(err, store.ErrFenced):
			return err
		case errors.As(err, &sequence):
			if sequence.Expected == k.sequence+1 {
				return nil
			}
			return fmt.Errorf("own sequence number %d: %w", k.sequence, err)
		case ctx.Err() != nil:
			return errStopping
		}
		k.lines.WithFields(logrus.Fields{"reason": err.Error(), "count": try, "took": time.Since(start).Milliseconds()}).
			Debug("append failed")
		k.noteStall(first)
		if errors.Is(err, store.ErrUnavailable) || time.Since(start) < timeout {
			select {
			case <-ctx.Done():
				return errStopping
			case <-time.After(refusedPause):
			}
		}
	}
}

// slowUpload is the rate, in bytes a second, that a busy link of an instance still has for an append: a
// third of 22 Mbit/s, the slowest link of the deployments described.
const slowUpload = 900_000

// uploadTime is how long the records of an append may take on a slow link. A batch of copies taken over is
// far above the usual size.
func uploadTime(batch []*entry) time.Duration {
	size := 0
	for _, e := range batch {
		size += len(e.data) + lengthPrefix
	}
	return time.Duration(size) * time.Second / slowUpload
}

// noteStall notes that the append on its way has failed.
func (k *keeper) noteStall(since time.Time) {
	k.mu.Lock()
	k.stalled = since
	k.mu.Unlock()
	select {
	case k.stall <- struct{}{}:
	default:
	}
}

func (k *keeper) measured(took time.Duration, end int64) {
	k.usual += time.Duration(smoothing * float64(took-k.usual))
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.marks); n == 0 || now.Sub(k.marks[n-1].at) > time.Second {
		k.marks = append(k.marks, mark{offset: end, at: now})
	}
}

// finish tells who waits for the record what became of it, once. The caller holds the keeper's lock.
func (e *entry) finish(err error) {
	if e.ended {
		return
	}
	e.ended, e.err = true, err
	close(e.done)
}

// add queues a record. The caller holds the lock.
func (k *keeper) add(r history.Record, urgent bool) (*entry, error) {
	data, err := r.Encode()
	if err != nil {
		return nil, err
	}
	e := &entry{record: r, data: data, urgent: urgent, since: time.Now(), done: make(chan struct{})}
	k.pending = append(k.pending, e)
	k.sums[xxhash.Sum64(data)] = e.since
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return e, nil
}

// serving waits until the partition is claimed.
func (k *keeper) serving(ctx context.Context) error {
	select {
	case <-k.closed:
		return errNotHolder
	case <-k.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin decides on an attempt. It returns the text of the chain unless the asker knows it.
func (k *keeper) begin(ctx context.Context, b history.Begin) (history.Outcome, []byte, error) {
	if err := k.serving(ctx); err != nil {
		return 0, nil, err
	}
	held := false
	for verified := false; ; {
		outcome, body, changed, covered, err := k.tryBegin(b)
		if !covered && !held {
			held = true
			k.lines.WithFields(logrus.Fields{"program": b.Program, "call": b.Turn}).Info("turn waits, the store holds too little of its program's budget")
		}
		if err == nil && outcome == history.UnknownTurn && !verified {
			// A holder that has been replaced doesn't know the newest turns.
			if err := k.barrier(ctx); err != nil {
				return 0, nil, err
			}
			verified = true
			continue
		}
		if err != nil || outcome != history.MustWait {
			return outcome, body, err
		}
		select {
		case <-changed:
		case <-time.After(overdueCheck): // attempts may end unseen
		case <-k.closed:
			return 0, nil, errNotHolder
		case <-ctx.Done():
			return history.MustWait, nil, nil
		}
	}
}

// overdueCheck is how often a waiting attempt looks for others whose time is over.
const overdueCheck = 200 * time.Millisecond

// tryBegin also tells whether what the store holds covers the attempt; without that it waits.
func (k *keeper) tryBegin(b history.Begin) (outcome history.Outcome, body []byte, changed <-chan struct{}, covered bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isClosed() {
		return 0, nil, nil, true, errNotHolder
	}
	if b.Previous != "" && !b.HasChain {
		var ok bool
		if body, ok = k.state.Body(b.Previous); !ok {
			return history.UnknownTurn, nil, nil, true, nil
		}
	}
	if !k.stalled.IsZero() && time.Since(k.stalled) >= stallAge && !k.state.AllowedInOutage(b) {
		return history.MustWait, nil, k.changed, false, nil
	}
	outcome, record := k.state.Begin(b, time.Now())
	if outcome != history.Granted || record == nil {
		return outcome, body, k.changed, true, nil
	}
	e, err := k.add(*record, false)
	if err != nil {
		return 0, nil, nil, true, err
	}
	k.granting[b.Program] = e
	return outcome, body, nil, true, nil
}

// isNew tells whether peers that were out of reach at the claim may still come with copies.
func (k *keeper) isNew(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.claimedAt) < newClaim
}

// hasRecord tells whether a record with the sum is known here.
func (k *keeper) hasRecord(sum uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.sums[sum]
	return ok
}

func (k *keeper) isServing() bool {
	select {
	case <-k.ready:
		return !k.isClosed()
	default:
		return false
	}
}

func (k *keeper) isClosed() bool {
	select {
	case <-k.closed:
		return true
	default:
		return false
	}
}

// confirm waits until the grant that an attempt runs under is in the store.
func (k *keeper) confirm(ctx context.Context, program, attempt string) error {
	k.mu.Lock()
	reserved, e := k.state.HasReservation(program, attempt), k.granting[program]
	closed := k.isClosed()
	k.mu.Unlock()
	if closed || !reserved {
		return errNotHolder
	}
	if e == nil {
		return nil
	}
	return k.wait(ctx, e)
}

func (k *keeper) wait(ctx context.Context, e *entry) error {
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// end takes the end of an attempt and waits until a whole turn is in the store.
func (k *keeper) end(ctx context.Context, end history.End) error {
	if err := k.serving(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	if k.isClosed() {
		k.mu.Unlock()
		return errNotHolder
	}
	record, isNew := k.state.End(end, time.Now())
	if !isNew {
		k.mu.Unlock()
		return k.barrier(ctx)
	}
	e, err := k.add(record, end.Complete)
	if record.Ceiling > 0 && err == nil {
		k.granting[end.Program] = e
	}
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	if err != nil || !end.Complete {
		return err
	}
	return k.wait(ctx, e)
}

// barrier waits until all that is pending now is in the store.
func (k *keeper) barrier(ctx context.Context) error {
	k.mu.Lock()
	if k.isClosed() {
		k.mu.Unlock()
		return errNotHolder
	}
	record := history.Record{Kind: history.RecordClaim, At: time.Now().UnixMilli(), Epoch: k.epoch, Holder: k.name}
	e, err := k.add(record, true)
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return k.wait(ctx, e)
}

// find returns the text up to and with a turn. That there is none is said only after a write has shown
// that the partition is still held.
func (k *keeper) find(ctx context.Context, turn string) ([]byte, bool, error) {
	if err := k.serving(ctx); err != nil {
		return nil, false, err
	}
	k.mu.Lock()
	body, ok := k.state.Body(turn)
	k.mu.Unlock()
	if ok {
		return body, true, nil
	}
	return nil, false, k.barrier(ctx)
}

// adopt takes the chain of a turn of another partition.
func (k *keeper) adopt(ctx context.Context, turn string, body []byte, keep time.Duration) error {
	if err := k.serving(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	if k.isClosed() {
		k.mu.Unlock()
		return errNotHolder
	}
	if k.state.HasTurn(turn) {
		k.mu.Unlock()
		return nil
	}
	e, err := k.add(k.state.ImportChain(turn, body, keep, time.Now()), true)
	k.mu.Unlock()
	if err != nil {
		return err
	}
	return k.wait(ctx, e)
}

// expire drops what is over, here and, from time to time, in the store.
func (k *keeper) expire(ctx context.Context, keep time.Duration) {
	now := time.Now()
	k.mu.Lock()
	k.state.Expire(now)
	for program, e := range k.granting {
		if e.ended && e.err == nil {
			delete(k.granting, program)
		}
	}
	for sum, at := range k.sums {
		if now.Sub(at) > copyAge {
			delete(k.sums, sum)
		}
	}
	before := int64(0)
	if now.Sub(k.lastTrim) > trimEvery {
		k.lastTrim = now
		for len(k.marks) > 0 && now.Sub(k.marks[0].at) > keep+trimSlack {
			before = k.marks[0].offset
			k.marks = k.marks[1:]
		}
	}
	k.mu.Unlock()
	if before == 0 {
		return
	}
	tctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	if err := k.log.Trim(tctx, k.part, before); err != nil {
		k.lines.WithField("reason", err.Error()).Info("trim failed, tried again later")
	}
}
