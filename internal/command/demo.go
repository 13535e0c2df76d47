package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/examples"
	"ragwortstile/internal/id"
	"ragwortstile/internal/logservice"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/standin/enginestand"
	"ragwortstile/internal/trial"
)

const (
	// demoLimit bounds the whole demo.
	demoLimit = 50 * time.Second
	// demoKillAfter and demoWithdrawAfter are the times of the faults, counted from the first program.
	demoKillAfter     = 2 * time.Second
	demoWithdrawAfter = 4 * time.Second
	// demoStagger is the time between the starts of two programs of the same user.
	demoStagger = 300 * time.Millisecond
	// demoReleaseWait is how long engines may take to release the memory of ended programs.
	demoReleaseWait = 8 * time.Second
	// demoListLag is how far the platform's list lags behind.
	demoListLag = time.Second
	// leavingBound is the time after which a leaving endpoint may get no new work (guarantee P8).
	leavingBound = 3 * time.Second

	demoKilled    = "instance-b"
	demoWithdrawn = "writer-1"
)

// demoDecode is the time per token of the engines of different speeds.
var demoDecode = map[string]time.Duration{
	"writer-1": 8 * time.Millisecond, "writer-2": 14 * time.Millisecond, "writer-3": 25 * time.Millisecond,
	"agent-1": 7 * time.Millisecond, "agent-2": 18 * time.Millisecond,
}

func demoCommand(env environment) *ffcli.Command {
	fs := newFlagSet(env, "ragwortstile demo")
	return newCommand("demo", "demo", "Run example programs on loopback, with an instance's death and an endpoint's withdrawal on the way.", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, demoLimit)
			defer cancel()
			return (&demo{out: env.stdout, start: time.Now()}).run(ctx)
		})
}

// demo is one run of the demo.
type demo struct {
	out     io.Writer
	outMu   sync.Mutex
	start   time.Time
	d       *trial.Deployment
	callers map[string]*trial.Caller
	runs    []trial.Run
	runsMu  sync.Mutex
	late    int // calls that the withdrawn endpoint got after the bound
	faults  sync.WaitGroup
}

func (x *demo) say(format string, args ...any) {
	x.outMu.Lock()
	defer x.outMu.Unlock()
	fmt.Fprintf(x.out, "%6.1fs  %s\n", time.Since(x.start).Seconds(), fmt.Sprintf(format, args...))
}

func (x *demo) run(ctx context.Context) error {
	users, err := examples.Users()
	if err != nil {
		return err
	}
	if err := x.setUp(ctx); err != nil {
		return err
	}
	defer x.d.Close()
	x.callers = map[string]*trial.Caller{}
	for _, u := range users {
		c := trial.NewCaller(u.Key, x.d.Bases)
		defer c.Close()
		x.callers[u.Team] = c
	}
	x.faults.Go(func() { x.killInstance(ctx) })
	x.faults.Go(func() { x.withdrawEndpoint(ctx) })
	x.runPrograms(ctx, users)
	x.faults.Wait()
	broken := x.check(ctx)
	x.printTable()
	if len(broken) > 0 {
		for _, err := range broken {
			x.say("guarantee broken: %v", err)
		}
		return errors.New("a guarantee was broken")
	}
	x.say("no guarantee was broken")
	return nil
}

func (x *demo) setUp(ctx context.Context) error {
	m, err := manifest.Parse(examples.Manifest)
	if err != nil {
		return err
	}
	x.d, err = trial.Start(trial.Settings{
		Manifest: m,
		LogRate:  300,
		Engine: func(name string) enginestand.Settings {
			return enginestand.Settings{DecodeBase: demoDecode[name], DecodePerCall: time.Millisecond,
				EventDelay: 300 * time.Millisecond, DropEventEvery: 7, LoadLag: 500 * time.Millisecond}
		},
	})
	if err != nil {
		return err
	}
	x.say("stand-ins serve: log, list, weight store, %d engines, %d service servers", len(x.d.Engines), len(x.d.Services))
	if err := x.d.Publish(ctx); err != nil {
		x.d.Close()
		return fmt.Errorf("publish the manifest: %w", err)
	}
	x.say("manifest published: %d duties, %d endpoints", len(m.Duties), len(m.Endpoints))
	err = x.d.AddInstances(trial.Place{Name: "instance-a", Zone: "zone-a"}, trial.Place{Name: "instance-b", Zone: "zone-b"},
		trial.Place{Name: "instance-c", Zone: "zone-c"}, trial.Place{Name: "instance-d", Zone: "zone-a"})
	if err != nil {
		x.d.Close()
		return err
	}
	if err := x.d.AwaitReady(ctx); err != nil {
		x.d.Close()
		return err
	}
	x.d.List.SetLag(demoListLag)
	x.say("%d instances are ready and hold all %d slots", len(x.d.Running()), id.Slots)
	return nil
}

func (x *demo) killInstance(ctx context.Context) {
	pause(ctx, demoKillAfter)
	slots := 0
	if i := x.d.Instance(demoKilled); i != nil {
		slots = len(i.Slots())
	}
	x.d.Kill(demoKilled)
	x.say("%s was killed while it held %d slots", demoKilled, slots)
	for ctx.Err() == nil {
		held := 0
		for _, i := range x.d.Running() {
			held += len(i.Slots())
		}
		if held == id.Slots {
			x.say("the other instances have taken over its slots")
			x.d.Unlist(demoKilled)
			return
		}
		pause(ctx, 50*time.Millisecond)
	}
}

func (x *demo) withdrawEndpoint(ctx context.Context) {
	pause(ctx, demoWithdrawAfter)
	x.d.List.SetState(demoWithdrawn, logservice.StateLeaving)
	x.say("%s is leaving; the list shows it after %s", demoWithdrawn, demoListLag)
	pause(ctx, leavingBound)
	before := x.d.Engines[demoWithdrawn].Stats().Requests
	pause(ctx, 2*time.Second)
	x.late = x.d.Engines[demoWithdrawn].Stats().Requests - before
	x.say("%s got %d new calls in the 2 s after the bound of %s", demoWithdrawn, x.late, leavingBound)
}

func (x *demo) runPrograms(ctx context.Context, users []examples.User) {
	var wg sync.WaitGroup
	for _, u := range users {
		start := time.Duration(0)
		for round := 0; ; round++ {
			more := false
			for _, p := range u.Programs {
				if round >= p.Count {
					continue
				}
				more = true
				at := start
				start += demoStagger
				wg.Go(func() {
					pause(ctx, at)
					x.runProgram(ctx, u, p, round)
				})
			}
			if !more {
				break
			}
		}
	}
	wg.Wait()
}

func (x *demo) runProgram(ctx context.Context, u examples.User, p examples.Program, serial int) {
	// One caller per program, so that its repeats are counted by themselves.
	c := trial.NewCaller(u.Key, x.d.Bases)
	defer c.Close()
	r := trial.RunProgram(ctx, c, u, p, serial, x.d.Executed)
	if r.Err != nil {
		x.say("%s %s-%d failed: %v", u.Team, p.Name, serial, r.Err)
	} else {
		x.say("%s %s-%d finished: %d calls, %d repeats, %.1f s", u.Team, p.Name, serial, r.Calls, r.Repeats, r.Latency.Seconds())
	}
	x.runsMu.Lock()
	defer x.runsMu.Unlock()
	x.runs = append(x.runs, r)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
