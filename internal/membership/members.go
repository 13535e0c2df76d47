// Package membership determines which sessions are alive, until when the lease of this instance holds,
// from which holders slots may be claimed, and which endpoints are leaving.
//
// Members is a deterministic state machine without I/O: one instance's view of the others. Step takes
// an event with its time; queries take the current time too. Time is a time.Duration on the instance's
// own monotonic clock and never decreases; the clocks of instances may differ by any offset. A session
// is one run of an instance's process.
//
// Instances exchange heartbeats in rounds. An acknowledgement (wire.HeartbeatAck) reports which sessions
// its sender has heard lately and how long ago. A round that a majority acknowledged renews the lease
// of its sender.
//
// Invariant: when Dead reports a session at one instance, the lease of that session does not hold.
// The argument: Dead needs acknowledgements by a majority of rounds that the claimant sent within
// FreshWindow, and none of them may report the session as heard within DeadAfter. A lease needs a
// majority that acknowledged a round sent within LeaseTime, and after a lapse it holds again only
// RegainWait after that majority has answered. Both majorities share an instance, because each must be
// a majority of every list of instances that was current within ListLagBound. If the shared instance
// answered the claimant after it had acknowledged the holder, it reported the holder as heard. If it
// answered before, the acknowledgement to the holder is younger than FreshWindow, and the holder's
// earlier rounds either were reported or are so old that its lease had lapsed and RegainWait is not
// over.
//
// The invariant rests on two conditions: the lists that two instances use at one moment are at most
// ListLagBound apart, and clocks run at the same rate. It does not cover a claim that was appended
// while the lease had lapsed and takes effect in the log later, when the lease may hold again.
// Therefore a non-idempotent dispatch also needs a read of the log's tail that is younger than
// TailBound (Lease.MayDispatch), and a claimant that has read its claim back waits SettleWait before it
// queries or decides outcomes that the previous holder left open. If the holder's read of the tail did
// not show the claim, the claim was appended after that read, so the holder's permission to dispatch
// ends within TailBound of the claim, which is before SettleWait ends.
package membership

import (
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

// Time limits of the heartbeat and lease protocol.
const (
	HeartbeatInterval = 500 * time.Millisecond
	LeaseTime         = 3 * time.Second // lease duration from the sending of a round that a majority acknowledged
	DeadAfter         = 6 * time.Second // a session is dead after this time without a message from it or a report of one
	FreshWindow       = 2 * time.Second // a claim needs a majority that answered rounds sent within this time
	// RegainWait is the delay before a lease holds again after a lapse. It is at least FreshWindow,
	// because a claimant may act for that long on answers that peers gave before they heard the holder
	// again.
	RegainWait = FreshWindow
	// ListLagBound is the greatest difference in age between the lists that two instances use. It is
	// longer than the usual lag and shorter than the time in which half of the instances are replaced.
	ListLagBound = 30 * time.Second
	// TailBound is the greatest age of a read of the log's tail at which non-idempotent requests may be
	// sent.
	TailBound = 2 * time.Second
	// SettleWait is how long a claimant waits before it decides outcomes that the previous holder left
	// open. It exceeds TailBound by the time that a write takes after the check of the lease. The
	// wait that the owner core applies is program.SettleWait, which must not be shorter; package server
	// does not compile if it is.
	SettleWait = 3 * time.Second
	// forgetAfter is how long the state of a silent session is kept. Afterwards Dead measures its silence
	// from the start of this process.
	forgetAfter = 10 * time.Minute
)

// Config identifies the session of this instance.
type Config struct {
	Self  id.Session
	Zone  string
	Start time.Duration // start of the process, on the local clock
}

// peer is what is known of another session.
type peer struct {
	zone      string
	heardAt   time.Duration // when its last heartbeat or acknowledgement was received
	seen      bool          // a heartbeat has been received
	roundSent time.Duration // sending time of the latest round of this instance that it acknowledged
	answered  bool
	uptime    time.Duration // its uptime in that acknowledgement
	draining  bool
	replaced  bool // a newer session of the same instance has been heard
	manifest  uint64
	slots     wire.SlotEpochs
}

// Members is the view of one instance. It is not safe for concurrent use.
type Members struct {
	cfg         Config
	draining    bool
	peers       map[id.Session]*peer
	reportedAt  map[uint32]time.Duration // when a peer last heard a session, by its hash; it may be unknown here
	list        listState
	lease       leaseState
	endpoints   endpointState
	lastEventAt time.Duration // time of the latest event
	resumedAt   time.Duration // time of the first event after the latest pause of the process
}

// New returns the view of an instance that has heard nothing yet.
func New(cfg Config) *Members {
	return &Members{
		cfg:         cfg,
		peers:       make(map[id.Session]*peer),
		reportedAt:  make(map[uint32]time.Duration),
		lease:       newLeaseState(),
		endpoints:   newEndpointState(),
		lastEventAt: cfg.Start,
		resumedAt:   cfg.Start - resumeListWait, // a newly started process does not count as resumed
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

// ListAnswer is an answer of the platform's list service. Age is the age of its content.
type ListAnswer struct {
	Age       time.Duration
	Instances []Instance
	Endpoints []Endpoint
}

// HeartbeatReceived is the arrival of a heartbeat. The caller answers it with the result of Ack.
type HeartbeatReceived struct {
	From      id.Session
	Zone      string
	Heartbeat wire.Heartbeat
}

// HeartbeatAcked is the arrival of a peer's acknowledgement of a round of this instance.
type HeartbeatAcked struct {
	From id.Session
	Ack  wire.HeartbeatAck
}

// EndpointLeaving reports that an endpoint itself announced that it is leaving.
type EndpointLeaving struct{ Endpoint string }

// TailRead reports that a read of the programs stream has reached its tail. Sent is when its request
// was sent; for a long poll, when the last request was sent that returned nothing or the tail.
type TailRead struct{ Sent time.Duration }

// Drain reports that this instance is shutting down.
type Drain struct{}

// Tick advances time without any other input.
type Tick struct{}

func (ListAnswer) event()        {}
func (HeartbeatReceived) event() {}
func (HeartbeatAcked) event()    {}
func (EndpointLeaving) event()   {}
func (TailRead) event()          {}
func (Drain) event()             {}
func (Tick) event()              {}

// Step applies an event at a time of the local clock.
func (m *Members) Step(now time.Duration, e Event) {
	if now-m.lastEventAt > pauseThreshold {
		m.resumedAt = now
	}
	m.lastEventAt = now
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
		p = &peer{heardAt: m.cfg.Start}
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
		m.markReplaced(e.From)
	}
	p.seen = true
	p.zone = e.Zone
	p.heardAt = now
	p.draining = p.draining || e.Heartbeat.Draining
	p.manifest = max(p.manifest, e.Heartbeat.ManifestVersion)
	p.slots = e.Heartbeat.Slots
	for _, mark := range e.Heartbeat.Leaving {
		m.endpoints.mark(mark.Endpoint, now-ageOf(mark.AgeMS))
	}
}

// markReplaced marks the other sessions of an instance as replaced, so that they are no longer chosen
// as holders. They do not count as dead before DeadAfter, because the old process may still run.
func (m *Members) markReplaced(s id.Session) {
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
	p.heardAt = now // an acknowledgement shows that the peer is alive even if its heartbeats get lost
	if !p.answered || sent >= p.roundSent {
		p.answered, p.roundSent, p.uptime = true, sent, e.Ack.Uptime
	}
	for _, h := range e.Ack.Heard {
		// The transit time of the answer is not subtracted, so the peer heard the session somewhat
		// earlier. The error is safe: it only delays a claim.
		at := now - ageOf(h.AgeMS)
		if last, ok := m.reportedAt[h.Peer]; !ok || at > last {
			m.reportedAt[h.Peer] = at
		}
	}
	m.lease.acked(now, e.Ack.Round, e.From.Instance(), m.majority)
}

// ageOf converts an age from a message. It limits the age to forgetAfter.
func ageOf(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(forgetAfter/time.Millisecond))) * time.Millisecond
}

// forget removes sessions and reports that have been silent for forgetAfter.
func (m *Members) forget(now time.Duration) {
	for s, p := range m.peers {
		if now-m.lastHeard(s) > forgetAfter && now-p.roundSent > forgetAfter {
			delete(m.peers, s)
		}
	}
	for h, at := range m.reportedAt {
		if now-at > forgetAfter {
			delete(m.reportedAt, h)
		}
	}
}

// lastHeard returns when a session was last heard, directly or by a peer's report, but not earlier than
// the start of this process.
func (m *Members) lastHeard(s id.Session) time.Duration {
	last := m.cfg.Start
	if p := m.peers[s]; p != nil {
		last = max(last, p.heardAt)
	}
	return max(last, m.reportedAt[wire.SessionHash(s)])
}

// StartRound starts a heartbeat round and returns its heartbeat. The caller sets Running for each
// recipient and sends the heartbeat to every peer.
func (m *Members) StartRound(now time.Duration, manifest uint64, slots wire.SlotEpochs) wire.Heartbeat {
	m.Step(now, Tick{})
	round := m.lease.start(now, m.cfg.Self.Instance(), m.majority)
	return wire.Heartbeat{
		Round:           round,
		ManifestVersion: manifest,
		Draining:        m.draining,
		Slots:           slots,
		Leaving:         m.endpoints.marksToSend(now),
	}
}

// Ack returns the acknowledgement of a received heartbeat. It must be called after Step has applied the
// heartbeat, so that the acknowledgement reports its sender.
func (m *Members) Ack(now time.Duration, round uint64) wire.HeartbeatAck {
	ack := wire.HeartbeatAck{Round: round, Uptime: now - m.cfg.Start}
	for s, p := range m.peers {
		if (p.seen || p.answered) && now-p.heardAt < DeadAfter {
			age := (now - p.heardAt) / time.Millisecond
			ack.Heard = append(ack.Heard, wire.Heard{Peer: wire.SessionHash(s), AgeMS: uint64(age)})
		}
	}
	slices.SortFunc(ack.Heard, func(a, b wire.Heard) int { return int(int64(a.Peer) - int64(b.Peer)) })
	return ack
}

// majority reports whether the instances for which has returns true are a majority of the current list
// and of each list that was current within ListLagBound.
func (m *Members) majority(has func(instance string) bool) bool { return m.list.majority(has) }
