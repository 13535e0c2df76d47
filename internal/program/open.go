package program

import (
	"encoding/json"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// openTimeout is how long an open waits until its record is read back.
const openTimeout = 5 * time.Second

type openKey struct{ team, key string }

// opening is a program whose Open record was appended and not yet read back.
type opening struct {
	program id.Program
	slot    id.Slot
	waiters []ReqID
	duty    string
}

// admit returns the program of a request, or refuses the request and returns nil.
func (c *Core) admit(req ReqID, team string, pid id.Program) *prog {
	s, err := pid.Slot()
	if err != nil {
		c.refuse(req, notFound(), 0)
		return nil
	}
	if !c.checkSlot(req, s) {
		return nil
	}
	p := c.prog(pid)
	if p == nil || c.readState(p).Team != team {
		c.refuse(req, notFound(), 0)
		return nil
	}
	p.lastUse = c.now
	return p
}

// notFound returns the problem for an unknown program and for one of another team, which the caller must
// not be able to tell apart. Executed is unknown, because a program that ended long ago may have run calls.
func notFound() *Problem {
	return problem(ProblemNotFound, 404, record.ExecutedUnknown, "no such program")
}

// checkSlot reports whether this session serves slot s. Otherwise it refuses the request.
func (c *Core) checkSlot(req ReqID, s id.Slot) bool {
	sl := &c.slots[s]
	switch {
	case !sl.held:
		c.refuse(req, problem(ProblemNotHolder, 503, record.ExecutedUnknown, "another instance holds the slot"), RetryAfterSlot)
	case !sl.ready:
		c.refuse(req, problem(ProblemSlotNotReady, 503, record.ExecutedUnknown, "the slot was taken over; copies are being fetched"), RetryAfterSlot)
	case sl.handedOver:
		c.refuse(req, problem(ProblemSlotMoving, 503, record.ExecutedUnknown, "the slot is being handed over"), RetryAfterSlot)
	default:
		return true
	}
	return false
}

func (c *Core) onOpen(e OpenProgram) {
	c.setWall(e.Now)
	s, err := e.Program.Slot()
	if err != nil {
		c.refuse(e.Req, problem(ProblemNotFound, 400, record.ExecutedNo, err.Error()), 0)
		return
	}
	k := openKey{team: e.Team, key: e.Key}
	if e.Key != "" && c.answerReopened(e, k) {
		return
	}
	if !c.checkSlot(e.Req, s) {
		return
	}
	duty, known := c.pools.duties[e.Duty]
	switch {
	case !known || !slices.Contains(duty.Teams, e.Team):
		c.refuse(e.Req, &Problem{Type: ProblemDutyNotFound, Status: 422, Detail: "the tenant has no such duty", Place: "duty", Executed: record.ExecutedNo}, 0)
		return
	case c.draining || c.slots[s].handoverTo != "":
		c.refuse(e.Req, problem(ProblemDraining, 503, record.ExecutedNo, "the instance is leaving"), RetryAfterSlot)
		return
	case c.sm.Program(e.Program) != nil || c.progs[e.Program] != nil:
		c.refuse(e.Req, problem(ProblemRecordRejected, 409, record.ExecutedNo, "the program ID is in use"), 0)
		return
	case c.atProgramLimit(e.Team):
		c.refuse(e.Req, problem(ProblemTooManyPrograms, 429, record.ExecutedNo, "the tenant has as many open programs as it may have"), RetryAfterPrograms)
		return
	}
	if e.Key == "" {
		k.key = "\x00" + string(e.Program) // without a key, no other open can match this one
	}
	limits := mergeLimits(e.Limits, duty.Limits)
	deadline := e.Deadline
	if d := duty.Deadline; d > 0 && (deadline.IsZero() || e.Now.Add(d).Before(deadline)) {
		deadline = e.Now.Add(d)
	}
	rec := record.Open{
		Holder: c.holder(s), Program: e.Program, Team: e.Team, Duty: e.Duty, Key: e.Key,
		Limits: limits, HighWater: initialHighWater(limits), OpenedAt: e.Now, Deadline: deadline,
	}
	c.opening[k] = &opening{program: e.Program, slot: s, waiters: []ReqID{e.Req}, duty: e.Duty}
	c.sendAppend(&pendingRecord{rec: rec, key: recordKeyOf(rec), at: c.now, done: func(r commitResult) { c.onOpenDurable(k, e.Program, s, r) }})
	c.at(c.now+openTimeout, func() { c.openExpired(k, rec) })
}

// atProgramLimit reports whether a team has reached its limit of open programs. It counts the open programs
// in all slots, as far as their records were read, and those that this session is opening. Holders that
// open programs at the same time can therefore exceed the limit by the opens that they have under way.
func (c *Core) atProgramLimit(team string) bool {
	limit := c.pools.teams[team].MaxPrograms
	if limit <= 0 {
		return false
	}
	n := 0
	for k := range c.opening {
		if k.team == team {
			n++
		}
	}
	for s := range id.Slot(id.Slots) {
		c.sm.Each(s, func(p *fsm.Program) {
			if p.Team == team && !p.Ended() {
				n++
			}
		})
	}
	return n >= limit
}

// answerReopened answers an open with the program that an earlier open with the same key has opened or is
// opening. It returns false if there is none.
func (c *Core) answerReopened(e OpenProgram, k openKey) bool {
	if o := c.opening[k]; o != nil {
		if o.duty != e.Duty {
			c.refuse(e.Req, problem(ProblemKeyReused, 422, record.ExecutedUnknown, "the key opened a program of another duty"), 0)
			return true
		}
		o.waiters = append(o.waiters, e.Req)
		return true
	}
	pid, ok := c.sm.ByKey(e.Team, e.Key)
	if !ok {
		return false
	}
	st := c.sm.Program(pid)
	if st.Duty != e.Duty {
		c.refuse(e.Req, problem(ProblemKeyReused, 422, record.ExecutedUnknown, "the key opened a program of another duty"), 0)
		return true
	}
	c.replyOpened(e.Req, st)
	return true
}

type openedBody struct {
	ID       id.Program    `json:"id"`
	Duty     string        `json:"duty"`
	Limits   record.Limits `json:"limits"`
	OpenedAt time.Time     `json:"opened_at"`
	Deadline *time.Time    `json:"deadline,omitempty"`
}

func (c *Core) replyOpened(req ReqID, st *fsm.Program) {
	b := openedBody{ID: st.ID, Duty: st.Duty, Limits: st.Limits, OpenedAt: st.OpenedAt}
	if !st.Deadline.IsZero() {
		b.Deadline = &st.Deadline
	}
	c.emit(Reply{Req: req, Status: 201, Body: mustJSON(b)})
}

func (c *Core) onOpenDurable(k openKey, pid id.Program, s id.Slot, r commitResult) {
	o := c.opening[k]
	if o == nil || o.program != pid {
		return
	}
	if r == rejected {
		c.failOpening(k, problem(ProblemRecordRejected, 503, record.ExecutedNo, "the program was not opened"))
		return
	}
	delete(c.opening, k)
	st := c.sm.Program(pid)
	p := &prog{id: pid, slot: s, lastUse: c.now}
	c.progs[pid] = p
	c.startLimitTimers(p, st)
	c.recordDecision(p, Decision{What: "open", Reason: "committed"})
	for _, req := range o.waiters {
		c.replyOpened(req, st)
	}
	c.tryHandover(s)
}

// openExpired refuses an open that the log did not confirm in time. Because its record may still take
// effect, it appends an End after it.
func (c *Core) openExpired(k openKey, rec record.Open) {
	o := c.opening[k]
	if o == nil || o.program != rec.Program {
		return
	}
	end := record.End{Holder: rec.Holder, Program: rec.Program, Cause: record.EndExpired}
	c.sendAppend(&pendingRecord{rec: end, key: recordKeyOf(end), at: c.now})
	c.failOpening(k, problem(ProblemLogDown, 503, record.ExecutedNo, "the log did not confirm in time"))
}

func (c *Core) failOpening(k openKey, p *Problem) {
	o := c.opening[k]
	delete(c.opening, k)
	for _, req := range o.waiters {
		c.refuse(req, p, time.Second)
	}
	c.tryHandover(o.slot)
}

func (c *Core) openingsOf(s id.Slot) []openKey {
	var out []openKey
	for k, o := range c.opening {
		if o.slot == s {
			out = append(out, k)
		}
	}
	sortOpenKeys(out)
	return out
}

// startLimitTimers starts the timers of the limits of a program on wall time and idle time.
func (c *Core) startLimitTimers(p *prog, st *fsm.Program) {
	p.lastUse = c.now
	if st.Ended() {
		return
	}
	if w := st.Limits.WallTime; w > 0 {
		p.wallTimer = c.at(c.stepTime(st.OpenedAt.Add(w)), func() {
			if c.progs[p.id] == p {
				c.endProgram(p, record.EndWallTime, problem(ProblemWallTime, 409, record.ExecutedUnknown, "the program's wall time is over"), nil)
			}
		})
	}
	c.startIdleTimer(p)
}

func (c *Core) startIdleTimer(p *prog) {
	p.idleTimer = c.at(p.lastUse+c.cfg.IdleLimit, func() {
		if c.progs[p.id] != p || c.readState(p).Ended() {
			return
		}
		if len(p.calls) > 0 {
			p.lastUse = c.now
		}
		if c.now-p.lastUse < c.cfg.IdleLimit {
			c.startIdleTimer(p)
			return
		}
		c.endProgram(p, record.EndExpired, problem(ProblemEnded, 409, record.ExecutedUnknown, "the program was idle for too long"), nil)
	})
}

func (c *Core) onOpenBranch(e OpenBranch) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	st := c.state(p)
	parent := e.Parent
	if parent == "" {
		parent = id.MainBranch
	}
	body := mustJSON(struct {
		Program id.Program `json:"program"`
		Branch  string     `json:"branch"`
	}{p.id, e.Name})
	b := st.Branches[e.Name]
	switch {
	case b != nil && b.Key == e.Key && e.Key != "" && b.Parent == parent:
		c.replyWhenDurable(p, e.Req, body)
		return
	case b != nil || e.Name == "":
		c.refuse(e.Req, problem(ProblemBranchExists, 409, record.ExecutedNo, "the branch name is in use"), 0)
		return
	case st.Branches[parent] == nil:
		c.refuse(e.Req, &Problem{Type: ProblemBranchNotFound, Status: 404, Detail: "no such parent branch", Place: "parent", Executed: record.ExecutedNo}, 0)
		return
	case st.Ended() || c.slots[p.slot].handoverTo != "":
		c.refuse(e.Req, c.limitExecuted(p.slot, problem(ProblemEnded, 409, record.ExecutedNo, "the program ended or its slot is moving")), 0)
		return
	}
	rec := record.Branch{Holder: c.holder(p.slot), Program: p.id, Name: e.Name, Parent: parent, Key: e.Key}
	c.append(p, rec, c.once(func(r commitResult) { c.replyCommitted(e.Req, r, 201, body) }))
}

// once returns a function that calls f with the first result only.
func (c *Core) once(f func(commitResult)) func(commitResult) {
	done := false
	return func(r commitResult) {
		if done {
			return
		}
		done = true
		f(r)
	}
}

func (c *Core) replyCommitted(req ReqID, r commitResult, status int, body []byte) {
	if r == rejected {
		c.refuse(req, problem(ProblemRecordRejected, 503, record.ExecutedUnknown, "the record was not accepted; repeat the key"), RetryAfterSlot)
		return
	}
	c.emit(Reply{Req: req, Status: status, Body: body})
}

// replyWhenDurable replies after the records that the answer depends on are durable.
func (c *Core) replyWhenDurable(p *prog, req ReqID, body []byte) {
	c.whenDurable(p, func(r commitResult) { c.replyCommitted(req, r, 200, body) })
}

// whenDurable calls f once all records of a program that were appended so far are durable or rejected. An
// answer from the view must not be sent before that, because the records may still be lost.
func (c *Core) whenDurable(p *prog, f func(commitResult)) {
	var last *pendingRecord
	for _, pe := range c.pending.list {
		if pe.prog == p && !pe.copied && copyable(pe.rec) {
			last = pe
		}
	}
	if last == nil {
		f(committed)
		return
	}
	inner := last.done
	once := c.once(f)
	last.done = func(r commitResult) {
		if inner != nil {
			inner(r)
		}
		once(r)
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("null") // unreachable: every body is a struct that can be encoded
	}
	return data
}
