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
	// claimTimeout is how long an appended claim that was not read back counts as in progress.
	// Afterwards the slot may be claimed again.
	claimTimeout = 2 * time.Second
	// rankDelay is the wait per position in the rendezvous order before an instance claims a slot
	// that the instances before it have not claimed.
	rankDelay = 2 * time.Second
	// handoverDelay is how long another instance must have been the preferred holder before a slot is
	// handed over to it, so that a short absence causes no hand-overs.
	handoverDelay = 3 * time.Second
	// initialClaimDelay is how long a starting instance waits for the other listed instances before
	// it claims slots that never had a holder, so that the slots of a starting deployment are spread
	// evenly from the beginning.
	initialClaimDelay = 2 * time.Second
	// maxHandovers bounds the slots that are handed over at the same time, since such a slot accepts
	// no calls. It does not apply on draining.
	maxHandovers = 8
)

// claimState is what the core loop keeps about slots between two ticks.
type claimState struct {
	claimedAt           [id.Slots]time.Duration // when a claim was appended; 0: none in progress
	unheldSince         [id.Slots]time.Duration // since when the slot has had no live holder; 0: it has one
	preferred           [id.Slots]preferredHolder
	handovers           map[id.Slot]time.Duration
	nextManifestRefresh time.Duration
}

// preferredHolder is another instance that should hold a slot of this instance, and since when.
type preferredHolder struct {
	session id.Session
	since   time.Duration
}

func newClaimState() claimState { return claimState{handovers: map[id.Slot]time.Duration{}} }

// trackClaim updates the claims and hand-overs in progress from the ones read from the log.
func (c *core) trackClaim(e fsm.Effect) {
	var slot id.Slot
	switch r := e.Record.(type) {
	case record.Claim:
		slot = r.Slot
	case record.Handover:
		slot = r.Slot
	default:
		return
	}
	c.claims.claimedAt[slot] = 0
	if c.programs.Slot(slot).Holder != c.inst.session {
		delete(c.claims.handovers, slot)
	}
	if e.Verdict == fsm.Valid {
		state := c.programs.Slot(slot)
		c.inst.log.Info("slot_holder_changed", telemetry.Slot(slot), telemetry.Epoch(state.Epoch), telemetry.Peer(state.Holder))
	}
}

// heldSlots yields the slots that this instance holds according to the log.
func (c *core) heldSlots() iter.Seq[id.Slot] {
	return func(yield func(id.Slot) bool) {
		if c.programs == nil {
			return
		}
		for s := range id.Slot(id.Slots) {
			if c.programs.Slot(s).Holder == c.inst.session && !yield(s) {
				return
			}
		}
	}
}

// claimSlots claims slots without a live holder and hands over those that another instance should
// hold. Rendezvous hashing only proposes the holder; the first valid claim in the log decides.
func (c *core) claimSlots(now time.Duration) {
	if c.owner == nil || !c.programsAtTail || c.logDown {
		return
	}
	plan := c.members.plan()
	var claims []record.Record
	for s := range id.Slot(id.Slots) {
		state := c.programs.Slot(s)
		if state.Holder == c.inst.session {
			c.claims.unheldSince[s] = 0
			c.maybeHandOver(s, plan.ranking(s), now)
			continue
		}
		if !c.shouldClaim(s, state, now, plan) {
			continue
		}
		c.claims.claimedAt[s] = now
		claims = append(claims, record.Claim{Slot: s, Prev: state.Epoch, Session: c.inst.session})
	}
	if len(claims) > 0 {
		c.append(claims)
	}
}

// shouldClaim reports whether this instance should append a claim of a slot now.
func (c *core) shouldClaim(s id.Slot, state fsm.SlotState, now time.Duration, plan plan) bool {
	if state.Epoch > 0 && !c.members.state.Dead(now, state.Holder) {
		c.claims.unheldSince[s] = 0
		return false
	}
	if c.claims.unheldSince[s] == 0 {
		c.claims.unheldSince[s] = now
	}
	if c.draining || c.manifest == nil || c.members.state.Lease(now).Until <= now {
		return false
	}
	if state.Epoch == 0 && now < initialClaimDelay && (len(c.members.listed) == 1 || !c.members.allListedReady()) {
		return false
	}
	if c.claims.claimedAt[s] > 0 && now-c.claims.claimedAt[s] < claimTimeout {
		return false
	}
	for rank, session := range plan.ranking(s) {
		if session == c.inst.session {
			return now-c.claims.unheldSince[s] >= time.Duration(rank)*rankDelay
		}
	}
	return false
}

// maybeHandOver asks the owner core to hand a slot over to the instance that should hold it: the
// first in rendezvous order or, on draining, the first of the others.
func (c *core) maybeHandOver(s id.Slot, order []id.Session, now time.Duration) {
	// A hand-over that has not completed after 10 s is started again.
	if startedAt, inProgress := c.claims.handovers[s]; inProgress && now-startedAt < claimTimeout*5 {
		return
	}
	if len(order) == 0 || order[0] == c.inst.session {
		// This instance is the preferred holder again; a hand-over that did not complete is dropped.
		delete(c.claims.handovers, s)
		c.claims.preferred[s] = preferredHolder{}
		return
	}
	if c.claims.preferred[s].session != order[0] {
		c.claims.preferred[s] = preferredHolder{session: order[0], since: now}
	}
	wait := handoverDelay
	if c.draining {
		wait = 0
	}
	if now-c.claims.preferred[s].since < wait || (!c.draining && len(c.claims.handovers) >= maxHandovers) {
		return
	}
	c.claims.handovers[s] = now
	c.step(program.Handover{Slot: s, To: order[0]})
}

// handoverDone records that a slot has gone to its new holder.
func (c *core) handoverDone(s id.Slot) {
	delete(c.claims.handovers, s)
	c.claims.preferred[s] = preferredHolder{}
}
