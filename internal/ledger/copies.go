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

// While a partition takes no records, those count as kept once some peers have a copy in memory. The next
// holder of the partition collects the copies when it claims, and its claim keeps the peers from taking more
// of the holder before.
const (
	// copyPeers is the number of peers that get a copy, and copiesWanted how many must have it.
	copyPeers    = 6
	copiesWanted = 2
	copyTimeout  = 300 * time.Millisecond
	// copyLinger is how long more peers are waited for once enough have a copy.
	copyLinger = 20 * time.Millisecond
	// spillTries is the number of other partitions that are tried for a turn.
	spillTries = 3
	// copyAge bounds how long copies are held; it is above the longest outage that a caller would wait out.
	copyAge = 90 * time.Second
	// copyBytes bounds the copies of all partitions.
	copyBytes = 16 << 20
	// storeFresh is the age up to which an answer of the store shows that it is in reach.
	storeFresh = 600 * time.Millisecond
	// collectWait is how long a claim waits for connections with the other members.
	collectWait = 300 * time.Millisecond
)

type copied struct {
	sum   uint64 // of data, so that a record is held once
	epoch int64
	data  []byte
	at    time.Time
}

// copies holds records of other holders that are not in the store yet, as far as is known.
type copies struct {
	mu     sync.Mutex
	byPart map[int][]copied
	sums   map[uint64]bool
	fence  map[int]int64 // least epoch that may still add copies
	bytes  int
	newest time.Time // when the newest came
}

func newCopies() *copies {
	return &copies{byPart: make(map[int][]copied), sums: make(map[uint64]bool), fence: make(map[int]int64)}
}

// put takes copies. It returns false for those of a holder that has been replaced, and when there is no
// room.
func (c *copies) put(part int, epoch int64, records [][]byte, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.fence[part] {
		return false
	}
	for _, data := range records {
		sum := xxhash.Sum64(data)
		if c.sums[sum] {
			continue
		}
		if c.bytes+len(data) > copyBytes {
			return false
		}
		c.byPart[part] = append(c.byPart[part], copied{sum: sum, epoch: epoch, data: data, at: now})
		c.sums[sum] = true
		c.bytes += len(data)
		c.newest = now
	}
	return true
}

// replaced tells whether a holder of a later epoch has asked for the copies of a partition.
func (c *copies) replaced(part int, epoch int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return epoch < c.fence[part]
}

// since returns when the newest copy came; zero if there never was one.
func (c *copies) since() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// all returns the copies of every partition, in messages by partition and epoch.
func (c *copies) all() []wire.HistoryHold {
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

// index returns the sums of the copies of a partition, and takes none of earlier epochs any more.
func (c *copies) index(part int, epoch int64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fence[part] = max(c.fence[part], epoch)
	out := make([]uint64, 0, len(c.byPart[part]))
	for _, r := range c.byPart[part] {
		out = append(out, r.sum)
	}
	return out
}

// get returns those copies of a partition that have one of the sums.
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
		c.drop(part, func(r copied) bool { return now.Sub(r.at) >= copyAge })
	}
}

// kept drops the copies of a partition up to an epoch, which are in the store now.
func (c *copies) kept(part int, epoch int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(part, func(r copied) bool { return r.epoch <= epoch })
}

func (c *copies) drop(part int, needless func(copied) bool) {
	list := c.byPart[part]
	left := list[:0]
	for _, r := range list {
		if !needless(r) {
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

// storeWatch remembers when the store last answered, and when it was last away.
type storeWatch struct {
	mu     sync.Mutex
	at     time.Time // of the last answer
	awayAt time.Time // of the last call that failed a while after the last answer
}

func (w *storeWatch) result(err error) { w.resultAt(err, time.Now()) }

func (w *storeWatch) resultAt(err error, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case store.Answered(err):
		w.at = now
	case now.Sub(w.at) > stallAge:
		w.awayAt = now
	}
}

// away returns when the store was last away; zero if it never was.
func (w *storeWatch) away() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awayAt
}

func (w *storeWatch) reached() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.at) < storeFresh
}

// protect makes records last that cannot be appended, and returns those that do. Peers take copies. Where
// some instance reaches the store, that is not enough for a whole turn: it goes to another partition, where
// a search finds it.
func (l *Ledger) protect(ctx context.Context, k *keeper, entries []*entry) []*entry {
	held, reaching := l.copyOut(ctx, k, entries)
	if l.watch.reached() {
		reaching[l.cfg.Instance] = true
	}
	var kept []*entry
	for _, e := range entries {
		switch {
		case e.record.Kind == history.RecordTurn && len(reaching) > 0:
			if err := l.spill(ctx, k, e.record, reaching); err != nil {
				k.lines.WithFields(logrus.Fields{"call": e.record.Turn, "reason": err.Error()}).Info("turn waits for the store")
				continue
			}
		case held < copiesWanted:
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

// spill puts a whole turn with its chain into another partition, at an instance that reaches the store.
func (l *Ledger) spill(ctx context.Context, k *keeper, r history.Record, reaching map[string]bool) error {
	k.mu.Lock()
	body, ok := k.state.Body(r.Turn)
	k.mu.Unlock()
	if !ok {
		return fmt.Errorf("turn %s is not held: %w", r.Turn, errNotHolder)
	}
	err := fmt.Errorf("no other partition: %w", ErrUnavailable)
	for _, part := range l.partsAt(reaching, k.part.Part) {
		actx, cancel := context.WithTimeout(ctx, copyTimeout)
		err = l.adoptAt(actx, part, r.Turn, body)
		cancel()
		if err == nil {
			k.lines.WithFields(logrus.Fields{"call": r.Turn, "name": fmt.Sprint("partition ", part)}).Info("turn kept in another partition")
			return nil
		}
	}
	return err
}

// partsAt returns some partitions that the instances hold and whose records don't stall here.
func (l *Ledger) partsAt(instances map[string]bool, except int) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var parts []int
	for part, member := range l.owners {
		p, _ := splitMember(member)
		if part == except || !instances[p.Instance] || len(parts) >= spillTries {
			continue
		}
		if k := l.keepers[part]; k != nil && k.isStalled() {
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

// copyOut has peers hold copies. It returns how many do, and which peers reach the store.
func (l *Ledger) copyOut(ctx context.Context, k *keeper, entries []*entry) (held int, reaching map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	m := wire.HistoryHold{Part: k.part.Part, Epoch: k.epoch, Records: make([][]byte, len(entries))}
	for i, e := range entries {
		m.Records[i] = e.data
	}
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
				k.lines.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error()}).Debug("copy not held")
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
			if held == copiesWanted-1 {
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

// HandleKept takes the news that copies are not needed any more.
func (l *Ledger) HandleKept(m wire.HistoryKept) { l.copies.kept(m.Part, m.Epoch) }

// flushed tells all peers that they need no copies of a partition any more.
func (l *Ledger) flushed(part int, epoch int64) {
	m := wire.HistoryKept{Part: part, Epoch: epoch}
	l.HandleKept(m)
	if _, err := l.cfg.Node.Broadcast(m); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("end of copies not announced")
	}
}

// offer gives the holders of partitions the copies that are left here. They were out of reach when the holder
// collected.
func (l *Ledger) offer(m wire.Holding) {
	p, ok := splitMember(m.Member)
	if !ok || p.Instance == l.cfg.Instance {
		return
	}
	session, ok := l.cfg.Node.Session(p.Instance)
	if !ok {
		return
	}
	for _, c := range m.Claims {
		sums := l.copies.index(c.Part, c.Epoch)
		if len(sums) == 0 {
			continue
		}
		if err := l.cfg.Node.Send(session, wire.HistoryOffer{Part: c.Part, Sums: sums}); err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"peer": string(session), "part": c.Part, "reason": err.Error()}).Info("copies not offered")
		}
	}
}

// HandleOffer takes copies that a peer offers, if they are not known. It returns at once.
func (l *Ledger) HandleOffer(from peer.Remote, m wire.HistoryOffer) {
	k := l.keeper(m.Part)
	if k == nil || !k.isServing() {
		return
	}
	go func() {
		// Several peers offer the same copies; they are fetched once.
		k.offers.Lock()
		defer k.offers.Unlock()
		for range fetchRounds {
			f := newFetch(l.cfg.Zone, k.hasRecord)
			f.at(from, m.Sums)
			plan := f.plan()
			if len(plan) == 0 || k.isClosed() {
				return
			}
			k.recover(l.fetch(context.Background(), m.Part, plan, f))
		}
	}()
}

// handOver gives the copies held here to some peers, before this instance ends.
func (l *Ledger) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range l.copies.all() {
		wg.Go(func() { l.handOverCopies(ctx, m) })
	}
	wg.Wait()
}

// handOverCopies gives copies to as many peers as must have them. A later holder that has claimed the
// partition has asked this instance for them too.
func (l *Ledger) handOverCopies(ctx context.Context, m wire.HistoryHold) {
	taken, asked := 0, 0
	for _, r := range l.cfg.Node.Connected() {
		if taken == copiesWanted || asked == copyPeers {
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
	if taken < copiesWanted {
		l.cfg.Log.WithFields(logrus.Fields{"part": m.Part, "count": taken, "reason": fmt.Sprintf("%d peers asked", asked)}).
			Warn("copies not handed over")
	}
}

// doubtful tells whether records may exist that only memory held for a while, so that a turn which isn't
// found can't be said not to exist: this instance held copies, or saw the store away.
func (l *Ledger) doubtful() bool {
	l.mu.Lock()
	keep := l.keep
	l.mu.Unlock()
	for _, at := range []time.Time{l.copies.since(), l.watch.away()} {
		if !at.IsZero() && time.Since(at) < keep {
			return true
		}
	}
	return false
}

// serveHold takes copies for the holder of a partition.
func (l *Ledger) serveHold(m wire.HistoryHold) wire.HistoryHeld {
	return wire.HistoryHeld{
		Held:         l.copies.put(m.Part, m.Epoch, m.Records, time.Now()),
		StoreReached: l.watch.reached(),
		Replaced:     l.copies.replaced(m.Part, m.Epoch),
	}
}

// serveIndex tells the new holder of a partition which copies are here. A keeper of an earlier epoch ends
// first, so that it adds no more.
func (l *Ledger) serveIndex(m wire.HistoryIndex) wire.HistoryIndexed {
	k := l.keeper(m.Part)
	if k != nil && k.olderThan(m.Epoch) {
		k.cancel()
		<-k.closed
	}
	return wire.HistoryIndexed{Sums: l.copies.index(m.Part, m.Epoch)}
}

// collect gets the copies of a partition that its new holder doesn't know, each once, from the peers in
// reach. All peers say first which copies they have: each copy is at several of them, and most are in the
// partition already when its holders follow each other quickly.
func (l *Ledger) collect(ctx context.Context, part int, epoch int64, known func(sum uint64) bool) [][]byte {
	l.awaitPeers(ctx)
	sums := l.copies.index(part, epoch)
	records := l.copies.get(part, sums)
	f := newFetch(l.cfg.Zone, known)
	f.have(sums)
	silent := l.indexes(ctx, part, epoch, f)
	for range fetchRounds {
		plan := f.plan()
		if len(plan) == 0 {
			break
		}
		records = append(records, l.fetch(ctx, part, plan, f)...)
	}
	missing := f.missing()
	if silent > 0 || missing > 0 {
		l.cfg.Log.WithFields(logrus.Fields{"part": part, "silent": silent, "missing": missing, "count": len(records)}).
			Info("copies not collected")
	}
	return records
}

// indexes asks all peers which copies they have. It returns how many did not answer.
func (l *Ledger) indexes(ctx context.Context, part int, epoch int64, f *fetch) (silent int) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	type answer struct {
		from  peer.Remote
		sums  []uint64
		given bool
	}
	remotes := l.cfg.Node.Connected()
	answers := make(chan answer, len(remotes))
	for _, r := range remotes {
		go func() {
			reply, err := l.cfg.Node.Request(ctx, r.Session, wire.HistoryIndex{Part: part, Epoch: epoch})
			if err != nil {
				l.cfg.Log.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error(), "part": part}).Debug("copies not listed")
			}
			a, ok := reply.(wire.HistoryIndexed)
			answers <- answer{r, a.Sums, ok}
		}()
	}
	for range remotes {
		a := <-answers
		if !a.given {
			silent++
		}
		f.at(a.from, a.sums)
	}
	return silent
}

// fetch gets copies from the peers of a plan.
func (l *Ledger) fetch(ctx context.Context, part int, plan map[id.Session][]uint64, f *fetch) [][]byte {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	answers := make(chan [][]byte, len(plan))
	for session, sums := range plan {
		go func() {
			reply, err := l.cfg.Node.Request(ctx, session, wire.HistoryCollect{Part: part, Sums: sums})
			if err != nil {
				l.cfg.Log.WithFields(logrus.Fields{"peer": string(session), "reason": err.Error(), "part": part}).Debug("copies not given")
			}
			collected, _ := reply.(wire.HistoryCollected)
			answers <- collected.Records
		}()
	}
	var all [][]byte
	for range plan {
		records := <-answers
		for _, data := range records {
			f.have([]uint64{xxhash.Sum64(data)})
		}
		all = append(all, records...)
	}
	return all
}

// awaitPeers waits a short time for connections with the members of the group.
func (l *Ledger) awaitPeers(ctx context.Context) {
	ends := time.Now().Add(collectWait)
	for ctx.Err() == nil && time.Now().Before(ends) && !l.allConnected() {
		time.Sleep(retryPause)
	}
}

func (l *Ledger) allConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, member := range l.owners {
		p, ok := splitMember(member)
		if !ok || p.Instance == l.cfg.Instance {
			continue
		}
		if _, connected := l.cfg.Node.Session(p.Instance); !connected {
			return false
		}
	}
	return len(l.owners) > 0
}
