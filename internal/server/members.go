package server

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/wire"
)

// liveWindow is the silence after which an instance gets no new requests, holds no slots in the plan
// and dispatches no pool. It is shorter than membership.DeadAfter, because routing around an instance
// that is alive violates no guarantee.
const liveWindow = 2 * time.Second

// member is the latest known session of another instance, with the data that routing needs.
type member struct {
	session   id.Session
	zone      string
	lastHeard time.Duration // when its last heartbeat arrived
	beat      wire.Heartbeat
}

// members combines the membership core with data for routing: when each peer was last heard directly
// and which slots it reports. The core loop owns it.
type members struct {
	inst             *Instance
	state            *membership.Members
	byName           map[string]*member
	listed           map[string]bool // instances on the platform's list, and this one
	hasList          bool
	nextHeartbeat    time.Duration       // when the next heartbeats are sent
	leavingEndpoints []string            // leaving endpoints, as last passed to the dispatchers
	manifestAsked    map[id.Session]bool // sessions with a manifest request in progress
	cachedPlan       plan
	planKey          string // the sessions that cachedPlan was computed for
}

func newMembers(i *Instance) *members {
	m := &members{
		inst:          i,
		state:         membership.New(membership.Config{Self: i.session, Zone: i.cfg.Zone, Start: i.now()}),
		byName:        map[string]*member{},
		listed:        map[string]bool{i.cfg.Instance: true},
		manifestAsked: map[id.Session]bool{},
	}
	for _, p := range i.cfg.Peers {
		m.listed[p.Instance] = true
	}
	return m
}

func (m *members) connected(r peer.Remote) {
	name := r.Session.Instance()
	if mb := m.byName[name]; mb == nil || mb.session != r.Session {
		m.byName[name] = &member{session: r.Session, zone: r.Zone}
	}
}

// heardWithin reports whether a heartbeat of this session arrived within the window.
func (mb *member) heardWithin(now, window time.Duration) bool {
	return mb.beat.Round > 0 && now-mb.lastHeard <= window
}

// live returns the sessions of the other instances that were heard within liveWindow, sorted.
func (m *members) live() []id.Session {
	now := m.inst.now()
	var out []id.Session
	for _, mb := range m.byName {
		if mb.heardWithin(now, liveWindow) {
			out = append(out, mb.session)
		}
	}
	slices.Sort(out)
	return out
}

// reachable reports whether requests can be forwarded to a session.
func (m *members) reachable(s id.Session) bool {
	mb := m.byName[s.Instance()]
	return mb != nil && mb.session == s && mb.heardWithin(m.inst.now(), liveWindow)
}

// candidates returns the other sessions that may hold slots and dispatch pools: live, listed, with a
// manifest in force and not draining.
func (m *members) candidates() []id.Session {
	var out []id.Session
	for _, s := range m.live() {
		listed := m.listed[s.Instance()] || !m.hasList
		if listed && m.byName[s.Instance()].beat.ManifestVersion > 0 && !m.state.Draining(s) {
			out = append(out, s)
		}
	}
	return out
}

// allListedReady reports whether every listed instance is this one or a candidate.
func (m *members) allListedReady() bool { return m.hasList && len(m.candidates())+1 >= len(m.listed) }

// holderOf returns the session that reports a slot as held in its heartbeats under the highest epoch,
// or "" if none does.
func (m *members) holderOf(s id.Slot) id.Session {
	var best id.Session
	var epoch id.Epoch
	for _, mb := range m.byName {
		if !mb.heardWithin(m.inst.now(), membership.DeadAfter) {
			continue
		}
		for _, se := range mb.beat.Slots {
			if se.Slot == s && se.Epoch > epoch {
				best, epoch = mb.session, se.Epoch
			}
		}
	}
	return best
}

func (m *members) knowsAllHolders() bool {
	for s := range id.Slot(id.Slots) {
		if m.holderOf(s) == "" {
			return false
		}
	}
	return true
}

// copyTargets returns the instances that may store copies of this instance's records, in order of
// preference.
func (m *members) copyTargets() []id.Session {
	return slices.DeleteFunc(m.state.CopyPeers(m.inst.now(), len(m.byName)), func(s id.Session) bool { return !m.reachable(s) })
}

// copySources returns the other instances that may store copies of any slot. unknown is the number of
// listed instances that have not connected yet and may store copies too. Once membership.DeadAfter
// has passed since the start of this instance, they are not counted any more.
func (m *members) copySources() (sessions []id.Session, unknown int) {
	now := m.inst.now()
	for _, s := range m.state.Live(now) {
		if s != m.inst.session {
			sessions = append(sessions, s)
		}
	}
	for name := range m.listed {
		if name != m.inst.cfg.Instance && m.byName[name] == nil && now <= membership.DeadAfter {
			unknown++
		}
	}
	return sessions, unknown
}

// peerAges returns how long ago each live instance was last heard.
func (m *members) peerAges() []wire.PeerAge {
	var out []wire.PeerAge
	for _, s := range m.live() {
		out = append(out, wire.PeerAge{Session: s, Age: m.inst.now() - m.byName[s.Instance()].lastHeard})
	}
	return out
}
