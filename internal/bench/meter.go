package bench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// meter collects the figures of a run.
//
// Work, by which the shares of the duties are compared, is in seconds; see recordWork.
type meter struct {
	from, to        time.Duration // the measured window
	duties          []string
	shares          map[string]float64
	waiting         map[string]int       // per duty: model calls not yet granted, with refused ones that will be retried
	demand          map[string][]bool    // per duty and second: waiting was above 0 at every sample
	work            map[string][]float64 // per duty and second
	meanPrefillRate float64              // of the engines, prompt tokens/s
	meanTokenTime   float64              // of the engines at half of their in-flight limits, s per output token
	finishedTokens  float64              // output tokens generated in the window for programs that finished
	outputByProgram map[*program]float64 // output tokens generated in the window for open programs
	refusals        int                  // refusal messages
}

func newMeter(d deployment, sc scenario) meter {
	m := meter{
		from: d.length / 5, to: d.length,
		shares: map[string]float64{}, waiting: map[string]int{}, demand: map[string][]bool{},
		work: map[string][]float64{}, outputByProgram: map[*program]float64{},
	}
	secs := int(d.length.Seconds()) + 1
	for _, u := range d.duties {
		m.duties = append(m.duties, u.Name)
		m.shares[u.Name] = u.Share
		m.demand[u.Name] = make([]bool, secs)
		m.work[u.Name] = make([]float64, secs)
		for i := range m.demand[u.Name] {
			m.demand[u.Name][i] = true
		}
	}
	for _, e := range d.engines {
		m.meanPrefillRate += e.prefillRate / float64(len(d.engines))
		m.meanTokenTime += (e.tokenBase + e.tokenSlope*float64(e.limit)/2) / float64(len(d.engines))
	}
	return m
}

func (m *meter) addWaiting(duty string, n int) { m.waiting[duty] += n }

// sampleDemand marks the current second as one without demand for each duty that has no waiting calls.
func (m *meter) sampleDemand(s *sim) {
	sec := int(s.now.Seconds())
	for _, d := range m.duties {
		if sec < len(m.demand[d]) && m.waiting[d] == 0 {
			m.demand[d][sec] = false
		}
	}
}

// recordWork spreads the work of an ended model call evenly over the seconds from its arrival to its end.
// Work is the mean of the call's time at the engine and of the time that its computed tokens take at the
// engines' mean speed.
func (m *meter) recordWork(s *sim, at *attempt, j *job) {
	if at.pool != s.modelPool || j.firstTokenAt == 0 {
		return
	}
	total := (s.now - j.arrivedAt).Seconds()
	tokens := float64(j.prompt-j.cachedTokens)/m.meanPrefillRate + float64(j.output)*m.meanTokenTime
	w := (total + tokens) / 2
	a, b := j.arrivedAt.Seconds(), s.now.Seconds()
	buckets := m.work[j.duty]
	for t := int(a); t <= int(b) && t < len(buckets); t++ {
		lo, hi := max(a, float64(t)), min(b, float64(t+1))
		buckets[t] += w * max(hi-lo, 0) / max(b-a, 1e-9)
	}
	if s.now >= m.from && s.now < m.to {
		m.outputByProgram[at.call.branch.program] += float64(j.output)
	}
}

// programEnded counts the output tokens of a program if it finished.
func (m *meter) programEnded(p *program) {
	if p.state == stateFinished {
		m.finishedTokens += m.outputByProgram[p]
	}
	delete(m.outputByProgram, p)
}

// shareWindowSeconds is the time over which a duty must get its owed share.
const shareWindowSeconds = 30

// owedShareKept returns the smallest fraction of its owed share that a duty received in a window of
// shareWindowSeconds. Only windows after `from` count in which the duty had demand in every second. The
// result is at most 1, and 1 if there is no such window.
func (m *meter) owedShareKept(from time.Duration) float64 {
	kept := 1.0
	end := int(m.to.Seconds())
	for start := int(math.Ceil(from.Seconds())); start+shareWindowSeconds <= end; start++ {
		total := 0.0
		for _, d := range m.duties {
			total += sum(m.work[d][start : start+shareWindowSeconds])
		}
		for _, d := range m.duties {
			if m.shares[d] == 0 || total == 0 || slices.Contains(m.demand[d][start:start+shareWindowSeconds], false) {
				continue
			}
			kept = min(kept, sum(m.work[d][start:start+shareWindowSeconds])/(m.shares[d]*total))
		}
	}
	return kept
}

func sum(v []float64) float64 {
	t := 0.0
	for _, x := range v {
		t += x
	}
	return t
}

// violations counts the scheduling decisions that break a guarantee of the scheduler.
type violations struct {
	leaving   int // grants to an endpoint later than leavingGracePeriod after it began to leave
	limit     int // grants above an endpoint's in-flight limit
	order     int // grants of a call that is not the current one of its branch
	duplicate int // grants and refusals of an attempt that is unknown or already has a decision
}

func newViolations() violations { return violations{} }

func (p *violations) total() int { return p.leaving + p.limit + p.order + p.duplicate }

// leavingGracePeriod is how long after the notice that an endpoint leaves grants to it are still allowed.
const leavingGracePeriod = 3 * time.Second

// checkGrant checks a grant against the guarantees and marks the attempt as granted. The pool's count of
// calls in flight already includes the grant.
func (p *violations) checkGrant(s *sim, pl *pool, g sched.Grant, at *attempt) {
	if t, ok := pl.leavingAt[g.Endpoint]; ok && s.now > t+leavingGracePeriod {
		p.leaving++
	}
	for _, e := range pl.cfg.Endpoints {
		if e.Name == g.Endpoint && pl.inFlight[e.Name] > e.MaxInFlight {
			p.limit++
		}
	}
	if at == nil || at.granted || at.wasRefused {
		p.duplicate++
		return
	}
	at.granted = true
	if b := at.call.branch; b.pending != at.call && b.program.open() && !at.ended {
		p.order++
	}
}

// checkRefusal checks that the attempt had no decision before and marks it as refused.
func (p *violations) checkRefusal(at *attempt) {
	if at == nil || at.granted || at.wasRefused {
		p.duplicate++
		return
	}
	at.wasRefused = true
}

// sortAttempts sorts attempts by their IDs.
func sortAttempts(a []*attempt) {
	slices.SortFunc(a, func(x, y *attempt) int { return cmp.Compare[id.Attempt](x.id, y.id) })
}
