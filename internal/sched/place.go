package sched

import (
	"slices"
	"time"
)

// Placement constants.
const (
	neighbourWeight   = 1.0
	wasteWeight       = 32.0
	evictionCostStart = 0.75 // part of an endpoint's prefix memory that is filled without cost
	maxParkWait       = 6 * time.Second
)

// placement is the outcome of a choice: an endpoint to grant, or one to wait for.
type placement struct {
	ep       *endpoint
	moveFrom *endpoint // move the cache from here
	wait     bool
	reason   Reason
	time     float64 // predicted time at the endpoint, s
}

// choose picks the endpoint with the lowest cost: predicted time, plus slowing of the calls already
// there, plus the prefix memory that the choice wastes. It returns an empty placement when no
// endpoint has a free place for the call.
func (s *Scheduler) choose(c *call) placement {
	if s.opt.NoCostModel {
		return s.chooseSimple(c)
	}
	var best placement
	bestCost := 0.0
	for _, ep := range s.endpoints {
		if !s.hasCapacity(ep) || slices.Contains(c.req.Avoid, ep.Name) {
			continue
		}
		p, cost := s.costAt(c, ep)
		if best.ep == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	if best.ep == nil {
		return s.chooseAvoided(c)
	}
	if w := s.chooseBusy(c, bestCost); w.ep != nil {
		return w
	}
	return best
}

// chooseAvoided returns an endpoint that failed the call before if no other endpoint takes work.
func (s *Scheduler) chooseAvoided(c *call) placement {
	if len(c.req.Avoid) == 0 {
		return placement{}
	}
	var best *endpoint
	for _, ep := range s.endpoints {
		if s.canServe(ep) && !slices.Contains(c.req.Avoid, ep.Name) {
			return placement{}
		}
		if s.hasCapacity(ep) && (best == nil || ep.inFlight < best.inFlight) {
			best = ep
		}
	}
	if best == nil {
		return placement{}
	}
	return placement{ep: best, reason: ReasonOnlyAvoided, time: s.estimate(best, c, 0)}
}

// chooseSimple takes the last endpoint if it is free, otherwise the least loaded one.
func (s *Scheduler) chooseSimple(c *call) placement {
	if ep := s.endpointByName[c.req.LastEndpoint]; ep != nil && s.hasCapacity(ep) && !slices.Contains(c.req.Avoid, ep.Name) {
		return placement{ep: ep, reason: ReasonWarm, time: s.estimate(ep, c, c.cachedAt(ep))}
	}
	var best *endpoint
	for _, ep := range s.endpoints {
		if !s.hasCapacity(ep) || slices.Contains(c.req.Avoid, ep.Name) {
			continue
		}
		if best == nil || ep.inFlight*best.MaxInFlight < best.inFlight*ep.MaxInFlight {
			best = ep
		}
	}
	if best == nil {
		return s.chooseAvoided(c)
	}
	return placement{ep: best, reason: ReasonLeastLoaded, time: s.estimate(best, c, c.cachedAt(best))}
}

// costAt is the cost of running the call at a free endpoint now.
func (s *Scheduler) costAt(c *call, ep *endpoint) (placement, float64) {
	p := placement{ep: ep, reason: ReasonFastest}
	cached := c.cachedAt(ep)
	if cached > 0 {
		p.reason = ReasonWarm
	} else if c.bestPrefix != nil {
		p.reason = ReasonRecompute
	}
	if ep.breakerPause > 0 {
		p.reason = ReasonProbe
	}
	p.time = s.estimate(ep, c, cached)
	lost := s.lostTokens(c, ep, cached)
	if t := s.moveTime(c, ep, cached); t >= 0 && t < p.time {
		p.time, p.moveFrom, p.reason, lost = t, c.bestPrefix.ep, ReasonMove, 0
	}
	m := &ep.cost
	neighbours := neighbourWeight * m.slope * float64(ep.inFlight) * c.units
	cost := s.cfg.WeightLatency*(p.time*s.slowFactor(ep)+neighbours) +
		s.cfg.WeightCache*wasteWeight*float64(lost+s.evictedTokens(c, ep, cached))/m.prefillRate
	return p, cost
}

func (s *Scheduler) slowFactor(ep *endpoint) float64 {
	if s.opt.NoSlowCheck {
		return 1
	}
	return ep.cost.slowdown()
}

// moveTime is the predicted time with the prefix moved to ep, or -1 if it cannot be moved.
func (s *Scheduler) moveTime(c *call, ep *endpoint, cached int64) float64 {
	w := c.bestPrefix
	if s.opt.NoMove || w == nil || w.ep == ep || s.hasCapacity(w.ep) || !ep.CanExport || !w.ep.CanExport || w.tokens <= cached {
		return -1
	}
	move := transferSetup.Seconds() + float64(w.tokens)/transferRate
	return move + s.estimate(ep, c, min(w.tokens, c.req.PromptTokens))
}

// lostTokens is the prefix filled elsewhere that nothing will read when the call runs at ep.
func (s *Scheduler) lostTokens(c *call, ep *endpoint, cached int64) int64 {
	if c.bestPrefix == nil || c.bestPrefix.ep == ep {
		return 0
	}
	return max(c.bestPrefix.tokens-cached, 0)
}

// evictedTokens is the number of cached tokens that the call's own memory evicts at ep. It counts from a
// part of the memory on, because the programs that are there grow.
func (s *Scheduler) evictedTokens(c *call, ep *endpoint, cached int64) int64 {
	if ep.CacheTokens == 0 {
		return 0
	}
	need := c.req.PromptTokens - cached + int64(c.units)
	over := ep.cache.tokens + need - int64(evictionCostStart*float64(ep.CacheTokens))
	return min(max(over, 0), need)
}

// chooseBusy returns the busy endpoint that holds the prefix if waiting for it costs less than running
// elsewhere now.
func (s *Scheduler) chooseBusy(c *call, bestCost float64) placement {
	w := c.bestPrefix
	if s.opt.NoWarmWait || w == nil || c.noPark || s.hasCapacity(w.ep) || !s.canServe(w.ep) ||
		slices.Contains(c.req.Avoid, w.ep.Name) {
		return placement{}
	}
	ep := w.ep
	wait := ep.cost.meanTotal * float64(ep.parked.len()+1) / float64(max(ep.inFlight, 1))
	p, cost := s.costAt(c, ep)
	if cost+s.cfg.WeightLatency*wait >= bestCost {
		return placement{}
	}
	p.wait = true
	c.parkLimit = min(max(2*seconds(wait), 100*time.Millisecond), maxParkWait)
	return p
}
