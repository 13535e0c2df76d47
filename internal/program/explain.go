package program

import (
	"cmp"
	"slices"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// explanation is the answer to ExplainProgram. The calls come from the replicated state machine and are
// kept across takeovers; the decisions are the latest ones of the current owner.
type explanation struct {
	Program      id.Program    `json:"program"`
	Team         string        `json:"tenant"`
	Duty         string        `json:"duty"`
	State        string        `json:"state"` // "open", or the cause of the end
	Limits       record.Limits `json:"limits"`
	Spent        record.Spend  `json:"spent"`
	AssumedSpent record.Spend  `json:"counted_after_take_over"`
	Calls        []explained   `json:"calls"`
	Decisions    []Decision    `json:"decisions"`
}

// explained describes a recorded call.
type explained struct {
	Branch   string       `json:"branch"`
	Seq      uint64       `json:"seq"`
	Key      string       `json:"key"`
	Executed string       `json:"executed"`
	Status   int          `json:"status,omitempty"`
	Used     record.Spend `json:"used"`
	Blocks   bool         `json:"blocks_branch,omitempty"` // its unknown outcome blocks the branch until it is settled
}

func (c *Core) explanation(p *prog) explanation {
	st := c.sm.Program(p.id)
	out := explanation{
		Program: st.ID, Team: st.Team, Duty: st.Duty, State: "open", Limits: st.Limits, Spent: st.Spent, AssumedSpent: st.AssumedSpent,
		Calls: []explained{}, Decisions: p.decisions,
	}
	if st.Ended() {
		out.State = st.EndCause.String()
	}
	for key, o := range st.Outcomes {
		out.Calls = append(out.Calls, explainCall(st, key, o))
	}
	slices.SortFunc(out.Calls, func(a, b explained) int {
		return cmp.Or(cmp.Compare(a.Branch, b.Branch), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Key, b.Key))
	})
	return out
}

func explainCall(st *fsm.Program, key string, o *fsm.Outcome) explained {
	out := explained{Branch: o.Call.Branch, Seq: o.Call.Seq, Key: key, Executed: o.Executed.String(), Status: o.Status, Used: o.Used}
	if b := st.Branches[o.Call.Branch]; b != nil {
		out.Blocks = b.UnknownOutcome == key
	}
	return out
}
