// Package storestand is an in-memory stand-in for the platform's log store in tests. Store implements the
// interfaces Log, Groups and CompactedTopics of package store, and its methods inject faults.
package storestand

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"ragwortstile/internal/store"
)

// dedupWindow is the number of most recent appends of a producer for which a repeated append has no effect and
// gets the result of the first one.
const dedupWindow = 5

// ErrAnswerLost is the error of an append that was processed but whose response was lost.
var ErrAnswerLost = errors.New("answer lost")

// Fault is the fault that applies to a call.
type Fault uint8

// Faults.
const (
	None       Fault = iota
	Refuse           // the call fails with store.ErrUnavailable and has no effect
	LoseAnswer       // an append is processed but returns ErrAnswerLost, a trim succeeds, other calls fail as with Refuse
)

// Store is the in-memory log store. It is created with New. Its methods are safe for concurrent use.
type Store struct {
	mu                 sync.Mutex
	partitions         map[store.Partition]*partition
	groups             map[string]*groupState
	changed            chan struct{} // closed and replaced by each append
	fault              func(call string, p store.Partition) Fault
	calls              map[string]int // number of calls by kind
	partitionsPerTopic int
	retention          map[string]time.Duration // age at which the records of a topic are deleted
}

type partition struct {
	first     int64 // offset of records[0]
	records   [][]byte
	times     []time.Time // when the records were appended
	producers map[string]*producerState
}

// producerState is what the store keeps about a producer to fence it and to detect repeated appends.
type producerState struct {
	epoch int64           // highest epoch used
	next  int64           // expected sequence number of the next append
	ends  map[int64]int64 // end of the partition after a recent append, by sequence number
}

// member is a member of a group. Its membership ends at expiresAt.
type member struct{ expiresAt time.Time }

type groupState struct {
	generation int64 // incremented by each change of the assignment
	members    map[string]member
	topics     []string
	owners     map[store.Partition]string // member that a partition is assigned to
}

// New returns an empty store whose topics have the given number of partitions.
func New(partitionsPerTopic int) *Store {
	return &Store{
		partitions: make(map[store.Partition]*partition), groups: make(map[string]*groupState),
		retention: make(map[string]time.Duration), changed: make(chan struct{}), calls: make(map[string]int), partitionsPerTopic: partitionsPerTopic,
		fault: func(string, store.Partition) Fault { return None },
	}
}

// SetFault sets the function that returns the fault of each call. The kinds of calls are "append", "read",
// "trim", "join", "leave", "owners" (Assignments) and "newest". Changes counts as "read". The partition is the
// zero value for the calls of groups. The function is called under the lock; nil means no faults.
func (s *Store) SetFault(f func(call string, p store.Partition) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == nil {
		f = func(string, store.Partition) Fault { return None }
	}
	s.fault = f
}

// SetRetention makes the store delete the records of a topic at an age.
func (s *Store) SetRetention(topic string, retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention[topic] = retention
}

// Calls returns the number of calls of a kind, see SetFault.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// startCall counts a call and returns its fault. The caller holds the lock.
func (s *Store) startCall(call string, p store.Partition) Fault {
	s.calls[call]++
	return s.fault(call, p)
}

// partition returns a partition and creates it if needed. The caller holds the lock.
func (s *Store) partition(p store.Partition) *partition {
	q := s.partitions[p]
	if q == nil {
		q = &partition{producers: make(map[string]*producerState)}
		s.partitions[p] = q
	}
	for retention := s.retention[p.Topic]; retention > 0 && len(q.times) > 0 && time.Since(q.times[0]) > retention; {
		q.deleteFirst()
	}
	return q
}

func (p *partition) deleteFirst() {
	p.records, p.times = p.records[1:], p.times[1:]
	p.first++
}

// end returns the offset after the last record.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// Append implements store.Log.
func (s *Store) Append(_ context.Context, a store.AppendRequest) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.startCall("append", a.Partition)
	if f == Refuse {
		return 0, store.ErrUnavailable
	}
	end, err := s.append(a)
	if f == LoseAnswer {
		return 0, ErrAnswerLost
	}
	return end, err
}

// append does an append without faults. The caller holds the lock.
func (s *Store) append(a store.AppendRequest) (int64, error) {
	p := s.partition(a.Partition)
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != p.end() {
		return 0, &store.MovedError{End: p.end()}
	}
	if a.Producer == "" {
		return s.appendRecords(p, a.Records), nil
	}
	state := p.producers[a.Producer]
	if state == nil || a.Epoch > state.epoch {
		state = &producerState{epoch: a.Epoch, next: a.Sequence, ends: make(map[int64]int64)}
		p.producers[a.Producer] = state
	}
	if a.Epoch < state.epoch {
		return 0, store.ErrFenced
	}
	if end, ok := state.ends[a.Sequence]; ok {
		return end, nil
	}
	if a.Sequence != state.next {
		return 0, &store.SequenceError{Expected: state.next}
	}
	end := s.appendRecords(p, a.Records)
	state.next++
	state.ends[a.Sequence] = end
	delete(state.ends, a.Sequence-dedupWindow)
	return end, nil
}

// appendRecords appends copies of the records, wakes the waiting reads and returns the end of the partition. The
// caller holds the lock.
func (s *Store) appendRecords(p *partition, records [][]byte) int64 {
	for _, r := range records {
		p.records, p.times = append(p.records, append([]byte(nil), r...)), append(p.times, time.Now())
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return p.end()
}

// Read implements store.Log.
func (s *Store) Read(ctx context.Context, p store.Partition, from int64, maxBytes int, wait time.Duration) (store.Batch, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		if s.startCall("read", p) != None {
			s.mu.Unlock()
			return store.Batch{}, store.ErrUnavailable
		}
		q := s.partition(p)
		b := store.Batch{First: q.first, End: q.end()}
		if from < q.first {
			s.mu.Unlock()
			return store.Batch{}, &store.TrimmedError{First: q.first}
		}
		size := 0
		for at := from; at < q.end() && size < maxBytes; at++ {
			r := q.records[at-q.first]
			b.Records = append(b.Records, r)
			size += len(r)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(b.Records) > 0 || wait <= 0 {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		case <-deadline:
			return b, nil
		case <-changed:
		}
	}
}

// Trim implements store.Log.
func (s *Store) Trim(_ context.Context, p store.Partition, before int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startCall("trim", p) == Refuse {
		return store.ErrUnavailable
	}
	q := s.partition(p)
	for q.first < before && len(q.records) > 0 {
		q.deleteFirst()
	}
	return nil
}

// Join implements store.Groups.
func (s *Store) Join(
	_ context.Context, group, name string, topics []string, ttl time.Duration, _ int64,
) (store.Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startCall("join", store.Partition{}) != None {
		return store.Membership{}, store.ErrUnavailable
	}
	g := s.groups[group]
	if g == nil {
		g = &groupState{members: make(map[string]member), owners: make(map[store.Partition]string)}
		s.groups[group] = g
	}
	now := time.Now()
	_, known := g.members[name]
	g.members[name] = member{expiresAt: now.Add(ttl)}
	g.topics = topics
	if g.expireMembers(now) || !known {
		g.assign(s.partitionsPerTopic)
	}
	m := store.Membership{Generation: g.generation}
	for p, owner := range g.owners {
		if owner == name {
			m.Held = append(m.Held, p)
		}
	}
	return m, nil
}

// expireMembers removes the members whose membership has ended and reports whether there were any.
func (g *groupState) expireMembers(now time.Time) bool {
	changed := false
	for name, m := range g.members {
		if m.expiresAt.Before(now) {
			delete(g.members, name)
			changed = true
		}
	}
	return changed
}

// assign starts a new generation and distributes the partitions evenly over the members. As many partitions as
// possible stay with their owners.
func (g *groupState) assign(partitionsPerTopic int) {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	held := make(map[string]int) // number of assigned partitions by member
	quota := 0                   // maximum number of partitions that a member keeps
	if len(names) > 0 {
		quota = (partitionsPerTopic*len(g.topics) + len(names) - 1) / len(names)
	}
	for p, owner := range g.owners {
		if _, ok := g.members[owner]; !ok || held[owner] >= quota {
			delete(g.owners, p)
			continue
		}
		held[owner]++
	}
	for _, topic := range g.topics {
		for i := range partitionsPerTopic {
			p := store.Partition{Topic: topic, Part: i}
			if _, ok := g.owners[p]; ok || len(names) == 0 {
				continue
			}
			sort.SliceStable(names, func(a, b int) bool { return held[names[a]] < held[names[b]] })
			g.owners[p] = names[0]
			held[names[0]]++
		}
	}
}

// RotateOwners reassigns every partition of a group to the next member in the order of their names. The platform
// reassigns partitions at times, too.
func (s *Store) RotateOwners(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for p, owner := range g.owners {
		at := sort.SearchStrings(names, owner)
		g.owners[p] = names[(at+1)%len(names)]
	}
	g.generation++
}

// ExpireMembers removes all members of a group, as if their memberships had expired during an outage.
func (s *Store) ExpireMembers(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	g.members = make(map[string]member)
	g.assign(s.partitionsPerTopic)
}

// Leave implements store.Groups.
func (s *Store) Leave(_ context.Context, group, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startCall("leave", store.Partition{}) != None {
		return store.ErrUnavailable
	}
	if g := s.groups[group]; g != nil {
		delete(g.members, name)
		g.assign(s.partitionsPerTopic)
	}
	return nil
}

// Assignments implements store.Groups.
func (s *Store) Assignments(_ context.Context, group string) ([]store.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startCall("owners", store.Partition{}) != None {
		return nil, store.ErrUnavailable
	}
	var rows []store.Assignment
	if g := s.groups[group]; g != nil {
		for p, owner := range g.owners {
			rows = append(rows, store.Assignment{Partition: p, Member: owner})
		}
	}
	return rows, nil
}

// encodeKeyed encodes a record of a topic with keys as the length of the key in one byte, the key and the value.
func encodeKeyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// Put appends a record with a key to a topic with keys. An empty value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecords(s.partition(store.Partition{Topic: topic}), [][]byte{encodeKeyed(key, value)})
}

// Newest implements store.CompactedTopics.
func (s *Store) Newest(_ context.Context, topic string) ([]store.KeyedRecord, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Partition{Topic: topic}
	if s.startCall("newest", p) != None {
		return nil, 0, store.ErrUnavailable
	}
	q := s.partition(p)
	newest := make(map[string]store.KeyedRecord)
	for i, r := range q.records {
		item := decodeKeyed(r, q.first+int64(i))
		if newest[item.Key] = item; len(item.Value) == 0 {
			delete(newest, item.Key)
		}
	}
	items := make([]store.KeyedRecord, 0, len(newest))
	for _, item := range newest {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, q.end(), nil
}

// decodeKeyed decodes a record encoded by encodeKeyed.
func decodeKeyed(r []byte, offset int64) store.KeyedRecord {
	n := int(r[0])
	return store.KeyedRecord{Key: string(r[1 : 1+n]), Value: r[1+n:], Offset: offset}
}

// Changes implements store.CompactedTopics.
func (s *Store) Changes(ctx context.Context, topic string, from int64, wait time.Duration) ([]store.KeyedRecord, int64, error) {
	b, err := s.Read(ctx, store.Partition{Topic: topic}, from, 1<<20, wait)
	if err != nil {
		return nil, from, err
	}
	items := make([]store.KeyedRecord, 0, len(b.Records))
	for i, r := range b.Records {
		items = append(items, decodeKeyed(r, from+int64(i)))
	}
	return items, from + int64(len(items)), nil
}
