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
	handed := int(g.handed.Load())
	ok := handed <= g.budget+g.most
	g.r.note("program %s got %d tokens; its budget is %d and the most of one turn %d: %s", g.id, handed, g.budget, g.most,
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
	cases["stopped-program-returns"] = stoppedProgramReturns
	cases["fan-out-in-an-outage"] = fanOutInAnOutage
}

// stoppedProgramReturns: programs that loop are stopped by their budgets and come back within the retention, again and again. Then
// one process is killed.
func stoppedProgramReturns(r *rig, trouble bool) bool {
	const (
		budget, most = 2312, 289
		loops        = 24
		retention    = 15 * time.Second
		pause        = 10 * time.Second // between the returns of a program
		killAt       = 74 * time.Second
		end          = 92 * time.Second
	)
	r.publish(turnsRoute(retention))
	for n := range 9 {
		r.server("i-model"+strconv.Itoa(n), "models", generate(15*time.Millisecond))
	}
	r.start(3)
	var wg sync.WaitGroup
	var stop atomic.Bool
	// Other programs run all the time, two turns each.
	for n := range 6 {
		wg.Go(func() {
			for k := n; !stop.Load(); k++ {
				g := r.agent(budget, 85, 0)
				first := g.turn(r.instances[k%3], g.id, "")
				if first.complete && first.status == http.StatusOK {
					g.turn(r.instances[(k+1)%3], g.id, first.id)
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	var agents []*agent
	for n := range loops {
		g := r.agent(budget, most, 0)
		agents = append(agents, g)
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 150 * time.Millisecond)
			for k := n; !stop.Load(); k++ {
				previous, refused := "", 0
				for refused < 3 && !stop.Load() { // a turn is sent twice more after 402
					a := g.turn(r.instances[k%3], g.id, previous)
					switch {
					case a.status == http.StatusOK && a.complete:
						previous = a.id
					case a.status == http.StatusPaymentRequired:
						refused++
						time.Sleep(200 * time.Millisecond)
					default:
						previous = ""
						time.Sleep(200 * time.Millisecond)
					}
				}
				time.Sleep(pause)
			}
		})
	}
	r.at(killAt)
	if trouble {
		r.instances[1].kill()
		time.Sleep(time.Second)
		r.instances[1].start()
	}
	r.at(end)
	stop.Store(true)
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
