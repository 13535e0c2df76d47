package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/upstream"
)

const (
	// maxAnswerBytes bounds the answers of plain services that are held to be checked before the caller
	// gets them.
	maxAnswerBytes = 8 << 20
	// maxUnsent bounds the endpoints that are tried without anything having been sent to them.
	maxUnsent = 4
	// returnSoon is after how long a refused caller may come back when nothing is known to be busy.
	returnSoon = 40 * time.Millisecond
	// returnSpread is the span over which refused callers come back, so that they don't come at once.
	returnSpread = 60 * time.Millisecond
	// defaultWait is how long a caller waits that doesn't say.
	defaultWait = 30 * time.Second
)

// Reasons of refusals, as they stand in logs and counters.
const (
	reasonNoConfig    = "no_configuration"
	reasonNoRoute     = "no_route"
	reasonStaleConfig = "configuration_out_of_date"
	reasonNoID        = "no_request_id"
	reasonTooLarge    = "body_too_large"
	reasonBadBody     = "body_unreadable"
	reasonNoEndpoint  = "no_endpoint"
	reasonNotRun      = "refused_by_endpoints"
	reasonUnsure      = "outcome_unknown"
	reasonTimeout     = "time_over"
	reasonNoTurn      = "no_such_turn"
	reasonOverBudget  = "over_budget"
	reasonHistory     = "history_unavailable"
	reasonLeft        = "caller_left"
)

// request is one request of a caller on its way.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	meta    Meta
	route   *routing.Route
	version int64
	body    []byte
	start   time.Time
	ends    time.Time // when the caller, or the operator's time limit, ends the wait
	log     logrus.FieldLogger

	tried  map[string]bool
	sends  int  // requests written to endpoints
	mayRun bool // an endpoint may have run the request
}

// ServeHTTP serves callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() || g.ledger.Isolated() {
		w.Header().Set("Connection", "close")
	}
	q := &request{g: g, w: w, r: r, meta: g.protocol.Decode(r.Header), start: time.Now()}
	q.log = g.log.WithField("call", q.meta.ID)
	if q.meta.Program != "" {
		q.log = q.log.WithField("program", q.meta.Program)
	}
	if !q.admit() {
		return
	}
	if q.route.Kind == routing.Streaming {
		q.stream()
	} else {
		q.plain()
	}
}

// admit finds the route and reads the body. It answers requests that cannot be served.
func (q *request) admit() bool {
	table := q.g.beliefs.table.Load()
	if table == nil || !q.g.beliefs.known() {
		q.refuse(http.StatusServiceUnavailable, reasonNoConfig)
		return false
	}
	q.version = table.Version
	q.route = table.Match(q.r.Host, q.r.URL.EscapedPath())
	if q.route == nil {
		// A newer configuration that this instance hasn't read may have the route.
		if q.g.beliefs.configAge() > 2*q.g.settings.ConfigApplyTimeout {
			q.refuse(http.StatusServiceUnavailable, reasonStaleConfig)
			return false
		}
		q.refuse(http.StatusNotFound, reasonNoRoute)
		return false
	}
	if q.meta.ID == "" {
		q.refuse(http.StatusBadRequest, reasonNoID)
		return false
	}
	wait := q.meta.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	q.ends = q.start.Add(wait)
	return q.readBody(table.Limits.BodyBytes)
}

func (q *request) readBody(limit int64) bool {
	var body bytes.Buffer
	if n := q.r.ContentLength; n > 0 && n <= limit {
		body.Grow(int(n) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(q.r.Body, limit+1))
	switch {
	case n > limit:
		q.w.Header().Set("Connection", "close")
		q.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	case err != nil:
		q.w.Header().Set("Connection", "close")
		q.refuse(http.StatusBadRequest, reasonBadBody)
		return false
	}
	q.body = body.Bytes()
	return true
}

// refuse answers with a status of this instance's own. With 503 the request has not run and never will.
func (q *request) refuse(status int, reason string) {
	var retryAfter time.Duration
	if status == http.StatusServiceUnavailable {
		retryAfter = returnSoon + rand.N(returnSpread)
	}
	h := q.w.Header()
	q.g.protocol.EncodeRefusal(h, q.meta.ID, retryAfter)
	h.Set("Content-Length", "0")
	q.w.WriteHeader(status)
	q.ended(status, reason)
}

// ended writes the line that tells the outcome, and counts it.
func (q *request) ended(status int, reason string) {
	took := time.Since(q.start)
	fields := logrus.Fields{
		"status": status, "took": took.Milliseconds(), "config": q.version, "sends": q.sends,
	}
	name := ""
	if q.route != nil {
		name = q.route.Name
		fields["route"] = name
	}
	if reason != "" {
		fields["reason"] = reason
	}
	q.log.WithFields(fields).Info("request ended")
	q.g.metrics.ended(name, status, reason, took)
}

// left tells whether the caller has gone.
func (q *request) left() bool { return q.r.Context().Err() != nil }

// place is a request at an endpoint.
type place struct {
	balance.Endpoint
	number int64 // of the request at the balancer
}

// pick chooses an endpoint.
func (q *request) pick(service string, saves map[string]float64) (place, bool) {
	candidates := q.g.beliefs.candidates(service)
	q.g.mu.Lock()
	e, load, ok := q.g.balancer.Pick(balance.Query{Candidates: candidates, Tried: q.tried, Savings: saves, Connected: q.g.pool.HasIdle}, time.Now())
	number := int64(0)
	if ok {
		number = q.g.balancer.Sent(e.ID, time.Now())
	}
	q.g.mu.Unlock()
	if ok {
		q.log.WithFields(logrus.Fields{"endpoint": e.ID, "zone": e.Zone, "load": load, "config": q.version, "attempt": q.sends + 1, "age": time.Since(q.start).Milliseconds()}).
			Info("endpoint chosen")
	}
	return place{Endpoint: e, number: number}, ok
}

// answering notes that the answer has begun.
func (q *request) answering(e place) {
	q.g.mu.Lock()
	q.g.balancer.ResponseStarted(e.ID, e.number)
	q.g.mu.Unlock()
}

func (q *request) done(e place, result balance.Result, took time.Duration) {
	q.g.mu.Lock()
	q.g.balancer.Ended(e.ID, e.number, result, took, time.Now())
	q.g.mu.Unlock()
}

// target returns the service that the request goes to.
func (q *request) target() string {
	key := q.meta.Session
	if key == "" {
		key = q.meta.ID
	}
	return q.route.Pick(xxhash.Sum64String(key))
}

// send writes the request to an endpoint and returns the head of the answer.
func (q *request) send(ctx context.Context, e place, body []byte) (*upstream.Response, Reply, error) {
	var reply Reply
	left := time.Until(q.ends)
	resp, err := q.g.pool.Do(ctx, e.Addr, upstream.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host,
		Header: q.g.protocol.Encode(q.r.Header, e.ID, left), Body: body,
		Matches: func(status int, h http.Header) bool {
			reply = q.g.protocol.DecodeReply(status, h)
			return reply.ID == q.meta.ID || (reply.ID == "" && reply.NotExecuted)
		},
	})
	if !errors.Is(err, upstream.ErrNotSent) {
		q.sends++
	}
	return resp, reply, err
}

// verdict is what became of an attempt at an endpoint.
type verdict uint8

const (
	served verdict = iota
	notRun         // the endpoint has not run the request
	unsure         // it may have
	over           // the time is over, or the caller has left
)

// plain serves a request whose answer is passed on as a whole.
func (q *request) plain() {
	// A call that cannot be repeated goes on when its caller leaves: it would be lost half done.
	parent := q.r.Context()
	if q.route.Kind != routing.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, q.ends)
	defer cancel()
	service := q.target()
	done := q.tryEndpoints(
		func() (place, bool) { return q.pick(service, nil) },
		func(e place) verdict { return q.plainAttempt(ctx, e) },
	)
	if !done {
		q.giveUp(ctx)
	}
}

// tryEndpoints makes attempts at one endpoint after the other, and tells whether one of them served the request.
// After an attempt whose outcome is not known only a request that may be repeated is sent again.
func (q *request) tryEndpoints(pick func() (place, bool), attempt func(place) verdict) bool {
	q.tried = make(map[string]bool)
	for unsent := 0; q.sends < q.route.MaxAttempts && unsent < maxUnsent; {
		if q.mayRun && q.route.Kind != routing.Idempotent {
			break
		}
		e, ok := pick()
		if !ok {
			break
		}
		q.tried[e.ID] = true
		before := q.sends
		switch attempt(e) {
		case served:
			return true
		case unsure:
			q.mayRun = true
		case over:
			q.mayRun = q.mayRun || q.sends > before
			return false
		}
		if q.sends == before {
			unsent++
		}
	}
	return false
}

// giveUp answers a request that no endpoint served.
func (q *request) giveUp(ctx context.Context) {
	switch {
	case q.left():
		q.ended(0, reasonLeft)
		panic(http.ErrAbortHandler)
	case q.mayRun && ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, reasonTimeout)
	case q.mayRun:
		q.refuse(http.StatusBadGateway, reasonUnsure)
	case q.sends > 0:
		q.refuse(http.StatusServiceUnavailable, reasonNotRun)
	default:
		q.refuse(http.StatusServiceUnavailable, reasonNoEndpoint)
	}
}

func (q *request) plainAttempt(ctx context.Context, e place) verdict {
	begun := time.Now()
	resp, reply, err := q.send(ctx, e, q.body)
	if err != nil {
		return q.failed(ctx, e, err)
	}
	if reply.NotExecuted {
		return q.refused(e, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || !reply.FromEndpoint || len(body) > maxAnswerBytes || resp.Header.Get("Content-Encoding") != "" {
		resp.Discard()
		return q.failed(ctx, e, errors.Join(errUnusable, err))
	}
	resp.Reuse()
	q.done(e, balance.Served, time.Since(begun))
	q.deliver(resp, body)
	return served
}

var errUnusable = errors.New("answer is not usable")

// refused notes that an endpoint has not run the request.
func (q *request) refused(e place, resp *upstream.Response) verdict {
	resp.Discard()
	q.done(e, balance.Refused, 0)
	q.log.WithFields(logrus.Fields{"endpoint": e.ID, "http": resp.Status}).Info("endpoint refused")
	return notRun
}

// failed notes an attempt without a usable answer.
func (q *request) failed(ctx context.Context, e place, err error) verdict {
	fields := logrus.Fields{"endpoint": e.ID, "reason": err.Error(), "age": time.Since(q.start).Milliseconds()}
	if ctx.Err() != nil {
		q.done(e, balance.Abandoned, 0)
		q.log.WithFields(fields).Info("attempt ended with the wait")
		return over
	}
	q.done(e, balance.Failed, 0)
	q.log.WithFields(fields).Info("attempt failed")
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun
	}
	return unsure
}

// copyHeaders takes the headers of an answer over. What this instance says of the caller's connection stays.
func (q *request) copyHeaders(resp *upstream.Response) {
	h := q.w.Header()
	closing := h.Get("Connection")
	q.g.protocol.EncodeReply(h, resp.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// deliver passes a whole answer on.
func (q *request) deliver(resp *upstream.Response, body []byte) {
	q.copyHeaders(resp)
	if _, err := q.writeAnswer(resp.Status, body); err != nil {
		q.log.WithField("reason", err.Error()).Info("answer not taken by the caller")
	}
	q.ended(resp.Status, "")
}

func (q *request) writeAnswer(status int, body []byte) (int, error) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		q.w.Header()["Content-Length"] = []string{itoa(len(body))}
	}
	q.w.WriteHeader(status)
	return q.w.Write(body)
}
