package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"ragwortstile/platform/platformtest"
)

// The times are a fifth of those in the platform's examples (retention_s 60 for a route and 300 for the store), so that
// a conversation outlasts the store's retention within the time of a case. With FULL_SCALE=1 they are those of the
// examples, and the case takes six and a half minutes.
const (
	oldChainTurns    = 9 // the last one begins 72 s after the first, or 360 s
	oldChainPrograms = 24
	oldChainSettle   = 5 * time.Second // from the stop to the next turns
)

var (
	oldChainScale          = scale()
	oldChainRouteRetention = oldChainScale * 12 * time.Second
	oldChainStoreRetention = oldChainScale * 60 * time.Second
	oldChainPause          = oldChainScale * 9 * time.Second // between the turns of a conversation
)

func scale() time.Duration {
	if os.Getenv("FULL_SCALE") == "1" {
		return 5
	}
	return 1
}

var oldChainOptions = options{
	gateways: 3, servers: 3, storeRetention: oldChainStoreRetention,
	routes: []map[string]any{streamRoute("chat", "/chat/", oldChainRouteRetention)},
	behave: func(*cluster, string, platformtest.Run) platformtest.Behaviour {
		return platformtest.Behaviour{Events: 3, Pause: 20 * time.Millisecond}
	},
}

func streamRoute(name, prefix string, retention time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostname, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250,
		"priority": 0, "service": serviceName, "max_attempts": 2, "retain_history": true, "retention_s": retention.Seconds(),
		"sticky": true, "resumable": false, "target_gap_ms": 250,
	}
}

// conversation is a program with one line of turns.
type conversation struct {
	name     string
	last     string // the newest turn that was answered whole
	lastAt   time.Time
	turns    int
	failures []string
}

var errNoHolder = errors.New("a partition has no holder")

// playOldChain holds conversations that last longer than the store keeps records, and stops an instance in order.
func playOldChain(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	conversations := make([]*conversation, oldChainPrograms)
	for n := range conversations {
		conversations[n] = &conversation{name: fmt.Sprintf("c%05x", 0x3fa80+n)}
	}
	for round := range oldChainTurns {
		begun := time.Now()
		c.nextTurns(ctx, conversations, c.gateways, round)
		for _, p := range conversations {
			if len(p.failures) > 0 {
				return nil, fmt.Errorf("turn %d of program %s before the disruption: %s", round+1, p.name, p.failures[0])
			}
		}
		if round < oldChainTurns-1 {
			sleep(ctx, oldChainPause-time.Since(begun))
		}
	}
	others := c.gateways
	if trouble {
		stopped := c.holder(conversations[0].name) // any instance holds some of the conversations
		if stopped == nil {
			return nil, errNoHolder
		}
		c.signal(stopped, syscall.SIGTERM)
		others = slices.DeleteFunc(slices.Clone(c.gateways), func(g *gateway) bool { return g == stopped })
	}
	sleep(ctx, oldChainSettle)
	c.nextTurns(ctx, conversations, others, oldChainTurns)
	var violations []string
	for _, p := range conversations {
		violations = append(violations, p.failures...)
	}
	return violations, nil
}

// nextTurns sends the next turn of each conversation, and repeats it as clients do.
func (c *cluster) nextTurns(ctx context.Context, conversations []*conversation, gateways []*gateway, round int) {
	var all sync.WaitGroup
	for n, p := range conversations {
		all.Go(func() { c.nextTurn(ctx, p, gateways, n+round) })
	}
	all.Wait()
}

func (c *cluster) nextTurn(ctx context.Context, p *conversation, gateways []*gateway, first int) {
	p.failures = nil
	for try := range 3 {
		g := gateways[(first+try)%len(gateways)]
		age := time.Since(p.lastAt)
		r := c.send(ctx, g, call{
			method: "POST", path: "/chat/2f", body: fmt.Sprintf("input %d of %s\n", p.turns, p.name), deadline: 3 * time.Second,
			program: p.name, session: "s" + p.name, previous: p.last, maxOut: 3 * tokensPerEvent,
		})
		if r.status == 200 && r.complete {
			p.last, p.lastAt, p.failures = r.id, time.Now(), nil
			p.turns++
			return
		}
		failure := fmt.Sprintf("turn %s of program %s is answered %d at %s; it names turn %s, which was answered whole %.1f s before (retention_s is %g)",
			r.id, p.name, r.status, g.name, p.last, age.Seconds(), oldChainRouteRetention.Seconds())
		if r.status == 404 || r.status == 410 {
			if age < oldChainRouteRetention {
				p.failures = append(p.failures, failure)
			}
			return
		}
		sleep(ctx, 200*time.Millisecond+r.retryAfter)
	}
}
