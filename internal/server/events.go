package server

import (
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/wire"
)

// withReq returns a caller request with its request ID set.
func withReq(ev program.Event, req program.ReqID) program.Event {
	switch e := ev.(type) {
	case program.OpenProgram:
		e.Req = req
		return e
	case program.OpenBranch:
		e.Req = req
		return e
	case program.ModelCall:
		e.Req = req
		return e
	case program.ServiceCall:
		e.Req = req
		return e
	case program.SettleCall:
		e.Req = req
		return e
	case program.JoinCall:
		e.Req = req
		return e
	case program.EndProgram:
		e.Req = req
		return e
	case program.ReadProgram:
		e.Req = req
		return e
	case program.ExplainProgram:
		e.Req = req
		return e
	default:
		return nil
	}
}

// programOf returns the program of a caller request and the key by which it can be repeated.
func programOf(ev program.Event) (prog id.Program, key string) {
	switch e := ev.(type) {
	case program.OpenProgram:
		return e.Program, e.Key
	case program.OpenBranch:
		return e.Program, e.Key
	case program.ModelCall:
		return e.Program, e.Key
	case program.ServiceCall:
		return e.Program, e.Key
	case program.SettleCall:
		return e.Program, e.Key
	case program.JoinCall:
		return e.Program, e.Key
	case program.EndProgram:
		return e.Program, ""
	case program.ReadProgram:
		return e.Program, ""
	case program.ExplainProgram:
		return e.Program, ""
	default:
		return "", ""
	}
}

// toForward returns the message that carries a caller request to its owner.
func toForward(ev program.Event) wire.Forward {
	switch e := ev.(type) {
	case program.OpenProgram:
		return wire.Forward{Open: &e}
	case program.OpenBranch:
		return wire.Forward{Branch: &e}
	case program.ModelCall:
		return wire.Forward{Model: &e}
	case program.ServiceCall:
		return wire.Forward{Service: &e}
	case program.SettleCall:
		return wire.Forward{Settle: &e}
	case program.JoinCall:
		return wire.Forward{Join: &e}
	case program.EndProgram:
		return wire.Forward{End: &e}
	case program.ReadProgram:
		return wire.Forward{Read: &e}
	case program.ExplainProgram:
		return wire.Forward{Explain: &e}
	default:
		return wire.Forward{}
	}
}

// fromForward returns the caller request of a message, or nil when it carries none.
func fromForward(f wire.Forward) program.Event {
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
