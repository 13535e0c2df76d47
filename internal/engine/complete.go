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

// Complete runs the attempt of a DispatchModel and blocks until it has ended. It calls progress, on the
// same goroutine, with the raw bytes of a streamed answer as they arrive.
//
// The attempt ends with ResultCanceled when ctx is canceled and with ResultTimeout after d.Timeout.
// Neither stops the engine; Cancel does. A failed move of the cache does not fail the attempt, and
// FirstToken and Total do not include the time of the move. With d.Resume, progress may start below
// d.FromByte, and Sent is always true, because the request was sent earlier.
func (c *Client) Complete(ctx context.Context, d program.DispatchModel, progress func(program.Progress)) program.Finished {
	a := &attempt{client: c, d: d, progress: progress, start: time.Now()}
	a.fin = program.Finished{Attempt: d.Attempt, Sent: d.Resume}
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	err := a.run(ctx)
	a.fin.Total = time.Since(a.start)
	if err == nil {
		a.fin.Result = sched.ResultOK
		return a.fin
	}
	if a.fin.Result == 0 {
		a.fin.Result = attemptResult(ctx, err)
	}
	a.handleFailure(err)
	return a.fin
}

// attemptResult maps the error of an attempt to its result. It looks at the cause of the cancellation,
// because the stall timer cancels the context of a stalled stream.
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

// attempt is the state of one call of Complete.
type attempt struct {
	client   *Client
	d        program.DispatchModel
	progress func(program.Progress)
	start    time.Time
	cancel   context.CancelCauseFunc
	parser   *StreamParser
	fin      program.Finished
}

func (a *attempt) run(ctx context.Context) error {
	base, err := a.client.baseURL(a.d.Endpoint)
	if err != nil {
		a.fin.Result = sched.ResultRejected
		return err
	}
	if a.d.MoveFrom != "" && !a.d.Resume {
		if err := a.client.MoveCache(ctx, a.d.MoveFrom, a.d.Endpoint, a.d.CacheTag); err != nil {
			a.report(fmt.Errorf("move cache: %w", err))
		}
		a.start = time.Now() // the speed of the engine is estimated from FirstToken and Total
	}
	req, err := a.newRequest(ctx, base)
	if err != nil {
		a.fin.Result = sched.ResultRejected
		return err
	}
	stallTimer := time.AfterFunc(a.client.cfg.StallTimeout, func() { a.cancel(ErrStalled) })
	defer stallTimer.Stop()
	if !a.d.Stream {
		stallTimer.Stop() // an answer without streaming sends its first byte when it is complete
	}
	resp, sent, err := a.client.cfg.HTTP.Send(req, nil)
	a.fin.Sent = a.fin.Sent || sent
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return a.readAnswer(ctx, resp, stallTimer)
}

func (a *attempt) newRequest(ctx context.Context, base string) (*http.Request, error) {
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

// resumeURL returns the URL of the rest of a stream, from the offset up to which this process has parsed
// it. If this process does not have the parsed part up to FromByte, the URL is that of the whole stream,
// because the final message is built from all of it.
func (a *attempt) resumeURL(base string) string {
	a.parser = a.client.takePartial(a.d.Attempt)
	if a.parser != nil && a.parser.Offset() < a.d.FromByte {
		a.parser = nil
	}
	if a.parser == nil {
		a.parser = &StreamParser{}
	}
	return requestURL(base, a.d.Attempt, "stream") + "?from=" + strconv.FormatInt(a.parser.Offset(), 10)
}

// requestBody builds the JSON body of a chat completion. The fields that the scheduler controls override
// those of Params.
func requestBody(d program.DispatchModel) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(d.Params) > 0 {
		if err := json.Unmarshal(d.Params, &fields); err != nil {
			return nil, fmt.Errorf("parameters are not a JSON object: %w", ErrMalformed)
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
	delete(fields, "max_completion_tokens") // would override max_tokens, for which budget is reserved
	if d.MaxTokens > 0 {
		fields["max_tokens"] = json.RawMessage(strconv.FormatInt(d.MaxTokens, 10))
	}
	return marshal(fields)
}

func joinMessages(all []record.Message) (json.RawMessage, error) {
	b := []byte{'['}
	for i, m := range all {
		if !json.Valid(m.Raw) {
			return nil, fmt.Errorf("message %d is not valid JSON: %w", i, ErrMalformed)
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, m.Raw...)
	}
	return append(b, ']'), nil
}

// readAnswer reads the answer to a completion or a resume.
func (a *attempt) readAnswer(ctx context.Context, resp *http.Response, stallTimer *time.Timer) error {
	a.fin.Status = resp.StatusCode
	if err := endpoint.CheckRequestID(resp.Header, string(a.d.Attempt)); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return a.statusError(resp)
	}
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	switch {
	case err == nil && a.d.Stream && kind == eventStreamType:
		return a.readStream(ctx, resp.Body, stallTimer)
	case err == nil && !a.d.Stream && kind == jsonType:
		return a.readCompletion(resp.Body)
	default:
		return fmt.Errorf("%w: content type %q with stream %v", ErrMalformed, kind, a.d.Stream)
	}
}

// statusError sets the result of an answer other than 200 and returns a StatusError. A completion counts
// as rejected on a 4xx other than 408, which engines send before they execute anything, and on an answer
// that guarantees that nothing was executed. Other answers, and all answers to a resume, count as failed:
// the engine may have executed the completion.
func (a *attempt) statusError(resp *http.Response) error {
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

func (a *attempt) readCompletion(r io.Reader) error {
	body, err := endpoint.ReadBody(r, a.client.cfg.MaxAnswerBytes)
	if err != nil {
		return err
	}
	message, usage, err := parseCompletion(body)
	if err != nil {
		return err
	}
	a.fin.Body = body
	a.fin.Answer = message
	a.fin.FirstToken = time.Since(a.start)
	a.setUsage(usage)
	return nil
}

// readStream reads a stream, parses it and passes its bytes on to progress.
func (a *attempt) readStream(ctx context.Context, r io.Reader, stallTimer *time.Timer) error {
	if a.parser == nil {
		a.parser = &StreamParser{}
	}
	err := a.copyStream(r, stallTimer)
	a.setUsage(a.parser.Usage())
	if errors.Is(err, ErrOverrun) {
		a.cancelOverrun(ctx)
	}
	if err != nil {
		return err
	}
	a.fin.Answer, err = a.parser.Message()
	return err
}

func (a *attempt) copyStream(r io.Reader, stallTimer *time.Timer) error {
	buf := make([]byte, readBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			stallTimer.Reset(a.client.cfg.StallTimeout)
			if err := a.consume(buf[:n]); err != nil {
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

func (a *attempt) consume(p []byte) error {
	offset := a.parser.Offset()
	if offset+int64(len(p)) > a.client.cfg.MaxAnswerBytes {
		return fmt.Errorf("stream above %d bytes: %w", a.client.cfg.MaxAnswerBytes, endpoint.ErrTooLarge)
	}
	err := a.parser.Feed(p)
	if a.progress != nil {
		a.progress(program.Progress{Attempt: a.d.Attempt, Offset: offset, Data: bytes.Clone(p)})
	}
	if a.fin.FirstToken == 0 && a.parser.Deltas() > 0 {
		a.fin.FirstToken = time.Since(a.start)
	}
	if err != nil {
		return err
	}
	if a.d.MaxTokens > 0 && a.parser.Deltas() > a.d.MaxTokens {
		return ErrOverrun
	}
	return nil
}

// cancelOverrun cancels the attempt at an engine that ignores max_tokens, because the budget does not
// cover more tokens.
func (a *attempt) cancelOverrun(ctx context.Context) {
	if err := a.client.Cancel(ctx, a.d.Endpoint, a.d.Attempt); err != nil {
		a.report(err)
	}
}

func (a *attempt) setUsage(u Usage) {
	a.fin.PromptTokens = u.PromptTokens
	a.fin.CachedTokens = u.CachedTokens
	a.fin.OutputTokens = u.OutputTokens
}

// handleFailure reports the cause and keeps the parsed part of a stream that a resume can continue.
func (a *attempt) handleFailure(err error) {
	a.report(err)
	canResume := a.fin.Result == sched.ResultFailed || a.fin.Result == sched.ResultTimeout
	if a.parser != nil && a.parser.err == nil && canResume && !errors.Is(err, ErrOverrun) {
		a.client.savePartial(a.d.Attempt, a.parser)
	}
}

func (a *attempt) report(err error) {
	if a.client.cfg.Failed != nil {
		a.client.cfg.Failed(a.d.Attempt, err)
	}
}
