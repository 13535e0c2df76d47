package program

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Types of problems.
const (
	ProblemNotHolder         = "not_holder"        // another instance holds the slot: the shell forwards the request
	ProblemSlotNotReady      = "slot_not_ready"    // the slot was taken over and copies are being fetched
	ProblemSlotMoving        = "slot_moving"       // the slot is being handed over
	ProblemNotFound          = "program_not_found" // unknown, or opened by another team
	ProblemCallNotFound      = "call_not_found"
	ProblemBranchNotFound    = "branch_not_found"
	ProblemPoolNotFound      = "pool_not_found"
	ProblemOperationNotFound = "operation_not_found"
	ProblemDutyNotFound      = "duty_not_found"
	ProblemBranchExists      = "branch_exists"
	ProblemKeyReused         = "key_reused"       // another body under a known key
	ProblemHistoryMismatch   = "history_mismatch" // the messages do not start with the recorded history
	ProblemSequenceConflict  = "sequence_conflict"
	ProblemOutcomeUnknown    = "outcome_unknown" // an unknown outcome blocks the branch
	ProblemOutcomeKnown      = "outcome_known"
	ProblemBudgetExhausted   = "budget_exhausted"
	ProblemWallTime          = "wall_time_exceeded"
	ProblemEnded             = "program_ended"
	ProblemDraining          = "draining"
	ProblemLogDown           = "log_unavailable"
	ProblemDeadline          = "deadline_exceeded"
	ProblemRefused           = "refused"         // by the pool's dispatcher
	ProblemEndpointFailed    = "endpoint_failed" // all attempts failed
	ProblemStreamLost        = "stream_lost"     // the rest of a stream cannot be had; start again from byte 0
	ProblemOwnerChanged      = "owner_changed"   // the slot was lost while the call ran; repeat the key
	ProblemLeaseLapsed       = "lease_lapsed"
	ProblemRecordRejected    = "record_rejected"
	ProblemTooManyPrograms   = "too_many_programs"
)

// RetryAfterSlot is what a caller is told to wait while a slot moves.
const RetryAfterSlot = 200 * time.Millisecond

// RetryAfterPrograms is what a caller is told to wait while its team has too many open programs.
const RetryAfterPrograms = 5 * time.Second

func problem(kind string, status int, x record.Executed, detail string) *Problem {
	return &Problem{Type: kind, Status: status, Executed: x, Detail: detail}
}

// sure tells whether this session certainly holds a slot. Once its lease has lapsed or it has given
// the slot away, another holder may have run a call whose key was repeated there.
func (c *Core) sure(s id.Slot) bool {
	return c.leased(s) && !c.slots[s].moved
}

// certainly returns the problem with what can be said of a call of a program in slot s.
func (c *Core) certainly(s id.Slot, p *Problem) *Problem {
	if p.Executed != record.ExecutedNo || c.sure(s) {
		return p
	}
	q := *p
	q.Executed = record.ExecutedUnknown
	return &q
}

// refuse answers a request that is not attached to a call.
func (c *Core) refuse(req ReqID, p *Problem, retryAfter time.Duration) {
	c.emit(Reply{Req: req, Status: p.Status, Problem: p, RetryAfter: retryAfter})
}
