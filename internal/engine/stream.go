package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"ragwortstile/internal/endpoint"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Errors of Stream.
var (
	// ErrMalformed means that an answer does not follow the protocol.
	ErrMalformed = errors.New("malformed answer")
	// ErrStreamFailed means that the engine ended a stream with an error event.
	ErrStreamFailed = errors.New("engine reported an error in the stream")
	// ErrIncomplete means that a stream ended before its [DONE] event.
	ErrIncomplete = errors.New("stream ended before [DONE]")
)

// doneData is the data of the event that ends a chat completion stream.
const doneData = "[DONE]"

// Usage counts the tokens of a completion. They are never negative.
type Usage struct {
	PromptTokens int64
	CachedTokens int64 // prompt tokens that were found in the cache
	OutputTokens int64
}

// StreamParser parses a chat completion event stream from its first byte on. The zero value is ready.
type StreamParser struct {
	offset int64  // bytes taken
	line   []byte // line that is not yet ended
	data   []byte // data lines of the event that is not yet ended
	has    bool   // the event has a data line
	cr     bool   // the last byte was a CR

	content  []byte
	text     bool // a content delta was seen
	refusal  []byte
	tools    []*toolCall
	deltas   int64
	usage    Usage
	hasUsage bool
	done     bool
	err      error
}

// Offset returns the number of bytes taken so far.
func (s *StreamParser) Offset() int64 { return s.offset }

// Done reports whether the [DONE] event was seen.
func (s *StreamParser) Done() bool { return s.done }

// Deltas returns the number of events that brought a part of the answer. The answer has at least as
// many tokens.
func (s *StreamParser) Deltas() int64 { return s.deltas }

// Usage returns the engine's usage. Without one, the output is estimated by the number of deltas.
func (s *StreamParser) Usage() Usage {
	if s.hasUsage {
		return s.usage
	}
	return Usage{OutputTokens: s.deltas}
}

// Feed takes the next bytes. After an error it takes nothing more. Errors: ErrMalformed,
// ErrStreamFailed, endpoint.ErrTooLarge. Bytes after [DONE] are ignored.
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
		if s.cr && p[0] == '\n' {
			s.cr = false
			p = p[1:]
			continue
		}
		s.cr = false
		end := bytes.IndexAny(p, "\r\n")
		if end < 0 {
			return s.extend(p)
		}
		if err := s.extend(p[:end]); err != nil {
			return err
		}
		s.cr = p[end] == '\r'
		p = p[end+1:]
		if err := s.endLine(); err != nil {
			return err
		}
	}
	return nil
}

func (s *StreamParser) extend(p []byte) error {
	if len(s.line)+len(s.data)+len(p) > maxEventBytes {
		return fmt.Errorf("event above %d bytes: %w", maxEventBytes, endpoint.ErrTooLarge)
	}
	s.line = append(s.line, p...)
	return nil
}

// endLine takes a whole line. Fields other than data carry nothing of a completion.
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
	if s.has {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	s.has = true
	return nil
}

func (s *StreamParser) endEvent() error {
	if !s.has {
		return nil
	}
	data := s.data
	s.data = s.data[:0]
	s.has = false
	if string(data) == doneData {
		s.done = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: event before byte %d is no chunk", ErrMalformed, s.offset)
	}
	if c.Error != nil {
		return ErrStreamFailed
	}
	return s.take(c)
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

// take adds a chunk. The history of a branch has one answer per turn, so only choice 0 counts.
func (s *StreamParser) take(c chunk) error {
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
			s.text = true
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
			if err := s.takeTool(t); err != nil {
				return err
			}
		}
	}
	return nil
}

// takeTool joins the parts of a tool call. A new call has the next index.
func (s *StreamParser) takeTool(t toolDelta) error {
	if t.Index < 0 || t.Index > len(s.tools) {
		return fmt.Errorf("%w: tool call %d after %d calls", ErrMalformed, t.Index, len(s.tools))
	}
	if t.Index == len(s.tools) {
		s.tools = append(s.tools, &toolCall{Type: "function"})
	}
	call := s.tools[t.Index]
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
	}{Role: "assistant", Refusal: string(s.refusal), ToolCalls: s.tools}
	if s.text {
		text := string(s.content)
		m.Content = &text
	}
	return marshal(m)
}

// marshal encodes without escaping HTML characters, so that a message keeps its text as the engine
// wrote it.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// wholeAnswer is the part of a whole chat completion that the client reads.
type wholeAnswer struct {
	Choices []struct {
		Message json.RawMessage `json:"message"`
	} `json:"choices"`
	Usage wireUsage `json:"usage"`
}

// parseWhole returns the message and usage of a whole completion.
func parseWhole(body []byte) ([]byte, Usage, error) {
	var a wholeAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, Usage{}, fmt.Errorf("%w: completion is no JSON", ErrMalformed)
	}
	if len(a.Choices) == 0 || len(a.Choices[0].Message) == 0 || a.Choices[0].Message[0] != '{' {
		return nil, Usage{}, fmt.Errorf("%w: completion has no message", ErrMalformed)
	}
	return a.Choices[0].Message, a.Usage.usage(), nil
}
