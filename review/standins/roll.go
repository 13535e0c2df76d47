package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"ragwortstile/platform/platformtest"
)

const (
	rollDeadline = 7 * time.Second
	rollGap      = time.Second // between the stops of two instances
	rollEvents   = 10
	rollPause    = 150 * time.Millisecond // between the events of a turn
	// rollWarmup is longer than stable_window_ms.
	rollWarmup = 4 * time.Second
	// rollUnready is how long after SIGTERM clients may still be sent to an instance: the platform asks once a second
	// whether it is ready, and takes it out after two misses.
	rollUnready = 1900 * time.Millisecond
	rollClients = 8 // programs at each instance
	rollSpread  = 190 * time.Millisecond
	// rollNear is how close to its deadline a request may end and count as one that has reached it.
	rollNear = 200 * time.Millisecond
)

var rollOptions = options{
	gateways: 3, servers: 3, routes: []map[string]any{rollRoute()},
	behave: func(*cluster, string, platformtest.Run) platformtest.Behaviour {
		return platformtest.Behaviour{Events: rollEvents, Pause: rollPause}
	},
}

func rollRoute() map[string]any {
	r := streamRoute("chat", "/chat/", time.Minute)
	r["timeout_ms"] = rollDeadline.Milliseconds()
	return r
}

// playRoll stops and starts the instances in turn while each serves some programs.
func playRoll(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var violations []string
	var clients sync.WaitGroup
	ends := make([]chan struct{}, len(c.gateways)) // closed when the platform sends no more clients to the instance
	for n, g := range c.gateways {
		ends[n] = make(chan struct{})
		for k := range rollClients {
			clients.Go(func() {
				sleep(ctx, time.Duration(k)*rollSpread) // the clients do not all send at once
				found := c.rollClient(ctx, g, fmt.Sprintf("p%d%d", n, k), ends[n])
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, found...)
			})
		}
	}
	sleep(ctx, rollWarmup)
	var rolls sync.WaitGroup
	for n, g := range c.gateways {
		rolls.Go(func() {
			sleep(ctx, time.Duration(n)*rollGap)
			if trouble {
				c.stopAndStart(ctx, g, ends[n])
				return
			}
			sleep(ctx, rollUnready)
			close(ends[n])
		})
	}
	rolls.Wait()
	clients.Wait()
	return violations, nil
}

// stopAndStart sends SIGTERM to an instance, closes out when the platform takes it out of rotation, and starts it again
// when it has ended, or after SIGKILL at the end of the grace period.
func (c *cluster) stopAndStart(ctx context.Context, g *gateway, out chan struct{}) {
	c.signal(g, syscall.SIGTERM)
	time.AfterFunc(rollUnready, func() { close(out) })
	select {
	case <-g.exited:
		c.rec.add("%s has ended", g.name)
	case <-time.After(stopGrace):
		c.kill(g)
	}
	sleep(ctx, restartDelay)
	if err := c.start(g); err != nil {
		c.rec.add("%s does not start: %s", g.name, err)
	}
}

// rollClient runs turns one after the other at an instance until the platform sends no more clients there. It returns
// the turns that were cut off.
func (c *cluster) rollClient(ctx context.Context, g *gateway, program string, out <-chan struct{}) (violations []string) {
	previous := ""
	for ctx.Err() == nil {
		select {
		case <-out:
			return violations
		default:
		}
		sent := time.Now()
		r := c.send(ctx, g, call{
			method: "POST", path: "/chat/2f", body: "input of " + program + "\n", deadline: rollDeadline, program: program, session: "s" + program,
			previous: previous, maxOut: rollEvents * tokensPerEvent,
		})
		took := time.Since(sent)
		switch {
		case r.status == 200 && r.complete:
			previous = r.id
		case r.status == 200 && r.events == rollEvents && took < rollDeadline-rollNear:
			violations = append(violations, fmt.Sprintf(
				"turn %s at %s: the server ended its run, the client got all %d events, and after %.1f s the connection ended without the end of the answer (deadline and timeout are %s)",
				r.id, g.name, r.events, took.Seconds(), rollDeadline))
		}
		sleep(ctx, 50*time.Millisecond+r.retryAfter)
	}
	return violations
}
