package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/history"
	"ragwortstile/internal/ledger"
	"ragwortstile/internal/upstream"
)

const (
	// beginShare is the part of a turn's time that may pass until its history is there.
	beginShare = 0.5
	// reservationSlack is added to the time after which an attempt without a known end counts as ended.
	reservationSlack = time.Second
	// endTimeout bounds the report of an attempt that gave no whole turn.
	endTimeout = 5 * time.Second
	// eventBuffer is the size of the reads of a stream.
	eventBuffer = 4 << 10
)

func itoa(n int) string { return strconv.Itoa(n) }

// turn is a streaming request on its way.
type turn struct {
	*request
	begin  history.Begin
	prefix []byte // text of the chain before the turn
	output []byte // data of its events
	events int64
	perEvt int64 // tokens of an event
}

// stream serves a request whose answer is passed on event by event. It is sent to a second endpoint only
// after the first has said that it did not run it.
func (q *request) stream() {
	t := &turn{request: q, perEvt: 1}
	service := q.target()
	if table := q.g.beliefs.table.Load(); table != nil {
		if s := table.Services[service]; s.Engine != nil {
			t.perEvt = int64(s.Engine.TokensPerEvent)
		}
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), q.ends)
	defer cancel()
	if q.route.KeepsHistory() && !t.open(ctx) {
		return
	}
	confirmed := t.confirm(ctx)
	done := q.tryEndpoints(
		func() (place, bool) { return q.pick(service, q.g.affinity.saves(q.meta, t.prefix)) },
		func(e place) verdict { return t.attempt(ctx, e, confirmed) },
	)
	if !done {
		t.settle()
		q.giveUp(ctx)
	}
}

// open gets leave to run the turn and the text before it. It answers requests that don't get it.
func (t *turn) open(ctx context.Context) bool {
	q := t.request
	if q.meta.BadPrevious {
		q.refuse(http.StatusNotFound, reasonNoTurn)
		return false
	}
	prefix, known := q.g.chains.get(q.meta.Previous)
	t.prefix = prefix
	t.begin = history.Begin{
		Program: q.meta.Program, Turn: q.meta.ID, Previous: q.meta.Previous, HasChain: known,
		MaxTokens: q.meta.MaxTokensOut, ExpectedTokens: q.meta.ExpectedTokensOut, Budget: q.meta.Budget, HasBudget: q.meta.HasBudget,
		MaxDuration: time.Until(q.ends) + reservationSlack,
	}
	bctx, cancel := context.WithTimeout(ctx, time.Duration(beginShare*float64(time.Until(q.ends))))
	defer cancel()
	body, err := q.g.ledger.Begin(bctx, t.begin)
	switch {
	case err == nil:
		if !known {
			t.prefix = body
		}
		return true
	case errors.Is(err, ledger.ErrUnknownTurn):
		q.refuse(http.StatusNotFound, reasonNoTurn)
	case errors.Is(err, ledger.ErrOverBudget):
		q.refuse(http.StatusPaymentRequired, reasonOverBudget)
	case q.left():
		t.settle()
		q.ended(0, reasonLeft)
		panic(http.ErrAbortHandler)
	default:
		q.log.WithField("reason", err.Error()).Info("history not available")
		t.settle()
		q.refuse(http.StatusServiceUnavailable, reasonHistory)
	}
	return false
}

// confirm waits beside the endpoint's work until the reservation is in the store.
func (t *turn) confirm(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if !t.route.KeepsHistory() {
		done <- nil
		return done
	}
	go func() { done <- t.g.ledger.Confirm(ctx, t.begin) }()
	return done
}

// settle reports the end of an attempt that gave no whole turn.
func (t *turn) settle() {
	if !t.route.KeepsHistory() {
		return
	}
	end := history.End{Program: t.meta.Program, Turn: t.meta.ID, Tokens: t.events * t.perEvt, Reserved: t.meta.MaxTokensOut}
	log := t.log
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := t.g.ledger.End(ctx, end); err != nil {
			log.WithField("reason", err.Error()).Warn("end of the attempt not recorded, its reservation counts as spent")
		}
	}()
}

// attempt sends the turn to an endpoint and passes its events on.
func (t *turn) attempt(ctx context.Context, e place, confirmed <-chan error) verdict {
	q := t.request
	begun := time.Now()
	body := q.body
	if len(t.prefix) > 0 {
		body = append(t.prefix[:len(t.prefix):len(t.prefix)], q.body...)
	}
	resp, reply, err := q.send(ctx, e, body)
	if err != nil {
		return q.failed(ctx, e, err)
	}
	if reply.NotExecuted {
		return q.refused(e, resp)
	}
	if !reply.FromEndpoint || resp.Header.Get("Content-Encoding") != "" {
		resp.Discard()
		return q.failed(ctx, e, errUnusable)
	}
	if resp.Status != http.StatusOK {
		return t.failureAnswer(ctx, e, resp)
	}
	reader := &eventReader{br: bufio.NewReaderSize(resp.Body, eventBuffer)}
	first, err := reader.next()
	if err != nil {
		resp.Discard()
		return q.failed(ctx, e, errors.Join(errUnusable, err))
	}
	q.answering(e)
	select {
	case err = <-confirmed:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		resp.Discard()
		return q.failed(ctx, e, err)
	}
	q.g.affinity.placed(q.meta, e.ID)
	t.pass(ctx, e, resp, reader, first, begun, len(body))
	return served
}

// failureAnswer passes an endpoint's own failure on.
func (t *turn) failureAnswer(ctx context.Context, e place, resp *upstream.Response) verdict {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		resp.Discard()
		return t.failed(ctx, e, errors.Join(errUnusable, err))
	}
	resp.Reuse()
	t.done(e, balance.Served, 0)
	t.settle()
	t.deliver(resp, body)
	return served
}

// pass hands the events on. From here on the answer has begun: it ends whole, or the connection breaks.
func (t *turn) pass(
	ctx context.Context, e place, resp *upstream.Response, reader *eventReader, first event, begun time.Time, sent int,
) {
	q := t.request
	q.copyHeaders(resp)
	q.w.WriteHeader(resp.Status)
	firstAt, firstTook := time.Since(q.start), time.Since(begun)
	err := t.copyEvents(reader, first)
	if err != nil {
		resp.Discard()
		t.failed(ctx, e, err)
		t.settle()
		t.broken(err)
	}
	resp.Reuse()
	q.g.mu.Lock()
	took := q.g.balancer.StreamTime(firstTook, time.Since(begun), t.events)
	q.g.mu.Unlock()
	q.done(e, balance.Served, took)
	ended := time.Now()
	if q.route.KeepsHistory() {
		if err := t.keep(ctx); err != nil {
			t.broken(err)
		}
	}
	q.log.WithFields(logrus.Fields{
		"endpoint": e.ID, "bytes": sent, "first": firstAt.Milliseconds(), "waited": time.Since(ended).Milliseconds(), "events": t.events,
	}).Info("stream passed on")
	q.ended(resp.Status, "")
}

func (t *turn) broken(err error) {
	reason := reasonUnsure
	if t.left() {
		reason = reasonLeft
	}
	t.log.WithField("reason", err.Error()).Info("stream broken off")
	t.ended(0, reason)
	panic(http.ErrAbortHandler)
}

// copyEvents passes events on as they come, until the stream ends whole.
func (t *turn) copyEvents(reader *eventReader, e event) error {
	flusher := http.NewResponseController(t.w)
	for {
		t.events++
		if t.route.KeepsHistory() {
			t.output = append(append(t.output, e.data...), '\n')
		}
		if _, err := t.w.Write(e.raw); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
		var err error
		e, err = reader.next()
		if err == io.EOF {
			_, err := t.w.Write(e.raw)
			return err
		}
		if err != nil {
			return err
		}
	}
}

// keep puts the whole turn into the history. The caller's answer ends only after that.
func (t *turn) keep(ctx context.Context) error {
	q := t.request
	err := q.g.ledger.End(ctx, history.End{
		Program: q.meta.Program, Turn: q.meta.ID, Previous: q.meta.Previous, Complete: true,
		Input: q.body, Output: t.output, Tokens: t.events * t.perEvt, Reserved: q.meta.MaxTokensOut, Retention: q.route.Retention,
	})
	if err != nil {
		return err
	}
	q.g.chains.put(q.meta.ID, bytes.Join([][]byte{t.prefix, q.body, t.output}, nil))
	return nil
}
