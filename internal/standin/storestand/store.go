// Package storestand is a small log store in memory that stands in for the platform's. It implements
// the interfaces of package store, with faults for tests.
package storestand

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"ragwortstile/internal/store"
)

// keptAppends is the number of appends of a producer whose repeats get their first response.
const keptAppends = 5

// ErrAnswerLost is the error of a call that was done and whose answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Fault decides on a call before it is done.
type Fault uint8

// Faults.
const (
	None Fault = iota
	Refuse
	LoseAnswer // done, but the answer is lost
)

// Store is the stand-in. The zero value is not usable.
type Store struct {
	mu      sync.Mutex
	parts   map[store.Partition]*partition
	groups  map[string]*groupState
	changed chan struct{}
	fault   func(call string, p store.Partition) Fault
	calls   map[string]int
	count   int // partitions of a topic
}

type partition struct {
	first     int64
	records   [][]byte
	producers map[string]*producerState
}

type producerState struct {
	epoch    int64
	next     int64
	answered map[int64]int64 // end by sequence
}

type member struct{ until time.Time }

type groupState struct {
	generation int64
	members    map[string]member
	topics     []string
	owners     map[store.Partition]string
}

// New returns an empty store whose topics have the given number of partitions.
func New(count int) *Store {
	return &Store{
		parts: make(map[store.Partition]*partition), groups: make(map[string]*groupState),
		changed: make(chan struct{}), calls: make(map[string]int), count: count,
		fault: func(string, store.Partition) Fault { return None },
	}
}

// SetFault sets what decides on calls: "append", "read", "trim", "join", "leave" and "owners".
func (s *Store) SetFault(f func(call string, p store.Partition) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == nil {
		f = func(string, store.Partition) Fault { return None }
	}
	s.fault = f
}

// Calls returns the number of calls of a kind.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// begin counts a call and returns its fault. The caller holds the lock.
func (s *Store) begin(call string, p store.Partition) Fault {
	s.calls[call]++
	return s.fault(call, p)
}

func (s *Store) partition(p store.Partition) *partition {
	q := s.parts[p]
	if q == nil {
		q = &partition{producers: make(map[string]*producerState)}
		s.parts[p] = q
	}
	return q
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// Append implements store.Log.
func (s *Store) Append(_ context.Context, a store.AppendRequest) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.begin("append", a.Partition)
	if f == Refuse {
		return 0, store.ErrUnavailable
	}
	end, err := s.append(a)
	if f == LoseAnswer {
		return 0, ErrAnswerLost
	}
	return end, err
}

func (s *Store) append(a store.AppendRequest) (int64, error) {
	p := s.partition(a.Partition)
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != p.end() {
		return 0, &store.MovedError{End: p.end()}
	}
	if a.Producer == "" {
		return s.add(p, a.Records), nil
	}
	state := p.producers[a.Producer]
	if state == nil || a.Epoch > state.epoch {
		state = &producerState{epoch: a.Epoch, next: a.Sequence, answered: make(map[int64]int64)}
		p.producers[a.Producer] = state
	}
	if a.Epoch < state.epoch {
		return 0, store.ErrFenced
	}
	if end, ok := state.answered[a.Sequence]; ok {
		return end, nil
	}
	if a.Sequence != state.next {
		return 0, &store.SequenceError{Expected: state.next}
	}
	end := s.add(p, a.Records)
	state.next++
	state.answered[a.Sequence] = end
	delete(state.answered, a.Sequence-keptAppends)
	return end, nil
}

func (s *Store) add(p *partition, records [][]byte) int64 {
	for _, r := range records {
		p.records = append(p.records, append([]byte(nil), r...))
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
		if s.begin("read", p) != None {
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
	if s.begin("trim", p) == Refuse {
		return store.ErrUnavailable
	}
	q := s.partition(p)
	for q.first < before && len(q.records) > 0 {
		q.records = q.records[1:]
		q.first++
	}
	return nil
}

// Join implements store.Groups.
func (s *Store) Join(
	_ context.Context, group, name string, topics []string, ttl time.Duration, _ int64,
) (store.Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begin("join", store.Partition{}) != None {
		return store.Membership{}, store.ErrUnavailable
	}
	g := s.groups[group]
	if g == nil {
		g = &groupState{members: make(map[string]member), owners: make(map[store.Partition]string)}
		s.groups[group] = g
	}
	now := time.Now()
	_, known := g.members[name]
	g.members[name] = member{until: now.Add(ttl)}
	g.topics = topics
	if g.expire(now) || !known {
		g.deal(s.count)
	}
	m := store.Membership{Generation: g.generation}
	for p, owner := range g.owners {
		if owner == name {
			m.Held = append(m.Held, p)
		}
	}
	return m, nil
}

func (g *groupState) expire(now time.Time) bool {
	changed := false
	for name, m := range g.members {
		if m.until.Before(now) {
			delete(g.members, name)
			changed = true
		}
	}
	return changed
}

// deal gives each member the same number of partitions, and leaves as many as it can where they are.
func (g *groupState) deal(count int) {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	held := make(map[string]int)
	quota := 0
	if len(names) > 0 {
		quota = (count*len(g.topics) + len(names) - 1) / len(names)
	}
	for p, owner := range g.owners {
		if _, ok := g.members[owner]; !ok || held[owner] >= quota {
			delete(g.owners, p)
			continue
		}
		held[owner]++
	}
	for _, topic := range g.topics {
		for i := range count {
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

// RotateOwners moves every partition of a group to the next member, as the platform does at times.
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

// ExpireMembers drops all members of a group, as their times may run out in an outage.
func (s *Store) ExpireMembers(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[group]
	g.members = make(map[string]member)
	g.deal(s.count)
}

// Leave implements store.Groups.
func (s *Store) Leave(_ context.Context, group, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begin("leave", store.Partition{}) != None {
		return store.ErrUnavailable
	}
	if g := s.groups[group]; g != nil {
		delete(g.members, name)
		g.deal(s.count)
	}
	return nil
}

// Assignments implements store.Groups.
func (s *Store) Assignments(_ context.Context, group string) ([]store.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begin("owners", store.Partition{}) != None {
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

// keyed returns the bytes of a record of a topic with keys.
func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// Put writes the record of a key; no value removes it.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(store.Partition{Topic: topic}), [][]byte{keyed(key, value)})
}

// Newest implements store.CompactedTopics.
func (s *Store) Newest(_ context.Context, topic string) ([]store.KeyedRecord, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Partition{Topic: topic}
	if s.begin("newest", p) != None {
		return nil, 0, store.ErrUnavailable
	}
	q := s.partition(p)
	newest := make(map[string]store.KeyedRecord)
	for i, r := range q.records {
		item := splitKeyed(r, q.first+int64(i))
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

func splitKeyed(r []byte, offset int64) store.KeyedRecord {
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
		items = append(items, splitKeyed(r, from+int64(i)))
	}
	return items, from + int64(len(items)), nil
}
