package membership

import "time"

// leaseState follows the own rounds.
type leaseState struct {
	round  uint64
	rounds map[uint64]*roundState
	end    time.Duration // of the lease; the zero value means that there was none
	from   time.Duration // the lease counts from here
	held   bool          // the lease has not lapsed since from was set
	lapses int
	tail   time.Duration // sending time of the last read that reached the tail of the log
	tailed bool          // there was one
}

type roundState struct {
	sent     time.Duration
	answered map[string]bool // by instance
}

// keepRounds is how long the answers to a round are of use.
const keepRounds = 2 * DeadAfter

func newLeaseState() leaseState {
	return leaseState{rounds: make(map[uint64]*roundState)}
}

func (l *leaseState) start(now time.Duration, self string, majority func(func(string) bool) bool) uint64 {
	l.round++
	l.rounds[l.round] = &roundState{sent: now, answered: map[string]bool{self: true}}
	for n, r := range l.rounds {
		if now-r.sent > keepRounds {
			delete(l.rounds, n)
		}
	}
	l.renew(now, l.rounds[l.round], majority) // a list with one instance needs no answer
	return l.round
}

func (l *leaseState) sentAt(round uint64) (time.Duration, bool) {
	r := l.rounds[round]
	if r == nil {
		return 0, false
	}
	return r.sent, true
}

func (l *leaseState) acked(now time.Duration, round uint64, from string, majority func(func(string) bool) bool) {
	r := l.rounds[round]
	r.answered[from] = true
	l.renew(now, r, majority)
}

func (l *leaseState) renew(now time.Duration, r *roundState, majority func(func(string) bool) bool) {
	end := r.sent + LeaseTime
	if end <= now || (l.held && end <= l.end) {
		return
	}
	if !majority(func(name string) bool { return r.answered[name] }) {
		return
	}
	if !l.held {
		l.held = true
		l.from = now + RegainWait
	}
	l.end = end
}

// expire notes a lapse. It runs before every event, so a pause of the process counts as one.
func (l *leaseState) expire(now time.Duration) {
	if l.held && now >= l.end {
		l.held = false
		l.lapses++
	}
}

func (l *leaseState) tailRead(sent time.Duration) {
	if !l.tailed || sent > l.tail {
		l.tail, l.tailed = sent, true
	}
}

// dispatchUntil returns until when the last read of the tail allows dispatches.
func (l *leaseState) dispatchUntil() time.Duration {
	if !l.tailed {
		return l.from
	}
	return min(l.end, l.tail+TailBound)
}

// Lease is the state of the own lease.
type Lease struct {
	From   time.Duration // the lease holds from here, if From is before Until
	Until  time.Duration // and until here, exclusively
	Lapses int           // how often it has lapsed
	// DispatchUntil is the end for non-idempotent dispatches: the earlier of Until and TailBound after
	// the last read of the log's tail. This is the time to hand to packages program and order.
	DispatchUntil time.Duration
}

// Holds tells whether the lease holds at a time of the own clock.
func (l Lease) Holds(now time.Duration) bool { return now >= l.From && now < l.Until }

// MayDispatch tells whether a non-idempotent request may be written at a time of the own clock.
func (l Lease) MayDispatch(now time.Duration) bool { return l.Holds(now) && now < l.DispatchUntil }

// Lease returns the own lease as of now. Holds and MayDispatch must be asked again with the time immediately before
// a request is written.
func (m *Members) Lease(now time.Duration) Lease {
	m.lease.expire(now)
	if !m.lease.held {
		return Lease{Lapses: m.lease.lapses}
	}
	return Lease{
		From:          m.lease.from,
		Until:         m.lease.end,
		Lapses:        m.lease.lapses,
		DispatchUntil: m.lease.dispatchUntil(),
	}
}
