package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event of a stream, with the blank lines before it. Events of endpoints are under 1 KB.
const maxEventBytes = 64 << 10

// errTruncatedEvent reports that a stream ended within an event.
var errTruncatedEvent = fmt.Errorf("stream ended within an event: %w", io.ErrUnexpectedEOF)

// eventReader splits a stream of server-sent events without changing its bytes.
type eventReader struct{ br *bufio.Reader }

// event is one event: its bytes as received, the joined values of its data fields, and its ID.
type event struct {
	raw  []byte
	data []byte
	id   string // of the last id field; empty if there is none
}

// empty reports whether the event carries nothing, like the comments that keep a connection alive.
func (e event) empty() bool { return e.id == "" && e.data == nil }

// next returns the next event, including the blank line that ends it. At the end of the stream it returns io.EOF
// and the blank lines that remained.
func (r *eventReader) next() (event, error) {
	var e event
	hasField, hasData := false, false
	for {
		line, err := r.line(&e)
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(e.raw)) > 0 {
				return e, errTruncatedEvent
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if hasField {
				return e, nil
			}
			continue // blank lines before an event belong to its raw bytes
		}
		hasField = true
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		if value, ok := bytes.CutPrefix(text, []byte("data:")); ok {
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
			if e.data == nil {
				e.data = []byte{}
			}
			hasData = true
		}
	}
}

// line appends the next line of the stream to e.raw and returns it as a slice of e.raw.
func (r *eventReader) line(e *event) ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := r.br.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.raw[start:], err
		}
	}
}
