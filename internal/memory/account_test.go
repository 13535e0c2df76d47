package memory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against large bodies that leave nothing for small ones and for responses.
func TestReservedShare(t *testing.T) {
	a := NewAccount(1 << 20)
	large := a.Open(Reading, start, nil)
	must.True(t, large.Try(1<<20-1<<17))
	must.False(t, large.Try(1))
	must.True(t, a.Open(Reading, start, nil).Try(SmallBytes))
	must.False(t, a.Open(Reading, start, nil).Try(SmallBytes+1))
	must.True(t, a.Open(Responses, start, nil).Try(SmallBytes+1))
}

// Guards against heads that use up the memory of bodies.
func TestHeadsHaveABoundOfTheirOwn(t *testing.T) {
	a := NewAccount(1 << 20)
	must.True(t, a.Open(Heads, start, nil).Try(SmallBytes))
	heads := a.Open(Heads, start, nil)
	for heads.Try(1 << 10) {
	}
	must.Eq(t, 1<<18, a.Held(Heads))
	must.True(t, a.Open(Reading, start, nil).Try(1<<19))
}

// Guards against long conversations after which no body is taken any more.
func TestHistoriesLeaveHalfToOthers(t *testing.T) {
	a := NewAccount(1 << 20)
	a.Open(Histories, start, nil).Force(4 << 20)
	body := a.Open(Reading, start, nil)
	must.True(t, body.Try(1<<19-1<<17))
	must.False(t, body.Try(1))
	must.True(t, a.Open(Reading, start, nil).Try(SmallBytes))
}

// Guards against a body without progress that keeps its memory while others need it, and against the loss of one that
// makes progress.
func TestStalledGrantsAreRevokedWhenMemoryIsShort(t *testing.T) {
	a := NewAccount(1 << 20)
	revoked := ""
	open := func(name string) *Grant {
		g := a.Open(Reading, start, func() { revoked += name })
		must.Nil(t, g.Grow(1<<18, start))
		return g
	}
	slow, fast, moving := open("slow "), open("fast "), open("moving ")
	slow.Progress(1, start)
	fast.Progress(1<<18, start)
	now := start.Add(2 * StallTime)
	slow.Progress(1, now) // a byte at a time is no progress
	moving.Progress(MinBytesPerSecond, now)

	late := a.Open(Reading, now, func() {})
	w := late.Grow(1<<18, now)
	must.NotNil(t, w)
	must.Eq(t, "slow ", revoked)
	must.False(t, slow.Keep(Waiting))
	must.True(t, fast.Keep(Waiting))
	select {
	case <-w.Granted():
		t.Fatal("granted before the bytes were returned")
	default:
	}
	slow.Release()
	<-w.Granted()
	must.False(t, a.Cancel(w))

	next := a.Open(Reading, now, nil).Grow(1<<18, now)
	must.Eq(t, "slow ", revoked) // a body that is complete, and one with progress, stay
	must.Eq(t, 1, a.WaitCount())
	must.True(t, a.Cancel(next))
	for _, g := range []*Grant{fast, moving, late} {
		g.Release()
		g.Release()
	}
	for _, k := range AllKinds() {
		must.Eq(t, 0, a.Held(k))
	}
}

// Guards against a minimum rate that callers inside the limits can miss.
func TestSlowestCallerInsideTheLimits(t *testing.T) {
	must.Eq(t, start.Add(Grace), SlowAt(start, start, 0))
	must.Eq(t, start.Add(SilenceTime), SlowAt(start, start, 4<<20)) // whatever has arrived before
	const oneMbit = 1_000_000 / 8
	for _, size := range []int64{1, 4 << 10, 1 << 20, 4 << 20} { // a pause of 8 s at any time of the transfer
		const pause = 8 * time.Second
		sent := start.Add(time.Duration(size) * time.Second / oneMbit)
		must.True(t, sent.Add(pause).Before(SlowAt(start, sent, size-1)))
		must.True(t, start.Add(pause).Before(SlowAt(start, start, 0)))
	}
}

// Guards against bytes that are counted twice or lost, and against a total that is exceeded without Force.
func TestAccountBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(1 << 20)
		now := start
		type holder struct {
			g    *Grant
			wait *Wait
			n    int64
		}
		var open []*holder
		pick := func(t *rapid.T) *holder {
			if len(open) == 0 {
				t.Skip()
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				open = append(open, &holder{g: a.Open(rapid.SampledFrom([]Kind{Heads, Reading, Waiting, Responses}).Draw(t, "kind"), now, func() {})})
			},
			"grow": func(t *rapid.T) {
				h := pick(t)
				n := rapid.Int64Range(1, 1<<19).Draw(t, "n")
				if h.wait == nil {
					if h.wait, h.n = h.g.Grow(n, now), n; h.wait == nil {
						h.n = 0
					}
				}
			},
			"try":      func(t *rapid.T) { pick(t).g.Try(rapid.Int64Range(1, 1<<18).Draw(t, "n")) },
			"progress": func(t *rapid.T) { pick(t).g.Progress(1, now) },
			"keep":     func(t *rapid.T) { pick(t).g.Keep(Waiting) },
			"pass":     func(t *rapid.T) { now = now.Add(StallTime / 2) },
			"release": func(t *rapid.T) {
				h := pick(t)
				if h.wait != nil {
					a.Cancel(h.wait)
					h.wait = nil
				}
				h.g.Release()
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, k := range AllKinds() {
					must.GreaterEq(t, 0, a.Held(k))
					sum += a.Held(k)
				}
				must.LessEq(t, a.Total(), sum)
			},
		})
		for _, h := range open {
			if h.wait != nil {
				a.Cancel(h.wait)
			}
			h.g.Release()
		}
		for _, k := range AllKinds() {
			must.Eq(t, 0, a.Held(k))
		}
	})
}
