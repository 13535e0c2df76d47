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
	// maxCopyBytes bounds the copies that one instance keeps for others. At 60 turns per second of
	// 4 KB, copies of an outage of ten minutes on 13 instances take about 22 MB per instance.
	maxCopyBytes = 64 << 20
	// copyAge is how long a copy is kept that its owner did not drop. It exceeds the longest outage
	// that is planned for (10 min) and the time to take over afterwards.
	copyAge = 30 * time.Minute
	// copyPage bounds the bytes of one reply to CopyGet, well below a frame.
	copyPage = 4 << 20
)

type copyKey struct {
	slot    id.Slot
	session id.Session
	ref     uint64
}

type storedCopy struct {
	wire.Copy
	at time.Time
}

// copyStore keeps turn records of other instances while the log is down.
type copyStore struct {
	mu     sync.Mutex
	bytes  int
	copies map[copyKey]storedCopy
}

func newCopyStore() *copyStore { return &copyStore{copies: map[copyKey]storedCopy{}} }

// put keeps a copy. It returns false when the store is full; the owner then asks another peer.
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
	s.copies[key] = storedCopy{Copy: c, at: time.Now()}
	s.bytes += len(c.Batch)
	return true
}

// get returns the copies of a slot at epochs up to the given one, in the order of epoch and reference.
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

// drop forgets copies that their owner read back from the log, and those of earlier holders.
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
		if now.Sub(c.at) > copyAge {
			s.remove(key)
		}
	}
}
