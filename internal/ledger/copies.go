package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/history"
	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/store"
	"ragwortstile/internal/wire"
)

// While the store accepts no records of a partition, the leader of the partition sends the budget part of each record
// to peers, which hold a copy in memory. What a record says of a budget counts as safe once requiredCopies peers hold
// it; the text of a turn is safe only in the store. The next holder of the partition collects the copies from the
// peers when it claims the partition. From then on, peers reject copies from earlier holders. A copy is identified by
// its sum, the hash of the encoded record. Instances of earlier versions send copies of whole turns.
const (
	// copyPeers is the number of peers that are asked to hold a copy, requiredCopies is how many of them must
	// hold it, and copyTimeout limits the requests to them.
	copyPeers      = 6
	requiredCopies = 2
	copyTimeout    = 300 * time.Millisecond
	// copyLinger is how long to wait for the answers of more peers once enough hold a copy.
	copyLinger = 20 * time.Millisecond
	// maxAlternates is the number of other partitions that are tried for a turn whose own partition accepts no
	// records.
	maxAlternates = 3
	// copyTTL limits how long copies are held. It exceeds the longest outage that a caller would wait out.
	copyTTL = 90 * time.Second
	// maxCopyBytes limits the copies of all partitions together.
	maxCopyBytes = 16 << 20
	// storeAnswerTTL is how long the store counts as reachable after an answer, also if calls have failed since: the
	// store may lose answers or be slow, and copies alone are lost with all instances.
	storeAnswerTTL = 600 * time.Millisecond
	// copyBytes is the size of a copy that the time for fetching it allows for. With IDs of 16 bytes it is about 100.
	copyBytes = 256
	// collectWait is how long a claim waits for connections to the other members.
	collectWait = 300 * time.Millisecond
)

type copiedRecord struct {
	sum   uint64 // hash of data, so that a record is held only once
	epoch int64
	data  []byte
	at    time.Time
}

// copies holds in-memory replicas of records of other holders that may not be in the store yet. It is safe for
// concurrent use.
type copies struct {
	mu       sync.Mutex
	byPart   map[int][]copiedRecord
	sums     map[uint64]bool
	minEpoch map[int]int64 // by partition: lowest epoch that may still add copies
	bytes    int
	newestAt time.Time // when the newest copy was added
}

func newCopies() *copies {
	return &copies{byPart: make(map[int][]copiedRecord), sums: make(map[uint64]bool), minEpoch: make(map[int]int64)}
}

// put adds copies. It returns false if their holder was replaced, or if there is no room.
func (c *copies) put(part int, epoch int64, records [][]byte, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.minEpoch[part] {
		return false
	}
	for _, data := range records {
		sum := xxhash.Sum64(data)
		if c.sums[sum] {
			continue
		}
		if c.bytes+len(data) > maxCopyBytes {
			return false
		}
		c.byPart[part] = append(c.byPart[part], copiedRecord{sum: sum, epoch: epoch, data: data, at: now})
		c.sums[sum] = true
		c.bytes += len(data)
		c.newestAt = now
	}
	return true
}

// replaced reports whether a holder with a later epoch has asked for the copies of a partition.
func (c *copies) replaced(part int, epoch int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return epoch < c.minEpoch[part]
}

// lastPut returns when the newest copy was added; zero if there never was one.
func (c *copies) lastPut() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestAt
}

// holdMessages returns the copies of all partitions, as one message for each partition and epoch.
func (c *copies) holdMessages() []wire.HistoryHold {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.HistoryHold
	for part, list := range c.byPart {
		byEpoch := make(map[int64]*wire.HistoryHold)
		for _, r := range list {
			m := byEpoch[r.epoch]
			if m == nil {
				m = &wire.HistoryHold{Part: part, Epoch: r.epoch}
				byEpoch[r.epoch] = m
			}
			m.Records = append(m.Records, r.data)
		}
		for _, m := range byEpoch {
			out = append(out, *m)
		}
	}
	return out
}

// fenceAndList returns the sums of the copies of a partition. From then on, copies of earlier epochs are
// rejected.
func (c *copies) fenceAndList(part int, epoch int64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minEpoch[part] = max(c.minEpoch[part], epoch)
	out := make([]uint64, 0, len(c.byPart[part]))
	for _, r := range c.byPart[part] {
		out = append(out, r.sum)
	}
	return out
}

// get returns the copies of a partition that have one of the sums.
func (c *copies) get(part int, sums []uint64) [][]byte {
	wanted := make(map[uint64]bool, len(sums))
	for _, sum := range sums {
		wanted[sum] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out [][]byte
	for _, r := range c.byPart[part] {
		if wanted[r.sum] {
			out = append(out, r.data)
		}
	}
	return out
}

func (c *copies) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for part := range c.byPart {
		c.removeIf(part, func(r copiedRecord) bool { return now.Sub(r.at) >= copyTTL })
	}
}

// dropStored removes the copies of a partition up to an epoch, because their records are in the store.
func (c *copies) dropStored(part int, epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIf(part, func(r copiedRecord) bool { return r.epoch <= epoch })
}

func (c *copies) removeIf(part int, obsolete func(copiedRecord) bool) {
	list := c.byPart[part]
	left := list[:0]
	for _, r := range list {
		if !obsolete(r) {
			left = append(left, r)
			continue
		}
		c.bytes -= len(r.data)
		delete(c.sums, r.sum)
	}
	if c.byPart[part] = left; len(left) == 0 {
		delete(c.byPart, part)
	}
}

// storeHealth tracks when the store last answered, and when it was last out of reach.
type storeHealth struct {
	mu         sync.Mutex
	answeredAt time.Time // when the store last answered
	outageAt   time.Time // last failure of a call more than stallThreshold after an answer
}

func (h *storeHealth) record(err error) { h.recordAt(err, time.Now()) }

func (h *storeHealth) recordAt(err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case store.Answered(err):
		h.answeredAt = now
	case now.Sub(h.answeredAt) > stallThreshold:
		h.outageAt = now
	}
}

// lastOutage returns when the store was last out of reach; zero if it never was.
func (h *storeHealth) lastOutage() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outageAt
}

func (h *storeHealth) reached() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.answeredAt) < storeAnswerTTL
}

// protect protects records that cannot be appended to their partition, and returns those that are safe now. A
// complete turn is safe only in the store, because all instances may end before the store accepts its record: while
// some instance reaches the store, the turn is written to another partition, where a search finds it. For budgets
// copies at peers are enough, since the ceilings in the store bound what is lost with them.
func (l *Ledger) protect(ctx context.Context, ld *leader, entries []*entry) []*entry {
	copied, reaching := l.copyEntries(ctx, ld, entries)
	if l.health.reached() {
		reaching[l.cfg.Instance] = true
	}
	var safe []*entry
	for _, e := range entries {
		if e.record.Kind != history.RecordTurn {
			if copied {
				safe = append(safe, e)
			}
			continue
		}
		if len(reaching) == 0 {
			continue
		}
		if err := l.writeAlternate(ctx, ld, e.record, reaching); err != nil {
			ld.logger.WithFields(logrus.Fields{"call": e.record.Turn, "reason": err.Error()}).Info("turn not written to another partition; it waits for the store")
			continue
		}
		safe = append(safe, e)
	}
	return safe
}

// copyEntries sends copies of the entries that peers do not hold yet. It reports whether enough peers hold copies of
// all entries, and returns the instances of the peers that reach the store.
func (l *Ledger) copyEntries(ctx context.Context, ld *leader, entries []*entry) (copied bool, reaching map[string]bool) {
	var records [][]byte
	var sent []*entry
	for _, e := range entries {
		if e.copied {
			continue
		}
		data, err := e.copyData()
		if err != nil {
			ld.logger.WithFields(logrus.Fields{"call": e.record.Turn, "reason": err.Error()}).Warn("record not copied to peers")
			continue
		}
		records, sent = append(records, data), append(sent, e)
	}
	held, reaching := l.sendCopies(ctx, ld, records)
	if held < requiredCopies {
		return false, reaching
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, e := range sent {
		e.markCopied()
	}
	return true, reaching
}

// writeAlternate writes a complete turn with its chain to another partition, held by an instance that reaches
// the store.
func (l *Ledger) writeAlternate(ctx context.Context, ld *leader, r history.Record, reaching map[string]bool) error {
	ld.mu.Lock()
	body, ok := ld.state.Body(r.Turn)
	ld.mu.Unlock()
	if !ok {
		return fmt.Errorf("turn %s not found: %w", r.Turn, errNotHolder)
	}
	err := fmt.Errorf("no alternate partition: %w", ErrUnavailable)
	for _, part := range l.alternates(reaching, ld.part.Part) {
		actx, cancel := context.WithTimeout(ctx, copyTimeout)
		err = l.adoptAt(actx, part, r.Turn, body, time.Duration(r.RetentionMs)*time.Millisecond)
		cancel()
		if err == nil {
			ld.logger.WithFields(logrus.Fields{"call": r.Turn, "name": fmt.Sprint("partition ", part)}).Info("turn written to another partition")
			return nil
		}
	}
	return err
}

// alternates returns up to maxAlternates partitions that the given instances hold, without those that this
// instance leads itself and whose appends stall.
func (l *Ledger) alternates(instances map[string]bool, except int) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var parts []int
	for part, member := range l.holders {
		p, _ := splitMember(member)
		if part == except || !instances[p.Instance] || len(parts) >= maxAlternates {
			continue
		}
		if ld := l.leaders[part]; ld != nil && ld.isStalled() {
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

// sendCopies asks peers to hold copies of records, of which there may be none. It returns how many do, and the
// instances of the peers that reach the store.
func (l *Ledger) sendCopies(ctx context.Context, ld *leader, records [][]byte) (held int, reaching map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	m := wire.HistoryHold{Part: ld.part.Part, Epoch: ld.epoch, Records: records}
	remotes := l.cfg.Node.Connected()
	remotes = remotes[:min(len(remotes), copyPeers)]
	type answer struct {
		from id.Session
		wire.HistoryHeld
	}
	answers := make(chan answer, len(remotes))
	for _, r := range remotes {
		go func() {
			reply, err := l.cfg.Node.Request(ctx, r.Session, m)
			if err != nil {
				ld.logger.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error()}).Debug("copies not held by peer")
			}
			a, _ := reply.(wire.HistoryHeld)
			answers <- answer{r.Session, a}
		}()
	}
	reaching = make(map[string]bool)
	var enough <-chan time.Time
	for range remotes {
		var a answer
		select {
		case a = <-answers:
		case <-enough:
			return held, reaching
		}
		if a.Held {
			if held == requiredCopies-1 {
				enough = time.After(copyLinger)
			}
			held++
		}
		if a.StoreReached {
			reaching[a.from.Instance()] = true
		}
	}
	return held, reaching
}

// HandleStored handles the message that records are in the store, so that their copies can be dropped.
func (l *Ledger) HandleStored(m wire.HistoryStored) { l.copies.dropStored(m.Part, m.Epoch) }

// announceStored tells all peers that the copies of a partition can be dropped.
func (l *Ledger) announceStored(part int, epoch int64) {
	m := wire.HistoryStored{Part: part, Epoch: epoch}
	l.HandleStored(m)
	if _, err := l.cfg.Node.Broadcast(m); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("release of copies not sent to peers")
	}
}

// offerCopies offers the holders of partitions the copies that are still here. The holders did not collect them
// if this instance was out of reach at the claim.
func (l *Ledger) offerCopies(m wire.PartitionClaims) {
	p, ok := splitMember(m.Member)
	if !ok || p.Instance == l.cfg.Instance {
		return
	}
	session, ok := l.cfg.Node.Session(p.Instance)
	if !ok {
		return
	}
	for _, c := range m.Claims {
		sums := l.copies.fenceAndList(c.Part, c.Epoch)
		if len(sums) == 0 {
			continue
		}
		if err := l.cfg.Node.Send(session, wire.HistoryOffer{Part: c.Part, Sums: sums}); err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"peer": string(session), "part": c.Part, "reason": err.Error()}).Info("copies not offered")
		}
	}
}

// HandleOffer handles an offer of copies from a peer, and fetches those that are not known. It does not block.
func (l *Ledger) HandleOffer(from peer.Remote, m wire.HistoryOffer) {
	ld := l.leader(m.Part)
	if ld == nil || !ld.isServing() {
		return
	}
	go func() {
		// Several peers may offer the same copies at once; the lock makes sure that they are fetched only once.
		ld.offerMu.Lock()
		defer ld.offerMu.Unlock()
		for range fetchRounds {
			f := newFetch(l.cfg.Zone, ld.hasRecord)
			f.addSource(from, m.Sums)
			plan := f.plan()
			if len(plan) == 0 || ld.isClosed() {
				return
			}
			ld.applyCopies(l.fetch(context.Background(), m.Part, plan, f))
		}
	}()
}

// handoverAll hands the copies held here over to some peers, before this instance stops.
func (l *Ledger) handoverAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range l.copies.holdMessages() {
		wg.Go(func() { l.handoverCopies(ctx, m) })
	}
	wg.Wait()
}

// handoverCopies sends copies to peers until requiredCopies of them hold them. It stops early if a peer reports
// that a later holder has claimed the partition, because that holder has asked this instance for the copies
// too.
func (l *Ledger) handoverCopies(ctx context.Context, m wire.HistoryHold) {
	taken, asked := 0, 0
	for _, r := range l.cfg.Node.Connected() {
		if taken == requiredCopies || asked == copyPeers {
			break
		}
		asked++
		actx, cancel := context.WithTimeout(ctx, copyTimeout)
		reply, err := l.cfg.Node.Request(actx, r.Session, m)
		cancel()
		a, ok := reply.(wire.HistoryHeld)
		if err != nil || !ok {
			continue
		}
		if a.Replaced {
			return
		}
		if a.Held {
			taken++
		}
	}
	if taken < requiredCopies {
		l.cfg.Log.WithFields(logrus.Fields{"part": m.Part, "count": taken, "reason": fmt.Sprintf("%d peers asked", asked)}).
			Warn("copies not handed over")
	}
}

// doubtful reports whether a turn that is not found may still exist. That is so if this instance held copies, or
// could not reach the store, within the longest retention of turns: records may then exist that are or were only
// in the memory of instances.
func (l *Ledger) doubtful() bool {
	l.mu.Lock()
	retention := l.retention
	l.mu.Unlock()
	for _, at := range []time.Time{l.copies.lastPut(), l.health.lastOutage()} {
		if !at.IsZero() && time.Since(at) < retention {
			return true
		}
	}
	return false
}

// serveHold holds copies for the holder of a partition.
func (l *Ledger) serveHold(m wire.HistoryHold) wire.HistoryHeld {
	return wire.HistoryHeld{
		Held:         l.copies.put(m.Part, m.Epoch, m.Records, time.Now()),
		StoreReached: l.health.reached(),
		Replaced:     l.copies.replaced(m.Part, m.Epoch),
	}
}

// serveIndex tells the new holder of a partition which copies this instance has. It first stops a local leader
// with an earlier epoch, so that it adds no more copies.
func (l *Ledger) serveIndex(m wire.HistoryIndex) wire.HistoryIndexed {
	ld := l.leader(m.Part)
	if ld != nil && ld.olderThan(m.Epoch) {
		ld.cancel()
		<-ld.closed
	}
	return wire.HistoryIndexed{Sums: l.copies.fenceAndList(m.Part, m.Epoch)}
}

// collect fetches the copies of a partition that its new holder does not know from the peers in reach, each
// copy once. Peers list their copies before any is fetched, because several peers have the same copies, and
// most of these are already in the partition if its holder changes several times in a short time.
func (l *Ledger) collect(ctx context.Context, part int, epoch int64, known func(sum uint64) bool) [][]byte {
	l.awaitPeers(ctx)
	sums := l.copies.fenceAndList(part, epoch)
	records := l.copies.get(part, sums)
	f := newFetch(l.cfg.Zone, known)
	f.markFetched(sums)
	unanswered := l.collectSums(ctx, part, epoch, f)
	for range fetchRounds {
		plan := f.plan()
		if len(plan) == 0 {
			break
		}
		records = append(records, l.fetch(ctx, part, plan, f)...)
	}
	missing := f.missing()
	if unanswered > 0 || missing > 0 {
		l.cfg.Log.WithFields(logrus.Fields{"part": part, "silent": unanswered, "missing": missing, "count": len(records)}).
			Info("copies not collected")
	}
	return records
}

// collectSums asks all peers which copies they have. It returns how many did not answer.
func (l *Ledger) collectSums(ctx context.Context, part int, epoch int64, f *fetch) (unanswered int) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	type answer struct {
		from     peer.Remote
		sums     []uint64
		answered bool
	}
	remotes := l.cfg.Node.Connected()
	answers := make(chan answer, len(remotes))
	for _, r := range remotes {
		go func() {
			reply, err := l.cfg.Node.Request(ctx, r.Session, wire.HistoryIndex{Part: part, Epoch: epoch})
			if err != nil {
				l.cfg.Log.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error(), "part": part}).Debug("copies not listed by peer")
			}
			a, ok := reply.(wire.HistoryIndexed)
			answers <- answer{r, a.Sums, ok}
		}()
	}
	for range remotes {
		a := <-answers
		if !a.answered {
			unanswered++
		}
		f.addSource(a.from, a.sums)
	}
	return unanswered
}

// maxFetchTime returns how long copies may take over a slow link. A peer that falls silent ends its request earlier, since
// its connection is closed.
func maxFetchTime(plan map[id.Session][]uint64) time.Duration {
	count := 0
	for _, sums := range plan {
		count += len(sums)
	}
	return maxTransferTime(int64(count) * copyBytes)
}

// fetch fetches copies from peers according to a plan.
func (l *Ledger) fetch(ctx context.Context, part int, plan map[id.Session][]uint64, f *fetch) [][]byte {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout+maxFetchTime(plan))
	defer cancel()
	answers := make(chan [][]byte, len(plan))
	for session, sums := range plan {
		go func() {
			reply, err := l.cfg.Node.Request(ctx, session, wire.HistoryCollect{Part: part, Sums: sums})
			if err != nil {
				l.cfg.Log.WithFields(logrus.Fields{"peer": string(session), "reason": err.Error(), "part": part}).Debug("copies not fetched from peer")
			}
			collected, _ := reply.(wire.HistoryCollected)
			answers <- collected.Records
		}()
	}
	var all [][]byte
	for range plan {
		records := <-answers
		for _, data := range records {
			f.markFetched([]uint64{xxhash.Sum64(data)})
		}
		all = append(all, records...)
	}
	return all
}

// awaitPeers waits up to collectWait for connections to all members of the group.
func (l *Ledger) awaitPeers(ctx context.Context) {
	ends := time.Now().Add(collectWait)
	for ctx.Err() == nil && time.Now().Before(ends) && !l.allConnected() {
		time.Sleep(retryDelay)
	}
}

func (l *Ledger) allConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, member := range l.holders {
		p, ok := splitMember(member)
		if !ok || p.Instance == l.cfg.Instance {
			continue
		}
		if _, connected := l.cfg.Node.Session(p.Instance); !connected {
			return false
		}
	}
	return len(l.holders) > 0
}
