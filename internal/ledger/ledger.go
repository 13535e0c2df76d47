// Package ledger keeps the history of programs in the store and serves it to all instances.
//
// Programs are divided into partitions of one topic. The store's group deals the partitions out; the
// holder of a partition claims it under the group's generation, reads it whole, and from then on
// answers from memory and writes every change. The fence of the store makes sure that a holder which
// has been replaced, and doesn't know it, can write nothing more. What a caller relies on is
// confirmed only once it is in the store.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"strings"
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

// Names in the store.
const (
	topic = "history"
	group = "history"
)

// Times of membership.
const (
	// joinFraction is the part of a membership's lifetime after which it is renewed. The lifetime is the
	// least that the store allows, since it bounds how long the partitions of an instance that died stay
	// without a holder.
	joinFraction = 3
	// aloneWait is how long an instance that is dealt all partitions waits for others, a little above the time
	// between two joins.
	aloneWait = 450 * time.Millisecond
	// ownersEvery is the time between reads of all assignments while nothing points at a change.
	ownersEvery = 2 * time.Second
	// ownersAtOnce is the least time between two such reads.
	ownersAtOnce = 150 * time.Millisecond
	callTimeout  = 700 * time.Millisecond
	// retryPause is the wait before a holder is asked again.
	retryPause = 25 * time.Millisecond
	// askTimeout bounds one question to a holder; some wait for an append.
	askTimeout  = 1500 * time.Millisecond
	expireEvery = 2 * time.Second
)

// Errors of the client side.
var (
	// ErrUnavailable means that nothing certain can be said now.
	ErrUnavailable = errors.New("history is not available")
	// ErrUnknownTurn means that no partition has the turn.
	ErrUnknownTurn = errors.New("no such turn")
	// ErrOverBudget means that the program's budget doesn't hold the turn.
	ErrOverBudget = errors.New("over budget")
)

// Store is what a Ledger needs of the store.
type Store interface {
	store.Log
	store.Groups
}

// Config holds the settings of a Ledger.
type Config struct {
	Instance     string
	PeerAddr     string
	Zone         string // availability zone
	Parts        int
	MaxCallBytes int
	MinTTL       time.Duration // of a membership, by the store
	Store        Store
	Node         *peer.Node
	Log          logrus.FieldLogger
	// OnStoreResult is told of the outcome of each call to the store.
	OnStoreResult func(error)
}

// Ledger is one instance's part in the history.
type Ledger struct {
	cfg    Config
	ttl    time.Duration
	copies *copies
	watch  storeWatch

	mu         sync.Mutex
	keepers    map[int]*keeper
	owners     map[int]string // member by partition
	claims     map[int]int64  // newest known epoch by partition
	generation int64
	keep       time.Duration
	leaving    bool
	lastOwners time.Time
	aloneSince time.Time // when all partitions were dealt here, until they are taken up
	ownersRead time.Time // when the holders were last read from the store
	isolation  isolation
	refresh    chan struct{}
	rejoin     chan struct{}
}

// New returns a Ledger.
func New(cfg Config) *Ledger {
	l := &Ledger{
		cfg: cfg, ttl: cfg.MinTTL, copies: newCopies(),
		keepers: make(map[int]*keeper), owners: make(map[int]string), claims: make(map[int]int64),
		refresh: make(chan struct{}, 1), rejoin: make(chan struct{}, 1),
	}
	l.cfg.OnStoreResult = func(err error) {
		l.watch.result(err)
		cfg.OnStoreResult(err)
	}
	return l
}

// SetRetention takes the longest time for which turns are kept.
func (l *Ledger) SetRetention(keep time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep = keep
}

// member returns the name under which the instance is in the group. Others find its address in it.
func (l *Ledger) member() string { return l.cfg.Instance + "@" + l.cfg.PeerAddr }

func splitMember(member string) (peer.Peer, bool) {
	name, addr, ok := strings.Cut(member, "@")
	return peer.Peer{Instance: name, Addr: addr}, ok
}

// part returns the partition of a program.
func (l *Ledger) part(program string) int {
	return int(xxhash.Sum64String(program) % uint64(l.cfg.Parts))
}

// Serve keeps the membership until the context ends, then releases all partitions.
func (l *Ledger) Serve(ctx context.Context) error {
	join := time.NewTimer(0)
	defer join.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			l.release()
			return ctx.Err()
		case <-l.rejoin:
			l.join(ctx)
		case <-join.C:
			l.checkIsolation(ctx)
			l.join(ctx)
			join.Reset(l.ttl / joinFraction)
		case <-l.refresh:
			l.readOwners(ctx, ownersAtOnce)
		case <-expire.C:
			l.readOwners(ctx, ownersEvery)
			l.expire(ctx)
			l.copies.expire(time.Now())
		}
	}
}

// Leave gives the membership up, so that others take the partitions over at once.
func (l *Ledger) Leave(ctx context.Context) {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.giveUp(ctx)
}

// giveUp releases all partitions and leaves the group.
func (l *Ledger) giveUp(ctx context.Context) {
	l.release()
	l.handOver(ctx)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.cfg.Store.Leave(ctx, group, l.member()); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("leaving the group failed, the membership lapses")
		return
	}
	l.announce()
}

// announce tells peers to look at the group now.
func (l *Ledger) announce() {
	if _, err := l.cfg.Node.Broadcast(wire.GroupChanged{}); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("change of the group not announced")
	}
}

// HandleHolding takes the news of what a peer holds. Copies that are left here are offered to it.
func (l *Ledger) HandleHolding(m wire.Holding) {
	defer l.offer(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range m.Claims {
		if c.Epoch > l.claims[c.Part] {
			l.claims[c.Part] = c.Epoch
			l.owners[c.Part] = m.Member
		}
	}
}

// Holders returns who holds which partition, as far as is known here.
func (l *Ledger) Holders() []wire.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	byMember := make(map[string]*wire.Holding)
	for part, member := range l.owners {
		h := byMember[member]
		if h == nil {
			h = &wire.Holding{Member: member}
			byMember[member] = h
		}
		h.Claims = append(h.Claims, wire.Claim{Part: part, Epoch: l.claims[part]})
	}
	out := make([]wire.Holding, 0, len(byMember))
	for _, h := range byMember {
		out = append(out, *h)
	}
	return out
}

// LearnHolders takes what a peer knows of the holders, while the store doesn't tell.
func (l *Ledger) LearnHolders(holders []wire.Holding) {
	var peers []peer.Peer
	l.mu.Lock()
	for _, h := range holders {
		for _, c := range h.Claims {
			l.owners[c.Part], l.claims[c.Part] = h.Member, max(c.Epoch, l.claims[c.Part])
		}
		if p, ok := splitMember(h.Member); ok && p.Instance != l.cfg.Instance {
			peers = append(peers, p)
		}
	}
	l.mu.Unlock()
	l.cfg.Node.SetPeers(peers)
}

// Connected tells a peer what this instance holds.
func (l *Ledger) Connected(r peer.Remote) {
	m := wire.Holding{Member: l.member()}
	l.mu.Lock()
	for part, k := range l.keepers {
		if k.isServing() {
			m.Claims = append(m.Claims, wire.Claim{Part: part, Epoch: k.epoch})
		}
	}
	l.mu.Unlock()
	if len(m.Claims) == 0 {
		return
	}
	if err := l.cfg.Node.Send(r.Session, m); err != nil {
		l.cfg.Log.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error()}).Debug("holding not told")
	}
}

// claimed tells all peers of a claim.
func (l *Ledger) claimed(part int, epoch int64) {
	m := wire.Holding{Member: l.member(), Claims: []wire.Claim{{Part: part, Epoch: epoch}}}
	l.HandleHolding(m)
	if _, err := l.cfg.Node.Broadcast(m); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("claim not announced")
	}
}

// HandleGroupChanged takes the news that a peer has joined or left.
func (l *Ledger) HandleGroupChanged() { l.poke(l.rejoin) }

func (l *Ledger) release() {
	l.mu.Lock()
	held := l.keepers
	l.keepers = make(map[int]*keeper)
	l.mu.Unlock()
	for _, k := range held {
		k.cancel()
		<-k.closed
	}
}

// join renews the membership and takes up or gives up partitions.
func (l *Ledger) join(ctx context.Context) {
	l.mu.Lock()
	leaving, generation := l.leaving || l.isolation.isolated, l.generation
	l.mu.Unlock()
	if leaving {
		return
	}
	jctx, cancel := context.WithTimeout(ctx, callTimeout)
	m, err := l.cfg.Store.Join(jctx, group, l.member(), []string{topic}, l.ttl, generation)
	cancel()
	l.cfg.OnStoreResult(err)
	if err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Debug("join failed")
		return
	}
	changed := m.Generation != generation
	l.mu.Lock()
	l.generation = m.Generation
	held := make(map[int]bool, len(m.Held))
	var dropped []*keeper
	for _, p := range m.Held {
		if p.Topic == topic {
			held[p.Part] = true
		}
	}
	for part, k := range l.keepers {
		if !held[part] || k.isClosed() {
			delete(l.keepers, part)
			dropped = append(dropped, k)
		}
	}
	if settled := l.settled(len(held), time.Now()); settled && !l.leaving {
		for part := range held {
			if l.keepers[part] == nil {
				l.keepers[part] = l.start(ctx, part, m.Generation)
			}
		}
	}
	l.mu.Unlock()
	for _, k := range dropped {
		k.cancel()
		<-k.closed
	}
	if changed {
		l.cfg.Log.WithFields(logrus.Fields{"version": m.Generation, "count": len(held)}).Info("group changed")
		l.readOwners(ctx, 0)
	}
	if len(dropped) > 0 {
		l.poke(l.rejoin) // tells the store that the partitions are free
		l.announce()
	}
}

// settled tells whether partitions may be taken up. An instance that is dealt all of them is likely the first
// to find the store again: the others, who may hold copies, join a moment later. The caller holds the lock.
func (l *Ledger) settled(held int, now time.Time) bool {
	if held < l.cfg.Parts || len(l.keepers) > 0 {
		l.aloneSince = time.Time{}
		return true
	}
	if l.aloneSince.IsZero() {
		l.aloneSince = now
	}
	return now.Sub(l.aloneSince) >= aloneWait
}

// start takes a partition up. The caller holds the lock.
func (l *Ledger) start(ctx context.Context, part int, generation int64) *keeper {
	k := newKeeper(store.Partition{Topic: topic, Part: part}, generation, l.cfg.Instance, l.cfg.MaxCallBytes,
		l.cfg.Store, l.cfg.Log, l.cfg.OnStoreResult)
	k.protect, k.collect, k.claimed, k.flushed = l.protect, l.collect, l.claimed, l.flushed
	k.leave = func(part int, epoch int64, records [][]byte) { l.copies.put(part, epoch, records, time.Now()) }
	kctx, cancel := context.WithCancel(ctx)
	k.cancel = cancel
	go k.run(kctx)
	return k
}

func (l *Ledger) poke(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// readOwners learns who holds which partition, unless that was learnt a short time ago.
func (l *Ledger) readOwners(ctx context.Context, atLeast time.Duration) {
	l.mu.Lock()
	recent := time.Since(l.lastOwners) < atLeast
	l.mu.Unlock()
	if recent {
		return
	}
	octx, cancel := context.WithTimeout(ctx, callTimeout)
	rows, err := l.cfg.Store.Assignments(octx, group)
	cancel()
	l.cfg.OnStoreResult(err)
	l.mu.Lock()
	l.lastOwners = time.Now()
	if err != nil {
		l.mu.Unlock()
		l.cfg.Log.WithField("reason", err.Error()).Debug("reading assignments failed")
		return
	}
	l.ownersRead = time.Now()
	peers := make(map[string]peer.Peer)
	for _, row := range rows {
		if row.Topic != topic || row.Member == "" {
			continue
		}
		l.owners[row.Part] = row.Member
		if p, ok := splitMember(row.Member); ok && p.Instance != l.cfg.Instance {
			peers[p.Instance] = p
		}
	}
	l.mu.Unlock()
	list := make([]peer.Peer, 0, len(peers))
	for _, p := range peers {
		list = append(list, p)
	}
	l.cfg.Node.SetPeers(list)
}

// held returns the keepers of this instance.
func (l *Ledger) held() []*keeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*keeper, 0, len(l.keepers))
	for _, k := range l.keepers {
		out = append(out, k)
	}
	return out
}

// keeper returns the own keeper of a partition; nil if there is none.
func (l *Ledger) keeper(part int) *keeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keepers[part]
}

func (l *Ledger) expire(ctx context.Context) {
	l.mu.Lock()
	keep := l.keep
	l.mu.Unlock()
	for _, k := range l.held() {
		k.expire(ctx, keep)
	}
}

// HeldCounts returns the partitions that this instance holds, and the number of turns in them.
func (l *Ledger) HeldCounts() (parts, turns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.keepers {
		k.mu.Lock()
		turns += k.state.Turns()
		k.mu.Unlock()
	}
	return len(l.keepers), turns
}

// holder returns the own keeper of a partition, or the session that holds it.
func (l *Ledger) holder(part int) (*keeper, id.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.keepers[part]; k != nil && !k.isClosed() {
		return k, "", nil
	}
	p, ok := splitMember(l.owners[part])
	if !ok {
		return nil, "", fmt.Errorf("partition %d has no holder: %w", part, ErrUnavailable)
	}
	session, ok := l.cfg.Node.Session(p.Instance)
	if !ok {
		return nil, "", fmt.Errorf("holder %s of partition %d is out of reach: %w", p.Instance, part, ErrUnavailable)
	}
	return nil, session, nil
}

// ask runs a question at the holder of a partition, until it is answered or the context ends.
func (l *Ledger) ask(
	ctx context.Context, part int, local func(context.Context, *keeper) error, remote wire.Message, take func(wire.Message) error,
) error {
	for {
		err := l.askOnce(ctx, part, local, remote, take)
		if err == nil || errors.Is(err, errWrongReply) {
			return err
		}
		if ctx.Err() != nil || l.Isolated() {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		l.poke(l.refresh)
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		case <-time.After(retryPause):
		}
	}
}

func (l *Ledger) askOnce(
	ctx context.Context, part int, local func(context.Context, *keeper) error, remote wire.Message, take func(wire.Message) error,
) error {
	k, session, err := l.holder(part)
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if k != nil {
		return local(actx, k)
	}
	reply, err := l.cfg.Node.Request(actx, session, remote)
	if err != nil {
		return err
	}
	return take(reply)
}

var errWrongReply = errors.New("reply of an unexpected kind")

func takeAck(m wire.Message) error {
	if _, ok := m.(wire.Ack); !ok {
		return fmt.Errorf("%w: %s", errWrongReply, m.Kind())
	}
	return nil
}

// Begin asks for leave to run an attempt. It returns the text of the chain before it, unless b.Known is
// set. The attempt may be sent to an endpoint at once, but nothing may be handed out before Confirm.
func (l *Ledger) Begin(ctx context.Context, b history.Begin) ([]byte, error) {
	part := l.part(b.Program)
	for adopted := false; ; adopted = true {
		outcome, body, err := l.begin(ctx, part, b)
		if err != nil {
			return nil, err
		}
		switch outcome {
		case history.Granted:
			return body, nil
		case history.OverBudget:
			return nil, ErrOverBudget
		case history.MustWait:
			return nil, fmt.Errorf("%w: the budget is taken up by running turns", ErrUnavailable)
		}
		if adopted {
			return nil, fmt.Errorf("%w: the turn vanished", ErrUnavailable)
		}
		if err := l.adopt(ctx, part, b.Previous); err != nil {
			return nil, err
		}
	}
}

func (l *Ledger) begin(ctx context.Context, part int, b history.Begin) (outcome history.Outcome, body []byte, err error) {
	err = l.ask(ctx, part, func(ctx context.Context, k *keeper) (err error) {
		outcome, body, err = k.begin(ctx, b)
		return err
	}, wire.TurnBegin{Part: part, Begin: b}, func(m wire.Message) error {
		begun, ok := m.(wire.TurnBegun)
		if !ok {
			return fmt.Errorf("%w: %s", errWrongReply, m.Kind())
		}
		outcome, body = begun.Outcome, begun.Body
		return nil
	})
	return outcome, body, err
}

// Confirm waits until the grant that an attempt runs under is in the store. Where the holder has changed since,
// it is made anew.
func (l *Ledger) Confirm(ctx context.Context, b history.Begin) error {
	if !b.HasBudget {
		return nil
	}
	part := l.part(b.Program)
	for ctx.Err() == nil {
		err := l.askOnce(ctx, part, func(ctx context.Context, k *keeper) error {
			return k.confirm(ctx, b.Program, b.Turn)
		}, wire.TurnConfirm{Part: part, Program: b.Program, Turn: b.Turn}, takeAck)
		if err == nil {
			return nil
		}
		b.HasChain = true
		if _, err := l.Begin(ctx, b); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
}

// End tells how an attempt ended. For a whole turn it returns once that is in the store.
func (l *Ledger) End(ctx context.Context, e history.End) error {
	part := l.part(e.Program)
	return l.ask(ctx, part, func(ctx context.Context, k *keeper) error {
		return k.end(ctx, e)
	}, wire.TurnEnd{Part: part, End: e}, takeAck)
}

// adopt finds a turn in another partition and takes its chain into the given one.
func (l *Ledger) adopt(ctx context.Context, part int, turn string) error {
	body, err := l.find(ctx, turn)
	if err != nil {
		return err
	}
	return l.adoptAt(ctx, part, turn, body)
}

// adoptAt takes the chain of a turn into a partition.
func (l *Ledger) adoptAt(ctx context.Context, part int, turn string, body []byte) error {
	l.mu.Lock()
	keep := l.keep
	l.mu.Unlock()
	return l.ask(ctx, part, func(ctx context.Context, k *keeper) error {
		return k.adopt(ctx, turn, body, keep)
	}, wire.TurnAdopt{Part: part, Turn: turn, Body: body, Keep: keep}, takeAck)
}

// find looks for a turn in all partitions. It says that there is none only when all were searched.
func (l *Ledger) find(ctx context.Context, turn string) ([]byte, error) {
	for {
		found, searched := l.findOnce(ctx, turn)
		if found.Found {
			return found.Body, nil
		}
		if searched >= l.cfg.Parts && found.Doubtful {
			return nil, fmt.Errorf("%w: records may have been lost with the memory of instances", ErrUnavailable)
		}
		if searched >= l.cfg.Parts {
			return nil, ErrUnknownTurn
		}
		l.poke(l.refresh)
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %d of %d partitions searched", ErrUnavailable, searched, l.cfg.Parts)
		case <-time.After(2 * retryPause):
		}
	}
}

func (l *Ledger) findOnce(ctx context.Context, turn string) (wire.TurnFound, int) {
	actx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	remotes := l.cfg.Node.Connected() // those without a partition may hold copies
	answers := make(chan wire.TurnFound, len(remotes)+1)
	for _, r := range remotes {
		go func() {
			reply, err := l.cfg.Node.Request(actx, r.Session, wire.TurnFind{Turn: turn})
			if err != nil {
				l.cfg.Log.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error()}).Debug("search failed")
			}
			found, _ := reply.(wire.TurnFound)
			answers <- found
		}()
	}
	answers <- l.search(actx, turn)
	searched, doubtful := make(map[int]bool), false
	for range len(remotes) + 1 {
		found := <-answers
		if found.Found {
			return found, 0
		}
		doubtful = doubtful || found.Doubtful
		for _, p := range found.Parts {
			searched[p] = true
		}
	}
	return wire.TurnFound{Doubtful: doubtful}, len(searched)
}

// search looks for a turn in the partitions held here.
func (l *Ledger) search(ctx context.Context, turn string) wire.TurnFound {
	held := l.held()
	found := wire.TurnFound{Doubtful: l.doubtful()}
	for _, k := range held {
		body, ok, err := k.find(ctx, turn)
		if ok {
			return wire.TurnFound{Found: true, Body: body}
		}
		if err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"part": k.part.Part, "reason": err.Error()}).Info("partition not searched")
			continue
		}
		found.Parts = append(found.Parts, k.part.Part)
		found.Doubtful = found.Doubtful || k.isNew(time.Now())
	}
	return found
}

// HandleRequest serves a question of a peer. It returns false for messages of other kinds.
func (l *Ledger) HandleRequest(ctx context.Context, m wire.Message, r *peer.Replier) (bool, error) {
	switch m := m.(type) {
	case wire.TurnBegin:
		return true, l.serve(m.Part, func(k *keeper) error {
			outcome, body, err := k.begin(ctx, m.Begin)
			if err != nil {
				return err
			}
			return r.SendLast(ctx, wire.TurnBegun{Outcome: outcome, Body: body})
		})
	case wire.TurnConfirm:
		return true, l.serveAck(ctx, r, m.Part, func(k *keeper) error { return k.confirm(ctx, m.Program, m.Turn) })
	case wire.TurnEnd:
		return true, l.serveAck(ctx, r, m.Part, func(k *keeper) error { return k.end(ctx, m.End) })
	case wire.TurnAdopt:
		return true, l.serveAck(ctx, r, m.Part, func(k *keeper) error { return k.adopt(ctx, m.Turn, m.Body, m.Keep) })
	case wire.HistoryHold:
		return true, r.SendLast(ctx, l.serveHold(m))
	case wire.HistoryIndex:
		return true, r.SendLast(ctx, l.serveIndex(m))
	case wire.HistoryCollect:
		return true, r.SendLast(ctx, wire.HistoryCollected{Records: l.copies.get(m.Part, m.Sums)})
	case wire.TurnFind:
		return true, r.SendLast(ctx, l.search(ctx, m.Turn))
	default:
		return false, nil
	}
}

func (l *Ledger) serve(part int, f func(*keeper) error) error {
	k := l.keeper(part)
	if k == nil {
		return wire.Error{Code: wire.CodeNotHolder}
	}
	err := f(k)
	if errors.Is(err, errNotHolder) {
		return wire.Error{Code: wire.CodeNotHolder}
	}
	return err
}

func (l *Ledger) serveAck(ctx context.Context, r *peer.Replier, part int, f func(*keeper) error) error {
	return l.serve(part, func(k *keeper) error {
		if err := f(k); err != nil {
			return err
		}
		return r.SendLast(ctx, wire.Ack{})
	})
}
