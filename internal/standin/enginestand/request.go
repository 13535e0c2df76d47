package enginestand

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// maxFinishedRequests is the number of requests beyond which finished ones are deleted and cannot be resumed.
const maxFinishedRequests = 4096

// completionBody holds the fields of a completion request that the engine uses.
type completionBody struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	// WantTokens is the number of tokens of the answer if max_tokens allows it. Only this stand-in has the field.
	WantTokens int `json:"want_tokens"`
}

// request is a completion. Its answer is generated whether or not a client reads it.
type request struct {
	engine     *Engine
	id         string
	tag        string
	body       completionBody
	generation uint64
	ctx        context.Context
	cancel     context.CancelFunc
	admitted   chan struct{} // closed when the request gets a place in the batch

	mu      sync.Mutex
	buf     []byte        // body of the response: event stream or JSON
	done    bool          // nothing will be added to buf
	failed  bool          // canceled or ended by a restart
	changed chan struct{} // closed and replaced by each change of the fields above
}

func newRequest(e *Engine, id, tag string, body completionBody) *request {
	ctx, cancel := context.WithCancel(context.Background())
	return &request{engine: e, id: id, tag: tag, body: body, generation: e.generation, ctx: ctx, cancel: cancel,
		admitted: make(chan struct{}), changed: make(chan struct{})}
}

// outputTokens returns the number of tokens of the answer.
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

// generate generates the answer in simulated time and finishes the request.
func (q *request) generate() {
	defer q.cancel()
	ok := q.run()
	q.finish(!ok)
	q.engine.requestEnded(q, ok)
}

// run waits for a place in the batch and generates the answer. It reports whether it got to the end of the answer.
func (q *request) run() bool {
	defer q.engine.release(q)
	select {
	case <-q.admitted:
	case <-q.ctx.Done():
		return false
	}
	var prompt int64
	for _, m := range q.body.Messages {
		prompt += messageTokens(m)
	}
	cached := q.engine.lookup(q.tag, q.body.Messages)
	prefill := time.Duration(float64(prompt-cached) / q.engine.settings.PrefillRate * float64(time.Second))
	if !q.engine.sleep(q.ctx, prefill) {
		return false
	}
	q.engine.cacheMessages(q, q.body.Messages, 0)
	tokens := Tokens(q.body.Messages, q.outputTokens())
	for i, token := range tokens {
		if !q.engine.sleep(q.ctx, q.engine.decodeTime()) {
			return false
		}
		if q.body.Stream {
			q.write(q.tokenEvent(i, token))
		}
	}
	q.engine.cacheMessages(q, append(q.body.Messages[:len(q.body.Messages):len(q.body.Messages)], answerMessage(tokens)), len(tokens))
	q.engine.countTokens(prompt, cached, int64(len(tokens)))
	if q.body.Stream {
		q.write(q.finalEvents(prompt, cached, len(tokens)))
	} else {
		q.write(q.responseBody(prompt, cached, tokens))
	}
	return true
}

// answerMessage returns the assistant message that a client builds from the stream and sends with its next request.
func answerMessage(tokens []string) json.RawMessage {
	text, _ := json.Marshal(strings.Join(tokens, "")) // encoding a string cannot fail
	return json.RawMessage(`{"role":"assistant","content":` + string(text) + `}`)
}

// tokenEvent returns the event of the i-th token.
func (q *request) tokenEvent(i int, token string) []byte {
	role := ""
	if i == 0 {
		role = `"role":"assistant",`
	}
	return fmt.Appendf(nil, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{%s\"content\":%q},\"finish_reason\":null}]}\n\n",
		q.id, q.body.Model, role, token)
}

// finalEvents returns the events after the last token: the reason for the end, the usage and the end marker.
func (q *request) finalEvents(prompt, cached int64, output int) []byte {
	return fmt.Appendf(nil, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"id\":%q,\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", q.id, q.id, usageJSON(prompt, cached, output))
}

// responseBody returns the body of a response that is not streamed.
func (q *request) responseBody(prompt, cached int64, tokens []string) []byte {
	return fmt.Appendf(nil, "{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,\"message\":%s,\"finish_reason\":\"stop\"}],\"usage\":%s}",
		q.id, q.body.Model, answerMessage(tokens), usageJSON(prompt, cached, len(tokens)))
}

func usageJSON(prompt, cached int64, output int) string {
	return fmt.Sprintf("{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}",
		prompt, output, prompt+int64(output), cached)
}

// write adds bytes to the response.
func (q *request) write(p []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.buf = append(q.buf, p...)
	q.notify()
}

// finish marks the response as complete or failed.
func (q *request) finish(failed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.done = true
	q.failed = failed
	q.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds the lock of the request.
func (q *request) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// read returns the bytes of the response from an offset on, and a channel that is closed on the next change.
func (q *request) read(offset int) (p []byte, done, failed bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if offset < len(q.buf) {
		p = q.buf[offset:]
	}
	return p, q.done, q.failed, q.changed
}

// requestEnded counts a request that has ended. If there are more than maxFinishedRequests requests, it deletes one
// other finished request.
func (e *Engine) requestEnded(q *request, ok bool) {
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
		if _, done, _, _ := o.read(0); done && o != q {
			delete(e.requests, id)
			return
		}
	}
}

// countTokens adds the tokens of a completion to the counts.
func (e *Engine) countTokens(prompt, cached, output int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.PromptTokens += prompt
	e.stats.CachedTokens += cached
	e.stats.OutputTokens += output
}
