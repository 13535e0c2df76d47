package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ragwortstile/platform"
	"ragwortstile/platform/platformtest"
)

// Ports of an instance. Each instance has a loopback address of its own, so that all can use the same ports, as on the
// platform.
const (
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	firstPort   = 7380
	lastPort    = 7395
	metricsPort = 9464 // a default of the program
)

const (
	partitions     = 12
	hostname       = "review.example"
	serviceName    = "models"
	tokensPerEvent = 20
	readyTimeout   = 20 * time.Second
	stopGrace      = 8 * time.Second
	pollInterval   = 50 * time.Millisecond
	recordedBytes  = 40 // of a body that a server gets
	// addDelay is the time from the start to that of the instances which are added.
	addDelay = 3 * time.Second
)

// options are what a case needs of a cluster.
type options struct {
	gateways       int
	added          int // how many of the instances are added later
	servers        int
	routes         []map[string]any
	storeRetention time.Duration // after which the store deletes records
	behave         func(c *cluster, server string, r platformtest.Run) platformtest.Behaviour
}

// cluster is a small deployment: instances as processes, and stand-ins of the store and the servers.
type cluster struct {
	options
	binary string
	dir    string
	rec    *record

	store    *platformtest.Store
	gateways []*gateway
	closers  []func()
	stopped  chan struct{}
	ended    sync.WaitGroup
}

// gateway is an instance and its current process.
type gateway struct {
	name     string
	host     string
	zone     string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newCluster(o options, binary, dir string, rec *record) (*cluster, error) {
	c := &cluster{options: o, binary: binary, dir: dir, rec: rec, stopped: make(chan struct{})}
	store, closeStore := platformtest.ServeStore(partitions)
	c.store, c.closers = store, append(c.closers, closeStore)
	if o.storeRetention > 0 {
		c.ended.Go(c.expireRecords)
	}
	for n := range o.servers {
		id := fmt.Sprintf("i-%04x", 0x7f30+n)
		server, closeServer := platformtest.ServeEndpoint(id, func(r platformtest.Run) platformtest.Behaviour {
			return c.answer(id, r)
		})
		c.closers = append(c.closers, closeServer)
		entry := server.Entry(serviceName, zone(n), "ready")
		entry["slots"] = 16
		store.PutEndpoint(id, entry)
	}
	store.PutConfig(map[string]any{
		"version": 1, "routes": o.routes,
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/healthz", "max_connections": 200,
			"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 160000, "tokens_per_event": tokensPerEvent},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	prefix, err := freePrefix(o.gateways)
	if err != nil {
		return nil, errors.Join(err, c.closeStandIns())
	}
	for n := range o.gateways {
		c.gateways = append(c.gateways, &gateway{name: fmt.Sprintf("front-%d", n+1), host: fmt.Sprintf("%s.%d", prefix, n+1), zone: zone(n)})
	}
	return c, c.writeSettings()
}

func zone(n int) string { return fmt.Sprintf("zone-%c", 'a'+n%3) }

// freePrefix returns the first three octets of loopback addresses on which the ports of the instances are free.
func freePrefix(gateways int) (string, error) {
	for n := range 50 {
		seed := os.Getpid()*7 + n
		prefix := fmt.Sprintf("127.%d.%d", 1+seed>>8&0x7f, seed&0xff)
		if free(prefix, gateways) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func free(prefix string, gateways int) bool {
	for n := range gateways {
		for _, port := range []int{frontPort, readyPort, firstPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, n+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

const settingsFormat = `node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: "r"
zones: {zone-a: "r", zone-b: "r", zone-c: "r"}
listen: {front: "%s:%d", readiness: "%s:%d", control: "%s:%d"}
port_range: [%d, %d]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.8, cpu_cores: 1, memory_mb: 304, max_fds: 8200, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 6, drain_ms: 2000, grace_s: %g, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, pass_ms: 120, retry_after_s: 0, deadline_s: 10, settle_ms: 1000}
platform: {address: %q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: %d, append_ms: 2.0, part_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, retention_s: %g, part_mb: 200, ttl_min_ms: 1000}
`

// defaultStoreRetention is the retention in the platform's example of the settings.
const defaultStoreRetention = 300 * time.Second

func (c *cluster) writeSettings() error {
	var seeds []string
	for _, g := range c.gateways[:min(3, len(c.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", g.host, controlPort)))
	}
	retention := c.storeRetention
	if retention == 0 {
		retention = defaultStoreRetention
	}
	for _, g := range c.gateways {
		g.settings = filepath.Join(c.dir, g.name+".yaml")
		text := fmt.Sprintf(settingsFormat, g.name, g.host, g.zone, g.host, frontPort, g.host, readyPort, g.host, controlPort, firstPort, lastPort,
			strings.Join(seeds, ", "), stopGrace.Seconds(), c.store.Addr, partitions, retention.Seconds())
		if _, err := platform.ParseSettings([]byte(text)); err != nil {
			return err
		}
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// answer records a request that a server gets and returns how the server answers it.
func (c *cluster) answer(server string, r platformtest.Run) platformtest.Behaviour {
	b := c.behave(c, server, r)
	if b.Refuse {
		c.rec.add("server %s refuses %s", server, r.ID)
		return b
	}
	c.rec.add("server %s runs %s %s, body of %d bytes, %q at its end", server, r.ID, r.Path, len(r.Body), r.Body[max(0, len(r.Body)-recordedBytes):])
	return b
}

// startAll starts all instances and waits until they are ready.
func (c *cluster) startAll(ctx context.Context) error {
	for n, g := range c.gateways {
		if c.added > 0 && n == len(c.gateways)-c.added {
			sleep(ctx, addDelay)
			c.rec.add("machines are added")
		}
		if err := c.start(g); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx, c.gateways...)
}

// start starts the process of an instance, with the command of the deploy file.
func (c *cluster) start(g *gateway) error {
	log, err := os.OpenFile(filepath.Join(c.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(c.binary, "gateway")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the process ends by a signal of the case
		close(exited)
	}()
	c.rec.add("%s starts", g.name)
	return nil
}

// signal sends a signal to the process of an instance.
func (c *cluster) signal(g *gateway, sig syscall.Signal) {
	c.rec.add("%s gets %s", g.name, sig)
	_ = g.cmd.Process.Signal(sig) // fails only if the process has ended
}

// kill kills the processes of instances at once and waits until they have ended.
func (c *cluster) kill(gateways ...*gateway) {
	for _, g := range gateways {
		c.signal(g, syscall.SIGKILL)
	}
	for _, g := range gateways {
		<-g.exited
	}
}

var errNotReady = errors.New("instances do not become ready")

// awaitReady waits until instances answer the readiness check, and the load balancer would use them.
func (c *cluster) awaitReady(ctx context.Context, gateways ...*gateway) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(readyTimeout)
	for _, g := range gateways {
		for !ready(client, g) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("%s: %w", g.name, errNotReady)
			}
			time.Sleep(pollInterval)
		}
		c.rec.add("%s is ready", g.name)
	}
	return nil
}

func ready(client *http.Client, g *gateway) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", g.host, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sleep waits for a time, or until the case is over.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, g := range c.gateways {
		if g.cmd == nil {
			continue
		}
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.exited
	}
	_ = c.closeStandIns()
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(c.dir)) // for a look at the logs; the case does not need them
	}
}

func (c *cluster) closeStandIns() error {
	close(c.stopped)
	c.ended.Wait()
	for _, f := range c.closers {
		f()
	}
	return nil
}
