package server

import (
	"iter"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/telemetry"
)

const (
	// claimRetry is how long a claim that was not read back stays under way.
	claimRetry = 2 * time.Second
	// rankDelay is how long each further instance in rendezvous order waits before it claims a slot
	// in place of those before it.
	rankDelay = 2 * time.Second
	// moveAfter is how long another instance must have been the better holder before a slot moves
	// to it, so that a short absence causes no moves.
	moveAfter = 3 * time.Second
	// startWait is how long a starting instance waits for the other listed ones before it claims slots
	// that never had a holder, so that a deployment that starts is spread evenly at once.
	startWait = 2 * time.Second
	// maxMoving bounds the slots that move at the same time, since a moving slot takes no calls.
	maxMoving = 8
)

// claimState is what the loop remembers between two looks at the slots.
type claimState struct {
	asked     [id.Slots]time.Duration // when a claim was appended; 0: none under way
	free      [id.Slots]time.Duration // since when the slot has had no live holder; 0: it has one
	better    [id.Slots]betterHolder
	moving    map[id.Slot]time.Duration
	refreshAt time.Duration
}

// betterHolder is an instance that should hold a slot of this instance.
type betterHolder struct {
	session id.Session
	since   time.Duration
}

func newClaimState() claimState { return claimState{moving: map[id.Slot]time.Duration{}} }

// noteClaim follows the claims and hand-overs that were read from the log.
func (c *core) noteClaim(e fsm.Effect) {
	var slot id.Slot
	switch r := e.Record.(type) {
	case record.Claim:
		slot = r.Slot
	case record.Handover:
		slot = r.Slot
	default:
		return
	}
	c.claims.asked[slot] = 0
	if c.fold.Slot(slot).Holder != c.inst.session {
		delete(c.claims.moving, slot)
	}
	if e.Verdict == fsm.Valid {
		state := c.fold.Slot(slot)
		c.inst.log.Info("slot_holder_changed", telemetry.Slot(slot), telemetry.Epoch(state.Epoch), telemetry.Peer(state.Holder))
	}
}

// heldSlots yields the slots that this instance holds by the log.
func (c *core) heldSlots() iter.Seq[id.Slot] {
	return func(yield func(id.Slot) bool) {
		if c.fold == nil {
			return
		}
		for s := range id.Slot(id.Slots) {
			if c.fold.Slot(s).Holder == c.inst.session && !yield(s) {
				return
			}
		}
	}
}

// claimSlots claims slots without a live holder and hands over those that another instance should
// hold. Rendezvous hashing proposes the holder; the log decides.
func (c *core) claimSlots(now time.Duration) {
	if c.owner == nil || !c.programsAtTail || c.logDown {
		return
	}
	plan := c.members.plan()
	var claims []record.Record
	for s := range id.Slot(id.Slots) {
		state := c.fold.Slot(s)
		if state.Holder == c.inst.session {
			c.claims.free[s] = 0
			c.moveSlot(s, plan.order(s), now)
			continue
		}
		if !c.mayClaim(s, state, now, plan) {
			continue
		}
		c.claims.asked[s] = now
		claims = append(claims, record.Claim{Slot: s, Prev: state.Epoch, Session: c.inst.session})
	}
	if len(claims) > 0 {
		c.append(claims)
	}
}

// mayClaim tells whether this instance is to claim a slot now.
func (c *core) mayClaim(s id.Slot, state fsm.SlotState, now time.Duration, plan plan) bool {
	if state.Epoch > 0 && !c.members.core.Dead(now, state.Holder) {
		c.claims.free[s] = 0
		return false
	}
	if c.claims.free[s] == 0 {
		c.claims.free[s] = now
	}
	if c.draining || c.manifest == nil || c.members.core.Lease(now).Until <= now {
		return false
	}
	if state.Epoch == 0 && now < startWait && (len(c.members.listed) == 1 || !c.members.complete()) {
		return false
	}
	if c.claims.asked[s] > 0 && now-c.claims.asked[s] < claimRetry {
		return false
	}
	for rank, session := range plan.order(s) {
		if session == c.inst.session {
			return now-c.claims.free[s] >= time.Duration(rank)*rankDelay
		}
	}
	return false
}

// moveSlot asks the owner core to hand a slot to the instance that should hold it: the first in
// rendezvous order, or on draining any other.
func (c *core) moveSlot(s id.Slot, order []id.Session, now time.Duration) {
	if at, under := c.claims.moving[s]; under && now-at < claimRetry*5 {
		return
	}
	if len(order) == 0 || order[0] == c.inst.session {
		// A hand-over that did not come about is no longer wanted.
		delete(c.claims.moving, s)
		c.claims.better[s] = betterHolder{}
		return
	}
	if c.claims.better[s].session != order[0] {
		c.claims.better[s] = betterHolder{session: order[0], since: now}
	}
	wait := moveAfter
	if c.draining {
		wait = 0
	}
	if now-c.claims.better[s].since < wait || (!c.draining && len(c.claims.moving) >= maxMoving) {
		return
	}
	c.claims.moving[s] = now
	c.step(program.Handover{Slot: s, To: order[0]})
}

// handedOver notes that a slot has gone to its new holder.
func (c *core) handedOver(s id.Slot) {
	delete(c.claims.moving, s)
	c.claims.better[s] = betterHolder{}
}
