package fsm

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// NewProgram returns the state after an Open record.
func NewProgram(r record.Open) *Program {
	return &Program{
		ID: r.Program, Team: r.Team, Duty: r.Duty, Key: r.Key,
		Limits: r.Limits, HighWater: r.HighWater, OpenedAt: r.OpenedAt, Deadline: r.Deadline,
		Branches: map[string]*Branch{id.MainBranch: {Name: id.MainBranch}},
		Outcomes: map[string]*Outcome{},
		Rev:      1,
	}
}

// Apply applies one record to an open or ended program. It checks the order of calls and the state
// of the program; the caller has checked the slot's epoch and holder. at is the record time.
func (p *Program) Apply(rec record.Record, at time.Time) Verdict {
	v := OutOfOrder
	switch r := rec.(type) {
	case record.Branch:
		v = p.applyBranch(r)
	case record.Raise:
		v = p.applyRaise(r)
	case record.Turn:
		v = p.applyTurn(r)
	case record.Intent:
		v = p.applyIntent(r)
	case record.Outcome:
		v = p.applyOutcome(r)
	case record.Settle:
		v = p.applySettle(r)
	case record.End:
		v = p.applyEnd(r, at)
	case record.Released:
		v = p.applyReleased(r)
	}
	if v == Valid {
		p.Rev++
	}
	return v
}

func (p *Program) applyBranch(r record.Branch) Verdict {
	_, known := p.Branches[r.Name]
	_, parent := p.Branches[r.Parent]
	if p.Ended() || known || !parent {
		return OutOfOrder
	}
	p.Branches[r.Name] = &Branch{Name: r.Name, Parent: r.Parent, Key: r.Key}
	return Valid
}

// applyRaise raises the high-water mark of the budget and adds Used, the spending of attempts that
// left no other record.
func (p *Program) applyRaise(r record.Raise) Verdict {
	if p.Ended() || r.HighWater.Tokens < p.HighWater.Tokens || r.HighWater.ChargeCents < p.HighWater.ChargeCents {
		return OutOfOrder
	}
	if !withinLimits(r.HighWater, p.Limits) || (r.HighWater == p.HighWater && r.Used == (record.Spend{})) {
		return OutOfOrder
	}
	p.HighWater = r.HighWater
	p.Spent = p.Spent.Add(r.Used)
	return Valid
}

func withinLimits(mark record.Spend, l record.Limits) bool {
	return (l.Tokens == 0 || mark.Tokens <= l.Tokens) &&
		(l.ChargeCents == 0 || mark.ChargeCents <= l.ChargeCents)
}

// nextCallBranch returns the branch of call c. It returns nil if the program has ended, c is not the
// next call of its branch, the branch is blocked by an open intent or an unknown outcome, or an earlier
// call with this key may have run.
func (p *Program) nextCallBranch(c id.Call, key string) *Branch {
	b := p.Branches[c.Branch]
	if p.Ended() || b == nil || c.Seq != b.LastSeq+1 || b.Intent != nil || b.UnknownOutcome != "" {
		return nil
	}
	if o := p.Outcomes[key]; o != nil && o.Executed != record.ExecutedNo {
		return nil // only a call that is known not to have run may be made again under its key
	}
	return b
}

func (p *Program) raiseHighWater(m record.Spend) {
	if !withinLimits(m, p.Limits) {
		return
	}
	p.HighWater.Tokens = max(p.HighWater.Tokens, m.Tokens)
	p.HighWater.ChargeCents = max(p.HighWater.ChargeCents, m.ChargeCents)
}

// addSpent adds used to the recorded spending. A recovered record belongs to a call that was in
// progress when the slot was taken over, so its cost is already part of AssumedSpent and is
// subtracted there.
func (p *Program) addSpent(used record.Spend, recovered bool) {
	p.Spent = p.Spent.Add(used)
	if recovered {
		p.AssumedSpent.Tokens -= min(p.AssumedSpent.Tokens, used.Tokens)
		p.AssumedSpent.ChargeCents -= min(p.AssumedSpent.ChargeCents, used.ChargeCents)
	}
}

func (p *Program) applyTurn(r record.Turn) Verdict {
	b := p.nextCallBranch(r.Call, r.Key)
	if b == nil {
		return OutOfOrder
	}
	b.LastSeq = r.Call.Seq
	b.History = append(b.History, r.New...)
	b.History = append(b.History, r.Answer)
	b.Digest = DigestMessages(DigestMessages(b.Digest, r.New...), r.Answer)
	b.LastEndpoint = r.Endpoint
	b.LastTokens = r.Used.Tokens
	p.addCacheEndpoint(r.Endpoint)
	p.addSpent(r.Used, r.Recovered)
	p.raiseHighWater(r.HighWater)
	p.Outcomes[r.Key] = &Outcome{
		Call: r.Call, Digest: r.Digest, Executed: record.ExecutedYes, Status: r.Status,
		Body: r.Body, Stream: r.Stream, Used: r.Used,
	}
	return Valid
}

func (p *Program) applyIntent(r record.Intent) Verdict {
	b := p.nextCallBranch(r.Call, r.Key)
	if b == nil {
		return OutOfOrder
	}
	b.LastSeq = r.Call.Seq
	b.Intent = &Intent{
		Call: r.Call, Key: r.Key, Digest: r.Digest, Service: r.Service,
		Operation: r.Operation, Cost: r.Cost, Epoch: r.Epoch, Attempt: r.Attempt,
	}
	return Valid
}

func (p *Program) applyOutcome(r record.Outcome) Verdict {
	b := p.Branches[r.Call.Branch]
	if b == nil {
		return OutOfOrder
	}
	o := &Outcome{
		Call: r.Call, Digest: r.Digest, Executed: r.Executed, Status: r.Status, Body: r.Body, Used: r.Used,
	}
	switch {
	case b.Intent != nil:
		if b.Intent.Key != r.Key || b.Intent.Call != r.Call {
			return OutOfOrder
		}
		if r.Executed == record.ExecutedUnknown {
			o.Intent = b.Intent
			b.UnknownOutcome = r.Key
		}
		b.Intent = nil
	case b.UnknownOutcome != "":
		// The service answered a query about the unknown outcome. Only a definite answer changes
		// the state.
		if b.UnknownOutcome != r.Key || r.Executed == record.ExecutedUnknown || p.Outcomes[r.Key].Call != r.Call {
			return OutOfOrder
		}
		b.UnknownOutcome = ""
	default:
		if p.nextCallBranch(r.Call, r.Key) == nil || r.Executed == record.ExecutedUnknown {
			return OutOfOrder
		}
		b.LastSeq = r.Call.Seq
	}
	p.Outcomes[r.Key] = o
	p.addSpent(r.Used, r.Recovered)
	p.raiseHighWater(r.HighWater)
	return Valid
}

func (p *Program) applySettle(r record.Settle) Verdict {
	b := p.Branches[r.Call.Branch]
	if b == nil || b.UnknownOutcome == "" || r.Executed == record.ExecutedUnknown {
		return OutOfOrder
	}
	o := p.Outcomes[b.UnknownOutcome]
	if o.Call != r.Call {
		return OutOfOrder
	}
	settled := *o
	settled.Executed = r.Executed
	settled.Body = r.Body
	settled.Intent = nil
	p.Outcomes[b.UnknownOutcome] = &settled
	b.UnknownOutcome = ""
	return Valid
}

func (p *Program) applyEnd(r record.End, at time.Time) Verdict {
	if p.Ended() {
		return OutOfOrder
	}
	p.EndCause = r.Cause
	p.EndedAt = at
	for _, e := range r.Endpoints {
		p.addCacheEndpoint(e)
	}
	return Valid
}

func (p *Program) applyReleased(r record.Released) Verdict {
	if !p.Ended() {
		return OutOfOrder
	}
	for i, e := range p.CacheEndpoints {
		if e == r.Endpoint {
			p.CacheEndpoints = append(p.CacheEndpoints[:i:i], p.CacheEndpoints[i+1:]...)
			return Valid
		}
	}
	return Ignored
}

// applyTakeover adds to AssumedSpent the part of the high-water mark that the last holder may have spent
// without a record.
func (p *Program) applyTakeover() {
	if p.Ended() {
		return
	}
	c := p.Counted()
	p.AssumedSpent.Tokens += max(0, p.HighWater.Tokens-c.Tokens)
	p.AssumedSpent.ChargeCents += max(0, p.HighWater.ChargeCents-c.ChargeCents)
}
