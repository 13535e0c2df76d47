package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/gateway"
	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
	"ragwortstile/internal/team"
	"ragwortstile/platform"
	"ragwortstile/platform/platformtest"
)

// Quota of the team of these tests.
const (
	quotaPerSecond = 30
	quotaWindow    = 2 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 10
	maxInWindow    = int(quotaPerSecond*2*(1+quotaOverage)) + quotaSlack
)

var limitedTeam = &team.Team{Name: "t", Keys: []string{"k"}, PerSecond: quotaPerSecond}

// quotaSystem is a few instances with an endpoint, and callers of a team.
type quotaSystem struct {
	t        *testing.T
	store    *platformtest.Store
	endpoint *platformtest.Endpoint

	mu       sync.Mutex
	statuses map[int]int
	retry    []time.Duration // Retry-After of 429
	refused  time.Duration   // longest time until a 429
	sent     int
}

type quotaInstance struct {
	url  string
	key  string // of its callers
	stop func()
}

func newQuotaSystem(t *testing.T, behave func(platformtest.Run) platformtest.Behaviour) *quotaSystem {
	s := &quotaSystem{t: t, store: platformtest.NewStore(t, 4), endpoint: platformtest.NewEndpoint(t, "i-1", behave), statuses: make(map[int]int)}
	s.configure(1, quotaPerSecond)
	entry := s.endpoint.Entry("svc", "z", "ready")
	entry["slots"] = 64
	s.store.PutEndpoint("i-1", entry)
	return s
}

func (s *quotaSystem) configure(version int, perSecond float64) {
	s.store.PutConfig(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "calls", "hostname": "h.example", "path_prefix": "/calls/", "kind": "idempotent", "timeout_ms": 3000, "service": "svc",
			"max_attempts": 3, "public": true,
		}},
		"services": []map[string]any{{"name": "svc", "health_path": "/healthz", "max_connections": 100}},
		"tenants":  []map[string]any{{"name": "t", "api_keys": []string{"k"}, "rate_per_s": perSecond}, {"name": "free", "api_keys": []string{"f"}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// freeAddr returns an address with a port that is free at the time of the call, on a loopback address of this test process
// alone: on 127.0.0.1 any connection of another process may take the port before the instance listens there.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff))
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// instance starts an instance that serves the callers of a team.
func (s *quotaSystem) instance(name string, of *team.Team) quotaInstance {
	s.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := gateway.Settings{
		Instance: name, Zone: "z", FrontAddr: freeAddr(s.t), ReadyAddr: freeAddr(s.t), PeerAddr: freeAddr(s.t), MetricsAddr: freeAddr(s.t),
		PeerKey: []byte("a key of the instances of a test"), MemoryBytes: 1 << 27, StopGrace: 2 * time.Second,
		EndpointDrainTimeout: 500 * time.Millisecond, ConfigApplyTimeout: time.Second, StoreAddr: s.store.Addr, StoreParts: 4,
		StoreRecordBytes: 1 << 18, StoreCallBytes: 1 << 20, StoreMinTTL: 300 * time.Millisecond,
		QuotaWindow: quotaWindow, QuotaOverage: quotaOverage, QuotaSlack: quotaSlack,
	}
	g, err := gateway.New(settings, platform.Protocol{}, platform.Topics(), platform.NewStore(s.store.Addr), log, fmt.Sprint("n", time.Now().UnixNano()))
	must.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx) // a failure shows as an instance that never is ready
	}()
	front := httptest.NewServer(g.ServeAs(of))
	s.t.Cleanup(func() {
		cancel()
		front.Close()
		<-done
	})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + settings.ReadyAddr + "/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return quotaInstance{url: front.URL, key: of.Keys[0], stop: cancel}
			}
		}
		must.True(s.t, time.Now().Before(end), must.Sprintf("instance %s is not ready", name))
	}
}

// call sends a request and counts how it ends.
func (s *quotaSystem) call(i quotaInstance) {
	s.mu.Lock()
	s.sent++
	id := "r" + strconv.Itoa(s.sent)
	s.mu.Unlock()
	req, err := http.NewRequest("POST", i.url+"/calls/1", strings.NewReader("x"))
	must.NoError(s.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Api-Key", i.key)
	platform.Protocol{}.EncodeRefusal(req.Header, id, 0) // sets the ID of the request
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
	if status == http.StatusTooManyRequests {
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		must.NoError(s.t, err)
		s.retry = append(s.retry, time.Duration(seconds*float64(time.Second)))
		s.refused = max(s.refused, time.Since(began))
	}
}

// load sends requests at a rate, in turn through the instances, and waits for their ends.
func (s *quotaSystem) load(instances []quotaInstance, perSecond float64, d time.Duration) {
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		<-tick.C
		wg.Go(func() { s.call(instances[n%len(instances)]) })
	}
	wg.Wait()
}

// most returns the largest number of requests that the endpoint has run within the window.
func (s *quotaSystem) most() int {
	runs, most, first := s.endpoint.Runs(), 0, 0
	for n, r := range runs {
		for r.At.Sub(runs[first].At) > quotaWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

func serveQuota(platformtest.Run) platformtest.Behaviour {
	return platformtest.Behaviour{Delay: 10 * time.Millisecond}
}

// Load pattern: a team sends a little less than its quota, then four times as much, while a team without a quota goes on.
// Guards against needless refusals, requests over the quota, late refusals and refusals without a Retry-After.
func TestQuotaOfATeam(t *testing.T) {
	s := newQuotaSystem(t, serveQuota)
	instances := []quotaInstance{s.instance("a", limitedTeam), s.instance("b", limitedTeam), s.instance("c", limitedTeam)}
	s.load(instances, 0.6*quotaPerSecond, 3*time.Second)
	must.LessEq(t, s.sent/50, s.statuses[http.StatusTooManyRequests]+s.statuses[http.StatusServiceUnavailable], must.Sprint(s.statuses))
	before := len(s.endpoint.Runs())
	s.load(instances, 4*quotaPerSecond, 3*time.Second)
	must.LessEq(t, maxInWindow, s.most())
	must.GreaterEq(t, int(0.8*quotaPerSecond*3), len(s.endpoint.Runs())-before)
	must.Positive(t, s.statuses[http.StatusTooManyRequests])
	must.Eq(t, s.sent, s.statuses[http.StatusOK]+s.statuses[http.StatusTooManyRequests], must.Sprint(s.statuses))
	for _, retry := range s.retry {
		must.Positive(t, retry)
	}
	must.Less(t, 500*time.Millisecond, s.refused)
	free := s.instance("d", &team.Team{Name: "free", Keys: []string{"f"}})
	ok := s.statuses[http.StatusOK]
	var wg sync.WaitGroup
	for range 2 * maxInWindow {
		wg.Go(func() { s.call(free) })
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	must.Eq(t, 2*maxInWindow, s.statuses[http.StatusOK]-ok, must.Sprint(s.statuses))
}

// Load pattern: endpoints refuse the first two sends of each request. Guards against sends that no endpoint runs and that
// count.
func TestRefusedSendsDoNotCount(t *testing.T) {
	var mu sync.Mutex
	sends := make(map[string]int)
	refuse := func(r platformtest.Run) platformtest.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		sends[r.ID]++
		return platformtest.Behaviour{Refuse: sends[r.ID] < 3}
	}
	s := newQuotaSystem(t, refuse)
	for _, id := range []string{"i-2", "i-3"} {
		s.store.PutEndpoint(id, platformtest.NewEndpoint(t, id, refuse).Entry("svc", "z", "ready"))
	}
	a := s.instance("a", limitedTeam)
	s.load([]quotaInstance{a}, 0.8*quotaPerSecond, 4*time.Second)
	must.Eq(t, map[int]int{http.StatusOK: s.sent}, s.statuses)
}

// Load pattern: the team sends twice its quota. The quota is lowered, an instance ends while the store is away, so that
// nobody takes over what it issued, and all others start again. Guards against requests over the bound.
func TestQuotaWhileInstancesEnd(t *testing.T) {
	s := newQuotaSystem(t, serveQuota)
	instances := []quotaInstance{s.instance("a", limitedTeam), s.instance("b", limitedTeam), s.instance("c", limitedTeam)}
	s.load(instances, 2*quotaPerSecond, time.Second)
	s.store.SetFault(func(string, store.Partition) storestand.Fault { return storestand.Refuse })
	instances[0].stop()
	s.load(instances[1:], 2*quotaPerSecond, 3*time.Second)
	s.store.SetFault(nil)
	instances[1].stop()
	instances[2].stop()
	instances = []quotaInstance{s.instance("d", limitedTeam), s.instance("e", limitedTeam)}
	before := len(s.endpoint.Runs())
	s.load(instances, 2*quotaPerSecond, 3*time.Second)
	must.LessEq(t, maxInWindow, s.most())
	must.GreaterEq(t, int(0.5*quotaPerSecond*3), len(s.endpoint.Runs())-before, must.Sprint(s.statuses))
	must.Eq(t, s.sent, s.statuses[http.StatusOK]+s.statuses[http.StatusTooManyRequests]+s.statuses[http.StatusServiceUnavailable], must.Sprint(s.statuses))
}

// Load pattern: the endpoints run each request and break the connection off, so that it is sent again. Guards against
// sends beyond the first that don't count.
func TestFurtherSendsCount(t *testing.T) {
	abort := func(platformtest.Run) platformtest.Behaviour { return platformtest.Behaviour{Abort: true} }
	s := newQuotaSystem(t, abort)
	others := []*platformtest.Endpoint{platformtest.NewEndpoint(t, "i-2", abort), platformtest.NewEndpoint(t, "i-3", abort)}
	for _, e := range others {
		s.store.PutEndpoint(e.ID, e.Entry("svc", "z", "ready"))
	}
	a := s.instance("a", limitedTeam)
	s.load([]quotaInstance{a}, 2*quotaPerSecond, 2*quotaWindow)
	runs := len(s.endpoint.Runs())
	for _, e := range others {
		runs += len(e.Runs())
	}
	// The time of the load holds two windows, and requests that began in it may be sent a little later.
	must.LessEq(t, 2*maxInWindow, runs)
	must.Positive(t, s.statuses[http.StatusTooManyRequests])
}
