package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
)

// BodyTimeout bounds the time that a caller takes to send a body, so that slow callers hold no memory.
const BodyTimeout = 60 * time.Second

// timedBody gives the reading of a body a deadline. The deadline is cleared at its end: an expired
// one would end the request's context in the middle of a long answer.
type timedBody struct {
	io.ReadCloser
	ctrl *http.ResponseController
	set  bool
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.set {
		b.set = true
		_ = b.ctrl.SetReadDeadline(time.Now().Add(BodyTimeout))
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.ctrl.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readBody reads a bounded body.
func readBody(r *http.Request) ([]byte, *program.Problem) {
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, ptr(refuse(http.StatusRequestEntityTooLarge, "body_too_large",
			fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit), "body"))
	case err != nil:
		return nil, ptr(refuse(http.StatusBadRequest, "body_unreadable", err.Error(), "body"))
	}
	return data, nil
}

// readObject reads a body that is one JSON object and returns its members.
func readObject(r *http.Request) (map[string]json.RawMessage, *program.Problem) {
	data, p := readBody(r)
	if p != nil {
		return nil, p
	}
	return parseObject(data)
}

func parseObject(data []byte) (map[string]json.RawMessage, *program.Problem) {
	dec := json.NewDecoder(bytes.NewReader(data))
	var members map[string]json.RawMessage
	if err := dec.Decode(&members); err != nil {
		return nil, badJSON(err)
	}
	if members == nil {
		return nil, ptr(refuse(http.StatusBadRequest, "bad_json", "the body must be a JSON object", "body"))
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, ptr(refuse(http.StatusBadRequest, "bad_json", "data after the JSON object", fmt.Sprintf("body byte %d", dec.InputOffset())))
	}
	return members, nil
}

func badJSON(err error) *program.Problem {
	place := "body"
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		place = fmt.Sprintf("body byte %d", syntax.Offset)
	case errors.As(err, &mismatch):
		place = fmt.Sprintf("body byte %d", mismatch.Offset)
	}
	return ptr(refuse(http.StatusBadRequest, "bad_json", err.Error(), place))
}

// decodeStrict reads a JSON object into v and refuses unknown members. An empty body is an empty object.
func decodeStrict(r *http.Request, v any) *program.Problem {
	data, p := readBody(r)
	if p != nil {
		return p
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	if _, p := parseObject(data); p != nil {
		return p
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return badJSON(err)
	}
	return nil
}

// digest returns the digest of a request by which a repeated key is compared. The parts are
// separated by their lengths, so two lists of parts never run together.
func digest(parts ...[]byte) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// callHeaders are the header fields that every call may carry.
type callHeaders struct {
	key       string
	seq       uint64
	timeLimit time.Duration
	history   program.HistoryMode
	fromByte  int64
}

func readCallHeaders(r *http.Request) (callHeaders, *program.Problem) {
	h := callHeaders{key: r.Header.Get("Idempotency-Key")}
	if p := checkKey(h.key); p != nil {
		return h, p
	}
	var err error
	if v := r.Header.Get("X-Seq"); v != "" {
		if h.seq, err = strconv.ParseUint(v, 10, 63); err != nil || h.seq == 0 {
			return h, badHeader("X-Seq", "want a number from 1 on")
		}
	}
	if v := r.Header.Get("X-Time-Limit"); v != "" {
		if h.timeLimit, err = time.ParseDuration(v); err != nil || h.timeLimit <= 0 {
			return h, badHeader("X-Time-Limit", "want a positive duration such as 30s")
		}
	}
	switch v := r.Header.Get("X-History"); v {
	case "", "full":
		h.history = program.HistoryFull
	case "append":
		h.history = program.HistoryAppend
	default:
		return h, badHeader("X-History", "want full or append")
	}
	var p *program.Problem
	h.fromByte, p = readFromByte(r)
	return h, p
}

// readFromByte returns where a stream is to be resumed: the query member from_byte, or the header
// Last-Event-ID, which carries the same byte offset.
func readFromByte(r *http.Request) (int64, *program.Problem) {
	v, place := r.URL.Query().Get("from_byte"), "query from_byte"
	if v == "" {
		v, place = r.Header.Get("Last-Event-ID"), "header Last-Event-ID"
	}
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return 0, ptr(refuse(http.StatusBadRequest, "bad_offset", "want a byte offset from 0 on", place))
	}
	return n, nil
}

func checkKey(key string) *program.Problem {
	if len(key) > MaxIdempotencyKeyBytes {
		return badHeader("Idempotency-Key", fmt.Sprintf("longer than %d bytes", MaxIdempotencyKeyBytes))
	}
	return nil
}

func badHeader(name, detail string) *program.Problem {
	return ptr(refuse(http.StatusBadRequest, "bad_header", detail, "header "+name))
}

// checkName checks a name that becomes part of request IDs and cache tags.
func checkName(name, place string) *program.Problem {
	if name == "" || len(name) > MaxNameBytes || strings.ContainsAny(name, "/ \t\r\n\"") {
		return ptr(refuse(http.StatusBadRequest, "bad_name",
			fmt.Sprintf("want 1 to %d bytes without spaces, quotes and slashes", MaxNameBytes), place))
	}
	return nil
}

// readProgramID checks the program ID of a path or header.
func readProgramID(s, place string) (id.Program, *program.Problem) {
	p := id.Program(s)
	if _, err := p.Slot(); err != nil || len(s) > MaxNameBytes {
		return "", ptr(refuse(http.StatusNotFound, "unknown_program", "no such program", place))
	}
	return p, nil
}

// readBranch returns the branch of a path, or the main branch.
func readBranch(r *http.Request) (string, *program.Problem) {
	b := r.PathValue("branch")
	if b == "" {
		return id.MainBranch, nil
	}
	return b, checkName(b, "path branch")
}
