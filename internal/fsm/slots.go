package fsm

import (
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

func (p *Programs) claim(writer id.Session, r record.Claim) Verdict {
	if r.Slot >= id.Slots || r.Session != writer {
		return WrongExpected
	}
	s := &p.slots[r.Slot]
	if s.how == fromStart && r.Prev != s.Epoch || r.Prev < s.Epoch {
		return WrongExpected
	}
	if r.Prev > s.Epoch {
		p.dropSlot(s)
	}
	p.take(r.Slot, writer, r.Prev+1)
	for _, prog := range s.programs {
		prog.takenOver()
	}
	return Valid
}

func (p *Programs) handover(writer id.Session, r record.Handover) Verdict {
	if r.To == "" || !p.current(writer, r.Holder) {
		return StaleEpoch
	}
	p.take(r.Slot, r.To, r.Epoch+1)
	return Valid
}

// refresh renews the age of a claim. For a reader that has not seen the claim it also states it.
func (p *Programs) refresh(writer id.Session, r record.ClaimRefresh) Verdict {
	if r.Session != writer || r.Slot >= id.Slots {
		return StaleEpoch
	}
	s := &p.slots[r.Slot]
	known := s.Epoch == r.Epoch && s.Holder == writer
	if !p.current(writer, r.Holder) {
		return StaleEpoch
	}
	s.at = p.now
	if known {
		return Ignored
	}
	return Valid
}

func (p *Programs) take(slot id.Slot, holder id.Session, e id.Epoch) {
	s := &p.slots[slot]
	s.Holder = holder
	s.Epoch = e
	s.at = p.now
	if s.how != fromStart {
		s.how = claimed
	}
	if slot == 0 {
		p.fence = 0
	}
}

// current tells whether a record's writer holds the slot at the record's epoch. A reader that started
// late infers a claim that it has not seen: writers name an epoch only after they read their claim
// back as valid.
func (p *Programs) current(writer id.Session, h record.Holder) bool {
	if h.Slot >= id.Slots || h.Epoch == 0 {
		return false
	}
	s := &p.slots[h.Slot]
	if s.Epoch == h.Epoch && s.Holder == writer {
		return true
	}
	if s.how == fromStart || h.Epoch < s.Epoch {
		return false
	}
	if h.Epoch == s.Epoch && s.how != claimed {
		return false
	}
	// The claim at h.Epoch came before the first offset read, so everything accepted since then at a
	// lower epoch, or after a claim of the same epoch, was invalid.
	p.dropSlot(s)
	p.take(h.Slot, writer, h.Epoch)
	s.how = inferred
	return true
}

// holds is current for a record of a program, which must lie in the slot.
func (p *Programs) holds(writer id.Session, h record.Holder, pid id.Program) bool {
	s, err := pid.Slot()
	return err == nil && s == h.Slot && p.current(writer, h)
}

func (p *Programs) dropSlot(s *slotEntry) {
	for pid, prog := range s.programs {
		delete(p.parts, pid)
		p.dropKey(prog)
	}
	s.programs = map[id.Program]*Program{}
	s.queue = nil
}
