// Package fsm folds the records of the platform's log into the state that all instances agree on.
//
// The fold is a pure function of the records and their places: two readers that read the same
// records reach the same state and the same verdict on each record. It does no I/O. A record that
// is invalid at its place changes nothing.
package fsm

import (
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Position is the position of a record: the offset of its batch and its index in the batch.
type Position struct {
	Offset uint64
	Index  int
}

// Verdict tells what the fold made of a record.
type Verdict uint8

// Verdicts.
const (
	Valid         Verdict = iota + 1
	Duplicate             // batch already seen
	StaleEpoch            // the writer does not hold the slot at this epoch
	WrongExpected         // another claim or publication came first
	OutOfOrder            // sequence number or state does not fit
	Ignored               // refresh of something already known
	Undecided             // the reader started too late to tell; a later refresh decides
)

// String returns the verdict as used in logs.
func (v Verdict) String() string {
	switch v {
	case Valid:
		return "valid"
	case Duplicate:
		return "duplicate"
	case StaleEpoch:
		return "stale_epoch"
	case WrongExpected:
		return "wrong_expected"
	case OutOfOrder:
		return "out_of_order"
	case Ignored:
		return "ignored"
	case Undecided:
		return "undecided"
	default:
		return "none"
	}
}

// Effect is the result of folding one record.
type Effect struct {
	Position Position
	Writer   id.Session
	Record   record.Record
	Verdict  Verdict
}

// SlotState is the current claim of a slot.
type SlotState struct {
	Holder id.Session
	Epoch  id.Epoch
}
