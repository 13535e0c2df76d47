// Package gateway serves callers of the users' platform: it routes requests to endpoints, keeps the
// history and the budget of programs, and follows the lists of operators and endpoints.
//
// Everything that must last lies in the store; an instance may vanish at any time. What the platform's
// wire looks like is told by a Protocol.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/id"
	"ragwortstile/internal/ledger"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/upstream"
	"ragwortstile/internal/wire"
)

const (
	// headerTimeout and idleTimeout are above what operators allow callers, whose clients keep to less.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// readyLag is how long the balancer may take to see that an instance takes no new callers: two
	// questions, a second apart, and one on its way.
	readyLag = 2500 * time.Millisecond
	// stopMargin is left of the grace period when the last connections are closed.
	stopMargin = 700 * time.Millisecond
	// peerIdle closes connections of peers that went silent.
	peerIdle = time.Second
	// borrowEvery is the time between questions to peers while an instance that has just started cannot
	// read the store.
	borrowEvery = 150 * time.Millisecond
	// borrowAgain is the same for an instance that has beliefs, and borrowTries the number of peers asked.
	borrowAgain = 400 * time.Millisecond
	borrowTries = 3
	// reportEvery is the time between reports of load to peers.
	reportEvery = 100 * time.Millisecond
	pruneEvery  = time.Second
)

// Gateway is one instance.
type Gateway struct {
	settings Settings
	protocol Protocol
	log      logrus.FieldLogger
	beliefs  *beliefs
	ledger   *ledger.Ledger
	node     *peer.Node
	pool     *upstream.Pool
	chains   *chainCache
	affinity *affinity
	metrics  *counters
	storeDep *dependency

	active   atomic.Int64
	stopping atomic.Bool

	mu       sync.Mutex
	balancer *balance.Balancer
	lastLoad bool // the last report had load
}

// New returns a Gateway. nonce sets this run apart from others of the instance.
func New(s Settings, protocol Protocol, lists Lists, store Store, log logrus.FieldLogger, nonce string) (*Gateway, error) {
	g := &Gateway{
		settings: s, protocol: protocol, log: log,
		pool: upstream.NewPool(), chains: newChainCache(), affinity: newAffinity(), metrics: newCounters(),
		balancer: balance.New(s.Zone, uint64(time.Now().UnixNano())),
		storeDep: &dependency{name: "store", log: log},
	}
	keys, err := peer.NewKeyring(s.PeerKey)
	if err != nil {
		return nil, fmt.Errorf("peer key: %w", err)
	}
	g.node, err = peer.New(peer.Config{
		Session: id.Session(s.Instance + "." + nonce), Zone: s.Zone, Handler: (*peerHandler)(g), Log: log,
		Keys: keys, IdleTimeout: peerIdle, MaxBackoff: time.Second,
	})
	if err != nil {
		return nil, err
	}
	g.ledger = ledger.New(ledger.Config{
		Instance: s.Instance, PeerAddr: s.visibleToPeers(), Zone: s.Zone, Parts: s.StoreParts, MaxCallBytes: s.StoreCallBytes,
		MinTTL: s.StoreMinTTL, Store: store, Node: g.node, Log: log, OnStoreResult: g.storeDep.result,
	})
	g.beliefs = newBeliefs(lists, store, log, g.storeDep)
	g.beliefs.onConfig = func(t *routing.Table) { g.ledger.SetRetention(t.MaxRetention()) }
	g.beliefs.onEndpoints = func(listed, addrs map[string]bool) {
		g.pool.Forget(addrs)
		g.mu.Lock()
		g.balancer.Prune(listed, time.Now())
		g.mu.Unlock()
	}
	return g, nil
}

// Run serves until the context ends, and then until callers have their answers or the grace period is
// over.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.WithFields(logrus.Fields{"instance": g.settings.Instance, "zone": g.settings.Zone, "listen": g.settings.FrontAddr}).Info("instance starts")
	listeners, err := listen(g.settings.FrontAddr, g.settings.ReadyAddr, g.settings.PeerAddr, g.settings.MetricsAddr)
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	tree := suture.New("instance", suture.Spec{EventHook: g.supervised, Timeout: time.Second})
	g.add(tree, "configuration", func(ctx context.Context) error { return g.beliefs.followConfig(ctx, g.settings.ConfigWithin) })
	g.add(tree, "endpoints", func(ctx context.Context) error { return g.beliefs.followEndpoints(ctx, g.settings.LeaveWithin) })
	g.add(tree, "ledger", g.ledger.Serve)
	g.add(tree, "borrowed beliefs", g.borrow)
	g.add(tree, "housekeeping", g.housekeeping)
	g.add(tree, "load reports", g.reportLoad)
	stopped := tree.ServeBackground(work)
	go func() {
		if err := g.node.Serve(work, listeners[2]); err != nil && work.Err() == nil {
			g.log.WithField("reason", err.Error()).Error("listener of peers ended")
		}
	}()
	front := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}
	failed := make(chan error, 3)
	serve(front, listeners[0], failed)
	serve(&http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}, listeners[1], failed)
	serve(&http.Server{Handler: g.metrics.handler(g), ReadHeaderTimeout: headerTimeout}, listeners[3], failed)
	select {
	case <-ctx.Done():
		g.stop(front)
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

// stop ends the work in order: new callers go elsewhere, partitions are given up, those who are here get
// their answers.
func (g *Gateway) stop(front *http.Server) {
	ends := time.Now().Add(g.settings.StopGrace - stopMargin)
	g.stopping.Store(true)
	g.log.WithField("count", g.active.Load()).Info("instance stops, callers are sent elsewhere")
	g.ledger.Leave(context.Background())
	time.Sleep(min(readyLag, g.settings.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		g.log.WithFields(logrus.Fields{"count": g.active.Load(), "reason": err.Error()}).Warn("grace period is over with requests under way")
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ready tells whether the instance takes callers. An outage of the store changes nothing, since others would
// not serve them better; they do when this instance is cut off from them.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.beliefs.known() && !g.ledger.Isolated()
}

// service runs a function as a supervised service.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String implements fmt.Stringer.
func (s service) String() string { return s.name }

func (g *Gateway) add(tree *suture.Supervisor, name string, run func(context.Context) error) {
	tree.Add(service{name: name, run: run})
}

func (g *Gateway) supervised(e suture.Event) {
	g.log.WithField("reason", e.String()).Error("supervised service ended")
}

// borrow gets the configuration, the endpoints and the holders of the history from peers while the store
// doesn't give them to this instance.
func (g *Gateway) borrow(ctx context.Context) error {
	for {
		known := g.beliefs.known()
		pause := borrowEvery
		if known {
			pause = borrowAgain
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if known && !g.storeDep.lost() || !g.storeDep.failing() {
			continue
		}
		g.dialSeeds(ctx)
		remotes := g.node.Connected()
		rand.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
		for _, r := range remotes[:min(len(remotes), borrowTries)] {
			if g.borrowFrom(ctx, r.Session, known) {
				break
			}
		}
	}
}

// borrowFrom takes the beliefs of a peer. Where this instance has some, those of a peer count only if the
// store serves it.
func (g *Gateway) borrowFrom(ctx context.Context, from id.Session, known bool) bool {
	actx, cancel := context.WithTimeout(ctx, borrowEvery)
	defer cancel()
	reply, err := g.node.Request(actx, from, wire.BeliefsGet{})
	if err != nil {
		g.log.WithFields(logrus.Fields{"peer": string(from), "reason": err.Error()}).Debug("beliefs not borrowed")
		return false
	}
	b, ok := reply.(wire.Beliefs)
	if !ok || known && b.Age > g.settings.ConfigWithin {
		return false
	}
	if !g.beliefs.borrow(b, string(from)) {
		return false
	}
	g.ledger.LearnHolders(b.Holding)
	return true
}

// dialSeeds connects with the seeds while no peer is connected.
func (g *Gateway) dialSeeds(ctx context.Context) {
	if len(g.node.Connected()) > 0 {
		return
	}
	for _, addr := range g.settings.Seeds {
		if addr == g.settings.visibleToPeers() {
			continue
		}
		if err := g.node.DialSeed(ctx, addr); err != nil {
			g.log.WithFields(logrus.Fields{"remote": addr, "reason": err.Error()}).Info("seed out of reach")
		}
	}
}

func (g *Gateway) housekeeping(ctx context.Context) error {
	tick := time.NewTicker(pruneEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			g.pool.Prune(now)
			g.chains.prune(now)
			g.affinity.prune(now)
		}
	}
}

// reportLoad tells peers how many requests this instance has at endpoints.
func (g *Gateway) reportLoad(ctx context.Context) error {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			g.mu.Lock()
			own := g.balancer.LocalLoads(time.Now())
			due := len(own) > 0 || g.lastLoad
			g.lastLoad = len(own) > 0
			g.mu.Unlock()
			if !due {
				continue
			}
			report := wire.LoadReport{Endpoints: make([]wire.EndpointLoad, 0, len(own))}
			for id, load := range own {
				report.Endpoints = append(report.Endpoints, wire.EndpointLoad{ID: id, Running: load.Running, Overdue: load.Overdue})
			}
			if _, err := g.node.Broadcast(report); err != nil {
				g.log.WithField("reason", err.Error()).Warn("load report not sent")
			}
		}
	}
}

// peerHandler takes what peers send.
type peerHandler Gateway

// Connected implements peer.Handler.
func (h *peerHandler) Connected(r peer.Remote) { h.ledger.Connected(r) }

// Disconnected implements peer.Handler.
func (h *peerHandler) Disconnected(peer.Remote, error) {}

// Receive implements peer.Handler.
func (h *peerHandler) Receive(r peer.Remote, m wire.Message) {
	switch m := m.(type) {
	case wire.GroupChanged:
		h.ledger.HandleGroupChanged()
	case wire.Holding:
		h.ledger.HandleHolding(m)
	case wire.HistoryKept:
		h.ledger.HandleKept(m)
	case wire.HistoryOffer:
		h.ledger.HandleOffer(r, m)
	case wire.LoadReport:
		loads := make(map[string]balance.Load, len(m.Endpoints))
		for _, e := range m.Endpoints {
			loads[e.ID] = balance.Load{Running: e.Running, Overdue: e.Overdue}
		}
		h.mu.Lock()
		h.balancer.SetPeerLoads(r.Session.Instance(), loads, time.Now())
		h.mu.Unlock()
	default:
		h.log.WithFields(logrus.Fields{"peer": string(r.Session), "name": m.Kind().String()}).Debug("message passed over")
	}
}

// Serve implements peer.Handler.
func (h *peerHandler) Serve(ctx context.Context, _ peer.Remote, m wire.Message, r *peer.Replier) error {
	if _, ok := m.(wire.BeliefsGet); ok {
		b := h.beliefs.snapshot()
		b.Holding = h.ledger.Holders()
		return r.SendLast(ctx, b)
	}
	known, err := h.ledger.HandleRequest(ctx, m, r)
	if !known {
		return wire.Error{Code: wire.CodeUnsupported, Detail: m.Kind().String()}
	}
	return err
}
