package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ragwortstile/platform/platformtest"
)

// reload plays a restart of all processes behind links of 22 Mbit/s, after half a minute of ordinary conversations.
func reload(rec *record, dir string, trouble bool) (bool, error) {
	const (
		fill     = 32 * time.Second
		down     = 500 * time.Millisecond
		recovery = 15 * time.Second // recovery_s of the sheet
		judged   = 20 * time.Second
		workers  = 36
	)
	s := sheet{memoryMB: 120, maxFDs: 3075, parts: 24, linkMbps: 22, graceS: 8, drainMs: 3000, configMs: 3000, stableMs: 4000}
	r, err := setUp(rec, dir, binary(), s, 3, func(n int) string { return fmt.Sprint("zone-", n%3) }, 6,
		func(run platformtest.Run) platformtest.Behaviour {
			rec.logf("run %s", run.ID)
			return platformtest.Behaviour{Events: 4, Delay: 20 * time.Millisecond, Pause: 5 * time.Millisecond}
		}, turnConfig(1))
	defer r.close()
	if err != nil {
		return false, err
	}
	c := &callers{
		rec: rec, host: "chat.example", path: "/talk/2f", fronts: r.readyFronts(), budget: 5000, tokens: "1460,80", input: 4300, turns: 9,
		think: 60 * time.Millisecond, runSeed: fmt.Sprintf("%x", time.Now().UnixNano()&0xffff),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	begun := rec.since()
	for range workers {
		wg.Go(func() { c.run(ctx) })
	}
	time.Sleep(fill)
	struck := rec.since()
	sent, ok := c.served(begun, struck-3, nil)
	rec.say("before: %d requests sent, %d served", sent, ok)
	if ok*4 < sent || sent == 0 {
		return false, fmt.Errorf("too few requests are served before the fault")
	}
	if trouble {
		for _, i := range r.instances {
			i.kill()
		}
		rec.say("all processes were killed")
		time.Sleep(down)
		for _, i := range r.instances {
			if err := r.start(i); err != nil {
				return false, err
			}
		}
	}
	back := rec.since()
	rec.say("the processes are back")
	time.Sleep(recovery + judged)
	cancel()
	wg.Wait()
	from := back + recovery.Seconds()
	sent, ok = c.served(from, from+judged.Seconds()-deadline.Seconds(), nil)
	rec.say("from %.1f s after the return on: %d requests sent, %d served", recovery.Seconds(), sent, ok)
	return ok*4 < sent, nil
}

// turnConfig returns a configuration with one route of conversations.
func turnConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-talk", "hostname": "chat.example", "path_prefix": "/talk/", "kind": "streaming", "timeout_ms": 3000,
			"target_latency_ms": 200, "target_gap_ms": 200, "priority": 0, "service": "svc", "max_attempts": 2, "sticky": true,
			"retain_history": true, "retention_s": 60.0, "resumable": false,
		}},
		"services": []map[string]any{{
			"name": "svc", "health_path": "/healthz", "max_connections": 560, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kv_capacity_tokens": 63744, "tokens_per_event": 17},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// readyFronts returns the fronts of the instances that were ready at the last look, as the platform looks once a second.
func (r *rig) readyFronts() func() []string {
	var mu sync.Mutex
	var fronts []string
	look := func() {
		var ready []string
		for _, i := range r.instances {
			if !i.removed.Load() && i.running() && i.isReady() {
				ready = append(ready, i.front)
			}
		}
		if len(ready) == 0 {
			for _, i := range r.instances {
				if !i.removed.Load() {
					ready = append(ready, i.front)
				}
			}
		}
		mu.Lock()
		fronts = ready
		mu.Unlock()
	}
	look()
	go func() {
		for {
			time.Sleep(time.Second)
			look()
		}
	}()
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return fronts
	}
}
