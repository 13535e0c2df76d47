package membership

import (
	"fmt"
	"hash/fnv"

	"ragwortstile/internal/id"
)

func slotKey(slot id.Slot) string     { return fmt.Sprintf("slot/%d", slot) }
func poolKey(pool string) string      { return "pool/" + pool }
func copyKey(owner id.Session) string { return "copy/" + string(owner) }

// highestScore returns the session with the highest score for a key (rendezvous hashing). Of equal
// scores the lower session name wins.
func highestScore(sessions []id.Session, key string) id.Session {
	var best id.Session
	var bestScore uint64
	for _, s := range sessions {
		v := score(s, key)
		if best == "" || v > bestScore || (v == bestScore && s < best) {
			best, bestScore = s, v
		}
	}
	return best
}

// score is part of the protocol: all instances must compute the same value. It hashes the name of the
// instance and not of the session, so that a restarted instance gets the same slots and pools again.
func score(s id.Session, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Instance())) // Write of a hash.Hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return splitMix64(h.Sum64())
}

// splitMix64 is the finalizer of SplitMix64. FNV-1a alone changes the high bits too little for names
// that differ only in their last byte.
func splitMix64(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}
