package program

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

type callState uint8

const (
	stateQueued  callState = iota // behind another call of the branch, or its sequence number is not next
	stateBudget                   // waits until the high-water mark is raised or other calls of the program end
	stateIntent                   // waits for its intent to be read back
	stateWaiting                  // in the queue of the dispatcher
	stateRunning                  // at an endpoint
	stateRetry                    // waits before the next attempt
	stateAsking                   // the outcome is unknown and the service is asked about it
	stateCommit                   // waits for its record to be durable
	stateClosed
)

// call is a call under way. It stays in prog.calls until its answer is durable or it fails.
type call struct {
	prog          *prog
	branch        string
	key           string
	digest        uint64
	wantSeq       uint64 // sequence number that the caller expects; 0: the next one
	seq           uint64 // assigned when the call starts
	state         callState
	model         *ModelCall // nil for a service call
	service       *ServiceCall
	pool          string
	nonIdempotent bool
	canBeAsked    bool
	charge        int64 // cents
	maxTokens     int64
	added         []record.Message // messages that follow the recorded history
	deadline      time.Duration
	waiters       []*waiter
	reserved      record.Spend
	attempt       *attempt
	attempts      int
	ran           bool     // an attempt may have run
	avoid         []string // endpoints of failed attempts
	stream        streamBuffer
	resumes       int
}

// waiter is a caller that waits for the answer to a call.
type waiter struct {
	req    ReqID
	stream bool
	sent   int64 // bytes of the stream that the caller has
	begun  bool  // StreamData was sent
}

func (cl *call) id() id.Call {
	return id.Call{Program: cl.prog.id, Branch: cl.branch, Seq: cl.seq}
}

func (c *Core) onModelCall(e ModelCall) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	branch := branchName(e.Branch)
	w := &waiter{req: e.Req, stream: e.Stream, sent: e.FromByte}
	if c.answerRepeated(p, w, e.Key, e.Digest) {
		return
	}
	pool, ok := c.pools.pools[e.Model]
	if !ok || !slices.Contains(c.pools.duties[c.state(p).Duty].Pools, e.Model) {
		c.refuse(e.Req, &Problem{Type: ProblemPoolNotFound, Status: 404, Detail: "the duty may not use this model", Place: "model", Executed: c.executedOnRefusal(p, e.Key, false)}, 0)
		return
	}
	if e.FromByte > 0 {
		c.refuse(e.Req, problem(ProblemStreamLost, 409, record.ExecutedUnknown, "the stream is not known any more; repeat the call from byte 0"), 0)
		return
	}
	maxTokens := lowerLimit(e.MaxTokens, pool.MaxTokens)
	cl := &call{
		prog: p, branch: branch, key: e.Key, digest: e.Digest, wantSeq: e.Seq, model: &e,
		pool: e.Model, maxTokens: maxTokens, deadline: c.now + timeoutOr(e.TimeLimit, pool.Timeout),
		waiters: []*waiter{w},
	}
	c.enqueue(cl)
}

func (c *Core) onServiceCall(e ServiceCall) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	w := &waiter{req: e.Req}
	if c.answerRepeated(p, w, e.Key, e.Digest) {
		return
	}
	pool, ok := c.pools.pools[e.Service]
	if !ok || !slices.Contains(c.pools.duties[c.state(p).Duty].Pools, e.Service) {
		c.refuse(e.Req, &Problem{Type: ProblemPoolNotFound, Status: 404, Detail: "the duty may not use this service", Place: "service", Executed: c.executedOnRefusal(p, e.Key, false)}, 0)
		return
	}
	op, ok := c.pools.operations[opKey{e.Service, e.Operation}]
	if !ok {
		c.refuse(e.Req, &Problem{Type: ProblemOperationNotFound, Status: 404, Detail: "the service has no such operation", Place: "operation", Executed: c.executedOnRefusal(p, e.Key, false)}, 0)
		return
	}
	cl := &call{
		prog: p, branch: branchName(e.Branch), key: e.Key, digest: e.Digest, wantSeq: e.Seq, service: &e,
		pool: e.Service, nonIdempotent: !op.Idempotent, canBeAsked: op.CanBeAsked, charge: op.ChargeCents,
		deadline: c.now + timeoutOr(e.TimeLimit, pool.Timeout), waiters: []*waiter{w},
	}
	c.enqueue(cl)
}

func branchName(s string) string {
	if s == "" {
		return id.MainBranch
	}
	return s
}

// timeoutOr returns the first of a and b that is positive, or else one minute.
func timeoutOr(a, b time.Duration) time.Duration {
	if a > 0 {
		return a
	}
	if b > 0 {
		return b
	}
	return time.Minute
}

// executedOnRefusal returns what is certain about the execution of a call that is refused now and has no
// record. An earlier request with the same key may have run without a record, at this holder or the last
// one. A non-idempotent one cannot have, because its intent would be recorded.
func (c *Core) executedOnRefusal(p *prog, key string, nonIdempotent bool) record.Executed {
	if !c.ownsSlot(p.slot) {
		return record.ExecutedUnknown
	}
	if nonIdempotent {
		return record.ExecutedNo
	}
	if _, maybe := p.maybeRun[key]; maybe || p.inherited {
		return record.ExecutedUnknown
	}
	return record.ExecutedNo
}

// answerRepeated answers a request whose key has a recorded outcome or an open intent, or attaches it to
// the call under way. It returns false if the request is to run as a new call.
func (c *Core) answerRepeated(p *prog, w *waiter, key string, digest uint64) bool {
	if cl := p.calls[key]; cl != nil {
		if cl.digest != digest {
			c.refuse(w.req, problem(ProblemKeyReused, 422, record.ExecutedUnknown, "the key was used for another request"), 0)
			return true
		}
		c.attach(cl, w)
		return true
	}
	st := c.state(p)
	o := st.Outcomes[key]
	if o == nil || o.Executed == record.ExecutedNo {
		// After a call that was certainly not run, the key may have been used again.
		return c.answerOpenIntent(p, st, w, key, digest)
	}
	if o.Digest != digest {
		c.refuse(w.req, problem(ProblemKeyReused, 422, o.Executed, "the key was used for another request"), 0)
		return true
	}
	c.answerRecorded(p, w, o)
	return true
}

// answerOpenIntent answers a request whose key has an open intent but no call under way here, because the
// holder that appended the intent has died. It returns false if there is no such intent.
func (c *Core) answerOpenIntent(p *prog, st *fsm.Program, w *waiter, key string, digest uint64) bool {
	for _, b := range st.Branches {
		if b.Intent == nil || b.Intent.Key != key {
			continue
		}
		if b.Intent.Digest != digest {
			c.refuse(w.req, problem(ProblemKeyReused, 422, record.ExecutedUnknown, "the key was used for another request"), 0)
			return true
		}
		c.refuse(w.req, unknownOutcome(), time.Second)
		return true
	}
	return false
}

func unknownOutcome() *Problem {
	return problem(ProblemOutcomeUnknown, 409, record.ExecutedUnknown, "it is not known whether the call was run; ask the service and settle it")
}

// answerRecorded answers with an outcome in the view once it is durable.
func (c *Core) answerRecorded(p *prog, w *waiter, o *fsm.Outcome) {
	c.whenDurable(p, func(r commitResult) {
		if r == rejected {
			c.refuse(w.req, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the outcome was not recorded; repeat the key"), RetryAfterSlot)
			return
		}
		c.answerDurable(w, o)
	})
}

func (c *Core) answerDurable(w *waiter, o *fsm.Outcome) {
	switch {
	case o.Executed == record.ExecutedUnknown:
		c.refuse(w.req, unknownOutcome(), time.Second)
	case o.Stream:
		if from := min(max(w.sent, 0), int64(len(o.Body))); from < int64(len(o.Body)) {
			c.emit(StreamData{Req: w.req, Offset: from, Data: o.Body[from:]})
		}
		c.emit(StreamEnd{Req: w.req})
	default:
		c.emit(Reply{Req: w.req, Status: statusOr(o.Status, 200), Body: o.Body, Call: o.Call})
	}
}

func statusOr(s, d int) int {
	if s != 0 {
		return s
	}
	return d
}

func (c *Core) attach(cl *call, w *waiter) {
	cl.waiters = append(cl.waiters, w)
	c.requests[w.req] = cl
	if cl.model != nil && cl.model.Stream {
		w.stream = true
		c.sendStream(cl, w, false)
	}
}

// onJoin answers a caller that lost the answer to an earlier call.
func (c *Core) onJoin(e JoinCall) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	w := &waiter{req: e.Req, sent: e.FromByte}
	if cl := p.calls[e.Key]; cl != nil {
		c.attach(cl, w)
		return
	}
	o := c.state(p).Outcomes[e.Key]
	if o == nil {
		c.refuse(e.Req, problem(ProblemCallNotFound, 404, record.ExecutedUnknown, "no recorded call has this key"), 0)
		return
	}
	if o.Executed == record.ExecutedNo {
		c.refuse(e.Req, problem(ProblemCallNotFound, 409, record.ExecutedNo, "the call was not run"), 0)
		return
	}
	c.answerRecorded(p, w, o)
}

// enqueue adds a call to the queue of its branch, or refuses it.
func (c *Core) enqueue(cl *call) {
	p := cl.prog
	st := c.state(p)
	w := cl.waiters[0]
	c.endToolPause(p, cl.branch)
	executed := c.executedOnRefusal(p, cl.key, cl.nonIdempotent)
	b := st.Branches[cl.branch]
	switch {
	case st.Ended():
		c.refuse(w.req, problem(ProblemEnded, 409, executed, "the program ended: "+st.EndCause.String()), 0)
		return
	case b == nil:
		c.refuse(w.req, &Problem{Type: ProblemBranchNotFound, Status: 404, Detail: "no such branch", Place: "branch", Executed: executed}, 0)
		return
	case c.slots[p.slot].handoverTo != "":
		c.refuse(w.req, problem(ProblemSlotMoving, 503, executed, "the slot is being handed over"), RetryAfterSlot)
		return
	case cl.wantSeq != 0 && cl.wantSeq <= b.LastSeq:
		c.refuse(w.req, problem(ProblemSequenceConflict, 409, executed, "the branch is past this sequence number"), 0)
		return
	}
	if p.calls == nil {
		p.calls = map[string]*call{}
		p.queues = map[string][]*call{}
	}
	p.calls[cl.key] = cl
	p.queues[cl.branch] = append(p.queues[cl.branch], cl)
	c.requests[w.req] = cl
	c.at(cl.deadline, func() { c.callExpired(cl) })
	c.startBranch(p, cl.branch)
}

// startBranch starts the next call of a branch if none is under way. A call with an expected sequence
// number waits until the branch has reached it; the others start in the order of arrival.
func (c *Core) startBranch(p *prog, branch string) {
	q := p.queues[branch]
	if len(q) == 0 || q[0].state != stateQueued {
		return
	}
	b := c.state(p).Branches[branch]
	for i, cl := range q {
		if cl.wantSeq != 0 && cl.wantSeq != b.LastSeq+1 {
			continue
		}
		copy(q[1:i+1], q[:i])
		q[0] = cl
		c.start(cl)
		return
	}
}

// startBudgetWaiting starts the calls that wait for the budget, as far as it now allows them.
func (c *Core) startBudgetWaiting(p *prog) {
	for _, name := range sortedKeys(p.queues) {
		if q := p.queues[name]; len(q) > 0 && q[0].state == stateBudget {
			c.start(q[0])
		}
	}
}

// start checks a call that is next on its branch against the current state, and runs or fails it.
func (c *Core) start(cl *call) {
	p := cl.prog
	st := c.state(p)
	b := st.Branches[cl.branch]
	executed := c.executedOnRefusal(p, cl.key, cl.nonIdempotent)
	switch {
	case st.Ended():
		c.failCall(cl, problem(ProblemEnded, 409, executed, "the program ended: "+st.EndCause.String()), 0)
		return
	case b.UnknownOutcome != "" || b.Intent != nil:
		c.failCall(cl, problem(ProblemOutcomeUnknown, 409, executed, "an earlier call of the branch has an unknown outcome; settle it first"), time.Second)
		return
	case cl.wantSeq != 0 && cl.wantSeq != b.LastSeq+1:
		c.failCall(cl, problem(ProblemSequenceConflict, 409, executed, "the branch is past this sequence number"), 0)
		return
	}
	cost := record.Spend{Calls: 1, ChargeCents: cl.charge}
	if cl.model != nil {
		added, ok := newMessages(b.History, cl.model)
		if !ok {
			c.failCall(cl, &Problem{Type: ProblemHistoryMismatch, Status: 422, Detail: "the messages do not start with the recorded history and add to it", Place: "messages", Executed: executed}, 0)
			return
		}
		cl.added = added
		cost.Tokens = promptBound(b, added) + cl.maxTokens
	}
	cl.seq = b.LastSeq + 1
	switch c.checkBudget(p, cost) {
	case budgetSpent:
		c.failCall(cl, problem(ProblemBudgetExhausted, 402, executed, "the program's budget is spent"), 0)
		if len(p.calls) == 0 {
			c.endProgram(p, record.EndBudget, nil, nil)
		}
	case budgetInsufficient:
		c.failCall(cl, problem(ProblemBudgetExhausted, 402, executed, "the call may cost more than is left of the program's budget"), 0)
	case budgetWait:
		cl.state = stateBudget
		if c.logDown && len(p.calls) == 1 {
			c.failCall(cl, problem(ProblemLogDown, 503, executed, "the budget cannot be raised while the log is down"), time.Second)
		}
	case budgetOK:
		c.reserve(cl, cost)
		c.raiseHighWaterEarly(p)
		c.firstAttempt(cl)
	}
}

// newMessages returns the messages that a call adds to the recorded history. It returns false if there are
// none or if the call does not start with the history.
func newMessages(history []record.Message, m *ModelCall) ([]record.Message, bool) {
	if m.History == HistoryAppend {
		return m.Messages, len(m.Messages) > 0
	}
	n := len(history)
	if len(m.Messages) <= n {
		return nil, false
	}
	for i, h := range history {
		if !bytes.Equal(h.Raw, m.Messages[i].Raw) && !sameJSON(h.Raw, m.Messages[i].Raw) {
			return nil, false
		}
	}
	return m.Messages[n:], true
}

// sameJSON reports whether two messages are the same JSON value. They may differ in white space and in the
// order of keys.
func sameJSON(a, b []byte) bool {
	ca, okA := canonical(a)
	cb, okB := canonical(b)
	return okA && okB && bytes.Equal(ca, cb)
}

func canonical(raw []byte) ([]byte, bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return nil, false
	}
	out, err := json.Marshal(v)
	return out, err == nil
}
