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
		line, err := r.br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if err == io.EOF && len(bytes.TrimSpace(e.raw)) > 0 {
				return e, errCutEvent
			}
			return e, err
		}
		if len(e.raw) > maxEventBytes {
			return e, bufio.ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			rest, err := r.br.ReadBytes('\n')
			e.raw = append(e.raw, rest...)
			if err != nil {
				return e, errCutEvent
			}
			line = append(append([]byte(nil), line...), rest...)
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
