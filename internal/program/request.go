package program

import "ragwortstile/internal/id"

// Request is an event on behalf of a caller. It is completed by one Reply or one StreamEnd. Package wire
// encodes requests and their answers under the names of their fields.
type Request interface {
	Event
	// WithReq returns a copy of the request with the given request ID.
	WithReq(ReqID) Request
	// Target returns the program of the request and its idempotency key, which is empty if it has none.
	Target() (prog id.Program, key string)
}

// WithReq implements Request.
func (e OpenProgram) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e OpenProgram) Target() (prog id.Program, key string) { return e.Program, e.Key }

// WithReq implements Request.
func (e OpenBranch) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e OpenBranch) Target() (prog id.Program, key string) { return e.Program, e.Key }

// WithReq implements Request.
func (e ModelCall) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e ModelCall) Target() (prog id.Program, key string) { return e.Program, e.Key }

// WithReq implements Request.
func (e ServiceCall) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e ServiceCall) Target() (prog id.Program, key string) { return e.Program, e.Key }

// WithReq implements Request.
func (e SettleCall) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e SettleCall) Target() (prog id.Program, key string) { return e.Program, e.Key }

// WithReq implements Request.
func (e JoinCall) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e JoinCall) Target() (prog id.Program, key string) { return e.Program, e.Key }

// WithReq implements Request.
func (e EndProgram) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e EndProgram) Target() (prog id.Program, key string) { return e.Program, "" }

// WithReq implements Request.
func (e ReadProgram) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e ReadProgram) Target() (prog id.Program, key string) { return e.Program, "" }

// WithReq implements Request.
func (e ExplainProgram) WithReq(r ReqID) Request {
	e.Req = r
	return e
}

// Target implements Request.
func (e ExplainProgram) Target() (prog id.Program, key string) { return e.Program, "" }
