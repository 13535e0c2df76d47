package membership

import (
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// Dead tells whether slots may be claimed from a holder: nothing was heard from it for DeadAfter,
// and a majority was heard within FreshWindow.
func (m *Members) Dead(now time.Duration, holder id.Session) bool {
	if holder == m.cfg.Self || now-m.lastHeard(holder) < DeadAfter {
		return false
	}
	return m.HeardMajority(now)
}

// HeardMajority tells whether a majority of the listed instances answered a round that was sent
// within FreshWindow. Sessions younger than DeadAfter do not count, because they do not know what
// their predecessors have acknowledged. It is false while the list is older than ListLagBound.
func (m *Members) HeardMajority(now time.Duration) bool {
	if !m.list.fresh(now) || now-m.cfg.Start < DeadAfter {
		return false
	}
	m.list.expire(now)
	heard := map[string]bool{m.cfg.Self.Instance(): true}
	for s, p := range m.peers {
		if p.answered && now-p.fresh <= FreshWindow && p.uptime >= DeadAfter {
			heard[s.Instance()] = true
		}
	}
	return m.majority(func(name string) bool { return heard[name] })
}

// live tells whether a peer counts as alive.
func (m *Members) live(now time.Duration, s id.Session) bool {
	p := m.peers[s]
	return p != nil && p.seen && !p.replaced && now-m.lastHeard(s) < DeadAfter
}

// Live returns the live sessions, the own one included, in order.
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

// Draining tells whether a session said that it is shutting down, or the list says so.
func (m *Members) Draining(s id.Session) bool {
	if s == m.cfg.Self {
		return m.draining || m.list.leaving[s.Instance()]
	}
	p := m.peers[s]
	return p != nil && p.draining || m.list.leaving[s.Instance()]
}

// eligible returns the live sessions that are not draining. If all are draining, it returns all,
// so that work always has a place.
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

// SlotHolder returns the session that should hold a slot. The log decides who does.
func (m *Members) SlotHolder(now time.Duration, slot id.Slot) id.Session {
	return first(m.eligible(now), slotKey(slot))
}

// Dispatcher returns the session that dispatches a pool.
func (m *Members) Dispatcher(now time.Duration, pool string) id.Session {
	return first(m.eligible(now), poolKey(pool))
}

// CopyPeers returns up to n live peers for turn copies, those in other availability zones first.
// Draining peers come last. The order among equals depends on the own session, so that the copies
// of an instance spread over all peers.
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

// ManifestVersions returns the versions of the live peers, the highest first.
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

// HeldSlots returns the slots that a peer's last heartbeat said it holds.
func (m *Members) HeldSlots(s id.Session) wire.SlotEpochs {
	if p := m.peers[s]; p != nil {
		return p.slots
	}
	return nil
}

// PeerAges returns how long ago each known session was last heard directly, for status.
func (m *Members) PeerAges(now time.Duration) []wire.PeerAge {
	var ages []wire.PeerAge
	for s, p := range m.peers {
		if p.seen {
			ages = append(ages, wire.PeerAge{Session: s, Age: now - p.direct})
		}
	}
	slices.SortFunc(ages, func(a, b wire.PeerAge) int { return cmp.Compare(a.Session, b.Session) })
	return ages
}
