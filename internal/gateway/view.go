package gateway

import (
	"bytes"
	"context"
	"errors"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/discovery"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/store"
	"ragwortstile/internal/team"
	"ragwortstile/internal/wire"
)

// Intervals and timeouts of reading the configuration and the endpoint list from the store.
const (
	// pollWaitFraction is the wait of a long poll for configuration changes, as a fraction of
	// Settings.ConfigApplyTimeout. The store answers at once when there is a change, but a connection can
	// go silent unnoticed: the poll that is stuck on it and the next one must both end within that time.
	pollWaitFraction = 0.45
	// readTimeoutMargin is added to the wait of a read; a response that is later than that counts as lost.
	readTimeoutMargin = 600 * time.Millisecond
	// endpointPollDivisor divides Settings.EndpointDrainTimeout to get the pause between two reads of the
	// endpoint list.
	endpointPollDivisor = 5
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed read.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// lapseGrace is how long after a store outage an endpoint whose entry expired during the outage stays
	// usable, so that it can renew its entry.
	lapseGrace = 2200 * time.Millisecond
	// leavingSlack is how long before the end of Settings.EndpointDrainTimeout an endpoint that has said that it leaves gets its
	// last requests.
	leavingSlack = 250 * time.Millisecond
)

// storeView is the instance's in-memory copy of the configuration and of the endpoint list. It follows both
// topics in the store, and can be filled from a peer's copy while the store is unreachable.
type storeView struct {
	topics Topics
	store  store.CompactedTopics
	log    logrus.FieldLogger
	dep    *dependency

	table           atomic.Pointer[routing.Table]
	endpoints       atomic.Pointer[map[string][]balance.Endpoint]
	left            atomic.Pointer[map[string]bool] // endpoints that have said that they leave, and get nothing more
	configCheckedAt atomic.Int64                    // when the store last answered a read of the configuration, in monotonic nanoseconds since processStart
	clock           team.Clock
	proof           team.Freshness // that the configuration is the newest one
	provenByPeer    atomic.Bool    // the latest proof came from a peer
	unproven        atomic.Bool    // what noteProof has last seen

	onConfig    func(*routing.Table)
	onEndpoints func(listed map[string]bool, addrs map[string]bool)

	mu              sync.Mutex
	list            *discovery.List
	configRecord    []byte            // encoded as in the store, but without API keys
	doubtful        bool              // the store has another configuration than the one in use, which cannot be applied, or none
	endpointRecords map[string][]byte // by endpoint ID, encoded as in the store
	endpointOffset  int64             // end of the topic as of the list, also of a list that came from a peer
}

// processStart is the origin of times that are kept as integers.
var processStart = time.Now()

func newStoreView(topics Topics, compacted store.CompactedTopics, log logrus.FieldLogger, dep *dependency) *storeView {
	return &storeView{
		topics: topics, store: compacted, log: log, dep: dep, clock: team.SystemClock,
		list: discovery.NewList(lapseGrace), endpointRecords: make(map[string][]byte),
	}
}

// complete reports whether the configuration and the endpoint list are both loaded, as serving requests needs.
func (v *storeView) complete() bool { return v.table.Load() != nil && v.endpoints.Load() != nil }

// configAge returns the time since the store last answered a read of the configuration. Unlike proofAge it does not tell
// up to when a configuration with other keys cannot have been written.
func (v *storeView) configAge() time.Duration {
	return time.Since(processStart) - time.Duration(v.configCheckedAt.Load())
}

// candidates returns the usable endpoints of a service.
func (v *storeView) candidates(service string) []balance.Endpoint {
	all := v.endpoints.Load()
	if all == nil {
		return nil
	}
	return (*all)[service]
}

// serves reports whether an endpoint is among the usable ones of a service.
func (v *storeView) serves(endpoint, service string) bool {
	return slices.ContainsFunc(v.candidates(service), func(e balance.Endpoint) bool { return e.ID == endpoint })
}

// allEndpoints returns the usable endpoints of all services.
func (v *storeView) allEndpoints() iter.Seq[balance.Endpoint] {
	return func(yield func(balance.Endpoint) bool) {
		all := v.endpoints.Load()
		if all == nil {
			return
		}
		for _, endpoints := range *all {
			for _, e := range endpoints {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// endpointCount returns the number of usable endpoints of all services.
func (v *storeView) endpointCount() int {
	all := v.endpoints.Load()
	if all == nil {
		return 0
	}
	count := 0
	for _, endpoints := range *all {
		count += len(endpoints)
	}
	return count
}

// endpoint returns a usable endpoint, if it has the given address.
func (v *storeView) endpoint(id, addr string) (balance.Endpoint, bool) {
	for e := range v.allEndpoints() {
		if e.ID == id && e.Addr == addr {
			return e, true
		}
	}
	return balance.Endpoint{}, false
}

// anyEndpoint returns a random usable endpoint.
func (v *storeView) anyEndpoint() (balance.Endpoint, bool) {
	all := slices.Collect(v.allEndpoints())
	if len(all) == 0 {
		return balance.Endpoint{}, false
	}
	return all[rand.N(len(all))], true
}

// changeHandler handles records that were read from a topic. sent is when the read was sent.
type changeHandler func(records []store.KeyedRecord, sent team.Instant)

// follow reads the current state of a topic and then its changes, until ctx is done. It starts again from the
// whole state when the store has trimmed changes that were not read yet.
func (v *storeView) follow(ctx context.Context, topic string, pollWait, pause time.Duration, onSnapshot, onChanges changeHandler) error {
	retry := minRetryDelay
	offset, loaded := int64(0), false
	wait := pollWait
	for ctx.Err() == nil {
		var records []store.KeyedRecord
		var err error
		rctx, cancel := context.WithTimeout(ctx, pollWait+readTimeoutMargin)
		sent := v.clock()
		if !loaded {
			records, offset, err = v.store.Newest(rctx, topic)
		} else {
			records, offset, err = v.store.Changes(rctx, topic, offset, wait)
		}
		cancel()
		v.dep.record(err)
		var trimmed *store.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			v.log.WithFields(logrus.Fields{"name": topic, "offset": trimmed.First}).Info("store trimmed unread changes; reading the whole list again")
			loaded = false
			retry = v.sleep(ctx, retry)
			continue
		case err != nil:
			if ctx.Err() != nil {
				return ctx.Err()
			}
			v.log.WithFields(logrus.Fields{"name": topic, "reason": err.Error()}).Debug("list not read")
			v.readFailed(topic)
			wait = v.nextWait(topic, pollWait, true)
			retry = v.sleep(ctx, retry)
			continue
		}
		retry = minRetryDelay
		v.mu.Lock()
		if topic == v.topics.EndpointTopic {
			v.list.SetAvailable(time.Now())
		}
		if loaded {
			onChanges(records, sent)
		} else {
			onSnapshot(records, sent)
		}
		wait = v.nextWait(topic, pollWait, loaded && len(records) > 0)
		if topic == v.topics.EndpointTopic {
			if !loaded {
				v.endpointOffset = offset // also if the store has lost records: entries come again at lower offsets
			}
			v.endpointOffset = max(v.endpointOffset, offset)
		}
		v.mu.Unlock()
		loaded = true
		if pause > 0 {
			v.sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

// nextWait returns how long the next read of changes waits. While keys are to be confirmed, a read after a failed one, or
// after one that returned changes and may not have returned all of them, does not wait: the proof would get old meanwhile.
func (v *storeView) nextWait(topic string, pollWait time.Duration, confirm bool) time.Duration {
	if confirm && topic == v.topics.ConfigTopic && v.hasTeams() {
		return 0
	}
	return pollWait
}

func (v *storeView) readFailed(topic string) {
	if topic != v.topics.EndpointTopic {
		return
	}
	v.mu.Lock()
	v.list.SetUnavailable()
	v.mu.Unlock()
}

// sleep waits for d, or until ctx is done, and returns the delay of the next retry.
func (v *storeView) sleep(ctx context.Context, d time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return min(2*d, maxRetryDelay)
}

// followConfig keeps the configuration up to date with long polls that notice a change within applyTimeout.
func (v *storeView) followConfig(ctx context.Context, applyTimeout time.Duration) error {
	onSnapshot := func(records []store.KeyedRecord, sent team.Instant) { v.applyConfigRecords(records, sent, true) }
	onChanges := func(records []store.KeyedRecord, sent team.Instant) { v.applyConfigRecords(records, sent, false) }
	return v.follow(ctx, v.topics.ConfigTopic, time.Duration(pollWaitFraction*float64(applyTimeout)), 0, onSnapshot, onChanges)
}

// applyConfigRecords applies what a read of the configuration topic that was sent at the given time returned, and notes
// what it proves. The caller holds the lock.
func (v *storeView) applyConfigRecords(records []store.KeyedRecord, sent team.Instant, snapshot bool) {
	v.configCheckedAt.Store(int64(time.Since(processStart)))
	found := false
	for _, r := range records {
		if r.Key == v.topics.ConfigKey && len(r.Value) > 0 {
			found = true
			v.doubtful = !v.applyConfig(r)
		}
	}
	if snapshot && !found {
		v.doubtful = true
	}
	// A read of changes returns a limited number of bytes, so that only an empty one shows that there are no more.
	if !v.doubtful && (snapshot || len(records) == 0) {
		v.confirm(team.Proof{At: sent})
	}
}

// applyConfig applies a configuration if it is newer than the one in use. It returns false if the configuration cannot be
// applied. The caller holds the lock.
func (v *storeView) applyConfig(r store.KeyedRecord) bool {
	c, err := v.topics.DecodeConfig(r.Value)
	if err != nil {
		v.log.WithFields(logrus.Fields{"offset": r.Offset, "reason": err.Error()}).Error("configuration rejected; keeping the previous one")
		return false
	}
	old := v.table.Load()
	if old != nil && c.Version <= old.Version {
		return true
	}
	record := bytes.Clone(r.Value)
	if len(c.Teams) > 0 {
		if record, err = v.topics.ShareConfig(r.Value); err != nil {
			v.log.WithFields(logrus.Fields{"offset": r.Offset, "reason": err.Error()}).Error("configuration rejected, peers cannot get it without its keys")
			return false
		}
	}
	v.configRecord = record
	t := routing.NewTable(c)
	v.table.Store(t)
	v.log.WithFields(logrus.Fields{"version": c.Version, "count": len(c.Routes), "offset": r.Offset}).Info("configuration applied")
	logFindings(v.log.WithField("version", c.Version), t.Findings)
	v.onConfig(t)
	return true
}

// followEndpoints keeps the endpoint list up to date, reading it several times per drainTimeout.
func (v *storeView) followEndpoints(ctx context.Context, drainTimeout time.Duration) error {
	onSnapshot := func(records []store.KeyedRecord, _ team.Instant) { v.applyEndpointList(records) }
	onChanges := func(records []store.KeyedRecord, _ team.Instant) { v.applyEndpointChanges(records) }
	return v.follow(ctx, v.topics.EndpointTopic, 0, drainTimeout/endpointPollDivisor, onSnapshot, onChanges)
}

// applyEndpointChanges applies records that follow those read before. The caller holds the lock.
func (v *storeView) applyEndpointChanges(records []store.KeyedRecord) {
	now := time.Now()
	changed := false
	for _, r := range records {
		if r.Offset < v.endpointOffset {
			continue // the list of a peer already includes it
		}
		changed = v.applyEndpoint(r, now) || changed
	}
	v.publish(now, changed)
}

// applyEndpoint applies the new entry or the removal of an endpoint. It reports whether the endpoint list changed.
func (v *storeView) applyEndpoint(r store.KeyedRecord, now time.Time) bool {
	if r.Key == "" {
		return false
	}
	if len(r.Value) == 0 {
		delete(v.endpointRecords, r.Key)
		changed := v.list.Remove(r.Key, now)
		if changed {
			v.log.WithFields(logrus.Fields{"endpoint": r.Key, "offset": r.Offset}).Info("endpoint removed from the list")
		}
		return changed
	}
	e, err := v.topics.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		// An earlier entry of the same key no longer holds: this one may stand for a state that is not known here.
		delete(v.endpointRecords, r.Key)
		line := v.log.WithFields(logrus.Fields{"endpoint": r.Key, "offset": r.Offset, "reason": err.Error()})
		if v.list.Drop(r.Key) {
			line.Warn("endpoint dropped; its newest entry cannot be decoded")
			return true
		}
		line.Debug("skipping endpoint entry that cannot be decoded")
		return false
	}
	v.endpointRecords[r.Key] = bytes.Clone(r.Value) // the value may be part of a far larger response
	changed := v.list.Put(e)
	if changed {
		v.log.WithFields(logrus.Fields{
			"endpoint": e.ID, "service": e.Service, "remote": e.Addr, "zone": e.Zone, "status": endpointStatus(e.Draining), "offset": r.Offset,
		}).Info("endpoint listed")
	}
	return changed
}

// endpointStatus returns the status of an endpoint in the log, where a draining endpoint is "leaving".
func endpointStatus(draining bool) string {
	if draining {
		return "leaving"
	}
	return "ready"
}

// snapshot returns what a peer that cannot read the store lacks of the configuration and the endpoint list.
func (v *storeView) snapshot(have wire.StoreViewGet) wire.StoreView {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := wire.StoreView{Age: v.configAge(), EndpointOffset: v.endpointOffset}
	if v.hasTeams() {
		m.Age = v.proofAge()
		m.Proven = m.Age < team.NoProofAge
	}
	if t := v.table.Load(); t != nil && t.Version > have.ConfigVersion {
		m.Config = v.configRecord
	}
	if v.endpointOffset <= have.EndpointOffset {
		return m
	}
	for key, value := range v.endpointRecords {
		m.Endpoints = append(m.Endpoints, wire.KeyedRecord{Key: key, Value: value})
	}
	return m
}

// have returns what this instance has of the configuration and the endpoint list, for a request to a peer.
func (v *storeView) have() wire.StoreViewGet {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := wire.StoreViewGet{EndpointOffset: v.endpointOffset}
	if t := v.table.Load(); t != nil {
		m.ConfigVersion = t.Version
	}
	return m
}

// applyPeerView applies the configuration and the endpoint list of a peer where they are newer than those of this
// instance. An older list is ignored, since endpoints that have left since would be used again. It returns false if the
// peer has a newer configuration, which cannot be applied: what the peer knows does not confirm that of this instance.
func (v *storeView) applyPeerView(m wire.StoreView, from string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	newer := len(m.Endpoints) > 0 && (m.EndpointOffset > v.endpointOffset || v.endpoints.Load() == nil)
	if newer || len(m.Config) > 0 {
		v.log.WithFields(logrus.Fields{"peer": from, "age": m.Age.Milliseconds(), "count": len(m.Endpoints), "offset": m.EndpointOffset}).
			Info("beliefs borrowed, the store is out of reach")
	}
	applied := true
	if len(m.Config) > 0 {
		applied = v.applyConfig(store.KeyedRecord{Key: v.topics.ConfigKey, Value: m.Config})
	}
	if newer {
		records := make([]store.KeyedRecord, 0, len(m.Endpoints))
		for _, r := range m.Endpoints {
			records = append(records, store.KeyedRecord{Key: r.Key, Value: r.Value})
		}
		v.applyEndpointList(records)
		v.endpointOffset = m.EndpointOffset
		v.list.SetUnavailable()
	}
	return applied
}

// applyEndpointList replaces the endpoint list by a complete one.
func (v *storeView) applyEndpointList(records []store.KeyedRecord) {
	ids := make(map[string]bool, len(records))
	for _, r := range records {
		ids[r.Key] = true
	}
	now := time.Now()
	for _, id := range v.list.Retain(ids, now) {
		delete(v.endpointRecords, id)
		v.log.WithField("endpoint", id).Info("endpoint is no longer listed")
	}
	for _, r := range records {
		v.applyEndpoint(r, now)
	}
	v.publish(now, true)
}

// publish drops the endpoints whose grace period after an outage is over, and makes the usable ones available to
// requests.
func (v *storeView) publish(now time.Time, changed bool) {
	for _, id := range v.list.Expire(now) {
		v.log.WithField("endpoint", id).Info("endpoint dropped; it did not renew its expired entry")
		changed = true
	}
	if !changed && v.endpoints.Load() != nil {
		return
	}
	byService := make(map[string][]balance.Endpoint)
	listed, addrs := make(map[string]bool), make(map[string]bool)
	usable, left := v.list.Usable(now)
	for service, endpoints := range usable {
		for _, e := range endpoints {
			byService[service] = append(byService[service], balance.Endpoint{
				ID: e.ID, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, ColdRemaining: e.ColdRemaining, StartUnixMs: e.StartUnixMs,
			})
			listed[e.ID], addrs[e.Addr] = true, true
		}
	}
	v.left.Store(&left)
	v.endpoints.Store(&byService)
	v.onEndpoints(listed, addrs)
}

// setLeaving records that an endpoint has said in a response that it leaves, to this instance or to a peer. It reports whether
// that was not known.
func (v *storeView) setLeaving(id string, start int64, drainTimeout time.Duration) bool {
	now := time.Now()
	lasts := drainTimeout - leavingSlack
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.list.SetLeaving(id, start, now.Add(lasts)) {
		return false
	}
	v.publish(now, true)
	time.AfterFunc(lasts, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.publish(time.Now(), true)
	})
	return true
}

// hasLeft reports whether an endpoint has said that it leaves, and gets nothing more.
func (v *storeView) hasLeft(id string) bool {
	left := v.left.Load()
	return left != nil && (*left)[id]
}

// dependency tracks whether an external service responds, and logs when it is lost and regained.
type dependency struct {
	name string
	log  logrus.FieldLogger

	mu       sync.Mutex
	failures int
	lostAt   time.Time
}

// lostAfterFailures is the number of consecutive failures after which a dependency counts as lost.
const lostAfterFailures = 3

// record registers the outcome of a call. A call that the service rejected for a reason of that call counts as
// a success, because the service responded.
func (d *dependency) record(err error) {
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
	if d.failures++; d.failures == lostAfterFailures {
		d.lostAt = time.Now()
		d.log.WithFields(logrus.Fields{"name": d.name, "reason": err.Error()}).Warn("dependency lost")
	}
}

// failing reports whether the latest call failed.
func (d *dependency) failing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures > 0
}

// lost reports whether at least lostAfterFailures consecutive calls failed.
func (d *dependency) lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lostAt.IsZero()
}
