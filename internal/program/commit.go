package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

const (
	// copyAfter is how long an append may stay unanswered before its records go to peers.
	copyAfter = 150 * time.Millisecond
	// copyAgainAfter is when copies that were not confirmed are sent again.
	copyAgainAfter = time.Second
	// copyRecords bounds the records of one PutCopies.
	copyRecords = 256
)

// commitResult is how an appended record became durable, or why it did not.
type commitResult uint8

const (
	committed commitResult = iota + 1 // read back as valid
	copied                            // held by peers; the log has not confirmed it
	rejected                          // read back as invalid
)

// recordKey tells the records of one session apart.
type recordKey struct {
	kind    record.Kind
	slot    id.Slot
	epoch   id.Epoch
	program id.Program
	name    string // branch or endpoint
	seq     uint64
}

func keyOf(rec record.Record) recordKey {
	k := recordKey{kind: rec.Kind()}
	set := func(h record.Holder, p id.Program, name string, seq uint64) {
		k.slot, k.epoch, k.program, k.name, k.seq = h.Slot, h.Epoch, p, name, seq
	}
	switch r := rec.(type) {
	case record.Handover:
		set(r.Holder, "", "", 0)
	case record.ClaimRefresh:
		set(r.Holder, "", "", 0)
	case record.Open:
		set(r.Holder, r.Program, "", 0)
	case record.Branch:
		set(r.Holder, r.Program, r.Name, 0)
	case record.Raise:
		set(r.Holder, r.Program, "", 0)
	case record.Turn:
		set(r.Holder, r.Call.Program, r.Call.Branch, r.Call.Seq)
	case record.Intent:
		set(r.Holder, r.Call.Program, r.Call.Branch, r.Call.Seq)
	case record.Outcome:
		set(r.Holder, r.Call.Program, r.Call.Branch, r.Call.Seq)
	case record.Settle:
		set(r.Holder, r.Call.Program, r.Call.Branch, r.Call.Seq)
	case record.End:
		set(r.Holder, r.Program, "", 0)
	case record.Released:
		set(r.Holder, r.Program, r.Endpoint, 0)
	case record.Snapshot:
		set(r.Holder, r.Program, "", uint64(r.Part))
	}
	return k
}

// pend is a record that was appended and not yet read back.
type pend struct {
	rec    record.Record
	key    recordKey
	prog   *prog // nil for records of a slot
	at     time.Duration
	ref    uint64 // of the copies, 0: none
	copied bool
	done   func(commitResult) // called once, or twice when copies came before the log
}

// pendingQueue holds the unread records in the order of their append.
type pendingQueue struct {
	list   []*pend
	copies map[uint64]*copySet
}

type copySet struct {
	slot    id.Slot
	epoch   id.Epoch
	records []record.Record
	left    int
	at      time.Duration
	copied  bool
}

// append applies a record to the program's view and asks the shell to append it. done may be nil. A
// record that does not fit the view is a defect of the caller; it is not sent and false is returned.
func (c *Core) append(p *prog, rec record.Record, done func(commitResult)) bool {
	switch rec.(type) {
	case record.Open, record.Snapshot:
	default:
		if c.state(p).Apply(rec, c.wallNow()) != fsm.Valid {
			return false
		}
	}
	c.push(&pend{rec: rec, key: keyOf(rec), prog: p, at: c.now, done: done})
	return true
}

func (c *Core) push(e *pend) {
	if e.prog != nil {
		e.prog.unsettled++
	}
	c.pending.list = append(c.pending.list, e)
	c.emit(Append{Records: []record.Record{e.rec}})
}

// onApplied takes the verdict on a record. Slots follow the fold; the session's own records settle
// what waits for them.
func (c *Core) onApplied(e fsm.Effect) {
	c.syncSlots(e)
	if e.Writer != c.cfg.Session || e.Verdict == fsm.Duplicate {
		return
	}
	switch e.Record.(type) {
	case record.Claim, record.OrderIntent:
		return
	}
	key := keyOf(e.Record)
	for i, pe := range c.pending.list {
		if pe.key != key {
			continue
		}
		c.pending.list = append(c.pending.list[:i:i], c.pending.list[i+1:]...)
		c.settle(pe, e.Verdict)
		return
	}
}

func (c *Core) settle(pe *pend, v fsm.Verdict) {
	c.copySettled(pe)
	p := pe.prog
	if p != nil {
		p.unsettled--
	}
	ok := v == fsm.Valid || v == fsm.Ignored
	if !ok && p != nil && c.progs[p.id] == p && c.slots[p.slot].held {
		// The view ran ahead of a record that was refused: start again from the agreed state.
		p.view = nil
		c.decide(p, Decision{What: "record_rejected", Reason: reason(v.String())})
		if c.fold.Program(p.id) == nil {
			c.drop(p, problem(ProblemRecordRejected, 500, record.ExecutedUnknown, "the program's records were rejected"))
		}
	}
	if pe.done == nil {
		return
	}
	if ok {
		pe.done(committed)
		return
	}
	pe.done(rejected)
}

func (c *Core) onLogState(e LogState) {
	c.logDown = e.Down
	c.copyOverdue()
}

// copyable tells whether a record is worth a copy. Raise lifts nothing before it is committed, the
// others are written again by whoever holds the slot.
func copyable(rec record.Record) bool {
	switch rec.(type) {
	case record.Branch, record.Turn, record.Intent, record.Outcome, record.Settle, record.End:
		return true
	}
	return false
}

// copyOverdue sends records to peers that the log has not confirmed in time.
func (c *Core) copyOverdue() {
	sets := map[id.Slot]*copySet{}
	refs := map[id.Slot]uint64{}
	var order []uint64
	for _, e := range c.pending.list {
		if e.ref != 0 || !copyable(e.rec) || !c.slots[e.key.slot].holds(e.key.epoch) {
			continue
		}
		if !c.logDown && c.now-e.at < copyAfter {
			continue
		}
		s := sets[e.key.slot]
		if s == nil || len(s.records) >= copyRecords {
			c.nextRef++
			s = &copySet{slot: e.key.slot, epoch: e.key.epoch, at: c.now}
			sets[e.key.slot] = s
			refs[e.key.slot] = c.nextRef
			order = append(order, c.nextRef)
			if c.pending.copies == nil {
				c.pending.copies = map[uint64]*copySet{}
			}
			c.pending.copies[c.nextRef] = s
		}
		s.records = append(s.records, e.rec)
		s.left++
		e.ref = refs[e.key.slot]
	}
	for _, ref := range order {
		c.putCopies(ref)
	}
	for _, ref := range sortedKeys(c.pending.copies) {
		s := c.pending.copies[ref]
		if !s.copied && c.now-s.at >= copyAgainAfter {
			s.at = c.now
			c.putCopies(ref)
		}
	}
}

func (c *Core) putCopies(ref uint64) {
	s := c.pending.copies[ref]
	c.emit(PutCopies{Ref: ref, Slot: s.slot, Epoch: s.epoch, Records: s.records})
}

// onCopied acknowledges records that peers hold. It counts only while the lease holds: a claimant
// fetches copies after the lease has lapsed, so it finds every copy that was acknowledged. A record
// is acknowledged after all earlier ones of its program, because it is invalid without them.
func (c *Core) onCopied(e CopiesStored) {
	s := c.pending.copies[e.Ref]
	if s == nil || !c.slots[s.slot].holds(s.epoch) || !c.leased(s.slot) {
		return
	}
	s.copied = true
	waiting := map[*prog]bool{}
	var acked []*pend
	for _, pe := range c.pending.list {
		if !copyable(pe.rec) || pe.copied || waiting[pe.prog] {
			continue
		}
		cs := c.pending.copies[pe.ref]
		if cs == nil || !cs.copied {
			waiting[pe.prog] = true
			continue
		}
		pe.copied = true
		acked = append(acked, pe)
	}
	for _, pe := range acked {
		if pe.done != nil {
			pe.done(copied)
		}
	}
}

func (c *Core) copySettled(pe *pend) {
	s := c.pending.copies[pe.ref]
	if s == nil {
		return
	}
	s.left--
	if s.left == 0 {
		delete(c.pending.copies, pe.ref)
		c.emit(DropCopies{Slot: s.slot, Refs: []uint64{pe.ref}})
	}
}
