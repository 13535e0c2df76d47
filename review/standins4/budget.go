package main

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// agent is a program whose tokens are counted as its clients get them.
type agent struct {
	r      *rig
	id     string
	budget int
	most   int // tokens of one turn
	hint   int // tokens that the client expects; 0: not stated
	handed atomic.Int64
	// countLast counts the last event of the most of one turn in full, as the events that clients get are counted.
	countLast bool
}

func (r *rig) agent(budget, most, hint int) *agent {
	return &agent{r: r, id: r.newID(), budget: budget, most: most, hint: hint}
}

// turn sends a turn of a session to an instance. previous is the turn that it continues; empty for none.
func (g *agent) turn(i *instance, session, previous string) answer {
	q := request{method: http.MethodPost, path: "/dedico/1", body: "the next words of " + session, deadline: 3 * time.Second, header: map[string]string{
		headerProgram: g.id, headerSession: session, headerDue: "20000", headerBudget: strconv.Itoa(g.budget), headerModel: "m",
		headerTokens: "654," + strconv.Itoa(g.most),
	}}
	if g.hint > 0 {
		q.header[headerHint] = strconv.Itoa(g.hint)
	}
	if previous != "" {
		q.header[headerPrevious] = previous
	}
	return g.r.send(i, q, func() { g.handed.Add(tokensPerEvent) })
}

// within reports whether the program has got no more than its budget and the most of one turn.
func (g *agent) within() bool {
	handed, most := int(g.handed.Load()), g.most
	if g.countLast {
		most = (most + tokensPerEvent - 1) / tokensPerEvent * tokensPerEvent
	}
	ok := handed <= g.budget+most
	g.r.note("program %s got %d tokens; its budget is %d and the most of one turn %d: %s", g.id, handed, g.budget, most,
		map[bool]string{true: "held", false: "BROKEN"}[ok])
	return ok
}

func turnsRoute(retention time.Duration) route {
	t := newRoute("dedico", "streaming", "models", 3000, 2)
	t["retain_history"], t["retention_s"], t["target_gap_ms"], t["sticky"] = true, retention.Seconds(), 150, true
	return t
}

// generate makes a model server that generates the most tokens of each turn.
func generate(pause time.Duration) func(*server, received) behaviour {
	return func(_ *server, q received) behaviour {
		return behaviour{events: max(q.tokens/tokensPerEvent, 1), pause: pause}
	}
}

func init() {
	cases["fan-out-at-the-end"] = fanOutAtTheEnd
	cases["fan-out-in-an-outage"] = fanOutInAnOutage
}

// fanOutAtTheEnd: a program that loops starts ten sub-agents at once, with the budget that the most of their turns need. The most of a
// turn is no multiple of the tokens of an event. Without the disruption the sub-agents run one after the other.
func fanOutAtTheEnd(r *rig, trouble bool) bool {
	const (
		most     = 69 // four events, and one token
		width    = 10
		budget   = width * most
		programs = 6
	)
	r.publish(turnsRoute(60 * time.Second))
	for n := range 9 {
		r.server("i-model"+strconv.Itoa(n), "models", func(_ *server, q received) behaviour {
			return behaviour{events: (q.tokens + tokensPerEvent - 1) / tokensPerEvent, pause: 20 * time.Millisecond}
		})
	}
	r.start(3)
	time.Sleep(stableWindow)
	var agents []*agent
	var wg sync.WaitGroup
	for n := range programs {
		g := r.agent(budget, most, 0)
		g.countLast = true
		agents = append(agents, g)
		wg.Go(func() {
			var together sync.WaitGroup
			for sub := range 2 * width {
				if !trouble {
					g.turn(r.instances[(n+sub)%3], g.id+strconv.Itoa(sub), "")
					continue
				}
				if sub == width {
					together.Wait()
				}
				together.Go(func() { g.turn(r.instances[(n+sub)%3], g.id+strconv.Itoa(sub), "") })
			}
			together.Wait()
		})
	}
	wg.Wait()
	ok := true
	for _, g := range agents {
		ok = g.within() && ok
	}
	return ok
}

// fanOutInAnOutage: programs start sub-agents while the store is away, and all processes are killed before it is back.
func fanOutInAnOutage(r *rig, trouble bool) bool {
	const (
		budget, most, hint = 1319, 289, 145
		programs           = 6
		width              = 3
	)
	r.publish(turnsRoute(60 * time.Second))
	var fanned atomic.Bool // first turns are short
	for n := range 9 {
		r.server("i-model"+strconv.Itoa(n), "models", func(s *server, q received) behaviour {
			if !fanned.Load() {
				return behaviour{events: 1}
			}
			return generate(40*time.Millisecond)(s, q)
		})
	}
	r.start(4)
	time.Sleep(stableWindow)
	var agents []*agent
	first := make([]string, programs)
	for n := range programs {
		g := r.agent(budget, most, hint)
		agents = append(agents, g)
		a := g.turn(r.instances[n%4], g.id, "")
		if a.status != http.StatusOK || !a.complete {
			panic("a first turn was not served")
		}
		first[n] = a.id
	}
	time.Sleep(time.Second)
	fanned.Store(true)
	if trouble {
		r.note("the store refuses all calls")
		r.refuseStore(true)
		time.Sleep(400 * time.Millisecond)
	}
	fanOut := func(g *agent, n int) {
		var wg sync.WaitGroup
		for sub := range width {
			wg.Go(func() { g.turn(r.instances[(n+sub)%4], g.id+strconv.Itoa(sub), first[n]) })
		}
		wg.Wait()
	}
	var wg sync.WaitGroup
	for n, g := range agents {
		wg.Go(func() { fanOut(g, n) })
	}
	if trouble {
		time.Sleep(2500 * time.Millisecond)
		for _, i := range r.instances {
			i.kill()
		}
		wg.Wait()
		time.Sleep(time.Second)
		r.refuseStore(false)
		r.note("the store answers again")
		for _, i := range r.instances {
			i.start()
		}
		r.awaitReady()
	} else {
		wg.Wait()
	}
	time.Sleep(2 * time.Second)
	// The turns that failed are sent again, until the budget is spent.
	for n, g := range agents {
		wg.Go(func() {
			for k, refused := 0, 0; refused < 3 && k < 20; k++ {
				a := g.turn(r.instances[(n+k)%4], g.id+strconv.Itoa(k%width), first[n])
				if a.status == http.StatusPaymentRequired {
					refused++
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ok := true
	for _, g := range agents {
		ok = g.within() && ok
	}
	return ok
}
