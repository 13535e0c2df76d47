// Package ledger keeps the history of programs in the store and serves it to all instances.
//
// Programs are divided into the partitions of one topic, which the group of the store assigns to instances. A
// Ledger is the part of one instance: it joins the group, runs a leader for each partition that it is assigned,
// and routes requests to the holders of the other partitions. The leader of a partition claims it under the
// generation of the group, reads all of its records, and then serves it from memory and appends every change.
// The store fences appends by epoch, so that a holder that was replaced without noticing can write nothing
// more. A complete turn is confirmed only once it is in the store; what programs have spent is confirmed, while the
// store accepts no records, once several peers hold it in memory.
package ledger

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/store"
)

// Names in the store.
const (
	topic = "history"
	group = "history"
)

// Times of the group membership.
const (
	// joinsPerTTL is how often the membership is renewed within its TTL. The TTL is the shortest that the store
	// allows, because it bounds how long the partitions of an instance that died have no holder.
	joinsPerTTL = 3
	// soleMemberDelay is how long an instance that is assigned all partitions waits for other members. It is a
	// little longer than the time between two joins.
	soleMemberDelay = 450 * time.Millisecond
	// holdersInterval is the time between reads of all assignments when nothing indicates a change.
	holdersInterval = 2 * time.Second
	// holdersMinInterval is the minimum time between two such reads.
	holdersMinInterval = 150 * time.Millisecond
	// callTimeout limits a store call, a search for a turn at peers, and the hand-over of copies.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the wait before a request to a holder is repeated.
	retryDelay = 25 * time.Millisecond
	// askTimeout limits a single request to a holder; some requests wait for an append.
	askTimeout     = 1500 * time.Millisecond
	expireInterval = 2 * time.Second
)

// Errors returned to callers.
var (
	// ErrUnavailable means that the outcome cannot be determined now.
	ErrUnavailable = errors.New("history is not available")
	// ErrUnknownTurn means that no partition has the turn.
	ErrUnknownTurn = errors.New("no such turn")
	// ErrOverBudget means that the turn exceeds the budget of its program.
	ErrOverBudget = errors.New("over budget")
)

// Store is the part of the store that a Ledger uses.
type Store interface {
	store.Log
	store.Groups
}

// Config holds the settings of a Ledger.
type Config struct {
	Instance     string
	PeerAddr     string
	Zone         string // availability zone
	Parts        int    // number of partitions of the topic
	MaxCallBytes int    // limit of a store call
	RecordBytes  int    // limit of a record
	// RecordRetention is how long the store keeps records; 0 if it does not delete them by their age.
	RecordRetention time.Duration
	MinTTL          time.Duration // shortest TTL of a group membership that the store allows
	Store           Store
	Node            *peer.Node
	Log             logrus.FieldLogger
	// OnStoreResult is called with the result of each store call.
	OnStoreResult func(error)
}

// Ledger is the part of one instance in keeping the history. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	ttl    time.Duration
	copies *copies
	health storeHealth
	// loads holds an element for each partition that is being loaded, uploads is the size of the appends in flight: they
	// share the link of the instance.
	loads   chan struct{}
	uploads atomic.Int64

	mu              sync.Mutex
	leaders         map[int]*leader
	holders         map[int]string // member that holds or is assigned the partition, by partition
	claims          map[int]int64  // newest known epoch by partition
	generation      int64
	retention       time.Duration
	departure       departure
	members         []string              // instances that the group assigned partitions to when it was last read
	stoppingPeers   map[string]id.Session // peers that have said that they stop, by instance
	holdersTriedAt  time.Time             // last attempt to read the assignments
	soleMemberSince time.Time             // when all partitions were assigned to this instance, until leaders start
	holdersReadAt   time.Time             // last successful read of the assignments
	isolation       isolation
	refreshHolders  chan struct{}
	rejoin          chan struct{}
	stop            chan struct{} // the departure begins or goes on
	stopDecided     chan struct{} // closed once it has begun
}

// New returns a Ledger that joins the group once Serve runs.
func New(cfg Config) *Ledger {
	l := &Ledger{
		cfg: cfg, ttl: cfg.MinTTL, copies: newCopies(), loads: make(chan struct{}, maxLoads),
		leaders: make(map[int]*leader), holders: make(map[int]string), claims: make(map[int]int64),
		stoppingPeers:  make(map[string]id.Session),
		refreshHolders: make(chan struct{}, 1), rejoin: make(chan struct{}, 1), stop: make(chan struct{}, 1), stopDecided: make(chan struct{}),
	}
	l.cfg.OnStoreResult = func(err error) {
		l.health.record(err)
		cfg.OnStoreResult(err)
	}
	return l
}

// SetRetention sets the longest time for which turns are kept.
func (l *Ledger) SetRetention(retention time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = retention
}

// recordOverhead bounds what a record holds besides the text of a turn.
const recordOverhead = 4 << 10

// MaxTurnBytes returns the limit of the text of a turn, input and output together, that a record can hold. The store
// would reject a larger record however often it was appended, which would stop its partition.
func (l *Ledger) MaxTurnBytes() int { return max(l.cfg.RecordBytes-recordOverhead, recordOverhead) }

// part returns the partition of a program or another key.
func (l *Ledger) part(key string) int {
	return int(xxhash.Sum64String(key) % uint64(l.cfg.Parts))
}

// Serve maintains the group membership until the context ends, then releases all partitions.
func (l *Ledger) Serve(ctx context.Context) error {
	join := time.NewTimer(0)
	defer join.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			l.releaseAll()
			return ctx.Err()
		case <-l.stop:
			l.beginDeparture(ctx)
		case <-l.rejoin:
			l.join(ctx)
		case <-join.C:
			l.checkIsolation(ctx)
			l.join(ctx)
			join.Reset(l.ttl / joinsPerTTL)
		case <-l.refreshHolders:
			l.readHolders(ctx, holdersMinInterval)
		case <-expire.C:
			l.readHolders(ctx, holdersInterval)
			l.expire(ctx)
			l.copies.expire(time.Now())
		}
		l.continueDeparture(ctx)
	}
}

// allLeaders returns the leaders that run on this instance.
func (l *Ledger) allLeaders() []*leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*leader, 0, len(l.leaders))
	for _, ld := range l.leaders {
		out = append(out, ld)
	}
	return out
}

// leader returns the leader of a partition if it runs on this instance, or nil.
func (l *Ledger) leader(part int) *leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaders[part]
}

func (l *Ledger) expire(ctx context.Context) {
	l.mu.Lock()
	retention := l.retention
	l.mu.Unlock()
	for _, ld := range l.allLeaders() {
		ld.expire(ctx, retention)
	}
}

// ServedCount returns the number of partitions that this instance has claimed and serves.
func (l *Ledger) ServedCount() int {
	served := 0
	for _, ld := range l.allLeaders() {
		if ld.isServing() {
			served++
		}
	}
	return served
}

// HeldCounts returns the number of partitions that this instance holds or is about to claim, and the number of turns in
// them.
func (l *Ledger) HeldCounts() (parts, turns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ld := range l.leaders {
		ld.mu.Lock()
		turns += ld.state.Turns()
		ld.mu.Unlock()
	}
	return len(l.leaders), turns
}
