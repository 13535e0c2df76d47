// Package server runs one instance: it connects the cores of the project, which decide, with the
// sockets, timers and clients that carry their decisions out.
//
// One goroutine, the core loop, owns the state of all cores. Everything else posts events to it.
// An Instance can run several times in one process, each with its own addresses.
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

// Streams of the log.
const (
	streamConfig   = "config"
	streamPrograms = "programs"
)

const (
	// stopTimeout is how long the supervisor waits for a service to return.
	stopTimeout = 5 * time.Second
	// nonceBytes is the length of the random part of a session name.
	nonceBytes = 10
	// headerTimeout ends connections of callers that send no request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a caller request.
	maxHeaderBytes = 32 << 10
)

// Instance is one running process of the deployment.
type Instance struct {
	cfg     Config
	session id.Session
	epoch   time.Time // origin of the time that the cores see
	log     telemetry.EventLog

	ctx    context.Context // ends when the instance stops
	cancel context.CancelFunc

	node     *peer.Node
	copies   *copyStore
	programs *logservice.Appender
	configs  *logservice.Appender
	engines  *endpoints
	httpCl   *http.Client
	core     *core
	front    *http.Server
	view     atomic.Pointer[view]
	metrics  *instanceMetrics
	observer *observer

	httpListener net.Listener
	peerListener net.Listener

	mayDispatch  atomic.Int64 // end of the time for requests that may not be repeated, on the clock of now
	reconcileNow atomic.Bool  // compare the engines' caches at the next poll

	gate    sync.RWMutex // held while the instance is paused; work outside the loop passes through it
	stopped chan struct{}
	started atomic.Bool
	fatal   atomic.Pointer[error]
}

// New checks the settings, opens the listeners and returns an instance that is not started.
func New(cfg Config) (*Instance, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	i := &Instance{
		cfg:     cfg,
		session: id.Session(cfg.Instance + "." + strings.ToLower(rand.Text()[:nonceBytes])),
		epoch:   time.Now(),
		copies:  newCopyStore(),
		stopped: make(chan struct{}),
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

// connect builds the clients and the core.
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
	i.httpCl = newHTTPClient()
	logClient := logservice.NewLogClient(i.cfg.LogURL, i.httpCl)
	i.programs, err = i.newAppender(logClient, streamPrograms)
	if err != nil {
		return err
	}
	i.configs, err = i.newAppender(logClient, streamConfig)
	if err != nil {
		return err
	}
	i.engines = newEndpoints(i)
	i.metrics = newInstanceMetrics(i)
	i.front = &http.Server{
		Handler:           api.New(i, i.cfg.OperatorDigest),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return i.ctx },
		ErrorLog:          stdlog.New(httpErrors{i.log}, "", 0),
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
		cfg.Down = func(down bool) { i.core.events.post(func() { i.core.logState(down) }) }
	}
	return logservice.NewAppender(cfg)
}

// newHTTPClient returns the client for the platform, engines and services. Connections to endpoints
// are kept, since every call goes to one of a few.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy:               nil,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// now returns the time that the cores see.
func (i *Instance) now() time.Duration { return time.Since(i.epoch) }

// Session returns the session of this run.
func (i *Instance) Session() id.Session { return i.session }

// HTTPAddr returns the address of the callers' front.
func (i *Instance) HTTPAddr() string { return i.httpListener.Addr().String() }

// PeerAddr returns the address of the peer protocol.
func (i *Instance) PeerAddr() string { return i.peerListener.Addr().String() }

// Stopped is closed when the instance has stopped for any cause.
func (i *Instance) Stopped() <-chan struct{} { return i.stopped }

// Start runs the instance until Drain, Kill or a failure that it cannot recover from.
func (i *Instance) Start() {
	if !i.started.CompareAndSwap(false, true) {
		return
	}
	root := i.tree()
	go func() {
		defer close(i.stopped)
		err := root.Serve(i.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			i.log.Error("instance_failed", telemetry.Err(err))
		}
		i.cancel()
		i.closeListeners()
		_ = i.front.Close()
		i.httpCl.CloseIdleConnections()
		i.engines.wait()
	}()
}

// Kill stops the instance as the end of its process would: nothing is finished or handed over.
func (i *Instance) Kill() {
	i.cancel()
	i.closeListeners()
	_ = i.front.Close()
	if i.started.Load() {
		<-i.stopped
	}
}

// Err returns why the instance stopped by itself, or nil.
func (i *Instance) Err() error {
	if p := i.fatal.Load(); p != nil {
		return *p
	}
	return nil
}

// fail stops the instance because of an error that makes its state unusable.
func (i *Instance) fail(err error) {
	i.fatal.CompareAndSwap(nil, &err)
	i.log.Error("instance_failed", telemetry.Err(err))
	i.cancel()
}

// Pause stops the loop and everything that it started, as a stopped process would, until the
// returned function is called. It is meant for tests.
func (i *Instance) Pause() (resume func()) {
	release, blocked := make(chan struct{}), make(chan struct{})
	i.gate.Lock()
	i.core.events.post(func() {
		close(blocked)
		<-release
	})
	<-blocked
	var once sync.Once
	return func() {
		once.Do(func() {
			close(release)
			i.gate.Unlock()
		})
	}
}

// passGate waits while the instance is paused.
func (i *Instance) passGate() {
	i.gate.RLock()
	defer i.gate.RUnlock()
}

// tree returns the supervisor of all services of the instance.
func (i *Instance) tree() *suture.Supervisor {
	spec := suture.Spec{EventHook: i.supervisorEvent, Timeout: stopTimeout, FailureBackoff: time.Second}
	root := suture.New("instance "+string(i.session), spec)
	add := func(name string, services ...suture.Service) {
		s := suture.New(name, spec)
		for _, service := range services {
			s.Add(service)
		}
		root.Add(s)
	}
	add("platform", i.programs, i.configs, i.tailer(streamConfig), i.tailer(streamPrograms), i.listClient())
	add("peers", &peerService{i})
	// A panic of the loop ends the process: a core that stopped halfway through an event must not
	// go on with the state that it left.
	loops := suture.New("core loops", suture.Spec{EventHook: i.supervisorEvent, Timeout: stopTimeout, PassThroughPanics: true})
	loops.Add(coreLoop{i.core})
	root.Add(loops)
	add("front", &frontService{i}, &pollers{i: i})
	return root
}

func (i *Instance) supervisorEvent(e suture.Event) {
	if i.ctx.Err() != nil {
		return
	}
	i.log.Warn("supervisor_event", telemetry.Reason(supervisorReason(e)))
}

// frontService serves callers.
type frontService struct{ i *Instance }

// Serve implements suture.Service.
func (s *frontService) Serve(ctx context.Context) error {
	err := s.i.front.Serve(newFrontListener(s.i.httpListener, s.i.cfg.HTTPTLS))
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	s.i.fail(fmt.Errorf("callers' front: %w", err))
	return err
}

// String names the service in the supervisor's log.
func (s *frontService) String() string { return "front" }

// peerService accepts and keeps connections with other instances.
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

// String names the service in the supervisor's log.
func (s *peerService) String() string { return "peers" }
