package fsm

import (
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

func (p *Programs) applyClaim(writer id.Session, r record.Claim) Verdict {
	if r.Slot >= id.Slots || r.Session != writer {
		return WrongExpected
	}
	s := &p.slots[r.Slot]
	if s.origin == fromStart && r.Prev != s.Epoch || r.Prev < s.Epoch {
		return WrongExpected
	}
	if r.Prev > s.Epoch {
		p.dropPrograms(s)
	}
	p.setHolder(r.Slot, writer, r.Prev+1)
	for _, prog := range s.programs {
		prog.applyTakeover()
	}
	return Valid
}

func (p *Programs) applyHandover(writer id.Session, r record.Handover) Verdict {
	if r.To == "" || !p.checkHolder(writer, r.Holder) {
		return StaleEpoch
	}
	p.setHolder(r.Slot, r.To, r.Epoch+1)
	return Valid
}

// applyClaimRefresh renews the record time of a claim. A reader that did not read the claim learns
// the holder and the epoch from it.
func (p *Programs) applyClaimRefresh(writer id.Session, r record.ClaimRefresh) Verdict {
	if r.Session != writer || r.Slot >= id.Slots {
		return StaleEpoch
	}
	s := &p.slots[r.Slot]
	known := s.Epoch == r.Epoch && s.Holder == writer
	if !p.checkHolder(writer, r.Holder) {
		return StaleEpoch
	}
	s.claimedAt = p.now
	if known {
		return Ignored
	}
	return Valid
}

func (p *Programs) setHolder(slot id.Slot, holder id.Session, e id.Epoch) {
	s := &p.slots[slot]
	s.Holder = holder
	s.Epoch = e
	s.claimedAt = p.now
	if s.origin != fromStart {
		s.origin = claimRead
	}
	if slot == 0 {
		p.orderSerial = 0
	}
}

// checkHolder reports whether a record's writer holds the slot at the record's epoch. A reader that
// started late infers a claim that it did not read, and updates the slot. That is safe because writers
// name an epoch only after they have read their claim back as valid.
func (p *Programs) checkHolder(writer id.Session, h record.Holder) bool {
	if h.Slot >= id.Slots || h.Epoch == 0 {
		return false
	}
	s := &p.slots[h.Slot]
	if s.Epoch == h.Epoch && s.Holder == writer {
		return true
	}
	if s.origin == fromStart || h.Epoch < s.Epoch {
		return false
	}
	if h.Epoch == s.Epoch && s.origin != claimRead {
		return false
	}
	// The claim at h.Epoch came before the first offset read, so everything accepted since then at a
	// lower epoch, or after a claim of the same epoch, was invalid.
	p.dropPrograms(s)
	p.setHolder(h.Slot, writer, h.Epoch)
	s.origin = inferred
	return true
}

// checkProgramHolder is checkHolder for a record of a program, which must belong to the slot.
func (p *Programs) checkProgramHolder(writer id.Session, h record.Holder, pid id.Program) bool {
	s, err := pid.Slot()
	return err == nil && s == h.Slot && p.checkHolder(writer, h)
}

// dropPrograms removes all programs of a slot.
func (p *Programs) dropPrograms(s *slotEntry) {
	for pid, prog := range s.programs {
		delete(p.parts, pid)
		p.dropKey(prog)
	}
	s.programs = map[id.Program]*Program{}
	s.refreshQueue = nil
}
