package server_test

import (
	"flag"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/trial"
)

// soakPrograms is the number of programs of TestSoak.
var soakPrograms = flag.Int("soak.programs", 300, "programs of the soak test")

// Guards against requests, calls, grants, copies, goroutines and cache at engines that programs leave
// behind: many programs with branches run through three instances, with a short log outage and a
// planned stop in between. Afterwards all counts must return to those at the start.
func TestSoak(t *testing.T) {
	before := runtime.NumGoroutine()
	d, err := trial.Start(trial.Settings{Manifest: smallManifest(t, 2, 2), Service: askable})
	must.NoError(t, err)
	ctx := t.Context()
	must.NoError(t, d.Publish(ctx))
	must.NoError(t, d.AddInstances(trial.InstanceSpec{Name: "a", Zone: "z0"}, trial.InstanceSpec{Name: "b", Zone: "z1"}, trial.InstanceSpec{Name: "c", Zone: "z2"}))
	must.NoError(t, d.AwaitReady(ctx))
	const callers = 12
	work := make(chan int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c := trial.NewCaller(teamKey, d.BaseURLs)
			defer c.Close()
			for n := range work {
				if err := soakProgram(t, c, n); err != nil {
					t.Errorf("program %d: %v", n, err)
				}
			}
		})
	}
	for n := range *soakPrograms {
		switch n {
		case *soakPrograms / 4:
			d.Log.SetOutage(true)
			time.AfterFunc(500*time.Millisecond, func() { d.Log.SetOutage(false) })
		case *soakPrograms / 2:
			d.List.SetState("c", "leaving")
			wg.Go(func() { must.NoError(t, d.Instance("c").Drain(ctx)); d.Kill("c"); d.Unlist("c") })
		}
		work <- n
	}
	close(work)
	wg.Wait()
	await(t, "the cache at the engines to be released", func() bool {
		return len(d.Engines["e0"].TokensByTag()) == 0 && len(d.Engines["e1"].TokensByTag()) == 0
	})
	for _, i := range d.Running() {
		var sizes map[string]int
		await(t, fmt.Sprintf("empty maps of %s", i.Session()), func() bool {
			sizes = i.Sizes()
			for _, n := range sizes {
				if n > 0 {
					return false
				}
			}
			return true
		}, func() string { return fmt.Sprint(sizes) })
	}
	for _, s := range d.Services {
		must.SliceEmpty(t, s.DuplicateEffects())
	}
	d.Close()
	http.DefaultClient.CloseIdleConnections()
	await(t, "the number of goroutines at the start", func() bool { return runtime.NumGoroutine() <= before })
}

func soakProgram(t *testing.T, c *trial.Caller, n int) error {
	ctx := t.Context()
	p, err := c.Open(ctx, "work", fmt.Sprintf("soak-%d", n))
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	if err := c.Branch(ctx, p, "b", "branch"); err != nil {
		return fmt.Errorf("branch: %w", err)
	}
	for k, branch := range []string{"", "b", ""} {
		m := trial.ModelCall{Program: p, Branch: branch, Key: fmt.Sprintf("m%d", k), Model: "m", Message: "x", MaxTokens: 4, Stream: k == 1}
		if _, err := c.Model(ctx, m); err != nil {
			return fmt.Errorf("model call %d: %w", k, err)
		}
	}
	if _, err := c.Service(ctx, p, "", "s", "s", "charge", effect(string(p))); err != nil {
		return fmt.Errorf("charge: %w", err)
	}
	return c.End(ctx, p)
}
