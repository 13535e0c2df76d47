package balance

import (
	"math"
	"time"
)

const (
	// peerLoadTTL is how long the load report of a peer is used. Peers report several times in this span.
	peerLoadTTL = 600 * time.Millisecond
	// maxLatencyRatio is how many times the latency of the fastest endpoint that of another one may be for its slots
	// to count in Occupancy.
	maxLatencyRatio = 3
)

// Load is the load that one instance puts on an endpoint.
type Load struct {
	Running int
	Overdue bool // a response takes far longer than usual to begin
}

// Report is what an instance reports to its peers.
type Report struct {
	Zone  string          // of the peer
	Loads map[string]Load // by endpoint ID
	Turns
}

// Turns counts turns that are not at an endpoint.
type Turns struct {
	Waiting int // turns that wait at an instance
	Begun   int // those of them whose program has begun
}

// peerReport is the newest load report of a peer.
type peerReport struct {
	Report
	at time.Time
}

// peerLoad is the load that all peers together put on an endpoint.
type peerLoad struct {
	running int
	overdue int // peers with an overdue request there
}

// load returns the number of requests at an endpoint, from this instance and from the recent reports of peers.
func (b *Balancer) load(id string) int {
	load := b.peerLoads[id].running
	if s := b.states[id]; s != nil {
		load += s.running
	}
	return load
}

// LocalLoads returns the load that this instance puts on endpoints, by endpoint ID.
func (b *Balancer) LocalLoads(now time.Time) map[string]Load {
	loads := make(map[string]Load)
	for id, s := range b.states {
		if s.running > 0 {
			b.checkOverload(id, s)
			loads[id] = Load{Running: s.running, Overdue: s.overdue(defaultSeconds, now) > 0}
		}
	}
	return loads
}

// SetPeerReport stores the report of a peer, which replaces the previous one.
func (b *Balancer) SetPeerReport(name string, r Report, now time.Time) {
	b.dropPeer(name)
	if len(b.peers) == 0 || now.Before(b.oldestPeer) {
		b.oldestPeer = now
	}
	b.peers[name] = peerReport{Report: r, at: now}
	b.addPeer(r, 1)
	b.membership.saw(name, r.Zone, now)
}

func (b *Balancer) dropPeer(name string) {
	if r, ok := b.peers[name]; ok {
		delete(b.peers, name)
		b.addPeer(r.Report, -1)
	}
}

// addPeer adds a report to the sums over all peers; with sign -1 it removes it.
func (b *Balancer) addPeer(r Report, sign int) {
	b.peerTurns.Waiting += sign * r.Waiting
	b.peerTurns.Begun += sign * r.Begun
	for id, load := range r.Loads {
		sum := b.peerLoads[id]
		sum.running += sign * load.Running
		if load.Overdue {
			sum.overdue += sign
		}
		if b.peerLoads[id] = sum; sum == (peerLoad{}) {
			delete(b.peerLoads, id)
		}
	}
}

// expirePeers drops the reports that are too old to be used.
func (b *Balancer) expirePeers(now time.Time) {
	if now.Sub(b.oldestPeer) < peerLoadTTL {
		return
	}
	oldest := now
	for name, r := range b.peers {
		if now.Sub(r.at) >= peerLoadTTL {
			b.dropPeer(name)
		} else if r.at.Before(oldest) {
			oldest = r.at
		}
	}
	b.oldestPeer = oldest
}

// PeerTurns returns the sums over the reports of all peers.
func (b *Balancer) PeerTurns() Turns { return b.peerTurns }

// SetLimit sets how many requests a second an endpoint takes from all instances together, if it is limited.
func (b *Balancer) SetLimit(id string, limited bool, perSecond float64) {
	s := b.endpointState(id)
	s.limited, s.perSecond = limited, perSecond
}

// slots returns how many requests an endpoint serves at once. An endpoint that limits its requests uses no more slots
// than requests at that rate take up.
func (b *Balancer) slots(e Endpoint, usual float64) float64 {
	s := b.states[e.ID]
	if s == nil || !s.limited {
		return float64(e.Slots)
	}
	latency := s.latency
	if latency == 0 {
		latency = usual
	}
	return min(float64(e.Slots), s.perSecond*latency)
}

// Occupancy returns the load of the candidates and a number of turns that wait for them, as a share of the slots. It
// leaves out the endpoints that are far slower than the fastest one, which requests avoid.
func (b *Balancer) Occupancy(candidates []Endpoint, waiting int, now time.Time) float64 {
	b.expirePeers(now)
	least := b.leastLatency(candidates, false)
	if math.IsInf(least, 1) {
		least = b.leastLatency(candidates, true)
	}
	usual := b.usual(candidates)
	load, slots := waiting, 0.0
	for _, e := range candidates {
		if s := b.states[e.ID]; s != nil && s.latency > maxLatencyRatio*least {
			continue
		}
		load += b.load(e.ID)
		slots += b.slots(e, usual)
	}
	return float64(load) / max(slots, 1)
}

// Room returns how many requests the candidates can take until each has maxLoad times its slots.
func (b *Balancer) Room(candidates []Endpoint, maxLoad float64, now time.Time) float64 {
	b.expirePeers(now)
	room, usual := 0.0, b.usual(candidates)
	for _, e := range candidates {
		room += max(maxLoad*b.slots(e, usual)-float64(b.load(e.ID)), 0)
	}
	return room
}
