package ledger

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/store"
	"ragwortstile/internal/wire"
)

// member returns the name of the instance in the group, which includes its address for peers.
func (l *Ledger) member() string { return l.cfg.Instance + "@" + l.cfg.PeerAddr }

func splitMember(member string) (peer.Peer, bool) {
	name, addr, ok := strings.Cut(member, "@")
	return peer.Peer{Instance: name, Addr: addr}, ok
}

// memberInstance returns the instance of a member of the group.
func memberInstance(member string) string {
	p, _ := splitMember(member)
	return p.Instance
}

// leaveGroup releases all partitions, hands over the copies and leaves the group.
func (l *Ledger) leaveGroup(ctx context.Context) {
	l.releaseAll()
	l.handoverAll(ctx)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.cfg.Store.Leave(ctx, group, l.member()); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("leaving the group failed; the membership expires after its TTL")
		return
	}
	l.announceChange()
}

// HandlePartitionClaims handles the message of a peer about the partitions that it holds. It offers the peer the
// copies of these partitions that this instance has.
func (l *Ledger) HandlePartitionClaims(m wire.PartitionClaims) {
	defer l.offerCopies(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range m.Claims {
		if c.Epoch > l.claims[c.Part] {
			l.claims[c.Part] = c.Epoch
			l.holders[c.Part] = m.Member
		}
	}
}

// Holders returns the known holders of partitions, with the epochs of their claims.
func (l *Ledger) Holders() []wire.PartitionClaims {
	l.mu.Lock()
	defer l.mu.Unlock()
	byMember := make(map[string]*wire.PartitionClaims)
	for part, member := range l.holders {
		h := byMember[member]
		if h == nil {
			h = &wire.PartitionClaims{Member: member}
			byMember[member] = h
		}
		h.Claims = append(h.Claims, wire.Claim{Part: part, Epoch: l.claims[part]})
	}
	out := make([]wire.PartitionClaims, 0, len(byMember))
	for _, h := range byMember {
		out = append(out, *h)
	}
	return out
}

// LearnHolders takes the holders from a peer while they cannot be read from the store, unless newer claims are known.
func (l *Ledger) LearnHolders(holders []wire.PartitionClaims) {
	var peers []peer.Peer
	l.mu.Lock()
	for _, h := range holders {
		for _, c := range h.Claims {
			if c.Epoch >= l.claims[c.Part] {
				l.holders[c.Part], l.claims[c.Part] = h.Member, c.Epoch
			}
		}
		if p, ok := splitMember(h.Member); ok && p.Instance != l.cfg.Instance {
			peers = append(peers, p)
		}
	}
	l.mu.Unlock()
	l.cfg.Node.SetPeers(peers)
}

// Connected tells a new peer which partitions this instance holds, and whether it stops.
func (l *Ledger) Connected(r peer.Remote) {
	l.tellStopping(r.Session)
	m := wire.PartitionClaims{Member: l.member()}
	l.mu.Lock()
	for part, ld := range l.leaders {
		if ld.isServing() {
			m.Claims = append(m.Claims, wire.Claim{Part: part, Epoch: ld.epoch})
		}
	}
	l.mu.Unlock()
	if len(m.Claims) == 0 {
		return
	}
	if err := l.cfg.Node.Send(r.Session, m); err != nil {
		l.cfg.Log.WithFields(logrus.Fields{"peer": string(r.Session), "reason": err.Error()}).Debug("held partitions not sent to peer")
	}
}

// announceClaim tells all peers about a claim.
func (l *Ledger) announceClaim(part int, epoch int64) {
	m := wire.PartitionClaims{Member: l.member(), Claims: []wire.Claim{{Part: part, Epoch: epoch}}}
	l.HandlePartitionClaims(m)
	if _, err := l.cfg.Node.Broadcast(m); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("claim not sent to peers")
	}
}

func (l *Ledger) releaseAll() {
	l.mu.Lock()
	held := l.leaders
	l.leaders = make(map[int]*leader)
	l.mu.Unlock()
	for _, ld := range held {
		ld.cancel()
		<-ld.closed
	}
}

// join renews the membership and starts and stops leaders according to the assignment.
func (l *Ledger) join(ctx context.Context) {
	l.mu.Lock()
	left, generation := l.departure.left || l.isolation.isolated, l.generation
	l.mu.Unlock()
	if left {
		return
	}
	jctx, cancel := context.WithTimeout(ctx, callTimeout)
	m, err := l.cfg.Store.Join(jctx, group, l.member(), []string{topic}, l.ttl, generation)
	cancel()
	l.cfg.OnStoreResult(err)
	if err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Debug("joining the group failed")
		return
	}
	changed := m.Generation != generation
	l.mu.Lock()
	l.generation = m.Generation
	held := make(map[int]bool, len(m.Held))
	var dropped []*leader
	for _, p := range m.Held {
		if p.Topic == topic {
			held[p.Part] = true
		}
	}
	for part, ld := range l.leaders {
		if !held[part] || ld.isClosed() {
			delete(l.leaders, part)
			dropped = append(dropped, ld)
		}
	}
	if mayStart := l.mayStart(len(held), time.Now()); mayStart && !l.departure.left {
		for part := range held {
			if l.leaders[part] == nil {
				l.leaders[part] = l.startLeader(ctx, part, m.Generation)
			}
		}
	}
	l.mu.Unlock()
	for _, ld := range dropped {
		ld.cancel()
		<-ld.closed
	}
	if changed {
		l.cfg.Log.WithFields(logrus.Fields{"version": m.Generation, "count": len(held)}).Info("group changed")
		l.readHolders(ctx, 0)
	}
	if len(dropped) > 0 {
		l.notify(l.rejoin) // reports to the store that the partitions are free
		l.announceChange()
	}
}

// mayStart reports whether leaders may be started. An instance that is assigned all partitions is likely the
// first to reach the store after an outage; the others, which may hold copies, join a moment later. The caller
// holds the lock.
func (l *Ledger) mayStart(held int, now time.Time) bool {
	if held < l.cfg.Parts || len(l.leaders) > 0 {
		l.soleMemberSince = time.Time{}
		return true
	}
	if l.soleMemberSince.IsZero() {
		l.soleMemberSince = now
	}
	return now.Sub(l.soleMemberSince) >= soleMemberDelay
}

// startLeader starts the leader of a partition. The caller holds the lock.
func (l *Ledger) startLeader(ctx context.Context, part int, generation int64) *leader {
	ld := newLeader(store.Partition{Topic: topic, Part: part}, generation, l.cfg.Instance, l.cfg.MaxCallBytes, l.MaxTurnBytes(),
		l.cfg.Store, l.cfg.Log, l.cfg.OnStoreResult)
	ld.recordRetention, ld.loads, ld.uploads = l.cfg.RecordRetention, l.loads, &l.uploads
	ld.protect, ld.collect, ld.announceClaim, ld.announceStored = l.protect, l.collect, l.announceClaim, l.announceStored
	ld.retainCopies = func(part int, epoch int64, records [][]byte) { l.copies.put(part, epoch, records, time.Now()) }
	lctx, cancel := context.WithCancel(ctx)
	ld.cancel = cancel
	go ld.run(lctx)
	return ld
}

func (l *Ledger) notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// readHolders reads the assignments from the store, unless the last attempt was less than minInterval ago. It reports
// whether they were read.
func (l *Ledger) readHolders(ctx context.Context, minInterval time.Duration) bool {
	l.mu.Lock()
	recent := time.Since(l.holdersTriedAt) < minInterval
	l.mu.Unlock()
	if recent {
		return false
	}
	octx, cancel := context.WithTimeout(ctx, callTimeout)
	rows, err := l.cfg.Store.Assignments(octx, group)
	cancel()
	l.cfg.OnStoreResult(err)
	l.mu.Lock()
	l.holdersTriedAt = time.Now()
	if err != nil {
		l.mu.Unlock()
		l.cfg.Log.WithField("reason", err.Error()).Debug("reading assignments failed")
		return false
	}
	l.holdersReadAt = time.Now()
	peers, members := make(map[string]peer.Peer), make(map[string]bool)
	for _, row := range rows {
		if row.Topic != topic || row.Member == "" {
			continue
		}
		l.holders[row.Part] = row.Member
		members[memberInstance(row.Member)] = true
		if p, ok := splitMember(row.Member); ok && p.Instance != l.cfg.Instance {
			peers[p.Instance] = p
		}
	}
	l.members = slices.Collect(maps.Keys(members))
	l.mu.Unlock()
	list := make([]peer.Peer, 0, len(peers))
	for _, p := range peers {
		list = append(list, p)
	}
	l.cfg.Node.SetPeers(list)
	return true
}

// Messengers returns up to max peers that pass a message on to all instances, or none if this instance reaches all of them
// itself. Instances stay connected with those that hold partitions; two that hold none are not connected with each other.
func (l *Ledger) Messengers(max int) []id.Session {
	l.mu.Lock()
	members := slices.Clone(l.members)
	l.mu.Unlock()
	return messengers(l.cfg.Instance, members, l.cfg.Node.Connected(), max)
}

// messengers decides which of the connected peers pass a message on, given the instances that hold partitions.
func messengers(self string, members []string, connected []peer.Remote, max int) []id.Session {
	if slices.Contains(members, self) {
		return nil
	}
	var holders, others []id.Session
	for _, r := range connected {
		if slices.Contains(members, r.Session.Instance()) {
			holders = append(holders, r.Session)
		} else {
			others = append(others, r.Session)
		}
	}
	list := append(holders, others...)
	return list[:min(len(list), max)]
}
