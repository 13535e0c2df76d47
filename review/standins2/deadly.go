package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstile/platform/platformtest"
)

const (
	// crashAfter is how long a server runs the deadly request until it crashes, and downtime when it is back.
	crashAfter = 150 * time.Millisecond
	downtime   = 3 * time.Second
	lookWork   = 60 * time.Millisecond
	// lookTimeout is the deadline of the callers of this route.
	lookTimeout = 1200 * time.Millisecond
	// minLookPause and maxLookPause bound the time between two requests of a caller.
	minLookPause = 500 * time.Millisecond
	maxLookPause = time.Second
	// stableWindow is that of the settings.
	stableWindow = 3 * time.Second
	// allowedRetries is how often the deadly request may reach servers later than that after the third crash.
	allowedRetries = 3
	lookServers    = 8
)

// look is a request that a caller repeats. Requests of one program to one path are the same.
type look struct{ program, path string }

// looks is a deployment whose servers crash with one request.
type looks struct {
	c      *cluster
	deadly look

	mu       sync.Mutex
	reached  []time.Time     // when the deadly request reached a server
	ending   map[string]bool // servers that run it
	served   int             // sound requests
	unserved int
}

func newLooks(t *trial, deadly look) (*looks, error) {
	c, err := newCluster(t, 3)
	l := &looks{c: c, deadly: deadly, ending: make(map[string]bool)}
	if err != nil {
		return l, err
	}
	c.putRoutes(map[string]any{
		"name": "r-looks", "hostname": hostname, "path_prefix": "/looks/", "kind": "idempotent", "timeout_ms": lookTimeout.Milliseconds(),
		"target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 2, "sticky": false,
	})
	c.addServers("app", lookServers, l.serve)
	return l, c.startAll()
}

func (l *looks) close() {
	if l.c != nil {
		l.c.close()
	}
}

// serve answers a request at a server, or lets the server crash.
func (l *looks) serve(e *platformtest.Endpoint, r platformtest.Run) platformtest.Behaviour {
	if (look{r.Header.Get(header("Program-Id")), r.Path}) != l.deadly {
		return platformtest.Behaviour{Delay: lookWork}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = append(l.reached, time.Now())
	l.c.t.printf("the deadly request %s reaches server %s, number %d", r.ID, e.ID, len(l.reached))
	if l.ending[e.ID] { // the server ends with the first one
		return platformtest.Behaviour{Delay: crashAfter, Abort: true}
	}
	l.ending[e.ID] = true
	time.AfterFunc(crashAfter+downtime, func() {
		l.mu.Lock()
		delete(l.ending, e.ID)
		l.mu.Unlock()
		l.c.list(e, "app")
	})
	return platformtest.Behaviour{Delay: crashAfter, Crash: downtime}
}

// check returns how the rule was broken.
func (l *looks) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.c.t
	t.printf("sound requests: %d served, %d not", l.served, l.unserved)
	retries := 0
	if len(l.reached) >= 3 {
		from := l.reached[2].Add(crashAfter + stableWindow)
		for _, at := range l.reached {
			if at.After(from) {
				retries++
			}
		}
	}
	t.printf("the deadly request reached servers %d times, %d of them over %s after the third crash", len(l.reached), retries, stableWindow)
	if retries > allowedRetries {
		return []string{fmt.Sprintf("BUDGET: the deadly request reached servers in %d retries, more than %d", retries, allowedRetries)}
	}
	return nil
}

// repeat sends a request again and again.
func (l *looks) repeat(what look, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(minLookPause + rand.N(maxLookPause-minLookPause)):
		}
		status := l.send(what)
		if what == l.deadly {
			continue
		}
		l.mu.Lock()
		if status == http.StatusOK {
			l.served++
		} else {
			l.unserved++
		}
		l.mu.Unlock()
	}
}

// send sends a request that may be repeated, with one further attempt after a failure.
func (l *looks) send(what look) (status int) {
	begun := time.Now()
	in := rand.N(len(l.c.instances))
	for try := 0; try <= attemptRetries; try++ {
		left := lookTimeout - time.Since(begun)
		if left <= 0 {
			break
		}
		var after time.Duration
		status, after = l.sendOnce(l.c.instances[(in+try)%len(l.c.instances)], what, left)
		if status == http.StatusOK {
			break
		}
		time.Sleep(min(after, (lookTimeout-time.Since(begun))/3))
	}
	return status
}

func (l *looks) sendOnce(in *instance, what look, left time.Duration) (status int, after time.Duration) {
	id := nextID()
	l.c.t.printf("%s sends %s to %s, path %s", what.program, id, in.name, what.path)
	defer func() { l.c.t.printf("%s gets %d to %s, Retry-After %s", what.program, status, id, after) }()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.front+what.path, nil)
	if err != nil {
		panic(err) // the address is the case's own
	}
	req.Host = hostname
	req.Header.Set(header("Request-Id"), id)
	req.Header.Set(header("Program-Id"), what.program)
	req.Header.Set(header("Session-Id"), what.program)
	req.Header.Set(header("Deadline-Ms"), strconv.FormatInt(left.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if seconds, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get("Retry-After")), 64); err == nil {
		after = time.Duration(seconds * float64(time.Second))
	}
	return resp.StatusCode, after
}

// sharedPathCase lets one caller repeat a request that crashes the servers, while others are served on the same path.
func sharedPathCase(t *trial) ([]string, error) {
	const path = "/looks/2f"
	const others = 12
	const duration = 30 * time.Second
	l, err := newLooks(t, look{"3fa81c", path})
	defer l.close()
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	time.AfterFunc(duration, func() { close(done) })
	var wg sync.WaitGroup
	for n := range others {
		wg.Go(func() { l.repeat(look{fmt.Sprintf("other%02d", n), path}, done) })
	}
	if t.trouble {
		wg.Go(func() { l.repeat(l.deadly, done) })
	}
	wg.Wait()
	return l.check(), nil
}
