// Package server runs one instance of the deployment.
//
// The decisions are made by state machines without I/O, the cores: package program for the programs
// that the instance owns, sched for the pools that it dispatches, membership for liveness and leases,
// and order for commands to engines. Package server feeds them events from sockets, timers and HTTP
// clients and executes the actions that they return.
//
// Instance is the process-level object with its listeners, clients and supervised services. core
// holds the state of all cores; one goroutine, the core loop, owns it, and every other goroutine
// posts functions to the loop's queue (events). Goroutines outside the loop read its state through
// view, an immutable copy that the loop publishes. Several Instances with different addresses can run
// in one process.
package server

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"ragwortstile/internal/api"
	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/telemetry"
)

// Names of the log's streams.
const (
	streamConfig   = "config"
	streamPrograms = "programs"
)

const (
	// stopTimeout is how long the supervisor waits for a service to return after its context has
	// ended.
	stopTimeout = 5 * time.Second
	// nonceLength is the number of random characters in a session name.
	nonceLength = 10
	// headerTimeout bounds how long a caller's connection may take to send a complete request header.
	// Then the connection is closed.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 32 << 10
)

// Instance is one running process of the deployment, created by New and run by Start.
type Instance struct {
	cfg        Config
	session    id.Session
	clockStart time.Time // origin of the time that the cores see
	log        telemetry.EventLog

	ctx    context.Context // canceled when the instance stops
	cancel context.CancelFunc

	node            *peer.Node
	copies          *copyStore
	programAppender *logservice.Appender
	configAppender  *logservice.Appender
	endpoints       *endpoints
	httpClient      *http.Client
	core            *core
	apiServer       *http.Server
	view            atomic.Pointer[view]
	metrics         *instanceMetrics
	observer        *observer

	httpListener net.Listener
	peerListener net.Listener

	dispatchUntil atomic.Int64 // ns on the clock of now; from then on, no non-idempotent request may be written
	reconcileNow  atomic.Bool  // compare the engines' caches at the next poll

	pauseGate sync.RWMutex // write-locked while the instance is paused; goroutines outside the loop wait on it
	stopped   chan struct{}
	started   atomic.Bool
	fatal     atomic.Pointer[error]
}

// New checks the settings, opens the listeners and returns an instance that is not started.
func New(cfg Config) (*Instance, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	i := &Instance{
		cfg:        cfg,
		session:    id.Session(cfg.Instance + "." + strings.ToLower(rand.Text()[:nonceLength])),
		clockStart: time.Now(),
		copies:     newCopyStore(),
		stopped:    make(chan struct{}),
	}
	i.log = telemetry.NewEventLog(cfg.Log).With(telemetry.Instance(i.session))
	i.observer = newObserver(i)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	if err := i.listen(); err != nil {
		i.cancel()
		return nil, err
	}
	if err := i.connect(); err != nil {
		i.closeListeners()
		i.cancel()
		return nil, err
	}
	return i, nil
}

func (i *Instance) listen() error {
	var err error
	i.httpListener, i.peerListener = i.cfg.HTTPListener, i.cfg.PeerListener
	if i.httpListener == nil {
		if i.httpListener, err = net.Listen("tcp", i.cfg.HTTPListen); err != nil {
			return fmt.Errorf("http-listen: %w", err)
		}
	}
	if i.peerListener == nil {
		if i.peerListener, err = net.Listen("tcp", i.cfg.PeerListen); err != nil {
			_ = i.httpListener.Close()
			return fmt.Errorf("peer-listen: %w", err)
		}
	}
	return nil
}

func (i *Instance) closeListeners() {
	_ = i.httpListener.Close()
	_ = i.peerListener.Close()
}

// connect creates the clients and the core.
func (i *Instance) connect() error {
	var err error
	i.core = newCore(i)
	i.node, err = peer.New(peer.Config{
		Session:      i.session,
		Zone:         i.cfg.Zone,
		Handler:      &peerHandler{inst: i},
		Log:          i.cfg.Log.WithField("instance", string(i.session)),
		Keys:         i.cfg.Keys,
		Certificates: i.cfg.Certificates,
	})
	if err != nil {
		return err
	}
	i.httpClient = newHTTPClient()
	logClient := logservice.NewLogClient(i.cfg.LogURL, i.httpClient)
	i.programAppender, err = i.newAppender(logClient, streamPrograms)
	if err != nil {
		return err
	}
	i.configAppender, err = i.newAppender(logClient, streamConfig)
	if err != nil {
		return err
	}
	i.endpoints = newEndpoints(i)
	i.metrics = newInstanceMetrics(i)
	i.apiServer = &http.Server{
		Handler:           api.New(i, i.cfg.OperatorDigest),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return i.ctx },
		ErrorLog:          stdlog.New(httpErrorLog{i.log}, "", 0),
	}
	return nil
}

func (i *Instance) newAppender(client *logservice.LogClient, stream string) (*logservice.Appender, error) {
	cfg := logservice.AppenderConfig{
		Client:  client,
		Stream:  stream,
		Session: i.session,
		Written: func(records, bytes int) { i.observer.metrics.Appended(records, bytes, true) },
		Failed: func(err error) {
			i.observer.metrics.Appended(0, 0, false)
			i.log.Debug("append_failed", telemetry.Stream(stream), telemetry.Err(err))
		},
	}
	if stream == streamPrograms {
		cfg.Down = func(down bool) { i.core.events.post(func() { i.core.setLogDown(down) }) }
	}
	return logservice.NewAppender(cfg)
}

// newHTTPClient returns the HTTP client for the log, the instance list and the weight store. It keeps
// idle connections, because all requests go to a few hosts.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// now returns the time since the instance was created, on the monotonic clock. All cores use it.
func (i *Instance) now() time.Duration { return time.Since(i.clockStart) }

// Session returns the session, which identifies this run of the process.
func (i *Instance) Session() id.Session { return i.session }

// HTTPAddr returns the address of the HTTP API.
func (i *Instance) HTTPAddr() string { return i.httpListener.Addr().String() }

// PeerAddr returns the address of the peer protocol.
func (i *Instance) PeerAddr() string { return i.peerListener.Addr().String() }

// Stopped returns a channel that is closed when the instance has stopped for any reason.
func (i *Instance) Stopped() <-chan struct{} { return i.stopped }

// Start runs the instance in the background until Drain, Kill or a failure that it cannot recover
// from.
func (i *Instance) Start() {
	if !i.started.CompareAndSwap(false, true) {
		return
	}
	root := i.newSupervisor()
	go func() {
		defer close(i.stopped)
		err := root.Serve(i.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			i.log.Error("instance_failed", telemetry.Err(err))
		}
		i.cancel()
		i.closeListeners()
		_ = i.apiServer.Close()
		i.httpClient.CloseIdleConnections()
		i.endpoints.close()
	}()
}

// Kill stops the instance abruptly, as the end of its process would: no request is finished and no
// slot is handed over.
func (i *Instance) Kill() {
	i.cancel()
	i.closeListeners()
	_ = i.apiServer.Close()
	if i.started.Load() {
		<-i.stopped
	}
}

// Err returns the error that stopped the instance, or nil if none did.
func (i *Instance) Err() error {
	if p := i.fatal.Load(); p != nil {
		return *p
	}
	return nil
}

// fail stops the instance after an error that leaves its state unusable.
func (i *Instance) fail(err error) {
	i.fatal.CompareAndSwap(nil, &err)
	i.log.Error("instance_failed", telemetry.Err(err))
	i.cancel()
}

// Pause suspends the core loop and the goroutines that act for it, as a SIGSTOP of the process would,
// until the returned function is called. It is meant for tests.
func (i *Instance) Pause() (resume func()) {
	release, blocked := make(chan struct{}), make(chan struct{})
	i.pauseGate.Lock()
	i.core.events.post(func() {
		close(blocked)
		<-release
	})
	<-blocked
	var once sync.Once
	return func() {
		once.Do(func() {
			close(release)
			i.pauseGate.Unlock()
		})
	}
}

// waitWhilePaused blocks while the instance is paused. Goroutines outside the core loop call it
// before they act on the outside world or deliver a result.
func (i *Instance) waitWhilePaused() {
	i.pauseGate.RLock()
	defer i.pauseGate.RUnlock()
}

// newSupervisor returns the supervisor of all services of the instance.
func (i *Instance) newSupervisor() *suture.Supervisor {
	spec := suture.Spec{EventHook: i.supervisorEvent, Timeout: stopTimeout, FailureBackoff: time.Second}
	root := suture.New("instance "+string(i.session), spec)
	add := func(name string, services ...suture.Service) {
		s := suture.New(name, spec)
		for _, service := range services {
			s.Add(service)
		}
		root.Add(s)
	}
	add("platform", i.programAppender, i.configAppender, i.newTailer(streamConfig), i.newTailer(streamPrograms), i.newListClient())
	add("peers", &peerService{i})
	// A panic in the core loop ends the process. A core that stopped halfway through an event has
	// inconsistent state, and a restarted loop would continue with it.
	loops := suture.New("core loops", suture.Spec{EventHook: i.supervisorEvent, Timeout: stopTimeout, PassThroughPanics: true})
	loops.Add(coreLoop{i.core})
	root.Add(loops)
	add("front", &apiService{i}, &pollers{i: i})
	return root
}

func (i *Instance) supervisorEvent(e suture.Event) {
	if i.ctx.Err() != nil {
		return
	}
	i.log.Warn("supervisor_event", telemetry.Reason(supervisorReason(e)))
}

// apiService serves the HTTP API to callers.
type apiService struct{ i *Instance }

// Serve implements suture.Service.
func (s *apiService) Serve(ctx context.Context) error {
	err := s.i.apiServer.Serve(newAPIListener(s.i.httpListener, s.i.cfg.HTTPTLS))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	s.i.fail(fmt.Errorf("HTTP API server: %w", err))
	return err
}

// String returns the service's name for the supervisor's log.
func (s *apiService) String() string { return "front" }

// peerService accepts connections from other instances and maintains those to them.
type peerService struct{ i *Instance }

// Serve implements suture.Service.
func (s *peerService) Serve(ctx context.Context) error {
	err := s.i.node.Serve(ctx, s.i.peerListener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.i.fail(fmt.Errorf("peer listener: %w", err))
	return err
}

// String returns the service's name for the supervisor's log.
func (s *peerService) String() string { return "peers" }
