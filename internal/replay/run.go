package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/balance"
)

// Policy is a way to decide on turns.
type Policy string

// Policies.
const (
	Queues Policy = "queues" // admission queues, as the gateway uses them
	Direct Policy = "direct" // each turn is sent at once to the endpoint that is expected to finish first
)

// Behaviour of callers, as on the users' platform.
const (
	callerPatience = 2 * time.Second // without the first event
	turnDeadline   = 3 * time.Second
	turnTries      = 3                      // of a turn; each has two attempts
	minTryPause    = 100 * time.Millisecond // before a turn is tried again
	maxTryPause    = 400 * time.Millisecond
	// lateFactor times its aim is the time after which a program is worth nothing.
	lateFactor = 2
	// drainTime is how long the simulation goes on after the last arrival.
	drainTime = 20 * time.Second
	// speedKnownFraction is the part of a turn's time after which the speed of its endpoint is known.
	speedKnownFraction = 0.4
)

// Second counts what became of the programs that began in one second.
type Second struct {
	Begun    int     `json:"begun"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Failed   int     `json:"failed"`
	Owed     float64 `json:"owed"`   // worth of all programs
	Earned   float64 `json:"earned"` // worth of those that ended
	Rejected int     `json:"rejected"`
	Waiting  int     `json:"waiting"`      // turns that wait at instances at the end of the second
	Running  int     `json:"running"`      // turns that run at endpoints at the end of the second
	Ended    int     `json:"ended_in_aim"` // programs that ended in their aim within the second
}

// Result is the outcome of a run.
type Result struct {
	Policy  Policy            `json:"policy"`
	Pattern string            `json:"pattern"`
	Seconds []Second          `json:"seconds"`
	ByKind  map[string]Second `json:"by_kind"`
}

// Share returns the worth earned as a share of the worth owed, over the seconds from and before to.
func (r Result) Share(from, to int) float64 {
	owed, earned := 0.0, 0.0
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		owed, earned = owed+s.Owed, earned+s.Earned
	}
	return earned / max(owed, 1e-9)
}

// Worth returns the worth of the programs that began in the seconds from and before to and ended, per second.
func (r Result) Worth(from, to int) float64 {
	earned := 0.0
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		earned += s.Earned
	}
	return earned / float64(to-from)
}

// Goodput returns the programs that ended in their aim per second, over the seconds from and before to.
func (r Result) Goodput(from, to int) float64 {
	n := 0
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		n += s.Ended
	}
	return float64(n) / float64(to-from)
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	n  int // order of events at the same time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simulation struct {
	pattern   Pattern
	policy    Policy
	rand      *rand.Rand
	now       time.Duration
	events    eventHeap
	scheduled int
	engines   []*engine
	instances []*instance
	result    Result
}

// epoch is the time of day at which simulations begin.
var epoch = time.Unix(1_700_000_000, 0)

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + max(d, 0), n: s.scheduled, do: do})
}

// Run plays a pattern under a policy. The same pattern and policy give the same result.
func Run(p Pattern, policy Policy) Result {
	s := &simulation{
		pattern: p, policy: policy, rand: rand.New(rand.NewPCG(p.Seed, 1)), engines: newEngines(p),
		result: Result{Policy: policy, Pattern: p.Name, Seconds: make([]Second, p.Seconds), ByKind: make(map[string]Second)},
	}
	for i := range p.Instances {
		s.instances = append(s.instances, newInstance(s, i))
	}
	end := time.Duration(p.Seconds)*time.Second + drainTime
	for _, kind := range p.Programs {
		s.arrive(kind)
	}
	for at := time.Duration(0); at < end; at += 100 * time.Millisecond {
		s.after(at, s.applyChanges)
	}
	for at := range p.Seconds {
		s.after(time.Duration(at+1)*time.Second-1, func() { s.sample(at) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *simulation) sample(second int) {
	for _, i := range s.instances {
		s.result.Seconds[second].Waiting += i.queue.Len()
	}
	for _, e := range s.engines {
		s.result.Seconds[second].Running += e.running
	}
}

// arrive schedules the next program of a kind, as a Poisson process.
func (s *simulation) arrive(kind Programs) {
	rate := kind.PerSecond
	for _, c := range s.pattern.Changes {
		if c.Load > 0 && c.active(s.now) && (c.Only == "" || c.Only == kind.Name) {
			rate *= c.Load
		}
	}
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= time.Duration(s.pattern.Seconds)*time.Second {
			return
		}
		s.newProgram(kind).nextTurn()
		s.arrive(kind)
	})
}

// lognormal returns a value with the given mean and a moderate spread.
func (s *simulation) lognormal(mean float64) float64 {
	const sigma = 0.5
	return mean * math.Exp(sigma*s.rand.NormFloat64()-sigma*sigma/2)
}

// instance is one instance with its queue and its view of the load.
type instance struct {
	s        *simulation
	name     string
	balancer *balance.Balancer
	queue    *admission.Queue
	calls    map[*admission.Ticket]*attempt
}

func newInstance(s *simulation, number int) *instance {
	i := &instance{
		s: s, name: fmt.Sprint("i", number), balancer: balance.New("", s.pattern.Seed+uint64(number)), queue: &admission.Queue{},
		calls: make(map[*admission.Ticket]*attempt),
	}
	i.balancer.SetInstance(i.name)
	interval := time.Duration(s.pattern.ReportMs * float64(time.Millisecond))
	s.after(time.Duration(s.rand.Float64()*float64(interval)), func() { i.report(interval) })
	return i
}

// report sends the load of the instance to the others and uses the room that it sees, as the gateway does.
func (i *instance) report(interval time.Duration) {
	now := i.s.clock()
	if own := i.queue.Len(); own > 0 {
		share := float64(own) / float64(own+i.balancer.PeerTurns().Waiting)
		i.queue.AddCredit(share * i.balancer.Room(i.candidates(), admission.MaxLimit, now))
		i.plan()
	}
	r := balance.Report{Loads: i.balancer.LocalLoads(now), Turns: balance.Turns{Waiting: i.queue.Len(), Begun: i.queue.Begun()}}
	for _, other := range i.s.instances {
		if other != i {
			other.balancer.SetPeerReport(i.name, r, now)
		}
	}
	i.s.after(interval, func() { i.report(interval) })
}

func (i *instance) candidates() []balance.Endpoint {
	out := make([]balance.Endpoint, 0, len(i.s.engines))
	for _, e := range i.s.engines {
		if !e.gone {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

func (i *instance) place(a *attempt, b admission.Bounds) bool {
	now := i.s.clock()
	candidates := i.candidates()
	if b.MaxTotal > 0 && i.balancer.Occupancy(candidates, i.queue.Begun()+i.balancer.PeerTurns().Begun, now) >= b.MaxTotal {
		return false
	}
	e, _, ok := i.balancer.Pick(balance.Query{Candidates: candidates, Tried: a.tried, MaxLoad: b.MaxLoad, AnySpeed: b.AnySpeed}, now)
	if ok {
		a.endpoint, a.number = e.ID, i.balancer.Sent(e.ID, now)
	}
	return ok
}

func (i *instance) plan() {
	for _, t := range i.queue.Plan(i.s.clock(), func(t *admission.Ticket, b admission.Bounds) bool { return i.place(i.calls[t], b) }) {
		a := i.calls[t]
		delete(i.calls, t)
		a.decided(t)
	}
	if at := i.queue.NextExpiry(); !at.IsZero() {
		i.s.after(at.Sub(i.s.clock()), func() {
			if i.queue.Len() > 0 {
				i.plan()
			}
		})
	}
}
