// Package evenload simulates instances that choose endpoints from outdated load reports, in simulated time and
// without sockets. It measures how evenly a policy loads the endpoints. It does no I/O.
//
// Callers reach the instances at random. An instance sends each request at once to the endpoint that its policy
// picks, and reports every ReportInterval how many requests it has at each endpoint. Endpoints queue in order of
// arrival, slow down with their load and, some of them at any moment, are slow for a while.
package evenload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// ReportInterval is how often an instance reports its load, as in the gateway.
	ReportInterval = 100 * time.Millisecond
	// batchSlowdown is how much longer a request takes at an endpoint with all slots in use than alone.
	batchSlowdown = 0.2
	// slowFactor and slowTime describe an endpoint that is slow for a while.
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond
	// speedKnown is the share of the time of a request after which its speed is known (second event of a stream).
	speedKnown = 0.1
	// lengthSpread is the standard deviation of the logarithm of the length of a request.
	lengthSpread = 0.5
	// sampleInterval is how often the state of the endpoints is measured.
	sampleInterval = 10 * time.Millisecond
)

// Scenario describes a fleet and its load.
type Scenario struct {
	Instances int
	Endpoints int
	Slots     int           // of each endpoint
	Scales    []float64     // endpoint i takes Scales[i % len(Scales)] times MeanTime
	MeanTime  time.Duration // of a request alone at an endpoint with a scale of 1
	Load      float64       // requests, as a share of what the endpoints can serve
	Age       time.Duration // mean age of the newest report of a peer, if none is lost; at least half of ReportInterval
	Lost      float64       // share of the reports that are lost
	OneWay    float64       // share of the ordered pairs of instances in which no report arrives
	Slow      float64       // share of the endpoints that are slow at any moment
	Warmup    time.Duration // not measured
	Measured  time.Duration
	Seed      uint64
}

// Result is what a run measured.
type Result struct {
	Overload float64       // share of time in which an endpoint is overloaded while a free slot at another would do
	Wait     time.Duration // 99th percentile of the time in the queues of endpoints
	MeanWait time.Duration
	MeanTime time.Duration // from the choice to the end of a request
	AgeP50   time.Duration // age of the reports at the decisions
	AgeP99   time.Duration
	Requests int
}

// Report is the load report of one instance. It is not changed after it was sent.
type Report struct {
	From  int
	Sent  time.Duration
	Loads []EndpointLoad

	shared *sharedReport // what receivers derive from it once for all
}

// EndpointLoad is the number of requests of the sender at an endpoint.
type EndpointLoad struct{ Endpoint, Running int }

// Policy chooses the endpoints of one instance.
type Policy interface {
	Pick(now time.Duration) int
	Sent(endpoint int, now time.Duration) int64
	// Observe tells the expected time of a request whose response has begun.
	Observe(endpoint int, number int64, expected time.Duration)
	Ended(endpoint int, number int64, took, now time.Duration)
	Receive(r Report, now time.Duration)
}

// NewPolicy returns the policy of one instance of a scenario.
type NewPolicy func(s Scenario, instance int) Policy

// request is a request at an endpoint.
type request struct {
	instance, endpoint int
	number             int64
	sent, began        time.Duration
	work               float64 // seconds alone at an endpoint with a scale of 1
	doneAt             float64 // progress of the endpoint at which it ends
}

// server is the model of an endpoint.
type server struct {
	scale    float64
	slow     bool
	running  []*request
	queue    []*request
	progress float64 // seconds of work done for each running request
	at       time.Duration
	version  int // of the scheduled end
}

// rate returns the seconds of work done in a second.
func (e *server) rate(slots int) float64 {
	took := e.scale * (1 + batchSlowdown*float64(len(e.running))/float64(slots))
	if e.slow {
		took *= slowFactor
	}
	return 1 / took
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

type simulation struct {
	Scenario
	rand     *rand.Rand
	now      time.Duration
	events   events
	pushed   int
	servers  []*server
	policies []Policy
	own      [][]int           // requests by instance and endpoint
	sentAt   [][]time.Duration // send time of the newest report by receiver and sender
	heardBy  [][]bool          // by sender and receiver
	overload float64
	samples  int
	waits    []time.Duration
	ages     []time.Duration
	total    time.Duration
}

// Run plays a scenario. The same scenario and policy give the same result.
func Run(sc Scenario, newPolicy NewPolicy) Result {
	s := &simulation{Scenario: sc, rand: rand.New(rand.NewPCG(sc.Seed, 1))}
	capacity := 0.0
	for i := range sc.Endpoints {
		e := &server{scale: sc.Scales[i%len(sc.Scales)]}
		s.servers = append(s.servers, e)
		usual := sc.MeanTime.Seconds() * e.scale * (1 + batchSlowdown)
		capacity += float64(sc.Slots) / usual / (1 + sc.Slow*(slowFactor-1))
		if sc.Slow > 0 {
			s.scheduleSlow(e)
		}
	}
	for i := range sc.Instances {
		s.policies = append(s.policies, newPolicy(sc, i))
		s.own = append(s.own, make([]int, sc.Endpoints))
		s.sentAt = append(s.sentAt, make([]time.Duration, sc.Instances))
		heard := make([]bool, sc.Instances)
		for j := range heard {
			heard[j] = i != j && s.rand.Float64() >= sc.OneWay
		}
		s.heardBy = append(s.heardBy, heard)
		s.after(time.Duration(s.rand.Float64()*float64(ReportInterval)), func() { s.report(i) })
	}
	s.arrive(sc.Load * capacity)
	s.after(sc.Warmup, s.sample)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > sc.Warmup+sc.Measured {
			break
		}
		s.now = e.at
		e.do()
	}
	slices.Sort(s.waits)
	slices.Sort(s.ages)
	r := Result{
		Overload: s.overload / float64(max(s.samples, 1)), Wait: quantile(s.waits, 0.99), Requests: len(s.waits),
		AgeP50: quantile(s.ages, 0.5), AgeP99: quantile(s.ages, 0.99), MeanTime: s.total / time.Duration(max(len(s.waits), 1)),
	}
	sum := time.Duration(0)
	for _, w := range s.waits {
		sum += w
	}
	r.MeanWait = sum / time.Duration(max(len(s.waits), 1))
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func (s *simulation) after(d time.Duration, do func()) {
	s.pushed++
	heap.Push(&s.events, event{at: s.now + max(d, 0), n: s.pushed, do: do})
}

func (s *simulation) measuring() bool { return s.now >= s.Warmup }

// scheduleSlow makes an endpoint slow now and then, independently of others.
func (s *simulation) scheduleSlow(e *server) {
	mean := slowTime.Seconds() * (1 - s.Slow) / s.Slow
	s.after(time.Duration(s.rand.ExpFloat64()*mean*float64(time.Second)), func() {
		s.advance(e)
		e.slow = true
		s.scheduleEnd(e)
		s.after(slowTime, func() {
			s.advance(e)
			e.slow = false
			s.scheduleEnd(e)
			s.scheduleSlow(e)
		})
	})
}

// arrive schedules the next request, as a Poisson process.
func (s *simulation) arrive(perSecond float64) {
	s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.send(s.rand.IntN(s.Instances))
		s.arrive(perSecond)
	})
}

func (s *simulation) send(instance int) {
	p := s.policies[instance]
	to := p.Pick(s.now)
	if s.measuring() && s.Instances > 1 {
		peer := s.rand.IntN(s.Instances)
		if s.heardBy[peer][instance] {
			s.ages = append(s.ages, s.now-s.sentAt[instance][peer])
		}
	}
	r := &request{
		instance: instance, endpoint: to, number: p.Sent(to, s.now), sent: s.now,
		work: s.MeanTime.Seconds() * math.Exp(lengthSpread*s.rand.NormFloat64()-lengthSpread*lengthSpread/2),
	}
	s.own[instance][to]++
	e := s.servers[to]
	s.advance(e)
	if len(e.running) < s.Slots {
		s.begin(e, r)
	} else {
		e.queue = append(e.queue, r)
	}
	s.scheduleEnd(e)
}

// advance updates the progress of an endpoint to now, before its rate changes.
func (s *simulation) advance(e *server) {
	e.progress += (s.now - e.at).Seconds() * e.rate(s.Slots)
	e.at = s.now
}

func (s *simulation) begin(e *server, r *request) {
	e.running = append(e.running, r)
	r.began, r.doneAt = s.now, e.progress+r.work
	if s.measuring() {
		s.waits = append(s.waits, r.began-r.sent)
	}
	s.after(time.Duration(speedKnown*r.work/e.rate(s.Slots)*float64(time.Second)), func() {
		s.policies[r.instance].Observe(r.endpoint, r.number, s.expected(e, r))
	})
}

// expected returns the time that a request of mean length takes, as seen in the events of r.
func (s *simulation) expected(e *server, r *request) time.Duration {
	return r.began - r.sent + time.Duration(float64(s.MeanTime)/e.rate(s.Slots))
}

func (s *simulation) scheduleEnd(e *server) {
	e.version++
	if len(e.running) == 0 {
		return
	}
	first := slices.MinFunc(e.running, func(a, b *request) int {
		if a.doneAt < b.doneAt {
			return -1
		}
		return 1
	})
	version := e.version
	left := max(first.doneAt-e.progress, 0) / e.rate(s.Slots)
	s.after(time.Duration(left*float64(time.Second)), func() {
		if e.version == version {
			s.end(e, first)
		}
	})
}

func (s *simulation) end(e *server, r *request) {
	s.advance(e)
	// The speed seen over the whole of the stream.
	took := r.began - r.sent + time.Duration(float64(s.now-r.began)*s.MeanTime.Seconds()/r.work)
	e.running = slices.DeleteFunc(e.running, func(other *request) bool { return other == r })
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.begin(e, next)
	}
	s.scheduleEnd(e)
	s.own[r.instance][r.endpoint]--
	if s.measuring() {
		s.total += s.now - r.sent
	}
	s.policies[r.instance].Ended(r.endpoint, r.number, took, s.now)
}

func (s *simulation) report(from int) {
	r := Report{From: from, Sent: s.now, shared: &sharedReport{}}
	for e, running := range s.own[from] {
		if running > 0 {
			r.Loads = append(r.Loads, EndpointLoad{e, running})
		}
	}
	s.after(max(s.Age-ReportInterval/2, 0), func() {
		for to, p := range s.policies {
			if s.heardBy[from][to] && (s.Lost == 0 || s.rand.Float64() >= s.Lost) {
				s.sentAt[to][from] = r.Sent
				p.Receive(r, s.now)
			}
		}
	})
	s.after(ReportInterval, func() { s.report(from) })
}

// sample measures which endpoints are overloaded while another one of the same or a better speed has a free slot.
func (s *simulation) sample() {
	fastestFree := math.Inf(1)
	speed := func(e *server) float64 {
		if e.slow {
			return e.scale * slowFactor
		}
		return e.scale
	}
	for _, e := range s.servers {
		if len(e.running) < s.Slots {
			fastestFree = min(fastestFree, speed(e))
		}
	}
	over := 0
	for _, e := range s.servers {
		if len(e.queue) > 0 && fastestFree <= speed(e) {
			over++
		}
	}
	s.overload += float64(over) / float64(len(s.servers))
	s.samples++
	s.after(sampleInterval, s.sample)
}
