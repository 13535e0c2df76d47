package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/history"
	"ragwortstile/internal/ledger"
	"ragwortstile/internal/memory"
	"ragwortstile/internal/resume"
	"ragwortstile/internal/upstream"
)

const (
	// beginTimeFraction is the fraction of the time until a turn's deadline within which its history must arrive.
	beginTimeFraction = 0.5
	// reservationSlack is added to the time until the deadline; an attempt whose end is still not known then
	// counts as ended.
	reservationSlack = time.Second
	// endReportTimeout bounds the report of an attempt that produced no complete turn.
	endReportTimeout = 5 * time.Second
	// eventBufferBytes is the size of the read buffer of a stream.
	eventBufferBytes = 4 << 10
)

func itoa(n int) string { return strconv.Itoa(n) }

// turn is a streaming request in progress.
type turn struct {
	*request
	begin          history.Begin
	prefix         []byte // text of all turns before this one
	output         []byte // data of the events received
	events         int64  // events that the caller got
	tokensPerEvent int64  // tokens that each event carries
	progress       *resume.Stream
	reserved       atomic.Bool // the holder has confirmed the reservation of the turn's tokens
	outlastGrace   func() bool // lets the turn go on to the very end of a stop; see untilGraceOver
	begun          bool        // an earlier turn of the program was served
	ended          bool        // the end of the turn was reported to the ledger
	slot           *slot
	texts          *memory.Grant // of the texts before this turn and of its output
	unread         *memory.Grant // of the event that the caller is being sent
}

// serveStream serves a request whose response is forwarded event by event. The request is sent to a second
// endpoint only after the first has stated that it did not execute it, or if its stream may be resumed.
func (q *request) serveStream() {
	t := &turn{request: q, tokensPerEvent: 1, progress: resume.New(resume.Policy{
		Resumable: q.route.Resumable, MaxAttempts: q.route.MaxAttempts, TargetGap: q.route.TargetGap,
	}, q.meta.LastEvent)}
	t.texts = q.g.account.Open(memory.Histories, q.start, nil)
	defer t.texts.Release()
	t.unread = q.g.account.Open(memory.Responses, q.start, nil)
	defer t.unread.Release()
	service := q.pickService()
	if table := q.g.view.table.Load(); table != nil {
		if s := table.Services[service]; s.Engine != nil {
			t.tokensPerEvent = int64(s.Engine.TokensPerEvent)
		}
	}
	parent, keep, cancelGrace := q.g.untilGraceOver(q.r.Context())
	defer cancelGrace()
	t.outlastGrace = keep
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	defer cancel()
	// Whether a program has begun is known from its turn where turns are kept, and from the ledger elsewhere. In the
	// first case a program that cannot begin now costs the ledger nothing.
	t.begun = q.route.History && (q.meta.Previous != "" || q.meta.BadPrevious)
	if q.route.History && !t.begun {
		if rejected := q.checkRoom(service); rejected != nil {
			q.reject(rejected)
			return
		}
	}
	if t.inLedger() {
		if !t.openTurn(ctx) {
			return
		}
		defer func() {
			if !t.ended { // the handler panics
				t.reportEnd()
			}
		}()
	}
	slot := t.takeSlot(ctx, service)
	if slot == nil {
		return
	}
	t.slot = slot
	slot.tokens = func() int64 { return t.events * t.tokensPerEvent }
	defer slot.release()
	t.run(ctx, service)
}

// run sends the turn to endpoints until one of them has served it.
func (t *turn) run(ctx context.Context, service string) {
	q := t.request
	confirmed := t.confirm(ctx)
	done := q.tryEndpoints(
		func() (target, bool) {
			if e, ok := t.slot.use(); ok {
				return e, true
			}
			return q.pick(service, q.g.affinity.savings(q.programKey(), t.prefix))
		},
		func(e target) attemptResult { return t.attempt(ctx, e, confirmed) },
	)
	if done {
		return
	}
	t.reportEnd()
	if t.responded {
		t.breakOff(errNotResumed)
	}
	q.giveUp(ctx)
}

// takeSlot waits until the turn may be sent to an endpoint. It ends the request and returns nil if the turn is
// rejected or its caller leaves.
func (t *turn) takeSlot(ctx context.Context, service string) *slot {
	q := t.request
	slot, rejected := q.admitTurn(ctx, service, t.begun, q.g.affinity.savings(q.programKey(), t.prefix))
	if slot != nil {
		return slot
	}
	t.reportEnd()
	if rejected != nil {
		q.reject(rejected)
	} else {
		q.giveUp(ctx)
	}
	return nil
}

// inLedger reports whether the ledger has to permit the turn: to keep it in the history, or to count its tokens
// against the budget of its program.
func (t *turn) inLedger() bool {
	return t.route.History || t.meta.HasBudget && t.meta.Program != ""
}

// openTurn gets permission from the ledger to run the turn, and the text before the turn. If the permission is
// not granted, it refuses the request and returns false.
func (t *turn) openTurn(ctx context.Context) bool {
	q := t.request
	if q.route.History && len(q.body) > t.g.ledger.MaxTurnBytes()/2 {
		q.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	}
	if q.route.History && q.meta.BadPrevious {
		q.refuse(http.StatusNotFound, reasonNoTurn)
		return false
	}
	previous := ""
	if q.route.History {
		previous = q.previousKey()
	}
	prefix, known := q.g.prefixes.get(previous)
	t.prefix = prefix
	t.begin = history.Begin{
		Program: q.programKey(), Turn: q.turnKey(), Previous: previous, HasChain: known,
		MaxTokens: q.meta.MaxTokensOut, ExpectedTokens: q.meta.ExpectedTokensOut, Budget: q.meta.Budget, EnforceBudget: q.meta.HasBudget,
		MaxDuration: time.Until(q.deadline) + reservationSlack,
	}
	bctx, cancel := context.WithTimeout(ctx, time.Duration(beginTimeFraction*float64(time.Until(q.deadline))))
	defer cancel()
	permit, err := q.g.ledger.Begin(bctx, t.begin)
	switch {
	case err == nil:
		if !known {
			t.prefix = permit.Body
		}
		if !t.texts.Try(2 * int64(len(t.prefix))) { // also for the copy that is sent
			t.reportEnd()
			q.reject(unavailable(reasonNoMemory, memoryRetryAfter))
			return false
		}
		t.begun = t.begun || permit.Begun
		return true
	case (errors.Is(err, ledger.ErrUnknownTurn) || errors.Is(err, ledger.ErrOverBudget)) && !q.ownerProven():
		t.reportEnd()
		q.reject(q.unauthorized)
	case errors.Is(err, ledger.ErrUnknownTurn):
		q.refuse(http.StatusNotFound, reasonNoTurn)
	case errors.Is(err, ledger.ErrOverBudget):
		q.refuse(http.StatusPaymentRequired, reasonOverBudget)
	case q.callerGone():
		t.reportEnd()
		q.logEnd(0, reasonCallerLeft)
		panic(http.ErrAbortHandler)
	default:
		q.log.WithField("reason", err.Error()).Info("history not available")
		t.reportEnd()
		q.refuse(http.StatusServiceUnavailable, reasonNoHistory)
	}
	return false
}

// confirm waits, concurrently with the endpoint's work, until the turn's budget reservation is in the store. The
// channel delivers the result.
func (t *turn) confirm(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if !t.inLedger() {
		done <- nil
		return done
	}
	go func() {
		err := t.g.ledger.Confirm(ctx, t.begin)
		t.reserved.Store(err == nil)
		done <- err
	}()
	return done
}

// reportEnd reports to the ledger, in the background, that the attempt ended without a turn to keep.
func (t *turn) reportEnd() {
	t.ended = true
	if !t.inLedger() {
		return
	}
	end := history.End{Program: t.begin.Program, Turn: t.begin.Turn, Tokens: t.events * t.tokensPerEvent}
	if t.reserved.Load() {
		end.Reserved, end.Confirmed = t.meta.MaxTokensOut, true
	}
	log := t.log
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endReportTimeout)
		defer cancel()
		if err := t.g.ledger.End(ctx, end); err != nil {
			log.WithField("reason", err.Error()).Warn("cannot record the end of the attempt; its reservation counts as spent")
		}
	}()
}

// attempt sends the turn to an endpoint and forwards its events. No event reaches the caller before
// the reservation is confirmed to be in the store.
func (t *turn) attempt(ctx context.Context, e target, confirmed <-chan error) attemptResult {
	q := t.request
	begun := time.Now()
	body := q.body
	if len(t.prefix) > 0 {
		body = append(t.prefix[:len(t.prefix):len(t.prefix)], q.body...)
	}
	resp, reply, err := q.send(ctx, e, body, t.progress.LastID())
	if err != nil {
		return q.attemptFailed(ctx, e, err)
	}
	defer resp.Discard()
	if reply.NotExecuted {
		return q.attemptRefused(e, resp, reply)
	}
	if !reply.FromEndpoint || resp.Header.Get("Content-Encoding") != "" || t.responded && resp.Status != http.StatusOK {
		resp.Discard()
		return q.attemptFailed(ctx, e, errUnusable)
	}
	if resp.Status != http.StatusOK {
		return t.forwardFailure(ctx, e, resp)
	}
	reader := &eventReader{br: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
	first, err := t.readEvent(reader, resp)
	if err != nil {
		resp.Discard()
		return q.attemptFailed(ctx, e, errors.Join(errUnusable, err))
	}
	q.responseStarted(e)
	if !t.responded {
		select {
		case err = <-confirmed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			resp.Discard()
			return q.attemptFailed(ctx, e, err)
		}
	}
	q.g.affinity.record(q.programKey(), e.ID)
	return t.forwardStream(ctx, e, resp, reader, first, begun, len(body))
}

// forwardFailure forwards an error response of the endpoint to the caller.
func (t *turn) forwardFailure(ctx context.Context, e target, resp *upstream.Response) attemptResult {
	body, release, err := t.g.responses.read(resp.Body)
	defer release()
	if err != nil {
		resp.Discard()
		return t.attemptFailed(ctx, e, errors.Join(errUnusable, err))
	}
	resp.Reuse()
	t.attemptEnded(e, balance.Served, 0)
	t.endpointGoesOn()
	t.reportEnd()
	t.deliver(resp, body)
	return served
}

// forwardStream forwards the events of an endpoint to the caller. If they end early, the stream continues at another
// endpoint where its route allows that. Otherwise the caller's connection is closed, so that a truncated response
// cannot look complete.
func (t *turn) forwardStream(
	ctx context.Context, e target, resp *upstream.Response, reader *eventReader, first event, begun time.Time, sent int,
) attemptResult {
	q := t.request
	if !t.responded {
		t.outlastGrace() // an answer in its place is no longer possible
		q.copyHeaders(resp)
		q.respond(resp.Status)
	}
	firstAt, firstTook, before := time.Since(q.start), time.Since(begun), t.events
	err := t.copyEvents(reader, resp, first, func() {
		if t.events == before+2 {
			q.g.mu.Lock()
			q.g.balancer.Observe(e.ID, q.g.balancer.ExpectedTime(firstTook, time.Since(begun), 2))
			q.g.mu.Unlock()
		}
	})
	if err != nil {
		resp.Discard()
		result := t.attemptFailed(ctx, e, err)
		if result == unknownOutcome && t.progress.Resume(q.sends, time.Until(q.deadline)) {
			q.log.WithFields(logrus.Fields{"endpoint": e.ID, "reason": err.Error(), "last": t.progress.LastID(), "attempt": q.sends, "age": time.Since(q.start).Milliseconds()}).
				Info("stream continues at another endpoint")
			return unknownOutcome
		}
		t.reportEnd()
		t.breakOff(err)
	}
	resp.Reuse()
	q.g.mu.Lock()
	took := q.g.balancer.StreamTime(firstTook, time.Since(begun), t.events-before)
	q.g.mu.Unlock()
	q.attemptEnded(e, balance.Served, took)
	q.endpointGoesOn()
	t.slot.release() // the end of the response may wait for the store
	ended := time.Now()
	if q.route.History {
		if err := t.recordTurn(ctx); err != nil {
			t.breakOff(err)
		}
	} else {
		t.reportEnd()
	}
	q.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "bytes": sent, "first": firstAt.Milliseconds(), "waited": time.Since(ended).Milliseconds(), "events": t.events,
	}).Info("stream forwarded")
	q.logEnd(resp.Status, "")
	return served
}

// breakOff logs the failure of a response that has begun and closes the caller's connection.
func (t *turn) breakOff(err error) {
	reason := reasonUnknownOutcome
	if t.callerGone() {
		reason = reasonCallerLeft
	}
	t.log.WithFields(logrus.Fields{"reason": err.Error(), "last": t.progress.LastID(), "events": t.events}).Info("stream broken off")
	t.logEnd(0, reason)
	if !t.r.ProtoAtLeast(1, 1) {
		t.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the caller's connection. To a caller that speaks HTTP/1.0 a response ends with its connection, so
// that a connection closed in order would make it look complete.
func (t *turn) resetCaller() {
	c, _, err := http.NewResponseController(t.w).Hijack()
	if err != nil {
		t.log.WithField("reason", err.Error()).Warn("caller's connection not reset")
		return
	}
	defer c.Close()
	tcp, ok := c.(interface{ SetLinger(int) error })
	if !ok {
		return
	}
	if err := tcp.SetLinger(0); err != nil {
		t.log.WithField("reason", err.Error()).Info("caller's connection not reset")
	}
}

// Errors of streams.
var (
	errStalled       = errors.New("stream stalled")
	errMissingEvents = errors.New("events are missing")
	errTooLong       = errors.New("stream exceeds the maximum length of its turn")
	errNotResumed    = errors.New("no endpoint continued the stream")
)

// readEvent reads the next event. It fails when the stream stalls; comments do not count as progress.
func (t *turn) readEvent(reader *eventReader, resp *upstream.Response) (event, error) {
	stall := t.progress.Stall(t.sends)
	if stall == 0 {
		return reader.next()
	}
	var stalled atomic.Bool
	watch := time.AfterFunc(stall, func() {
		stalled.Store(true)
		resp.Interrupt()
	})
	defer watch.Stop()
	for {
		e, err := reader.next()
		switch {
		case stalled.Load():
			return e, errStalled
		case err != nil || !e.empty():
			return e, err
		}
		if err := t.write(e.raw); err != nil {
			return e, err
		}
	}
}

// copyEvents forwards each event as it arrives, until the stream ends with a complete event. It calls onEvent after
// each of them.
func (t *turn) copyEvents(reader *eventReader, resp *upstream.Response, e event, onEvent func()) error {
	for {
		if err := t.forwardEvent(e); err != nil {
			return err
		}
		onEvent()
		var err error
		e, err = t.readEvent(reader, resp)
		if err == io.EOF {
			_, err := t.w.Write(e.raw)
			return err
		}
		if err != nil {
			return err
		}
	}
}

// forwardEvent writes an event to the caller unless the caller has it already.
func (t *turn) forwardEvent(e event) error {
	if e.empty() {
		return t.write(e.raw)
	}
	switch t.progress.Event(e.id, time.Now()) {
	case resume.Skip:
		return nil
	case resume.Missing:
		return errMissingEvents
	}
	// The last event may carry fewer tokens than the others.
	if limit := t.meta.MaxTokensOut; limit > 0 && t.events*t.tokensPerEvent >= limit+t.tokensPerEvent {
		return errTooLong
	}
	t.events++
	if t.route.History {
		if len(t.body)+len(t.output)+len(e.data) >= t.g.ledger.MaxTurnBytes() {
			return errTooLong
		}
		before := cap(t.output)
		t.output = append(append(t.output, e.data...), '\n')
		t.texts.Force(int64(cap(t.output) - before))
	}
	return t.write(e.raw)
}

// write writes to the caller at once.
func (t *turn) write(data []byte) error {
	n := int64(cap(data))
	t.unread.Force(n)
	defer t.unread.Shrink(n)
	if _, err := t.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(t.w).Flush()
}

// recordTurn writes the complete turn to the history. The response to the caller ends only after that, so that a
// caller with a complete response can continue the turn.
func (t *turn) recordTurn(ctx context.Context) error {
	q := t.request
	t.ended = true
	err := q.g.ledger.End(ctx, history.End{
		Program: t.begin.Program, Turn: t.begin.Turn, Previous: t.begin.Previous, Complete: true,
		Input: q.body, Output: t.output, Tokens: t.events * t.tokensPerEvent, Reserved: q.meta.MaxTokensOut, Confirmed: true, Retention: q.route.Retention,
	})
	if err != nil {
		return err
	}
	q.g.prefixes.put(t.begin.Turn, bytes.Join([][]byte{t.prefix, q.body, t.output}, nil))
	return nil
}
