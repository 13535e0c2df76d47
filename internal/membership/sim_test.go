package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// simStep is the simulated time of one step. The simulation runs instances with clocks at different
// offsets over a network that delays and loses messages, and blocks them by direction.
const simStep = 100 * time.Millisecond

type simMessage struct {
	at   time.Duration // simulated time of delivery
	from id.Session
	beat *wire.Heartbeat
	ack  *wire.HeartbeatAck
}

type simNode struct {
	name        string
	runs        int           // number of starts; part of the session
	offset      time.Duration // of the local clock
	listLag     time.Duration // greatest age of the lists that it reads
	members     *Members
	pausedUntil time.Duration // simulated time
	down        bool
	nextRound   time.Duration // simulated time
	inbox       []simMessage
	leaving     map[string]time.Duration // when an endpoint was first seen as leaving
}

func (n *simNode) session() id.Session { return id.Session(fmt.Sprintf("%s.%d", n.name, n.runs)) }

// listVersion is the content of the platform's list from a simulated time on.
type listVersion struct {
	from      time.Duration
	instances []Instance
	endpoints []Endpoint
}

type sim struct {
	now      time.Duration
	rng      *rand.Rand
	nodes    []*simNode
	lists    []listVersion
	cut      map[[2]int]time.Duration // by sender and receiver: until when messages are blocked
	loss     float64                  // probability that a message is lost
	maxDelay time.Duration            // of a message
}

func newSim(seed uint64, nodes int, loss float64, maxDelay time.Duration) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), cut: make(map[[2]int]time.Duration), loss: loss, maxDelay: maxDelay}
	var list []Instance
	for i := range nodes {
		n := &simNode{
			name:    fmt.Sprintf("i%d", i),
			offset:  time.Duration(s.rng.Int64N(int64(time.Hour))),
			listLag: time.Duration(s.rng.Int64N(int64(ListLagBound / 3))),
			leaving: make(map[string]time.Duration),
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
		list = append(list, Instance{Name: n.name})
	}
	s.lists = []listVersion{{from: -time.Hour, instances: list}}
	return s
}

func (s *sim) local(n *simNode) time.Duration { return s.now + n.offset }

func (s *sim) start(n *simNode) {
	n.runs++
	n.down = false
	n.inbox = nil
	n.nextRound = s.now + time.Duration(s.rng.Int64N(int64(HeartbeatInterval)))
	n.members = New(Config{Self: n.session(), Zone: "z", Start: s.local(n)})
}

func (s *sim) setList(instances []Instance, endpoints []Endpoint) {
	s.lists = append(s.lists, listVersion{from: s.now, instances: instances, endpoints: endpoints})
}

func (s *sim) send(from, to int, m simMessage) {
	if from == to || s.cut[[2]int{from, to}] > s.now || s.rng.Float64() < s.loss {
		return
	}
	m.from = s.nodes[from].session()
	m.at = s.now + time.Duration(s.rng.Int64N(int64(s.maxDelay)+1))
	s.nodes[to].inbox = append(s.nodes[to].inbox, m)
}

func (s *sim) step() {
	s.now += simStep
	for i, n := range s.nodes {
		if n.down || n.pausedUntil > s.now {
			continue
		}
		s.deliver(i, n)
		if s.now >= n.nextRound {
			n.nextRound = max(n.nextRound+HeartbeatInterval, s.now)
			s.round(i, n)
		}
		for _, e := range n.members.LeavingEndpoints() {
			if _, ok := n.leaving[e]; !ok {
				n.leaving[e] = s.now
			}
		}
	}
}

func (s *sim) round(i int, n *simNode) {
	content := s.now - time.Duration(s.rng.Int64N(int64(n.listLag)+1))
	version := s.lists[0]
	for _, v := range s.lists {
		if v.from <= content {
			version = v
		}
	}
	n.members.Step(s.local(n), ListAnswer{Age: s.now - content, Instances: version.instances, Endpoints: version.endpoints})
	beat := n.members.StartRound(s.local(n), 1, nil)
	for j := range s.nodes {
		s.send(i, j, simMessage{beat: &beat})
	}
}

func (s *sim) deliver(i int, n *simNode) {
	var later []simMessage
	for _, m := range n.inbox {
		switch {
		case m.at > s.now:
			later = append(later, m)
		case m.beat != nil:
			n.members.Step(s.local(n), HeartbeatReceived{From: m.from, Zone: "z", Heartbeat: *m.beat})
			ack := n.members.Ack(s.local(n), m.beat.Round)
			to := slices.IndexFunc(s.nodes, func(o *simNode) bool { return o.session() == m.from })
			if to >= 0 {
				s.send(i, to, simMessage{ack: &ack})
			}
		default:
			n.members.Step(s.local(n), HeartbeatAcked{From: m.from, Ack: *m.ack})
		}
	}
	n.inbox = later
}

// conflict returns a claimant and a holder for which the invariant is violated: Dead allows the claim
// while the holder's lease holds.
func (s *sim) conflict() (claimant, holder id.Session, found bool) {
	for _, c := range s.nodes {
		if c.down || c.pausedUntil > s.now {
			continue
		}
		for _, h := range s.nodes {
			if h == c || h.down {
				continue
			}
			if c.members.Dead(s.local(c), h.session()) && h.members.Lease(s.local(h)).Holds(s.local(h)) {
				return c.session(), h.session(), true
			}
		}
	}
	return "", "", false
}
