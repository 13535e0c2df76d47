package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ragwortstile/internal/id"
)

// turn is one model call of a branch and what follows it. Lengths are in tokens.
type turn struct {
	addedTokens   int64 // what the caller adds to the conversation
	output        int64
	subAgents     [][]turn      // turns of the sub-agents that run before the next turn
	service       time.Duration // time of the service call after the turn on an idle server of time factor 1; 0: none
	pause         time.Duration // tool or reading pause after the turn
	expectedPause time.Duration // the owner's estimate of the pause
}

// programSpec is a program of the trace. The dispatchers do not see its turns before they happen.
type programSpec struct {
	id       id.Program
	team     string
	duty     string
	arrival  time.Duration
	deadline time.Duration // after arrival; 0: none
	turns    []turn
	flood    bool // added by addFlood; not counted in the figures of programs
}

// outputTokens is the total length of the answers of the program and its sub-agents.
func (p *programSpec) outputTokens() int64 { return outputTokensOf(p.turns) }

func outputTokensOf(turns []turn) int64 {
	n := int64(0)
	for _, t := range turns {
		n += t.output
		for _, b := range t.subAgents {
			n += outputTokensOf(b)
		}
	}
	return n
}

// generator draws the programs of a deployment from a seeded random source.
type generator struct {
	rng          *rand.Rand
	deploy       deployment
	programCount int
}

func newGenerator(d deployment, seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0x72616777)), deploy: d}
}

// uniform draws from a range; both ends are included.
func (g *generator) uniform(r [2]int64) int64 { return r[0] + g.rng.Int64N(r[1]-r[0]+1) }

func (g *generator) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

// drawProgram draws one program of a duty.
func (g *generator) drawProgram(u dutySpec, arrival time.Duration) *programSpec {
	g.programCount++
	p := &programSpec{
		id:      id.NewProgram(id.Slot(g.rng.IntN(id.Slots)), fmt.Sprintf("%06d", g.programCount)),
		team:    fmt.Sprintf("%s-%d", u.Name, int(float64(u.teams)*g.rng.Float64()*g.rng.Float64())+1),
		duty:    u.Name,
		arrival: arrival,
	}
	if u.deadline[1] > 0 {
		p.deadline = time.Duration(g.uniform([2]int64{int64(u.deadline[0]), int64(u.deadline[1])}))
	}
	n := min(max(int(g.logNormal(u.medianTurns, u.turnsSigma)+0.5), 1), u.maxTurns)
	p.turns = g.drawTurns(u, n, g.uniform(u.firstPrompt), true)
	return p
}

// drawTurns draws the n turns of a branch. Only turns of the main branch start sub-agents.
func (g *generator) drawTurns(u dutySpec, n int, firstPrompt int64, main bool) []turn {
	out := make([]turn, n)
	for i := range out {
		t := &out[i]
		t.addedTokens = firstPrompt
		if i > 0 {
			t.addedTokens = g.uniform(u.addedTokens)
		}
		// The mean of a log-normal distribution with sigma 0.55 is its median divided by about 0.85.
		t.output = int64(min(max(g.logNormal(u.meanOutput*0.85, 0.55), 8), 2000))
		if i == n-1 {
			break
		}
		if g.rng.Float64() < u.serviceFraction {
			t.service = seconds(g.logNormal(0.3, 0.5))
		}
		t.pause = seconds(min(g.logNormal(u.medianPause, u.pauseSigma), 20*u.medianPause))
		t.expectedPause = seconds(t.pause.Seconds() * g.logNormal(1, 0.5))
		if main && g.rng.Float64() < u.subAgentFraction {
			for k := 2 + g.rng.IntN(2); k > 0; k-- {
				t.subAgents = append(t.subAgents, g.drawTurns(u, 1+g.rng.IntN(3), 1000+g.rng.Int64N(2000), false))
			}
		}
	}
	return out
}

// programMix returns, for each duty, the fraction of the programs that belong to it, and the mean number of
// output tokens of a program of that mix. The deployment gives the fractions as parts of the offered
// tokens, so they are divided by the mean length of the duty's programs.
func (g *generator) programMix() (programPart []float64, meanOutput float64) {
	probe := newGenerator(g.deploy, 0xc0ffee)
	means := make([]float64, len(g.deploy.duties))
	sum := 0.0
	for i, u := range g.deploy.duties {
		const draws = 3000
		for range draws {
			means[i] += float64(probe.drawProgram(u, 0).outputTokens()) / draws
		}
		programPart = append(programPart, u.workFraction/means[i])
		sum += u.workFraction / means[i]
	}
	for i := range programPart {
		programPart[i] /= sum
		meanOutput += programPart[i] * means[i]
	}
	return programPart, meanOutput
}

// drawTrace draws programs for `length` as a Poisson process that offers `rate` output tokens per second on
// average.
func (g *generator) drawTrace(rate float64, length time.Duration) []*programSpec {
	parts, mean := g.programMix()
	gap := mean / rate
	var out []*programSpec
	for t := 0.0; ; {
		t += g.rng.ExpFloat64() * gap
		if seconds(t) >= length {
			return out
		}
		out = append(out, g.drawProgram(g.drawDuty(parts), seconds(t)))
	}
}

// addFlood adds programs of one team of the first duty to a trace. From the middle of the run they arrive
// evenly for a sixth of it and offer twice `rate` output tokens per second.
func (g *generator) addFlood(trace []*programSpec, rate float64, length time.Duration) []*programSpec {
	_, mean := g.programMix()
	gap := mean / (2 * rate)
	for t := length.Seconds() / 2; t < length.Seconds()*2/3; t += gap {
		p := g.drawProgram(g.deploy.duties[0], seconds(t))
		p.team, p.flood = g.deploy.duties[0].Name+"-1", true
		trace = append(trace, p)
	}
	return trace
}

// drawDuty draws a duty with the given probabilities.
func (g *generator) drawDuty(parts []float64) dutySpec {
	x := g.rng.Float64()
	for i, p := range parts {
		if x -= p; x < 0 {
			return g.deploy.duties[i]
		}
	}
	return g.deploy.duties[len(parts)-1]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
