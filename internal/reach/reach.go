// Package reach decides by which way requests go to endpoints: over connections of the instance itself or, while it is
// cut off from the endpoints, through a peer. It does no I/O and takes all times from its callers.
package reach

import (
	"time"

	"ragwortstile/internal/id"
)

const (
	// minUnreached is how many endpoints must fail to accept connections, with none accepting one in between, until
	// the instance counts as cut off. Some may have ended.
	minUnreached = 3
	// evidenceTTL is how long a failed connection counts. Probes renew the evidence.
	evidenceTTL = 3 * time.Second
	// quietTime is how long no response may have arrived until open connections are not used either.
	quietTime = 300 * time.Millisecond
)

// Tracker knows how the connections of an instance to endpoints fare. It is not safe for concurrent use.
type Tracker struct {
	unreached   map[string]time.Time // last failed connection by address, since one was accepted
	connectedAt time.Time            // when an endpoint last accepted a connection
	respondedAt time.Time            // when the last response arrived over a connection of the instance
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker { return &Tracker{unreached: make(map[string]time.Time)} }

// Connected records that an endpoint has accepted a connection.
func (t *Tracker) Connected(now time.Time) {
	t.connectedAt = now
	clear(t.unreached)
}

// NotConnected records that an endpoint has not accepted a connection.
func (t *Tracker) NotConnected(addr string, now time.Time) { t.unreached[addr] = now }

// Responded records that a response has arrived.
func (t *Tracker) Responded(now time.Time) { t.respondedAt = now }

// ReachedSince reports whether an endpoint has accepted a connection or responded since a time.
func (t *Tracker) ReachedSince(since time.Time) bool {
	return t.connectedAt.After(since) || t.respondedAt.After(since)
}

// CutOff reports whether new connections to endpoints are pointless. listed is the number of endpoints.
func (t *Tracker) CutOff(listed int, now time.Time) bool {
	return t.Suspects(now) && len(t.unreached) >= min(minUnreached, listed)
}

// Suspects reports whether an endpoint has not accepted a connection, and none has accepted one since. Then a probe of
// another endpoint tells whether the instance is cut off.
func (t *Tracker) Suspects(now time.Time) bool {
	for addr, at := range t.unreached {
		if now.Sub(at) > evidenceTTL {
			delete(t.unreached, addr)
		}
	}
	return len(t.unreached) > 0
}

// TrustsOpen reports whether open connections may be used. While new ones fail, they may live on, or be as dead without
// having been closed.
func (t *Tracker) TrustsOpen(listed int, now time.Time) bool {
	return !t.CutOff(listed, now) || now.Sub(t.respondedAt) < quietTime
}

// refusedTime is how long a peer that is cut off as well is not asked again, unless it says that it has recovered.
const refusedTime = 5 * time.Second

// Peer is an instance that may send requests on behalf of this one.
type Peer struct {
	Session id.Session
	Zone    string // availability zone
}

// Peers distributes requests over peers. It is not safe for concurrent use.
type Peers struct {
	zone    string // of this instance
	running map[id.Session]int
	refused map[id.Session]time.Time // when a peer said that it is cut off
}

// NewPeers returns the Peers of an instance in an availability zone.
func NewPeers(zone string) *Peers {
	return &Peers{zone: zone, running: make(map[id.Session]int), refused: make(map[id.Session]time.Time)}
}

// Choose returns the peer with the fewest requests in progress, one in another availability zone if several have equally
// few, since zones are often cut off as a whole. Those in tried and those that are cut off are left out.
func (p *Peers) Choose(connected []Peer, tried map[id.Session]bool, now time.Time) (Peer, bool) {
	var best Peer
	found := false
	for _, c := range connected {
		if tried[c.Session] || !p.usable(c.Session, now) {
			continue
		}
		fewer := p.running[c.Session] - p.running[best.Session]
		if !found || fewer < 0 || fewer == 0 && c.Zone != p.zone && best.Zone == p.zone {
			best, found = c, true
		}
	}
	return best, found
}

func (p *Peers) usable(session id.Session, now time.Time) bool {
	at, ok := p.refused[session]
	if ok && now.Sub(at) >= refusedTime {
		delete(p.refused, session)
		ok = false
	}
	return !ok
}

// Refused records that a peer is cut off as well.
func (p *Peers) Refused(session id.Session, now time.Time) { p.refused[session] = now }

// Recovered records that a peer is not cut off.
func (p *Peers) Recovered(session id.Session) { delete(p.refused, session) }

// Begun records that a request goes through a peer.
func (p *Peers) Begun(session id.Session) { p.running[session]++ }

// Ended records that a request that went through a peer has ended.
func (p *Peers) Ended(session id.Session) {
	if p.running[session]--; p.running[session] <= 0 {
		delete(p.running, session)
	}
}

// Prune drops refusals that are over.
func (p *Peers) Prune(now time.Time) {
	for session := range p.refused {
		p.usable(session, now)
	}
}
