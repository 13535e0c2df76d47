package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/memory"
	"ragwortstile/internal/quarantine"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
)

const (
	// maxUnsentAttempts bounds the attempts of a request that fail before anything is sent to an endpoint.
	maxUnsentAttempts = 4
	// minRetryAfter is the minimum Retry-After of a 503 response.
	minRetryAfter = 40 * time.Millisecond
	// retryAfterSpread is the range of the random part of Retry-After, which keeps refused callers from
	// retrying all at once.
	retryAfterSpread = 60 * time.Millisecond
	// defaultTimeout applies to requests that carry no timeout.
	defaultTimeout = 30 * time.Second
)

// Reasons of refusals, used in logs and metric labels.
const (
	reasonNoConfig       = "no_configuration"
	reasonNoRoute        = "no_route"
	reasonStaleConfig    = "configuration_out_of_date"
	reasonNoID           = "no_request_id"
	reasonTooLarge       = "body_too_large"
	reasonBadBody        = "body_unreadable"
	reasonNoEndpoint     = "no_endpoint"
	reasonOverload       = "endpoints_full"
	reasonOverShare      = "team_over_share"
	reasonNotExecuted    = "refused_by_endpoints"
	reasonUnknownOutcome = "outcome_unknown"
	reasonTimeout        = "time_over"
	reasonNoTurn         = "no_such_turn"
	reasonOverBudget     = "over_budget"
	reasonNoHistory      = "history_unavailable"
	reasonCallerLeft     = "caller_left"
	reasonQuarantined    = "crashes_endpoints"
	reasonStopping       = "instance_stops"
	reasonNoKey          = "no_api_key"
	reasonUnknownKey     = "unknown_api_key"
	reasonUnconfirmed    = "api_key_not_confirmed"
	reasonTeamChanged    = "team_changed"
	reasonInternal       = "internal_error"
)

// request is a caller's request in progress. Its stages are: identify (route and limits), hold (the body in memory), the
// checks of checkStop and checkQuarantine, the quota of the team (quota.go), placing at an endpoint (place.go, admission.go) and sending (send.go, stream.go,
// relay.go).
type request struct {
	g             *Gateway
	w             http.ResponseWriter
	r             *http.Request
	meta          Meta
	route         *routing.Route
	team          *team.Team // nil if the caller belongs to none
	hasTeams      bool       // the configuration that identified the caller has teams
	unauthorized  *rejection // set once the API key is found to be no longer accepted
	configVersion int64
	limits        routing.Limits
	body          []byte
	grant         *memory.Grant // of the memory of the body; nil if there is none
	memoryWaited  time.Duration // for the memory of the body
	start         time.Time
	deadline      time.Time // the earlier of the caller's timeout and the route's
	log           logrus.FieldLogger

	digestOnce       sync.Once
	digestSum        quarantine.Digest
	quarantinedUntil time.Time // set if the request is not sent because it is quarantined
	brokenOffBy      []string  // endpoints that broke the connection off in earlier attempts

	unit      unit       // permission of the team's quota for the next send
	overQuota *rejection // set if a further send was refused by the quota
	// leaseExpired says that the last attempt was not sent because the unit had expired.
	leaseExpired bool

	tried      map[string]bool // IDs of the endpoints already tried
	sends      int             // attempts of which anything may have been sent to an endpoint
	mayHaveRun bool            // an endpoint may have executed the request
	viaPeer    bool            // the current attempt was sent through a peer
	attempting bool            // the balancer counts an attempt as running
	responded  bool            // the head of the response was written
}

// ServeHTTP implements http.Handler for requests of callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.newRequest(w, r).serve() }

func (g *Gateway) newRequest(w http.ResponseWriter, r *http.Request) *request {
	return &request{g: g, w: w, r: r, meta: g.protocol.Decode(r.Header), start: time.Now(), log: g.log}
}

// serve runs the stages of the request.
func (q *request) serve() {
	g := q.g
	g.active.Add(1)
	defer g.active.Add(-1)
	defer q.recoverPanic()
	headRead(q.r.Context())
	q.closeIfLeaving()
	q.log = g.log.WithField("call", q.meta.ID)
	if q.meta.Program != "" {
		q.log = q.log.WithField("program", q.meta.Program)
	}
	defer q.release()
	defer q.releaseUnit()
	for _, stage := range []func() *rejection{q.identify, q.hold, q.checkStop, q.checkQuarantine, q.admitQuota} {
		if rejected := stage(); rejected != nil {
			q.reject(rejected)
			return
		}
	}
	if q.route.Kind == routing.Streaming {
		q.serveStream()
	} else {
		q.serveBuffered()
	}
}

// closeIfLeaving makes the caller's connection end with the response if the instance stops or cannot serve its callers well.
func (q *request) closeIfLeaving() {
	if q.g.stopping.Load() || q.g.ledger.Isolated() {
		q.w.Header().Set("Connection", "close")
	}
}

// recoverPanic ends a request whose handler has panicked, other than to break the caller's connection off. The request may
// have run, so the caller gets 502 if the response has not begun.
func (q *request) recoverPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	if reason == http.ErrAbortHandler {
		panic(reason)
	}
	q.g.metrics.set.GetOrCreateCounter("ragwortstile_handler_panics_total").Inc()
	q.log.WithFields(logrus.Fields{"reason": fmt.Sprint(reason), "stack": string(debug.Stack())}).Error("handler panicked")
	if q.responded {
		q.logEnd(0, reasonInternal)
		panic(http.ErrAbortHandler)
	}
	clear(q.w.Header()) // may hold those of an endpoint's response
	q.closeIfLeaving()
	q.refuse(http.StatusBadGateway, reasonInternal)
}

// respond writes the head of the response.
func (q *request) respond(status int) {
	q.w.WriteHeader(status)
	q.responded = true
}

// rejection is the outcome of a stage that ends a request which has not been executed.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration // of 429 and 503
	unread     bool          // the body has not been read to its end
}

// unavailable returns a rejection with status 503, which promises that the request never runs.
func unavailable(reason string, retryAfter time.Duration) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// checkStop rejects a request that the instance cannot answer before it stops.
func (q *request) checkStop() *rejection {
	if q.g.tooLate(q.deadline) {
		return unavailable(reasonStopping, minRetryAfter)
	}
	return nil
}

// reject responds with a rejection.
func (q *request) reject(r *rejection) {
	if !r.unread {
		if q.grant == nil && q.r.ContentLength != 0 {
			q.boundUnreadBody()
		}
		q.refuseFor(r.status, r.reason, r.retryAfter)
		return
	}
	q.release()
	q.w.Header().Set("Connection", "close")
	q.refuseFor(r.status, r.reason, r.retryAfter)
	q.linger()
}

// refuse responds with a status that this instance generates itself. 503 promises the caller that the request
// has not been executed and never will be.
func (q *request) refuse(status int, reason string) {
	q.refuseFor(status, reason, minRetryAfter)
}

// refuseFor is refuse with the time after which the caller of a request that may be repeated should come back. A
// random part is added, so that callers do not all come back at once.
func (q *request) refuseFor(status int, reason string, retryAfter time.Duration) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter += rand.N(max(retryAfter, retryAfterSpread))
	} else {
		retryAfter = 0
	}
	h := q.w.Header()
	q.g.protocol.EncodeRefusal(h, q.meta.ID, retryAfter)
	h.Set("Content-Length", "0")
	q.respond(status)
	q.logEnd(status, reason)
}

// logEnd logs the outcome of the request and records it in the metrics.
func (q *request) logEnd(status int, reason string) {
	took := time.Since(q.start)
	fields := logrus.Fields{
		"status": status, "took": took.Milliseconds(), "config": q.configVersion, "sends": q.sends,
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
	q.g.metrics.requestEnded(name, status, reason, took)
}

// callerGone reports whether the caller has disconnected or cancelled.
func (q *request) callerGone() bool { return q.r.Context().Err() != nil }

// whileWanted returns a context that ends with the deadline of the request, or when an instance that stops must answer.
func (q *request) whileWanted(parent context.Context) (context.Context, context.CancelFunc) {
	graceful, _, cancelGrace := q.g.untilGraceOver(parent)
	ctx, cancel := context.WithDeadline(graceful, q.deadline)
	return ctx, func() {
		cancel()
		cancelGrace()
	}
}
