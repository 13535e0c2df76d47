package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

const (
	// copyDelay is how long an append may stay unconfirmed before its records are copied to peers.
	copyDelay = 150 * time.Millisecond
	// copyRetryInterval is the interval at which copies that peers did not confirm are sent again.
	copyRetryInterval = time.Second
	// copyBatchMax limits the records of one PutCopies.
	copyBatchMax = 256
)

// commitResult is the result of an append. Both committed and copied mean that the record is durable.
type commitResult uint8

const (
	committed commitResult = iota + 1 // read back as valid
	copied                            // held by peers; the log has not confirmed it
	rejected                          // read back as invalid
)

// recordKey identifies an appended record among those of its session.
type recordKey struct {
	kind    record.Kind
	slot    id.Slot
	epoch   id.Epoch
	program id.Program
	name    string // branch or endpoint
	seq     uint64
}

func recordKeyOf(rec record.Record) recordKey {
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

// pendingRecord is a record that was appended and not yet read back.
type pendingRecord struct {
	rec    record.Record
	key    recordKey
	prog   *prog         // nil for records that concern a slot or the open of a program
	at     time.Duration // time of the append
	ref    uint64        // of its copySet; 0: none
	copied bool
	done   func(commitResult) // called twice if the record was copied before it was read back
}

// pendingQueue holds the pending records in the order of their appends, and their copies.
type pendingQueue struct {
	list   []*pendingRecord
	copies map[uint64]*copySet // by ref
}

// copySet is the content of one PutCopies.
type copySet struct {
	slot        id.Slot
	epoch       id.Epoch
	records     []record.Record
	unconfirmed int           // number of records not yet read back
	at          time.Duration // time of the latest PutCopies
	copied      bool          // CopiesStored was received
}

// append applies a record to the view of the program and appends it to the log. done may be nil. A
// record that is not valid for the view is not appended, and false is returned. That is a defect of the
// caller, except for copies that are appended again after a takeover.
func (c *Core) append(p *prog, rec record.Record, done func(commitResult)) bool {
	switch rec.(type) {
	case record.Open, record.Snapshot:
	default:
		if c.state(p).Apply(rec, c.wallNow()) != fsm.Valid {
			return false
		}
	}
	c.sendAppend(&pendingRecord{rec: rec, key: recordKeyOf(rec), prog: p, at: c.now, done: done})
	return true
}

func (c *Core) sendAppend(e *pendingRecord) {
	if e.prog != nil {
		e.prog.unconfirmed++
	}
	c.pending.list = append(c.pending.list, e)
	c.emit(Append{Records: []record.Record{e.rec}})
}

// onApplied updates the slot of an applied record. A record of this session also completes its pending
// record.
func (c *Core) onApplied(e fsm.Effect) {
	c.updateSlot(e)
	if e.Writer != c.cfg.Session || e.Verdict == fsm.Duplicate {
		return
	}
	switch e.Record.(type) {
	case record.Claim, record.OrderIntent:
		return
	}
	key := recordKeyOf(e.Record)
	for i, pe := range c.pending.list {
		if pe.key != key {
			continue
		}
		c.pending.list = append(c.pending.list[:i:i], c.pending.list[i+1:]...)
		c.confirm(pe, e.Verdict)
		return
	}
}

func (c *Core) confirm(pe *pendingRecord, v fsm.Verdict) {
	c.copyConfirmed(pe)
	p := pe.prog
	if p != nil {
		p.unconfirmed--
	}
	ok := v == fsm.Valid || v == fsm.Ignored
	if !ok && p != nil && c.progs[p.id] == p && c.slots[p.slot].held {
		// The view contains a rejected record: discard it, so that it is cloned from the applied state.
		p.view = nil
		c.recordDecision(p, Decision{What: "record_rejected", Reason: reason(v.String())})
		if c.sm.Program(p.id) == nil {
			c.dropProgram(p, problem(ProblemRecordRejected, 500, record.ExecutedUnknown, "the program's records were rejected"))
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

// copyable reports whether a record is copied to peers. A Raise has no effect before it is committed, and
// the other kinds that are not copied are appended again by whichever session holds the slot.
func copyable(rec record.Record) bool {
	switch rec.(type) {
	case record.Branch, record.Turn, record.Intent, record.Outcome, record.Settle, record.End:
		return true
	}
	return false
}

// copyOverdue copies to peers the records that the log did not confirm in time, and sends unconfirmed
// copies again.
func (c *Core) copyOverdue() {
	sets := map[id.Slot]*copySet{}
	refs := map[id.Slot]uint64{}
	var order []uint64
	for _, e := range c.pending.list {
		if e.ref != 0 || !copyable(e.rec) || !c.slots[e.key.slot].holds(e.key.epoch) {
			continue
		}
		if !c.logDown && c.now-e.at < copyDelay {
			continue
		}
		s := sets[e.key.slot]
		if s == nil || len(s.records) >= copyBatchMax {
			c.nextCopyRef++
			s = &copySet{slot: e.key.slot, epoch: e.key.epoch, at: c.now}
			sets[e.key.slot] = s
			refs[e.key.slot] = c.nextCopyRef
			order = append(order, c.nextCopyRef)
			if c.pending.copies == nil {
				c.pending.copies = map[uint64]*copySet{}
			}
			c.pending.copies[c.nextCopyRef] = s
		}
		s.records = append(s.records, e.rec)
		s.unconfirmed++
		e.ref = refs[e.key.slot]
	}
	for _, ref := range order {
		c.putCopies(ref)
	}
	for _, ref := range sortedKeys(c.pending.copies) {
		s := c.pending.copies[ref]
		if !s.copied && c.now-s.at >= copyRetryInterval {
			s.at = c.now
			c.putCopies(ref)
		}
	}
}

func (c *Core) putCopies(ref uint64) {
	s := c.pending.copies[ref]
	c.emit(PutCopies{Ref: ref, Slot: s.slot, Epoch: s.epoch, Records: s.records})
}

// onCopiesStored treats records as durable that peers hold, but only while the lease holds: another session
// fetches the copies only after the lease has lapsed, so it finds every copy that was acknowledged before.
// A record is acknowledged after all earlier ones of its program, because it is invalid without them.
func (c *Core) onCopiesStored(e CopiesStored) {
	s := c.pending.copies[e.Ref]
	if s == nil || !c.slots[s.slot].holds(s.epoch) || !c.leased(s.slot) {
		return
	}
	s.copied = true
	waiting := map[*prog]bool{}
	var acked []*pendingRecord
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

func (c *Core) copyConfirmed(pe *pendingRecord) {
	s := c.pending.copies[pe.ref]
	if s == nil {
		return
	}
	s.unconfirmed--
	if s.unconfirmed == 0 {
		delete(c.pending.copies, pe.ref)
		c.emit(DropCopies{Slot: s.slot, Refs: []uint64{pe.ref}})
	}
}
