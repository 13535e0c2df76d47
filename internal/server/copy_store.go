package server

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/wire"
)

const (
	// maxCopyBytes bounds the copies that one instance keeps for others. At 60 turns per second of 4
	// KB each, the copies of a ten-minute outage take about 22 MB per instance in a deployment of 13.
	maxCopyBytes = 64 << 20
	// maxCopyAge is the age above which a copy that its owner did not drop may be removed to make
	// room. It exceeds the longest log outage that is planned for (10 min) plus the time for a
	// takeover afterwards.
	maxCopyAge = 30 * time.Minute
	// copyPageBytes bounds the copies in one reply to CopyGet, well below the size limit of a frame.
	copyPageBytes = 4 << 20
)

type copyKey struct {
	slot    id.Slot
	session id.Session
	ref     uint64
}

type storedCopy struct {
	wire.Copy
	storedAt time.Time
}

// copyStore keeps in-memory replicas of other instances' turn records ("copies") while the log is
// down.
type copyStore struct {
	mu     sync.Mutex
	bytes  int
	copies map[copyKey]storedCopy
}

func newCopyStore() *copyStore { return &copyStore{copies: map[copyKey]storedCopy{}} }

// put stores a copy. If there is no room, it first removes copies older than maxCopyAge. It returns
// false when the store is full; the owner then asks another peer.
func (s *copyStore) put(c wire.Copy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := copyKey{slot: c.Slot, session: c.Session, ref: c.Ref}
	if _, known := s.copies[key]; known {
		return true
	}
	if s.bytes+len(c.Batch) > maxCopyBytes {
		s.expire(time.Now())
	}
	if s.bytes+len(c.Batch) > maxCopyBytes {
		return false
	}
	s.copies[key] = storedCopy{Copy: c, storedAt: time.Now()}
	s.bytes += len(c.Batch)
	return true
}

// get returns the copies of a slot with epochs up to upTo, ordered by epoch, session and reference.
func (s *copyStore) get(slot id.Slot, upTo id.Epoch) []wire.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []wire.Copy
	for key, c := range s.copies {
		if key.slot == slot && c.Epoch <= upTo {
			found = append(found, c.Copy)
		}
	}
	sortCopies(found)
	return found
}

func sortCopies(copies []wire.Copy) {
	slices.SortFunc(copies, func(a, b wire.Copy) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Session, b.Session), cmp.Compare(a.Ref, b.Ref))
	})
}

// drop removes copies whose records their owner has read back from the log, and those of earlier
// holders.
func (s *copyStore) drop(d wire.CopyDrop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ref := range d.Refs {
		s.remove(copyKey{slot: d.Slot, session: d.Session, ref: ref})
	}
	for key, c := range s.copies {
		if key.slot == d.Slot && c.Epoch < d.Below {
			s.remove(key)
		}
	}
}

func (s *copyStore) remove(key copyKey) {
	c, ok := s.copies[key]
	if !ok {
		return
	}
	s.bytes -= len(c.Batch)
	delete(s.copies, key)
}

func (s *copyStore) expire(now time.Time) {
	for key, c := range s.copies {
		if now.Sub(c.storedAt) > maxCopyAge {
			s.remove(key)
		}
	}
}
