package api

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// openRequest is the body of POST /v1/programs.
type openRequest struct {
	Duty     string     `json:"duty"`
	Limits   openLimits `json:"limits"`
	Deadline *time.Time `json:"deadline"`
}

// openLimits are the limits that a caller asks for. The limits of the duty are upper bounds.
type openLimits struct {
	Tokens      int64  `json:"tokens"`
	Calls       int64  `json:"calls"`
	ChargeCents int64  `json:"charge_cents"`
	WallTime    string `json:"wall_time"` // Go duration such as 30m
}

func (l openLimits) parse() (record.Limits, *program.Problem) {
	out := record.Limits{Tokens: l.Tokens, Calls: l.Calls, ChargeCents: l.ChargeCents}
	if l.WallTime != "" {
		d, err := time.ParseDuration(l.WallTime)
		if err != nil {
			return out, ptr(refusal(http.StatusBadRequest, "bad_member", err.Error(), "body.limits.wall_time"))
		}
		out.WallTime = d
	}
	for _, f := range []struct {
		name  string
		value int64
	}{{"tokens", l.Tokens}, {"calls", l.Calls}, {"charge_cents", l.ChargeCents}, {"wall_time", int64(out.WallTime)}} {
		if f.value < 0 {
			return out, ptr(refusal(http.StatusBadRequest, "bad_member", "want a number from 0 on", "body.limits."+f.name))
		}
	}
	return out, nil
}

func (f *Frontend) openProgram(w http.ResponseWriter, r *http.Request, c caller) {
	key := r.Header.Get("Idempotency-Key")
	if p := checkIdempotencyKey(key); p != nil {
		writeProblem(w, *p, 0)
		return
	}
	var body openRequest
	if p := decodeStrict(r, &body); p != nil {
		writeProblem(w, *p, 0)
		return
	}
	limits, p := body.Limits.parse()
	if p == nil {
		p = resolveDuty(&body, c)
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	if !f.backend.AcceptsPrograms() {
		writeProblem(w, drainingProblem(), time.Second)
		return
	}
	generated := key == ""
	if generated {
		key = newIdempotencyKey()
	}
	ev := program.OpenProgram{
		Program: f.newProgramID(c.teamName(), key, generated),
		Team:    c.teamName(),
		Duty:    body.Duty,
		Key:     key,
		Limits:  limits,
		Now:     time.Now(),
	}
	if body.Deadline != nil {
		ev.Deadline = *body.Deadline
	}
	f.submitAndWrite(w, r, ev, key)
}

// resolveDuty sets the team's default duty if the body names none, and checks that the team may use
// the duty.
func resolveDuty(body *openRequest, c caller) *program.Problem {
	if body.Duty == "" {
		body.Duty = c.team.DefaultDuty
	}
	d := findDuty(c.manifest, body.Duty)
	if d == nil {
		return ptr(refusal(http.StatusBadRequest, "unknown_duty", fmt.Sprintf("no duty %q", body.Duty), "body.duty"))
	}
	if !slices.Contains(d.Teams, c.team.Name) {
		return ptr(refusal(http.StatusForbidden, "duty_not_allowed",
			fmt.Sprintf("duty %q is not open to this tenant", body.Duty), "body.duty"))
	}
	return nil
}

// branchRequest is the body of POST /v1/programs/{id}/branches.
type branchRequest struct {
	Name   string `json:"name"`
	Parent string `json:"parent"`
}

func (f *Frontend) openBranch(w http.ResponseWriter, r *http.Request, c caller) {
	prog, p := readProgramID(r.PathValue("id"), "path id")
	key := r.Header.Get("Idempotency-Key")
	if p == nil {
		p = checkIdempotencyKey(key)
	}
	var body branchRequest
	if p == nil {
		p = decodeStrict(r, &body)
	}
	if p == nil {
		p = checkName(body.Name, "body.name")
	}
	if body.Parent == "" {
		body.Parent = id.MainBranch
	}
	if p == nil {
		p = checkName(body.Parent, "body.parent")
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	if key == "" {
		key = newIdempotencyKey()
	}
	f.submitAndWrite(w, r, program.OpenBranch{Team: c.teamName(), Program: prog, Name: body.Name, Parent: body.Parent, Key: key}, key)
}

// withProgramID validates the program ID in the path and calls h with it.
func withProgramID(w http.ResponseWriter, r *http.Request, h func(id.Program)) {
	prog, p := readProgramID(r.PathValue("id"), "path id")
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	h(prog)
}

func (f *Frontend) readProgram(w http.ResponseWriter, r *http.Request, c caller) {
	withProgramID(w, r, func(prog id.Program) {
		f.submitAndWrite(w, r, program.ReadProgram{Team: c.teamName(), Program: prog}, "")
	})
}

func (f *Frontend) history(w http.ResponseWriter, r *http.Request, c caller) {
	branch := r.URL.Query().Get("branch")
	if branch == "" {
		branch = id.MainBranch
	}
	if p := checkName(branch, "query branch"); p != nil {
		writeProblem(w, *p, 0)
		return
	}
	withProgramID(w, r, func(prog id.Program) {
		f.submitAndWrite(w, r, program.ReadProgram{Team: c.teamName(), Program: prog, Branch: branch, History: true}, "")
	})
}

func (f *Frontend) endProgram(w http.ResponseWriter, r *http.Request, c caller) {
	withProgramID(w, r, func(prog id.Program) {
		f.submitAndWrite(w, r, program.EndProgram{Team: c.teamName(), Program: prog}, "")
	})
}

func (f *Frontend) explain(w http.ResponseWriter, r *http.Request, c caller) {
	withProgramID(w, r, func(prog id.Program) {
		f.submitAndWrite(w, r, program.ExplainProgram{Team: c.teamName(), Program: prog}, "")
	})
}
