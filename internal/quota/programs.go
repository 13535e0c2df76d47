package quota

import "time"

const (
	// maxPrograms bounds the programs of a team that are remembered.
	maxPrograms = 4096
	// programIdle is the time without a request after which a program counts as ended.
	programIdle = 6 * time.Second
	// programPruneInterval is the time between removals of ended programs.
	programPruneInterval = 250 * time.Millisecond
	// defaultUsual is the number of requests that a program is expected to make before any has ended.
	defaultUsual = 4
	// usualWeight is the least weight of the newest ended program in the usual number of requests (the first ones have an
	// equal weight), and gapWeight that of the newest time between two requests.
	usualWeight = 0.05
	gapWeight   = 0.05
	// defaultGap is the expected time between two requests of a program before any was seen.
	defaultGap = 500 * time.Millisecond
	// loopFactor and minLoop: a program that has made this many times the usual number of requests, and at least minLoop,
	// is taken for one that loops without end.
	loopFactor = 8
	minLoop    = 64
)

// Programs remembers the recent programs of a team: which have begun, how many requests they have made, and how many
// the begun ones are expected to make. It is not safe for concurrent use.
type Programs struct {
	seen     map[uint64]*seenProgram // by the hash of the program's ID
	usual    float64
	ended    int     // programs that usual was learned from
	gap      float64 // seconds
	expected float64 // requests that the begun programs are still expected to make
	pruned   time.Time
}

type seenProgram struct {
	requests int
	last     time.Time
	loops    bool // a peer has said so
}

// NewPrograms returns Programs without any.
func NewPrograms() *Programs {
	return &Programs{seen: make(map[uint64]*seenProgram), usual: defaultUsual, gap: defaultGap.Seconds()}
}

// Note records a request of a program that was sent to an endpoint.
func (p *Programs) Note(program uint64, now time.Time) {
	s := p.seen[program]
	if s == nil {
		if len(p.seen) >= maxPrograms {
			return
		}
		p.seen[program] = &seenProgram{requests: 1, last: now}
		p.expected += p.rest(1)
		return
	}
	p.gap += gapWeight * (now.Sub(s.last).Seconds() - p.gap)
	p.expected -= p.rest(s.requests) - p.rest(s.requests+1)
	s.requests++
	s.last = now
}

// Begin records programs whose first turns were granted and whose requests will be noted a little later. They count
// until the next Prune.
func (p *Programs) Begin(n int) { p.expected += float64(n) * p.rest(1) }

// rest returns how many requests a program that has made some is expected to make.
func (p *Programs) rest(made int) float64 { return max(p.usual-float64(made), 0) }

// Known reports whether a program has made requests.
func (p *Programs) Known(program uint64) bool { return p.seen[program] != nil }

// Loops reports whether a program has made many times the usual number of requests.
func (p *Programs) Loops(program uint64) bool {
	s := p.seen[program]
	return s != nil && (s.loops || float64(s.requests) >= max(loopFactor*p.usual, minLoop))
}

// SetKnown records that another instance knows a program, and whether that loops.
func (p *Programs) SetKnown(program uint64, loops bool, now time.Time) {
	if p.seen[program] == nil {
		p.Note(program, now)
	}
	if s := p.seen[program]; s != nil {
		s.loops = s.loops || loops
	}
}

// Prune forgets the programs that have ended and learns from them. It does nothing if it was called a short time ago.
func (p *Programs) Prune(now time.Time) {
	if now.Sub(p.pruned) < programPruneInterval {
		return
	}
	p.pruned = now
	for program, s := range p.seen {
		if now.Sub(s.last) > programIdle {
			delete(p.seen, program)
			// A program that loops would make the next ones look short.
			p.ended++
			p.usual += max(1/float64(p.ended+1), usualWeight) * (min(float64(s.requests), loopFactor*p.usual) - p.usual)
		}
	}
	p.expected = 0
	for _, s := range p.seen {
		p.expected += p.rest(s.requests)
	}
}

// Expected returns the requests that the begun programs are still expected to make, and the time in which they make them:
// on the mean, half of the time of a program is left.
func (p *Programs) Expected() (requests float64, within time.Duration) {
	return p.expected, time.Duration(p.usual * p.gap / 2 * float64(time.Second))
}
