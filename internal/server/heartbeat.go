package server

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/order"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// The owner core must leave open intents alone at least as long as membership asks for; a negative
// difference does not compile.
const _ = uint(program.SettleWait - membership.SettleWait)

// membershipTick sends a round of heartbeats when it is due and drops what dead instances left.
func (c *core) membershipTick(now time.Duration) {
	c.members.core.Step(now, membership.Tick{})
	if now >= c.members.next {
		c.members.next = now + membership.HeartbeatInterval
		c.sendRound(now)
	}
	c.renewLease()
	for session := range c.lostOwners(now) {
		for _, d := range c.dispatchers {
			d.step(sched.OwnerLost{Session: session}, session)
		}
	}
	c.followLeaving()
}

func (c *core) sendRound(now time.Duration) {
	var slots wire.SlotEpochs
	for s := range c.heldSlots() {
		slots = append(slots, wire.SlotEpoch{Slot: s, Epoch: c.fold.Slot(s).Epoch})
	}
	beat := c.members.core.Beat(now, c.manifestVersion, slots)
	if _, err := c.inst.node.Broadcast(beat); err != nil {
		c.inst.log.Error("heartbeat_not_sent", telemetry.Err(err))
	}
}

// tailRead notes that everything that was in the log at a time has been folded.
func (c *core) tailRead(sent time.Duration) {
	c.members.core.Step(c.inst.now(), membership.TailRead{Sent: sent})
	c.renewLease()
}

// renewLease tells the owner core how long the lease holds, if it does, and the dispatches outside
// the loop until when they may write a request that may not be repeated. The owner core gets the
// lease without the bound of the tail: an outage of the log must not end it.
func (c *core) renewLease() {
	now := c.inst.now()
	lease := c.members.core.Lease(now)
	if until := int64(lease.DispatchUntil); until != c.inst.mayDispatch.Swap(until) {
		c.orders.step(order.Lease{From: lease.From, Until: lease.DispatchUntil})
	}
	if !lease.Holds(now) || lease.Until <= c.lease {
		return
	}
	c.lease = lease.Until
	c.step(program.LeaseChanged{Until: lease.Until})
}

func (c *core) heartbeatAck(from id.Session, a wire.HeartbeatAck) {
	c.members.core.Step(c.inst.now(), membership.HeartbeatAcked{From: from, Ack: a})
	c.renewLease()
}

func (c *core) heartbeat(from id.Session, beat wire.Heartbeat) {
	now := c.inst.now()
	mb := c.members.byName[from.Instance()]
	if mb == nil || mb.session != from {
		return // an older session of an instance that has restarted
	}
	c.members.core.Step(now, membership.HeartbeatReceived{From: from, Zone: mb.zone, Beat: beat})
	if err := c.inst.node.Send(from, c.members.core.Ack(now, beat.Round)); err != nil {
		c.inst.log.Debug("heartbeat_not_acknowledged", telemetry.Peer(from), telemetry.Err(err))
	}
	mb.heard, mb.beat = now, beat
	c.askManifest(from, beat.ManifestVersion)
	c.followLeaving()
}

// listed takes over the platform's list. sent is the start of its poll on the instance's clock: an answer
// that waited out a pause of the process in a queue is old.
func (c *core) listed(l logservice.List, sent time.Duration) {
	m := c.members
	m.hasList = true
	m.listed = map[string]bool{c.inst.cfg.Instance: true}
	now := c.inst.now()
	answer := membership.ListAnswer{Age: now - sent}
	for _, in := range l.Instances {
		m.listed[in.Name] = true
		answer.Instances = append(answer.Instances, membership.Instance{Name: in.Name, Leaving: in.State == logservice.StateLeaving})
	}
	for _, e := range l.Endpoints {
		answer.Endpoints = append(answer.Endpoints, membership.Endpoint{Name: e.Name, Leaving: e.State == logservice.StateLeaving})
	}
	m.core.Step(now, answer)
	c.inst.node.SetPeers(c.inst.peersOf(l))
	c.followLeaving()
}

// followLeaving tells the dispatchers here when the set of leaving endpoints has changed.
func (c *core) followLeaving() {
	leaving := c.members.core.LeavingEndpoints()
	if slices.Equal(leaving, c.members.leaving) {
		return
	}
	c.members.leaving = leaving
	c.orders.configure()
	for pool, d := range c.dispatchers {
		d.step(sched.Configure{Config: c.poolConfig(pool)}, "")
	}
}

// lostOwners yields the sessions with calls at a dispatcher here that were silent for DeadAfter or
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
				if mb != nil && mb.session == owner && mb.alive(now, membership.DeadAfter) {
					continue
				}
				if !yield(owner) {
					return
				}
			}
		}
	}
}
