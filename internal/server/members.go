package server

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/wire"
)

// liveWindow is the silence after which an instance gets no new requests and dispatches no pool. It
// is shorter than membership.DeadAfter, because routing around a live instance breaks no guarantee.
const liveWindow = 2 * time.Second

// member is the newest session of another instance as routing sees it.
type member struct {
	session id.Session
	zone    string
	heard   time.Duration // when its last heartbeat arrived
	beat    wire.Heartbeat
}

// members joins the membership core with what routing needs: direct liveness and reported slots.
// The loop owns it.
type members struct {
	inst    *Instance
	core    *membership.Members
	byName  map[string]*member
	listed  map[string]bool // instances on the list, this one included
	hasList bool
	next    time.Duration       // of the next heartbeat round
	leaving []string            // endpoints, as the dispatchers were told
	asking  map[id.Session]bool // asked for the manifest
	cached  plan
	cacheOf string
}

func newMembers(i *Instance) *members {
	m := &members{
		inst:   i,
		core:   membership.New(membership.Config{Self: i.session, Zone: i.cfg.Zone, Start: i.now()}),
		byName: map[string]*member{},
		listed: map[string]bool{i.cfg.Instance: true},
		asking: map[id.Session]bool{},
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

// alive tells whether an instance was heard directly within a time.
func (mb *member) alive(now, window time.Duration) bool {
	return mb.beat.Round > 0 && now-mb.heard <= window
}

// live returns the sessions of the other instances that were heard lately, sorted.
func (m *members) live() []id.Session {
	now := m.inst.now()
	var out []id.Session
	for _, mb := range m.byName {
		if mb.alive(now, liveWindow) {
			out = append(out, mb.session)
		}
	}
	slices.Sort(out)
	return out
}

// reachable tells whether requests can be passed to a session.
func (m *members) reachable(s id.Session) bool {
	mb := m.byName[s.Instance()]
	return mb != nil && mb.session == s && mb.alive(m.inst.now(), liveWindow)
}

// candidates returns the other sessions that may hold slots and dispatch pools.
func (m *members) candidates() []id.Session {
	var out []id.Session
	for _, s := range m.live() {
		listed := m.listed[s.Instance()] || !m.hasList
		if listed && m.byName[s.Instance()].beat.ManifestVersion > 0 && !m.core.Draining(s) {
			out = append(out, s)
		}
	}
	return out
}

// complete tells whether all listed instances are candidates or this one.
func (m *members) complete() bool { return m.hasList && len(m.candidates())+1 >= len(m.listed) }

// holderOf returns the session that claims a slot in its heartbeats under the highest epoch.
func (m *members) holderOf(s id.Slot) id.Session {
	var best id.Session
	var epoch id.Epoch
	for _, mb := range m.byName {
		if !mb.alive(m.inst.now(), membership.DeadAfter) {
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

func (m *members) knowsHolders() bool {
	for s := range id.Slot(id.Slots) {
		if m.holderOf(s) == "" {
			return false
		}
	}
	return true
}

// copyOrder returns the instances that may keep copies, the best first.
func (m *members) copyOrder() []id.Session {
	return slices.DeleteFunc(m.core.CopyPeers(m.inst.now(), len(m.byName)), func(s id.Session) bool { return !m.reachable(s) })
}

// copySources returns the instances that may hold copies, and how many listed ones were not heard
// since this instance started, which may hold some too.
func (m *members) copySources() (sessions []id.Session, unknown int) {
	now := m.inst.now()
	for _, s := range m.core.Live(now) {
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

// heard returns how long ago the live instances were heard.
func (m *members) heard() []wire.PeerAge {
	var out []wire.PeerAge
	for _, s := range m.live() {
		out = append(out, wire.PeerAge{Session: s, Age: m.inst.now() - m.byName[s.Instance()].heard})
	}
	return out
}
