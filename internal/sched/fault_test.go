package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
)

// harness drives a scheduler and records its actions.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     time.Duration
	grants  map[id.Attempt]Grant
	refused map[id.Attempt]Refuse
	release []Release
}

func newHarness(t *testing.T, cfg Config) *harness {
	h := &harness{t: t, s: New(cfg), grants: map[id.Attempt]Grant{}, refused: map[id.Attempt]Refuse{}}
	h.step(Tick{})
	h.now = 2 * halfLimitPeriod // past the period of half limits
	return h
}

func (h *harness) step(ev Event) {
	for _, a := range h.s.Step(h.now, ev, nil) {
		switch a := a.(type) {
		case Grant:
			h.grants[a.Request.ID] = a
		case Refuse:
			h.refused[a.Request.ID] = a
		case Release:
			h.release = append(h.release, a)
		}
	}
}

func (h *harness) tick(d time.Duration) {
	h.now += d
	h.step(Tick{})
}

// done reports the result of a granted call. It does not advance the time.
func (h *harness) done(a id.Attempt, r Result) {
	g := h.grants[a]
	h.step(Done{ID: a, Endpoint: g.Endpoint, Result: r, PromptTokens: g.Request.PromptTokens, OutputTokens: 100,
		FirstToken: 100 * time.Millisecond, Total: time.Second})
}

// config returns a pool of n model endpoints with an in-flight limit of four each.
func config(n int) Config {
	c := Config{Pool: "m", Model: true, QueueLimit: 40, WeightLatency: 0.5, WeightCache: 0.5,
		Duties: []Duty{{"a", 0.5}, {"b", 0.3}}}
	for i := range n {
		c.Endpoints = append(c.Endpoints, Endpoint{Name: fmt.Sprintf("e%d", i), MaxInFlight: 4, CacheTokens: 100_000, CanExport: true})
	}
	return c
}

// request returns the call of the n-th program, which has started before.
func request(n int, duty, team string) Request {
	p := id.Program(fmt.Sprintf("p00-%d", n))
	return Request{ID: id.NewAttempt(id.Call{Program: p, Branch: "main", Seq: 1}, 1, 1), Owner: "i1.1", Program: p,
		Branch: "main", Team: team, Duty: duty, PromptTokens: 1000, MaxTokens: 200, Calls: 1}
}

func (h *harness) submit(n int, duty, team string) id.Attempt {
	r := request(n, duty, team)
	h.step(Submit{r})
	return r.ID
}

// A leaving endpoint must get no new calls, even if it was the endpoint of the branch's last call.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	h := newHarness(t, config(2))
	h.step(EndpointLeaving{"e0"})
	for i := range 20 {
		r := request(i, "a", "t")
		r.LastEndpoint = "e0"
		h.step(Submit{r})
	}
	must.MapLen(t, 4, h.grants)
	for _, g := range h.grants {
		must.Eq(t, "e1", g.Endpoint)
	}
}

// A configuration that still lists a leaving endpoint as live must not make it get calls again, because the
// platform's endpoint list lags behind the announcement.
func TestConfigureKeepsLeaving(t *testing.T) {
	h := newHarness(t, config(1))
	h.step(EndpointLeaving{"e0"})
	h.step(Configure{config(1)})
	h.submit(1, "a", "t")
	must.MapEmpty(t, h.grants)
}

// The running calls of a dead owner must no longer count against the limit, and its waiting calls must not be
// granted.
func TestOwnerLost(t *testing.T) {
	h := newHarness(t, config(1))
	for i := range 6 {
		h.submit(i, "a", "t")
	}
	other := request(9, "a", "t")
	other.Owner = "i2.1"
	h.step(Submit{other})
	must.MapLen(t, 4, h.grants)
	h.step(OwnerLost{"i1.1"})
	must.MapLen(t, 5, h.grants)
	must.MapContainsKey(t, h.grants, other.ID)
	must.Eq(t, 1, h.s.InFlight("e0"))
	must.Eq(t, 0, h.s.Waiting())
}

// A restarted dispatcher must count the calls that owners report as running, and must grant only up to half
// of each endpoint's limit in its first second.
func TestRestartCountsRunning(t *testing.T) {
	s := New(config(1))
	out := s.Step(time.Hour, Running{Request: request(100, "a", "t"), Endpoint: "e0"}, nil)
	for i := range 10 {
		out = s.Step(time.Hour, Submit{request(i, "a", "t")}, out)
	}
	must.Len(t, 1, out)
	must.Eq(t, 2, s.InFlight("e0"))
	out = s.Step(time.Hour+halfLimitPeriod, Tick{}, out)
	must.Len(t, 3, out)
	must.Eq(t, 4, s.InFlight("e0"))
}

// A call that an owner reports as running must not be granted a second time if the new dispatcher has queued it
// before the report.
func TestRunningReplacesWaiting(t *testing.T) {
	h := newHarness(t, config(1))
	for i := range 5 {
		h.submit(i, "a", "t")
	}
	waiting := request(4, "a", "t")
	h.step(Running{Request: waiting, Endpoint: "e0"})
	must.Eq(t, 5, h.s.InFlight("e0"))
	h.done(request(0, "a", "t").ID, ResultOK)
	h.done(request(1, "a", "t").ID, ResultOK)
	must.MapNotContainsKey(t, h.grants, waiting.ID)
}

// If eviction events are lost, the scheduler must not assume more cached tokens than an endpoint's cache can
// hold, and must not keep a call waiting for a prefix that was evicted.
func TestLostCacheEvents(t *testing.T) {
	cfg := config(1)
	cfg.Options.NoPauseRelease = true
	h := newHarness(t, cfg)
	for i := range 50 {
		r := request(i, "a", "t")
		r.PromptTokens = 10_000
		h.step(Submit{r})
		h.done(r.ID, ResultOK)
		must.LessEq(t, cfg.Endpoints[0].CacheTokens, h.s.endpoints[0].cache.tokens)
	}
	must.MapLen(t, 50, h.grants)
}

// A restart of the engine, visible only in the generation of its load report, must clear the prefixes recorded
// for its cache. A late load report must change nothing else.
func TestStaleReports(t *testing.T) {
	h := newHarness(t, config(1))
	h.step(LoadReport{Endpoint: "e0", Generation: 1})
	h.done(h.submit(1, "a", "t"), ResultOK)
	must.Positive(t, h.s.endpoints[0].cache.tokens)
	h.step(LoadReport{Endpoint: "e0", Generation: 1, Age: time.Minute, Running: 99, Waiting: 99})
	h.submit(2, "a", "t")
	must.MapLen(t, 2, h.grants)
	h.step(LoadReport{Endpoint: "e0", Generation: 2})
	must.Eq(t, 0, h.s.endpoints[0].cache.tokens)
}

// A team that floods a duty with calls must neither fill the queue for other teams nor keep another team of the
// duty waiting.
func TestTeamFlood(t *testing.T) {
	h := newHarness(t, config(1))
	for i := range 200 {
		h.submit(i, "a", "flood")
	}
	must.Eq(t, 10, h.s.Waiting())
	must.MapLen(t, 186, h.refused)
	quiet := h.submit(1000, "a", "quiet")
	must.MapNotContainsKey(t, h.refused, quiet)
	for i := range 4 {
		h.now += time.Second
		h.done(request(i, "a", "flood").ID, ResultOK)
	}
	must.MapContainsKey(t, h.grants, quiet)
}

// Duties with demand must get their owed share even if another duty floods the pool.
func TestOwedShareUnderFlood(t *testing.T) {
	h := newHarness(t, config(1))
	served := map[string]int{}
	next := 0
	running := []id.Attempt{}
	fill := func() {
		for _, d := range []string{"a", "b", "c"} { // c has no share but steady demand
			for range 5 {
				next++
				h.submit(next, d, d)
			}
		}
	}
	seen := map[id.Attempt]bool{}
	for range 400 {
		h.now += 100 * time.Millisecond
		fill()
		for a, g := range h.grants {
			if !seen[a] {
				seen[a] = true
				served[g.Request.Duty]++
				running = append(running, a)
			}
		}
		h.done(running[0], ResultOK)
		running = running[1:]
	}
	total := float64(served["a"] + served["b"] + served["c"])
	must.GreaterEq(t, 0.95*0.5, float64(served["a"])/total)
	must.GreaterEq(t, 0.95*0.3, float64(served["b"])/total)
}

// Consecutive failures must open the breaker, one probe must be granted after the pause, a failed probe must
// double the pause, and a successful one must close the breaker.
func TestBreakerHalfOpen(t *testing.T) {
	h := newHarness(t, config(1))
	for i := range breakerFailures {
		h.done(h.submit(i, "a", "t"), ResultFailed)
	}
	a, b := h.submit(10, "a", "t"), h.submit(11, "a", "t")
	must.MapNotContainsKey(t, h.grants, a)
	h.tick(breakerMinPause)
	must.Eq(t, 1, h.s.InFlight("e0"))
	must.MapContainsKey(t, h.grants, a)
	h.done(a, ResultFailed)
	h.tick(breakerMinPause) // the second pause is twice as long
	must.MapNotContainsKey(t, h.grants, b)
	h.tick(breakerMinPause)
	must.Eq(t, ReasonProbe, h.grants[b].Reason)
	h.done(b, ResultOK)
	for i := range 4 {
		h.submit(20+i, "a", "t")
	}
	must.Eq(t, 4, h.s.InFlight("e0"))
}

// Retries must be refused when the pool has no successful calls, because they would prolong an outage.
func TestRetryBudget(t *testing.T) {
	h := newHarness(t, config(1))
	for i := range 100 {
		r := request(i, "a", fmt.Sprint(i))
		r.Retry = 1
		h.step(Submit{r})
		h.step(Withdraw{r.ID})
	}
	n := 0
	for _, r := range h.refused {
		must.Eq(t, ReasonRetryBudget, r.Reason)
		must.Positive(t, r.RetryAfter)
		n++
	}
	must.Eq(t, 100-int(initialRetryBudget), n)
}

// A call with every disadvantage in the order of service must still be granted while calls that are preferred
// keep arriving.
func TestNoStarvation(t *testing.T) {
	h := newHarness(t, config(1))
	for i := range 4 {
		h.submit(i, "a", "t")
	}
	old := request(5000, "z", "z")
	old.Attained = time.Hour
	h.step(Submit{old})
	start, n := h.now, 0
	var running []id.Attempt
	for a := range h.grants {
		running = append(running, a)
	}
	for len(running) > 0 && h.now-start < 2*time.Minute {
		if _, ok := h.grants[old.ID]; ok {
			break
		}
		h.now += 250 * time.Millisecond
		for range 3 {
			n++
			r := request(100+n, "z", fmt.Sprint(n))
			r.WaitingBranches, r.Deadline = 3, time.Second
			h.step(Submit{r})
		}
		h.done(running[0], ResultOK)
		running = running[1:]
		for a := range h.grants {
			if _, granted := h.s.State(a); granted && !containsAttempt(running, a) {
				running = append(running, a)
			}
		}
	}
	must.MapContainsKey(t, h.grants, old.ID)
}

func containsAttempt(v []id.Attempt, a id.Attempt) bool {
	for _, x := range v {
		if x == a {
			return true
		}
	}
	return false
}

// The cached prefix of an ended program must be released at the endpoint that has it.
func TestProgramEndReleases(t *testing.T) {
	h := newHarness(t, config(3))
	a := h.submit(1, "a", "t")
	h.done(a, ResultOK)
	h.step(ProgramEnded{h.grants[a].Request.Program})
	must.Len(t, 1, h.release)
	must.Eq(t, h.grants[a].Endpoint, h.release[0].Endpoint)
	must.Eq(t, 0, len(h.s.programs))
}

// A new program that cannot meet its deadline must be refused at submission, with a retry delay.
func TestEarlyRefusal(t *testing.T) {
	h := newHarness(t, config(1))
	h.s.dutyOf("a").programTime = 100
	r := request(1, "a", "t")
	r.Calls, r.Deadline = 0, 10*time.Second
	h.step(Submit{r})
	must.Eq(t, ReasonDeadline, h.refused[r.ID].Reason)
	must.Positive(t, h.refused[r.ID].RetryAfter)
}

// The cache usage of a team must match the token counts of its results, and tokens that were never read must
// count as wasted when the engine restarts.
func TestCacheUsage(t *testing.T) {
	h := newHarness(t, config(1))
	a := h.submit(1, "a", "t")
	h.step(Done{ID: a, Endpoint: "e0", Result: ResultOK, PromptTokens: 1000, CachedTokens: 400, OutputTokens: 50,
		FirstToken: time.Second, Total: 2 * time.Second})
	must.Eq(t, CacheUsage{Team: "t", Filled: 650, Reused: 400}, h.s.CacheUsage("t"))
	h.step(LoadReport{Endpoint: "e0", Generation: 1})
	h.step(LoadReport{Endpoint: "e0", Generation: 2})
	must.Eq(t, int64(650), h.s.CacheUsage("t").Wasted)
}
