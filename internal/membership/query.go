package membership

import (
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// Dead reports whether slots may be claimed from a holder: nothing was heard from it for DeadAfter,
// directly or by report, and HeardMajority holds.
func (m *Members) Dead(now time.Duration, holder id.Session) bool {
	if holder == m.cfg.Self || now-m.lastHeard(holder) < DeadAfter {
		return false
	}
	return m.HeardMajority(now)
}

// HeardMajority reports whether a majority of the listed instances acknowledged a round that was sent
// within FreshWindow. Sessions younger than DeadAfter do not count, because they do not know what
// earlier sessions of their instances have acknowledged. It is false while the list is older than
// ListLagBound.
func (m *Members) HeardMajority(now time.Duration) bool {
	if !m.list.fresh(now) || now-m.cfg.Start < DeadAfter {
		return false
	}
	m.list.expire(now)
	heard := map[string]bool{m.cfg.Self.Instance(): true}
	for s, p := range m.peers {
		if p.answered && now-p.roundSent <= FreshWindow && p.uptime >= DeadAfter {
			heard[s.Instance()] = true
		}
	}
	return m.majority(func(name string) bool { return heard[name] })
}

// live reports whether a session has sent a heartbeat, was heard within DeadAfter and has not been
// replaced by a newer session of its instance.
func (m *Members) live(now time.Duration, s id.Session) bool {
	p := m.peers[s]
	return p != nil && p.seen && !p.replaced && now-m.lastHeard(s) < DeadAfter
}

// Live returns the live sessions, including that of this instance, sorted.
func (m *Members) Live(now time.Duration) []id.Session {
	sessions := []id.Session{m.cfg.Self}
	for s := range m.peers {
		if m.live(now, s) {
			sessions = append(sessions, s)
		}
	}
	slices.Sort(sessions)
	return sessions
}

// Draining reports whether a session announced that it is shutting down, or the list reports its
// instance as leaving.
func (m *Members) Draining(s id.Session) bool {
	if s == m.cfg.Self {
		return m.draining || m.list.leaving[s.Instance()]
	}
	p := m.peers[s]
	return p != nil && p.draining || m.list.leaving[s.Instance()]
}

// eligible returns the live sessions that are not draining. If all are draining, it returns all of
// them, so that every slot and pool always has a session.
func (m *Members) eligible(now time.Duration) []id.Session {
	all := m.Live(now)
	var eligible []id.Session
	for _, s := range all {
		if !m.Draining(s) {
			eligible = append(eligible, s)
		}
	}
	if len(eligible) == 0 {
		return all
	}
	return eligible
}

// SlotHolder returns the session that should hold a slot. Which session does hold it is decided by the
// log.
func (m *Members) SlotHolder(now time.Duration, slot id.Slot) id.Session {
	return highestScore(m.eligible(now), slotKey(slot))
}

// Dispatcher returns the session that dispatches the calls of a pool.
func (m *Members) Dispatcher(now time.Duration, pool string) id.Session {
	return highestScore(m.eligible(now), poolKey(pool))
}

// CopyPeers returns up to n live peers for copies: records of turns that peers keep in memory while the
// store is down. Peers in other availability zones come first, draining peers last. The order among
// equals depends on the session of this instance, so that the copies of different instances are
// distributed over all peers.
func (m *Members) CopyPeers(now time.Duration, n int) []id.Session {
	type candidate struct {
		session id.Session
		rank    int
		score   uint64
	}
	var all []candidate
	for s, p := range m.peers {
		if !m.live(now, s) {
			continue
		}
		c := candidate{session: s, score: score(s, copyKey(m.cfg.Self))}
		if p.zone == m.cfg.Zone {
			c.rank++
		}
		if m.Draining(s) {
			c.rank += 2
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score), cmp.Compare(a.session, b.session))
	})
	var peers []id.Session
	for _, c := range all[:min(n, len(all))] {
		peers = append(peers, c.session)
	}
	return peers
}

// PeerVersion is the manifest version that a peer has in force.
type PeerVersion struct {
	Session id.Session
	Version uint64
}

// ManifestVersions returns the manifest versions of the live peers, highest first.
func (m *Members) ManifestVersions(now time.Duration) []PeerVersion {
	var versions []PeerVersion
	for s, p := range m.peers {
		if m.live(now, s) {
			versions = append(versions, PeerVersion{Session: s, Version: p.manifest})
		}
	}
	slices.SortFunc(versions, func(a, b PeerVersion) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Session, b.Session))
	})
	return versions
}

// HeldSlots returns the slots that a peer holds according to its last heartbeat.
func (m *Members) HeldSlots(s id.Session) wire.SlotEpochs {
	if p := m.peers[s]; p != nil {
		return p.slots
	}
	return nil
}

// PeerAges returns how long ago each known session was last heard directly, for status output.
func (m *Members) PeerAges(now time.Duration) []wire.PeerAge {
	var ages []wire.PeerAge
	for s, p := range m.peers {
		if p.seen {
			ages = append(ages, wire.PeerAge{Session: s, Age: now - p.heardAt})
		}
	}
	slices.SortFunc(ages, func(a, b wire.PeerAge) int { return cmp.Compare(a.Session, b.Session) })
	return ages
}
