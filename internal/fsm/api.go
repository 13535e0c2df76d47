// Package fsm applies the records of the platform's log to a replicated state machine, so that all
// instances that read the log reach the same state.
//
// Programs holds the state of the programs stream: the holder of each slot and the state of each
// Program. Configs holds the state of the config stream: the manifest in force. Both apply batches in
// log order and return an Effect for each record.
//
// Applying records is deterministic: the state and the verdicts depend only on the records and their
// positions in the log. The package does no I/O. A record that is invalid at its position changes
// nothing.
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

// Verdict tells whether a record was valid at its position, or why it was not.
type Verdict uint8

// Verdicts.
const (
	Valid         Verdict = iota + 1
	Duplicate             // the batch was applied before
	StaleEpoch            // the writer does not hold the slot at this epoch
	WrongExpected         // another claim or publication came first
	OutOfOrder            // the record does not follow from the current state or sequence number
	Ignored               // the record states nothing new, or is a fragment other than the last
	Undecided             // the reader started too late to tell; a later ManifestRefresh resolves it
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

// Effect is the result of applying one record.
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
