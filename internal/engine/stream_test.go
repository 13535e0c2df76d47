package engine

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/endpoint"
)

const sampleStream = "data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"a<b\"}}]}\r\n\r\n" +
	": comment\n" +
	"event: message\ndata: {\"choices\":[{\"index\":0,\ndata: \"delta\":{\"content\":\"é\"}}]}\n\n" +
	"data: {\"choices\":[{\"index\":1,\"delta\":{\"content\":\"other\"}}]}\n\n" +
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":0,\"id\":\"c1\",\"type\":\"function\",\"function\":{\"name\":\"stock\",\"arguments\":\"{\\\"n\\\"\"}}]}}]}\r\r" +
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\":1}\"}}]}}]}\n\n" +
	"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":4,\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\n" +
	"data: [DONE]\n\n"

const sampleMessage = `{"role":"assistant","content":"a<bé","tool_calls":[{"id":"c1","type":"function","function":{"name":"stock","arguments":"{\"n\":1}"}}]}`

// Guards against a message that depends on how the network splits the stream.
func TestStreamChunkSizes(t *testing.T) {
	for size := 1; size <= len(sampleStream); size++ {
		var s StreamParser
		for rest := []byte(sampleStream); len(rest) > 0; {
			n := min(size, len(rest))
			must.NoError(t, s.Feed(rest[:n]))
			rest = rest[n:]
		}
		message, err := s.Message()
		must.NoError(t, err)
		must.Eq(t, sampleMessage, string(message))
		must.Eq(t, Usage{PromptTokens: 9, CachedTokens: 5, OutputTokens: 4}, s.Usage())
		must.Eq(t, int64(len(sampleStream)), s.Offset())
		must.Eq(t, 4, s.Deltas())
	}
}

// Guards against a truncated or failed stream that counts as a complete answer.
func TestIncompleteStream(t *testing.T) {
	for cut := range len(sampleStream) - 2 {
		var s StreamParser
		must.NoError(t, s.Feed([]byte(sampleStream[:cut])))
		_, err := s.Message()
		must.ErrorIs(t, err, ErrIncomplete)
	}
	cases := []struct {
		in   string
		want error
	}{
		{"data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n", ErrStreamFailed},
		{"data: {broken\n\n", ErrMalformed},
		{"data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":1}]}}]}\n\n", ErrMalformed},
		{"data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":-1}]}}]}\n\n", ErrMalformed},
		{"data: " + string(bytes.Repeat([]byte("x"), maxEventBytes)), endpoint.ErrTooLarge},
	}
	for _, c := range cases {
		var s StreamParser
		must.ErrorIs(t, s.Feed([]byte(c.in)), c.want)
		_, err := s.Message()
		must.ErrorIs(t, err, c.want)
	}
}

// Guards against a parser that panics, miscounts its offset, or returns a different message when the same
// bytes arrive in pieces of another size.
func FuzzStream(f *testing.F) {
	f.Add([]byte(sampleStream), 7)
	f.Add([]byte("data: [DONE]\n\n"), 1)
	f.Add([]byte("data:\r\rdata\n\n"), 2)
	f.Add([]byte("data: {\"usage\":{\"prompt_tokens\":-4,\"prompt_tokens_details\":{\"cached_tokens\":9}}}\n\n"), 3)
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":9223372036854775807}]}}]}\n\n"), 5)
	f.Add([]byte("data: null\n\ndata: [DONE]\n\n"), 4)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		var whole, parts StreamParser
		errWhole := whole.Feed(data)
		size = 1 + max(size, -size, 0)%64
		var errParts error
		for rest := data; len(rest) > 0 && errParts == nil; {
			n := min(size, len(rest))
			errParts = parts.Feed(rest[:n])
			rest = rest[n:]
		}
		if (errWhole == nil) != (errParts == nil) {
			t.Fatalf("in one piece: %v, in pieces of %d: %v", errWhole, size, errParts)
		}
		if errWhole != nil {
			return
		}
		if whole.Offset() != int64(len(data)) || parts.Offset() != whole.Offset() {
			t.Fatalf("offsets %d and %d after %d bytes", whole.Offset(), parts.Offset(), len(data))
		}
		m1, err1 := whole.Message()
		m2, err2 := parts.Message()
		if (err1 == nil) != (err2 == nil) || !bytes.Equal(m1, m2) || whole.Usage() != parts.Usage() {
			t.Fatalf("message depends on the pieces")
		}
		u := whole.Usage()
		if u.PromptTokens < 0 || u.CachedTokens < 0 || u.CachedTokens > u.PromptTokens || u.OutputTokens < 0 {
			t.Fatalf("usage %+v", u)
		}
	})
}

// Guards against a panic on a malformed answer without streaming, and against accepting an answer that
// has no message.
func FuzzWholeAnswer(f *testing.F) {
	f.Add([]byte(`{"choices":[{"message":{"role":"assistant","content":"x"}}],"usage":{"prompt_tokens":1}}`))
	f.Add([]byte(`{"choices":[]}`))
	f.Add([]byte(`{"choices":[{"message":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		message, u, err := parseCompletion(body)
		if err == nil && (len(message) == 0 || message[0] != '{' || u.CachedTokens > u.PromptTokens) {
			t.Fatalf("message %q usage %+v", message, u)
		}
	})
}

// BenchmarkStream measures the cost of parsing one token of a stream.
func BenchmarkStream(b *testing.B) {
	event := []byte("data: {\"id\":\"p00-x/main/1/e1.1\",\"object\":\"chat.completion.chunk\",\"model\":\"m1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n")
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	var s StreamParser
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			s = StreamParser{}
		}
		if err := s.Feed(event); err != nil {
			b.Fatal(err)
		}
	}
}
