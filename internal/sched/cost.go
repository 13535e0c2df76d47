package sched

import "time"

// Initial values of the cost model, used until results have been reported, and the assumed speed of moving
// a prefix between endpoints.
const (
	priorPrefillRate = 4000.0                // tokens/s
	priorTokenBase   = 0.02                  // s per token with no other call
	priorTokenSlope  = 0.001                 // s per token and running call
	priorServiceTime = 0.2                   // s per call of a service
	transferRate     = 40000.0               // tokens/s
	transferSetup    = 20 * time.Millisecond // per transfer
)

// Parameters of learning. A learn rate is the weight of a new sample in an exponential moving average.
const (
	fitDecay = 0.99 // factor on older observations in the least-squares fit, per new observation
	// An engine never computes a prompt faster than it can, but often starts it late, so the prefill rate
	// rises quickly to fast samples and falls slowly towards slow ones.
	prefillRiseRate = 0.2
	prefillFallRate = 0.02
	meanLearnRate   = 0.1 // of the mean time of a call
	ratioLearnRate  = 0.3 // of the ratio of observed to predicted time
	// maxQueueFraction is the predicted prefill queue, as a fraction of the time to first token, up to which a
	// sample may lower the prefill rate.
	maxQueueFraction = 0.1
	minPrefillSample = 100 // uncached tokens; shorter prompts would measure the network
	slowThreshold    = 2.5 // ratio of observed to predicted time above which an endpoint counts as slow
)

// costModel predicts the time of a call at one endpoint from the results of earlier calls there.
// The time per unit (an output token of an engine, a call of a service) is fitted as base + slope*running
// by least squares with exponentially decaying weights.
type costModel struct {
	prefillRate     float64 // tokens/s
	w, n, nn, y, ny float64 // decayed sums for the fit; n: running calls, y: time per unit
	base, slope     float64 // s per unit
	ratio           float64 // recent mean of observed time / predicted time
	meanTotal       float64 // s, recent mean time of a whole call
	samples         int
	prefillSamples  int
}

func newCostModel(model bool) costModel {
	m := costModel{prefillRate: priorPrefillRate, base: priorTokenBase, slope: priorTokenSlope, ratio: 1, meanTotal: 5}
	if !model {
		m.base, m.slope, m.meanTotal = priorServiceTime, 0, priorServiceTime
	}
	return m
}

// unitTime returns the predicted time in seconds per output token or service call with n calls running.
func (m *costModel) unitTime(n float64) float64 { return m.base + m.slope*n }

// slowdown returns the factor by which the endpoint is slower than its own past; 1 if it is not much slower.
func (m *costModel) slowdown() float64 {
	if m.ratio > slowThreshold {
		return m.ratio
	}
	return 1
}

// observePrefill learns the prefill rate from the time to first token. queue is the predicted time in
// seconds to compute the prompts ahead of the call. A call that had to wait gives only a lower bound of
// the rate; subtracting the predicted queue from its time would feed the error of the rate back into it.
func (m *costModel) observePrefill(uncached, queue float64, first time.Duration) {
	if uncached < minPrefillSample || first <= 0 {
		return
	}
	rate := uncached / first.Seconds()
	if queue > maxQueueFraction*first.Seconds() && rate < m.prefillRate {
		return
	}
	m.prefillSamples++
	a := prefillFallRate
	if rate > m.prefillRate {
		a = prefillRiseRate
	}
	a = max(a, 1/float64(m.prefillSamples))
	m.prefillRate += a * (rate - m.prefillRate)
}

// observeUnits learns from a time per unit in seconds with n calls running.
func (m *costModel) observeUnits(perUnit, n float64) {
	m.w = m.w*fitDecay + 1
	m.n = m.n*fitDecay + n
	m.nn = m.nn*fitDecay + n*n
	m.y = m.y*fitDecay + perUnit
	m.ny = m.ny*fitDecay + n*perUnit
	m.samples++
	m.fit()
}

func (m *costModel) fit() {
	mean, meanN := m.y/m.w, m.n/m.w
	variance := m.nn/m.w - meanN*meanN
	slope := m.slope
	if variance > 0.5 && m.samples >= 8 {
		slope = (m.ny/m.w - meanN*mean) / variance
	}
	slope = min(max(slope, 0), mean/max(meanN, 1))
	m.base, m.slope = mean-slope*meanN, slope
}

// observeRatio compares the time of a whole call with its prediction, both in seconds. The ratio follows the
// last few calls and the fit about the last hundred, so the ratio compares the endpoint with its own past.
func (m *costModel) observeRatio(observed, predicted float64) {
	if predicted <= 0 {
		return
	}
	r := min(max(observed/predicted, 0.2), 10)
	m.ratio += ratioLearnRate * (r - m.ratio)
	m.meanTotal += meanLearnRate * (observed - m.meanTotal)
}

// learn updates the model of the call's endpoint from its result.
func (s *Scheduler) learn(c *call, d Done) {
	ep := c.ep
	if d.Result != ResultOK {
		return
	}
	n := float64(ep.inFlight+c.runningAtGrant) / 2
	m := &ep.cost
	m.observeRatio(d.Total.Seconds(), c.predicted)
	if !s.cfg.Model {
		m.observeUnits(d.Total.Seconds(), n)
		return
	}
	m.observePrefill(float64(d.PromptTokens-d.CachedTokens), c.prefillQueue, d.FirstToken)
	if d.OutputTokens > 0 {
		m.observeUnits((d.Total-d.FirstToken).Seconds()/float64(d.OutputTokens), n)
	}
}

// estimate predicts the time in seconds from dispatch to the end of a call of which `cached` prompt tokens are
// in the endpoint's cache.
func (s *Scheduler) estimate(ep *endpoint, c *call, cached int64) float64 {
	m := &ep.cost
	t := c.units * m.unitTime(float64(ep.inFlight+1))
	if s.cfg.Model {
		t += ep.prefillQueue(s.now) + float64(c.req.PromptTokens-cached)/m.prefillRate
	}
	return t
}

// prefillQueue returns the predicted time in seconds until the endpoint has computed the prompts granted so far.
func (e *endpoint) prefillQueue(now time.Duration) float64 {
	if e.prefillDoneAt <= now {
		return 0
	}
	return (e.prefillDoneAt - now).Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
