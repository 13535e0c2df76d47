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

// The owner core must leave open intents untouched at least as long as membership requires. A
// negative difference does not compile.
const _ = uint(program.SettleWait - membership.SettleWait)

// membershipTick sends heartbeats when they are due, renews the lease and tells the dispatchers about
// owners that were lost.
func (c *core) membershipTick(now time.Duration) {
	c.members.state.Step(now, membership.Tick{})
	if now >= c.members.nextHeartbeat {
		c.members.nextHeartbeat = now + membership.HeartbeatInterval
		c.sendHeartbeats(now)
	}
	c.renewLease()
	for session := range c.lostOwners(now) {
		for _, d := range c.dispatchers {
			d.step(sched.OwnerLost{Session: session}, session)
		}
	}
	c.refreshLeavingEndpoints()
}

func (c *core) sendHeartbeats(now time.Duration) {
	var slots wire.SlotEpochs
	for s := range c.heldSlots() {
		slots = append(slots, wire.SlotEpoch{Slot: s, Epoch: c.programs.Slot(s).Epoch})
	}
	beat := c.members.state.StartRound(now, c.manifestVersion, slots)
	if _, err := c.inst.node.Broadcast(beat); err != nil {
		c.inst.log.Error("heartbeat_not_sent", telemetry.Err(err))
	}
}

// handleTailRead records that every entry that was in the log at the time sent has been applied.
func (c *core) handleTailRead(sent time.Duration) {
	c.members.state.Step(c.inst.now(), membership.TailRead{Sent: sent})
	c.renewLease()
}

// renewLease passes the end of the lease, while it holds, to the owner core, and DispatchUntil to the
// controller and to the goroutines that write non-idempotent requests. The owner core's lease is not
// bounded by the latest read of the tail, because an outage of the log must not end it.
func (c *core) renewLease() {
	now := c.inst.now()
	lease := c.members.state.Lease(now)
	if until := int64(lease.DispatchUntil); until != c.inst.dispatchUntil.Swap(until) {
		c.orders.step(order.Lease{From: lease.From, Until: lease.DispatchUntil})
	}
	if !lease.Holds(now) || lease.Until <= c.leaseUntil {
		return
	}
	c.leaseUntil = lease.Until
	c.step(program.LeaseChanged{Until: lease.Until})
}

func (c *core) handleHeartbeatAck(from id.Session, a wire.HeartbeatAck) {
	c.members.state.Step(c.inst.now(), membership.HeartbeatAcked{From: from, Ack: a})
	c.renewLease()
}

func (c *core) handleHeartbeat(from id.Session, beat wire.Heartbeat) {
	now := c.inst.now()
	mb := c.members.byName[from.Instance()]
	if mb == nil || mb.session != from {
		return // an older session of an instance that has restarted
	}
	c.members.state.Step(now, membership.HeartbeatReceived{From: from, Zone: mb.zone, Heartbeat: beat})
	if err := c.inst.node.Send(from, c.members.state.Ack(now, beat.Round)); err != nil {
		c.inst.log.Debug("heartbeat_not_acknowledged", telemetry.Peer(from), telemetry.Err(err))
	}
	mb.lastHeard, mb.beat = now, beat
	c.askManifest(from, beat.ManifestVersion)
	c.refreshLeavingEndpoints()
}

// handleList applies the platform's instance list. sent is when its poll started, on the instance's
// clock: the answer is as old as its poll, which matters if it was queued during a pause of the
// process.
func (c *core) handleList(l logservice.List, sent time.Duration) {
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
	m.state.Step(now, answer)
	c.inst.node.SetPeers(c.inst.wantedPeers(l))
	c.refreshLeavingEndpoints()
}

// refreshLeavingEndpoints passes the set of leaving endpoints to the controller of orders and to the
// dispatchers here if it has changed.
func (c *core) refreshLeavingEndpoints() {
	leaving := c.members.state.LeavingEndpoints()
	if slices.Equal(leaving, c.members.leavingEndpoints) {
		return
	}
	c.members.leavingEndpoints = leaving
	c.orders.configure()
	for pool, d := range c.dispatchers {
		d.step(sched.Configure{Config: c.poolConfig(pool)}, "")
	}
}

// lostOwners yields the owners with calls at a dispatcher here that were silent for
// membership.DeadAfter or whose instance has restarted.
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
				if mb != nil && mb.session == owner && mb.heardWithin(now, membership.DeadAfter) {
					continue
				}
				if !yield(owner) {
					return
				}
			}
		}
	}
}
