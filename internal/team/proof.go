package team

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of two clocks, each with an arbitrary epoch. The monotonic clock stands still while the machine
// is suspended, the boot clock does not. The time of day is not used: it can jump, and it differs between machines.
type Instant struct{ Monotonic, Boot time.Duration }

// Since returns the time since an earlier instant, the larger of the times by the two clocks.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Boot-earlier.Boot, 0)
}

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Boot: i.Boot + d}
}

// Clock returns the present instant.
type Clock func() Instant

// SystemClock reads the clocks of the machine. Where the boot clock is not available, it uses the monotonic clock for
// both.
func SystemClock() Instant {
	monotonic, ok := read(unix.CLOCK_MONOTONIC)
	if !ok {
		monotonic = time.Since(processStart)
	}
	boot, ok := read(unix.CLOCK_BOOTTIME)
	if !ok {
		boot = monotonic
	}
	return Instant{Monotonic: monotonic, Boot: boot}
}

// processStart is the epoch of the monotonic clock where the system call fails.
var processStart = time.Now()

func read(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// NoProofAge is the age of a proof that does not exist.
const NoProofAge = 365 * 24 * time.Hour

// Proof states that the configuration in use was the newest one at an instant: when the read of the store that
// confirmed it was sent.
type Proof struct {
	At     Instant
	Source string // peer that passed the proof on; empty if the instance read the store itself
}

// Freshness holds the latest proof. It is safe for concurrent use.
//
// A writer applies a configuration before it confirms it, and a reader gets the age before the configuration. The
// configuration that a reader uses is therefore never older than the proof.
type Freshness struct{ latest atomic.Pointer[Proof] }

// Confirm records a proof if it is younger than the latest one, and reports whether it is.
func (f *Freshness) Confirm(p Proof, now Instant) bool {
	for {
		old := f.latest.Load()
		if old != nil && now.Since(p.At) >= now.Since(old.At) {
			return false
		}
		if f.latest.CompareAndSwap(old, &p) {
			return true
		}
	}
}

// Age returns the age of the latest proof, and NoProofAge if there is none.
func (f *Freshness) Age(now Instant) time.Duration {
	if p := f.latest.Load(); p != nil {
		return min(now.Since(p.At), NoProofAge)
	}
	return NoProofAge
}

// Received returns the instant of a proof whose age a peer has stated in reply to a question sent at asked. The time
// since the question is added to the age, since the peer may have determined it at any time after the question arrived.
func Received(asked Instant, age time.Duration) Instant {
	return asked.Add(-min(max(age, 0), NoProofAge))
}
