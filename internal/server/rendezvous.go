package server

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"ragwortstile/internal/id"
)

// plan holds the preferred holders of each slot.
type plan struct{ rankings [id.Slots][]id.Session }

// ranking returns the sessions that should hold a slot, the most preferred first.
func (p plan) ranking(s id.Slot) []id.Session { return p.rankings[s] }

// plan ranks the candidates, and this instance unless it is draining, for every slot. The first of
// each ranking is chosen so that no instance gets more than an even share of the slots.
func (m *members) plan() plan {
	sessions := m.candidates()
	if !m.inst.core.draining {
		sessions = append(sessions, m.inst.session)
	}
	slices.Sort(sessions)
	key := joinSessions(sessions)
	if key != m.planKey {
		m.cachedPlan, m.planKey = newPlan(sessions), key
	}
	return m.cachedPlan
}

func joinSessions(sessions []id.Session) string {
	var b strings.Builder
	for _, s := range sessions {
		b.WriteString(string(s))
		b.WriteByte(' ')
	}
	return b.String()
}

func newPlan(sessions []id.Session) plan {
	var p plan
	if len(sessions) == 0 {
		return p
	}
	share := (id.Slots + len(sessions) - 1) / len(sessions)
	held := map[id.Session]int{}
	for s := range id.Slot(id.Slots) {
		order := rankSessions(sessions, string([]byte{'s', byte(s)}))
		first := slices.IndexFunc(order, func(x id.Session) bool { return held[x] < share })
		chosen := order[first]
		held[chosen]++
		order = slices.Delete(order, first, first+1)
		p.rankings[s] = slices.Insert(order, 0, chosen)
	}
	return p
}

// rankSessions returns sessions in rendezvous order for a subject. It hashes instance names, so that
// a restarted instance keeps its rank.
func rankSessions(sessions []id.Session, subject string) []id.Session {
	out := slices.Clone(sessions)
	slices.SortFunc(out, func(a, b id.Session) int {
		return cmp.Or(cmp.Compare(score(b, subject), score(a, subject)), cmp.Compare(a, b))
	})
	return out
}

func score(s id.Session, subject string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject)) // hash.Hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(s.Instance()))
	// FNV-1a mixes the high bits of short inputs poorly; the MurmurHash3 finalizer spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// dispatcherOf returns the session that dispatches a pool: the first in rendezvous order of the live
// instances that are not draining. A draining instance dispatches itself only if there is no other
// candidate.
func (c *core) dispatcherOf(pool string) id.Session {
	sessions := c.members.candidates()
	if !c.draining || len(sessions) == 0 {
		sessions = append(sessions, c.inst.session)
	}
	return rankSessions(sessions, "pool "+pool)[0]
}
