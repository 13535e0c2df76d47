package sched

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortstile/internal/id"
)

// invariantChecker checks the invariants of Scheduler from its events and actions alone.
type invariantChecker struct {
	submitted, granted, refused, withdrawn, finished map[id.Attempt]bool
	owner                                            map[id.Attempt]id.Session
	at                                               map[id.Attempt]string
	inFlight                                         map[string]int
}

func newInvariantChecker() *invariantChecker {
	m := func() map[id.Attempt]bool { return map[id.Attempt]bool{} }
	return &invariantChecker{m(), m(), m(), m(), m(), map[id.Attempt]id.Session{}, map[id.Attempt]string{}, map[string]int{}}
}

func (c *invariantChecker) observe(t *rapid.T, cfg Config, leaving map[string]bool, out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Grant:
			k := a.Request.ID
			if !c.submitted[k] || c.granted[k] || c.refused[k] || c.withdrawn[k] {
				t.Fatalf("grant of %s: submitted %v, granted %v, refused %v, withdrawn %v", k, c.submitted[k], c.granted[k], c.refused[k], c.withdrawn[k])
			}
			if leaving[a.Endpoint] {
				t.Fatalf("grant of %s at leaving endpoint %s", k, a.Endpoint)
			}
			c.granted[k], c.at[k] = true, a.Endpoint
			c.inFlight[a.Endpoint]++
			for _, e := range cfg.Endpoints {
				if e.Name == a.Endpoint && c.inFlight[e.Name] > e.MaxInFlight {
					t.Fatalf("%d calls in flight at %s, limit %d", c.inFlight[e.Name], e.Name, e.MaxInFlight)
				}
			}
		case Refuse:
			k := a.Request.ID
			if !c.submitted[k] || c.granted[k] || c.refused[k] || c.withdrawn[k] || a.Reason == "" || a.RetryAfter <= 0 {
				t.Fatalf("refusal of %s (%q, %v): granted %v, refused %v", k, a.Reason, a.RetryAfter, c.granted[k], c.refused[k])
			}
			c.refused[k] = true
		}
	}
}

func (c *invariantChecker) end(a id.Attempt) {
	if c.granted[a] && !c.finished[a] {
		c.finished[a] = true
		c.inFlight[c.at[a]]--
	}
}

func drawRequest(t *rapid.T, n int) Request {
	p := id.Program(fmt.Sprintf("p00-%d", rapid.IntRange(0, 12).Draw(t, "program")))
	r := Request{
		ID: id.NewAttempt(id.Call{Program: p, Branch: "main", Seq: uint64(n)}, 1, 1), Program: p, Branch: "main",
		Owner:        id.Session(fmt.Sprintf("i%d.1", rapid.IntRange(0, 2).Draw(t, "owner"))),
		Team:         rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "tenant"),
		Duty:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "duty"),
		PromptTokens: rapid.Int64Range(1, 60_000).Draw(t, "prompt"), MaxTokens: 500,
		Attained:        time.Duration(rapid.IntRange(0, 300).Draw(t, "attained")) * time.Second,
		Calls:           rapid.Int64Range(0, 3).Draw(t, "calls"),
		WaitingBranches: rapid.IntRange(0, 4).Draw(t, "waiting"),
		Deadline:        time.Duration(rapid.IntRange(0, 40).Draw(t, "deadline")) * time.Second,
		CallTimeLimit:   time.Duration(rapid.IntRange(0, 20).Draw(t, "limit")) * time.Second,
		Retry:           max(rapid.IntRange(-4, 2).Draw(t, "retry"), 0),
		LastEndpoint:    rapid.SampledFrom([]string{"", "e0", "e1", "e2"}).Draw(t, "last"),
	}
	if r.Retry > 0 {
		r.Avoid = []string{rapid.SampledFrom([]string{"e0", "e1", "e2"}).Draw(t, "avoid")}
	}
	return r
}

// drawEvent draws an event that owners or endpoints could send, given the running and known calls.
func drawEvent(t *rapid.T, n int, running, known []id.Attempt, at map[id.Attempt]string) Event {
	ep := rapid.SampledFrom([]string{"e0", "e1", "e2"}).Draw(t, "endpoint")
	prog := id.Program(fmt.Sprintf("p00-%d", rapid.IntRange(0, 12).Draw(t, "of")))
	kind := rapid.IntRange(0, 19).Draw(t, "kind")
	switch {
	case kind < 7:
		return Submit{drawRequest(t, n)}
	case kind < 13 && len(running) > 0:
		a := rapid.SampledFrom(running).Draw(t, "done")
		r := Result(rapid.IntRange(1, 5).Draw(t, "result"))
		return Done{ID: a, Endpoint: at[a], Result: r, PromptTokens: 500, CachedTokens: 100, OutputTokens: 50,
			FirstToken: 100 * time.Millisecond, Total: time.Second}
	case kind == 13 && len(known) > 0:
		return Withdraw{rapid.SampledFrom(known).Draw(t, "withdraw")}
	case kind == 14:
		return CacheEvent{Endpoint: ep, Kind: CacheEventKind(rapid.IntRange(1, 2).Draw(t, "ck")), Program: prog, Branch: "main", Tokens: 900}
	case kind == 15:
		return LoadReport{Endpoint: ep, Generation: uint64(rapid.IntRange(1, 2).Draw(t, "gen"))}
	case kind == 16:
		return ProgramPaused{Program: prog, Branch: "main", Expected: time.Second}
	case kind == 17:
		return ProgramEnded{prog}
	case kind == 18 && rapid.IntRange(0, 3).Draw(t, "rare") == 0:
		return OwnerLost{id.Session(fmt.Sprintf("i%d.1", rapid.IntRange(0, 2).Draw(t, "lost")))}
	default:
		return Tick{}
	}
}

func sortedAttempts(m map[id.Attempt]bool) []id.Attempt {
	var out []id.Attempt
	for a := range m {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// Every submitted call must get exactly one grant or refusal unless it is withdrawn or its owner is lost. No
// endpoint may have more calls in flight than its limit, and a leaving endpoint must get no grant.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config(3)
		cfg.QueueLimit = 15
		s, c := New(cfg), newInvariantChecker()
		leaving := map[string]bool{}
		now := time.Duration(0)
		step := func(ev Event) { c.observe(t, cfg, leaving, s.Step(now, ev, nil)) }
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for n := range steps {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "dt")) * time.Millisecond
			ev := drawEvent(t, n, c.running(), sortedAttempts(c.submitted), c.at)
			c.apply(ev, s)
			if n == steps/2 && rapid.Bool().Draw(t, "leave") {
				leaving["e0"] = true
				step(EndpointLeaving{"e0"})
			}
			step(ev)
		}
		// After all running calls have ended and time has passed, no call may be left without a decision.
		for range 400 {
			now += time.Second
			for _, a := range c.running() {
				c.end(a)
				step(Done{ID: a, Endpoint: c.at[a], Result: ResultOK, PromptTokens: 10, OutputTokens: 10, FirstToken: time.Millisecond, Total: time.Second})
			}
			step(Tick{})
		}
		for _, a := range sortedAttempts(c.submitted) {
			if !c.granted[a] && !c.refused[a] && !c.withdrawn[a] {
				t.Fatalf("call %s was never decided; %d wait", a, s.Waiting())
			}
		}
		for _, e := range cfg.Endpoints {
			if s.InFlight(e.Name) != 0 {
				t.Fatalf("%d calls in flight at %s after the end of all", s.InFlight(e.Name), e.Name)
			}
		}
	})
}

func (c *invariantChecker) running() []id.Attempt {
	var out []id.Attempt
	for _, a := range sortedAttempts(c.granted) {
		if !c.finished[a] {
			out = append(out, a)
		}
	}
	return out
}

// apply records an event before the scheduler handles it.
func (c *invariantChecker) apply(ev Event, s *Scheduler) {
	switch e := ev.(type) {
	case Submit:
		if !c.submitted[e.Request.ID] {
			c.submitted[e.Request.ID], c.owner[e.Request.ID] = true, e.Request.Owner
		}
	case Done:
		c.end(e.ID)
	case Withdraw:
		if _, granted := s.State(e.ID); !granted && !c.granted[e.ID] && !c.refused[e.ID] {
			c.withdrawn[e.ID] = true
		}
	case OwnerLost:
		for a, o := range c.owner {
			if o != e.Session {
				continue
			}
			if c.granted[a] {
				c.end(a)
			} else if !c.refused[a] {
				c.withdrawn[a] = true
			}
		}
	}
}

// referenceScheduler is a simple implementation of the policy with differentialOptions: one slice of waiting
// calls that is sorted at each step and scanned from the front.
type referenceScheduler struct {
	cfg      Config
	calls    map[id.Attempt]*referenceCall
	queue    []*referenceCall
	inFlight map[string]int
}

type referenceCall struct {
	req     Request
	key     time.Duration
	serial  int
	expires time.Duration
	ep      string
}

// differentialOptions keeps the order of service, the in-flight limits, the expiry, the queue limit and the
// avoidance of failed endpoints. The learned parts are off, because a reference implementation of them would
// repeat the same arithmetic.
func differentialOptions() Options {
	o := MinimalOptions()
	o.NoProgramOrder = false
	return o
}

func (n *referenceScheduler) step(now time.Duration, ev Event, serial int) []string {
	var out []string
	switch e := ev.(type) {
	case Submit:
		if n.calls[e.Request.ID] != nil {
			break
		}
		if len(n.queue) >= n.cfg.QueueLimit {
			out = append(out, "refuse "+string(e.Request.ID))
			break
		}
		c := &referenceCall{req: e.Request, serial: serial, key: now}
		c.key += min(e.Request.Attained/attainedDivisor, maxAttainedDelay)
		c.key -= min(time.Duration(e.Request.WaitingBranches)*waitingBranchAdvance, maxWaitingBranchAdvance)
		if d := e.Request.Deadline; d > 0 {
			c.key = max(min(c.key, now+d), now-maxDeadlineAdvance)
		}
		if e.Request.CallTimeLimit > 0 {
			c.expires = now + e.Request.CallTimeLimit
		}
		n.calls[e.Request.ID] = c
		n.queue = append(n.queue, c)
	case Done:
		if c := n.calls[e.ID]; c != nil && c.ep != "" {
			n.inFlight[c.ep]--
			delete(n.calls, e.ID)
		}
	case Withdraw:
		if c := n.calls[e.ID]; c != nil && c.ep == "" {
			n.drop(c)
		}
	case OwnerLost:
		for _, c := range n.calls {
			if c.req.Owner == e.Session {
				if c.ep != "" {
					n.inFlight[c.ep]--
				}
				n.drop(c)
			}
		}
	}
	for _, c := range slices.Clone(n.queue) {
		if c.expires > 0 && c.expires <= now {
			n.drop(c)
			out = append(out, "refuse "+string(c.req.ID))
		}
	}
	sort.SliceStable(n.queue, func(i, j int) bool {
		a, b := n.queue[i], n.queue[j]
		return a.key < b.key || (a.key == b.key && a.serial < b.serial)
	})
	passed := 0
	for _, c := range slices.Clone(n.queue) {
		if !n.anyHasCapacity(now) || passed > maxSkipped {
			break
		}
		if c.ep = n.choose(c, now); c.ep == "" {
			passed++
			continue
		}
		n.inFlight[c.ep]++
		n.queue = slices.DeleteFunc(n.queue, func(q *referenceCall) bool { return q == c })
		out = append(out, "grant "+string(c.req.ID)+" "+c.ep)
	}
	return out
}

func (n *referenceScheduler) drop(c *referenceCall) {
	delete(n.calls, c.req.ID)
	n.queue = slices.DeleteFunc(n.queue, func(q *referenceCall) bool { return q == c })
}

func (n *referenceScheduler) hasCapacity(e Endpoint, now time.Duration) bool {
	limit := e.MaxInFlight
	if now < halfLimitPeriod {
		limit = max(limit/2, 1)
	}
	return n.inFlight[e.Name] < limit
}

func (n *referenceScheduler) anyHasCapacity(now time.Duration) bool {
	return slices.ContainsFunc(n.cfg.Endpoints, func(e Endpoint) bool { return n.hasCapacity(e, now) })
}

func (n *referenceScheduler) choose(c *referenceCall, now time.Duration) string {
	best, load := "", 0.0
	for _, e := range n.cfg.Endpoints {
		if !n.hasCapacity(e, now) || slices.Contains(c.req.Avoid, e.Name) {
			continue
		}
		if e.Name == c.req.LastEndpoint {
			return e.Name
		}
		if l := float64(n.inFlight[e.Name]) / float64(e.MaxInFlight); best == "" || l < load {
			best, load = e.Name, l
		}
	}
	return best
}

// The scheduler with its heaps, timers and counters must make the same decisions as the reference scheduler.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config(3)
		cfg.QueueLimit, cfg.Options = 15, differentialOptions()
		s := New(cfg)
		n := &referenceScheduler{cfg: cfg, calls: map[id.Attempt]*referenceCall{}, inFlight: map[string]int{}}
		s.Step(0, Tick{}, nil)
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "dt")) * time.Millisecond
			var running, known []id.Attempt
			at := map[id.Attempt]string{}
			for a, c := range n.calls {
				known = append(known, a)
				if c.ep != "" {
					running, at[a] = append(running, a), c.ep
				}
			}
			slices.Sort(running)
			slices.Sort(known)
			ev := drawEvent(t, i, running, known, at)
			switch ev.(type) {
			case ProgramPaused, ProgramEnded:
				continue // they change learned values, which the reference scheduler leaves out
			}
			want := n.step(now, ev, i)
			var got []string
			for _, a := range s.Step(now, ev, nil) {
				switch a := a.(type) {
				case Grant:
					got = append(got, "grant "+string(a.Request.ID)+" "+a.Endpoint)
				case Refuse:
					got = append(got, "refuse "+string(a.Request.ID))
				}
			}
			slices.Sort(got) // timers that are due at the same time fire in any order
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Fatalf("step %d, %T at %v:\n got %v\nwant %v", i, ev, now, got, want)
			}
		}
	})
}
