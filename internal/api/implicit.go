package api

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// SlotForKey returns the slot for a program that is opened under an idempotency key of the caller. The
// slot depends only on the team and the key, so that a repeated request reaches the owner of the
// program from any instance.
func SlotForKey(team, key string) id.Slot {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return id.Slot(sum[0] % id.Slots)
}

// newProgramID generates the ID of a new program. If the caller sent an idempotency key, the program
// goes into the slot of the key. With a generated key it goes into a slot that this instance owns, if
// there is one, so that its requests needn't be forwarded to another instance.
func (f *Frontend) newProgramID(team, key string, generated bool) id.Program {
	slot := SlotForKey(team, key)
	if generated {
		if local, ok := f.backend.LocalSlot(); ok {
			slot = local
		}
	}
	return id.NewProgram(slot, strings.ToLower(rand.Text()))
}

// openedProgram returns the program ID from the answer to OpenProgram. If the idempotency key is
// repeated, this is the program that the first request opened.
func openedProgram(body []byte) (id.Program, bool) {
	var opened struct {
		ID id.Program `json:"id"`
	}
	err := json.Unmarshal(body, &opened)
	return opened.ID, err == nil && opened.ID != ""
}

// implicitChat serves a model call without a program. It opens a program of the team's default duty,
// submits the call and ends the program when the call has been answered.
func (f *Frontend) implicitChat(w http.ResponseWriter, r *http.Request, c caller) {
	call, p := readModelCall(r, c)
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	duty := findDuty(c.manifest, c.team.DefaultDuty)
	if duty == nil {
		writeProblem(w, refusal(http.StatusBadRequest, "no_default_duty",
			"the tenant has no default duty; open a program and name it in X-Program", "header X-Program"), 0)
		return
	}
	if !f.backend.AcceptsPrograms() {
		writeProblem(w, drainingProblem(), time.Second)
		return
	}
	generated := strings.HasPrefix(call.Key, "auto-")
	call.Program = f.newProgramID(call.Team, "implicit:"+call.Key, generated)
	call.Branch = id.MainBranch
	reply, ok := f.submitAndWait(r.Context(), program.OpenProgram{
		Program: call.Program,
		Team:    call.Team,
		Duty:    duty.Name,
		Key:     "implicit:" + call.Key,
		Limits:  record.Limits{WallTime: ImplicitWallTime},
		Now:     time.Now(),
	})
	if !ok {
		abort()
	}
	if reply.Problem != nil {
		writeReply(w, reply)
		return
	}
	if opened, ok := openedProgram(reply.Body); ok {
		call.Program = opened
	}
	w.Header().Set("X-Program", string(call.Program))
	answers := newAnswerQueue()
	end := program.EndProgram{Team: call.Team, Program: call.Program}
	sink := &endingSink{answerQueue: answers, keepIfNotExecuted: !generated, endProgram: func() { f.backend.Submit(end, discardSink{}) }}
	callerGone := f.backend.Submit(call, sink)
	if !writeAnswer(r.Context(), w, answers, call.Key) {
		callerGone()
		abort()
	}
}

// endingSink ends an implicit program when its call has ended, even if the caller disconnected before,
// because the call continues without its caller. If the call was not executed and has an idempotency
// key of the caller, the program stays open, so that the caller can repeat the call.
type endingSink struct {
	*answerQueue
	keepIfNotExecuted bool
	endProgram        func()
}

// Reply implements Sink.
func (s *endingSink) Reply(r program.Reply) {
	s.answerQueue.Reply(r)
	s.answered(answerPart{reply: &r})
}

// StreamEnd implements Sink.
func (s *endingSink) StreamEnd(e program.StreamEnd) {
	s.answerQueue.StreamEnd(e)
	s.answered(answerPart{end: &e})
}

func (s *endingSink) answered(a answerPart) {
	if _, executed := executedOf(a); executed == record.ExecutedNo && s.keepIfNotExecuted {
		return
	}
	// The backend calls sinks from its event loop and must not be called from there.
	go s.endProgram()
}

// discardSink is a Sink for requests whose answer is not used.
type discardSink struct{}

func (discardSink) Reply(program.Reply)           {}
func (discardSink) StreamData(program.StreamData) {}
func (discardSink) StreamEnd(program.StreamEnd)   {}

func findDuty(m *manifest.Manifest, name string) *manifest.Duty {
	for i := range m.Duties {
		if m.Duties[i].Name == name {
			return &m.Duties[i]
		}
	}
	return nil
}

func drainingProblem() program.Problem {
	return refusal(http.StatusServiceUnavailable, "draining", "this instance is shutting down", "")
}
