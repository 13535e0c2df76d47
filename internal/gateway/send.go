package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/quarantine"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/upstream"
)

// responseStarted tells the balancer that the response has begun.
func (q *request) responseStarted(e target) {
	q.g.mu.Lock()
	q.g.balancer.ResponseStarted(e.ID, e.number)
	q.g.mu.Unlock()
}

// attemptEnded tells the balancer how an attempt ended.
func (q *request) attemptEnded(e target, result balance.Result, took time.Duration) {
	q.attempting = false
	q.g.mu.Lock()
	q.g.balancer.Ended(e.ID, e.number, result, took, time.Now())
	q.g.mu.Unlock()
}

// send sends the request to an endpoint and returns the head of the response.
func (q *request) send(ctx context.Context, e target, body []byte, lastEvent string) (*upstream.Response, Reply, error) {
	var reply Reply
	attempt := Attempt{
		Endpoint: e.ID, Remaining: time.Until(q.deadline), LastEvent: lastEvent, HasTeams: q.hasTeams, Team: q.teamName(),
	}
	sent := time.Now()
	q.leaseExpired = false
	resp, err := q.exchange(ctx, e, upstream.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host,
		Header: q.g.protocol.Encode(q.r.Header, attempt), Body: body,
		Wanted: func() bool {
			q.leaseExpired = !q.unitValid()
			return !q.callerGone() && q.authorized() && !q.leaseExpired
		},
		Matches: func(status int, h http.Header, first bool) bool {
			reply = q.g.protocol.DecodeReply(status, h)
			if reply.answers(q.meta.ID, first) {
				return true
			}
			q.log.WithFields(logrus.Fields{"endpoint": e.ID, "http": status}).Info("response skipped, it does not name the request")
			return false
		},
	})
	if !errors.Is(err, upstream.ErrNotSent) {
		q.sends++
		if err != nil || !reply.NotExecuted {
			q.useUnit()
		}
	}
	if err == nil && reply.Leaving {
		q.g.observeLeaving(e.ID, e.StartUnixMs)
	}
	if err == nil && reply.StatesLimit {
		q.g.observeLimit(e.ID, reply.Limit, sent)
	}
	return resp, reply, err
}

// attemptResult is the outcome of an attempt at an endpoint.
type attemptResult uint8

const (
	served         attemptResult = iota
	notExecuted                  // the endpoint has not executed the request
	unknownOutcome               // the endpoint may have executed the request
	abandoned                    // the deadline has passed or the caller has left
)

// serveBuffered serves a request whose response is read whole and checked before the caller gets it.
func (q *request) serveBuffered() {
	placing, cancelPlacing := q.whileWanted(q.r.Context())
	defer cancelPlacing()
	ctx := placing
	if q.route.Kind != routing.Idempotent {
		// Once it is sent, the call continues when its caller leaves: cancelling could leave it half done.
		var cancel context.CancelFunc
		ctx, cancel = q.whileWanted(context.WithoutCancel(q.r.Context()))
		defer cancel()
	}
	service := q.pickService()
	var rejected *rejection
	done := q.tryEndpoints(
		func() (e target, ok bool) {
			e, rejected = q.placeCall(placing, service)
			return e, e.ID != ""
		},
		func(e target) attemptResult { return q.bufferedAttempt(ctx, e) },
	)
	switch {
	case done:
	case rejected != nil && q.sends == 0 && q.quarantinedUntil.IsZero() && !q.callerGone():
		q.reject(rejected)
	default:
		q.giveUp(ctx)
	}
}

// tryEndpoints tries one endpoint after the other and reports whether one of them served the request. After an
// attempt with an unknown outcome only a repeatable request is sent again, since any other could be executed
// twice. Nothing is sent for a caller that has left.
func (q *request) tryEndpoints(pick func() (target, bool), attempt func(target) attemptResult) bool {
	q.tried = make(map[string]bool)
	for unsent := 0; q.sends < q.route.MaxAttempts && unsent < maxUnsentAttempts; {
		if q.mayHaveRun && !q.route.Repeatable() || q.quarantined() || q.callerGone() {
			break
		}
		if !q.authorized() {
			break
		}
		e, ok := pick()
		if !ok {
			break
		}
		if q.overQuota = q.renewUnit(); q.overQuota != nil {
			q.attemptEnded(e, balance.Abandoned, 0)
			break
		}
		q.tried[e.ID] = true
		before := q.sends
		switch q.runAttempt(e, attempt) {
		case served:
			return true
		case unknownOutcome:
			q.mayHaveRun = true
		case abandoned:
			q.mayHaveRun = q.mayHaveRun || q.sends > before
			return false
		}
		if q.sends == before {
			unsent++
		}
	}
	return false
}

// runAttempt runs an attempt at an endpoint. If it panics, the balancer counts it as failed.
func (q *request) runAttempt(e target, attempt func(target) attemptResult) attemptResult {
	q.attempting = true
	defer func() {
		if q.attempting {
			q.attemptEnded(e, balance.Failed, 0)
		}
	}()
	return attempt(e)
}

// giveUp refuses a request that no endpoint has served, or aborts it if its caller has left.
func (q *request) giveUp(ctx context.Context) {
	switch {
	case q.callerGone():
		q.logEnd(0, reasonCallerLeft)
		panic(http.ErrAbortHandler)
	case q.mayHaveRun && ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, reasonTimeout)
	case q.mayHaveRun:
		q.refuse(http.StatusBadGateway, reasonUnknownOutcome)
	case q.unauthorized != nil:
		q.reject(q.unauthorized)
	case !q.quarantinedUntil.IsZero():
		q.refuseQuarantined()
	case q.overQuota != nil:
		q.reject(q.overQuota)
	case q.sends > 0:
		q.refuse(http.StatusServiceUnavailable, reasonNotExecuted)
	default:
		q.refuse(http.StatusServiceUnavailable, reasonNoEndpoint)
	}
}

func (q *request) bufferedAttempt(ctx context.Context, e target) attemptResult {
	begun := time.Now()
	resp, reply, err := q.send(ctx, e, q.body, "")
	if err != nil {
		return q.attemptFailed(ctx, e, err)
	}
	defer resp.Discard()
	if reply.NotExecuted {
		return q.attemptRefused(e, resp, reply)
	}
	body, release, err := q.g.responses.read(resp.Body)
	defer release()
	if err != nil || !reply.FromEndpoint || resp.Header.Get("Content-Encoding") != "" {
		resp.Discard()
		return q.attemptFailed(ctx, e, errors.Join(errUnusable, err))
	}
	resp.Reuse()
	q.attemptEnded(e, balance.Served, time.Since(begun))
	q.endpointGoesOn()
	q.deliver(resp, body)
	return served
}

var errUnusable = errors.New("unusable response")

// attemptRefused records that an endpoint has rejected the request without executing it.
func (q *request) attemptRefused(e target, resp *upstream.Response, reply Reply) attemptResult {
	finishResponse(resp, reply, q.meta.ID)
	q.attemptEnded(e, balance.Refused, 0)
	q.log.WithFields(logrus.Fields{"endpoint": e.ID, "http": resp.Status}).Info("endpoint refused")
	return notExecuted
}

// finishResponse finishes a response that was read to its end, or a refusal. After a refusal the connection is used
// again only if it has no body, which could hold the request up, and names the request: an endpoint whose refusals have
// no ID could not refuse the next request on the connection, see Reply.answers. It is not used again either if the
// endpoint is not the intended one: the request may be sent there once more under that endpoint's ID, and a late copy
// of the refusal would then name it.
func finishResponse(resp *upstream.Response, reply Reply, request string) {
	if !reply.NotExecuted || resp.Header.Get("Content-Length") == "0" && reply.ID == request && resp.Status != http.StatusMisdirectedRequest {
		resp.Reuse()
	} else {
		resp.Discard()
	}
}

// attemptFailed records an attempt without a usable response.
func (q *request) attemptFailed(ctx context.Context, e target, err error) attemptResult {
	fields := logrus.Fields{"endpoint": e.ID, "reason": err.Error(), "age": time.Since(q.start).Milliseconds()}
	if ctx.Err() != nil || errors.Is(err, upstream.ErrNotSent) && (q.callerGone() || q.unauthorized != nil) {
		q.attemptEnded(e, balance.Abandoned, 0)
		q.log.WithFields(fields).Info("attempt abandoned: deadline passed, caller left or API key no longer accepted")
		return abandoned
	}
	if errors.Is(err, upstream.ErrNotSent) && q.leaseExpired {
		delete(q.tried, e.ID) // it was not tried
		q.attemptEnded(e, balance.Abandoned, 0)
		q.log.WithFields(fields).Info("attempt abandoned: the lease of the team's quota has expired")
		return notExecuted
	}
	q.attemptEnded(e, balance.Failed, 0)
	if errors.Is(err, upstream.ErrNotSent) {
		q.log.WithFields(fields).Info("attempt failed")
		return notExecuted
	}
	switch {
	case upstream.BrokenOff(err) && !q.viaPeer:
		fields["digest"] = q.digest().String()
		q.g.checkCrash(e.Endpoint, q.digest(), q.brokenOffBy)
		q.brokenOffBy = append(slices.Clip(q.brokenOffBy), e.ID)
	case endedAtPeer(err):
		fields["digest"] = q.digest().String()
		q.g.reportCrash(e.Endpoint, &crashCheck{at: time.Now(), digests: map[quarantine.Digest][]string{q.digest(): q.brokenOffBy}})
		q.brokenOffBy = append(slices.Clip(q.brokenOffBy), e.ID)
	}
	q.log.WithFields(fields).Info("attempt failed")
	return unknownOutcome
}

// copyHeaders copies the headers of an endpoint's response. A Connection header that this instance has already
// set for the caller is kept.
func (q *request) copyHeaders(resp *upstream.Response) {
	h := q.w.Header()
	closing := h.Get("Connection")
	q.g.protocol.EncodeReply(h, resp.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// deliver forwards a complete response to the caller.
func (q *request) deliver(resp *upstream.Response, body []byte) {
	q.copyHeaders(resp)
	if _, err := q.writeResponse(resp.Status, body); err != nil {
		q.log.WithField("reason", err.Error()).Info("cannot write the response to the caller")
	}
	q.logEnd(resp.Status, "")
}

func (q *request) writeResponse(status int, body []byte) (int, error) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		q.w.Header()["Content-Length"] = []string{itoa(len(body))}
	}
	q.respond(status)
	return q.w.Write(body)
}
