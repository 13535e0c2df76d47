package team

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func at(monotonic, boot time.Duration) Instant { return Instant{Monotonic: monotonic, Boot: boot} }

// Guards against a proof that does not age while the machine is suspended, when the monotonic clock stands still, or
// that gets younger because a clock jumps back.
func TestAgeIsThatOfTheFasterClock(t *testing.T) {
	var f Freshness
	must.Eq(t, NoProofAge, f.Age(at(time.Hour, time.Hour)))
	must.True(t, f.Confirm(Proof{At: at(10*time.Second, 40*time.Second)}, at(10*time.Second, 40*time.Second)))
	must.Eq(t, time.Second, f.Age(at(11*time.Second, 41*time.Second)))
	must.Eq(t, 9*time.Second, f.Age(at(11*time.Second, 49*time.Second))) // suspended for 8 s
	must.Eq(t, 3*time.Second, f.Age(at(13*time.Second, 20*time.Second))) // the boot clock jumps back
	must.Eq(t, time.Duration(0), f.Age(at(9*time.Second, 39*time.Second)))
}

// Guards against an older proof that arrives late and replaces a younger one, or counts as younger than it is.
func TestOlderProofIsIgnored(t *testing.T) {
	var f Freshness
	now := at(100*time.Second, 100*time.Second)
	must.True(t, f.Confirm(Proof{At: now.Add(-2 * time.Second)}, now))
	must.False(t, f.Confirm(Proof{At: Received(now.Add(-time.Second), 1500*time.Millisecond), Source: "b"}, now))
	must.Eq(t, 2*time.Second, f.Age(now))
	must.True(t, f.Confirm(Proof{At: Received(now.Add(-time.Second), 500*time.Millisecond), Source: "b"}, now))
	must.Eq(t, 1500*time.Millisecond, f.Age(now)) // the age that the peer stated, and the time since the question
}

// Guards against ages of a faulty peer that make a proof younger than the question, or overflow.
func TestAgesOfPeersAreBounded(t *testing.T) {
	asked := at(time.Second, time.Second)
	must.Eq(t, asked, Received(asked, -time.Hour))
	must.Eq(t, asked.Add(-NoProofAge), Received(asked, 1<<62))
	var f Freshness
	f.Confirm(Proof{At: Received(asked, 1<<62)}, asked)
	must.Eq(t, NoProofAge, f.Age(asked.Add(time.Second)))
}

func TestSystemClockAdvances(t *testing.T) {
	before := SystemClock()
	time.Sleep(2 * time.Millisecond)
	must.GreaterEq(t, 2*time.Millisecond, SystemClock().Since(before))
}
