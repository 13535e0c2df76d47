package program

import (
	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// slot is the state of a slot in a Core. It is zero unless the session holds the slot.
type slot struct {
	held       bool
	ready      bool // the copies of the last holder were fetched, if there was one
	epoch      id.Epoch
	handoverTo id.Session // target of a hand-over in preparation: no new call starts
	handedOver bool       // the Handover record was appended
	// claimUnconfirmed is set when the lease was renewed after it had lapsed, until a record that was appended
	// since then was read back: another session may have claimed the slot in between.
	claimUnconfirmed bool
}

func (s *slot) holds(e id.Epoch) bool { return s.held && s.epoch == e }

// leased reports whether the session holds a slot and no other session can have claimed it.
func (c *Core) leased(s id.Slot) bool {
	return c.now < c.leaseUntil && c.slots[s].held && !c.slots[s].claimUnconfirmed
}

// onLease sets the end of the lease. If the lease had lapsed, the claim of every held slot is unconfirmed
// until a claim refresh was read back.
func (c *Core) onLease(e LeaseChanged) {
	lapsed := c.now >= c.leaseUntil
	c.leaseUntil = e.Until
	if !lapsed {
		return
	}
	for s := range c.slots {
		sl := &c.slots[s]
		if !sl.held {
			continue
		}
		sl.claimUnconfirmed = true
		epoch := sl.epoch
		c.refreshClaim(id.Slot(s), func(r commitResult) {
			if r == committed && sl.holds(epoch) {
				sl.claimUnconfirmed = false
			}
		})
	}
}

func (c *Core) refreshClaim(s id.Slot, done func(commitResult)) {
	rec := record.ClaimRefresh{Holder: c.holder(s), Session: c.cfg.Session}
	c.sendAppend(&pendingRecord{rec: rec, key: recordKeyOf(rec), at: c.now, done: done})
}

// updateSlot updates the slot of an applied record from the replicated state machine.
func (c *Core) updateSlot(e fsm.Effect) {
	var s id.Slot
	switch r := e.Record.(type) {
	case record.Claim:
		s = r.Slot
	case record.Handover:
		s = r.Slot
	default:
		s = recordKeyOf(r).slot
	}
	if s >= id.Slots {
		return
	}
	sl := &c.slots[s]
	applied := c.sm.Slot(s)
	isMine := applied.Holder == c.cfg.Session && applied.Epoch != 0
	if sl.held && (!isMine || applied.Epoch != sl.epoch) {
		c.loseSlot(s)
	}
	if _, ok := e.Record.(record.Handover); ok && e.Verdict == fsm.Valid && e.Writer == c.cfg.Session {
		c.emit(HandoverReady{Slot: s})
	}
	if !isMine || sl.held {
		return
	}
	claim, isClaim := e.Record.(record.Claim)
	c.gainSlot(s, applied.Epoch, isClaim && claim.Prev > 0)
}

// gainSlot starts to serve a slot. After a takeover from another holder it fetches the copies first.
func (c *Core) gainSlot(s id.Slot, e id.Epoch, takenOver bool) {
	c.slots[s] = slot{held: true, epoch: e, ready: !takenOver}
	if takenOver {
		c.emit(FetchCopies{Slot: s, Epoch: e})
		return
	}
	c.resumeSlot(s)
}

// loseSlot stops serving a slot that another session holds now. Calls under way may have run.
func (c *Core) loseSlot(s id.Slot) {
	c.slots[s] = slot{}
	var callbacks []func(commitResult)
	for _, pe := range c.pending.list {
		if pe.key.slot == s && pe.done != nil {
			callbacks = append(callbacks, pe.done)
			pe.done = nil
		}
	}
	for ref, cs := range c.pending.copies {
		if cs.slot == s {
			delete(c.pending.copies, ref) // the new holder appends and drops them
		}
	}
	for _, k := range c.openingsOf(s) {
		c.failOpening(k, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the slot was taken over"))
	}
	for _, pid := range c.progsOf(s) {
		p := c.progs[pid]
		c.dropProgram(p, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the slot was taken over; repeat the key"))
	}
	for _, a := range sortedKeys(c.outcomeQueries) {
		if c.outcomeQueries[a].slot == s {
			delete(c.outcomeQueries, a)
		}
	}
	// Records that were not read back before the claim follow it in the log, so they are invalid.
	for _, done := range callbacks {
		done(rejected)
	}
}

// dropProgram fails the calls of a program and removes it from memory.
func (c *Core) dropProgram(p *prog, pr *Problem) {
	for _, key := range sortedKeys(p.calls) {
		if cl := p.calls[key]; cl != nil {
			c.abandonAttempt(cl)
			c.failCall(cl, pr, RetryAfterSlot)
		}
	}
	c.removeProgram(p)
}

func (c *Core) progsOf(s id.Slot) []id.Program {
	var out []id.Program
	for _, pid := range sortedKeys(c.progs) {
		if c.progs[pid].slot == s {
			out = append(out, pid)
		}
	}
	return out
}

// onCopiesFetched appends the copies of the last holder again under the new epoch and then serves the
// slot. Copies may come from several peers, in any order and more than once. Records that the log already
// contains are not valid for the current state and are skipped.
func (c *Core) onCopiesFetched(e CopiesFetched) {
	if e.Slot >= id.Slots {
		return
	}
	s := &c.slots[e.Slot]
	if !s.held || s.ready {
		return
	}
	s.ready = true
	c.reappendCopies(e.Slot, e.Records)
	c.resumeSlot(e.Slot)
	// Peers may delete the copies of earlier epochs once the records that were appended above are in the
	// log.
	if len(e.Records) > 0 {
		c.dropCopiesWhenCommitted(e.Slot, s.epoch)
	}
}

// dropCopiesWhenCommitted lets peers delete the copies of epochs before e once the last record of the slot
// that was appended under e so far was read back as valid.
func (c *Core) dropCopiesWhenCommitted(s id.Slot, e id.Epoch) {
	var last *pendingRecord
	for _, pe := range c.pending.list {
		if pe.key.slot == s && pe.key.epoch == e {
			last = pe
		}
	}
	if last == nil {
		c.emit(DropCopies{Slot: s, Below: e})
		return
	}
	inner := last.done
	last.done = func(r commitResult) {
		if inner != nil {
			inner(r)
		}
		if r == committed {
			c.emit(DropCopies{Slot: s, Below: e})
		}
	}
}

// reappendCopies appends the copied records that the log lacks, in as many passes as it takes to bring
// them into a valid order. An Intent without an Outcome is left out: its call was never dispatched,
// because the intent was not read back. End records come last.
func (c *Core) reappendCopies(s id.Slot, recs []record.Record) {
	h := c.holder(s)
	intents := map[id.Call]record.Intent{}
	for _, rec := range recs {
		if r, ok := rec.(record.Intent); ok {
			intents[r.Call] = r
		}
	}
	remaining := recs
	for progress := true; progress; {
		progress = false
		var skipped []record.Record
		for _, rec := range remaining {
			if c.reappendCopy(s, h, rec, intents) {
				progress = true
				continue
			}
			skipped = append(skipped, rec)
		}
		remaining = skipped
	}
	for _, rec := range remaining {
		if r, ok := rec.(record.End); ok {
			if p := c.prog(r.Program); p != nil && p.slot == s {
				r.Holder = h
				c.append(p, r, nil)
			}
		}
	}
}

func (c *Core) reappendCopy(s id.Slot, h record.Holder, rec record.Record, intents map[id.Call]record.Intent) bool {
	pid := recordKeyOf(rec).program
	p := c.prog(pid)
	if p == nil || p.slot != s {
		return false
	}
	switch r := rec.(type) {
	case record.Branch:
		r.Holder = h
		return c.append(p, r, nil)
	case record.Turn:
		r.Holder = h
		r.Recovered = true
		return c.append(p, r, nil)
	case record.Settle:
		r.Holder = h
		return c.append(p, r, nil)
	case record.Outcome:
		r.Holder = h
		r.Recovered = true
		in, hasIntent := intents[r.Call]
		b := c.state(p).Branches[r.Call.Branch]
		if hasIntent && b != nil && b.Intent == nil && b.UnknownOutcome == "" && b.LastSeq+1 == r.Call.Seq {
			in.Holder = h
			return c.append(p, in, nil) && c.append(p, r, nil)
		}
		return c.append(p, r, nil)
	}
	return false
}

// resumeSlot resumes the work that the state of a slot leaves open: limits on time, intents without an
// outcome, unknown outcomes that a service may still report, and cache releases of ended programs.
func (c *Core) resumeSlot(s id.Slot) {
	var ids []id.Program
	c.sm.Each(s, func(p *fsm.Program) { ids = append(ids, p.ID) })
	sortIDs(ids)
	for _, pid := range ids {
		p := c.prog(pid)
		if p == nil {
			continue
		}
		c.resumeIntents(p)
		if st := c.readState(p); st.Ended() {
			c.startRelease(p, st.CacheEndpoints)
		}
	}
}

// readState is like state, but clones no view. Its result must not be modified.
func (c *Core) readState(p *prog) *fsm.Program {
	if p.view != nil {
		return p.view
	}
	return c.sm.Program(p.id)
}

func (c *Core) onHandover(e Handover) {
	if e.Slot >= id.Slots {
		return
	}
	s := &c.slots[e.Slot]
	if !s.held || s.handedOver || e.To == c.cfg.Session {
		return
	}
	s.handoverTo = e.To
	for _, pid := range c.progsOf(e.Slot) {
		p := c.progs[pid]
		for _, key := range sortedKeys(p.calls) {
			if cl := p.calls[key]; cl != nil && cl.state == stateQueued {
				c.failCall(cl, problem(ProblemSlotMoving, 503, c.executedOnRefusal(p, cl.key, cl.nonIdempotent), "the slot is being handed over"), RetryAfterSlot)
			}
		}
	}
	c.tryHandover(e.Slot)
}

// tryHandover appends the Handover record once no call of the slot is under way. Records that were
// appended earlier precede it in the log.
func (c *Core) tryHandover(s id.Slot) {
	sl := &c.slots[s]
	if !sl.held || sl.handoverTo == "" || sl.handedOver || !sl.ready {
		return
	}
	if len(c.openingsOf(s)) > 0 {
		return
	}
	for _, pid := range c.progsOf(s) {
		if len(c.progs[pid].calls) > 0 {
			return
		}
	}
	sl.handedOver = true
	h := c.holder(s)
	rec := record.Handover{Holder: h, To: sl.handoverTo}
	c.sendAppend(&pendingRecord{rec: rec, key: recordKeyOf(rec), at: c.now})
}
