package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// readinessDelay is how long the external load balancer may take to notice that an instance is no longer
	// ready: two probes, one second apart, and one in flight.
	readinessDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that remains when the last connections are closed.
	stopMargin = 700 * time.Millisecond
	// answerMargin is how long before that the requests which are still in progress are answered.
	answerMargin = 150 * time.Millisecond
	// closeTimeout is how long the last responses may take to be written. A connection on which nothing was sent takes
	// all of it.
	closeTimeout = 200 * time.Millisecond
	// stopPollInterval is how often an instance that stops looks whether requests are still in progress.
	stopPollInterval = 20 * time.Millisecond
)

// stopPlan says when the parts of a planned stop end.
type stopPlan struct {
	callersUntil time.Time // the load balancer sends callers until then
	answersUntil time.Time // requests in progress must have been answered
	ends         time.Time // the last connections are closed
}

func newStopPlan(now time.Time, grace time.Duration) stopPlan {
	ends := now.Add(grace - stopMargin)
	return stopPlan{callersUntil: now.Add(min(readinessDelay, grace/2)), answersUntil: ends.Add(-answerMargin), ends: ends}
}

// takes decides whether a request that has arrived whole may be passed on. As long as callers are sent here, it is likely to
// end in time. A later one came over a connection that was open, or its body took long: it must be sure to end, since its caller
// can go to another instance.
func (p stopPlan) takes(now, deadline time.Time) bool {
	return now.Before(p.callersUntil) || !deadline.After(p.answersUntil)
}

// tooLate reports whether the instance stops before a request that has just arrived is sure to end.
func (g *Gateway) tooLate(deadline time.Time) bool {
	plan := g.stopPlan.Load()
	return plan != nil && !plan.takes(time.Now(), deadline)
}

// stop shuts the instance down in order: it becomes unready so that new callers go to other instances, releases its partitions
// if another instance can take them over, and finishes the requests in progress. Otherwise it releases them last. Requests that
// are still in progress at the end get an answer that promises nothing.
func (g *Gateway) stop(front *http.Server, callers net.Listener) {
	plan := newStopPlan(time.Now(), g.settings.StopGrace)
	g.stopPlan.Store(&plan)
	g.stopping.Store(true)
	g.log.WithField("count", g.active.Load()).Info("instance stops, callers are sent elsewhere")
	graceOver := time.AfterFunc(time.Until(plan.answersUntil), g.endGrace)
	defer graceOver.Stop()
	g.ledger.Leave(context.Background())
	time.Sleep(time.Until(plan.callersUntil))
	if err := callers.Close(); err != nil {
		g.log.WithField("reason", err.Error()).Warn("listener of callers not closed")
	}
	ctx, cancel := context.WithDeadline(context.Background(), plan.ends)
	defer cancel()
	for g.active.Load()+g.relaying.Load() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	if ctx.Err() != nil {
		g.log.WithField("count", g.active.Load()).Warn("grace period is over with requests in progress")
	}
	g.closeConnections(ctx, front)
	g.ledger.Finish(ctx)
}

// closeConnections closes all connections of callers. Open ones are used until then, also for requests that arrive at this
// moment: a request that the server has begun to serve is waited for, and what it reads from then on is not served. Closing
// idle connections earlier would cut off requests that are being read there and are passed on all the same.
func (g *Gateway) closeConnections(ctx context.Context, front *http.Server) {
	for {
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		err := front.Shutdown(closing)
		cancel()
		if err == nil {
			return
		}
		if g.active.Load() == 0 || ctx.Err() != nil {
			break
		}
	}
	if err := front.Close(); err != nil {
		g.log.WithFields(logrus.Fields{"count": g.active.Load(), "reason": err.Error()}).Warn("connections of callers not closed")
	}
}

// untilGraceOver returns a context that also ends when requests in progress of a stop must be answered, until keep is called.
func (g *Gateway) untilGraceOver(parent context.Context) (ctx context.Context, keep func() bool, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(parent)
	return ctx, context.AfterFunc(g.graceOver, cancel), cancel
}
