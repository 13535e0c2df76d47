// Package trial runs a whole deployment on loopback in one process, for the demo, the standin command
// and tests; production code does not use it. A Deployment serves stand-ins (simulated servers) for the
// platform, the engines and the services, and runs any number of instances. A Caller sends requests to
// the instances as a client of a team does, and RunProgram runs an example program with it.
package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/api"
	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/publish"
	"ragwortstile/internal/server"
	"ragwortstile/internal/standin"
	"ragwortstile/internal/standin/enginestand"
	"ragwortstile/internal/standin/liststand"
	"ragwortstile/internal/standin/logstand"
	"ragwortstile/internal/standin/servicestand"
	"ragwortstile/internal/standin/weightstand"
)

// OperatorKey is the operator's bearer key of trial deployments.
const OperatorKey = "operator-demo-key"

// PeerKey is the pre-shared key with which instances of trial deployments authenticate each other.
const PeerKey = "trial deployments on loopback only"

// Settings are the settings of a Deployment.
type Settings struct {
	Manifest *manifest.Manifest
	// FixedPorts serves engines and services at the addresses in the manifest. Otherwise they listen
	// on free ports, and Start writes their URLs into the manifest.
	FixedPorts bool
	// LogAddr, ListAddr and WeightsAddr are the listen addresses of the platform's stand-ins; empty: free ports.
	LogAddr, ListAddr, WeightsAddr string
	LogRate                        float64                                 // appends per second; 0: no limit
	Retention                      time.Duration                           // how long the log keeps a record; 0: forever
	ListLag                        time.Duration                           // age of the state that the list returns
	Engine                         func(name string) enginestand.Settings  // nil: defaults
	Service                        func(name string) servicestand.Settings // nil: defaults
	Logger                         *logrus.Logger                          // nil: nothing is logged
	// ConfigureInstance changes the settings of an instance before it starts. It may be nil.
	ConfigureInstance func(*server.Config)
}

// Deployment is a running deployment: the stand-ins and the instances.
type Deployment struct {
	Log      *logstand.Log
	List     *liststand.List
	Weights  *weightstand.Store
	Engines  map[string]*enginestand.Engine
	Services map[string]*servicestand.Service
	Manifest *manifest.Manifest

	settings      Settings
	logServer     *standinServer
	listServer    *standinServer
	weightsServer *standinServer

	mu              sync.Mutex
	endpointServers map[string]*standinServer // of engines and services, by endpoint name
	instances       map[string]*server.Instance
	instanceNames   []string // in the order of their first start
	version         uint64   // manifest version that Publish published last
}

// standinServer serves the HTTP handler of a stand-in on loopback.
type standinServer struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

func serveAt(addr string, h http.Handler) (*standinServer, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &standinServer{listener: l, done: make(chan struct{})}
	s.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

func (s *standinServer) url() string { return "http://" + s.listener.Addr().String() }

func (s *standinServer) close() {
	if s == nil {
		return
	}
	_ = s.server.Close()
	<-s.done
}

// Start starts the stand-ins of a deployment without instances; AddInstances adds those.
func Start(s Settings) (*Deployment, error) {
	if s.Logger == nil {
		s.Logger = logrus.New()
		s.Logger.SetOutput(io.Discard)
	}
	d := &Deployment{
		Log:             logstand.New(logstand.Settings{Retention: s.Retention, Rate: s.LogRate}),
		List:            liststand.New(standin.Scale(1), s.ListLag),
		Weights:         weightstand.New(standin.Scale(1), time.Second, 2),
		Engines:         map[string]*enginestand.Engine{},
		Services:        map[string]*servicestand.Service{},
		Manifest:        s.Manifest,
		settings:        s,
		endpointServers: map[string]*standinServer{},
		instances:       map[string]*server.Instance{},
	}
	var err error
	if d.logServer, err = serveAt(s.LogAddr, d.Log); err != nil {
		return nil, err
	}
	if d.listServer, err = serveAt(s.ListAddr, d.List); err != nil {
		d.Close()
		return nil, err
	}
	if d.weightsServer, err = serveAt(s.WeightsAddr, d.Weights); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.serveEndpoints(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// serveEndpoints starts a stand-in for each endpoint of the manifest and adds it to the list.
func (d *Deployment) serveEndpoints() error {
	kinds := map[string]manifest.PoolKind{}
	for _, p := range d.Manifest.Pools {
		kinds[p.Name] = p.Kind
	}
	for n := range d.Manifest.Endpoints {
		ep := &d.Manifest.Endpoints[n]
		var h http.Handler
		if kinds[ep.Pool] == manifest.PoolModel {
			h = d.newEngine(ep)
		} else {
			h = d.newService(ep)
		}
		addr := ""
		if d.settings.FixedPorts {
			u, err := url.Parse(ep.URL)
			if err != nil {
				return fmt.Errorf("endpoint %s: %w", ep.Name, err)
			}
			addr = u.Host
		}
		s, err := serveAt(addr, h)
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", ep.Name, err)
		}
		d.endpointServers[ep.Name] = s
		ep.URL = s.url()
		d.List.PutEndpoint(logservice.Endpoint{Name: ep.Name, Zone: ep.Zone, URL: ep.URL, State: logservice.StateLive})
	}
	return nil
}

func (d *Deployment) newEngine(ep *manifest.Endpoint) http.Handler {
	var s enginestand.Settings
	if d.settings.Engine != nil {
		s = d.settings.Engine(ep.Name)
	}
	if s.CacheTokens == 0 {
		s.CacheTokens = ep.CacheTokens
	}
	e := enginestand.New(s)
	d.Engines[ep.Name] = e
	return e
}

// LogURL returns the base URL of the log.
func (d *Deployment) LogURL() string { return d.logServer.url() }

// ListURL returns the base URL of the list of live instances and endpoints.
func (d *Deployment) ListURL() string { return d.listServer.url() }

// WeightsURL returns the base URL of the weight store.
func (d *Deployment) WeightsURL() string { return d.weightsServer.url() }

// Publish publishes the manifest to the log as the next version.
func (d *Deployment) Publish(ctx context.Context) error {
	version, err := publish.Publish(ctx, logservice.NewLogClient(d.LogURL(), http.DefaultClient), publish.Request{
		Expected: d.version, Data: d.Manifest.Canonical(), Digest: d.Manifest.Digest(), Operator: "trial",
	})
	if err == nil {
		d.version = version
	}
	return err
}

// InstanceSpec is the name and the availability zone of an instance to start.
type InstanceSpec struct{ Name, Zone string }

// AddInstances creates the instances and starts them when all are on the list, so that each one sees
// the others in its first read of the list.
func (d *Deployment) AddInstances(specs ...InstanceSpec) error {
	var created []*server.Instance
	for _, spec := range specs {
		i, err := d.newInstance(spec)
		if err != nil {
			for _, m := range created {
				m.Kill()
			}
			return err
		}
		created = append(created, i)
	}
	for _, i := range created {
		i.Start()
	}
	return nil
}

func (d *Deployment) newInstance(spec InstanceSpec) (*server.Instance, error) {
	keys, err := peer.NewKeyring([]byte(PeerKey))
	if err != nil {
		return nil, err
	}
	cfg := server.Config{
		Instance: spec.Name, Zone: spec.Zone, HTTPListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		LogURL: d.LogURL(), ListURL: d.ListURL(), WeightsURL: d.WeightsURL(), Keys: keys,
		OperatorDigest: api.KeyDigest(OperatorKey), DrainWait: 100 * time.Millisecond, DrainTimeout: 30 * time.Second,
		ListInterval: 200 * time.Millisecond, Log: d.settings.Logger,
	}
	if d.settings.Retention > 0 {
		cfg.Retention = d.settings.Retention
	}
	if d.settings.ConfigureInstance != nil {
		d.settings.ConfigureInstance(&cfg)
	}
	i, err := server.New(cfg)
	if err != nil {
		return nil, err
	}
	d.List.PutInstance(logservice.Instance{Name: spec.Name, Zone: spec.Zone, PeerAddr: i.PeerAddr(), HTTPAddr: i.HTTPAddr(), State: logservice.StateLive})
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.instanceNames, spec.Name) {
		d.instanceNames = append(d.instanceNames, spec.Name)
	}
	d.instances[spec.Name] = i
	return i, nil
}

// Instance returns an instance by name, or nil.
func (d *Deployment) Instance(name string) *server.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances[name]
}

// Kill stops an instance abruptly. It stays on the list until Unlist is called.
func (d *Deployment) Kill(name string) {
	if i := d.Instance(name); i != nil {
		i.Kill()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.instances, name)
}

// Unlist removes an instance from the list, as the platform does some time after its death.
func (d *Deployment) Unlist(name string) { d.List.Remove(name) }

// BaseURLs returns the base URLs of the running instances, among which a load balancer chooses.
func (d *Deployment) BaseURLs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, name := range d.instanceNames {
		if i := d.instances[name]; i != nil {
			out = append(out, "http://"+i.HTTPAddr())
		}
	}
	return out
}

// Running returns the running instances.
func (d *Deployment) Running() []*server.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*server.Instance
	for _, name := range d.instanceNames {
		if i := d.instances[name]; i != nil {
			out = append(out, i)
		}
	}
	return out
}

// AwaitReady waits until all instances are ready and together hold all slots.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for {
		held, ready := 0, true
		for _, i := range d.Running() {
			held += len(i.Slots())
			ready = ready && i.Ready() == nil
		}
		if ready && held == id.Slots {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d slots are held: %w", held, id.Slots, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Close kills the instances and stops the stand-ins.
func (d *Deployment) Close() {
	var wg sync.WaitGroup
	for _, i := range d.Running() {
		wg.Go(i.Kill)
	}
	wg.Wait()
	for _, e := range d.Engines {
		e.Close()
	}
	for _, h := range d.endpointServers {
		h.close()
	}
	d.weightsServer.close()
	d.listServer.close()
	d.logServer.close()
	d.Log.Close()
}

func (d *Deployment) newService(ep *manifest.Endpoint) http.Handler {
	s := servicestand.Settings{ChecksFence: true, ChecksExpiry: true, CanBeAsked: true, RefusesAfterQuery: true}
	if d.settings.Service != nil {
		s = d.settings.Service(ep.Name)
	}
	v := servicestand.New(s)
	d.Services[ep.Name] = v
	return v
}

// Executions returns how often an effect was executed, summed over all service stand-ins.
func (d *Deployment) Executions(effect string) int {
	n := 0
	for _, s := range d.Services {
		n += s.EffectCount(effect)
	}
	return n
}
