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
type meter struct {
	from, to  time.Duration // programs that arrive in between are measured
	duties    []string
	shares    map[string]float64
	waiting   map[string]int    // calls submitted and not granted, refused ones that will retry included
	demand    map[string][]bool // per second: the duty had such calls at every sample
	work      map[string][]float64
	prefill   float64 // mean speed of the engines, tokens/s
	unit      float64 // mean time per output token at half load, s
	tokens    float64 // output tokens generated in the window by calls of programs that finished
	perOutput map[*program]float64
	refusals  int
}

func newMeter(d deployment, sc scenario) meter {
	m := meter{
		from: d.length / 5, to: d.length,
		shares: map[string]float64{}, waiting: map[string]int{}, demand: map[string][]bool{},
		work: map[string][]float64{}, perOutput: map[*program]float64{},
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
		m.prefill += e.prefillRate / float64(len(d.engines))
		m.unit += (e.tokenBase + e.tokenSlope*float64(e.limit)/2) / float64(len(d.engines))
	}
	return m
}

func (m *meter) pending(duty string, n int) { m.waiting[duty] += n }

// sample marks the current second of each duty without waiting calls.
func (m *meter) sample(s *sim) {
	sec := int(s.now.Seconds())
	for _, d := range m.duties {
		if sec < len(m.demand[d]) && m.waiting[d] == 0 {
			m.demand[d][sec] = false
		}
	}
}

// worked spreads the work of an ended job evenly over the seconds from its arrival to its end. Work is
// the mean of the time at the endpoint and of the tokens at the engines' mean speed.
func (m *meter) worked(s *sim, at *attempt, j *job) {
	if at.pool != s.model || j.first == 0 {
		return
	}
	total := (s.now - j.arrived).Seconds()
	tokens := float64(j.prompt-j.hit)/m.prefill + float64(j.output)*m.unit
	w := (total + tokens) / 2
	a, b := j.arrived.Seconds(), s.now.Seconds()
	buckets := m.work[j.duty]
	for t := int(a); t <= int(b) && t < len(buckets); t++ {
		lo, hi := max(a, float64(t)), min(b, float64(t+1))
		buckets[t] += w * max(hi-lo, 0) / max(b-a, 1e-9)
	}
	if s.now >= m.from && s.now < m.to {
		m.perOutput[at.call.branch.program] += float64(j.output)
	}
}

func (m *meter) ended(p *program) {
	if p.state == stateFinished {
		m.tokens += m.perOutput[p]
	}
	delete(m.perOutput, p)
}

// shareWindow is the time over which an owed share must hold.
const shareWindow = 30

// owedShareKept is the smallest part of its owed share that a duty with demand during the whole of a
// 30 s window received, over all windows after `from`; 1 if no duty had such demand.
func (m *meter) owedShareKept(from time.Duration) float64 {
	kept := 1.0
	end := int(m.to.Seconds())
	for start := int(math.Ceil(from.Seconds())); start+shareWindow <= end; start++ {
		total := 0.0
		for _, d := range m.duties {
			total += sum(m.work[d][start : start+shareWindow])
		}
		for _, d := range m.duties {
			if m.shares[d] == 0 || total == 0 || slices.Contains(m.demand[d][start:start+shareWindow], false) {
				continue
			}
			kept = min(kept, sum(m.work[d][start:start+shareWindow])/(m.shares[d]*total))
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

// promises counts decisions that break a guarantee.
type promises struct {
	leaving int // grants to an endpoint more than 3 s after it began to leave (P8)
	limit   int // grants above an endpoint's limit
	order   int // grants of a call that is not the current one of its branch (P1)
	twice   int // second grants, grants after a refusal, refusals after a grant (P6)
}

func newPromises() promises { return promises{} }

func (p *promises) total() int { return p.leaving + p.limit + p.order + p.twice }

const leavingGrace = 3 * time.Second

func (p *promises) grant(s *sim, pl *pool, g sched.Grant, at *attempt) {
	if t, ok := pl.leavingAt[g.Endpoint]; ok && s.now > t+leavingGrace {
		p.leaving++
	}
	for _, e := range pl.cfg.Endpoints {
		if e.Name == g.Endpoint && pl.inFlight[e.Name] > e.MaxInFlight {
			p.limit++
		}
	}
	if at == nil || at.granted || at.refusedX {
		p.twice++
		return
	}
	at.granted = true
	if b := at.call.branch; b.pending != at.call && b.program.open() && !at.over {
		p.order++
	}
}

func (p *promises) refuse(at *attempt) {
	if at == nil || at.granted || at.refusedX {
		p.twice++
		return
	}
	at.refusedX = true
}

func sortAttempts(a []*attempt) {
	slices.SortFunc(a, func(x, y *attempt) int { return cmp.Compare[id.Attempt](x.id, y.id) })
}
