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

// BodyTimeout limits the time that a caller may take to send a body. Without it, slow callers would
// tie up memory.
const BodyTimeout = 60 * time.Second

// deadlineBody sets a read deadline at the first read of a request body and clears it at the end of
// the body. If the deadline stayed set, its expiry would cancel the request's context in the middle
// of a long answer.
type deadlineBody struct {
	io.ReadCloser
	ctrl        *http.ResponseController
	deadlineSet bool
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.deadlineSet {
		b.deadlineSet = true
		_ = b.ctrl.SetReadDeadline(time.Now().Add(BodyTimeout))
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.ctrl.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readBody reads the whole body, whose size is limited by http.MaxBytesReader.
func readBody(r *http.Request) ([]byte, *program.Problem) {
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, ptr(refusal(http.StatusRequestEntityTooLarge, "body_too_large",
			fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit), "body"))
	case err != nil:
		return nil, ptr(refusal(http.StatusBadRequest, "body_unreadable", err.Error(), "body"))
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
		return nil, ptr(refusal(http.StatusBadRequest, "bad_json", "the body must be a JSON object", "body"))
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, ptr(refusal(http.StatusBadRequest, "bad_json", "data after the JSON object", fmt.Sprintf("body byte %d", dec.InputOffset())))
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
	return ptr(refusal(http.StatusBadRequest, "bad_json", err.Error(), place))
}

// decodeStrict decodes a body that is one JSON object into v and rejects unknown members. An empty
// body leaves v unchanged.
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

// requestDigest returns a hash of the content of a request. It shows whether a repeated idempotency
// key comes with the same request. Each part is hashed after its length, so that different lists of
// parts whose concatenation is equal give different input.
func requestDigest(parts ...[]byte) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// callHeaders are the values of the header fields that each call may have.
type callHeaders struct {
	key       string
	seq       uint64
	timeLimit time.Duration
	history   program.HistoryMode
	fromByte  int64
}

func readCallHeaders(r *http.Request) (callHeaders, *program.Problem) {
	h := callHeaders{key: r.Header.Get("Idempotency-Key")}
	if p := checkIdempotencyKey(h.key); p != nil {
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

// readFromByte returns the byte offset from which a stream is to be resumed. It comes from the query
// parameter from_byte or, without it, from the header Last-Event-ID.
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
		return 0, ptr(refusal(http.StatusBadRequest, "bad_offset", "want a byte offset from 0 on", place))
	}
	return n, nil
}

func checkIdempotencyKey(key string) *program.Problem {
	if len(key) > MaxIdempotencyKeyBytes {
		return badHeader("Idempotency-Key", fmt.Sprintf("longer than %d bytes", MaxIdempotencyKeyBytes))
	}
	return nil
}

func badHeader(name, detail string) *program.Problem {
	return ptr(refusal(http.StatusBadRequest, "bad_header", detail, "header "+name))
}

// checkName validates a name that becomes part of request IDs and cache tags.
func checkName(name, place string) *program.Problem {
	if name == "" || len(name) > MaxNameBytes || strings.ContainsAny(name, "/ \t\r\n\"") {
		return ptr(refusal(http.StatusBadRequest, "bad_name",
			fmt.Sprintf("want 1 to %d bytes without spaces, quotes and slashes", MaxNameBytes), place))
	}
	return nil
}

// readProgramID validates a program ID from a path or header.
func readProgramID(s, place string) (id.Program, *program.Problem) {
	p := id.Program(s)
	if _, err := p.Slot(); err != nil || len(s) > MaxNameBytes {
		return "", ptr(refusal(http.StatusNotFound, "unknown_program", "no such program", place))
	}
	return p, nil
}

// readBranch returns the branch in the path, or the main branch if the path has none.
func readBranch(r *http.Request) (string, *program.Problem) {
	b := r.PathValue("branch")
	if b == "" {
		return id.MainBranch, nil
	}
	return b, checkName(b, "path branch")
}
