package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
)

const (
	// crashCheckDelay is how long after the first broken connection an endpoint is checked. All its connections break
	// within that time if it has ended.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = 500 * time.Millisecond
)

// digest identifies requests with the same method, host, path and body, also in other programs and at other instances.
type digest uint64

// String returns the digest for logs.
func (d digest) String() string { return strconv.FormatUint(uint64(d), 16) }

// digest returns the digest of the request as the caller sent it.
func (q *request) digest() digest {
	q.digestOnce.Do(func() {
		h := xxhash.New()
		for _, part := range [...]string{q.r.Method, q.r.Host, q.r.RequestURI} {
			_, _ = h.WriteString(part + "\n") // Write of a hash.Hash never returns an error
		}
		_, _ = h.Write(q.body)
		q.digestSum = digest(h.Sum64())
	})
	return q.digestSum
}

// crashCheck finds out whether an endpoint that broke connections off has ended.
type crashCheck struct {
	digests map[digest]bool // requests whose connections it broke off
}

// checkCrash checks whether the endpoint has ended with the request, after its connection was broken off.
func (g *Gateway) checkCrash(e balance.Endpoint, d digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	check := g.crashChecks[e.ID]
	if check == nil {
		check = &crashCheck{digests: make(map[digest]bool)}
		g.crashChecks[e.ID] = check
		go g.runCrashCheck(e, check)
	}
	check.digests[d] = true
}

func (g *Gateway) runCrashCheck(e balance.Endpoint, check *crashCheck) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	reachable := g.pool.Reachable(ctx, e.Addr)
	g.mu.Lock()
	delete(g.crashChecks, e.ID)
	g.mu.Unlock()
	log := g.log.WithFields(logrus.Fields{"endpoint": e.ID, "count": len(check.digests)})
	if reachable {
		log.Debug("endpoint broke connections off and is still there")
		return
	}
	log.Info("endpoint ended with requests in progress")
	g.metrics.set.GetOrCreateCounter("ragwortstile_endpoint_crashes_total").Inc()
}
