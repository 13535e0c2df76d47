package program

import (
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/record"
)

const (
	// markShare is the part of the limit by which the high-water mark starts and is raised.
	markShare = 4
	// messageOverheadTokens bounds what a chat template adds to a message.
	messageOverheadTokens = 16
)

func smallerLimits(a, b record.Limits) record.Limits {
	return record.Limits{
		Tokens:      smaller(a.Tokens, b.Tokens),
		Calls:       smaller(a.Calls, b.Calls),
		ChargeCents: smaller(a.ChargeCents, b.ChargeCents),
		WallTime:    smaller(a.WallTime, b.WallTime),
	}
}

// smaller returns the lower of two limits, where 0 or less means none.
func smaller[T int64 | time.Duration](a, b T) T {
	if a <= 0 {
		return max(b, 0)
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}

func firstMark(l record.Limits) record.Spend {
	return record.Spend{Tokens: step(l.Tokens), ChargeCents: step(l.ChargeCents)}
}

// step is the part of a limit by which the mark rises; at least 1 where there is a limit.
func step(limit int64) int64 { return (limit + markShare - 1) / markShare }

// promptBound is the largest possible number of tokens of a prompt: what the engine counted for the
// branch's history, and for new messages one token per byte and the overhead of the chat template.
func promptBound(b *fsm.Branch, added []record.Message) int64 {
	n := b.LastTokens
	for _, m := range added {
		n += int64(len(m.Raw)) + messageOverheadTokens
	}
	return n
}

// budgetState tells what the budget allows for a call.
type budgetState uint8

const (
	budgetOK    budgetState = iota + 1
	budgetWait              // the mark must be raised, or calls under way must settle
	budgetOver              // the call may cost more than the limit leaves
	budgetSpent             // nothing is left
)

// checkBudget compares the largest cost of a call with the committed mark and the limit. Only a mark
// that was read back counts, because a new holder takes all below it as spent.
func (c *Core) checkBudget(p *prog, cost record.Spend) budgetState {
	st := c.state(p)
	agreed := c.fold.Program(p.id)
	counted := st.Counted()
	l := st.Limits
	if l.Calls > 0 && counted.Calls >= l.Calls ||
		l.Tokens > 0 && counted.Tokens >= l.Tokens ||
		l.ChargeCents > 0 && cost.ChargeCents > 0 && counted.ChargeCents >= l.ChargeCents {
		return budgetSpent
	}
	if exceeds(l.Tokens, counted.Tokens+cost.Tokens) || exceeds(l.ChargeCents, counted.ChargeCents+cost.ChargeCents) {
		return budgetOver
	}
	need := counted.Add(p.reserved).Add(cost)
	if exceeds(l.Calls, need.Calls) {
		return budgetWait
	}
	if exceeds(l.Tokens, need.Tokens) || exceeds(l.ChargeCents, need.ChargeCents) {
		return budgetWait
	}
	if l.Tokens > 0 && need.Tokens > agreed.Mark.Tokens || l.ChargeCents > 0 && need.ChargeCents > agreed.Mark.ChargeCents {
		c.raise(p, need)
		return budgetWait
	}
	return budgetOK
}

func exceeds(limit, n int64) bool { return limit > 0 && n > limit }

// raise asks for a mark that covers need and a further step. One Raise is under way at a time.
func (c *Core) raise(p *prog, need record.Spend) {
	st := c.state(p)
	if p.raising || st.Ended() {
		return
	}
	mark := raised(st, need)
	if mark == st.Mark {
		return
	}
	p.raising = true
	rec := record.Raise{Holder: c.holder(p.slot), Program: p.id, Mark: mark}
	if !c.append(p, rec, func(commitResult) { c.raiseDone(p) }) {
		p.raising = false
	}
}

func raised(st *fsm.Program, need record.Spend) record.Spend {
	m := st.Mark
	if l := st.Limits.Tokens; l > 0 {
		m.Tokens = max(m.Tokens, min(l, need.Tokens+step(l)))
	}
	if l := st.Limits.ChargeCents; l > 0 {
		m.ChargeCents = max(m.ChargeCents, min(l, need.ChargeCents+step(l)))
	}
	return m
}

func (c *Core) raiseDone(p *prog) {
	p.raising = false
	if c.progs[p.id] == p {
		c.startWaiting(p)
	}
}

// raiseAhead lifts the mark when half of a step is used, so that dispatches need not wait.
func (c *Core) raiseAhead(p *prog) {
	st := c.state(p)
	used := st.Counted().Add(p.reserved)
	l := st.Limits
	if l.Tokens > 0 && used.Tokens+step(l.Tokens)/2 > st.Mark.Tokens ||
		l.ChargeCents > 0 && used.ChargeCents+step(l.ChargeCents)/2 > st.Mark.ChargeCents {
		c.raise(p, used)
	}
}

func (c *Core) reserve(cl *call, cost record.Spend) {
	cl.reserved = cost
	cl.prog.reserved = cl.prog.reserved.Add(cost)
}

func (c *Core) unreserve(cl *call) {
	cl.prog.reserved = cl.prog.reserved.Sub(cl.reserved)
	cl.reserved = record.Spend{}
}

// waste records the cost of an attempt that left no turn and no outcome.
func (c *Core) waste(p *prog, used record.Spend) {
	if used == (record.Spend{}) || c.state(p).Ended() {
		return
	}
	rec := record.Raise{Holder: c.holder(p.slot), Program: p.id, Mark: c.state(p).Mark, Used: used}
	c.append(p, rec, nil)
}

func sortOpenKeys(ks []openKey) {
	slices.SortFunc(ks, func(a, b openKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.key, b.key))
	})
}
