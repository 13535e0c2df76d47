package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func need(begun, first, loop int) Want { return Want{Need: [Classes]int{begun, first, loop}} }

// Guards against terms that add up to more than the bound, or to needlessly little of the rate.
func TestTermsAddUpToTheBound(t *testing.T) {
	for _, b := range []Bound{testBound, {Window: 5 * time.Second}, {Window: time.Second, Overage: 0.5, Slack: 3}, {Window: time.Minute, Overage: 0.01, Slack: 100}} {
		for _, rate := range []float64{0.01, 0.5, 5, 100, 10_000} {
			for _, burst := range []float64{0, 7, 1000} {
				terms := b.Terms(Limit{PerSecond: rate, Burst: burst})
				window, lives := b.Window.Seconds(), (terms.Lease + terms.Credit).Seconds()
				total := terms.Rate*(window+lives+overlapPart*b.Overage*window) + terms.Bucket + float64(terms.OwnShares) +
					terms.Headroom*terms.Rate*window + maxStarts*terms.Start
				must.LessEq(t, max((rate*window+burst)*(1+b.Overage)+b.Slack, 0)+0.001, total, must.Sprint(b, rate, burst))
				if b == testBound {
					must.Eq(t, rate, terms.Rate)
					must.GreaterEq(t, burst, terms.Bucket)
				}
			}
		}
	}
}

// Guards against leases of a rate that is no longer granted: after a freeze, during which another issuer may have taken
// over, and after the limit was lowered.
func TestOldTokensAreNotGranted(t *testing.T) {
	l := Limit{PerSecond: 100, Burst: 50}
	terms := testBound.Terms(l)
	i := NewIssuer(0)
	grant := func(l Limit, ms int) int {
		i.Tick(at(ms))
		return i.Grant("t", l, testBound.Terms(l), 1, need(1000, 0, 0), at(ms)).Granted[Begun]
	}
	i.Tick(at(0))
	i.Begin("t", l, terms, at(0))
	for ms := 0; ms <= 2000; ms += 100 {
		i.Tick(at(ms))
	}
	must.Eq(t, int(terms.Bucket), grant(l, 2100))
	must.Eq(t, 10, grant(l, 2200))
	for ms := 2200; ms <= 4200; ms += 100 {
		i.Tick(at(ms))
	}
	must.Eq(t, 0, grant(Limit{PerSecond: 50, Burst: 50}, 4300))
	must.Eq(t, 0, grant(Limit{PerSecond: 50, Burst: 50}, 9000)) // it was frozen
}

// Guards against a lease that is used late: its life counts from the question, whenever the answer is read.
func TestLeasesExpire(t *testing.T) {
	terms := testBound.Terms(Limit{PerSecond: 100})
	a := NewAccount()
	a.Ask([Classes]int{1}, nil, terms, at(0))
	a.Answered(Answer{Lease: 7, Granted: [Classes]int{3}}, at(60))
	u, ok := a.Take(Begun, at(100))
	must.True(t, ok)
	must.False(t, u.Valid(at(0).Add(terms.Lease)))
	_, ok = a.Take(Begun, at(0).Add(terms.Lease))
	must.False(t, ok)
	a.GiveBack(Begun, u, at(200))
	must.Eq(t, []Credit{{Lease: 7, N: 3}}, a.Ask([Classes]int{1}, nil, terms, at(200)).Credits)
}

// Guards against a request that was refused or never sent and still counts, and against a credit that counts twice, late
// or for a lease of another issuer.
func TestCredits(t *testing.T) {
	l := Limit{PerSecond: 1, Burst: 10}
	terms := testBound.Terms(l)
	a := NewAccount()
	a.Ask([Classes]int{0, 1}, nil, terms, at(0))
	a.Answered(Answer{Lease: 7, Granted: [Classes]int{0, 1}}, at(10))
	u, _ := a.Take(First, at(10))
	a.GiveBack(First, u, at(20))
	_, ok := a.Take(First, at(30))
	must.True(t, ok)

	i := NewIssuer(100)
	i.Tick(at(0))
	i.start("t", l, at(0)).tokens = 10
	lease := i.Grant("t", l, terms, 1, need(10, 0, 0), at(0))
	must.Eq(t, 10, lease.Granted[Begun])
	credit := func(lease uint64, n, ms int) int {
		w := need(100, 0, 0)
		w.Credits = []Credit{{Lease: lease, N: n}}
		return i.Grant("t", l, terms, 1, w, at(ms)).Granted[Begun]
	}
	must.Eq(t, 0, credit(lease.Lease-50, 2, 1))
	must.Eq(t, 4, credit(lease.Lease, 4, 2))
	must.Eq(t, 6, credit(lease.Lease, 100, 3))
	must.Eq(t, 0, credit(lease.Lease, 4, 4))
	i.start("u", l, at(5)).tokens = 10
	lease = i.Grant("u", l, terms, 1, need(10, 0, 0), at(5))
	w := need(100, 0, 0)
	w.Credits = []Credit{{Lease: lease.Lease, N: 10}}
	must.Eq(t, 0, i.Grant("u", l, terms, 1, w, at(6).Add(terms.Credit)).Granted[Begun])
}

// Guards against programs that begin although those that have begun need the rest of the quota, and against programs
// that loop without end and use it up.
func TestClassesOfPrograms(t *testing.T) {
	l := Limit{PerSecond: 1, Burst: 20}
	terms := testBound.Terms(l)
	i := NewIssuer(0)
	i.Tick(at(0))
	b := i.start("t", l, at(0))
	b.tokens = terms.Bucket
	b.programs.usual = 8
	for program := range uint64(20) { // 7 requests of each are to come
		b.programs.Note(program, at(0))
	}
	loops := i.Grant("t", l, terms, 1, need(0, 0, 100), at(0)).Granted[Loop]
	must.Eq(t, int(terms.Bucket*(1-loopReserve)), loops)
	w := need(0, 100, 0)
	w.Unknown = []uint64{3, 99}
	a := i.Grant("t", l, terms, 1, w, at(0))
	must.Eq(t, int(terms.Bucket*(1-maxReserve)), loops+a.Granted[First])
	must.Eq(t, []uint64{3}, a.Begun)
	must.Positive(t, a.RetryAfter[First])
	must.Eq(t, int(terms.Bucket), loops+a.Granted[First]+i.Grant("t", l, terms, 1, need(100, 0, 0), at(0)).Granted[Begun])

	p := NewPrograms()
	for n := range minLoop {
		must.False(t, p.Loops(1))
		p.Note(1, at(n))
	}
	must.True(t, p.Loops(1))
	must.False(t, p.Known(2))
	p.Prune(at(minLoop).Add(programIdle))
	must.False(t, p.Known(1))
	must.Less(t, minLoop, p.usual) // it isn't the usual
}

// Guards against an issuer that grants the share of instances which may grant it themselves: those that are cut off, or
// are on the other side of a cut with another issuer.
func TestShares(t *testing.T) {
	c := NewCensus("a", true, at(-60_000))
	all := []string{"b", "c", "d", "e"}
	terms := Terms{OwnShares: 1, Headroom: 0.05}
	share := func(since, ms int) int { return int(c.Share(terms, at(since), at(ms))*100 + 0.5) }
	c.Update(all, true, at(0))
	must.Eq(t, 100, share(0, 0))
	c.Update(all, true, at(1000))
	c.Update(all[:2], true, at(2000))
	must.Eq(t, 95, share(0, 2000))    // the lost ones may issue their own share
	must.Eq(t, 65, share(1500, 2000)) // one of them may be the former issuer
	must.True(t, c.MayIssueOwn(at(2000)))
	must.False(t, c.MayIssueOwn(at(10_000)))
	c.Update(all[:2], true, at(11_001))
	must.Eq(t, 100, share(1500, 11_001)) // the lost ones issue no longer
	must.False(t, c.MayIssueOwn(at(11_001)))
	c.Told(5, at(12_000))
	must.Eq(t, 65, share(0, 12_000))
	c.Update(all, true, at(13_000))
	must.True(t, c.MayIssueOwn(at(13_000)))
	c.Update(all[:2], false, at(14_000)) // without the store's word it counts the lost ones on
	must.Eq(t, 60, share(0, 14_000))
	c.Update(all[:2], true, at(14_100))
	must.Eq(t, 60, share(0, 14_200))
	c.Update(all[:2], true, at(15_200))
	must.Eq(t, 95, share(0, 15_200))
	c.Update(all[:2], false, at(15_300))
	c.Update(all[:2], false, at(40_000))
	must.Eq(t, 5, share(0, 40_000))

	c = NewCensus("a", true, at(-60_000)) // planned stops cost nothing
	c.Update(all, true, at(0))
	c.Leaves("b")
	c.Leaves("c")
	c.Connected("c") // it has started again
	c.Update(all, true, at(100))
	c.Update(all[1:], true, at(200))
	must.Eq(t, 100, share(150, 200))
	c.Update(all[2:], true, at(300))
	must.Less(t, 100, share(250, 300))
	c.Stop()
	must.Eq(t, 5, share(250, 300))
	must.False(t, c.MayIssueOwn(at(300)))

	c = NewCensus("a", true, at(0)) // it has just started, and knows not how many there are
	must.Eq(t, 5, share(0, 1000))
	c.Update(all[:1], true, at(1000))
	must.Eq(t, 90, share(0, 1000))
	must.Eq(t, 100, share(0, 11_000))
	c = NewCensus("a", false, at(0))
	must.Eq(t, 100, share(0, 1000))
}

// Guards against an own share that is issued while the issuer still counts this instance, or by more instances than the
// bound has room for.
func TestOwnShare(t *testing.T) {
	terms := testBound.Terms(Limit{PerSecond: 100})
	a := NewAccount()
	unanswered := func(connected bool, ms int) {
		a.Ask([Classes]int{1}, nil, terms, at(ms))
		a.Unanswered(connected, at(ms))
	}
	issued := func(rank, from, to int) int {
		n := 0
		for ms := from; ms < to; ms++ {
			if _, ok := a.TakeOwn(terms, 10, rank, at(ms)); ok {
				n++
			}
		}
		return n
	}
	unanswered(true, 0)
	must.Eq(t, 0, issued(0, 0, 3000))
	unanswered(false, 3000)
	must.Eq(t, 0, issued(0, 3000, 4250))
	must.Eq(t, 0, issued(terms.OwnShares, 4250, 6250))
	must.Between(t, 1, issued(0, 6250, 8250), 1+int(2*ownRate*terms.Rate/float64(terms.OwnShares)))
	a.Ask([Classes]int{1}, nil, terms, at(8250))
	a.Answered(Answer{}, at(8250))
	must.Eq(t, 0, issued(0, 8250, 10_000))
}

// Guards against waits of requests of a team over its quota, and against refusals for an issuer that has just started.
func TestVerdicts(t *testing.T) {
	terms := testBound.Terms(Limit{PerSecond: 100})
	a := NewAccount()
	answer := func(retry time.Duration, fresh bool) {
		a.Ask([Classes]int{1}, nil, terms, at(0))
		a.Answered(Answer{RetryAfter: [Classes]time.Duration{retry}, Fresh: fresh}, at(0))
	}
	verdict := func(waited time.Duration, ms int) Verdict {
		v, _ := a.Decide(Begun, waited, at(ms))
		return v
	}
	answer(time.Second, false)
	must.Eq(t, Refuse, verdict(0, 0))
	must.Eq(t, Wait, verdict(0, 950))
	must.Eq(t, Wait, verdict(0, 1001))
	must.False(t, a.MayAsk([Classes]int{1}, terms, at(100)))
	must.True(t, a.MayAsk([Classes]int{1}, terms, at(201)))
	answer(time.Second, true)
	must.Eq(t, Wait, verdict(0, 0))
	a.Ask([Classes]int{1}, nil, terms, at(2000))
	a.Unanswered(true, at(2100))
	must.Eq(t, Wait, verdict(0, 2100))
	must.Eq(t, Unsure, verdict(lostWaitLimit, 2100))
	must.Eq(t, Unsure, verdict(waitLimit, 9000))
}
