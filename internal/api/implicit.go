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

// SlotForKey returns the slot in which a program is opened under an idempotency key that the caller
// chose. It follows from the key alone, so a repeated key reaches the owner that knows the program
// from any instance.
func SlotForKey(team, key string) id.Slot {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return id.Slot(sum[0] % id.Slots)
}

// newProgram chooses the ID of a new program: in the slot of its key when the caller chose one,
// otherwise in a slot of this instance, which saves the way to another owner.
func (f *Frontend) newProgram(team, key string, generated bool) id.Program {
	slot := SlotForKey(team, key)
	if generated {
		if local, ok := f.backend.LocalSlot(); ok {
			slot = local
		}
	}
	return id.NewProgram(slot, strings.ToLower(rand.Text()))
}

// openedID returns the program of an answer to OpenProgram. A repeated key answers with the program
// that it opened first.
func openedID(body []byte) (id.Program, bool) {
	var opened struct {
		ID id.Program `json:"id"`
	}
	err := json.Unmarshal(body, &opened)
	return opened.ID, err == nil && opened.ID != ""
}

// implicitChat serves a model call without a program: it opens a program of the team's default
// duty, makes the call and ends the program when the call has been answered.
func (f *Frontend) implicitChat(w http.ResponseWriter, r *http.Request, c caller) {
	call, p := readModelCall(r, c)
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	duty := findDuty(c.manifest, c.team.DefaultDuty)
	if duty == nil {
		writeProblem(w, refuse(http.StatusBadRequest, "no_default_duty",
			"the tenant has no default duty; open a program and name it in X-Program", "header X-Program"), 0)
		return
	}
	if !f.backend.AcceptsPrograms() {
		writeProblem(w, draining(), time.Second)
		return
	}
	generated := strings.HasPrefix(call.Key, "auto-")
	call.Program = f.newProgram(call.Team, "implicit:"+call.Key, generated)
	call.Branch = id.MainBranch
	reply, ok := f.ask(r.Context(), program.OpenProgram{
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
	if opened, ok := openedID(reply.Body); ok {
		call.Program = opened
	}
	w.Header().Set("X-Program", string(call.Program))
	box := newMailbox()
	end := program.EndProgram{Team: call.Team, Program: call.Program}
	sink := &endingSink{mailbox: box, keepRefused: !generated, end: func() { f.backend.Submit(end, discard{}) }}
	gone := f.backend.Submit(call, sink)
	if !copyAnswer(r.Context(), w, box, call.Key) {
		gone()
		abort()
	}
}

// endingSink ends an implicit program when its call has ended. The call goes on after its caller
// left, and so does the sink. A call that was refused unrun under the caller's own key keeps its
// program, so that the caller can repeat it.
type endingSink struct {
	*mailbox
	keepRefused bool
	end         func()
}

// Reply implements Sink.
func (s *endingSink) Reply(r program.Reply) {
	s.mailbox.Reply(r)
	s.finish(answer{reply: &r})
}

// StreamEnd implements Sink.
func (s *endingSink) StreamEnd(e program.StreamEnd) {
	s.mailbox.StreamEnd(e)
	s.finish(answer{end: &e})
}

func (s *endingSink) finish(a answer) {
	if _, executed := executedOf(a); executed == record.ExecutedNo && s.keepRefused {
		return
	}
	// The backend calls sinks from its own loop and must not be called back from there.
	go s.end()
}

// discard is a Sink for requests whose answer nobody waits for.
type discard struct{}

func (discard) Reply(program.Reply)           {}
func (discard) StreamData(program.StreamData) {}
func (discard) StreamEnd(program.StreamEnd)   {}

func findDuty(m *manifest.Manifest, name string) *manifest.Duty {
	for i := range m.Duties {
		if m.Duties[i].Name == name {
			return &m.Duties[i]
		}
	}
	return nil
}

func draining() program.Problem {
	return refuse(http.StatusServiceUnavailable, "draining", "this instance is shutting down", "")
}
