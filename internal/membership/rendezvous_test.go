package membership

import (
	"fmt"
	"math/big"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/id"
)

// referenceScore computes the score from its definition with big integers: FNV-1a of instance, zero
// byte and key, then the SplitMix64 finalizer, all modulo 2^64.
func referenceScore(instance, key string) uint64 {
	mod := new(big.Int).Lsh(big.NewInt(1), 64)
	h, _ := new(big.Int).SetString("14695981039346656037", 10)
	prime := big.NewInt(1099511628211)
	for _, b := range []byte(instance + "\x00" + key) {
		h.Xor(h, big.NewInt(int64(b)))
		h.Mod(h.Mul(h, prime), mod)
	}
	for _, stage := range []struct {
		shift  uint
		factor string
	}{{30, "bf58476d1ce4e5b9"}, {27, "94d049bb133111eb"}, {31, "1"}} {
		factor, _ := new(big.Int).SetString(stage.factor, 16)
		h.Xor(h, new(big.Int).Rsh(h, stage.shift))
		h.Mod(h.Mul(h, factor), mod)
	}
	return h.Uint64()
}

// Guards against two versions of the software that choose different holders: the choice must follow
// the definition of the score and not depend on the order of the sessions.
func TestRendezvousAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}[0-9.]{0,5}`), 1, 20, rapid.ID).Draw(t, "instances")
		key := rapid.StringMatching(`(slot|pool)/[a-z0-9-]{0,12}`).Draw(t, "key")
		var sessions []id.Session
		var want id.Session
		var best uint64
		for _, name := range names {
			s := id.Session(name + ".nonce")
			sessions = append(sessions, s)
			v := referenceScore(name, key)
			if want == "" || v > best || (v == best && s < want) {
				want, best = s, v
			}
		}
		if got := highestScore(sessions, key); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// Guards against an uneven distribution of slots, and against slots that move between the remaining
// instances when one instance leaves.
func TestRendezvousBalanceAndMovement(t *testing.T) {
	m := New(Config{Self: "instance-0.1"})
	for i := 1; i < 13; i++ {
		m.Step(time.Second, HeartbeatReceived{From: id.Session(fmt.Sprintf("instance-%d.1", i))})
	}
	held := make(map[id.Session]int)
	before := make(map[id.Slot]id.Session)
	for slot := range id.Slot(id.Slots) {
		before[slot] = m.SlotHolder(2*time.Second, slot)
		held[before[slot]]++
	}
	// 64 slots on 13 instances are 4.9 each on average. The probability that one has more than 15 is
	// below 1 in 1,000.
	for s, n := range held {
		must.LessEq(t, 15, n, must.Sprint(s))
	}
	drain := HeartbeatReceived{From: "instance-7.1"}
	drain.Heartbeat.Draining = true
	m.Step(2*time.Second, drain)
	for slot, holder := range before {
		now := m.SlotHolder(2*time.Second, slot)
		must.NotEq(t, id.Session("instance-7.1"), now)
		if holder != "instance-7.1" {
			must.Eq(t, holder, now)
		}
	}
}
