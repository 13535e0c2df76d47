package membership

import "time"

// leaseState tracks the heartbeat rounds of this instance and the lease that they renew.
type leaseState struct {
	round  uint64
	rounds map[uint64]*roundState
	end    time.Duration // end of the lease; zero if there was none yet
	from   time.Duration // start of the lease
	held   bool          // the lease has not lapsed since from was set
	lapses int
	// tailReadSent is when the request of the latest read that reached the tail of the log was sent.
	tailReadSent time.Duration
	hasTailRead  bool
}

type roundState struct {
	sent     time.Duration
	answered map[string]bool // names of the instances that acknowledged the round
}

// roundRetention is how long after its start a round still accepts acknowledgements.
const roundRetention = 2 * DeadAfter

func newLeaseState() leaseState {
	return leaseState{rounds: make(map[uint64]*roundState)}
}

// start begins a round and returns its number.
func (l *leaseState) start(now time.Duration, self string, majority func(func(string) bool) bool) uint64 {
	l.round++
	l.rounds[l.round] = &roundState{sent: now, answered: map[string]bool{self: true}}
	for n, r := range l.rounds {
		if now-r.sent > roundRetention {
			delete(l.rounds, n)
		}
	}
	l.renew(now, l.rounds[l.round], majority) // if the list has only this instance, no answer is needed
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

// renew extends the lease to LeaseTime after the sending of a round that a majority has acknowledged.
// After a lapse the lease counts only from RegainWait later.
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

// expire ends the lease if its time is over. It runs before every event, so that a pause of the process
// that outlasts the lease counts as a lapse.
func (l *leaseState) expire(now time.Duration) {
	if l.held && now >= l.end {
		l.held = false
		l.lapses++
	}
}

func (l *leaseState) tailRead(sent time.Duration) {
	if !l.hasTailRead || sent > l.tailReadSent {
		l.tailReadSent, l.hasTailRead = sent, true
	}
}

// dispatchUntil returns until when the lease and the latest read of the log's tail allow non-idempotent
// dispatches.
func (l *leaseState) dispatchUntil() time.Duration {
	if !l.hasTailRead {
		return l.from
	}
	return min(l.end, l.tailReadSent+TailBound)
}

// Lease is the state of the lease of this instance.
type Lease struct {
	From   time.Duration // the lease holds from this time on, if From is before Until
	Until  time.Duration // end of the lease, exclusive
	Lapses int           // how many times the lease has lapsed
	// DispatchUntil is when non-idempotent dispatches must stop: the earlier of Until and TailBound after
	// the latest read of the log's tail. Packages program and order take this time as the end of the
	// lease.
	DispatchUntil time.Duration
}

// Holds reports whether the lease holds at a time of the local clock.
func (l Lease) Holds(now time.Duration) bool { return now >= l.From && now < l.Until }

// MayDispatch reports whether a non-idempotent request may be written at a time of the local clock.
func (l Lease) MayDispatch(now time.Duration) bool { return l.Holds(now) && now < l.DispatchUntil }

// Lease returns the lease of this instance as of now. The caller must check Holds and MayDispatch again
// with the current time immediately before it writes a request.
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
