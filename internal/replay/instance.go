package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/balance"
)

// shareService is the name of the only service.
const shareService = "service"

// silenceTime is the time without any report after which an instance counts as cut off from its peers.
const silenceTime = time.Second

// instance is one instance with its queue and its view of the load.
type instance struct {
	s        *simulation
	name     string
	balancer *balance.Balancer
	queue    *admission.Queue
	calls    map[*admission.Ticket]*attempt
	running  map[*attempt]bool // attempts at endpoints
	sharing  *admission.Sharing
	heard    map[string]time.Duration // when a report of each peer last arrived
	cutOff   bool                     // no report passes in either direction
}

func newInstance(s *simulation, number int) *instance {
	i := &instance{s: s, name: fmt.Sprint("i", number)}
	i.reset(number)
	interval := time.Duration(s.pattern.ReportMs * float64(time.Millisecond))
	s.after(time.Duration(s.rand.Float64()*float64(interval)), func() { i.report(interval) })
	return i
}

// reset gives the instance the state of one that starts.
func (i *instance) reset(number int) {
	i.balancer, i.queue = balance.New("", i.s.pattern.Seed+uint64(number)), &admission.Queue{}
	i.calls, i.running = make(map[*admission.Ticket]*attempt), make(map[*attempt]bool)
	i.sharing, i.heard = admission.NewSharing(i.s.pattern.Seed+uint64(number)), make(map[string]time.Duration)
	if i.s.pattern.hasTeams() {
		i.queue.Shares, i.queue.Capacity = i.sharing.Of(shareService), i.capacity
	}
}

// restart loses the state of all instances and the turns in progress, whose callers try again.
func (s *simulation) restart() {
	for number, i := range s.instances {
		calls, running := i.calls, i.running
		i.reset(number)
		for _, a := range s.ordered(calls, running) {
			if a.work != nil {
				a.work.canceled = true
				a.work = nil
			}
			a.p.failed(a.deadline, 0)
		}
	}
}

// ordered returns the attempts that wait and that run in the order of their beginning.
func (s *simulation) ordered(calls map[*admission.Ticket]*attempt, running map[*attempt]bool) []*attempt {
	out := slices.AppendSeq(make([]*attempt, 0, len(calls)+len(running)), maps.Keys(running))
	out = slices.AppendSeq(out, maps.Values(calls))
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.serial, b.serial) })
	return out
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
	teams := i.sharing.Report(now)
	for _, other := range i.s.instances {
		if other != i && !i.cutOff && !other.cutOff {
			i.s.deliver(func() {
				other.balancer.SetPeerReport(i.name, r, i.s.clock())
				other.sharing.SetPeer(i.name, teams, i.s.clock())
				other.heard[i.name] = i.s.now
			})
		}
	}
	i.s.after(interval, func() { i.report(interval) })
}

// deliver passes a report on, unless it is lost, after the delay that changes add.
func (s *simulation) deliver(do func()) {
	late := 0.0
	for _, c := range s.pattern.Changes {
		if !c.active(s.now) {
			continue
		}
		if c.ReportLoss > 0 && s.rand.Float64() < c.ReportLoss {
			return
		}
		late += c.ReportLateMs
	}
	if late == 0 {
		do()
		return
	}
	s.after(time.Duration(late*float64(time.Millisecond)), do)
}

// capacity returns what the instance knows of the endpoints.
func (i *instance) capacity() admission.Capacity {
	c := admission.Capacity{Part: 1}
	candidates := i.candidates()
	for _, e := range candidates {
		c.Slots += float64(e.Slots)
	}
	c.Occupancy = i.balancer.Occupancy(candidates, i.queue.Begun()+i.balancer.PeerTurns().Begun, i.s.clock())
	for _, at := range i.heard {
		if i.s.now-at < silenceTime {
			return c
		}
	}
	c.Part = 1 / float64(len(i.heard)+1)
	return c
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
