package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"ragwortstile/internal/endpoint"
)

// maxEventBytes is the size limit of one event of a stream.
const maxEventBytes = 1 << 20

// Errors of StreamParser. ErrMalformed applies to all other answers too.
var (
	// ErrMalformed means that an answer does not follow the protocol.
	ErrMalformed = errors.New("malformed answer")
	// ErrStreamFailed means that the engine ended a stream with an error event.
	ErrStreamFailed = errors.New("engine reported an error in the stream")
	// ErrIncomplete means that a stream ended before its [DONE] event.
	ErrIncomplete = errors.New("stream ended before [DONE]")
)

// doneMarker is the data of the event that ends a chat completion stream.
const doneMarker = "[DONE]"

// Usage holds the token counts of a completion. They are never negative.
type Usage struct {
	PromptTokens int64
	CachedTokens int64 // prompt tokens that were found in the cache
	OutputTokens int64
}

// StreamParser parses the server-sent events of a chat completion from the first byte of the stream on.
// The zero value is ready to use.
type StreamParser struct {
	offset  int64  // bytes consumed
	line    []byte // line that is not yet complete
	data    []byte // data lines of the event that is not yet complete
	hasData bool   // the event has a data line
	lastCR  bool   // the last byte was a CR; an LF after it belongs to the same line end

	content    []byte
	hasContent bool // a content delta has arrived
	refusal    []byte
	toolCalls  []*toolCall
	deltas     int64
	usage      Usage
	hasUsage   bool
	done       bool
	err        error
}

// Offset returns the number of bytes consumed so far.
func (s *StreamParser) Offset() int64 { return s.offset }

// Done reports whether the [DONE] event has arrived.
func (s *StreamParser) Done() bool { return s.done }

// Deltas returns the number of events that carried a part of the answer. The answer has at least as many
// tokens.
func (s *StreamParser) Deltas() int64 { return s.deltas }

// Usage returns the usage that the engine reported. If it reported none, the number of deltas is the
// estimate for the output tokens.
func (s *StreamParser) Usage() Usage {
	if s.hasUsage {
		return s.usage
	}
	return Usage{OutputTokens: s.deltas}
}

// Feed parses the next bytes of the stream. Bytes after [DONE] are ignored. Errors: ErrMalformed,
// ErrStreamFailed and endpoint.ErrTooLarge; after an error, further calls parse nothing and return it
// again.
func (s *StreamParser) Feed(p []byte) error {
	if s.err != nil {
		return s.err
	}
	s.offset += int64(len(p))
	s.err = s.feed(p)
	return s.err
}

func (s *StreamParser) feed(p []byte) error {
	for len(p) > 0 && !s.done {
		if s.lastCR && p[0] == '\n' {
			s.lastCR = false
			p = p[1:]
			continue
		}
		s.lastCR = false
		end := bytes.IndexAny(p, "\r\n")
		if end < 0 {
			return s.appendToLine(p)
		}
		if err := s.appendToLine(p[:end]); err != nil {
			return err
		}
		s.lastCR = p[end] == '\r'
		p = p[end+1:]
		if err := s.endLine(); err != nil {
			return err
		}
	}
	return nil
}

func (s *StreamParser) appendToLine(p []byte) error {
	if len(s.line)+len(s.data)+len(p) > maxEventBytes {
		return fmt.Errorf("event above %d bytes: %w", maxEventBytes, endpoint.ErrTooLarge)
	}
	s.line = append(s.line, p...)
	return nil
}

// endLine processes a complete line. It ignores fields other than data, which carry nothing of a
// completion.
func (s *StreamParser) endLine() error {
	line := s.line
	s.line = s.line[:0]
	if len(line) == 0 {
		return s.endEvent()
	}
	field, value, _ := bytes.Cut(line, []byte(":"))
	if string(field) != "data" {
		return nil
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	s.hasData = true
	return nil
}

func (s *StreamParser) endEvent() error {
	if !s.hasData {
		return nil
	}
	data := s.data
	s.data = s.data[:0]
	s.hasData = false
	if string(data) == doneMarker {
		s.done = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: event before byte %d is not a valid chunk", ErrMalformed, s.offset)
	}
	if c.Error != nil {
		return ErrStreamFailed
	}
	return s.addChunk(c)
}

// chunk is one event of a chat completion stream.
type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   *string     `json:"content"`
			Refusal   *string     `json:"refusal"`
			ToolCalls []toolDelta `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *wireUsage      `json:"usage"`
	Error json.RawMessage `json:"error"`
}

type wireUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u wireUsage) usage() Usage {
	prompt := max(0, u.PromptTokens)
	return Usage{
		PromptTokens: prompt,
		CachedTokens: min(max(0, u.PromptDetails.CachedTokens), prompt),
		OutputTokens: max(0, u.CompletionTokens),
	}
}

type toolDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// addChunk adds a chunk to the message. It ignores all choices but the first, because the history of a
// branch has one answer per turn.
func (s *StreamParser) addChunk(c chunk) error {
	if c.Usage != nil {
		s.usage = c.Usage.usage()
		s.hasUsage = true
	}
	for _, choice := range c.Choices {
		if choice.Index != 0 {
			continue
		}
		d := choice.Delta
		part := len(d.ToolCalls) > 0
		if d.Content != nil {
			s.hasContent = true
			s.content = append(s.content, *d.Content...)
			part = part || *d.Content != ""
		}
		if d.Refusal != nil {
			s.refusal = append(s.refusal, *d.Refusal...)
			part = part || *d.Refusal != ""
		}
		if part {
			s.deltas++
		}
		for _, t := range d.ToolCalls {
			if err := s.addToolDelta(t); err != nil {
				return err
			}
		}
	}
	return nil
}

// addToolDelta adds a part to a tool call. The first part of a tool call has the next unused index.
func (s *StreamParser) addToolDelta(t toolDelta) error {
	if t.Index < 0 || t.Index > len(s.toolCalls) {
		return fmt.Errorf("%w: tool call index %d after %d calls", ErrMalformed, t.Index, len(s.toolCalls))
	}
	if t.Index == len(s.toolCalls) {
		s.toolCalls = append(s.toolCalls, &toolCall{Type: "function"})
	}
	call := s.toolCalls[t.Index]
	if t.ID != "" {
		call.ID = t.ID
	}
	if t.Type != "" {
		call.Type = t.Type
	}
	call.Function.Name += t.Function.Name
	call.Function.Arguments += t.Function.Arguments
	return nil
}

// Message returns the JSON of the assistant message. It fails with ErrIncomplete before [DONE].
func (s *StreamParser) Message() ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	if !s.done {
		return nil, ErrIncomplete
	}
	m := struct {
		Role      string      `json:"role"`
		Content   *string     `json:"content"`
		Refusal   string      `json:"refusal,omitempty"`
		ToolCalls []*toolCall `json:"tool_calls,omitempty"`
	}{Role: "assistant", Refusal: string(s.refusal), ToolCalls: s.toolCalls}
	if s.hasContent {
		text := string(s.content)
		m.Content = &text
	}
	return marshal(m)
}

// marshal encodes JSON without escaping HTML characters, so that messages keep their text as the engine
// sent it.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// completion holds the fields of a chat completion without streaming that the client reads.
type completion struct {
	Choices []struct {
		Message json.RawMessage `json:"message"`
	} `json:"choices"`
	Usage wireUsage `json:"usage"`
}

// parseCompletion returns the message and the usage of a completion without streaming.
func parseCompletion(body []byte) ([]byte, Usage, error) {
	var a completion
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, Usage{}, fmt.Errorf("%w: completion is not valid JSON", ErrMalformed)
	}
	if len(a.Choices) == 0 || len(a.Choices[0].Message) == 0 || a.Choices[0].Message[0] != '{' {
		return nil, Usage{}, fmt.Errorf("%w: completion has no message", ErrMalformed)
	}
	return a.Choices[0].Message, a.Usage.usage(), nil
}
