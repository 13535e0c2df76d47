package server

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// poolAccount is what was read of a dispatcher's accounts.
type poolAccount struct {
	filled, wasted int64
	total          float64
	work           map[string]dutyWork // at the start of the share window
	shares         []wire.DutyStatus   // of the last full window
}

type dutyWork struct{ owed, given float64 }

// observeTick reads what is counted elsewhere and drops what this instance owns no more.
func (c *core) observeTick(now time.Duration) {
	o := c.inst.observer
	if now-o.accountsAt >= accountInterval {
		o.accountsAt = now
		o.readAccounts(c)
		o.readCPU()
		o.prune(c)
		o.reclassify(now)
	}
	if now-o.sharesAt >= shareWindow {
		o.sharesAt = now
		o.readShares(c)
	}
}

// reclassify chooses the teams with histograms of their own, for the first time when there are calls.
func (o *observer) reclassify(now time.Duration) {
	if o.classesAt > 0 && now-o.classesAt < reclassifyInterval {
		return
	}
	if o.metrics.Reclassify() > 0 {
		o.classesAt = now
	}
}

func (o *observer) pool(name string) *poolAccount {
	a := o.pools[name]
	if a == nil {
		a = &poolAccount{work: map[string]dutyWork{}}
		o.pools[name] = a
	}
	return a
}

// readAccounts counts filled and wasted prefix tokens of the pools dispatched here.
func (o *observer) readAccounts(c *core) {
	for name, d := range c.dispatchers {
		sum, a := d.sched.TotalCacheUsage(), o.pool(name)
		o.metrics.CacheFilled(name, max(sum.Filled-a.filled, 0))
		o.metrics.CacheWasted(name, max(sum.Wasted-a.wasted, 0))
		a.filled, a.wasted = sum.Filled, sum.Wasted
	}
}

// readShares takes the shares of the window that ends now. A pool without work keeps its last ones.
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

// readCPU counts the time of the loop and of the peer codecs. It is wall time of code that doesn't
// block, since Go can't tell the processor time of a goroutine.
func (o *observer) readCPU() {
	for role, spent := range map[string]time.Duration{
		"core_loop":  time.Duration(o.loopTime.Load()),
		"peer_codec": o.inst.node.CodecTime(),
	} {
		o.metrics.ControlCPU(role, spent-o.cpu[role])
		o.cpu[role] = spent
	}
}

// prune forgets programs of slots that another instance holds.
func (o *observer) prune(c *core) {
	mine := func(p id.Program) bool {
		slot, err := p.Slot()
		return err == nil && c.holder(slot) == c.inst.session
	}
	for p := range o.programs {
		if !mine(p) {
			delete(o.programs, p)
		}
	}
	for call := range o.calls {
		if !mine(call.Program) {
			delete(o.calls, call)
		}
	}
	for attempt, w := range o.attempts {
		if !mine(w.call.Program) {
			delete(o.attempts, attempt)
		}
	}
}
