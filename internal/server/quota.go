package server

import (
	"net/http"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// quotaInterval is the time between counts of open programs. Between two counts an instance adds the
// programs that were opened through it, so a tenant can exceed its limit by what it opens through
// other instances in that time.
const quotaInterval = time.Second

// quota counts the open programs of each tenant in the whole deployment.
type quota struct {
	at   time.Duration
	open map[string]int
}

func (c *core) countPrograms(now time.Duration) {
	if c.fold == nil || (c.quota.open != nil && now-c.quota.at < quotaInterval) {
		return
	}
	c.quota = quota{at: now, open: map[string]int{}}
	for s := range id.Slot(id.Slots) {
		c.fold.Each(s, func(p *fsm.Program) {
			if !p.Ended() {
				c.quota.open[p.Tenant]++
			}
		})
	}
}

// overQuota refuses to open a program for a tenant that has as many as its manifest entry allows.
func (c *core) overQuota(r *request) bool {
	e, opens := r.ev.(program.OpenProgram)
	if !opens || r.remote || r.counted || c.manifest == nil || c.quota.open == nil {
		return false
	}
	for _, t := range c.manifest.Tenants {
		if t.Name != e.Tenant || t.MaxPrograms == 0 || c.quota.open[e.Tenant] < t.MaxPrograms {
			continue
		}
		if _, known := c.fold.ByKey(e.Tenant, e.Key); known {
			continue // a repeated key opens nothing
		}
		r.cancel()
		c.inst.observer.metrics.Refused("too_many_programs")
		refuseRequest(r.sink, program.Problem{Type: "too_many_programs", Status: http.StatusTooManyRequests,
			Detail: "the tenant has as many open programs as it may have", Executed: record.ExecutedNo}, time.Second)
		return true
	}
	r.counted = true
	c.quota.open[e.Tenant]++
	return false
}
