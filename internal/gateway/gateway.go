// Package gateway serves the callers of a platform: it routes requests to endpoints, records the history and
// the budget of programs, and follows the configuration and the endpoint list in the store.
//
// A Gateway is one instance. It reads configuration and endpoints through a storeView, chooses endpoints with a
// balance.Balancer, sends requests through an upstream.Pool and records history in a ledger.Ledger. A Protocol
// decodes and encodes the platform's headers. All durable state is in the store, so an instance can die at any
// time.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/id"
	"ragwortstile/internal/ledger"
	"ragwortstile/internal/memory"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/quarantine"
	"ragwortstile/internal/ratelimit"
	"ragwortstile/internal/reach"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/upstream"
	"ragwortstile/internal/wire"
)

const (
	// headerTimeout and idleTimeout exceed what operators allow callers, whose clients use shorter timeouts.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// meetTimeout is how long after its start an instance waits for its first peer before it is ready.
	meetTimeout = 2 * time.Second
	// peerIdleTimeout is the silence after which the connection to a peer is closed.
	peerIdleTimeout = time.Second
	// peerFetchInterval is the time between attempts to get configuration and endpoints from peers, for an
	// instance that has just started and cannot read the store. It is also the timeout of a request to a peer.
	peerFetchInterval = 150 * time.Millisecond
	// peerRefetchInterval is the same interval for an instance that has configuration and endpoints already.
	peerRefetchInterval = 400 * time.Millisecond
	// peerFetchTries is the number of peers that are asked in one attempt.
	peerFetchTries = 3
	// loadReportInterval is the time between load reports to peers.
	loadReportInterval = 100 * time.Millisecond
	// pruneInterval is the time between removals of old entries from pools and caches.
	pruneInterval = time.Second
)

// Gateway is one instance.
type Gateway struct {
	settings  Settings
	protocol  Protocol
	log       logrus.FieldLogger
	view      *storeView
	ledger    *ledger.Ledger
	node      *peer.Node
	pool      *upstream.Pool
	account   *memory.Account // of the bytes that requests hold
	callers   *callers
	responses *responseBuffers
	prefixes  *prefixCache
	affinity  *affinity
	metrics   *instanceMetrics
	storeDep  *dependency
	quotas    *quotas

	active    atomic.Int64
	relaying  atomic.Int64 // requests in progress that were sent for peers
	stopping  atomic.Bool
	stopPlan  atomic.Pointer[stopPlan] // set once the instance stops
	graceOver context.Context          // done when the requests in progress of a stop must be answered
	endGrace  context.CancelFunc
	startedAt time.Time
	metPeers  atomic.Bool // see meetPeers

	mu           sync.Mutex
	balancer     *balance.Balancer
	limits       *ratelimit.Limits
	permits      *ratelimit.Permits
	issuer       *ratelimit.Issuer      // of the permits of endpoints whose partition this instance holds
	ownIssuer    *ratelimit.Issuer      // of this instance's part of the permits whose issuer is lost
	crashChecks  map[string]*crashCheck // by endpoint ID
	quarantine   *quarantine.List
	newLimits    map[string]bool // endpoints whose limit was observed here since the last load report
	newLeaving   []toldLeaving   // endpoints that have said here a short time ago that they leave
	admission    *admissionQueues
	shares       *teamShares
	links        *reach.Tracker // of the connections to endpoints
	relays       *reach.Peers   // that send requests to endpoints on behalf of this instance
	wasCutOff    bool           // what noteCutOff has last seen
	reportedLoad bool           // the last load report was not empty
}

// New returns a Gateway. nonce distinguishes this run from other runs of the same instance.
func New(s Settings, protocol Protocol, topics Topics, store Store, log logrus.FieldLogger, nonce string) (*Gateway, error) {
	g := &Gateway{
		settings: s, protocol: protocol, log: log, startedAt: time.Now(),
		pool: upstream.NewPool(s.DialEndpoint), prefixes: newPrefixCache(), affinity: newAffinity(), metrics: newInstanceMetrics(),
		balancer: balance.New(s.Zone, uint64(time.Now().UnixNano())), limits: ratelimit.NewLimits(), permits: ratelimit.NewPermits(), issuer: ratelimit.NewIssuer(), ownIssuer: ratelimit.NewIssuer(),
		newLimits: make(map[string]bool), crashChecks: make(map[string]*crashCheck), quarantine: quarantine.NewList(), admission: newAdmissionQueues(),
		shares: newTeamShares(uint64(time.Now().UnixNano())),
		links:  reach.NewTracker(), relays: reach.NewPeers(s.Zone),
		storeDep: &dependency{name: "store", log: log},
	}
	g.quotas = newQuotas(g)
	if s.SpreadLoad {
		g.balancer.SetInstance(s.Instance)
	}
	g.account = memory.NewAccount(accountBytes(s.MemoryBytes, maxCallerConns(s.MemoryBytes, s.MaxFDs)))
	g.callers = newCallers(s, g.account, g.metrics, log)
	g.responses = newResponseBuffers(s.MemoryBytes, g.account)
	g.graceOver, g.endGrace = context.WithCancel(context.Background())
	g.pool.Observe((*linkObserver)(g))
	keys, err := peer.NewKeyring(s.PeerKey)
	if err != nil {
		return nil, fmt.Errorf("peer key: %w", err)
	}
	g.node, err = peer.New(peer.Config{
		Session: id.Session(s.Instance + "." + nonce), Zone: s.Zone, Handler: (*peerHandler)(g), Log: log,
		Keys: keys, IdleTimeout: peerIdleTimeout, MaxBackoff: time.Second,
	})
	if err != nil {
		return nil, err
	}
	g.ledger = ledger.New(ledger.Config{
		Instance: s.Instance, PeerAddr: s.advertisedAddr(), Zone: s.Zone, Parts: s.StoreParts, MaxCallBytes: s.StoreCallBytes, RecordBytes: s.StoreRecordBytes,
		RecordRetention: s.StoreRetention, MinTTL: s.StoreMinTTL, Store: store, Node: g.node, Log: log, OnStoreResult: g.storeDep.record,
	})
	g.view = newStoreView(topics, store, log, g.storeDep)
	if s.Clock != nil {
		g.view.clock = s.Clock
	}
	g.view.onConfig = func(t *routing.Table) { g.ledger.SetRetention(t.MaxRetention()) }
	g.view.onEndpoints = func(listed, addrs map[string]bool) {
		g.pool.CloseUnlisted(addrs)
		g.mu.Lock()
		g.balancer.Prune(listed)
		g.limits.Prune(listed)
		g.permits.Prune(listed)
		g.issuer.Prune(listed)
		g.ownIssuer.Prune(listed)
		g.mu.Unlock()
	}
	return g, nil
}

// Run serves until ctx is done, then drains: it returns once all requests have finished or the grace period is
// over.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.WithFields(logrus.Fields{"instance": g.settings.Instance, "zone": g.settings.Zone, "listen": g.settings.FrontAddr}).Info("instance starts")
	listeners, err := listen(g.settings.FrontAddr, g.settings.ReadyAddr, g.settings.PeerAddr, g.settings.MetricsAddr)
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	supervisor := suture.New("instance", suture.Spec{EventHook: g.logSupervisorEvent, Timeout: time.Second})
	g.add(supervisor, "configuration", func(ctx context.Context) error {
		return g.view.followConfig(ctx, g.settings.maxUnknownAge())
	})
	g.add(supervisor, "endpoints", func(ctx context.Context) error {
		return g.view.followEndpoints(ctx, g.settings.EndpointDrainTimeout)
	})
	g.add(supervisor, "ledger", g.ledger.Serve)
	g.add(supervisor, "borrowed beliefs", g.fetchFromPeers)
	g.add(supervisor, "housekeeping", g.housekeeping)
	g.add(supervisor, "load reports", g.reportLoad)
	g.add(supervisor, "endpoint probes", g.probeEndpoints)
	if g.quotas.enforced() {
		g.add(supervisor, "quotas", g.quotas.run)
	}
	stopped := supervisor.ServeBackground(work)
	go func() {
		if err := g.node.Serve(work, listeners[2]); err != nil && work.Err() == nil {
			g.log.WithField("reason", err.Error()).Error("peer listener failed")
		}
	}()
	front := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.callers.connState, ConnContext: g.callers.connContext, ErrorLog: nil,
	}
	failed := make(chan error, 3)
	serve(front, callerListener{Listener: listeners[0], callers: g.callers}, failed)
	serve(&http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}, listeners[1], failed)
	serve(&http.Server{Handler: g.metrics.handler(g), ReadHeaderTimeout: headerTimeout}, listeners[3], failed)
	select {
	case <-ctx.Done():
		g.stop(front, listeners[0])
	case err = <-failed:
	}
	stopWork()
	<-stopped
	g.log.WithField("count", g.active.Load()).Info("instance stopped")
	return err
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("listener %s: %w", l.Addr(), err)
		}
	}()
}

func listen(addrs ...string) ([]net.Listener, error) {
	out := make([]net.Listener, 0, len(addrs))
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		out = append(out, l)
	}
	return out, nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ready reports whether the instance accepts callers. It stays ready during a store outage, since other
// instances would serve callers no better. It is not ready while it is isolated from the other instances, since
// these can serve callers, while it reaches no endpoint, not even through a peer, and after its start until a peer can
// tell it which requests are quarantined.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.view.complete() && !g.ledger.Isolated() && g.reachesEndpoints() &&
		(g.metPeers.Load() || time.Since(g.startedAt) > meetTimeout || g.meetPeers())
}

// meetPeers notes when the instance has met peers after its start.
func (g *Gateway) meetPeers() bool {
	met := g.ledger.MetPeers()
	if met {
		g.metPeers.Store(true)
	}
	return met
}

// worker runs a function under the supervisor.
type worker struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (w worker) Serve(ctx context.Context) error { return w.run(ctx) }

// String implements fmt.Stringer.
func (w worker) String() string { return w.name }

func (g *Gateway) add(supervisor *suture.Supervisor, name string, run func(context.Context) error) {
	supervisor.Add(worker{name: name, run: run})
}

func (g *Gateway) logSupervisorEvent(e suture.Event) {
	g.log.WithField("reason", e.String()).Error("supervised worker failed")
}

// fetchFromPeers gets the configuration, the endpoint list and the holders of the history partitions from peers
// while this instance cannot read them from the store. It gets only the proof that the configuration is the newest one
// when its own gets old, whether or not the store answers otherwise.
func (g *Gateway) fetchFromPeers(ctx context.Context) error {
	for {
		known := g.view.complete()
		pause := peerFetchInterval
		if known {
			pause = peerRefetchInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		g.view.noteProof(g.settings.maxKnownAge())
		have := g.view.have()
		proofOnly := known && !g.storeDep.lost() || !g.storeDep.failing()
		if proofOnly {
			if !g.needsProof() {
				continue
			}
			have = g.view.proofQuestion()
		}
		g.dialSeeds(ctx)
		asked := g.view.clock()
		for _, v := range g.peerViews(ctx, have) {
			if g.view.applyPeerView(v.StoreView, string(v.from)) {
				g.view.confirmByPeer(v.StoreView, string(v.from), asked)
			}
			if !proofOnly { // the ledger reads the holders from the store
				g.ledger.LearnHolders(v.Claims)
			}
		}
	}
}

// peerView is what a peer knows of the configuration, the endpoints and the holders of partitions.
type peerView struct {
	wire.StoreView
	from id.Session
}

// peerViews asks some peers for what this instance lacks and returns their answers, the newest first. Peers may be
// cut off from the store too, so that the first answer to arrive can be out of date.
func (g *Gateway) peerViews(ctx context.Context, have wire.StoreViewGet) []peerView {
	remotes := g.node.Connected()
	rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
	remotes = remotes[:min(len(remotes), peerFetchTries)]
	ctx, cancel := context.WithTimeout(ctx, peerFetchInterval)
	defer cancel()
	answers := make(chan *peerView, len(remotes))
	for _, r := range remotes {
		go func() { answers <- g.askPeerView(ctx, r.Session, have) }()
	}
	var views []peerView
	for range remotes {
		if v := <-answers; v != nil {
			views = append(views, *v)
		}
	}
	slices.SortFunc(views, func(a, b peerView) int {
		return cmp.Or(cmp.Compare(b.EndpointOffset, a.EndpointOffset), cmp.Compare(a.Age, b.Age))
	})
	return views
}

func (g *Gateway) askPeerView(ctx context.Context, from id.Session, have wire.StoreViewGet) *peerView {
	reply, err := g.node.Request(ctx, from, have)
	if err != nil {
		g.log.WithFields(logrus.Fields{"peer": string(from), "reason": err.Error()}).Debug("peer did not return its configuration and endpoints")
		return nil
	}
	v, ok := reply.(wire.StoreView)
	if !ok {
		g.log.WithFields(logrus.Fields{"peer": string(from), "name": reply.Kind().String()}).Warn("unexpected reply of a peer")
		return nil
	}
	return &peerView{StoreView: v, from: from}
}

// dialSeeds connects to the seed addresses if no peer is connected.
func (g *Gateway) dialSeeds(ctx context.Context) {
	if len(g.node.Connected()) > 0 {
		return
	}
	for _, addr := range g.settings.Seeds {
		if addr == g.settings.advertisedAddr() {
			continue
		}
		if err := g.node.DialSeed(ctx, addr); err != nil {
			g.log.WithFields(logrus.Fields{"remote": addr, "reason": err.Error()}).Info("cannot connect to seed")
		}
	}
}

func (g *Gateway) housekeeping(ctx context.Context) error {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			g.pool.Prune(now)
			g.prefixes.prune(now)
			g.affinity.prune(now)
			g.pruneQueues()
			g.mu.Lock()
			g.quarantine.Prune(now)
			g.relays.Prune(now)
			g.mu.Unlock()
		}
	}
}

// reportLoad periodically broadcasts to peers how many requests this instance runs at each endpoint. After the
// last request has ended it sends one empty report, so that peers drop the old one.
func (g *Gateway) reportLoad(ctx context.Context) error {
	tick := time.NewTicker(loadReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			g.mu.Lock()
			now := time.Now()
			g.shareRoom(now)
			own := g.balancer.LocalLoads(now)
			turns := g.ownTurns()
			limits := g.takeNewLimits(now)
			cutOff := g.noteCutOff()
			leaving := g.recentLeaving(now)
			teams, heard := g.reportTeams(now)
			due := len(teams) > 0 || len(own) > 0 || turns.Waiting > 0 || len(limits) > 0 || len(leaving) > 0 || cutOff || g.reportedLoad
			g.reportedLoad = len(teams) > 0 || len(own) > 0 || turns.Waiting > 0 || cutOff
			g.mu.Unlock()
			if !due {
				continue
			}
			report := wire.LoadReport{Endpoints: make([]wire.EndpointLoad, 0, len(own)), Waiting: turns.Waiting, Begun: turns.Begun, Limits: limits, CutOff: cutOff, Leaving: leaving, Teams: teams, Heard: heard}
			for id, load := range own {
				report.Endpoints = append(report.Endpoints, wire.EndpointLoad{ID: id, Running: load.Running, Overdue: load.Overdue})
			}
			if _, err := g.node.Broadcast(report); err != nil {
				g.log.WithField("reason", err.Error()).Warn("cannot send load report")
			}
		}
	}
}

// peerHandler handles messages and requests from peers.
type peerHandler Gateway

// Connected implements peer.Handler.
func (h *peerHandler) Connected(r peer.Remote) {
	h.quotas.peerConnected(r.Session.Instance())
	h.ledger.Connected(r)
	(*Gateway)(h).sendCrashes(r.Session)
}

// Disconnected implements peer.Handler.
func (h *peerHandler) Disconnected(peer.Remote, error) {}

// Receive implements peer.Handler.
func (h *peerHandler) Receive(r peer.Remote, m wire.Message) {
	switch m := m.(type) {
	case wire.GroupChanged:
		if m.Stopping {
			h.quotas.peerLeaves(r.Session.Instance())
		}
		h.ledger.HandleGroupChanged(r, m)
	case wire.PartitionClaims:
		h.ledger.HandlePartitionClaims(m)
	case wire.HistoryStored:
		h.ledger.HandleStored(m)
	case wire.HistoryOffer:
		h.ledger.HandleOffer(r, m)
	case wire.LoadReport:
		loads := make(map[string]balance.Load, len(m.Endpoints))
		for _, e := range m.Endpoints {
			loads[e.ID] = balance.Load{Running: e.Running, Overdue: e.Overdue}
		}
		h.mu.Lock()
		if m.CutOff {
			h.relays.Refused(r.Session, time.Now())
		} else {
			h.relays.Recovered(r.Session)
		}
		h.balancer.SetPeerReport(r.Session.Instance(), balance.Report{Zone: r.Zone, Loads: loads, Turns: balance.Turns{Waiting: m.Waiting, Begun: m.Begun}}, time.Now())
		(*Gateway)(h).learnTeams(r.Session.Instance(), m, time.Now())
		h.mu.Unlock()
		for _, limit := range m.Limits {
			(*Gateway)(h).learnLimit(limit)
		}
		for _, e := range m.Leaving {
			(*Gateway)(h).learnLeaving(e, "peer")
		}
	case wire.RequestCrashes:
		(*Gateway)(h).receiveCrashes(m)
	default:
		h.log.WithFields(logrus.Fields{"peer": string(r.Session), "name": m.Kind().String()}).Debug("ignoring peer message of unexpected kind")
	}
}

// Serve implements peer.Handler.
func (h *peerHandler) Serve(ctx context.Context, remote peer.Remote, m wire.Message, r *peer.Replier) error {
	if get, ok := m.(wire.StoreViewGet); ok {
		b := h.view.snapshot(get)
		b.Claims = h.ledger.Holders()
		return r.SendLast(ctx, b)
	}
	if request, ok := m.(wire.EndpointRequest); ok {
		return (*Gateway)(h).serveRelay(ctx, request, r)
	}
	if probe, ok := m.(wire.EndpointProbe); ok {
		return (*Gateway)(h).serveProbe(ctx, probe, r)
	}
	if get, ok := m.(wire.SendPermitGet); ok {
		permit, err := (*Gateway)(h).issuePermit(get)
		if err != nil {
			return err
		}
		return r.SendLast(ctx, permit)
	}
	if get, ok := m.(wire.QuotaGet); ok {
		lease, err := h.quotas.grant(get, remote.Session.Instance())
		if err != nil {
			return err
		}
		return r.SendLast(ctx, lease)
	}
	known, err := h.ledger.HandleRequest(ctx, m, r)
	if !known {
		return wire.Error{Code: wire.CodeUnsupported, Detail: m.Kind().String()}
	}
	return err
}
