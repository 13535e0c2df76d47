package wire

import "ragwortstile/internal/program"

// NewForward returns the message that carries a caller's request to the owner of its program. For a
// request of any other type the message is empty.
func NewForward(r program.Request) Forward {
	switch e := r.(type) {
	case program.OpenProgram:
		return Forward{Open: &e}
	case program.OpenBranch:
		return Forward{Branch: &e}
	case program.ModelCall:
		return Forward{Model: &e}
	case program.ServiceCall:
		return Forward{Service: &e}
	case program.SettleCall:
		return Forward{Settle: &e}
	case program.JoinCall:
		return Forward{Join: &e}
	case program.EndProgram:
		return Forward{End: &e}
	case program.ReadProgram:
		return Forward{Read: &e}
	case program.ExplainProgram:
		return Forward{Explain: &e}
	default:
		return Forward{}
	}
}

// Request returns the caller's request, or nil if the message carries none.
func (f Forward) Request() program.Request {
	switch {
	case f.Open != nil:
		return *f.Open
	case f.Branch != nil:
		return *f.Branch
	case f.Model != nil:
		return *f.Model
	case f.Service != nil:
		return *f.Service
	case f.Settle != nil:
		return *f.Settle
	case f.Join != nil:
		return *f.Join
	case f.End != nil:
		return *f.End
	case f.Read != nil:
		return *f.Read
	case f.Explain != nil:
		return *f.Explain
	default:
		return nil
	}
}
