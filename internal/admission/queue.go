// Package admission decides when a turn is sent to an endpoint, waits at its instance, or is rejected. It does no
// I/O and reads no clock.
//
// The load pattern it answers: far more programs begin than the endpoints can serve, or endpoints slow down or leave
// under load. An endpoint's own queue is in order of arrival and cannot be reordered, so a turn that waits there
// waits behind work that will never be in time: every program ends late, callers leave, and their work was in vain.
// A Queue therefore sends only what an endpoint can begin soon. Turns of programs that have begun go first; programs
// that have not begun are rejected early, so that those that have can end in time.
//
// Each instance has a Queue of its own and sees the load of the others with a lag. While turns wait, an instance
// sends one for each of its own that ends, and its share of the room that it sees, so that instances with the same
// information do not all fill the same room.
package admission

import (
	"container/heap"
	"math"
	"time"
)

// Limits of the load of an endpoint, as a multiple of its slots, up to which turns of a rank are sent to it.
const (
	// onTimeLimit lets turns of programs that are in time queue at an endpoint for a moment, which keeps it busy
	// although loads of other instances are known with a lag.
	onTimeLimit = 1.25
	lateLimit   = 1.1
	// FirstLimit and lowFirstLimit bound the load of all endpoints together, with the turns of begun programs that
	// wait, at which programs may begin. They leave room for the next turns of those that have begun.
	FirstLimit    = 0.85
	lowFirstLimit = 0.7
	// lowShare is the share of the first turns of low priority that get the limit of the others, so that a flood of
	// urgent programs does not starve them.
	lowShare = 0.25
)

const (
	// firstWaitFraction of its latency target is how long a first turn waits before it is rejected. Its program
	// has lost nothing then.
	firstWaitFraction = 0.1
	// begunWaitFraction of its caller's patience is how long another turn waits. The rest is left for the endpoint.
	begunWaitFraction = 0.6
	// minRetryAfter and maxRetryAfter bound what callers are told to wait. Callers with a deadline of seconds can
	// still be served after the longer one.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// rateSmoothing is the weight of the newest sample in the moving average of the time between ends of turns.
	rateSmoothing = 0.1
	// MaxLimit is the highest of the limits of the load.
	MaxLimit = onTimeLimit
	// maxCredit bounds the turns that are sent at once because others have ended.
	maxCredit = 8
)

// Rank is the order in which waiting turns are served.
type Rank uint8

// Ranks, in the order of service.
const (
	OnTime Rank = iota // the program has begun and may still end in time
	Late               // the program has begun and is late
	First              // the program has not begun
)

// String returns the name of the rank for logs.
func (r Rank) String() string { return [...]string{"on_time", "late", "first"}[r] }

// Turn is a turn for which a decision is needed.
type Turn struct {
	Begun      bool          // an earlier turn of the program was served
	Priority   int           // of the route; 0 is the highest
	Due        time.Time     // when the program should have ended; zero if not known
	Target     time.Duration // time to the first event up to which the response has its full value
	Patience   time.Duration // pause after which the caller leaves
	Deadline   time.Time     // of the request
	EnqueuedAt time.Time     // when the decision was first asked for
	// Team and TeamPriority are used if the queue has Shares. Team is empty for callers without a team. The team's
	// priority goes before that of the route, which orders the turns of teams of equal priority.
	Team         string
	TeamPriority int
	// Call says that this is not a turn but a call, which waits only for an endpoint that may get requests.
	Call bool
}

func (t Turn) rank(now time.Time) Rank {
	switch {
	case !t.Begun:
		return First
	case !t.Due.IsZero() && !t.Due.After(now):
		return Late
	default:
		return OnTime
	}
}

// maxWait returns how long the turn may wait here.
func (t Turn) maxWait() time.Duration {
	if !t.Begun {
		return time.Duration(firstWaitFraction * float64(t.Target))
	}
	return time.Duration(begunWaitFraction * float64(min(t.Patience, t.Deadline.Sub(t.EnqueuedAt))))
}

// Action is what to do with a turn.
type Action uint8

// Actions.
const (
	Wait   Action = iota
	Send          // place has chosen an endpoint
	Reject        // not run; the caller may come back after RetryAfter
)

// Ticket is a turn with the decision about it. All its methods and fields belong to its Queue's owner.
type Ticket struct {
	Turn
	Action     Action
	RetryAfter time.Duration // of rejected turns
	Rank       Rank          // at the time of the decision
	Waiting    int           // turns that waited here at the time of the decision
	index      int           // in the heap; -1 if not waiting
	lowered    bool          // has the limit of low priority
	Standing   Standing      // of the team of a first turn, if the queue has Shares
}

func (t *Ticket) bounds() Bounds {
	switch {
	case t.Call:
		return Bounds{}
	case t.Rank == OnTime:
		return Bounds{MaxLoad: onTimeLimit}
	case t.Rank == Late:
		return Bounds{MaxLoad: lateLimit, AnySpeed: true}
	default:
		return Bounds{MaxLoad: 1, MaxTotal: t.firstLimit()}
	}
}

// firstLimit returns the load of all endpoints up to which the program of a first turn may begin.
func (t *Ticket) firstLimit() float64 {
	switch {
	case t.Standing.Crowded && t.lowered:
		return lowProtectedLimit
	case t.Standing.Crowded:
		return protectedLimit
	case t.lowered:
		return lowFirstLimit
	default:
		return FirstLimit
	}
}

// expires returns when the turn is rejected if it still waits.
func (t *Ticket) expires() time.Time { return t.EnqueuedAt.Add(t.maxWait()) }

// Place sends a turn to the endpoint that is expected to finish it first among those that the bounds allow. It
// reports whether it did.
type Place func(t *Ticket, b Bounds) bool

// Bounds are what an endpoint has to fulfil to get a turn.
type Bounds struct {
	MaxLoad  float64 // of the endpoint, as a multiple of its slots
	MaxTotal float64 // of all endpoints, with the turns of begun programs that wait, as a multiple of the slots; 0: any
	AnySpeed bool    // the endpoint may be far slower than the others
}

// Queue holds the turns for one service that wait at an instance. It is not safe for concurrent use.
type Queue struct {
	// Calls says that the queue holds calls. Their rate is that at which they are sent while others wait.
	Calls bool
	// Shares divides the capacity among teams, and Capacity tells what there is. Without them all turns are treated alike.
	Shares   *Shares
	Capacity func() Capacity
	waiting  ticketHeap
	credit   float64   // turns that may be sent because others have ended or there is room
	interval float64   // moving average of the seconds between ends of turns of this instance; 0: unknown
	lastEnd  time.Time // of a turn
	low      float64   // accumulates lowShare for each first turn of low priority
	// lowOf does so for each pair of priorities of teams and routes, if the queue has Shares: with one sum for all, two
	// kinds that arrive in turn could leave one of them without its part.
	lowOf map[[2]int]float64
}

// Len returns the number of waiting turns.
func (q *Queue) Len() int { return len(q.waiting) }

// Begun returns the number of waiting turns of programs that have begun.
func (q *Queue) Begun() int {
	n := 0
	for _, t := range q.waiting {
		if t.Begun {
			n++
		}
	}
	return n
}

// Add decides on a new turn. If its Action is Wait, a later call of Plan decides.
func (q *Queue) Add(turn Turn, now time.Time, place Place) *Ticket {
	t := &Ticket{Turn: turn, Rank: turn.rank(now), index: -1}
	if q.Shares == nil {
		t.Team, t.TeamPriority = "", 0
	}
	if t.Rank == First && q.Shares != nil {
		t.Standing = q.Shares.standing(t.Team, t.TeamPriority, t.Priority, q.Capacity(), true, now)
		if t.Standing.Over {
			q.rejectOver(t, now)
			return t
		}
	}
	t.lowered = q.lowers(t)
	ahead := 0
	for _, other := range q.waiting {
		if !less(t, other) {
			ahead++
		}
	}
	t.Waiting = len(q.waiting)
	if ahead == 0 && place(t, t.bounds()) {
		t.Action = Send
		return t
	}
	if wait := q.expectedWait(ahead + 1); wait > t.maxWait() {
		q.reject(t, wait)
		return t
	}
	heap.Push(&q.waiting, t)
	return t
}

// lowers reports whether a turn gets the limit of low priority.
func (q *Queue) lowers(t *Ticket) bool {
	if t.Rank != First || t.Priority <= 0 && (q.Shares == nil || t.TeamPriority <= 0) {
		return false
	}
	low := q.low
	if q.Shares != nil {
		low = q.lowOf[[2]int{t.TeamPriority, t.Priority}]
	}
	low += lowShare
	lowered := low < 1
	if !lowered {
		low--
	}
	if q.Shares == nil {
		q.low = low
		return lowered
	}
	if q.lowOf == nil {
		q.lowOf = make(map[[2]int]float64)
	}
	q.lowOf[[2]int{t.TeamPriority, t.Priority}] = low
	return lowered
}

// MayBegin returns the limit of the load of all endpoints up to which a program may begin. The ticket is rejected if its
// team is over its share.
func (q *Queue) MayBegin(turn Turn, now time.Time) (t *Ticket, limit float64) {
	t = &Ticket{Turn: turn, Rank: First, index: -1}
	if q.Shares == nil {
		return t, FirstLimit
	}
	t.Standing = q.Shares.standing(t.Team, t.TeamPriority, t.Priority, q.Capacity(), false, now)
	if t.Standing.Over {
		q.rejectOver(t, now)
	}
	return t, t.firstLimit()
}

// Remove takes back a waiting turn whose caller has left.
func (q *Queue) Remove(t *Ticket) {
	if t.index >= 0 {
		heap.Remove(&q.waiting, t.index)
	}
}

// Ended records that a turn of this instance has ended at its endpoint.
func (q *Queue) Ended(now time.Time) {
	q.measure(now)
	q.credit = min(q.credit+1, maxCredit)
}

// measure renews the rate at which the queue empties.
func (q *Queue) measure(now time.Time) {
	if !q.lastEnd.IsZero() {
		gap := now.Sub(q.lastEnd).Seconds()
		if q.interval == 0 {
			q.interval = gap
		}
		q.interval += rateSmoothing * (gap - q.interval)
	}
	q.lastEnd = now
}

// AddCredit lets waiting turns be sent because there is room at the endpoints. It is called once for each round of
// load reports, with the part of the room that falls to this instance.
func (q *Queue) AddCredit(turns float64) { q.credit = min(q.credit+turns, maxCredit) }

// Plan decides on waiting turns, and returns those that no longer wait.
func (q *Queue) Plan(now time.Time, place Place) []*Ticket {
	var decided []*Ticket
	q.update(now)
	for len(q.waiting) > 0 && (q.credit >= 1 || q.Calls) {
		t := q.waiting[0]
		t.Waiting = len(q.waiting)
		if !place(t, t.bounds()) {
			break
		}
		if q.Calls {
			q.measure(now)
		} else {
			q.credit--
		}
		heap.Pop(&q.waiting)
		t.Action = Send
		decided = append(decided, t)
	}
	for _, t := range append([]*Ticket(nil), q.waiting...) {
		if now.Before(t.expires()) {
			continue
		}
		heap.Remove(&q.waiting, t.index)
		q.reject(t, q.expectedWait(len(q.waiting)+1))
		decided = append(decided, t)
	}
	if len(q.waiting) == 0 {
		q.credit = 0
		if q.Calls {
			q.lastEnd = time.Time{} // the time until a call waits again says nothing of the rate
		}
	}
	return decided
}

// update renews the ranks: a program that was in time when its turn arrived may be late by now.
func (q *Queue) update(now time.Time) {
	changed := false
	for _, t := range q.waiting {
		rank := t.rank(now)
		changed = changed || rank != t.Rank
		t.Rank = rank
	}
	if changed {
		heap.Init(&q.waiting)
	}
}

// NextExpiry returns when the first waiting turn is to be rejected; zero if none waits.
func (q *Queue) NextExpiry() time.Time {
	var first time.Time
	for _, t := range q.waiting {
		if at := t.expires(); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

func (q *Queue) reject(t *Ticket, wait time.Duration) {
	t.Action, t.Waiting, t.RetryAfter = Reject, len(q.waiting), boundRetryAfter(wait)
}

// rejectOver rejects a first turn of a team that is over its share.
func (q *Queue) rejectOver(t *Ticket, now time.Time) {
	q.Shares.refused(t.Team, now)
	t.Action, t.Waiting, t.RetryAfter = Reject, len(q.waiting), t.Standing.RetryAfter
}

// RetryAfter returns when the caller of a turn that is rejected now may come back.
func (q *Queue) RetryAfter() time.Duration {
	return boundRetryAfter(q.expectedWait(len(q.waiting) + 1))
}

func boundRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// expectedWait returns how long the turn at a position waits, from the rate at which turns of this instance end.
func (q *Queue) expectedWait(position int) time.Duration {
	return time.Duration(math.Min(float64(position)*q.interval, maxRetryAfter.Seconds()*2) * float64(time.Second))
}

// less reports whether a turn is served before another one: by rank, then by the time that is left to its program, and
// first turns by priority, by the virtual counters of their teams, which are 0 without teams, and by arrival.
func less(a, b *Ticket) bool {
	switch {
	case a.Rank != b.Rank:
		return a.Rank < b.Rank
	case a.Rank != First && !a.Due.Equal(b.Due) && !a.Due.IsZero() && !b.Due.IsZero():
		return a.Due.Before(b.Due)
	case a.Rank == First && a.lowered != b.lowered:
		return b.lowered
	case a.Rank == First && a.lowered && a.TeamPriority != b.TeamPriority:
		return a.TeamPriority < b.TeamPriority
	case a.Rank == First && a.lowered && a.Standing.shared && a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Rank == First && a.Standing.Counter != b.Standing.Counter:
		return a.Standing.Counter < b.Standing.Counter
	default:
		return a.EnqueuedAt.Before(b.EnqueuedAt)
	}
}

// ticketHeap implements heap.Interface.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return less(h[i], h[j]) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
