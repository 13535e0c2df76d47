package api

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// chatRequest is a checked chat completion request.
type chatRequest struct {
	model     string
	messages  []record.Message
	maxTokens int64
	stream    bool
	params    []byte // JSON object of the members that are passed to the engine unread
	digest    uint64
}

// roles that a message may have.
var roles = map[string]bool{
	"system": true, "developer": true, "user": true, "assistant": true, "tool": true, "function": true,
}

func parseChat(members map[string]json.RawMessage) (chatRequest, *program.Problem) {
	var c chatRequest
	whole, err := json.Marshal(members)
	if err != nil {
		return c, badJSON(err)
	}
	c.digest = digest(whole)
	if p := take(members, "model", &c.model); p != nil {
		return c, p
	}
	if p := checkName(c.model, "body.model"); p != nil {
		return c, p
	}
	if p := take(members, "stream", &c.stream); p != nil {
		return c, p
	}
	if p := c.takeMaxTokens(members); p != nil {
		return c, p
	}
	if p := c.takeMessages(members); p != nil {
		return c, p
	}
	if p := checkChoices(members); p != nil {
		return c, p
	}
	c.params, err = json.Marshal(members)
	if err != nil {
		return c, badJSON(err)
	}
	return c, nil
}

// take decodes a member and removes it, so that the remaining members can be passed on. A missing
// member and null leave v as it is.
func take(members map[string]json.RawMessage, name string, v any) *program.Problem {
	raw, ok := members[name]
	if !ok {
		return nil
	}
	delete(members, name)
	if err := json.Unmarshal(raw, v); err != nil {
		return ptr(refuse(http.StatusBadRequest, "bad_member", err.Error(), "body."+name))
	}
	return nil
}

// takeMaxTokens reads max_completion_tokens or its older name max_tokens.
func (c *chatRequest) takeMaxTokens(members map[string]json.RawMessage) *program.Problem {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n *int64
		if p := take(members, name, &n); p != nil {
			return p
		}
		if n == nil {
			continue
		}
		if *n <= 0 {
			return ptr(refuse(http.StatusBadRequest, "bad_member", "want a number from 1 on", "body."+name))
		}
		c.maxTokens = *n
	}
	return nil
}

func (c *chatRequest) takeMessages(members map[string]json.RawMessage) *program.Problem {
	var raw []json.RawMessage
	if p := take(members, "messages", &raw); p != nil {
		return p
	}
	if len(raw) == 0 {
		return ptr(refuse(http.StatusBadRequest, "bad_member", "want at least one message", "body.messages"))
	}
	for i, m := range raw {
		place := fmt.Sprintf("body.messages[%d]", i)
		var head struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(m, &head); err != nil {
			return ptr(refuse(http.StatusBadRequest, "bad_member", err.Error(), place))
		}
		if !roles[head.Role] {
			return ptr(refuse(http.StatusBadRequest, "bad_member", fmt.Sprintf("unknown role %q", head.Role), place+".role"))
		}
		// Compact form, so that white space makes no difference to the history check.
		var buf bytes.Buffer
		if err := json.Compact(&buf, m); err != nil {
			return badJSON(err)
		}
		c.messages = append(c.messages, record.Message{Raw: buf.Bytes()})
	}
	return nil
}

// checkChoices refuses requests for several answers: a turn has one.
func checkChoices(members map[string]json.RawMessage) *program.Problem {
	n := int64(1)
	if p := take(members, "n", &n); p != nil {
		return p
	}
	if n != 1 {
		return ptr(refuse(http.StatusBadRequest, "bad_member", "one choice per call is supported", "body.n"))
	}
	return nil
}

// programChat serves a model call of a program named in the path.
func (f *Frontend) programChat(w http.ResponseWriter, r *http.Request, c caller) {
	prog, p := readProgramID(r.PathValue("id"), "path id")
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	branch, p := readBranch(r)
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	f.modelCall(w, r, c, prog, branch)
}

// chat serves the path that common client libraries use. The program is named by X-Program;
// without it, the call gets a program of its own.
func (f *Frontend) chat(w http.ResponseWriter, r *http.Request, c caller) {
	name := r.Header.Get("X-Program")
	branch := r.Header.Get("X-Branch")
	if name == "" {
		if branch != "" {
			writeProblem(w, *badHeader("X-Branch", "a branch needs X-Program"), 0)
			return
		}
		f.implicitChat(w, r, c)
		return
	}
	prog, p := readProgramID(name, "header X-Program")
	if p == nil && branch != "" {
		p = checkName(branch, "header X-Branch")
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	if branch == "" {
		branch = id.MainBranch
	}
	f.modelCall(w, r, c, prog, branch)
}

func (f *Frontend) modelCall(w http.ResponseWriter, r *http.Request, c caller, prog id.Program, branch string) {
	call, p := readModelCall(r, c)
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	call.Program, call.Branch = prog, branch
	w.Header().Set("X-Program", string(prog))
	f.answer(w, r, call, call.Key)
}

// readModelCall reads a chat completion request; program and branch are left to the caller.
func readModelCall(r *http.Request, c caller) (program.ModelCall, *program.Problem) {
	head, p := readCallHeaders(r)
	if p != nil {
		return program.ModelCall{}, p
	}
	members, p := readObject(r)
	if p != nil {
		return program.ModelCall{}, p
	}
	req, p := parseChat(members)
	if p != nil {
		return program.ModelCall{}, p
	}
	if head.key == "" {
		head.key = newKey()
	}
	return program.ModelCall{
		Team:      c.name(),
		Key:       head.key,
		Seq:       head.seq,
		Digest:    req.digest,
		Model:     req.model,
		Messages:  req.messages,
		History:   head.history,
		MaxTokens: req.maxTokens,
		Params:    req.params,
		Stream:    req.stream,
		FromByte:  head.fromByte,
		TimeLimit: head.timeLimit,
	}, nil
}

// newKey returns the key of a call whose caller sent none.
func newKey() string { return "auto-" + rand.Text() }
