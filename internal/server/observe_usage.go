package server

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// poolUsage is the usage last read from a pool's dispatcher.
type poolUsage struct {
	filled, wasted int64
	total          float64
	work           map[string]dutyWork // by duty, at the start of the share window
	shares         []wire.DutyStatus   // of the last complete window with work
}

type dutyWork struct{ owed, given float64 }

// observeTick reads usage that is counted elsewhere and removes data of programs that this instance
// no longer owns.
func (c *core) observeTick(now time.Duration) {
	o := c.inst.observer
	if now-o.usageAt >= usageInterval {
		o.usageAt = now
		o.readCacheUsage(c)
		o.readCPU()
		o.prune(c)
		o.reclassify(now)
	}
	if now-o.sharesAt >= shareWindow {
		o.sharesAt = now
		o.readShares(c)
	}
}

// reclassify selects the teams that get histograms of their own. The first selection is made as soon
// as there are calls.
func (o *observer) reclassify(now time.Duration) {
	if o.classesAt > 0 && now-o.classesAt < reclassifyInterval {
		return
	}
	if o.metrics.Reclassify() > 0 {
		o.classesAt = now
	}
}

func (o *observer) pool(name string) *poolUsage {
	a := o.pools[name]
	if a == nil {
		a = &poolUsage{work: map[string]dutyWork{}}
		o.pools[name] = a
	}
	return a
}

// readCacheUsage adds the filled and wasted prefix tokens of the pools dispatched here to the
// metrics.
func (o *observer) readCacheUsage(c *core) {
	for name, d := range c.dispatchers {
		sum, a := d.sched.TotalCacheUsage(), o.pool(name)
		o.metrics.CacheFilled(name, max(sum.Filled-a.filled, 0))
		o.metrics.CacheWasted(name, max(sum.Wasted-a.wasted, 0))
		a.filled, a.wasted = sum.Filled, sum.Wasted
	}
}

// readShares computes the shares of the window that ends now. A pool without work keeps its previous
// ones.
func (o *observer) readShares(c *core) {
	for name, d := range c.dispatchers {
		duties, total := d.sched.WorkByDuty()
		a := o.pool(name)
		done := total - a.total
		if done <= 0 {
			continue
		}
		a.total, a.shares = total, nil
		for _, w := range duties {
			old := a.work[w.Duty]
			share := wire.DutyStatus{Duty: w.Duty, Owed: (w.Owed - old.owed) / done, Given: (w.Given - old.given) / done}
			a.work[w.Duty] = dutyWork{owed: w.Owed, given: w.Given}
			a.shares = append(a.shares, share)
			o.metrics.SetShare(telemetry.PoolDuty{Pool: name, Duty: w.Duty}, share.Owed, share.Given)
		}
	}
}

// readCPU adds the time spent in the core loop and in the peer codecs to the metrics. It is wall time
// of code that doesn't block, since Go cannot report the CPU time of a goroutine.
func (o *observer) readCPU() {
	for role, used := range map[string]time.Duration{
		"core_loop":  time.Duration(o.loopTime.Load()),
		"peer_codec": o.inst.node.CodecTime(),
	} {
		o.metrics.ControlCPU(role, used-o.cpu[role])
		o.cpu[role] = used
	}
}

// prune removes programs, calls and attempts of slots that another instance holds.
func (o *observer) prune(c *core) {
	heldHere := func(p id.Program) bool {
		slot, err := p.Slot()
		return err == nil && c.holder(slot) == c.inst.session
	}
	for p := range o.programs {
		if !heldHere(p) {
			delete(o.programs, p)
		}
	}
	for call := range o.calls {
		if !heldHere(call.Program) {
			delete(o.calls, call)
		}
	}
	for attempt, w := range o.attempts {
		if !heldHere(w.call.Program) {
			delete(o.attempts, attempt)
		}
	}
}
