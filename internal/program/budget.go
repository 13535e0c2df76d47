package program

import (
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/record"
)

const (
	// highWaterSteps is the number of steps in which the recorded high-water mark of spending rises to the
	// limit. A new holder counts all of the mark as spent.
	highWaterSteps = 4
	// messageOverheadTokens is an upper bound of the tokens that a chat template adds to a message.
	messageOverheadTokens = 16
)

func mergeLimits(a, b record.Limits) record.Limits {
	return record.Limits{
		Tokens:      lowerLimit(a.Tokens, b.Tokens),
		Calls:       lowerLimit(a.Calls, b.Calls),
		ChargeCents: lowerLimit(a.ChargeCents, b.ChargeCents),
		WallTime:    lowerLimit(a.WallTime, b.WallTime),
	}
}

// lowerLimit returns the lower of two limits, where 0 or less means no limit. It returns 0 for no limit.
func lowerLimit[T int64 | time.Duration](a, b T) T {
	if a <= 0 {
		return max(b, 0)
	}
	if b <= 0 {
		return a
	}
	return min(a, b)
}

func initialHighWater(l record.Limits) record.Spend {
	return record.Spend{Tokens: highWaterStep(l.Tokens), ChargeCents: highWaterStep(l.ChargeCents)}
}

// highWaterStep is the amount by which the high-water mark rises; at least 1 if there is a limit.
func highWaterStep(limit int64) int64 { return (limit + highWaterSteps - 1) / highWaterSteps }

// promptBound returns an upper bound of the tokens of a prompt: the count that the engine reported for the
// history of the branch, and for new messages one token per byte plus the overhead of the chat template.
func promptBound(b *fsm.Branch, added []record.Message) int64 {
	n := b.LastTokens
	for _, m := range added {
		n += int64(len(m.Raw)) + messageOverheadTokens
	}
	return n
}

// budgetState is the result of checkBudget.
type budgetState uint8

const (
	budgetOK           budgetState = iota + 1
	budgetWait                     // the high-water mark must be raised, or calls under way must end first
	budgetInsufficient             // the call may cost more than is left of the limit
	budgetSpent                    // nothing is left
)

// checkBudget compares the largest possible cost of a call with the high-water mark and the limit. Only a
// mark that was read back counts: after a takeover the new holder assumes that everything up to the mark in
// the log was spent, so spending above it would not be counted.
func (c *Core) checkBudget(p *prog, cost record.Spend) budgetState {
	st := c.state(p)
	applied := c.sm.Program(p.id)
	counted := st.Counted()
	l := st.Limits
	if l.Calls > 0 && counted.Calls >= l.Calls ||
		l.Tokens > 0 && counted.Tokens >= l.Tokens ||
		l.ChargeCents > 0 && cost.ChargeCents > 0 && counted.ChargeCents >= l.ChargeCents {
		return budgetSpent
	}
	if exceeds(l.Tokens, counted.Tokens+cost.Tokens) || exceeds(l.ChargeCents, counted.ChargeCents+cost.ChargeCents) {
		return budgetInsufficient
	}
	need := counted.Add(p.reserved).Add(cost)
	if exceeds(l.Calls, need.Calls) {
		return budgetWait
	}
	if exceeds(l.Tokens, need.Tokens) || exceeds(l.ChargeCents, need.ChargeCents) {
		return budgetWait
	}
	if l.Tokens > 0 && need.Tokens > applied.HighWater.Tokens || l.ChargeCents > 0 && need.ChargeCents > applied.HighWater.ChargeCents {
		c.raiseHighWater(p, need)
		return budgetWait
	}
	return budgetOK
}

func exceeds(limit, n int64) bool { return limit > 0 && n > limit }

// raiseHighWater appends a Raise of the high-water mark to need plus one step. At most one Raise is under way
// per program.
func (c *Core) raiseHighWater(p *prog, need record.Spend) {
	st := c.state(p)
	if p.raisePending || st.Ended() {
		return
	}
	highWater := raisedHighWater(st, need)
	if highWater == st.HighWater {
		return
	}
	p.raisePending = true
	rec := record.Raise{Holder: c.holder(p.slot), Program: p.id, HighWater: highWater}
	if !c.append(p, rec, func(commitResult) { c.onHighWaterRaised(p) }) {
		p.raisePending = false
	}
}

func raisedHighWater(st *fsm.Program, need record.Spend) record.Spend {
	m := st.HighWater
	if l := st.Limits.Tokens; l > 0 {
		m.Tokens = max(m.Tokens, min(l, need.Tokens+highWaterStep(l)))
	}
	if l := st.Limits.ChargeCents; l > 0 {
		m.ChargeCents = max(m.ChargeCents, min(l, need.ChargeCents+highWaterStep(l)))
	}
	return m
}

func (c *Core) onHighWaterRaised(p *prog) {
	p.raisePending = false
	if c.progs[p.id] == p {
		c.startBudgetWaiting(p)
	}
}

// raiseHighWaterEarly raises the high-water mark once less than half a step of it is left, so that the next
// calls do not have to wait for it.
func (c *Core) raiseHighWaterEarly(p *prog) {
	st := c.state(p)
	used := st.Counted().Add(p.reserved)
	l := st.Limits
	if l.Tokens > 0 && used.Tokens+highWaterStep(l.Tokens)/2 > st.HighWater.Tokens ||
		l.ChargeCents > 0 && used.ChargeCents+highWaterStep(l.ChargeCents)/2 > st.HighWater.ChargeCents {
		c.raiseHighWater(p, used)
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

// recordSpend records the cost of an attempt that has neither a turn nor an outcome.
func (c *Core) recordSpend(p *prog, used record.Spend) {
	if used == (record.Spend{}) || c.state(p).Ended() {
		return
	}
	rec := record.Raise{Holder: c.holder(p.slot), Program: p.id, HighWater: c.state(p).HighWater, Used: used}
	c.append(p, rec, nil)
}

func sortOpenKeys(ks []openKey) {
	slices.SortFunc(ks, func(a, b openKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.key, b.key))
	})
}
