package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/balance"
)

// Callers of a stream leave after a pause of callerPatience, or of these multiples of the route's targets if one of
// them is longer.
const (
	callerPatience        = 2 * time.Second
	patienceTargetLatency = 4
	patienceTargetGap     = 8
)

// admissionQueues carries out the decisions of the admission queues, one for each service. Its fields are protected by
// Gateway.mu.
type admissionQueues struct {
	queues map[queueKey]*admission.Queue
	calls  map[*admission.Ticket]*admissionCall
	timer  *time.Timer // see setPlanTimer
}

// queueKey names a queue: that of a service's turns, or that of its calls, which is used while endpoints limit their
// requests.
type queueKey struct {
	service string
	calls   bool
}

// admissionCall is a turn that waits for its decision.
type admissionCall struct {
	query   balance.Query
	target  target
	load    int // of the target
	decided chan struct{}

	shares  *admission.Shares // nil if the capacity is not divided among teams
	team    string
	first   bool // begins a program
	attains attaining
}

func newAdmissionQueues() *admissionQueues {
	return &admissionQueues{
		queues: make(map[queueKey]*admission.Queue), calls: make(map[*admission.Ticket]*admissionCall),
	}
}

// slot is the permission to send a turn to an endpoint, at which it is registered already.
type slot struct {
	g      *Gateway
	key    queueKey
	target target

	used     bool
	released bool
	attains  attaining
	tokens   func() int64 // of the response so far; nil: 0
}

// use returns the endpoint, once.
func (s *slot) use() (target, bool) {
	first := !s.used
	s.used = true
	return s.target, first
}

// release tells the balancer and the waiting turns that the turn has ended at its endpoint, or that it was not sent.
// Only the first call has an effect.
func (s *slot) release() {
	now := time.Now()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	tokens := int64(0)
	if s.tokens != nil {
		tokens = s.tokens()
	}
	s.attains.ended(tokens, now)
	if !s.used {
		s.g.balancer.Ended(s.target.ID, s.target.number, balance.Abandoned, 0, now)
	}
	if queue := s.g.admission.queues[s.key]; queue != nil && !s.key.calls {
		queue.Ended(now)
		s.g.planTurns(now)
	}
}

// checkRoom returns a rejection if no program may begin now. It reserves nothing.
func (q *request) checkRoom(service string) *rejection {
	g, now := q.g, time.Now()
	candidates := g.view.candidates(service)
	if len(candidates) == 0 {
		return unavailable(reasonNoEndpoint, minRetryAfter)
	}
	g.mu.Lock()
	begun := g.ownTurns().Begun + g.balancer.PeerTurns().Begun
	queue := g.admission.queues[queueKey{service: service}]
	full := false
	var ticket *admission.Ticket
	var retryAfter time.Duration
	if queue != nil {
		g.setShares(queue, service)
		var limit float64
		ticket, limit = queue.MayBegin(q.turn(false, now), now)
		full = g.balancer.Occupancy(candidates, begun, now) >= limit && (begun > 0 || !g.sparePermit(candidates, now))
		if full {
			retryAfter = queue.RetryAfter()
		}
	}
	g.mu.Unlock()
	over := ticket != nil && ticket.Standing.Over
	if !full && !over {
		return nil
	}
	ticket.Action = admission.Reject
	g.metrics.turnDecided(service, admission.First, admission.Reject, 0)
	g.metrics.firstTurnDecided(ticket)
	fields := logrus.Fields{"rank": admission.First.String(), "waiting": begun, "waited": 0}
	logStanding(fields, ticket)
	if over {
		return q.overShare(fields, ticket)
	}
	q.logRejected(fields, retryAfter)
	return unavailable(reasonOverload, retryAfter)
}

func (q *request) logRejected(fields logrus.Fields, retryAfter time.Duration) {
	q.log.WithFields(fields).WithField("retry", retryAfter.Milliseconds()).Info("turn rejected, endpoints are full")
}

// admitTurn waits until the turn may be sent. It returns neither a slot nor a rejection if ctx ends before.
func (q *request) admitTurn(ctx context.Context, service string, begun bool, savings map[string]float64) (*slot, *rejection) {
	turn := q.turn(begun, time.Now())
	return q.enqueue(ctx, queueKey{service: service}, turn, q.query(service, savings))
}

// turn returns the turn for which a decision is needed.
func (q *request) turn(begun bool, now time.Time) admission.Turn {
	turn := admission.Turn{
		Begun: begun, Priority: q.route.Priority, Target: q.route.TargetLatency, Deadline: q.deadline, EnqueuedAt: now,
		Patience: max(callerPatience, patienceTargetLatency*q.route.TargetLatency, patienceTargetGap*q.route.TargetGap),
	}
	turn.Team, turn.TeamPriority = q.teamOf()
	if q.meta.HasProgramTimeout {
		turn.Due = q.start.Add(q.meta.ProgramTimeout)
	}
	return turn
}

// admitCall waits until a call may be sent to an endpoint, while endpoints of its service limit their requests. It
// returns neither a slot nor a rejection if ctx ends before.
func (q *request) admitCall(ctx context.Context, service string) (*slot, *rejection) {
	now := time.Now()
	turn := admission.Turn{
		Call: true, Begun: true, Priority: q.route.Priority, Target: q.route.TargetLatency, Deadline: q.deadline, EnqueuedAt: now,
		Patience: q.deadline.Sub(now),
	}
	if q.meta.HasProgramTimeout {
		turn.Due = q.start.Add(q.meta.ProgramTimeout)
	}
	return q.enqueue(ctx, queueKey{service: service, calls: true}, turn, q.query(service, nil))
}

// enqueue adds a turn to a queue and waits for the decision on it.
func (q *request) enqueue(ctx context.Context, key queueKey, turn admission.Turn, query balance.Query) (*slot, *rejection) {
	now := turn.EnqueuedAt
	call := &admissionCall{query: query, decided: make(chan struct{})}
	if len(call.query.Candidates) == 0 {
		return nil, unavailable(reasonNoEndpoint, minRetryAfter)
	}
	g := q.g
	g.mu.Lock()
	queue := g.admission.queues[key]
	if queue == nil {
		queue = &admission.Queue{Calls: key.calls}
		g.admission.queues[key] = queue
	}
	g.setShares(queue, key.service)
	call.shares, call.team, call.first = queue.Shares, turn.Team, !turn.Begun
	ticket := queue.Add(turn, now, func(_ *admission.Ticket, b admission.Bounds) bool { return g.place(call, b, now) })
	waits := ticket.Action == admission.Wait
	if waits {
		g.admission.calls[ticket] = call
		g.askForWaiting(key, queue, now)
		g.setPlanTimer(now)
	}
	g.mu.Unlock()
	if waits {
		q.releaseUnit() // it would expire
		select {
		case <-call.decided:
		case <-ctx.Done():
			if !g.withdraw(queue, ticket) {
				<-call.decided
			}
		}
	}
	return q.admitted(key, ticket, call)
}

// admitted logs the decision on a turn and returns it.
func (q *request) admitted(key queueKey, ticket *admission.Ticket, call *admissionCall) (*slot, *rejection) {
	waited := time.Since(ticket.EnqueuedAt)
	q.g.metrics.turnDecided(key.service, ticket.Rank, ticket.Action, waited)
	q.g.metrics.firstTurnDecided(ticket)
	fields := logrus.Fields{"rank": ticket.Rank.String(), "waiting": ticket.Waiting, "waited": waited.Milliseconds()}
	if !ticket.Due.IsZero() {
		fields["slack"] = time.Until(ticket.Due).Milliseconds()
	}
	switch ticket.Action {
	case admission.Send:
		q.logChosen(call.target, call.load, fields)
		return &slot{g: q.g, key: key, target: call.target, attains: call.attains}, nil
	case admission.Reject:
		logStanding(fields, ticket)
		if ticket.Standing.Over {
			return nil, q.overShare(fields, ticket)
		}
		q.logRejected(fields, ticket.RetryAfter)
		return nil, unavailable(reasonOverload, ticket.RetryAfter)
	default:
		return nil, nil
	}
}

// withdraw takes back a waiting turn. It returns false if the turn was decided meanwhile.
func (g *Gateway) withdraw(queue *admission.Queue, ticket *admission.Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.calls[ticket] == nil {
		return false
	}
	delete(g.admission.calls, ticket)
	queue.Remove(ticket)
	return true
}

// place chooses an endpoint within the bounds and registers an attempt at it. The caller holds the lock.
func (g *Gateway) place(call *admissionCall, b admission.Bounds, now time.Time) bool {
	query := call.query
	query.MaxLoad, query.AnySpeed = b.MaxLoad, b.AnySpeed
	if b.MaxTotal > 0 {
		begun := g.ownTurns().Begun + g.balancer.PeerTurns().Begun
		if g.balancer.Occupancy(query.Candidates, begun, now) >= b.MaxTotal {
			if begun > 0 {
				return false
			}
			query.Permission = g.onlyByPermit
		}
	}
	e, load, ok := g.balancer.Pick(query, now)
	if ok {
		call.target, call.load = g.register(e, now), load
		call.sent(now)
	}
	return ok
}

// planTurns decides on waiting turns. The caller holds the lock.
func (g *Gateway) planTurns(now time.Time) {
	for key, queue := range g.admission.queues {
		if queue.Len() == 0 {
			continue
		}
		decided := queue.Plan(now, func(t *admission.Ticket, b admission.Bounds) bool {
			return g.place(g.admission.calls[t], b, now)
		})
		for _, t := range decided {
			close(g.admission.calls[t].decided)
			delete(g.admission.calls, t)
		}
		g.askForWaiting(key, queue, now)
	}
	g.setPlanTimer(now)
}

// setPlanTimer runs planTurns when the first waiting turn expires, or when a permit for it can be asked for again. The
// caller holds the lock.
func (g *Gateway) setPlanTimer(now time.Time) {
	var first time.Time
	for _, queue := range g.admission.queues {
		if at := queue.NextExpiry(); !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	if first.IsZero() {
		return
	}
	if at := g.permits.NextAsk(now); !at.IsZero() && at.Before(first) {
		first = at
	}
	if g.admission.timer == nil {
		g.admission.timer = time.AfterFunc(first.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.planTurns(time.Now())
		})
		return
	}
	g.admission.timer.Reset(first.Sub(now))
}

// shareRoom gives each queue the part of the room at its endpoints that falls to this instance, by the number of
// turns that wait here and at peers. The caller holds the lock.
func (g *Gateway) shareRoom(now time.Time) {
	own := g.ownTurns()
	if own.Waiting == 0 {
		return
	}
	share := float64(own.Waiting) / float64(own.Waiting+g.balancer.PeerTurns().Waiting)
	for key, queue := range g.admission.queues {
		if queue.Len() > 0 {
			queue.AddCredit(share * g.balancer.Room(g.view.candidates(key.service), admission.MaxLimit, now))
		}
	}
	g.planTurns(now)
}

// ownTurns counts the turns that wait at this instance. The caller holds the lock.
func (g *Gateway) ownTurns() balance.Turns {
	var turns balance.Turns
	for key, queue := range g.admission.queues {
		if !key.calls {
			turns.Waiting += queue.Len()
			turns.Begun += queue.Begun()
		}
	}
	return turns
}

// pruneQueues forgets the queues of services that have no endpoints.
func (g *Gateway) pruneQueues() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, queue := range g.admission.queues {
		if queue.Len() == 0 && len(g.view.candidates(key.service)) == 0 {
			delete(g.admission.queues, key)
		}
	}
	g.shares.sharing.Prune(func(service string) bool { return g.admission.queues[queueKey{service: service}] != nil })
}

// turnDecided records the decision on a turn and the time that it took.
func (c *instanceMetrics) turnDecided(service string, rank admission.Rank, action admission.Action, waited time.Duration) {
	service = c.routes.label(service)
	name := [...]string{admission.Wait: "left", admission.Send: "sent", admission.Reject: "rejected"}[action]
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_turns_decided_total{service=%q,rank=%q,action=%q}", service, rank, name)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("ragwortstile_turn_wait_seconds{service=%q,rank=%q}", service, rank)).Update(waited.Seconds())
}
