package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/discovery"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/store"
	"ragwortstile/internal/wire"
)

// Times of reading the lists.
const (
	// configShare is the part of the time in which a change must be in force that a read waits for one. The
	// store answers at once when one comes, but a connection may go silent unnoticed: the read that waits
	// on it, and the next one, must end in time.
	configShare = 0.45
	// silentRead is how much later than asked for an answer counts as lost.
	silentRead = 600 * time.Millisecond
	// endpointFraction is the part of the time in which leaving endpoints must be known that passes
	// between two reads of the list.
	endpointFraction = 5
	minRetry         = 50 * time.Millisecond
	maxRetry         = 400 * time.Millisecond
	// lapseGrace is how long after an outage of the store entries that lapsed in it may come back.
	lapseGrace = 2200 * time.Millisecond
)

// beliefs holds the configuration and the endpoints that the instance acts on.
type beliefs struct {
	lists Lists
	store store.CompactedTopics
	log   logrus.FieldLogger
	dep   *dependency

	table     atomic.Pointer[routing.Table]
	endpoints atomic.Pointer[map[string][]balance.Endpoint]
	readAt    atomic.Int64 // when the configuration was last known to be the newest, as Unix nanoseconds of the steady clock

	onConfig    func(*routing.Table)
	onEndpoints func(listed map[string]bool, addrs map[string]bool)

	mu     sync.Mutex
	list   *discovery.List
	config []byte            // as it lies in the store
	raw    map[string][]byte // entries of endpoints as they lie in the store
}

// epoch is the origin of times that are kept as numbers.
var epoch = time.Now()

func newBeliefs(lists Lists, keyed store.CompactedTopics, log logrus.FieldLogger, dep *dependency) *beliefs {
	return &beliefs{lists: lists, store: keyed, log: log, dep: dep, list: discovery.NewList(lapseGrace), raw: make(map[string][]byte)}
}

// known tells whether requests can be served.
func (b *beliefs) known() bool { return b.table.Load() != nil && b.endpoints.Load() != nil }

// configAge is how long ago the configuration was known to be the newest.
func (b *beliefs) configAge() time.Duration {
	return time.Since(epoch) - time.Duration(b.readAt.Load())
}

// candidates returns the usable endpoints of a service.
func (b *beliefs) candidates(service string) []balance.Endpoint {
	all := b.endpoints.Load()
	if all == nil {
		return nil
	}
	return (*all)[service]
}

// follow reads a topic whole and then its changes, until the context ends.
func (b *beliefs) follow(ctx context.Context, topic string, wait, pause time.Duration, whole, change func([]store.KeyedRecord)) error {
	retry := minRetry
	end, loaded := int64(0), false
	for ctx.Err() == nil {
		var items []store.KeyedRecord
		var err error
		rctx, cancel := context.WithTimeout(ctx, wait+silentRead)
		if !loaded {
			items, end, err = b.store.Newest(rctx, topic)
		} else {
			items, end, err = b.store.Changes(rctx, topic, end, wait)
		}
		cancel()
		b.dep.result(err)
		var trimmed *store.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			b.log.WithFields(logrus.Fields{"name": topic, "offset": trimmed.First}).Info("changes were dropped, list is read whole")
			loaded = false
			continue
		case err != nil:
			if ctx.Err() != nil {
				return ctx.Err()
			}
			b.log.WithFields(logrus.Fields{"name": topic, "reason": err.Error()}).Debug("list not read")
			b.lost(topic)
			retry = b.sleep(ctx, retry)
			continue
		}
		retry = minRetry
		b.mu.Lock()
		if topic == b.lists.EndpointTopic {
			b.list.SetAvailable(time.Now())
		}
		if loaded {
			change(items)
		} else {
			whole(items)
		}
		b.mu.Unlock()
		loaded = true
		if pause > 0 {
			b.sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

func (b *beliefs) lost(topic string) {
	if topic != b.lists.EndpointTopic {
		return
	}
	b.mu.Lock()
	b.list.SetUnavailable()
	b.mu.Unlock()
}

// sleep waits and returns the next, longer wait.
func (b *beliefs) sleep(ctx context.Context, d time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return min(2*d, maxRetry)
}

// followConfig keeps the configuration.
func (b *beliefs) followConfig(ctx context.Context, within time.Duration) error {
	take := func(items []store.KeyedRecord) {
		b.readAt.Store(int64(time.Since(epoch)))
		for _, i := range items {
			if i.Key == b.lists.ConfigKey && len(i.Value) > 0 {
				b.takeConfig(i)
			}
		}
	}
	return b.follow(ctx, b.lists.ConfigTopic, time.Duration(configShare*float64(within)), 0, take, take)
}

func (b *beliefs) takeConfig(i store.KeyedRecord) {
	c, err := b.lists.DecodeConfig(i.Value)
	if err != nil {
		b.log.WithFields(logrus.Fields{"offset": i.Offset, "reason": err.Error()}).Error("configuration refused, the one before stays")
		return
	}
	old := b.table.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	b.config = i.Value
	t := routing.NewTable(c)
	b.table.Store(t)
	b.log.WithFields(logrus.Fields{"version": c.Version, "count": len(c.Routes), "offset": i.Offset}).Info("configuration in force")
	b.onConfig(t)
}

// followEndpoints keeps the list of endpoints.
func (b *beliefs) followEndpoints(ctx context.Context, within time.Duration) error {
	change := func(items []store.KeyedRecord) {
		now := time.Now()
		changed := false
		for _, i := range items {
			changed = b.takeEndpoint(i, now) || changed
		}
		b.publish(now, changed)
	}
	return b.follow(ctx, b.lists.EndpointTopic, 0, within/endpointFraction, b.takeEndpoints, change)
}

// takeEndpoint takes an entry or a removal. It tells whether the endpoints to be used changed.
func (b *beliefs) takeEndpoint(i store.KeyedRecord, now time.Time) bool {
	if i.Key == "" {
		return false
	}
	if len(i.Value) == 0 {
		delete(b.raw, i.Key)
		changed := b.list.Remove(i.Key, now)
		if changed {
			b.log.WithFields(logrus.Fields{"endpoint": i.Key, "offset": i.Offset}).Info("endpoint removed from the list")
		}
		return changed
	}
	e, err := b.lists.DecodeEndpoint(i.Key, i.Value)
	if err != nil {
		b.log.WithFields(logrus.Fields{"offset": i.Offset, "reason": err.Error()}).Debug("entry skipped")
		return false
	}
	b.raw[i.Key] = i.Value
	changed := b.list.Put(e)
	if changed {
		b.log.WithFields(logrus.Fields{
			"endpoint": e.ID, "service": e.Service, "remote": e.Addr, "zone": e.Zone, "status": leavingWord(e.Leaving), "offset": i.Offset,
		}).Info("endpoint listed")
	}
	return changed
}

func leavingWord(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// snapshot returns the beliefs for a peer that cannot read the store.
func (b *beliefs) snapshot() wire.Beliefs {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := wire.Beliefs{Config: b.config, Age: b.configAge()}
	for key, value := range b.raw {
		m.Endpoints = append(m.Endpoints, wire.KeyedRecord{Key: key, Value: value})
	}
	return m
}

// borrow takes the beliefs of a peer. It returns false when the peer has none.
func (b *beliefs) borrow(m wire.Beliefs, from string) bool {
	if len(m.Config) == 0 || len(m.Endpoints) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log.WithFields(logrus.Fields{"peer": from, "age": m.Age.Milliseconds(), "count": len(m.Endpoints)}).Info("beliefs borrowed, the store is out of reach")
	b.takeConfig(store.KeyedRecord{Key: b.lists.ConfigKey, Value: m.Config})
	items := make([]store.KeyedRecord, 0, len(m.Endpoints))
	for _, r := range m.Endpoints {
		items = append(items, store.KeyedRecord{Key: r.Key, Value: r.Value})
	}
	b.takeEndpoints(items)
	b.list.SetUnavailable()
	return b.known()
}

// takeEndpoints takes a whole list.
func (b *beliefs) takeEndpoints(items []store.KeyedRecord) {
	ids := make(map[string]bool, len(items))
	for _, i := range items {
		ids[i.Key] = true
	}
	now := time.Now()
	for _, id := range b.list.Retain(ids, now) {
		delete(b.raw, id)
		b.log.WithField("endpoint", id).Info("endpoint is not in the list any more")
	}
	for _, i := range items {
		b.takeEndpoint(i, now)
	}
	b.publish(now, true)
}

// publish makes the list available to requests.
func (b *beliefs) publish(now time.Time, changed bool) {
	for _, id := range b.list.Expire(now) {
		b.log.WithField("endpoint", id).Info("endpoint dropped, its lapsed entry did not come back")
		changed = true
	}
	if !changed && b.endpoints.Load() != nil {
		return
	}
	byService := make(map[string][]balance.Endpoint)
	listed, addrs := make(map[string]bool), make(map[string]bool)
	for service, endpoints := range b.list.Usable() {
		for _, e := range endpoints {
			byService[service] = append(byService[service], balance.Endpoint{
				ID: e.ID, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, Cold: e.ColdRemaining,
			})
			listed[e.ID], addrs[e.Addr] = true, true
		}
	}
	b.endpoints.Store(&byService)
	b.onEndpoints(listed, addrs)
}

// dependency follows whether the store answers, and logs changes of that.
type dependency struct {
	name string
	log  logrus.FieldLogger

	mu       sync.Mutex
	failures int
	lostAt   time.Time
}

// lostAfter is the number of failures in a row after which a dependency counts as lost.
const lostAfter = 3

// result takes the outcome of a call. Answers that refuse for a reason of the call's own count as
// reached.
func (d *dependency) result(err error) {
	reached := store.Answered(err)
	d.mu.Lock()
	defer d.mu.Unlock()
	if reached {
		if !d.lostAt.IsZero() {
			d.log.WithFields(logrus.Fields{"name": d.name, "took": time.Since(d.lostAt).Milliseconds()}).Info("dependency regained")
		}
		d.failures, d.lostAt = 0, time.Time{}
		return
	}
	if d.failures++; d.failures == lostAfter {
		d.lostAt = time.Now()
		d.log.WithFields(logrus.Fields{"name": d.name, "reason": err.Error()}).Warn("dependency lost")
	}
}

// failing tells whether the newest call failed.
func (d *dependency) failing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

// lost tells whether several calls in a row failed.
func (d *dependency) lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lostAt.IsZero()
}
