package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

const (
	readBytes       = 32 << 10
	eventStreamType = "text/event-stream"
	jsonType        = "application/json"
	cacheTagHeader  = "X-Cache-Tag"
)

// Complete carries out a DispatchModel and blocks until the attempt has ended. It calls progress, on
// the same goroutine, with the raw bytes of a streamed answer as they come.
//
// The end of ctx gives up the attempt with ResultCanceled, d.Timeout with ResultTimeout; neither
// stops the engine, which Cancel does. FirstToken and Total leave out the move. A failed move of the cache does not fail the attempt. With
// Resume, progress may start below FromByte. Sent is always true then: the request went out before.
func (c *Client) Complete(ctx context.Context, d program.DispatchModel, progress func(program.Progress)) program.Finished {
	a := &attempt{client: c, d: d, progress: progress, start: time.Now()}
	a.fin = program.Finished{Attempt: d.Attempt, Sent: d.Resume}
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	ctx, a.giveUp = context.WithCancelCause(ctx)
	defer a.giveUp(nil)
	err := a.run(ctx)
	a.fin.Total = time.Since(a.start)
	if err == nil {
		a.fin.Result = sched.ResultOK
		return a.fin
	}
	if a.fin.Result == 0 {
		a.fin.Result = attemptResult(ctx, err)
	}
	a.failed(err)
	return a.fin
}

// attemptResult maps the error of an attempt. A stream that stalled has a canceled context, too.
func attemptResult(ctx context.Context, err error) sched.Result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrStalled):
		return sched.ResultTimeout
	case cause == nil || errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded):
		return endpoint.ResultOf(ctx, err)
	default:
		return sched.ResultFailed
	}
}

// attempt is the state of one Complete.
type attempt struct {
	client   *Client
	d        program.DispatchModel
	progress func(program.Progress)
	start    time.Time
	giveUp   context.CancelCauseFunc
	stream   *StreamParser
	fin      program.Finished
}

func (a *attempt) run(ctx context.Context) error {
	base, err := a.client.base(a.d.Endpoint)
	if err != nil {
		a.fin.Result = sched.ResultRejected
		return err
	}
	if a.d.MoveFrom != "" && !a.d.Resume {
		if err := a.client.MoveCache(ctx, a.d.MoveFrom, a.d.Endpoint, a.d.CacheTag); err != nil {
			a.report(fmt.Errorf("move cache: %w", err))
		}
		a.start = time.Now() // the speed of the engine is learned from FirstToken and Total
	}
	req, err := a.request(ctx, base)
	if err != nil {
		a.fin.Result = sched.ResultRejected
		return err
	}
	stall := time.AfterFunc(a.client.cfg.StallTimeout, func() { a.giveUp(ErrStalled) })
	defer stall.Stop()
	if !a.d.Stream {
		stall.Stop() // a whole answer brings its first byte when it is finished
	}
	resp, sent, err := a.client.cfg.HTTP.Send(req, nil)
	a.fin.Sent = a.fin.Sent || sent
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return a.answer(ctx, resp, stall)
}

func (a *attempt) request(ctx context.Context, base string) (*http.Request, error) {
	var req *http.Request
	var err error
	if a.d.Resume {
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, a.resumeURL(base), nil)
	} else {
		var body []byte
		if body, err = requestBody(a.d); err != nil {
			return nil, err
		}
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	}
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(endpoint.RequestIDHeader, string(a.d.Attempt))
	req.Header.Set(cacheTagHeader, a.d.CacheTag)
	return req, nil
}

// resumeURL asks for the stream from where this process has parsed it. Without the parsed part the
// whole stream is needed, as the final message is made of all of it.
func (a *attempt) resumeURL(base string) string {
	a.stream = a.client.takeKept(a.d.Attempt)
	if a.stream != nil && a.stream.Offset() < a.d.FromByte {
		a.stream = nil
	}
	if a.stream == nil {
		a.stream = &StreamParser{}
	}
	return requestURL(base, a.d.Attempt, "stream") + "?from=" + strconv.FormatInt(a.stream.Offset(), 10)
}

// requestBody builds the JSON of a chat completion. The fields that the scheduler answers for
// override those of Params.
func requestBody(d program.DispatchModel) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(d.Params) > 0 {
		if err := json.Unmarshal(d.Params, &fields); err != nil {
			return nil, fmt.Errorf("parameters are no JSON object: %w", ErrMalformed)
		}
	}
	messages, err := joinMessages(d.Messages)
	if err != nil {
		return nil, err
	}
	model, err := json.Marshal(d.Model)
	if err != nil {
		return nil, err
	}
	fields["model"] = model
	fields["messages"] = messages
	fields["stream"] = json.RawMessage(strconv.FormatBool(d.Stream))
	delete(fields, "stream_options")
	if d.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	delete(fields, "max_completion_tokens") // would override the limit that was reserved
	if d.MaxTokens > 0 {
		fields["max_tokens"] = json.RawMessage(strconv.FormatInt(d.MaxTokens, 10))
	}
	return marshal(fields)
}

func joinMessages(all []record.Message) (json.RawMessage, error) {
	b := []byte{'['}
	for i, m := range all {
		if !json.Valid(m.Raw) {
			return nil, fmt.Errorf("message %d is no JSON: %w", i, ErrMalformed)
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, m.Raw...)
	}
	return append(b, ']'), nil
}

// answer reads the answer to a completion or a resume.
func (a *attempt) answer(ctx context.Context, resp *http.Response, stall *time.Timer) error {
	a.fin.Status = resp.StatusCode
	if err := endpoint.CheckRequestID(resp.Header, string(a.d.Attempt)); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return a.refusal(resp)
	}
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	switch {
	case err == nil && a.d.Stream && kind == eventStreamType:
		return a.relay(ctx, resp.Body, stall)
	case err == nil && !a.d.Stream && kind == jsonType:
		return a.whole(resp.Body)
	default:
		return fmt.Errorf("%w: content type %q with stream %v", ErrMalformed, kind, a.d.Stream)
	}
}

// refusal maps an answer other than 200. A 4xx to a completion comes before the engine runs
// anything; a 5xx counts as run unless the engine says otherwise.
func (a *attempt) refusal(resp *http.Response) error {
	body, err := endpoint.ReadBody(resp.Body, maxErrorBytes)
	if err == nil {
		a.fin.Body = body
	}
	a.fin.Result = sched.ResultFailed
	badRequest := resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusRequestTimeout
	if !a.d.Resume && (badRequest || endpoint.NotExecuted(resp.StatusCode, resp.Header)) {
		a.fin.Result = sched.ResultRejected
	}
	return &StatusError{Status: resp.StatusCode}
}

func (a *attempt) whole(r io.Reader) error {
	body, err := endpoint.ReadBody(r, a.client.cfg.MaxAnswerBytes)
	if err != nil {
		return err
	}
	message, usage, err := parseWhole(body)
	if err != nil {
		return err
	}
	a.fin.Body = body
	a.fin.Answer = message
	a.fin.FirstToken = time.Since(a.start)
	a.used(usage)
	return nil
}

// relay passes the bytes of a stream on and parses them.
func (a *attempt) relay(ctx context.Context, r io.Reader, stall *time.Timer) error {
	if a.stream == nil {
		a.stream = &StreamParser{}
	}
	err := a.copyStream(r, stall)
	a.used(a.stream.Usage())
	if errors.Is(err, ErrOverrun) {
		a.stopOverrun(ctx)
	}
	if err != nil {
		return err
	}
	a.fin.Answer, err = a.stream.Message()
	return err
}

func (a *attempt) copyStream(r io.Reader, stall *time.Timer) error {
	buf := make([]byte, readBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			stall.Reset(a.client.cfg.StallTimeout)
			if err := a.take(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *attempt) take(p []byte) error {
	offset := a.stream.Offset()
	if offset+int64(len(p)) > a.client.cfg.MaxAnswerBytes {
		return fmt.Errorf("stream above %d bytes: %w", a.client.cfg.MaxAnswerBytes, endpoint.ErrTooLarge)
	}
	err := a.stream.Feed(p)
	if a.progress != nil {
		a.progress(program.Progress{Attempt: a.d.Attempt, Offset: offset, Data: bytes.Clone(p)})
	}
	if a.fin.FirstToken == 0 && a.stream.Deltas() > 0 {
		a.fin.FirstToken = time.Since(a.start)
	}
	if err != nil {
		return err
	}
	if a.d.MaxTokens > 0 && a.stream.Deltas() > a.d.MaxTokens {
		return ErrOverrun
	}
	return nil
}

// stopOverrun stops an engine that ignores max_tokens, because the budget covers no more.
func (a *attempt) stopOverrun(ctx context.Context) {
	if err := a.client.Cancel(ctx, a.d.Endpoint, a.d.Attempt); err != nil {
		a.report(err)
	}
}

func (a *attempt) used(u Usage) {
	a.fin.PromptTokens = u.PromptTokens
	a.fin.CachedTokens = u.CachedTokens
	a.fin.OutputTokens = u.OutputTokens
}

// failed reports the cause and keeps the parsed part of a stream that a resume can continue.
func (a *attempt) failed(err error) {
	a.report(err)
	canResume := a.fin.Result == sched.ResultFailed || a.fin.Result == sched.ResultTimeout
	if a.stream != nil && a.stream.err == nil && canResume && !errors.Is(err, ErrOverrun) {
		a.client.keep(a.d.Attempt, a.stream)
	}
}

func (a *attempt) report(err error) {
	if a.client.cfg.Failed != nil {
		a.client.cfg.Failed(a.d.Attempt, err)
	}
}
