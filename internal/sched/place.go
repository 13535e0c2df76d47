package sched

import (
	"slices"
	"time"
)

// Weights and limits of the choice of an endpoint. The costs of endpoints are in seconds, multiplied by the
// weights of the manifest (Config.WeightLatency and Config.WeightCache) and those below.
const (
	neighbourWeight   = 1.0             // weight of the predicted delay of the calls already running there
	wasteWeight       = 32.0            // weight of the time to compute the wasted prefix tokens again
	evictionCostStart = 0.75            // fraction of an endpoint's prefix cache that can be filled at no cost
	maxParkWait       = 6 * time.Second // limit on waiting for the endpoint that holds the prefix
)

// placement is the result of choosing: an endpoint to run a call at, or one to wait for.
type placement struct {
	ep       *endpoint
	moveFrom *endpoint // if not nil, the prefix is moved from here first
	wait     bool      // wait until ep has capacity
	reason   Reason
	time     float64 // predicted time at the endpoint, s
}

// choose returns the endpoint with the lowest cost. The cost is the predicted time of the call, plus the delay
// of the calls already running there, plus the time to compute again the prefix tokens that the choice
// wastes. The prefix is the part of the prompt that an engine has in its cache from an earlier call of the
// branch. If the endpoint with the call's largest prefix is busy and waiting for it costs less, choose
// returns that endpoint with wait set. It returns an empty placement if no endpoint has capacity for the
// call.
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
	if busy := s.chooseBusy(c, bestCost); busy.ep != nil {
		return busy
	}
	return best
}

// chooseAvoided returns an endpoint at which an earlier attempt of the call failed, but only if no other
// endpoint accepts calls.
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

// chooseSimple replaces the choice by cost if the cost model is off. It returns the branch's last endpoint if
// that has capacity, otherwise the least loaded one.
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

// costAt returns the placement of the call at an endpoint and its cost, in weighted seconds. Where moving the
// prefix to the endpoint first is predicted to take less time, the placement includes the move.
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

// slowFactor returns the factor by which an endpoint is much slower than its own past, see costModel.slowdown.
// It is 1 if the check for slow endpoints is off.
func (s *Scheduler) slowFactor(ep *endpoint) float64 {
	if s.opt.NoSlowCheck {
		return 1
	}
	return ep.cost.slowdown()
}

// moveTime returns the predicted time in seconds if the call's largest prefix is first moved to ep. It returns
// -1 if there is nothing to move, if one of the two endpoints cannot transfer its cache, if the endpoint that
// holds the prefix has capacity for the call itself, or if ep has as many tokens of the branch cached.
func (s *Scheduler) moveTime(c *call, ep *endpoint, cached int64) float64 {
	best := c.bestPrefix
	if s.opt.NoMove || best == nil || best.ep == ep || s.hasCapacity(best.ep) || !ep.CanExport || !best.ep.CanExport || best.tokens <= cached {
		return -1
	}
	move := transferSetup.Seconds() + float64(best.tokens)/transferRate
	return move + s.estimate(ep, c, min(best.tokens, c.req.PromptTokens))
}

// lostTokens returns the number of tokens of the call's largest prefix, cached at another endpoint, that must be
// computed again if the call runs at ep.
func (s *Scheduler) lostTokens(c *call, ep *endpoint, cached int64) int64 {
	if c.bestPrefix == nil || c.bestPrefix.ep == ep {
		return 0
	}
	return max(c.bestPrefix.tokens-cached, 0)
}

// evictedTokens returns the number of cached tokens at ep that the call is counted to evict. Evictions are
// counted before the cache is full, because the programs that are cached there will grow.
func (s *Scheduler) evictedTokens(c *call, ep *endpoint, cached int64) int64 {
	if ep.CacheTokens == 0 {
		return 0
	}
	need := c.req.PromptTokens - cached + int64(c.units)
	over := ep.cache.tokens + need - int64(evictionCostStart*float64(ep.CacheTokens))
	return min(max(over, 0), need)
}

// chooseBusy returns the busy endpoint that holds the call's largest prefix if waiting for it costs less than
// running elsewhere now, and an empty placement otherwise. The wait is predicted from the mean time of a call
// there and the numbers of running and parked calls. The call is parked for at most twice the predicted wait,
// bounded by 100 ms below and maxParkWait above; afterwards it is placed without being parked again.
func (s *Scheduler) chooseBusy(c *call, bestCost float64) placement {
	best := c.bestPrefix
	if s.opt.NoWarmWait || best == nil || c.noPark || s.hasCapacity(best.ep) || !s.canServe(best.ep) ||
		slices.Contains(c.req.Avoid, best.ep.Name) {
		return placement{}
	}
	ep := best.ep
	wait := ep.cost.meanTotal * float64(ep.parked.len()+1) / float64(max(ep.inFlight, 1))
	p, cost := s.costAt(c, ep)
	if cost+s.cfg.WeightLatency*wait >= bestCost {
		return placement{}
	}
	p.wait = true
	c.parkLimit = min(max(2*seconds(wait), 100*time.Millisecond), maxParkWait)
	return p
}
