package api

import (
	"bytes"
	"encoding/json"
	"net/http"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// serviceCall serves POST .../services/{service}/{operation}. The body must be JSON or empty; it is
// forwarded unchanged.
func (f *Frontend) serviceCall(w http.ResponseWriter, r *http.Request, c caller) {
	prog, p := readProgramID(r.PathValue("id"), "path id")
	var branch string
	if p == nil {
		branch, p = readBranch(r)
	}
	service, operation := r.PathValue("service"), r.PathValue("operation")
	if p == nil {
		p = checkName(service, "path service")
	}
	if p == nil {
		p = checkName(operation, "path operation")
	}
	var headers callHeaders
	if p == nil {
		headers, p = readCallHeaders(r)
	}
	var body []byte
	if p == nil {
		body, p = readBody(r)
	}
	if p == nil && len(bytes.TrimSpace(body)) > 0 && !json.Valid(body) {
		p = ptr(refusal(http.StatusBadRequest, "bad_json", "the body is not valid JSON", "body"))
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	if headers.key == "" {
		headers.key = newIdempotencyKey()
	}
	w.Header().Set("X-Program", string(prog))
	f.submitAndWrite(w, r, program.ServiceCall{
		Team:      c.teamName(),
		Program:   prog,
		Branch:    branch,
		Key:       headers.key,
		Seq:       headers.seq,
		Digest:    requestDigest([]byte(service), []byte(operation), body),
		Service:   service,
		Operation: operation,
		Body:      body,
		TimeLimit: headers.timeLimit,
	}, headers.key)
}

// joinCall serves the recorded answer to the call with the given idempotency key, or the rest of its
// stream.
func (f *Frontend) joinCall(w http.ResponseWriter, r *http.Request, c caller) {
	key := r.PathValue("key")
	p := checkIdempotencyKey(key)
	var from int64
	if p == nil {
		from, p = readFromByte(r)
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	withProgramID(w, r, func(prog id.Program) {
		w.Header().Set("X-Program", string(prog))
		f.submitAndWrite(w, r, program.JoinCall{Team: c.teamName(), Program: prog, Key: key, FromByte: from}, key)
	})
}

// settleRequest is the body of POST .../calls/{key}/settle.
type settleRequest struct {
	Executed string          `json:"executed"`
	Body     json.RawMessage `json:"body"`
}

func (f *Frontend) settleCall(w http.ResponseWriter, r *http.Request, c caller) {
	key := r.PathValue("key")
	p := checkIdempotencyKey(key)
	var body settleRequest
	if p == nil {
		p = decodeStrict(r, &body)
	}
	executed := record.ExecutedNo
	switch body.Executed {
	case "yes":
		executed = record.ExecutedYes
	case "no":
	default:
		if p == nil {
			p = ptr(refusal(http.StatusBadRequest, "bad_member", "want yes or no", "body.executed"))
		}
	}
	if p != nil {
		writeProblem(w, *p, 0)
		return
	}
	withProgramID(w, r, func(prog id.Program) {
		f.submitAndWrite(w, r, program.SettleCall{Team: c.teamName(), Program: prog, Key: key, Executed: executed, Body: body.Body}, key)
	})
}
