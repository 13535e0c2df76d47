package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ragwortstile/platform/platformtest"
)

const (
	program      = "target/ragwortstile" // as the deploy file builds it
	partitions   = 12
	readyTimeout = 20 * time.Second
	hostname     = "review.example"
	// storeAnswer is the usual time of an answer of the store.
	storeAnswer = 4 * time.Millisecond
)

// settingsFormat is the settings file of a small deployment, with the limits and bounds of the users' pages.
const settingsFormat = `node_name: "front-zone-%[1]d-1"
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: "%[2]s"
zone: "zone-%[1]d"
region: "region"
zones: {zone-0: "region", zone-1: "region", zone-2: "region", zone-3: "region"}
listen: {front: "%[2]s:%[3]d", readiness: "%[2]s:%[4]d", control: "%[2]s:%[5]d"}
port_range: [%[6]d, %[7]d]
seeds: [%[8]s]
bootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.8, cpu_cores: 1, memory_mb: 154, max_fds: 8200, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4.3, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, pass_ms: 120, retry_after_s: 0, deadline_s: 10, settle_ms: 1000}
platform: {address: "%[9]s", form: "log", writes_per_s: 800, reads_per_s: 2000, parts: %[10]d, append_ms: 2.0, part_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, retention_s: 300, part_mb: 200, ttl_min_ms: 1000}
`

// cluster is a small deployment on loopback addresses.
type cluster struct {
	t         *trial
	dir       string
	store     *platformtest.Store
	link      *delayProxy // between the instances and the store
	instances []*instance
	retention time.Duration // of turns
	closers   []func()
}

// instance is an instance of the system. Its processes run one after the other at the same addresses.
type instance struct {
	name, host       string
	settings         string
	front, readiness string
	cmd              *exec.Cmd
	exited           chan struct{}
}

// running holds the processes that were started, so that they can be ended in any case.
var running struct {
	sync.Mutex
	commands map[*exec.Cmd]bool
}

func killAll() {
	running.Lock()
	defer running.Unlock()
	for cmd := range running.commands {
		_ = cmd.Process.Kill()
	}
}

// newCluster starts the store and writes the settings of n instances.
func newCluster(t *trial, n int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{t: t, dir: dir, retention: defaultRetention}
	c.closers = append(c.closers, func() {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.Rename(dir, keep)
		}
		_ = os.RemoveAll(dir)
	})
	store, closeStore := platformtest.ServeStore(partitions)
	c.store = store
	c.closers = append(c.closers, closeStore)
	if c.link, err = newDelayProxy(store.Addr); err != nil {
		return c, err
	}
	c.link.setDelay(storeAnswer)
	c.closers = append(c.closers, c.link.close)
	hosts, base, err := freePorts(n)
	if err != nil {
		return c, err
	}
	var seeds []string
	for _, host := range hosts {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", host, base+2)))
	}
	for i, host := range hosts {
		in := &instance{
			name: fmt.Sprintf("front-zone-%d-1", i), host: host, settings: filepath.Join(dir, fmt.Sprintf("node-%d.yaml", i)),
			front: fmt.Sprintf("%s:%d", host, base), readiness: fmt.Sprintf("%s:%d", host, base+1),
		}
		text := fmt.Sprintf(settingsFormat, i, host, base, base+1, base+2, base+3, base+18, strings.Join(seeds[:min(3, n)], ", "), c.link.addr(), partitions)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return c, err
		}
		c.instances = append(c.instances, in)
	}
	return c, nil
}

// backgroundProgram begins the IDs of programs that are not recorded.
const backgroundProgram = "background"

// metricsPort is the fixed port of the metrics of a process.
const metricsPort = 9464

// freePorts returns loopback addresses for n instances and the first of some successive ports that are free at all of them.
func freePorts(n int) (hosts []string, base int, err error) {
	for range 50 {
		network := 2 + rand.N(250)
		hosts = hosts[:0]
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("127.%d.%d.1", network, i+1))
		}
		base = 20000 + rand.N(9000)
		if portsAreFree(hosts, base, base+1, base+2, base+3, metricsPort) {
			return hosts, base, nil
		}
	}
	return nil, 0, errors.New("no free ports")
}

func portsAreFree(hosts []string, ports ...int) bool {
	for _, host := range hosts {
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, in := range c.instances {
		in.kill()
	}
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

// start starts the process of an instance with the command of the deploy file.
func (c *cluster) start(in *instance) error {
	log, err := os.OpenFile(filepath.Join(c.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "gateway")
	cmd.Env = []string{"RAGWORTSTILE_SETTINGS=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	running.Lock()
	if running.commands == nil {
		running.commands = make(map[*exec.Cmd]bool)
	}
	running.commands[cmd] = true
	running.Unlock()
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	c.t.printf("%s starts, process %d", in.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		running.Lock()
		delete(running.commands, cmd)
		running.Unlock()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process of an instance with SIGKILL and waits for its end.
func (in *instance) kill() {
	if in.cmd == nil {
		return
	}
	_ = in.cmd.Process.Kill()
	<-in.exited
}

// startAll starts all instances and waits until they are ready.
func (c *cluster) startAll() error {
	for _, in := range c.instances {
		if err := c.start(in); err != nil {
			return err
		}
	}
	ends := time.Now().Add(readyTimeout)
	for _, in := range c.instances {
		for !in.ready() {
			if time.Now().After(ends) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.t.printf("all instances are ready")
	return nil
}

func (in *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addServers starts servers of one service and lists them.
func (c *cluster) addServers(service string, n int, behave func(*platformtest.Endpoint, platformtest.Run) platformtest.Behaviour) {
	for i := range n {
		var e *platformtest.Endpoint
		started := make(chan struct{})
		e, closeEndpoint := platformtest.ServeEndpoint(fmt.Sprintf("i-%s-%d", service, i), func(r platformtest.Run) platformtest.Behaviour {
			<-started
			if program := r.Header.Get(header("Program-Id")); !strings.HasPrefix(program, backgroundProgram) {
				c.t.printf("server %s runs %s of %s", e.ID, r.ID, program)
			}
			return behave(e, r)
		})
		close(started)
		c.closers = append(c.closers, closeEndpoint)
		c.list(e, service)
	}
}

// list writes the entry of a server that has just started.
func (c *cluster) list(e *platformtest.Endpoint, service string) {
	entry := e.Entry(service, "zone-0", "ready")
	entry["slots"], entry["born"] = serverSlots, time.Now().UnixMilli()
	c.store.PutEndpoint(e.ID, entry)
}

const (
	serverSlots    = 8
	tokensPerEvent = 17
	// defaultRetention is that of the users' deployments.
	defaultRetention = 60 * time.Second
)

// putTurns writes a configuration with one route of turns.
func (c *cluster) putTurns() {
	c.putRoutes(map[string]any{
		"name": "r-turns", "hostname": hostname, "path_prefix": "/turns/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200,
		"priority": 0, "service": engines, "max_attempts": 2, "retain_history": true, "retention_s": c.retention.Seconds(), "sticky": true,
		"resumable": false, "target_gap_ms": 150,
	})
}

// engines is the service of the model servers.
const engines = "engines"

// putRoutes writes a configuration.
func (c *cluster) putRoutes(routes ...map[string]any) {
	c.store.PutConfig(map[string]any{
		"version": 7,
		"routes":  routes,
		"services": []map[string]any{{
			"name": engines, "health_path": "/healthz", "max_connections": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": serverSlots, "kv_capacity_tokens": 103850, "tokens_per_event": tokensPerEvent},
		}, {
			"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
