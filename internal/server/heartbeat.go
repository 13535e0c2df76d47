package server

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/platform"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

// membershipTick sends a round of heartbeats when it is due and drops what dead instances left.
func (c *core) membershipTick(now time.Duration) {
	if now >= c.members.next {
		c.members.next = now + heartbeatInterval
		c.sendRound(now)
	}
	for session := range c.lostOwners(now) {
		for _, d := range c.dispatchers {
			d.step(sched.OwnerLost{Session: session}, session)
		}
	}
	before := len(c.members.marks)
	c.members.expireMarks(now)
	if len(c.members.marks) != before {
		c.configurePools()
	}
}

func (c *core) sendRound(now time.Duration) {
	m := c.members
	m.round++
	m.sent = now
	m.rounds[m.round] = now
	delete(m.rounds, m.round-roundsKept)
	beat := wire.Heartbeat{
		Round:           m.round,
		Sent:            now,
		ManifestVersion: c.manifestVersion,
		Draining:        c.draining,
		Leaving:         m.markedEndpoints(),
	}
	for s := range c.heldSlots() {
		beat.Slots = append(beat.Slots, wire.SlotEpoch{Slot: s, Epoch: c.fold.Slot(s).Epoch})
	}
	for _, mb := range m.byName {
		if mb.beat.Round > 0 && now-mb.heard <= deadAfter {
			beat.Heard = append(beat.Heard, wire.Heard{Peer: wire.SessionHash(mb.session), AgeMS: uint64((now - mb.heard).Milliseconds())})
		}
	}
	if _, err := c.inst.node.Broadcast(beat); err != nil {
		c.inst.log.WithField("reason", err.Error()).Error("heartbeat was not sent")
	}
	c.renewLease()
}

func (m *members) markedEndpoints() []string {
	var out []string
	for name := range m.marks {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// renewLease extends the lease to leaseTime after the latest moment since which a majority of the
// listed instances, this one included, has acknowledged a heartbeat. It runs from the moment the
// heartbeat was sent, so a late acknowledgement never makes it longer.
func (c *core) renewLease() {
	sent := []time.Duration{c.members.sent} // the instance hears itself
	for name, mb := range c.members.byName {
		if _, listed := c.members.listed[name]; listed && mb.acked > 0 {
			sent = append(sent, mb.acked)
		}
	}
	need := len(c.members.listed)/2 + 1
	if len(sent) < need {
		return
	}
	slices.Sort(sent)
	until := sent[len(sent)-need] + leaseTime
	if until <= c.lease {
		return
	}
	c.lease = until
	c.step(program.LeaseChanged{Until: until})
}

func (c *core) heartbeatAck(from id.Session, a wire.HeartbeatAck) {
	mb := c.members.byName[from.Instance()]
	sent, known := c.members.rounds[a.Round]
	if mb == nil || mb.session != from || !known {
		return
	}
	mb.acked = max(mb.acked, sent)
	c.renewLease()
}

func (c *core) heartbeat(from id.Session, beat wire.Heartbeat) {
	now := c.inst.now()
	mb := c.members.byName[from.Instance()]
	if mb == nil || mb.session != from {
		return // an older session of an instance that has restarted
	}
	if err := c.inst.node.Send(from, wire.HeartbeatAck{Round: beat.Round}); err != nil {
		c.inst.log.WithField("peer", from).WithField("reason", err.Error()).Debug("heartbeat was not acknowledged")
	}
	mb.heard, mb.beat = now, beat
	c.members.report(wire.SessionHash(from), now)
	for _, h := range beat.Heard {
		c.members.report(h.Peer, now-time.Duration(h.AgeMS)*time.Millisecond)
	}
	c.askManifest(from, beat.ManifestVersion)
	fresh := false
	for _, name := range beat.Leaving {
		fresh = c.members.mark(name, now) || fresh
	}
	if fresh {
		c.configurePools()
	}
}

// report notes when anyone heard a session. The latest report counts.
func (m *members) report(hash uint32, at time.Duration) { m.reports[hash] = max(m.reports[hash], at) }

// listed takes over the platform's list.
func (c *core) listed(l platform.List) {
	before := c.members.markedEndpoints()
	c.members.useList(l, c.inst.now())
	c.inst.node.SetPeers(c.inst.peersOf(l))
	if !slices.Equal(before, c.members.markedEndpoints()) {
		c.configurePools()
	}
}

// endpointLeaves notes what an endpoint said about itself.
func (c *core) endpointLeaves(name string) {
	if c.members.mark(name, c.inst.now()) {
		c.inst.log.WithField("endpoint", name).Info("endpoint is leaving")
		c.configurePools()
		c.members.next = 0 // tell the peers at once
	}
}

func (c *core) configurePools() {
	for pool, d := range c.dispatchers {
		d.step(sched.Configure{Config: c.poolConfig(pool)}, "")
	}
}

// lostOwners yields the sessions with calls at a dispatcher here that were silent for deadAfter or
// whose instance has restarted.
func (c *core) lostOwners(now time.Duration) func(func(id.Session) bool) {
	return func(yield func(id.Session) bool) {
		seen := map[id.Session]bool{}
		for _, d := range c.dispatchers {
			for owner := range d.owners {
				if owner == c.inst.session || owner == "" || seen[owner] {
					continue
				}
				seen[owner] = true
				mb := c.members.byName[owner.Instance()]
				if mb != nil && mb.session == owner && mb.alive(now, deadAfter) {
					continue
				}
				if !yield(owner) {
					return
				}
			}
		}
	}
}
