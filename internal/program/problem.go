package program

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// Values of Problem.Type.
const (
	ProblemNotHolder         = "not_holder"        // another instance holds the slot; the shell forwards the request
	ProblemSlotNotReady      = "slot_not_ready"    // after a takeover, until the copies are fetched
	ProblemSlotMoving        = "slot_moving"       // during a hand-over
	ProblemNotFound          = "program_not_found" // also for a program of another team
	ProblemCallNotFound      = "call_not_found"
	ProblemBranchNotFound    = "branch_not_found"
	ProblemPoolNotFound      = "pool_not_found"
	ProblemOperationNotFound = "operation_not_found"
	ProblemDutyNotFound      = "duty_not_found"
	ProblemBranchExists      = "branch_exists"
	ProblemKeyReused         = "key_reused"       // another request has used the key
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
	ProblemRefused           = "refused"         // by the dispatcher of the pool
	ProblemEndpointFailed    = "endpoint_failed" // all attempts failed
	ProblemStreamLost        = "stream_lost"     // the rest of the stream is not available; repeat the call from byte 0
	ProblemOwnerChanged      = "owner_changed"   // the slot changed its holder during the call; repeat the key
	ProblemLeaseLapsed       = "lease_lapsed"
	ProblemRecordRejected    = "record_rejected"
	ProblemTooManyPrograms   = "too_many_programs"
)

// RetryAfterSlot is the Retry-After time while a slot changes its holder.
const RetryAfterSlot = 200 * time.Millisecond

// RetryAfterPrograms is the Retry-After time while the team has too many open programs.
const RetryAfterPrograms = 5 * time.Second

func problem(kind string, status int, x record.Executed, detail string) *Problem {
	return &Problem{Type: kind, Status: status, Executed: x, Detail: detail}
}

// ownsSlot reports whether no other session can hold the slot. Once the lease has lapsed or the slot was
// handed over, another holder may have run a call whose key was repeated there.
func (c *Core) ownsSlot(s id.Slot) bool {
	return c.leased(s) && !c.slots[s].handedOver
}

// limitExecuted returns p, with Executed changed from no to unknown unless this session certainly holds
// slot s.
func (c *Core) limitExecuted(s id.Slot, p *Problem) *Problem {
	if p.Executed != record.ExecutedNo || c.ownsSlot(s) {
		return p
	}
	q := *p
	q.Executed = record.ExecutedUnknown
	return &q
}

// refuse completes a request that is not attached to a call.
func (c *Core) refuse(req ReqID, p *Problem, retryAfter time.Duration) {
	c.emit(Reply{Req: req, Status: p.Status, Problem: p, RetryAfter: retryAfter})
}
