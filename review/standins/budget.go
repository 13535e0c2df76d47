package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"ragwortstile/internal/standin/storestand"
	"ragwortstile/internal/store"
	"ragwortstile/platform/platformtest"
)

const (
	budget       = 3000
	turnEvents   = 10
	turnTokens   = turnEvents * tokensPerEvent // most tokens of a turn
	eventPause   = 200 * time.Millisecond
	subAgents    = 10
	turnDeadline = 3 * time.Second
	// eventsBeforeKill is how many events of each stream have arrived when processes are killed.
	eventsBeforeKill = 9
	// maxLoopTurns bounds the turns that the program runs until it is stopped.
	maxLoopTurns = 40
	// outageBeforeTurns is how long the store is down when the sub-agents begin.
	outageBeforeTurns = 500 * time.Millisecond
	outageDuration    = 4500 * time.Millisecond
	restartDelay      = 500 * time.Millisecond
	killedDowntime    = 3500 * time.Millisecond
)

var budgetOptions = options{
	gateways: 3, servers: 3, routes: []map[string]any{streamRoute("agent", "/agent/", time.Minute)},
	behave: func(*cluster, string, platformtest.Run) platformtest.Behaviour {
		return platformtest.Behaviour{Events: turnEvents, Pause: eventPause}
	},
}

// agentProgram is a program with a budget, whose sub-agents run in parallel.
type agentProgram struct {
	c       *cluster
	name    string
	tokens  atomic.Int64 // handed to the client in all turns
	stopped atomic.Bool  // a 402 has ended it
}

func (p *agentProgram) call(session, previous string) call {
	return call{
		method: "POST", path: "/agent/4b", body: "input of " + session + "\n", deadline: turnDeadline, program: p.name, session: session,
		previous: previous, budget: budget, maxOut: turnTokens, onEvent: func() { p.tokens.Add(tokensPerEvent) },
	}
}

// turn sends a turn as clients do: one more attempt after a refusal, then the whole turn again, twice at most.
func (p *agentProgram) turn(ctx context.Context, gateways []*gateway, first int, q call) (result, bool) {
	var r result
	for sending := range 3 {
		if sending > 0 {
			sleep(ctx, 100*time.Millisecond+time.Duration(first%10)*30*time.Millisecond)
		}
		until := time.Now().Add(turnDeadline)
		for attempt := range 2 {
			if p.stopped.Load() {
				return r, false
			}
			q.deadline = time.Until(until)
			r = p.c.send(ctx, gateways[(first+sending+attempt)%len(gateways)], q)
			switch {
			case r.status == 200 && r.complete:
				return r, true
			case r.status == 402:
				p.stopped.Store(true)
				return r, false
			}
			if r.status != 503 && r.status != 429 {
				break // nothing is promised: the attempt is not repeated
			}
			sleep(ctx, min(r.retryAfter, time.Until(until)/3))
		}
	}
	return r, false
}

// loop runs sub-agents, a few at a time, until the program is stopped.
func (p *agentProgram) loop(ctx context.Context, previous string) {
	for n := 0; n < maxLoopTurns && !p.stopped.Load() && ctx.Err() == nil; n += 2 {
		var both sync.WaitGroup
		for k := range 2 {
			both.Go(func() { p.turn(ctx, p.c.gateways, n+k, p.call(fmt.Sprintf("loop-%d", n+k), previous)) })
		}
		both.Wait()
	}
}

// violations checks the tokens against the budget.
func (p *agentProgram) violations() []string {
	p.c.rec.add("client has got %d tokens of program %s in all; its budget is %d, the most of one turn is %d", p.tokens.Load(), p.name, budget, turnTokens)
	if p.tokens.Load() <= budget+turnTokens {
		return nil
	}
	return []string{fmt.Sprintf("program %s got %d tokens; its budget is %d, and %d are the most of one turn", p.name, p.tokens.Load(), budget, turnTokens)}
}

var errFirstTurn = errors.New("the first turn of the program failed")

// begin runs the first turn of a program whose history the given instance keeps; nil: any instance.
func (c *cluster) beginProgram(ctx context.Context, keeper *gateway) (*agentProgram, string, error) {
	for n := range 1000 {
		p := &agentProgram{c: c, name: fmt.Sprintf("%06x", 0x5fa800+n)}
		if keeper != nil && c.holder(p.name) != keeper {
			continue
		}
		first, ok := p.turn(ctx, c.gateways[:1], 0, p.call("main", ""))
		if !ok {
			return nil, "", errFirstTurn
		}
		return p, first.id, nil
	}
	return nil, "", errors.New("no program of the instance")
}

// startSubAgents starts sub-agents through the given instances. Those that fail send their turns again through others;
// without any, the program waits instead. reached is closed once each has got eventsBeforeKill events or
// has ended.
func (p *agentProgram) startSubAgents(ctx context.Context, first, later []*gateway, previous string) (reached <-chan struct{}, all *sync.WaitGroup) {
	all = &sync.WaitGroup{}
	var far sync.WaitGroup
	for n := range subAgents {
		far.Add(1)
		var once sync.Once
		arrived := func() { once.Do(far.Done) }
		q := p.call(fmt.Sprintf("sub-%d", n), previous)
		var events atomic.Int64
		count := q.onEvent
		q.onEvent = func() {
			count()
			if events.Add(1) == eventsBeforeKill {
				arrived()
			}
		}
		all.Go(func() {
			r := p.c.send(ctx, first[n%len(first)], q)
			arrived()
			if r.status == 200 && r.complete || p.stopped.Load() || len(later) == 0 {
				return
			}
			sleep(ctx, 100*time.Millisecond+time.Duration(n)*30*time.Millisecond)
			again := p.call(q.session, previous)
			p.turn(ctx, later, n, again)
		})
	}
	done := make(chan struct{})
	go func() {
		far.Wait()
		close(done)
	}()
	return done, all
}

// playBudgetAfterKill kills the instance that serves a program's client and keeps its history, while sub-agents run.
func playBudgetAfterKill(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	sleep(ctx, 2*time.Second) // the partitions have been distributed
	keeper := c.gateways[0]
	p, first, err := c.beginProgram(ctx, keeper)
	if err != nil {
		return nil, err
	}
	reached, all := p.startSubAgents(ctx, c.gateways[:1], c.gateways[1:], first)
	var back sync.WaitGroup
	if trouble {
		<-reached
		c.kill(keeper)
		back.Go(func() {
			sleep(ctx, killedDowntime)
			if err := c.start(keeper); err == nil {
				_ = c.awaitReady(ctx, keeper) // the loop finds out if it is not
			}
		})
	}
	all.Wait()
	back.Wait()
	p.loop(ctx, first)
	return p.violations(), nil
}

// playBudgetInOutage starts sub-agents while the store is down, and kills all processes before it is back.
func playBudgetInOutage(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	sleep(ctx, 2*time.Second) // the partitions have been distributed
	p, first, err := c.beginProgram(ctx, nil)
	if err != nil {
		return nil, err
	}
	var back sync.WaitGroup
	if trouble {
		c.rec.add("the store is down")
		c.store.SetFault(func(string, store.Partition) storestand.Fault { return storestand.Refuse })
		back.Go(func() {
			sleep(ctx, outageDuration)
			c.store.SetFault(nil)
			c.rec.add("the store is back")
		})
		sleep(ctx, outageBeforeTurns)
	}
	reached, all := p.startSubAgents(ctx, c.gateways, nil, first)
	if trouble {
		<-reached
		c.kill(c.gateways...)
		sleep(ctx, restartDelay)
		for _, g := range c.gateways {
			if err := c.start(g); err != nil {
				return nil, err
			}
		}
	}
	all.Wait()
	back.Wait()
	if err := c.awaitReady(ctx, c.gateways...); err != nil {
		return nil, err
	}
	p.loop(ctx, first)
	return p.violations(), nil
}
