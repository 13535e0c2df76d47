package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ragwortstile/internal/id"
)

// turn is one model call of a branch and what follows it.
type turn struct {
	add     int64 // tokens that the caller adds to the conversation
	output  int64
	subs    [][]turn      // sub-agents that run before the next turn
	service time.Duration // base time of a service call after the turn; 0: none
	pause   time.Duration // tool or reading pause after the turn
	guess   time.Duration // what the owner expects of the pause
}

// programSpec is a program of the trace. Its shape is known to the clients only.
type programSpec struct {
	id       id.Program
	team     string
	duty     string
	arrival  time.Duration
	deadline time.Duration // after arrival; 0: none
	turns    []turn
	flood    bool // part of a flood; not measured
}

// outputTokens is the sum of the answers of the program and its sub-agents.
func (p *programSpec) outputTokens() int64 { return outputOf(p.turns) }

func outputOf(turns []turn) int64 {
	n := int64(0)
	for _, t := range turns {
		n += t.output
		for _, b := range t.subs {
			n += outputOf(b)
		}
	}
	return n
}

// generator draws programs from a seeded source.
type generator struct {
	rng    *rand.Rand
	deploy deployment
	serial int
}

func newGenerator(d deployment, seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0x72616777)), deploy: d}
}

func (g *generator) between(r [2]int64) int64 { return r[0] + g.rng.Int64N(r[1]-r[0]+1) }

func (g *generator) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

// program draws one program of a duty.
func (g *generator) program(u dutySpec, arrival time.Duration) *programSpec {
	g.serial++
	p := &programSpec{
		id:      id.NewProgram(id.Slot(g.rng.IntN(id.Slots)), fmt.Sprintf("%06d", g.serial)),
		team:    fmt.Sprintf("%s-%d", u.Name, int(float64(u.teams)*g.rng.Float64()*g.rng.Float64())+1),
		duty:    u.Name,
		arrival: arrival,
	}
	if u.deadline[1] > 0 {
		p.deadline = time.Duration(g.between([2]int64{int64(u.deadline[0]), int64(u.deadline[1])}))
	}
	n := min(max(int(g.logNormal(u.turns, u.turnsTail)+0.5), 1), u.maxTurns)
	p.turns = g.turns(u, n, g.between(u.prefix), true)
	return p
}

func (g *generator) turns(u dutySpec, n int, prefix int64, main bool) []turn {
	out := make([]turn, n)
	for i := range out {
		t := &out[i]
		t.add = prefix
		if i > 0 {
			t.add = g.between(u.add)
		}
		t.output = int64(min(max(g.logNormal(u.output*0.85, 0.55), 8), 2000))
		if i == n-1 {
			break
		}
		if g.rng.Float64() < u.service {
			t.service = seconds(g.logNormal(0.3, 0.5))
		}
		t.pause = seconds(min(g.logNormal(u.pause, u.pauseTail), 20*u.pause))
		t.guess = seconds(t.pause.Seconds() * g.logNormal(1, 0.5))
		if main && g.rng.Float64() < u.subs {
			for k := 2 + g.rng.IntN(2); k > 0; k-- {
				t.subs = append(t.subs, g.turns(u, 1+g.rng.IntN(3), 1000+g.rng.Int64N(2000), false))
			}
		}
	}
	return out
}

// meanOutput is the mean number of output tokens of a program with the duty mix of the deployment.
// The parts of the duties are parts of the offered work, so the mix of programs follows from them.
func (g *generator) mix() (programPart []float64, meanOutput float64) {
	probe := newGenerator(g.deploy, 0xc0ffee)
	means := make([]float64, len(g.deploy.duties))
	sum := 0.0
	for i, u := range g.deploy.duties {
		const draws = 3000
		for range draws {
			means[i] += float64(probe.program(u, 0).outputTokens()) / draws
		}
		programPart = append(programPart, u.part/means[i])
		sum += u.part / means[i]
	}
	for i := range programPart {
		programPart[i] /= sum
		meanOutput += programPart[i] * means[i]
	}
	return programPart, meanOutput
}

// trace draws programs with exponential gaps at `rate` output tokens per second for `length`.
func (g *generator) trace(rate float64, length time.Duration) []*programSpec {
	parts, mean := g.mix()
	gap := mean / rate
	var out []*programSpec
	for t := 0.0; ; {
		t += g.rng.ExpFloat64() * gap
		if seconds(t) >= length {
			return out
		}
		out = append(out, g.program(g.duty(parts), seconds(t)))
	}
}

// flood adds programs of one team of the first duty, at twice the given rate for a sixth of the run.
func (g *generator) flood(trace []*programSpec, rate float64, length time.Duration) []*programSpec {
	_, mean := g.mix()
	gap := mean / (2 * rate)
	for t := length.Seconds() / 2; t < length.Seconds()*2/3; t += gap {
		p := g.program(g.deploy.duties[0], seconds(t))
		p.team, p.flood = g.deploy.duties[0].Name+"-1", true
		trace = append(trace, p)
	}
	return trace
}

func (g *generator) duty(parts []float64) dutySpec {
	x := g.rng.Float64()
	for i, p := range parts {
		if x -= p; x < 0 {
			return g.deploy.duties[i]
		}
	}
	return g.deploy.duties[len(parts)-1]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
