package gateway

import (
	"bytes"
	"context"
	"errors"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/routing"
	"ragwortstile/internal/store"
	"ragwortstile/internal/team"
	"ragwortstile/internal/wire"
)

// Bounds of the platform, and the oldest proof with which a key is accepted under them.
var testBounds = Settings{ConfigApplyTimeout: 3 * time.Second, RevokeTimeout: 5 * time.Second}

// scriptedTopic is the configuration topic. Changes are answered by the functions in turn, the last one again and again.
type scriptedTopic struct {
	newest  []store.KeyedRecord
	changes []func(ctx context.Context, wait time.Duration) ([]store.KeyedRecord, error)
	delay   time.Duration // added to each call
}

func (s *scriptedTopic) Newest(context.Context, string) ([]store.KeyedRecord, int64, error) {
	time.Sleep(s.delay)
	return s.newest, 1, nil
}

func (s *scriptedTopic) Changes(ctx context.Context, _ string, from int64, wait time.Duration) ([]store.KeyedRecord, int64, error) {
	answer := s.changes[0]
	if len(s.changes) > 1 {
		s.changes = s.changes[1:]
	}
	if err := sleepUntil(ctx, s.delay); err != nil {
		return nil, from, err
	}
	records, err := answer(ctx, wait)
	return records, from + int64(len(records)), err
}

func sleepUntil(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Answers to a read of changes.
func nothing(ctx context.Context, wait time.Duration) ([]store.KeyedRecord, error) {
	return nil, sleepUntil(ctx, wait)
}

func hanging(ctx context.Context, _ time.Duration) ([]store.KeyedRecord, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func change(value byte) func(context.Context, time.Duration) ([]store.KeyedRecord, error) {
	return func(context.Context, time.Duration) ([]store.KeyedRecord, error) { return configRecords(value), nil }
}

func configRecords(value byte) []store.KeyedRecord {
	return []store.KeyedRecord{{Key: "k", Value: []byte{value}}}
}

const badConfig = 0xff // a configuration that cannot be decoded

// newTeamView returns a view whose configurations have a team, and whose clock is that of the test.
func newTeamView(topic store.CompactedTopics) *storeView {
	v := newTestView()
	v.store = topic
	v.topics.DecodeConfig = func(data []byte) (routing.Config, error) {
		if data[0] == badConfig {
			return routing.Config{}, errors.New("bad")
		}
		return routing.Config{Version: int64(data[0]), Teams: []team.Team{{Name: "a", Keys: []string{"key"}}}}, nil
	}
	v.topics.ShareConfig = func(data []byte) ([]byte, error) { return data, nil }
	start := time.Now()
	v.clock = func() team.Instant { return team.Instant{}.Add(time.Since(start)) }
	return v
}

// Guards against API keys that leave the instance with the configuration that peers get.
func TestPeersGetNoKeys(t *testing.T) {
	v := newTeamView(nil)
	v.topics.ShareConfig = func([]byte) ([]byte, error) { return []byte("without keys"), nil }
	v.mu.Lock()
	v.applyConfigRecords([]store.KeyedRecord{{Key: v.topics.ConfigKey, Value: []byte{5}}}, v.clock(), true)
	v.mu.Unlock()
	must.Eq(t, "without keys", string(v.snapshot(wire.StoreViewGet{}).Config))
}

// oldestProof follows a topic for some time and returns the greatest age that the proof reached after it began.
func oldestProof(v *storeView, lasts time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	done := make(chan error)
	go func() { done <- v.followConfig(ctx, testBounds.maxUnknownAge()) }()
	oldest := time.Duration(0)
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		if age := v.proofAge(); age < team.NoProofAge {
			oldest = max(oldest, age)
		}
	}
	<-done
	return oldest
}

// Guards against proofs that get too old for known keys because a poll hangs or the store is slow, and against ages that
// count from the answer.
func TestAgeOfTheProofWhileFollowing(t *testing.T) {
	type answers = []func(context.Context, time.Duration) ([]store.KeyedRecord, error)
	poll := time.Duration(pollWaitFraction * float64(testBounds.ConfigApplyTimeout))
	asks := time.Duration(askProofFraction * float64(testBounds.maxUnknownAge())) // peers are not asked before
	for name, c := range map[string]struct {
		topic    *scriptedTopic
		from, to time.Duration
	}{
		"calm":    {&scriptedTopic{changes: answers{nothing}, delay: 10 * time.Millisecond}, 2 * poll, asks},
		"hanging": {&scriptedTopic{changes: answers{nothing, hanging, nothing}}, poll + readTimeoutMargin, testBounds.maxKnownAge()},
		"slow":    {&scriptedTopic{changes: answers{nothing}, delay: time.Second}, 2 * time.Second, testBounds.maxKnownAge()},
		"trimmed": {&scriptedTopic{changes: answers{func(context.Context, time.Duration) ([]store.KeyedRecord, error) {
			return nil, &store.TrimmedError{First: 9}
		}, nothing}}, 2 * poll, asks},
		"many changes": {&scriptedTopic{changes: answers{change(2), change(3), nothing}}, 2 * poll, asks},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.topic.newest = configRecords(1)
				oldest := oldestProof(newTeamView(c.topic), 20*time.Second)
				must.Between(t, c.from, oldest, c.to)
			})
		})
	}
}

// Guards against a proof for a configuration that the store does not have: after changes that may not be all, after one
// that cannot be applied, or after a snapshot without a configuration.
func TestWhatIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newTeamView(nil)
		read := func(records []store.KeyedRecord, snapshot bool) time.Duration {
			time.Sleep(time.Second)
			v.applyConfigRecords(records, v.clock(), snapshot)
			return v.proofAge()
		}
		must.Eq(t, team.NoProofAge, read(nil, true))
		must.Eq(t, team.NoProofAge, read(nil, false))
		must.Eq(t, team.NoProofAge, read(configRecords(2), false))
		must.Eq(t, 0, read(nil, false))
		must.Eq(t, time.Second, read(configRecords(badConfig), false))
		must.Eq(t, 2*time.Second, read(nil, false))
		must.Eq(t, 3*time.Second, read(configRecords(badConfig), true))
		must.Eq(t, 0, read(configRecords(3), true))
	})
}

// Guards against a proof of a peer that counts as younger than it is, or that is for a configuration which this instance
// does not have.
func TestProofOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, v := newTeamView(nil), newTeamView(nil)
		must.False(t, peer.snapshot(wire.StoreViewGet{}).Proven)
		peer.applyConfigRecords(configRecords(2), peer.clock(), true)
		time.Sleep(time.Second)
		asked := v.clock()
		time.Sleep(100 * time.Millisecond)
		answer := peer.snapshot(v.proofQuestion())
		time.Sleep(50 * time.Millisecond)
		must.True(t, v.applyPeerView(answer, "b"))
		v.confirmByPeer(answer, "b", asked)
		must.Eq(t, int64(2), v.table.Load().Version)
		must.Eq(t, 1250*time.Millisecond, v.proofAge()) // 50 ms more than the truth: the time to the peer counts twice
		must.SliceEmpty(t, peer.snapshot(v.proofQuestion()).Config)
		must.False(t, v.applyPeerView(wire.StoreView{Config: []byte{badConfig}}, "b"))
		v.confirmByPeer(wire.StoreView{Age: time.Millisecond}, "b", asked) // from an earlier version
		must.Eq(t, 1250*time.Millisecond, v.proofAge())
	})
}

// Guards against 401 without certainty, and against keys that are accepted on an old proof.
func TestJudgeKey(t *testing.T) {
	table := routing.NewTable(routing.Config{Teams: []team.Team{{Name: "a", Keys: []string{"key"}}}})
	known, unknown := testBounds.maxKnownAge(), testBounds.maxUnknownAge()
	for _, c := range []struct {
		key  string
		age  time.Duration
		want int
	}{
		{"key", 0, 0}, {"key", known, 0}, {"key", known + 1, http.StatusServiceUnavailable}, {"key", team.NoProofAge, http.StatusServiceUnavailable},
		{"other", unknown, http.StatusUnauthorized}, {"other", unknown + 1, http.StatusServiceUnavailable},
		{"", unknown, http.StatusUnauthorized}, {"", team.NoProofAge, http.StatusServiceUnavailable},
	} {
		owner, rejected := judgeKey(table, c.key, c.age, known, unknown)
		must.Eq(t, c.want == 0, owner != nil)
		if rejected != nil {
			must.Eq(t, c.want, rejected.status)
		}
	}
	must.Eq(t, time.Duration(math.MaxInt64), Settings{ConfigApplyTimeout: time.Second}.maxKnownAge())
	must.Less(t, testBounds.RevokeTimeout, known)
}

// Guards against findings that are logged more than once for a version, or that contain a key.
func TestFindingsAreLoggedOnce(t *testing.T) {
	v := newTeamView(nil)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	v.log = log
	v.topics.DecodeConfig = func(data []byte) (routing.Config, error) {
		teams := []team.Team{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}, KeyPlace: "place-of-b"}}
		return routing.Config{Version: int64(data[0]), Teams: teams}, nil
	}
	for range 3 {
		v.applyConfigRecords(configRecords(1), v.clock(), true)
	}
	must.Eq(t, 1, strings.Count(out.String(), "place-of-b[0]"))
	v.applyConfigRecords(configRecords(2), v.clock(), false)
	must.Eq(t, 2, strings.Count(out.String(), "place-of-b[0]"))
	must.StrNotContains(t, out.String(), "secret")
}
