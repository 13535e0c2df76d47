package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/id"
	"ragwortstile/internal/quarantine"
	"ragwortstile/internal/wire"
)

const (
	// crashCheckDelay is how long after the first broken connection an endpoint is checked. All its connections break
	// within that time if it has ended.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = 500 * time.Millisecond
	// crashMessengers is how many peers pass a report on for an instance that does not reach all others. With two, one of
	// them may end.
	crashMessengers = 2
	// crashWitnesses is how many other endpoints an instance that has reached none since the crash tries to reach.
	crashWitnesses = 4
)

// digest returns the digest of the request as the caller sent it.
func (q *request) digest() quarantine.Digest {
	q.digestOnce.Do(func() {
		h := xxhash.New()
		for _, part := range [...]string{q.r.Method, q.r.Host, q.r.RequestURI} {
			_, _ = h.WriteString(part + "\n") // Write of a hash.Hash never returns an error
		}
		q.digestSum.Path = h.Sum64()
		_, _ = h.Write(q.body)
		q.digestSum.Body = h.Sum64()
	})
	return q.digestSum
}

// quarantined reports whether the request must not be sent to an endpoint.
func (q *request) quarantined() bool {
	d := q.digest()
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	var found bool
	q.quarantinedUntil, found = q.g.quarantine.Until(d, time.Now())
	return found
}

// refuseQuarantined refuses the request until the end of its quarantine. It is no error of the caller's that could be
// told, and the request may run then, so it is refused as one that was not run.
func (q *request) refuseQuarantined() { q.reject(q.rejectQuarantined()) }

// checkQuarantine rejects a request that is quarantined.
func (q *request) checkQuarantine() *rejection {
	if q.quarantined() {
		return q.rejectQuarantined()
	}
	return nil
}

func (q *request) rejectQuarantined() *rejection {
	q.log.WithField("digest", q.digest().String()).Info("request not sent, endpoints crash with it")
	return unavailable(reasonQuarantined, max(time.Until(q.quarantinedUntil), minRetryAfter))
}

// endpointGoesOn records that the request was run by an endpoint that goes on.
func (q *request) endpointGoesOn() {
	g := q.g
	d := q.digest()
	g.mu.Lock()
	remembered := g.quarantine.Served(d)
	g.mu.Unlock()
	if remembered {
		g.broadcastCrashes(wire.RequestCrashes{Served: []wire.RequestDigest{wire.RequestDigest(d)}})
	}
}

// crashCheck finds out whether an endpoint that broke connections off has ended.
type crashCheck struct {
	at      time.Time                      // of the first broken connection
	digests map[quarantine.Digest][]string // requests whose connections it broke off, with the endpoints that did so before
}

// checkCrash checks whether the endpoint has ended with the request, after its connection was broken off as those of
// earlier attempts were.
func (g *Gateway) checkCrash(e balance.Endpoint, d quarantine.Digest, earlier []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	check := g.crashChecks[e.ID]
	if check == nil {
		check = &crashCheck{at: time.Now(), digests: make(map[quarantine.Digest][]string)}
		g.crashChecks[e.ID] = check
		go g.runCrashCheck(e, check)
	}
	if known, found := check.digests[d]; !found || len(known) < len(earlier) {
		check.digests[d] = earlier
	}
}

func (g *Gateway) runCrashCheck(e balance.Endpoint, check *crashCheck) {
	ended := g.hasEnded(e, check.at)
	g.mu.Lock()
	delete(g.crashChecks, e.ID)
	g.mu.Unlock()
	if ended {
		g.reportCrash(e, check)
	}
}

// hasEnded reports whether an endpoint that broke connections off is no longer there. An instance that reaches no other
// endpoint asks its peers, because its own links may have failed.
func (g *Gateway) hasEnded(e balance.Endpoint, brokenAt time.Time) bool {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if g.pool.Reachable(ctx, e.Addr) {
		return false
	}
	if g.reachedSince(brokenAt) || g.reachesAnother(ctx, e) {
		return true
	}
	askCtx, cancelAsk := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancelAsk()
	if reached, known := g.reachedByPeer(askCtx, e); known {
		return !reached
	}
	cutOff, _ := g.cutOff()
	return !cutOff
}

func (g *Gateway) reachedSince(since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links.ReachedSince(since)
}

// reachesAnother reports whether one of a few other endpoints accepts a connection.
func (g *Gateway) reachesAnother(ctx context.Context, than balance.Endpoint) bool {
	for range crashWitnesses {
		if e, ok := g.view.anyEndpoint(); ok && e.ID != than.ID && g.probe(ctx, e) {
			return true
		}
	}
	return false
}

// reportCrash tells all instances which requests an endpoint has ended with. Of those that are quarantined it sends all
// crashes, since an instance may have missed the earlier ones.
func (g *Gateway) reportCrash(e balance.Endpoint, check *crashCheck) {
	g.log.WithFields(logrus.Fields{"endpoint": e.ID, "count": len(check.digests)}).Info("endpoint ended with requests in progress")
	g.metrics.set.GetOrCreateCounter("ragwortstile_endpoint_crashes_total").Inc()
	m := wire.RequestCrashes{}
	g.mu.Lock()
	for d, earlier := range check.digests {
		m.Crashes = append(m.Crashes, wire.RequestCrash{
			Request: wire.RequestDigest(d), PathServed: g.quarantine.PathServed(d), Endpoint: e.ID, Earlier: earlier, Age: time.Since(check.at),
		})
	}
	g.mu.Unlock()
	g.learnCrashes(m)
	now := time.Now()
	g.mu.Lock()
	for d := range check.digests {
		m.Crashes = append(m.Crashes, encodeCrashes(g.quarantine.EvidenceOf(d, now), now)...)
	}
	g.mu.Unlock()
	g.broadcastCrashes(m)
}

func encodeCrashes(crashes []quarantine.Crash, now time.Time) []wire.RequestCrash {
	out := make([]wire.RequestCrash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, wire.RequestCrash{
			Request: wire.RequestDigest(c.Digest), PathServed: c.PathServed, Endpoint: c.Endpoint, Earlier: c.Earlier, Age: now.Sub(c.At),
		})
	}
	return out
}

// learnCrashes records crashes that this instance or a peer has seen.
func (g *Gateway) learnCrashes(m wire.RequestCrashes) {
	now := time.Now()
	for _, c := range m.Crashes {
		d := quarantine.Digest(c.Request)
		g.mu.Lock()
		quarantined := g.quarantine.Add(quarantine.Crash{
			Digest: d, PathServed: c.PathServed, Endpoint: c.Endpoint, Earlier: c.Earlier, At: now.Add(-c.Age),
		}, now)
		until, _ := g.quarantine.Until(d, now)
		g.mu.Unlock()
		if quarantined {
			g.log.WithFields(logrus.Fields{"digest": d.String(), "endpoint": c.Endpoint, "took": until.Sub(now).Milliseconds()}).
				Warn("request quarantined, endpoints crash with it")
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range m.Served {
		g.quarantine.Served(quarantine.Digest(d))
	}
}

// broadcastCrashes sends a report of this instance to all others. Reports are taken once, however often they arrive.
func (g *Gateway) broadcastCrashes(m wire.RequestCrashes) {
	if _, err := g.node.Broadcast(m); err != nil {
		g.log.WithField("reason", err.Error()).Warn("crashes not sent to peers")
	}
	m.PassOn = true
	for _, to := range g.ledger.Messengers(crashMessengers) {
		if err := g.node.Send(to, m); err != nil {
			g.log.WithFields(logrus.Fields{"peer": string(to), "reason": err.Error()}).Info("crashes not sent to a peer that passes them on")
		}
	}
}

// receiveCrashes handles the report of a peer.
func (g *Gateway) receiveCrashes(m wire.RequestCrashes) {
	g.learnCrashes(m)
	if !m.PassOn {
		return
	}
	m.PassOn = false
	if _, err := g.node.Broadcast(m); err != nil {
		g.log.WithField("reason", err.Error()).Warn("crashes not passed on to peers")
	}
}

// sendCrashes tells a new peer about the quarantined requests, which it may not know since it has just started.
func (g *Gateway) sendCrashes(to id.Session) {
	now := time.Now()
	g.mu.Lock()
	m := wire.RequestCrashes{Crashes: encodeCrashes(g.quarantine.Evidence(now), now)}
	g.mu.Unlock()
	if len(m.Crashes) == 0 {
		return
	}
	if err := g.node.Send(to, m); err != nil {
		g.log.WithFields(logrus.Fields{"peer": string(to), "reason": err.Error()}).Info("quarantined requests not sent to peer")
	}
}
