package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ragwortstile/platform/platformtest"
)

// survivors plays the loss of two of four machines, after conversations whose turns are as long as the sheet allows. An
// instance whose memory exceeds that of its machine is killed and starts again, as on the platform.
func survivors(rec *record, dir string, trouble bool) (bool, error) {
	const (
		machines   = 4
		lost       = 2
		input      = 26_000 // most bytes of a request of the sheet
		stored     = 280e6  // bytes of turns; the store takes 400 MB
		fillLimit  = 52 * time.Second
		judged     = 45 * time.Second
		restart    = 500 * time.Millisecond
		workers    = 36
		endsOfRule = 3 // ends of a process that count
		ofRule     = 2 // machines on which they do: a tenth, two at least
	)
	s := sheet{memoryMB: 154, maxFDs: 8200, parts: 12, graceS: 8, drainMs: 2000, configMs: 2000, stableMs: 3000}
	r, err := setUp(rec, dir, binary(), s, machines, func(n int) string { return fmt.Sprint("zone-", n%4) }, 9,
		func(run platformtest.Run) platformtest.Behaviour {
			rec.logf("run %s", run.ID)
			return platformtest.Behaviour{Events: 4, Delay: 20 * time.Millisecond, Pause: 5 * time.Millisecond}
		}, turnConfig(1))
	defer r.close()
	if err != nil {
		return false, err
	}
	c := &callers{
		rec: rec, host: "chat.example", path: "/talk/2f", fronts: r.readyFronts(), budget: 5000, tokens: "1460,80", input: input, turns: 7,
		think: 60 * time.Millisecond, runSeed: fmt.Sprintf("%x", time.Now().UnixNano()&0xffff),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watches sync.WaitGroup
	ends := make([]int, machines)
	for n, i := range r.instances {
		watches.Go(func() { ends[n] = r.enforceMemory(ctx, i, float64(s.memoryMB), restart) })
	}
	fill, endFill := context.WithTimeout(ctx, fillLimit)
	defer endFill()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { c.run(fill) })
	}
	bytes := 0.0
	for fill.Err() == nil && bytes < stored {
		time.Sleep(200 * time.Millisecond)
		_, whole := c.served(0, rec.since(), nil)
		bytes = float64(whole) * input
	}
	endFill()
	wg.Wait()
	sent, ok := c.served(0, rec.since(), nil)
	rec.say("before: %d turns sent, %d served, %.0f MB", sent, ok, float64(ok)*input/1e6)
	if ok*4 < sent || sent == 0 {
		return false, fmt.Errorf("too few requests are served before the loss")
	}
	struck := rec.since()
	if trouble {
		for _, i := range r.instances[:lost] {
			i.remove()
			rec.say("%s is lost for good", i.name)
		}
	}
	after := &callers{
		rec: rec, host: c.host, path: c.path, fronts: c.fronts, budget: c.budget, tokens: c.tokens, input: 4300, turns: 9,
		think: c.think, runSeed: c.runSeed + "a",
	}
	calm, endCalm := context.WithTimeout(ctx, judged)
	defer endCalm()
	for range 4 {
		wg.Go(func() { after.run(calm) })
	}
	wg.Wait()
	cancel()
	watches.Wait()
	over := 0
	for n, i := range r.instances {
		rec.say("%s exceeded its memory %d times", i.name, ends[n])
		if ends[n] >= endsOfRule {
			over++
		}
	}
	sent, ok = after.served(struck+15, rec.since()-deadline.Seconds(), nil)
	rec.say("from 15 s after the loss on: %d turns sent, %d served", sent, ok)
	return over >= ofRule, nil
}

// enforceMemory kills the process of an instance whenever its memory exceeds that of its machine, and starts it again. It
// returns how often it did.
func (r *rig) enforceMemory(ctx context.Context, i *instance, limitMB float64, restart time.Duration) int {
	ends, peak, said := 0, 0.0, time.Now()
	for ctx.Err() == nil && !i.removed.Load() {
		time.Sleep(20 * time.Millisecond)
		used := i.memoryMB()
		peak = max(peak, used)
		if time.Since(said) > 5*time.Second {
			said = time.Now()
			r.rec.logf("%s uses %.0f MB, at most %.0f MB", i.name, used, peak)
			peak = 0
		}
		if used <= limitMB {
			continue
		}
		ends++
		i.kill()
		r.rec.say("%s used %.0f MB of %.0f MB and was killed", i.name, used, limitMB)
		time.Sleep(restart)
		if i.removed.Load() {
			break
		}
		if err := r.start(i); err != nil {
			r.rec.say("%s did not start: %v", i.name, err)
			return ends
		}
	}
	return ends
}

// remove ends the process of an instance for good.
func (i *instance) remove() {
	i.removed.Store(true)
	i.kill()
}
