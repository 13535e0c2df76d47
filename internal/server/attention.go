package server

import (
	"maps"
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/wire"
)

const (
	// maxNeeds bounds the entries that one instance lists in its status.
	maxNeeds = 50
	// attentionInterval is the time between searches for programs that need a person.
	attentionInterval = time.Second
)

// Reasons why a program needs a person.
const (
	needUnknownOutcome = "unknown_outcome" // a branch is blocked until the outcome is settled
	needDeadline       = "deadline_passed"
	needBudget         = "budget_spent"
)

// attention is the result of the latest search for programs that need a person.
type attention struct {
	at    time.Duration
	needs []wire.NeedsAttention
	count int
}

// refreshAttention searches the programs of the slots held here for those that need a person.
func (c *core) refreshAttention(now time.Duration) {
	if c.programs == nil || (c.attention.at > 0 && now-c.attention.at < attentionInterval) {
		return
	}
	c.attention = attention{at: now}
	for s := range id.Slot(id.Slots) {
		if c.programs.Slot(s).Holder != c.inst.session {
			continue
		}
		c.programs.Each(s, func(p *fsm.Program) {
			if !p.Ended() {
				c.attention.add(findNeeds(p, time.Now()))
			}
		})
	}
}

func (a *attention) add(needs []wire.NeedsAttention) {
	a.count += len(needs)
	a.needs = append(a.needs, needs[:min(len(needs), maxNeeds-len(a.needs))]...)
}

func findNeeds(p *fsm.Program, now time.Time) []wire.NeedsAttention {
	var out []wire.NeedsAttention
	need := wire.NeedsAttention{Program: p.ID, Team: p.Team, Duty: p.Duty}
	for _, name := range slices.Sorted(maps.Keys(p.Branches)) {
		b := p.Branches[name]
		if b.UnknownOutcome == "" {
			continue
		}
		n := need
		n.Reason, n.Branch, n.Key = needUnknownOutcome, name, b.UnknownOutcome
		if o := p.Outcomes[b.UnknownOutcome]; o != nil {
			n.Seq = o.Call.Seq
			if o.Intent != nil {
				n.Service, n.Operation = o.Intent.Service, o.Intent.Operation
			}
		}
		out = append(out, n)
	}
	switch {
	case !p.Deadline.IsZero() && now.After(p.Deadline):
		need.Reason = needDeadline
	case limitReached(p.Counted(), p.Limits):
		need.Reason = needBudget
	default:
		return out
	}
	return append(out, need)
}

// limitReached reports whether one of the limits is used up. A limit of 0 means unlimited.
func limitReached(used record.Spend, l record.Limits) bool {
	over := func(used, limit int64) bool { return limit > 0 && used >= limit }
	return over(used.Tokens, l.Tokens) || over(used.Calls, l.Calls) || over(used.ChargeCents, l.ChargeCents)
}
