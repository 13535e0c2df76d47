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
	// demoLimit is the timeout of the whole demo.
	demoLimit = 50 * time.Second
	// demoKillAfter and demoWithdrawAfter are the times at which an instance is killed and an endpoint
	// begins to leave, counted from the start of the first program.
	demoKillAfter     = 2 * time.Second
	demoWithdrawAfter = 4 * time.Second
	// demoStagger is the time between the starts of two programs of the same team.
	demoStagger = 300 * time.Millisecond
	// demoReleaseWait is how long engines may take to release the cached prefixes of ended programs.
	demoReleaseWait = 8 * time.Second
	// demoListLag is the delay after which the platform's list shows a change.
	demoListLag = time.Second
	// leavingBound is the guaranteed time after which a leaving endpoint gets no new calls.
	leavingBound = 3 * time.Second

	demoKilledInstance  = "instance-b"
	demoLeavingEndpoint = "writer-1"
)

// demoDecodeTime is the decode time per token of each engine. The engines differ in speed.
var demoDecodeTime = map[string]time.Duration{
	"writer-1": 8 * time.Millisecond, "writer-2": 14 * time.Millisecond, "writer-3": 25 * time.Millisecond,
	"agent-1": 7 * time.Millisecond, "agent-2": 18 * time.Millisecond,
}

func demoCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile demo")
	return newCommand("demo", "demo", "Run example programs on loopback, with an instance's death and an endpoint's withdrawal on the way.", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, demoLimit)
			defer cancel()
			return (&demo{out: stdio.stdout, start: time.Now()}).run(ctx)
		})
}

// demo is one run of the demo.
type demo struct {
	out       io.Writer
	outMu     sync.Mutex
	start     time.Time
	d         *trial.Deployment
	callers   map[string]*trial.Caller
	runs      []trial.Run
	runsMu    sync.Mutex
	lateCalls int            // calls that the leaving endpoint got later than leavingBound
	faults    sync.WaitGroup // goroutines that inject faults
}

func (x *demo) printf(format string, args ...any) {
	x.outMu.Lock()
	defer x.outMu.Unlock()
	fmt.Fprintf(x.out, "%6.1fs  %s\n", time.Since(x.start).Seconds(), fmt.Sprintf(format, args...))
}

func (x *demo) run(ctx context.Context) error {
	teams, err := examples.Teams()
	if err != nil {
		return err
	}
	if err := x.setUp(ctx); err != nil {
		return err
	}
	defer x.d.Close()
	x.callers = map[string]*trial.Caller{}
	for _, t := range teams {
		c := trial.NewCaller(t.Key, x.d.BaseURLs)
		defer c.Close()
		x.callers[t.Name] = c
	}
	x.faults.Go(func() { x.killInstance(ctx) })
	x.faults.Go(func() { x.withdrawEndpoint(ctx) })
	x.runPrograms(ctx, teams)
	x.faults.Wait()
	violations := x.check(ctx)
	x.printTable()
	if len(violations) > 0 {
		for _, err := range violations {
			x.printf("guarantee broken: %v", err)
		}
		return errors.New("a guarantee was broken")
	}
	x.printf("no guarantee was broken")
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
			return enginestand.Settings{DecodeBase: demoDecodeTime[name], DecodePerCall: time.Millisecond,
				EventDelay: 300 * time.Millisecond, DropEventEvery: 7, LoadLag: 500 * time.Millisecond}
		},
	})
	if err != nil {
		return err
	}
	x.printf("stand-ins serve: log, list, weight store, %d engines, %d service servers", len(x.d.Engines), len(x.d.Services))
	if err := x.d.Publish(ctx); err != nil {
		x.d.Close()
		return fmt.Errorf("publish the manifest: %w", err)
	}
	x.printf("manifest published: %d duties, %d endpoints", len(m.Duties), len(m.Endpoints))
	err = x.d.AddInstances(trial.InstanceSpec{Name: "instance-a", Zone: "zone-a"}, trial.InstanceSpec{Name: "instance-b", Zone: "zone-b"},
		trial.InstanceSpec{Name: "instance-c", Zone: "zone-c"}, trial.InstanceSpec{Name: "instance-d", Zone: "zone-a"})
	if err != nil {
		x.d.Close()
		return err
	}
	if err := x.d.AwaitReady(ctx); err != nil {
		x.d.Close()
		return err
	}
	x.d.List.SetLag(demoListLag)
	x.printf("%d instances are ready and hold all %d slots", len(x.d.Running()), id.Slots)
	return nil
}

func (x *demo) killInstance(ctx context.Context) {
	pause(ctx, demoKillAfter)
	slots := 0
	if i := x.d.Instance(demoKilledInstance); i != nil {
		slots = len(i.Slots())
	}
	x.d.Kill(demoKilledInstance)
	x.printf("%s was killed while it held %d slots", demoKilledInstance, slots)
	for ctx.Err() == nil {
		held := 0
		for _, i := range x.d.Running() {
			held += len(i.Slots())
		}
		if held == id.Slots {
			x.printf("the other instances have taken over its slots")
			x.d.Unlist(demoKilledInstance)
			return
		}
		pause(ctx, 50*time.Millisecond)
	}
}

func (x *demo) withdrawEndpoint(ctx context.Context) {
	pause(ctx, demoWithdrawAfter)
	x.d.List.SetState(demoLeavingEndpoint, logservice.StateLeaving)
	x.printf("%s is leaving; the list shows it after %s", demoLeavingEndpoint, demoListLag)
	pause(ctx, leavingBound)
	before := x.d.Engines[demoLeavingEndpoint].Stats().Requests
	pause(ctx, 2*time.Second)
	x.lateCalls = x.d.Engines[demoLeavingEndpoint].Stats().Requests - before
	x.printf("%s got %d new calls in the 2 s after the bound of %s", demoLeavingEndpoint, x.lateCalls, leavingBound)
}

func (x *demo) runPrograms(ctx context.Context, teams []examples.Team) {
	var wg sync.WaitGroup
	for _, t := range teams {
		start := time.Duration(0)
		for round := 0; ; round++ {
			more := false
			for _, p := range t.Programs {
				if round >= p.Count {
					continue
				}
				more = true
				at := start
				start += demoStagger
				wg.Go(func() {
					pause(ctx, at)
					x.runProgram(ctx, t, p, round)
				})
			}
			if !more {
				break
			}
		}
	}
	wg.Wait()
}

func (x *demo) runProgram(ctx context.Context, t examples.Team, p examples.Program, serial int) {
	// Each program has a caller of its own, so that its retries are counted separately.
	c := trial.NewCaller(t.Key, x.d.BaseURLs)
	defer c.Close()
	r := trial.RunProgram(ctx, c, t, p, serial, x.d.Executions)
	if r.Err != nil {
		x.printf("%s %s-%d failed: %v", t.Name, p.Name, serial, r.Err)
	} else {
		x.printf("%s %s-%d finished: %d calls, %d repeats, %.1f s", t.Name, p.Name, serial, r.Calls, r.Retries, r.Latency.Seconds())
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
