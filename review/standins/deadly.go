package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ragwortstile/platform/platformtest"
)

const (
	deadlyBody     = "deadly"
	deadlyMachines = 9                       // at the start, as in alc-tanques
	deadlySpare    = 6                       // that are added
	deadlyPause    = 3500 * time.Millisecond // between the times at which the request comes
	deadlyTimes    = 12
	deadlyDeadline = 3 * time.Second
	// minWithoutPartition is how many instances without a partition the case needs.
	minWithoutPartition = 3
	serverDown          = 2 * time.Second
	stableWindow        = 3 * time.Second // stable_window_ms
	// maxRetries is how often the request may reach servers later than stableWindow after it has crashed the third.
	maxRetries = 3
)

var deadlyOptions = options{
	gateways: deadlyMachines + deadlySpare, added: deadlySpare, servers: 9,
	routes: []map[string]any{{
		"name": "order", "hostname": hostname, "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 500, "priority": 2, "service": serviceName, "max_attempts": 1,
	}},
	behave: func(c *cluster, server string, r platformtest.Run) platformtest.Behaviour {
		b := platformtest.Behaviour{Delay: 20 * time.Millisecond}
		if r.Body == deadlyBody && deadlyServers.hit(c, server) {
			b.Crash = serverDown
		}
		return b
	},
}

// crashes records at which times servers have crashed.
type crashes struct {
	mu sync.Mutex
	at []time.Time
	on bool // the request is deadly
}

var deadlyServers crashes

func (s *crashes) enable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = true
}

// hit reports whether a server crashes that runs the request.
func (s *crashes) hit(c *cluster, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.on {
		return false
	}
	s.at = append(s.at, time.Now())
	c.rec.add("server %s crashes, number %d", server, len(s.at))
	return true
}

// late counts the crashes later than stableWindow after the third.
func (s *crashes) late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.at {
		if len(s.at) >= 3 && at.Sub(s.at[2]) > stableWindow {
			n++
		}
	}
	return n
}

var errAllHold = errors.New("too few instances hold no partition")

// playDeadlyRequest sends a request that crashes each server that runs it, again and again, through the instances that
// hold no partition.
func playDeadlyRequest(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	if trouble {
		deadlyServers.enable()
	}
	sleep(ctx, 5*time.Second) // all instances are in touch
	last := c.withoutPartition()
	if len(last) < minWithoutPartition {
		return nil, errAllHold
	}
	for n := range deadlyTimes {
		r := c.send(ctx, last[n%len(last)], call{method: "POST", path: "/order/2f", body: deadlyBody, deadline: deadlyDeadline, program: "dead"})
		if !trouble && r.status != 200 {
			return nil, errors.New("a request fails without the disruption")
		}
		sleep(ctx, deadlyPause)
	}
	if late := deadlyServers.late(); late > maxRetries {
		return []string{fmt.Sprintf("the request reached servers in %d retries later than %s after it had crashed the third", late, stableWindow)}, nil
	}
	return nil, nil
}
