package main

import (
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

	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
	"ragwortstile/platform/platformtest"
)

const (
	program     = "target/ragwortstile" // of the deploy file, which names the role gateway
	partitions  = 12
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	host        = "ficu95.example" // of the clients' requests
	// readyTimeout bounds the time until all instances are ready.
	readyTimeout = 15 * time.Second
)

// rig is a small deployment: instances as processes, and stand-ins of the store and of servers in this process.
type rig struct {
	dir       string // settings and logs
	began     time.Time
	store     *platformtest.Store
	closeAll  []func()
	instances []*instance
	servers   []*server

	mu      sync.Mutex
	record  *os.File
	lastID  int
	version int
	closed  bool
}

func newRig(recordPath string) (*rig, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, began: time.Now(), record: record}
	var closeStore func()
	r.store, closeStore = platformtest.ServeStore(partitions)
	r.closeAll = append(r.closeAll, closeStore)
	return r, nil
}

// note writes a line into the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.record, "%7d ms  %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
	}
}

// newID returns an ID that no request or program has.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), r.lastID)
}

func (r *rig) close() {
	r.mu.Lock()
	done := r.closed
	r.closed = true
	r.mu.Unlock()
	if done {
		return
	}
	for _, i := range r.instances {
		i.kill()
	}
	for _, s := range r.servers {
		s.close()
	}
	// The store's stand-in waits for long polls of instances, which have ended.
	for _, f := range r.closeAll {
		f()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
}

// route is a route of the configuration.
type route map[string]any

func newRoute(name, kind, service string, timeoutMs, attempts int) route {
	return route{
		"name": name, "hostname": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 200,
		"priority": 0, "service": service, "max_attempts": attempts,
	}
}

// tokensPerEvent of the model servers.
const tokensPerEvent = 17

// publish writes the next version of the configuration.
func (r *rig) publish(routes ...route) {
	r.version++
	r.store.PutConfig(map[string]any{
		"version": r.version, "routes": routes,
		"services": []map[string]any{
			{"name": "models", "health_path": "/healthz", "max_connections": 150, "engine": map[string]any{
				"slots": 8, "kv_capacity_tokens": 103850, "kv_token_bytes": 18432, "tokens_per_event": tokensPerEvent,
			}},
			{"name": "orders", "health_path": "/healthz", "max_connections": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// instance is a machine with one process of the system.
type instance struct {
	r        *rig
	name     string
	ip       string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// The settings of a machine of the small deployments; bounds and limits are those of its sheet.
const settingsFormat = `node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: "cartago"
listen: {front: "%s:%d", readiness: "%s:%d", control: "%s:%d"}
port_range: [7380, 7395]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.8, cpu_cores: 1, memory_mb: 154, max_fds: 8200, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4.3, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, pass_ms: 120, retry_after_s: 0, deadline_s: 10, settle_ms: 1000}
platform: {address: %q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: %d, append_ms: 2.0, record_bytes: 262144, call_bytes: 2097152, retention_s: 300, part_mb: 200, ttl_min_ms: 1000}
`

// stableWindow is stable_window_ms of the settings.
const stableWindow = 3 * time.Second

// start starts some instances and waits until all are ready.
func (r *rig) start(count int) {
	var seeds []string
	for n := range count {
		i := &instance{r: r, name: fmt.Sprintf("front-%d", n+1), ip: freeIP(n)}
		r.instances = append(r.instances, i)
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", i.ip, controlPort)))
		}
	}
	for n, i := range r.instances {
		i.settings = filepath.Join(r.dir, i.name+".yaml")
		text := fmt.Sprintf(settingsFormat, i.name, i.ip, fmt.Sprintf("cartago-%c", 'a'+n%4), i.ip, frontPort, i.ip, readyPort, i.ip, controlPort,
			strings.Join(seeds, ", "), r.store.Addr, partitions)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		i.start()
	}
	r.awaitReady()
}

// freeIP returns a loopback address on which the ports of an instance are free.
func freeIP(n int) string {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff, 1+(n+try*7)%250)
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, 7380, 7381, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
	panic("no free loopback address")
}

func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(i.r.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	cmd := exec.Command(program, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTSTILE_SETTINGS=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	i.cmd, i.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // an early end shows in the record as requests without an answer
		close(exited)
	}()
	i.r.note("%s started", i.name)
}

// kill sends SIGKILL and waits for the end of the process.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Kill()
	<-exited
	i.r.note("%s killed", i.name)
}

func (i *instance) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", i.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (r *rig) awaitReady() {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, i := range r.instances {
			all = all && i.ready()
		}
		if all {
			r.note("all instances are ready")
			return
		}
		if time.Now().After(end) {
			panic("instances are not ready")
		}
	}
}

// killAll kills all processes at the same moment and starts them again after some time.
func (r *rig) killAll(downtime time.Duration) {
	var wg sync.WaitGroup
	for _, i := range r.instances {
		wg.Go(i.kill)
	}
	wg.Wait()
	time.Sleep(downtime)
	for _, i := range r.instances {
		i.start()
	}
	r.awaitReady()
}

// refuseStore makes the store refuse all calls with 503, or answer them again.
func (r *rig) refuseStore(refuse bool) {
	if !refuse {
		r.store.SetFault(nil)
		return
	}
	r.store.SetFault(func(string, store.Partition) storestand.Fault { return storestand.Refuse })
}

// at waits until a time since the start of the case.
func (r *rig) at(since time.Duration) { time.Sleep(time.Until(r.began.Add(since))) }
