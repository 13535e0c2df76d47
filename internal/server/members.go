package server

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/platform"
	"ragwortstile/internal/wire"
)

// Times of membership (design section 4.1).
const (
	heartbeatInterval = 500 * time.Millisecond
	// leaseTime is how long a lease holds from the moment a round of heartbeats was sent that a
	// majority acknowledged.
	leaseTime = 3 * time.Second
	// deadAfter is the silence after which a holder's slots may be claimed. It is twice the lease.
	deadAfter = 6 * time.Second
	// majorityWindow is how recent the heartbeats of a majority must be for a claim.
	majorityWindow = 2 * time.Second
	// liveWindow is the silence after which an instance gets no new requests and no pool.
	liveWindow = 2 * time.Second
	// roundsKept is the number of rounds whose acknowledgement still counts; older ones are longer
	// ago than the lease.
	roundsKept = 8
	// leavingCap ends a leaving mark that the list never confirmed.
	leavingCap = 30 * time.Second
)

// member is the newest session of another instance.
type member struct {
	session id.Session
	zone    string
	heard   time.Duration // when its last heartbeat arrived
	beat    wire.Heartbeat
	acked   time.Duration // when the latest heartbeat was sent that it acknowledged
}

// members is what this instance knows about the others. The loop owns it.
type members struct {
	inst    *Instance
	byName  map[string]*member
	reports map[uint32]time.Duration // when a session was last heard by anyone, by its hash
	listed  map[string]bool          // instances on the list; the value tells whether they are leaving
	hasList bool
	round   uint64
	sent    time.Duration
	next    time.Duration
	rounds  map[uint64]time.Duration // when the last rounds were sent
	marks   map[string]leavingMark
	asking  map[id.Session]bool // asked for the manifest
	spread  int                 // turns the order of copy targets, so that copies spread
	cached  plan
	cacheOf string
}

// leavingMark tells that an endpoint is leaving.
type leavingMark struct {
	since  time.Duration
	listed bool // the list agreed
}

func newMembers(i *Instance) *members {
	m := &members{
		inst:    i,
		byName:  map[string]*member{},
		reports: map[uint32]time.Duration{},
		listed:  map[string]bool{i.cfg.Instance: false},
		rounds:  map[uint64]time.Duration{},
		marks:   map[string]leavingMark{},
		asking:  map[id.Session]bool{},
	}
	for _, p := range i.cfg.Peers {
		m.listed[p.Instance] = false
	}
	return m
}

func (m *members) connected(r peer.Remote) {
	name := r.Session.Instance()
	mb := m.byName[name]
	if mb == nil || mb.session != r.Session {
		mb = &member{session: r.Session, zone: r.Zone, heard: -liveWindow}
		m.byName[name] = mb
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

// candidates returns the other sessions that may hold slots.
func (m *members) candidates() []id.Session {
	var out []id.Session
	for _, s := range m.live() {
		mb := m.byName[s.Instance()]
		leaving, listed := m.listed[s.Instance()]
		if !mb.beat.Draining && mb.beat.ManifestVersion > 0 && !leaving && (listed || !m.hasList) {
			out = append(out, s)
		}
	}
	return out
}

// complete tells whether all listed instances are candidates or this one.
func (m *members) complete() bool { return m.hasList && len(m.candidates())+1 >= len(m.listed) }

// majority tells whether a number of instances, this one included, is more than half of the listed.
func (m *members) majority(n int) bool { return n > len(m.listed)/2 }

// claimable tells whether the slots of a session may be claimed: nobody has heard it for deadAfter,
// and this instance has heard a majority within majorityWindow.
func (m *members) claimable(holder id.Session) bool {
	now := m.inst.now()
	last := m.reports[wire.SessionHash(holder)] // 0, the start of this instance, if never heard
	if now-last <= deadAfter {
		return false
	}
	heard := 1
	for name, mb := range m.byName {
		if _, listed := m.listed[name]; listed && mb.alive(now, majorityWindow) {
			heard++
		}
	}
	return m.majority(heard)
}

// holderOf returns the session that claims a slot in its heartbeats under the highest epoch.
func (m *members) holderOf(s id.Slot) id.Session {
	var best id.Session
	var epoch id.Epoch
	for _, mb := range m.byName {
		if !mb.alive(m.inst.now(), deadAfter) {
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

// copyOrder returns the instances that may keep copies: those in other availability zones first.
func (m *members) copyOrder() []id.Session {
	m.spread++
	var other, same []id.Session
	for _, s := range m.live() {
		if m.byName[s.Instance()].zone == m.inst.cfg.Zone {
			same = append(same, s)
		} else {
			other = append(other, s)
		}
	}
	return append(m.turn(other), m.turn(same)...)
}

// turn puts one session of each zone first, beginning at another place each time.
func (m *members) turn(in []id.Session) []id.Session {
	if len(in) == 0 {
		return nil
	}
	n := m.spread % len(in)
	in = slices.Concat(in[n:], in[:n])
	seen := map[string]bool{}
	var first, rest []id.Session
	for _, s := range in {
		zone := m.byName[s.Instance()].zone
		if seen[zone] {
			rest = append(rest, s)
			continue
		}
		seen[zone] = true
		first = append(first, s)
	}
	return append(first, rest...)
}

// copySources returns the instances that may hold copies: all that are listed or were heard, except
// those that have been silent for deadAfter.
func (m *members) copySources() (sessions []id.Session, unknown int) {
	now := m.inst.now()
	for name := range m.listed {
		mb := m.byName[name]
		if name == m.inst.cfg.Instance {
			continue
		}
		if mb == nil && now <= deadAfter {
			unknown++
		}
	}
	for _, mb := range m.byName {
		if now-max(mb.heard, 0) <= deadAfter {
			sessions = append(sessions, mb.session)
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

// useList takes over the platform's list.
func (m *members) useList(l platform.List, now time.Duration) {
	m.hasList = true
	m.listed = map[string]bool{m.inst.cfg.Instance: false}
	for _, in := range l.Instances {
		m.listed[in.Name] = in.State == platform.StateLeaving
	}
	for _, e := range l.Endpoints {
		mark, marked := m.marks[e.Name]
		switch {
		case e.State == platform.StateLeaving && !marked:
			m.marks[e.Name] = leavingMark{since: now, listed: true}
		case e.State == platform.StateLeaving:
			mark.listed = true
			m.marks[e.Name] = mark
		case marked && mark.listed:
			delete(m.marks, e.Name) // the list has withdrawn it
		}
	}
}

// mark notes that an endpoint is leaving, ahead of the list. It returns true for a new mark.
func (m *members) mark(endpoint string, now time.Duration) bool {
	if _, known := m.marks[endpoint]; known {
		return false
	}
	m.marks[endpoint] = leavingMark{since: now}
	return true
}

func (m *members) leaving(endpoint string) bool {
	_, marked := m.marks[endpoint]
	return marked
}

func (m *members) expireMarks(now time.Duration) {
	for name, mark := range m.marks {
		if !mark.listed && now-mark.since > leavingCap {
			delete(m.marks, name)
		}
	}
}
