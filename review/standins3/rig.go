package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ragwortstile/platform/platformtest"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, start: time.Now()}, nil
}

func (r *record) since() float64 { return time.Since(r.start).Seconds() }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", r.since(), fmt.Sprintf(format, args...))
}

// say also prints the line.
func (r *record) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf("%8.3f %s\n", r.since(), fmt.Sprintf(format, args...))
}

// sheet holds the settings that differ between the sheets of deployments.
type sheet struct {
	memoryMB, maxFDs, parts int
	linkMbps                float64 // 0: the links aren't limited
	graceS                  float64
	drainMs, configMs       int
	stableMs                int
}

// instance is a gateway and its current process.
type instance struct {
	name, zone, host string
	settings         string
	front, ready     string
	removed          atomic.Bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// rig is a deployment on loopback addresses: the store, endpoints and gateways as processes.
type rig struct {
	rec       *record
	dir       string
	binary    string
	store     *platformtest.Store
	endpoints []*platformtest.Endpoint
	instances []*instance
	closers   []func()
}

// freePort returns a port that is free at all hosts, with the one after it.
func freePort(hosts []string) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(10000)
		free := true
		for _, host := range hosts {
			for _, p := range []int{port, port + 1} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

const settingsText = `node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front", "control"]
ip: %q
zone: %q
listen: {front: %q, readiness: %q, control: "%s:1"}
port_range: [%d, %d]
seeds: [%s]
bootstrap: %v
limits: {cpu_share: 0.8, cpu_cores: 1, memory_mb: %d, max_fds: %d, link_mbps: %g, disk_mb: 0}
data_dir: null
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: %d, drain_ms: %d, grace_s: %g, config_apply_ms: %d}
platform: {address: %q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: %d, append_ms: 2.0, part_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, retention_s: 300, part_mb: 200, ttl_min_ms: 1000}
`

// setUp starts the store, the endpoints and the gateways, and waits until the gateways are ready.
func setUp(rec *record, dir, binary string, s sheet, instances int, zone func(int) string, endpoints int, behave func(platformtest.Run) platformtest.Behaviour, config map[string]any) (*rig, error) {
	r := &rig{rec: rec, dir: dir, binary: binary}
	store, closeStore := platformtest.ServeStore(s.parts)
	r.store = store
	r.closers = append(r.closers, closeStore)
	r.store.PutConfig(config)
	for n := range endpoints {
		e, closeEndpoint := platformtest.ServeEndpoint(fmt.Sprintf("i-%d", n+1), behave)
		r.endpoints = append(r.endpoints, e)
		r.closers = append(r.closers, closeEndpoint)
		entry := e.Entry("svc", zone(n), "ready")
		entry["slots"] = 8
		r.store.PutEndpoint(e.ID, entry)
	}
	var hosts, seeds []string
	a, b := 16+rand.IntN(200), rand.IntN(250)
	for n := range instances {
		hosts = append(hosts, fmt.Sprintf("127.%d.%d.%d", a, b, n+10))
	}
	peerPort, err := freePort(hosts)
	if err != nil {
		return r, err
	}
	frontPort, err := freePort(hosts)
	if err != nil {
		return r, err
	}
	for _, host := range hosts[:min(len(hosts), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", host+":1"))
	}
	for n, host := range hosts {
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zone(n), n+1), zone: zone(n), host: host,
			front: fmt.Sprintf("%s:%d", host, frontPort), ready: fmt.Sprintf("%s:%d", host, frontPort+1),
		}
		storeAddr := store.Addr
		if s.linkMbps > 0 {
			link, err := newLink(host, store.Addr, s.linkMbps)
			if err != nil {
				return r, err
			}
			r.closers = append(r.closers, link.close)
			storeAddr = link.addr()
		}
		i.settings = filepath.Join(dir, i.name+".yaml")
		text := fmt.Sprintf(settingsText, i.name, host, i.zone, i.front, i.ready, host, peerPort, peerPort+1, strings.Join(seeds, ", "), true,
			s.memoryMB, s.maxFDs, s.linkMbps, s.stableMs, s.drainMs, s.graceS, s.configMs, storeAddr, s.parts)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return r, err
		}
		r.instances = append(r.instances, i)
		if err := r.start(i); err != nil {
			return r, err
		}
	}
	return r, r.awaitReady(20 * time.Second)
}

// started holds the processes that run.
var started sync.Map

// start starts the process of an instance with the command of the deploy file.
func (r *rig) start(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(r.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.binary, "gateway")
	// The links to the store have an address for each instance, so the key of the instances can't be derived from it.
	cmd.Env = append(os.Environ(), "RAGWORTSTILE_SETTINGS="+i.settings, "RAGWORTSTILE_PEER_KEY=review")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	started.Store(cmd.Process, true)
	done := make(chan struct{})
	i.cmd, i.done = cmd, done
	go func() {
		_ = cmd.Wait()
		started.Delete(cmd.Process)
		_ = out.Close()
		close(done)
	}()
	r.rec.logf("start %s pid %d", i.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of an instance, if it runs.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.done:
	default:
		_ = i.cmd.Process.Signal(sig)
	}
}

func (i *instance) running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// kill kills the process of an instance and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.done
}

func (i *instance) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *rig) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range r.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(r.instances) {
			return nil
		}
	}
	return fmt.Errorf("instances are not ready")
}

// memoryMB returns the resident memory of the process of an instance; 0 if it doesn't run.
func (i *instance) memoryMB() float64 {
	i.mu.Lock()
	pid := i.cmd.Process.Pid
	i.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

func (r *rig) close() {
	for _, i := range r.instances {
		if i.cmd != nil {
			i.kill()
		}
	}
	for _, c := range r.closers {
		c()
	}
}

// link is the network link of one instance to the store, with a limited rate in each direction.
type link struct {
	listener net.Listener
	target   string
	down, up *pipe
}

// pipe passes bytes at a rate, in the order in which its connections ask.
type pipe struct {
	mu   sync.Mutex
	free time.Time // when the last bytes have passed
	rate float64   // bytes per second
}

func (p *pipe) pass(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

func newLink(host, target string, mbps float64) (*link, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	rate := mbps * 1e6 / 8
	k := &link{listener: l, target: target, down: &pipe{rate: rate}, up: &pipe{rate: rate}}
	go k.accept()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) close() { _ = k.listener.Close() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

// segmentBytes is the part in which connections share a link.
const segmentBytes = 4 << 10

func (k *link) forward(c net.Conn) {
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { copyThrough(t, c, k.up) })
	wg.Go(func() { copyThrough(c, t, k.down) })
	wg.Wait()
}

// copyThrough copies until one side ends, and then closes both: HTTP needs no half-closed connections.
func copyThrough(dst, src net.Conn, p *pipe) {
	buf := make([]byte, segmentBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.pass(n)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	_ = src.Close()
	_ = dst.Close()
}
