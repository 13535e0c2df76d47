package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_700_000_000, 0)

func begun(due time.Duration) Turn {
	return Turn{Begun: true, Due: start.Add(due), Patience: 2 * time.Second, Deadline: start.Add(3 * time.Second), EnqueuedAt: start}
}

func first(priority int) Turn {
	return Turn{Priority: priority, Target: 200 * time.Millisecond, Deadline: start.Add(3 * time.Second), EnqueuedAt: start}
}

func full(*Ticket, Bounds) bool { return false }

func free(*Ticket, Bounds) bool { return true }

// Turns of programs in time go first, by the time left to their programs, then those of late programs, then those of
// programs that have not begun.
func TestOrder(t *testing.T) {
	q := &Queue{}
	names := make(map[*Ticket]string)
	for _, turn := range []struct {
		name string
		Turn
	}{
		{"new, low priority", first(1)}, {"late", begun(-time.Second)}, {"much time", begun(time.Minute)}, {"little time", begun(time.Second)}, {"new", first(0)},
	} {
		ticket := q.Add(turn.Turn, start, full)
		must.Eq(t, Wait, ticket.Action)
		names[ticket] = turn.name
	}
	must.Eq(t, 3, q.Begun())
	q.AddCredit(5)
	var order []string
	for _, ticket := range q.Plan(start, free) {
		must.Eq(t, Send, ticket.Action)
		order = append(order, names[ticket])
	}
	must.Eq(t, []string{"little time", "much time", "late", "new", "new, low priority"}, order)
}

// A program that becomes late while its turn waits yields to those in time.
func TestRankChangesWhileWaiting(t *testing.T) {
	q := &Queue{}
	late := q.Add(begun(100*time.Millisecond), start, full)
	inTime := q.Add(begun(time.Minute), start, full)
	q.AddCredit(1)
	must.Eq(t, []*Ticket{inTime}, q.Plan(start.Add(200*time.Millisecond), free))
	must.Eq(t, Late, late.Rank)
}

// A turn that arrives while an earlier one with the same rank waits does not overtake it; one of a better rank does.
func TestArrivalsDoNotOvertake(t *testing.T) {
	q := &Queue{}
	q.Add(begun(time.Second), start, full)
	must.Eq(t, Wait, q.Add(begun(time.Minute), start, free).Action)
	must.Eq(t, Wait, q.Add(first(0), start, free).Action)
	must.Eq(t, Send, q.Add(begun(time.Millisecond), start, free).Action)
}

// First turns are rejected long before their latency target is over, other turns while their callers still wait.
func TestTurnsAreRejectedInTime(t *testing.T) {
	q := &Queue{}
	newcomer, other := q.Add(first(0), start, full), q.Add(begun(time.Second), start, full)
	soon := newcomer.expires()
	must.Less(t, 50*time.Millisecond, soon.Sub(start))
	must.Eq(t, soon, q.NextExpiry())
	must.Eq(t, []*Ticket{newcomer}, q.Plan(soon, full))
	must.Eq(t, Reject, newcomer.Action)
	must.Between(t, minRetryAfter, newcomer.RetryAfter, maxRetryAfter)
	must.SliceEmpty(t, q.Plan(start.Add(time.Second), full))
	must.Eq(t, []*Ticket{other}, q.Plan(start.Add(1300*time.Millisecond), full))
	must.Eq(t, 0, q.Len())
	must.True(t, q.NextExpiry().IsZero())
}

// A turn that cannot be served before it would be rejected is rejected at once, with the time that the backlog takes.
func TestHopelessTurnsAreRejectedAtOnce(t *testing.T) {
	q := &Queue{}
	for i := range 20 {
		q.Ended(start.Add(time.Duration(i) * 100 * time.Millisecond)) // ten turns a second
	}
	for range 20 {
		q.Add(begun(time.Minute), start, full)
	}
	must.Eq(t, 12, q.Len()) // 1.2 s of waiting are allowed
	rejected := q.Add(first(0), start, full)
	must.Eq(t, Reject, rejected.Action)
	must.Eq(t, maxRetryAfter, rejected.RetryAfter)
}

// While turns wait, an instance sends one for each that ends and its share of the room, so that instances with the
// same information do not all fill the same room.
func TestWaitingTurnsArePaced(t *testing.T) {
	q := &Queue{}
	for range 5 {
		q.Add(begun(time.Minute), start, full)
	}
	must.SliceEmpty(t, q.Plan(start, free))
	q.Ended(start)
	must.Len(t, 1, q.Plan(start, free))
	q.AddCredit(0.5)
	must.SliceEmpty(t, q.Plan(start, free))
	q.AddCredit(0.5)
	must.Len(t, 1, q.Plan(start, free))
}

// A turn whose caller has left takes no slot.
func TestRemove(t *testing.T) {
	q := &Queue{}
	gone, stays := q.Add(begun(time.Second), start, full), q.Add(begun(time.Minute), start, full)
	q.Remove(gone)
	q.Remove(gone)
	q.AddCredit(2)
	must.Eq(t, []*Ticket{stays}, q.Plan(start, free))
}

// Programs begin up to a load that leaves room for the next turns of others; a part of those of low priority get the
// limit of the others.
func TestLimitsOfFirstTurns(t *testing.T) {
	q := &Queue{}
	lowered := 0
	for range 100 {
		q.Add(first(1), start, func(_ *Ticket, b Bounds) bool {
			if b.MaxTotal == lowFirstLimit {
				lowered++
			}
			return true
		})
	}
	must.Eq(t, 75, lowered)
	q.Add(first(0), start, func(_ *Ticket, b Bounds) bool {
		must.Eq(t, Bounds{MaxLoad: 1, MaxTotal: FirstLimit}, b)
		return true
	})
}

// BenchmarkAdd measures a decision with 1,000 waiting turns.
func BenchmarkAdd(b *testing.B) {
	q := &Queue{}
	for range 1000 {
		q.Add(begun(time.Minute), start, full)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Remove(q.Add(begun(time.Second), start, full))
	}
}

// Load pattern: all endpoints of a service limit their requests, and calls come faster than permits.
func TestCallsWaitForPermits(t *testing.T) {
	q := &Queue{Calls: true}
	call := func(at time.Time, timeout time.Duration) Turn {
		return Turn{Call: true, Begun: true, Patience: timeout, Deadline: at.Add(timeout), EnqueuedAt: at}
	}
	permits := 0
	place := func(_ *Ticket, b Bounds) bool {
		must.Eq(t, Bounds{}, b) // an endpoint's own queue is not bounded
		permits--
		return permits >= 0
	}
	for range 6 {
		must.Eq(t, Wait, q.Add(call(start, 2*time.Second), start, full).Action)
	}
	now := start
	for range 4 {
		now = now.Add(200 * time.Millisecond)
		permits = 1
		must.Len(t, 1, q.Plan(now, place)) // as many as there are permits, whatever else has ended
		permits = 0
	}
	must.Eq(t, Wait, q.Add(call(now, 2*time.Second), now, full).Action)
	rejected := q.Add(call(now, time.Second), now, full) // would be the fourth at a permit in 0.2 s, and may wait for 0.6 s
	must.Eq(t, Reject, rejected.Action)
	must.Between(t, 700*time.Millisecond, rejected.RetryAfter, 900*time.Millisecond)
	permits = 3
	must.Len(t, 3, q.Plan(now, place))
	// The time without waiting calls is not the time that calls have to wait.
	now = now.Add(time.Minute)
	must.Eq(t, Wait, q.Add(call(now, 2*time.Second), now, full).Action)
	permits = 1
	must.Len(t, 1, q.Plan(now, place))
	must.Eq(t, Wait, q.Add(call(now, 2*time.Second), now, full).Action)
}
