package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream. Theirs have under 1 KB.
const maxEventBytes = 1 << 20

// errCutEvent means that a stream ended within an event.
var errCutEvent = errors.New("stream ended within an event")

// eventReader splits a stream of server-sent events.
type eventReader struct{ br *bufio.Reader }

// event is one event: its bytes as they came, and its data.
type event struct {
	raw  []byte
	data []byte
}

// next returns the next event with its closing blank line. At the end of the stream it returns io.EOF and
// what blank lines were left.
func (r *eventReader) next() (event, error) {
	var e event
	hasField, hasData := false, false
	for {
		line, err := r.line(&e)
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(e.raw)) > 0 {
				return e, errCutEvent
			}
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if hasField {
				return e, nil
			}
			continue // blank lines before an event go with it
		}
		hasField = true
		if value, ok := bytes.CutPrefix(text, []byte("data:")); ok {
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
			hasData = true
		}
	}
}

// line reads a line into the event's bytes and returns it, as a part of them.
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
