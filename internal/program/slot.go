package program

import (
	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// slot is what a Core knows about a slot that its session holds.
type slot struct {
	held   bool
	ready  bool // copies of the last holder were fetched
	epoch  id.Epoch
	moveTo id.Session // hand-over asked for; no new call starts
	moved  bool       // Handover was appended
	// doubt is set when the lease lapsed and was renewed, until a record appended since then was read
	// back: another session may have claimed the slot in the gap.
	doubt bool
}

func (s *slot) holds(e id.Epoch) bool { return s.held && s.epoch == e }

// leased tells whether the session holds a slot and no other session can have claimed it.
func (c *Core) leased(s id.Slot) bool {
	return c.now < c.lease && c.slots[s].held && !c.slots[s].doubt
}

// onLease renews the lease. After a gap every slot is in doubt until a claim refresh was read back.
func (c *Core) onLease(e LeaseChanged) {
	lapsed := c.now >= c.lease
	c.lease = e.Until
	if !lapsed {
		return
	}
	for s := range c.slots {
		sl := &c.slots[s]
		if !sl.held {
			continue
		}
		sl.doubt = true
		epoch := sl.epoch
		c.refreshClaim(id.Slot(s), func(r commitResult) {
			if r == committed && sl.holds(epoch) {
				sl.doubt = false
			}
		})
	}
}

func (c *Core) refreshClaim(s id.Slot, done func(commitResult)) {
	rec := record.ClaimRefresh{Holder: c.holder(s), Session: c.cfg.Session}
	c.push(&pend{rec: rec, key: keyOf(rec), at: c.now, done: done})
}

// syncSlots follows the fold for the slot that a record concerns.
func (c *Core) syncSlots(e fsm.Effect) {
	var s id.Slot
	switch r := e.Record.(type) {
	case record.Claim:
		s = r.Slot
	case record.Handover:
		s = r.Slot
	default:
		s = keyOf(r).slot
	}
	if s >= id.Slots {
		return
	}
	mine := &c.slots[s]
	now := c.fold.Slot(s)
	isMine := now.Holder == c.cfg.Session && now.Epoch != 0
	if mine.held && (!isMine || now.Epoch != mine.epoch) {
		c.lose(s)
	}
	if _, ok := e.Record.(record.Handover); ok && e.Verdict == fsm.Valid && e.Writer == c.cfg.Session {
		c.emit(HandoverReady{Slot: s})
	}
	if !isMine || mine.held {
		return
	}
	claim, isClaim := e.Record.(record.Claim)
	c.gain(s, now.Epoch, isClaim && claim.Prev > 0)
}

// gain starts to serve a slot. After a take-over from another holder the copies come first.
func (c *Core) gain(s id.Slot, e id.Epoch, takenOver bool) {
	c.slots[s] = slot{held: true, epoch: e, ready: !takenOver}
	if takenOver {
		c.emit(FetchCopies{Slot: s, Epoch: e})
		return
	}
	c.resumeSlot(s)
}

// lose drops a slot that another session holds now. Calls under way may have been run.
func (c *Core) lose(s id.Slot) {
	c.slots[s] = slot{}
	var waiting []func(commitResult)
	for _, pe := range c.pending.list {
		if pe.key.slot == s && pe.done != nil {
			waiting = append(waiting, pe.done)
			pe.done = nil
		}
	}
	for ref, cs := range c.pending.copies {
		if cs.slot == s {
			delete(c.pending.copies, ref) // the new holder writes them again and drops them
		}
	}
	for _, k := range c.openingsOf(s) {
		c.failOpening(k, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the slot was taken over"))
	}
	for _, pid := range c.progsOf(s) {
		p := c.progs[pid]
		c.drop(p, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the slot was taken over; repeat the key"))
	}
	for _, a := range sortedKeys(c.asked) {
		if c.asked[a].slot == s {
			delete(c.asked, a)
		}
	}
	// Records that were not read back before the claim come after it, so they are invalid.
	for _, done := range waiting {
		done(rejected)
	}
}

// drop forgets a program and ends its calls.
func (c *Core) drop(p *prog, pr *Problem) {
	for _, key := range sortedKeys(p.calls) {
		if cl := p.calls[key]; cl != nil {
			c.abandonAttempt(cl)
			c.failCall(cl, pr, RetryAfterSlot)
		}
	}
	c.forget(p)
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

// onCopiesFetched writes the copies of the last holder again under the new epoch and then serves the
// slot. Copies may come from several peers, in any order and more than once; what the log holds
// already does not fit the state and is skipped.
func (c *Core) onCopiesFetched(e CopiesFetched) {
	if e.Slot >= id.Slots {
		return
	}
	s := &c.slots[e.Slot]
	if !s.held || s.ready {
		return
	}
	s.ready = true
	c.recover(e.Slot, e.Records)
	c.resumeSlot(e.Slot)
	// Peers may forget the copies once the log holds what was written again: the records above were
	// appended before this marker is acted on, and copies are kept until the epoch is old.
	if len(e.Records) > 0 {
		c.dropCopiesWhenSettled(e.Slot, s.epoch)
	}
}

func (c *Core) dropCopiesWhenSettled(s id.Slot, e id.Epoch) {
	var last *pend
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

// recover appends the copied records that the agreed state lacks. An Intent without an outcome was
// never dispatched, because it was not read back, so it is not written again.
func (c *Core) recover(s id.Slot, recs []record.Record) {
	h := c.holder(s)
	intents := map[id.Call]record.Intent{}
	for _, rec := range recs {
		if r, ok := rec.(record.Intent); ok {
			intents[r.Call] = r
		}
	}
	left := recs
	for progress := true; progress; {
		progress = false
		var again []record.Record
		for _, rec := range left {
			if c.recoverOne(s, h, rec, intents) {
				progress = true
				continue
			}
			again = append(again, rec)
		}
		left = again
	}
	for _, rec := range left {
		if r, ok := rec.(record.End); ok {
			if p := c.prog(r.Program); p != nil && p.slot == s {
				r.Holder = h
				c.append(p, r, nil)
			}
		}
	}
}

func (c *Core) recoverOne(s id.Slot, h record.Holder, rec record.Record, intents map[id.Call]record.Intent) bool {
	pid := keyOf(rec).program
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

// resumeSlot takes up what the agreed state of a slot leaves to do: limits on time, intents without
// an outcome, unknown outcomes that can be asked for, and releases of ended programs.
func (c *Core) resumeSlot(s id.Slot) {
	var ids []id.Program
	c.fold.Each(s, func(p *fsm.Program) { ids = append(ids, p.ID) })
	sortIDs(ids)
	for _, pid := range ids {
		p := c.prog(pid)
		if p == nil {
			continue
		}
		c.resumeIntents(p)
		if st := c.stateOf(p); st.Ended() {
			c.startRelease(p, st.CacheEndpoints)
		}
	}
}

// stateOf is state without a view of its own, for reading.
func (c *Core) stateOf(p *prog) *fsm.Program {
	if p.view != nil {
		return p.view
	}
	return c.fold.Program(p.id)
}

func (c *Core) onHandOver(e Handover) {
	if e.Slot >= id.Slots {
		return
	}
	s := &c.slots[e.Slot]
	if !s.held || s.moved || e.To == c.cfg.Session {
		return
	}
	s.moveTo = e.To
	for _, pid := range c.progsOf(e.Slot) {
		p := c.progs[pid]
		for _, key := range sortedKeys(p.calls) {
			if cl := p.calls[key]; cl != nil && cl.state == stateQueued {
				c.failCall(cl, problem(ProblemSlotMoving, 503, c.notRun(p, cl.key, cl.nonIdempotent), "the slot is being handed over"), RetryAfterSlot)
			}
		}
	}
	c.tryHandOver(e.Slot)
}

// tryHandOver appends the Handover once no call of the slot is under way. Records appended before it
// come before it in the log.
func (c *Core) tryHandOver(s id.Slot) {
	sl := &c.slots[s]
	if !sl.held || sl.moveTo == "" || sl.moved || !sl.ready {
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
	sl.moved = true
	h := c.holder(s)
	rec := record.Handover{Holder: h, To: sl.moveTo}
	c.push(&pend{rec: rec, key: keyOf(rec), at: c.now})
}
