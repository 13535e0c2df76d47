package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/trial"
)

// Guards against requests that a planned stop interrupts: streams and charges that the draining
// instance received or owns must all complete, no slot may be lost, and new work is refused without
// executing it.
func TestDrainInterruptsNothing(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, func(s *trial.Settings) { s.Service = askable })
	ctx := waitContext(t)
	const programs = 16
	c := caller(t, d)
	results := make(chan error, 2*programs)
	draining := d.Instance("a")
	for n := range programs {
		prog, err := c.Open(ctx, "work", fmt.Sprintf("o%d", n))
		must.NoError(t, err)
		m, body := longCall(prog, "k", "x", 60)
		go func() {
			// One attempt only: an interruption would show.
			a, err := c.Once(ctx, d.BaseURLs()[n%3], http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
			if err == nil && !strings.HasSuffix(string(a.Body), "data: [DONE]\n\n") {
				err = trial.ErrStreamCut
			}
			results <- err
		}()
		charged, err := c.Open(ctx, "work", fmt.Sprintf("c%d", n))
		must.NoError(t, err)
		go func() {
			_, err := c.Once(ctx, d.BaseURLs()[n%3], http.MethodPost, "/v1/programs/"+string(charged)+"/services/s/charge", "k", effect(string(charged)), nil)
			results <- err
		}()
	}
	time.Sleep(50 * time.Millisecond) // the calls are in progress
	d.List.SetState("a", logservice.StateLeaving)
	must.NoError(t, draining.Drain(ctx))
	must.NoError(t, draining.Err())
	for range 2 * programs {
		must.NoError(t, <-results)
	}
	await(t, "the other instances to hold all slots", func() bool {
		return len(d.Instance("b").Slots())+len(d.Instance("c").Slots()) == 64
	})
	for _, s := range d.Services {
		must.SliceEmpty(t, s.DuplicateEffects())
	}
}

// Guards against goroutines and connections that outlive an instance.
func TestStopLeavesNothingBehind(t *testing.T) {
	before := runtime.NumGoroutine()
	for _, drain := range []bool{true, false} {
		s := trial.Settings{Manifest: smallManifest(t, 2, 2)}
		d, err := trial.Start(s)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		must.NoError(t, d.Publish(ctx))
		must.NoError(t, d.AddInstances(trial.InstanceSpec{Name: "a", Zone: "z0"}, trial.InstanceSpec{Name: "b", Zone: "z1"}))
		must.NoError(t, d.AwaitReady(ctx))
		c := trial.NewCaller(teamKey, d.BaseURLs)
		prog, err := c.Open(ctx, "work", "o")
		must.NoError(t, err)
		_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k", Model: "m", Message: "x", MaxTokens: 4, Stream: true})
		must.NoError(t, err)
		if drain {
			var wg sync.WaitGroup
			for _, i := range d.Running() {
				wg.Go(func() { must.NoError(t, i.Drain(ctx)) })
			}
			wg.Wait()
		}
		d.Close()
		c.Close()
		cancel()
	}
	http.DefaultClient.CloseIdleConnections()
	await(t, "the number of goroutines at the start", func() bool { return runtime.NumGoroutine() <= before })
}

// Guards against requests that hang on an instance that has stopped.
func TestStoppedInstanceRefuses(t *testing.T) {
	t.Parallel()
	d := cluster(t, 1, nil)
	i := d.Instance("a")
	resp, err := http.Get(base(i) + "/readyz")
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	must.Eq(t, 200, resp.StatusCode)
	i.Kill()
	_, err = http.Get(base(i) + "/readyz")
	must.Error(t, err)
	i.Kill() // a second call has no effect
}
