// Package membership tells which sessions live, until when the own lease holds, from which holders
// slots may be claimed, and which endpoints are leaving.
//
// Members is a deterministic state machine without I/O. Step takes an event with its time; queries
// take the time too. Time is a time.Duration on the instance's own monotonic clock and never
// decreases; the clocks of instances may differ by any offset.
//
// Invariant: when Dead reports a session at one instance, the lease of that session does not hold.
// The argument: Dead needs answers of a majority to own rounds sent within FreshWindow, and no
// answer of them may report the session as heard within DeadAfter. A lease needs a majority that
// acknowledged a round sent within LeaseTime, and after a lapse it counts only RegainWait after
// that majority has answered. Both majorities share an instance, because both sides need one in
// every list of instances that was current within ListLagBound. If that instance answered the
// claimant after it had acknowledged the holder, it reported the holder. If it answered before, the
// acknowledgement is younger than FreshWindow, and the holder's earlier rounds either were reported
// or are so old that its lease had lapsed and RegainWait is not over.
//
// The invariant rests on two conditions: the lists that two instances use at one moment are at most
// ListLagBound apart, and clocks run at the same rate. It does not cover a claim that was appended
// while the lease had lapsed and takes effect in the log later, when the lease may hold again.
// Therefore a non-idempotent dispatch also needs a read of the log's tail that is younger than
// TailBound (Lease.MayDispatch), and a claimant waits SettleWait after it has read its claim back
// before it asks for or settles outcomes that the previous holder left open. If the holder's read
// did not show the claim, the claim came after the read, and SettleWait ends after TailBound.
package membership

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// Times of the protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	LeaseTime         = 3 * time.Second // from the sending of a round that a majority acknowledged
	DeadAfter         = 6 * time.Second // without direct or reported heartbeat
	FreshWindow       = 2 * time.Second // in which a majority must have been heard before a claim
	// RegainWait is at least FreshWindow: a claimant may still act for so long on answers that peers
	// gave before they heard the holder again.
	RegainWait = FreshWindow
	// ListLagBound is how far apart the lists of two instances may be. It is longer than the usual
	// lag and shorter than the time in which half of the instances are replaced.
	ListLagBound = 30 * time.Second
	// TailBound is the age of a read of the log's tail above which nothing non-idempotent is sent.
	TailBound = 2 * time.Second
	// SettleWait is how long a claimant leaves the previous holder's open outcomes alone. It exceeds
	// TailBound by the time that a write takes after its check.
	SettleWait = 3 * time.Second
	// forgetAfter is when a silent session is forgotten. Dead then goes by the start of this process.
	forgetAfter = 10 * time.Minute
)

// Config names the own session.
type Config struct {
	Self  id.Session
	Zone  string
	Start time.Duration // on the own clock
}

type peer struct {
	zone     string
	direct   time.Duration // last heartbeat or answer received
	seen     bool          // a heartbeat was received at all
	fresh    time.Duration // sending time of the latest own round that it answered
	answered bool
	uptime   time.Duration // at the time of that answer
	draining bool
	replaced bool // a newer session of its instance was heard
	manifest uint64
	slots    wire.SlotEpochs
}

// Members is the view of one instance. It is not safe for concurrent use.
type Members struct {
	cfg       Config
	draining  bool
	peers     map[id.Session]*peer
	byHash    map[uint32]time.Duration // last report about sessions, also of those not known here
	list      listState
	lease     leaseState
	endpoints endpointState
	steppedAt time.Duration // latest event
	resumedAt time.Duration // first event after the latest gap between events
}

// New returns the view of an instance that has heard nothing yet.
func New(cfg Config) *Members {
	return &Members{
		cfg:       cfg,
		peers:     make(map[id.Session]*peer),
		byHash:    make(map[uint32]time.Duration),
		lease:     newLeaseState(),
		endpoints: newEndpointState(),
		steppedAt: cfg.Start,
		resumedAt: cfg.Start - resumeListWait, // a process that starts has not been paused
	}
}

// Event is an input of Step.
type Event interface{ event() }

// Instance is an instance in the platform's list.
type Instance struct {
	Name    string
	Leaving bool
}

// Endpoint is an endpoint in the platform's list.
type Endpoint struct {
	Name    string
	Leaving bool
}

// ListAnswer is an answer of the platform's list. Age is how old its content is.
type ListAnswer struct {
	Age       time.Duration
	Instances []Instance
	Endpoints []Endpoint
}

// HeartbeatReceived brings a heartbeat. The caller answers it with Ack.
type HeartbeatReceived struct {
	From      id.Session
	Zone      string
	Heartbeat wire.Heartbeat
}

// HeartbeatAcked brings the answer of a peer to an own round.
type HeartbeatAcked struct {
	From id.Session
	Ack  wire.HeartbeatAck
}

// EndpointLeaving tells that an endpoint itself said that it is leaving.
type EndpointLeaving struct{ Endpoint string }

// TailRead tells that a read of the programs stream has reached its tail. Sent is when its request
// was sent; with a waiting read, when the last request was sent that returned nothing or the tail.
type TailRead struct{ Sent time.Duration }

// Drain tells that this instance is shutting down.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (ListAnswer) event()        {}
func (HeartbeatReceived) event() {}
func (HeartbeatAcked) event()    {}
func (EndpointLeaving) event()   {}
func (TailRead) event()          {}
func (Drain) event()             {}
func (Tick) event()              {}

// Step applies an event at a time of the own clock.
func (m *Members) Step(now time.Duration, e Event) {
	if now-m.steppedAt > pauseGap {
		m.resumedAt = now
	}
	m.steppedAt = now
	m.lease.expire(now)
	m.list.expire(now)
	switch e := e.(type) {
	case ListAnswer:
		if m.list.apply(now, e) {
			m.endpoints.applyList(now, e)
		}
	case HeartbeatReceived:
		m.received(now, e)
	case HeartbeatAcked:
		m.acked(now, e)
	case EndpointLeaving:
		m.endpoints.mark(e.Endpoint, now)
	case TailRead:
		m.lease.tailRead(e.Sent)
	case Drain:
		m.draining = true
	case Tick:
		m.forget(now)
	}
}

func (m *Members) peer(s id.Session) *peer {
	p := m.peers[s]
	if p == nil {
		p = &peer{direct: m.cfg.Start}
		m.peers[s] = p
	}
	return p
}

func (m *Members) received(now time.Duration, e HeartbeatReceived) {
	if e.From == m.cfg.Self {
		return
	}
	p := m.peer(e.From)
	if !p.seen {
		m.replaceOlder(e.From)
	}
	p.seen = true
	p.zone = e.Zone
	p.direct = now
	p.draining = p.draining || e.Heartbeat.Draining
	p.manifest = max(p.manifest, e.Heartbeat.ManifestVersion)
	p.slots = e.Heartbeat.Slots
	for _, mark := range e.Heartbeat.Leaving {
		m.endpoints.mark(mark.Endpoint, now-ageOf(mark.AgeMS))
	}
}

// replaceOlder takes the other sessions of an instance out of the choice of holders. They are not
// dead before DeadAfter, because the old process may still run.
func (m *Members) replaceOlder(s id.Session) {
	for other, p := range m.peers {
		if other != s && other.Instance() == s.Instance() {
			p.replaced = true
		}
	}
}

func (m *Members) acked(now time.Duration, e HeartbeatAcked) {
	sent, known := m.lease.sentAt(e.Ack.Round)
	if !known || e.From == m.cfg.Self {
		return
	}
	p := m.peer(e.From)
	p.direct = now // an answer is a sign of life too, also of a holder whose heartbeats get lost
	if !p.answered || sent >= p.fresh {
		p.answered, p.fresh, p.uptime = true, sent, e.Ack.Uptime
	}
	for _, h := range e.Ack.Heard {
		// The answer may have been under way, so the true time is earlier. The later time delays a claim.
		at := now - ageOf(h.AgeMS)
		if last, ok := m.byHash[h.Peer]; !ok || at > last {
			m.byHash[h.Peer] = at
		}
	}
	m.lease.acked(now, e.Ack.Round, e.From.Instance(), m.majority)
}

func ageOf(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(forgetAfter/time.Millisecond))) * time.Millisecond
}

func (m *Members) forget(now time.Duration) {
	for s, p := range m.peers {
		if now-m.lastHeard(s) > forgetAfter && now-p.fresh > forgetAfter {
			delete(m.peers, s)
		}
	}
	for h, at := range m.byHash {
		if now-at > forgetAfter {
			delete(m.byHash, h)
		}
	}
}

// lastHeard returns when a session was last heard, directly or by report, at the earliest the start
// of this process.
func (m *Members) lastHeard(s id.Session) time.Duration {
	last := m.cfg.Start
	if p := m.peers[s]; p != nil {
		last = max(last, p.direct)
	}
	return max(last, m.byHash[wire.SessionHash(s)])
}

// StartRound starts a heartbeat round. The caller sets Running per recipient and sends it to every peer.
func (m *Members) StartRound(now time.Duration, manifest uint64, slots wire.SlotEpochs) wire.Heartbeat {
	m.Step(now, Tick{})
	round := m.lease.start(now, m.cfg.Self.Instance(), m.majority)
	return wire.Heartbeat{
		Round:           round,
		ManifestVersion: manifest,
		Draining:        m.draining,
		Slots:           slots,
		Leaving:         m.endpoints.spread(now),
	}
}

// Ack returns the answer to a heartbeat that was received. It must be composed after Step has taken
// the heartbeat.
func (m *Members) Ack(now time.Duration, round uint64) wire.HeartbeatAck {
	ack := wire.HeartbeatAck{Round: round, Uptime: now - m.cfg.Start}
	for s, p := range m.peers {
		if (p.seen || p.answered) && now-p.direct < DeadAfter {
			age := (now - p.direct) / time.Millisecond
			ack.Heard = append(ack.Heard, wire.Heard{Peer: wire.SessionHash(s), AgeMS: uint64(age)})
		}
	}
	slices.SortFunc(ack.Heard, func(a, b wire.Heard) int { return int(int64(a.Peer) - int64(b.Peer)) })
	return ack
}

// majority tells whether the instances are a majority of every relevant list.
func (m *Members) majority(has func(instance string) bool) bool { return m.list.majority(has) }
