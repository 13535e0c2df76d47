package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleet plays instances that use one limited endpoint, in simulated time. Each has a Poisson stream of requests that
// want the endpoint; a request that finds no permit waits for up to maxWait.
type fleet struct {
	rand      *rand.Rand
	issuer    *Issuer
	limit     float64
	instances []*simulated
	sent      []time.Time
}

type simulated struct {
	permits *Permits
	next    time.Time   // arrival of the next request
	waiting []time.Time // arrivals
	answer  time.Time   // when the answer of the issuer arrives; zero if none is awaited
	granted bool
	retry   time.Duration
}

const (
	roundTrip = 2 * time.Millisecond
	step      = time.Millisecond
	maxWait   = 500 * time.Millisecond
)

func newFleet(instances int, limit float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(1, 2)), issuer: NewIssuer(), limit: limit}
	for range instances {
		f.instances = append(f.instances, &simulated{permits: NewPermits()})
	}
	return f
}

// run plays the fleet from one time to another with the given number of requests a second from each instance.
func (f *fleet) run(from, to time.Time, perInstance float64) {
	gap := func() time.Duration { return time.Duration(f.rand.ExpFloat64() / perInstance * float64(time.Second)) }
	for _, i := range f.instances {
		i.next = from.Add(gap())
	}
	for now := from; now.Before(to); now = now.Add(step) {
		for _, n := range f.rand.Perm(len(f.instances)) {
			i := f.instances[n]
			for !i.next.After(now) {
				i.waiting = append(i.waiting, now)
				i.next = i.next.Add(gap())
			}
			f.tick(i, now)
		}
	}
}

func (f *fleet) tick(i *simulated, now time.Time) {
	if !i.answer.IsZero() && !i.answer.After(now) {
		i.answer = time.Time{}
		if i.granted {
			i.permits.Granted("e", now)
		} else {
			i.permits.Denied("e", i.retry, now)
		}
	}
	for len(i.waiting) > 0 && now.Sub(i.waiting[0]) > maxWait {
		i.waiting = i.waiting[1:]
	}
	for len(i.waiting) > 0 && i.permits.Has("e", now) {
		i.permits.Use("e", now)
		i.waiting = i.waiting[1:]
		f.sent = append(f.sent, now)
	}
	if len(i.waiting) > i.permits.Outstanding("e", now) && i.permits.MayAsk("e", now) {
		i.permits.Asked("e")
		i.granted, i.retry = f.issuer.Issue("e", f.limit, 1, now)
		i.answer = now.Add(roundTrip)
	}
}

// most returns the largest number of requests within a span.
func (f *fleet) most(span time.Duration) int {
	most, first := 0, 0
	for n, at := range f.sent {
		for at.Sub(f.sent[first]) > span {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func TestFleetKeepsTheLimit(t *testing.T) {
	for _, c := range []struct {
		name        string
		instances   int
		limit       float64
		perInstance float64
		used        float64 // the share of the limit that has to be used
	}{
		{"far more than the limit", 9, 12, 10, 0.9},
		{"a low limit", 9, 1.5, 10, 0.9},
		{"a zero limit", 9, 0, 10, 0},
		{"hundreds of instances with a request in 5 s each", 410, 20, 0.2, 0.9},
		{"less than the limit", 9, 100, 5, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.instances, c.limit)
			f.run(start, start.Add(20*time.Second), c.perInstance)
			must.LessEq(t, int(1.5*4*c.limit)+5, f.most(4*time.Second))
			must.GreaterEq(t, c.used*c.limit*20, float64(len(f.sent)))
		})
	}
}

// Load pattern: nobody wants the endpoint for a while, then every instance at once.
func TestFleetKeepsTheLimitAfterAPause(t *testing.T) {
	f := newFleet(410, 20)
	f.run(start, start.Add(time.Second), 0.2)
	f.run(start.Add(61*time.Second), start.Add(70*time.Second), 5)
	must.LessEq(t, int(1.5*4*f.limit)+5, f.most(4*time.Second))
}

// The instance that issues the permits is replaced by others that know nothing of what was issued.
func TestFleetKeepsTheLimitWhenIssuersChange(t *testing.T) {
	f := newFleet(9, 12)
	for n := range 5 {
		from := start.Add(time.Duration(n) * 4 * time.Second)
		f.issuer = NewIssuer()
		f.run(from, from.Add(4*time.Second), 10)
	}
	must.LessEq(t, int(1.5*4*f.limit)+5, f.most(4*time.Second))
	must.GreaterEq(t, 0.85*f.limit*20, float64(len(f.sent)))
}

func TestNewIssuerHasNoPermits(t *testing.T) {
	i := NewIssuer()
	ok, retryAfter := i.Issue("e", 10, 1, at(0))
	must.False(t, ok)
	must.Eq(t, 100*time.Millisecond, retryAfter)
	_, second := i.Issue("e", 10, 1, at(0))
	must.Eq(t, 200*time.Millisecond, second) // not at the same time as the first instance
	ok, _ = i.Issue("e", 10, 1, at(100))
	must.True(t, ok)
}

// The lowest limit is one for all instances, also while each issues its share.
func TestSharesOfAZeroLimit(t *testing.T) {
	issued := 0
	for range 12 {
		i := NewIssuer()
		for ms := range 4000 {
			if ok, _ := i.Issue("e", 0, OwnShare(1, 12, 20), at(ms)); ok {
				issued++
			}
		}
	}
	must.LessEq(t, 5, issued)
}

// A lost issuer is replaced by each instance for itself, at its part of the limit.
func TestLostIssuer(t *testing.T) {
	p := NewPermits()
	p.Asked("e")
	must.False(t, p.MayAsk("e", at(0)))
	must.False(t, p.Unanswered("e", at(0)))
	must.False(t, p.MayAsk("e", at(99)))
	must.True(t, p.MayAsk("e", at(100)))
	must.Eq(t, at(100), p.NextAsk(at(0)))
	must.False(t, p.Unanswered("e", at(999)))
	must.True(t, p.Unanswered("e", at(1000)))
	p.Granted("e", at(1001)) // by the instance itself
	must.True(t, p.Has("e", at(1300)))
	must.False(t, p.Has("e", at(1301)))
	must.True(t, p.Unanswered("e", at(1101))) // the issuer is still lost
	p.Answered("e")
	must.False(t, p.Unanswered("e", at(1200)))
}

// The shares of all instances that reach each other add up to the limit at most. Where there are more instances than
// partitions, those without one are connected to the holders alone.
func TestOwnSharesStayWithinTheLimit(t *testing.T) {
	for _, c := range []struct{ instances, partitions int }{{1, 12}, {3, 4}, {9, 12}, {91, 12}, {410, 24}} {
		total := 0.0
		holders := min(c.instances, c.partitions)
		for range holders {
			total += OwnShare(1, c.partitions, c.instances-1)
		}
		for range c.instances - holders {
			total += OwnShare(0, c.partitions, holders)
		}
		must.Between(t, 0.5, total, 1.0001, must.Sprint(c))
	}
}
