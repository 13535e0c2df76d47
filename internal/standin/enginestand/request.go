package enginestand

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// maxFinishedRequests bounds the finished requests that can still be resumed.
const maxFinishedRequests = 4096

// completionBody is the part of a completion request that the engine reads.
type completionBody struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	// WantTokens is a knob of the stand-in: the length of the answer if max_tokens allows it.
	WantTokens int `json:"want_tokens"`
}

// request is one completion. It is generated whether or not somebody reads it.
type request struct {
	engine     *Engine
	id         string
	tag        string
	body       completionBody
	generation uint64
	ctx        context.Context
	cancel     context.CancelFunc
	admitted   chan struct{} // closed when it got a place

	mu      sync.Mutex
	buf     []byte // the answer: event stream or JSON
	done    bool   // buf is whole
	failed  bool   // cancelled or ended by a restart
	changed chan struct{}
}

func newRequest(e *Engine, id, tag string, body completionBody) *request {
	ctx, cancel := context.WithCancel(context.Background())
	return &request{engine: e, id: id, tag: tag, body: body, generation: e.generation, ctx: ctx, cancel: cancel,
		admitted: make(chan struct{}), changed: make(chan struct{})}
}

// outputTokens returns the length of the answer.
func (q *request) outputTokens() int {
	n := q.engine.settings.OutputTokens
	if q.body.WantTokens > 0 {
		n = q.body.WantTokens
	}
	if q.body.MaxTokens > 0 && !q.engine.ignoresMaxTokens() {
		n = min(n, q.body.MaxTokens)
	}
	return n
}

// generate produces the answer at the speed of the engine.
func (q *request) generate() {
	defer q.cancel()
	ok := q.run()
	q.finish(!ok)
	q.engine.ended(q, ok)
}

func (q *request) run() bool {
	defer q.engine.leave(q)
	select {
	case <-q.admitted:
	case <-q.ctx.Done():
		return false
	}
	var prompt int64
	for _, m := range q.body.Messages {
		prompt += promptTokens(m)
	}
	cached := q.engine.lookup(q.tag, q.body.Messages)
	prefill := time.Duration(float64(prompt-cached) / q.engine.settings.PrefillRate * float64(time.Second))
	if !q.engine.sleep(q.ctx, prefill) {
		return false
	}
	q.engine.store(q, q.body.Messages, 0)
	tokens := Tokens(q.body.Messages, q.outputTokens())
	for i, token := range tokens {
		if !q.engine.sleep(q.ctx, q.engine.decodeTime()) {
			return false
		}
		if q.body.Stream {
			q.write(q.event(i, token))
		}
	}
	q.engine.store(q, append(q.body.Messages[:len(q.body.Messages):len(q.body.Messages)], answerMessage(tokens)), len(tokens))
	q.engine.countTokens(prompt, cached, int64(len(tokens)))
	if q.body.Stream {
		q.write(q.lastEvents(prompt, cached, len(tokens)))
	} else {
		q.write(q.whole(prompt, cached, tokens))
	}
	return true
}

// answerMessage returns the assistant message as a client builds it from the stream.
func answerMessage(tokens []string) json.RawMessage {
	text, _ := json.Marshal(strings.Join(tokens, "")) // a string always encodes
	return json.RawMessage(`{"role":"assistant","content":` + string(text) + `}`)
}

func (q *request) event(i int, token string) []byte {
	role := ""
	if i == 0 {
		role = `"role":"assistant",`
	}
	return fmt.Appendf(nil, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{%s\"content\":%q},\"finish_reason\":null}]}\n\n",
		q.id, q.body.Model, role, token)
}

func (q *request) lastEvents(prompt, cached int64, output int) []byte {
	return fmt.Appendf(nil, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"id\":%q,\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", q.id, q.id, usageJSON(prompt, cached, output))
}

func (q *request) whole(prompt, cached int64, tokens []string) []byte {
	return fmt.Appendf(nil, "{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":%s,\"finish_reason\":\"stop\"}],\"usage\":%s}",
		q.id, q.body.Model, answerMessage(tokens), usageJSON(prompt, cached, len(tokens)))
}

func usageJSON(prompt, cached int64, output int) string {
	return fmt.Sprintf("{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}",
		prompt, output, prompt+int64(output), cached)
}

func (q *request) write(p []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.buf = append(q.buf, p...)
	q.wake()
}

func (q *request) finish(failed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.done = true
	q.failed = failed
	q.wake()
}

func (q *request) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// from returns the bytes from an offset on, and a channel that is closed when there are more.
func (q *request) from(offset int) (p []byte, done, failed bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if offset < len(q.buf) {
		p = q.buf[offset:]
	}
	return p, q.done, q.failed, q.changed
}

// ended counts a request and forgets the oldest finished ones.
func (e *Engine) ended(q *request, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.stats.Finished++
	} else {
		e.stats.Canceled++
	}
	if len(e.requests) <= maxFinishedRequests {
		return
	}
	for id, o := range e.requests {
		if _, done, _, _ := o.from(0); done && o != q {
			delete(e.requests, id)
			return
		}
	}
}

func (e *Engine) countTokens(prompt, cached, output int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.PromptTokens += prompt
	e.stats.CachedTokens += cached
	e.stats.OutputTokens += output
}
