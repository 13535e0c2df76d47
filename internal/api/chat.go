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

// chatRequest is a validated chat completion request.
type chatRequest struct {
	model     string
	messages  []record.Message
	maxTokens int64
	stream    bool
	params    []byte // JSON object of the other members, which go to the engine unchanged
	digest    uint64
}

// roles are the valid roles of a message.
var roles = map[string]bool{
	"system": true, "developer": true, "user": true, "assistant": true, "tool": true, "function": true,
}

func parseChat(members map[string]json.RawMessage) (chatRequest, *program.Problem) {
	var c chatRequest
	normalized, err := json.Marshal(members)
	if err != nil {
		return c, badJSON(err)
	}
	c.digest = requestDigest(normalized)
	if p := popMember(members, "model", &c.model); p != nil {
		return c, p
	}
	if p := checkName(c.model, "body.model"); p != nil {
		return c, p
	}
	if p := popMember(members, "stream", &c.stream); p != nil {
		return c, p
	}
	if p := c.popMaxTokens(members); p != nil {
		return c, p
	}
	if p := c.popMessages(members); p != nil {
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

// popMember decodes a member into v and removes it from members; what remains is forwarded to the
// engine. If the member is missing or null, v is unchanged.
func popMember(members map[string]json.RawMessage, name string, v any) *program.Problem {
	raw, ok := members[name]
	if !ok {
		return nil
	}
	delete(members, name)
	if err := json.Unmarshal(raw, v); err != nil {
		return ptr(refusal(http.StatusBadRequest, "bad_member", err.Error(), "body."+name))
	}
	return nil
}

// popMaxTokens reads max_completion_tokens or its older name max_tokens.
func (c *chatRequest) popMaxTokens(members map[string]json.RawMessage) *program.Problem {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var n *int64
		if p := popMember(members, name, &n); p != nil {
			return p
		}
		if n == nil {
			continue
		}
		if *n <= 0 {
			return ptr(refusal(http.StatusBadRequest, "bad_member", "want a number from 1 on", "body."+name))
		}
		c.maxTokens = *n
	}
	return nil
}

func (c *chatRequest) popMessages(members map[string]json.RawMessage) *program.Problem {
	var raw []json.RawMessage
	if p := popMember(members, "messages", &raw); p != nil {
		return p
	}
	if len(raw) == 0 {
		return ptr(refusal(http.StatusBadRequest, "bad_member", "want at least one message", "body.messages"))
	}
	for i, m := range raw {
		place := fmt.Sprintf("body.messages[%d]", i)
		var message struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(m, &message); err != nil {
			return ptr(refusal(http.StatusBadRequest, "bad_member", err.Error(), place))
		}
		if !roles[message.Role] {
			return ptr(refusal(http.StatusBadRequest, "bad_member", fmt.Sprintf("unknown role %q", message.Role), place+".role"))
		}
		// The compact form keeps white space out of the comparison with the recorded history.
		var buf bytes.Buffer
		if err := json.Compact(&buf, m); err != nil {
			return badJSON(err)
		}
		c.messages = append(c.messages, record.Message{Raw: buf.Bytes()})
	}
	return nil
}

// checkChoices rejects requests for more than one choice, because a turn has one answer.
func checkChoices(members map[string]json.RawMessage) *program.Problem {
	n := int64(1)
	if p := popMember(members, "n", &n); p != nil {
		return p
	}
	if n != 1 {
		return ptr(refusal(http.StatusBadRequest, "bad_member", "one choice per call is supported", "body.n"))
	}
	return nil
}

// programChat serves a model call of the program in the path.
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

// chat serves POST /v1/chat/completions, the path that common client libraries use. The header
// X-Program gives the program; without it, a program is opened for this call alone.
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
	f.submitAndWrite(w, r, call, call.Key)
}

// readModelCall reads a chat completion request. It doesn't set the program and the branch.
func readModelCall(r *http.Request, c caller) (program.ModelCall, *program.Problem) {
	headers, p := readCallHeaders(r)
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
	if headers.key == "" {
		headers.key = newIdempotencyKey()
	}
	return program.ModelCall{
		Team:      c.teamName(),
		Key:       headers.key,
		Seq:       headers.seq,
		Digest:    req.digest,
		Model:     req.model,
		Messages:  req.messages,
		History:   headers.history,
		MaxTokens: req.maxTokens,
		Params:    req.params,
		Stream:    req.stream,
		FromByte:  headers.fromByte,
		TimeLimit: headers.timeLimit,
	}, nil
}

// newIdempotencyKey generates a key for a request without one.
func newIdempotencyKey() string { return "auto-" + rand.Text() }
