package program

import (
	"encoding/json"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// maxDecisions limits the decisions that are kept per program for ExplainProgram.
const maxDecisions = 32

// recordDecision keeps a decision for ExplainProgram and logs it.
func (c *Core) recordDecision(p *prog, d Decision) {
	d.At = c.now
	d.Epoch = c.slots[p.slot].epoch
	if d.Call.Program == "" {
		d.Call.Program = p.id
	}
	if len(p.decisions) >= maxDecisions {
		p.decisions = append(p.decisions[:0], p.decisions[1:]...)
	}
	p.decisions = append(p.decisions, d)
	c.emit(Log{Decision: d})
}

type branchBody struct {
	Name     string            `json:"name"`
	Parent   string            `json:"parent,omitempty"`
	Seq      uint64            `json:"seq"`
	Blocked  string            `json:"blocked_by_key,omitempty"`
	Messages []json.RawMessage `json:"messages,omitempty"`
}

type programBody struct {
	ID           id.Program    `json:"id"`
	Duty         string        `json:"duty"`
	OpenedAt     time.Time     `json:"opened_at"`
	Limits       record.Limits `json:"limits"`
	Spent        record.Spend  `json:"spent"`
	AssumedSpent record.Spend  `json:"counted_after_take_over"`
	Ended        string        `json:"ended,omitempty"`
	Branches     []branchBody  `json:"branches"`
}

func (c *Core) onRead(e ReadProgram) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	// The replicated state machine is read instead of the view, because only durable state may be shown.
	st := c.sm.Program(p.id)
	if e.History {
		b := st.Branches[branchName(e.Branch)]
		if b == nil {
			c.refuse(e.Req, &Problem{Type: ProblemBranchNotFound, Status: 404, Detail: "no such branch", Place: "branch", Executed: record.ExecutedNo}, 0)
			return
		}
		c.emit(Reply{Req: e.Req, Status: 200, Body: mustJSON(showBranch(b, true))})
		return
	}
	body := programBody{
		ID: st.ID, Duty: st.Duty, OpenedAt: st.OpenedAt, Limits: st.Limits, Spent: st.Spent, AssumedSpent: st.AssumedSpent,
	}
	if st.Ended() {
		body.Ended = st.EndCause.String()
	}
	for _, name := range sortedKeys(st.Branches) {
		body.Branches = append(body.Branches, showBranch(st.Branches[name], false))
	}
	c.emit(Reply{Req: e.Req, Status: 200, Body: mustJSON(body)})
}

func showBranch(b *fsm.Branch, messages bool) branchBody {
	out := branchBody{Name: b.Name, Parent: b.Parent, Seq: b.LastSeq, Blocked: b.UnknownOutcome}
	if messages {
		out.Messages = make([]json.RawMessage, 0, len(b.History))
		for _, m := range b.History {
			out.Messages = append(out.Messages, json.RawMessage(m.Raw))
		}
	}
	return out
}

func (c *Core) onExplain(e ExplainProgram) {
	team := e.Team
	if team == "" {
		if st := c.sm.Program(e.Program); st != nil {
			team = st.Team
		}
	}
	p := c.admit(e.Req, team, e.Program)
	if p == nil {
		return
	}
	c.emit(Reply{Req: e.Req, Status: 200, Body: mustJSON(c.explanation(p))})
}

// rewriteDue appends claim refreshes and program snapshots for state whose records will soon expire from
// the log. A program with records that were not read back is skipped for now, so that its snapshot matches
// the state at its position in the log.
func (c *Core) rewriteDue() {
	due := c.sm.DueRefreshes(c.cfg.Session, c.wallNow(), rewriteBatch)
	for _, r := range due.Claims {
		if c.slots[r.Slot].holds(r.Epoch) && !c.slots[r.Slot].handedOver {
			c.refreshClaim(r.Slot, nil)
		}
	}
	for _, pid := range due.Programs {
		p := c.prog(pid)
		if p == nil || p.unconfirmed > 0 || c.slots[p.slot].handedOver || !c.slots[p.slot].ready {
			continue
		}
		recs, err := fsm.SnapshotRecords(c.holder(p.slot), c.sm.Program(pid))
		if err != nil {
			c.recordDecision(p, Decision{What: "snapshot_failed", Reason: reason(err.Error())})
			continue
		}
		for _, rec := range recs {
			c.sendAppend(&pendingRecord{rec: rec, key: recordKeyOf(rec), prog: p, at: c.now})
		}
	}
}
