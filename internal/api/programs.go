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

// openLimits are the limits that a caller asks for; the duty's limits bound them.
type openLimits struct {
	Tokens      int64  `json:"tokens"`
	Calls       int64  `json:"calls"`
	ChargeCents int64  `json:"charge_cents"`
	WallTime    string `json:"wall_time"` // Go duration such as 30m
}

func (l openLimits) check() (record.Limits, *program.Problem) {
	out := record.Limits{Tokens: l.Tokens, Calls: l.Calls, ChargeCents: l.ChargeCents}
	if l.WallTime != "" {
		d, err := time.ParseDuration(l.WallTime)
		if err != nil {
			return out, ptr(refuse(http.StatusBadRequest, "bad_member", err.Error(), "body.limits.wall_time"))
		}
		out.WallTime = d
	}
	for _, f := range []struct {
		name  string
		value int64
	}{{"tokens", l.Tokens}, {"calls", l.Calls}, {"charge_cents", l.ChargeCents}, {"wall_time", int64(out.WallTime)}} {
		if f.value < 0 {
			return out, ptr(refuse(http.StatusBadRequest, "bad_member", "want a number from 0 on", "body.limits."+f.name))
		}
	}
	return out, nil
}

func (f *Frontend) openProgram(w http.ResponseWriter, r *http.Request, c caller) {
	key := r.Header.Get("Idempotency-Key")
	if p := checkKey(key); p != nil {
		writeProblem(w, *p, 0)
		return
	}
	var body openRequest
	if p := decodeStrict(r, &body); p != nil {
		writeProblem(w, *p, 0)
		return
	}
	limits, p := body.Limits.check()
	if p == nil {
		p = checkDuty(&body, c)
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	if !f.backend.AcceptsPrograms() {
		writeProblem(w, draining(), time.Second)
		return
	}
	generated := key == ""
	if generated {
		key = newKey()
	}
	ev := program.OpenProgram{
		Program: f.newProgram(c.name(), key, generated),
		Team:    c.name(),
		Duty:    body.Duty,
		Key:     key,
		Limits:  limits,
		Now:     time.Now(),
	}
	if body.Deadline != nil {
		ev.Deadline = *body.Deadline
	}
	f.answer(w, r, ev, key)
}

// checkDuty fills in the default duty and checks that the team may use the duty.
func checkDuty(body *openRequest, c caller) *program.Problem {
	if body.Duty == "" {
		body.Duty = c.team.DefaultDuty
	}
	d := findDuty(c.manifest, body.Duty)
	if d == nil {
		return ptr(refuse(http.StatusBadRequest, "unknown_duty", fmt.Sprintf("no duty %q", body.Duty), "body.duty"))
	}
	if !slices.Contains(d.Teams, c.team.Name) {
		return ptr(refuse(http.StatusForbidden, "duty_not_allowed",
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
		p = checkKey(key)
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
		key = newKey()
	}
	f.answer(w, r, program.OpenBranch{Team: c.name(), Program: prog, Name: body.Name, Parent: body.Parent, Key: key}, key)
}

// withProgram runs a handler with the checked program ID of the path.
func withProgram(w http.ResponseWriter, r *http.Request, h func(id.Program)) {
	prog, p := readProgramID(r.PathValue("id"), "path id")
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	h(prog)
}

func (f *Frontend) readProgram(w http.ResponseWriter, r *http.Request, c caller) {
	withProgram(w, r, func(prog id.Program) {
		f.answer(w, r, program.ReadProgram{Team: c.name(), Program: prog}, "")
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
	withProgram(w, r, func(prog id.Program) {
		f.answer(w, r, program.ReadProgram{Team: c.name(), Program: prog, Branch: branch, History: true}, "")
	})
}

func (f *Frontend) endProgram(w http.ResponseWriter, r *http.Request, c caller) {
	withProgram(w, r, func(prog id.Program) {
		f.answer(w, r, program.EndProgram{Team: c.name(), Program: prog}, "")
	})
}

func (f *Frontend) explain(w http.ResponseWriter, r *http.Request, c caller) {
	withProgram(w, r, func(prog id.Program) {
		f.answer(w, r, program.ExplainProgram{Team: c.name(), Program: prog}, "")
	})
}
