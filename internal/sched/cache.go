package sched

import (
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/id"
)

// programIdleTimeout is how long a program without calls is remembered when its end was never reported.
const programIdleTimeout = 15 * time.Minute

// program is what the scheduler knows of a program in this pool.
type program struct {
	id         id.Program
	duty       *duty
	team       *team
	started    bool // a call was granted, here or before
	calls      int  // waiting and running
	branches   []*branch
	workingSet int64 // tokens counted in the duty's working set
	openedAt   time.Duration
	lastSeen   time.Duration
}

// branch is one conversation of a program.
type branch struct {
	program        *program
	name           string
	tokens         int64 // context after the last call
	prefixes       []*prefix
	paused         bool
	expectedReturn time.Duration // expected end of the pause
}

// prefix is a cached prefix of a branch at an endpoint, as the scheduler believes. The copies of an
// endpoint form a list in the order of last use, which predicts evictions when cache events are lost.
type prefix struct {
	branch     *branch
	ep         *endpoint
	tokens     int64
	unreused   int64 // filled and not read since
	pinned     int   // calls running on it
	used       time.Duration
	prev, next *prefix
}

// prefixList is a list of copies, least recently used first, with the sum of their tokens.
type prefixList struct {
	oldest, newest *prefix
	tokens         int64
}

func (l *prefixList) unlink(p *prefix) {
	if p.prev != nil {
		p.prev.next = p.next
	} else {
		l.oldest = p.next
	}
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		l.newest = p.prev
	}
	p.prev, p.next = nil, nil
}

func (l *prefixList) append(p *prefix) {
	p.prev = l.newest
	if l.newest != nil {
		l.newest.next = p
	} else {
		l.oldest = p
	}
	l.newest = p
}

func (s *Scheduler) programOf(r *Request) *program {
	p := s.programs[r.Program]
	if p == nil {
		d := s.dutyOf(r.Duty)
		p = &program{id: r.Program, duty: d, team: s.teamOf(d, r.Team), openedAt: s.now - r.ProgramAge}
		s.programs[r.Program] = p
	}
	p.lastSeen = s.now
	return p
}

func (p *program) branch(name string) *branch {
	for _, b := range p.branches {
		if b.name == name {
			return b
		}
	}
	return nil
}

func (p *program) ensureBranch(name string) *branch {
	b := p.branch(name)
	if b == nil {
		b = &branch{program: p, name: name}
		p.branches = append(p.branches, b)
	}
	return b
}

func (b *branch) prefixAt(ep *endpoint) *prefix {
	for _, p := range b.prefixes {
		if p.ep == ep {
			return p
		}
	}
	return nil
}

// cachedAt returns the prompt tokens that the endpoint is believed to hold for the call.
func (c *call) cachedAt(ep *endpoint) int64 {
	if p := c.branch.prefixAt(ep); p != nil {
		return min(p.tokens, c.req.PromptTokens)
	}
	return 0
}

// recordPrefix notes that an endpoint holds a prefix of `tokens`, of which `reused` were found there.
func (s *Scheduler) recordPrefix(b *branch, ep *endpoint, tokens, reused int64) {
	p := b.prefixAt(ep)
	if p == nil {
		p = &prefix{branch: b, ep: ep}
		b.prefixes = append(b.prefixes, p)
	} else {
		ep.cache.unlink(p)
	}
	ep.cache.tokens += tokens - p.tokens
	p.unreused = max(tokens-reused, 0)
	p.tokens, p.used = tokens, s.now
	ep.cache.append(p)
	s.predictEvictions(ep)
}

// predictEvictions drops the oldest copies beyond the endpoint's memory.
func (s *Scheduler) predictEvictions(ep *endpoint) {
	for p := ep.cache.oldest; p != nil && ep.CacheTokens > 0 && ep.cache.tokens > ep.CacheTokens; {
		next := p.next
		if p.pinned == 0 {
			s.dropPrefix(p, true)
		}
		p = next
	}
}

// dropPrefix forgets a copy. An evicted or replaced copy counts its unread tokens as wasted.
func (s *Scheduler) dropPrefix(p *prefix, wasted bool) {
	if wasted {
		p.branch.program.team.usage.Wasted += p.unreused
	}
	p.ep.cache.unlink(p)
	p.ep.cache.tokens -= p.tokens
	b := p.branch
	for i, q := range b.prefixes {
		if q == p {
			b.prefixes = append(b.prefixes[:i], b.prefixes[i+1:]...)
			return
		}
	}
}

// dropPrefixes forgets all copies at an endpoint, after its restart or removal.
func (s *Scheduler) dropPrefixes(ep *endpoint) {
	for ep.cache.oldest != nil {
		s.dropPrefix(ep.cache.oldest, true)
	}
}

func (s *Scheduler) applyCacheEvent(e CacheEvent) {
	ep, prog := s.endpointByName[e.Endpoint], s.programs[e.Program]
	if ep == nil || prog == nil {
		return
	}
	b := prog.branch(e.Branch)
	if b == nil {
		return
	}
	p := b.prefixAt(ep)
	switch {
	case e.Kind == CacheEvicted && p != nil && p.pinned == 0:
		s.dropPrefix(p, true)
	case e.Kind == CacheStored && p == nil:
		s.recordPrefix(b, ep, e.Tokens, 0)
	}
}

func (s *Scheduler) applyLoadReport(e LoadReport) {
	ep := s.endpointByName[e.Endpoint]
	if ep == nil {
		return
	}
	if ep.generation != 0 && e.Generation != ep.generation {
		s.dropPrefixes(ep)
	}
	ep.generation = e.Generation
}

// pauseBranch notes when a branch is expected back from a tool.
func (s *Scheduler) pauseBranch(e ProgramPaused) {
	prog := s.programs[e.Program]
	if prog == nil {
		return
	}
	if b := prog.branch(e.Branch); b != nil {
		b.paused, b.expectedReturn = true, s.now+e.Expected
		prog.lastSeen = s.now
	}
}

// maxVictimScan bounds the copies that one choice of a victim looks at.
const maxVictimScan = 64

// makeRoom releases copies of paused branches before a call is sent to an endpoint whose memory is
// full. The engine would evict the least recently used copies; the scheduler knows which branches
// return last.
func (s *Scheduler) makeRoom(ep *endpoint, need int64, out []Action) []Action {
	if s.opt.NoPauseRelease || ep.CacheTokens == 0 {
		return out
	}
	for ep.cache.tokens+need > ep.CacheTokens {
		v := s.victim(ep)
		if v == nil {
			return out
		}
		out = append(out, Release{Endpoint: ep.Name, Program: v.branch.program.id, Branch: v.branch.name, Reason: ReasonLongPause})
		s.dropPrefix(v, true)
	}
	return out
}

// victim is the copy whose branch is expected back last. A branch that is overdue is expected to take
// as long again as it is late, since long pauses are the ones that are left.
func (s *Scheduler) victim(ep *endpoint) *prefix {
	var best *prefix
	var bestWait time.Duration
	n := 0
	for p := ep.cache.oldest; p != nil && n < maxVictimScan; p = p.next {
		if p.pinned > 0 || !p.branch.paused {
			continue
		}
		n++
		wait := p.branch.expectedReturn - s.now
		if wait < 0 {
			wait = -wait
		}
		if best == nil || wait > bestWait {
			best, bestWait = p, wait
		}
	}
	return best
}

// endProgram forgets a program and asks its endpoints to drop its cache.
func (s *Scheduler) endProgram(pid id.Program, out []Action) []Action {
	prog := s.programs[pid]
	if prog == nil {
		return out
	}
	if prog.started {
		t := (s.now - prog.openedAt).Seconds()
		prog.duty.programTime += 0.05 * (t - prog.duty.programTime)
		s.meanWorkingSet += 0.05 * (float64(prog.workingSet) - s.meanWorkingSet)
	}
	return s.forgetProgram(prog, out)
}

func (s *Scheduler) forgetProgram(prog *program, out []Action) []Action {
	s.setWorkingSet(prog, 0)
	for _, b := range prog.branches {
		out = s.releaseBranch(b, out)
	}
	if prog.started {
		s.startedPrograms--
		prog.started = false
	}
	if prog.calls == 0 {
		delete(s.programs, prog.id)
	}
	return out
}

// releaseBranch forgets the copies of a branch that has ended and asks for their release.
func (s *Scheduler) releaseBranch(b *branch, out []Action) []Action {
	for len(b.prefixes) > 0 {
		p := b.prefixes[len(b.prefixes)-1]
		if !s.opt.NoEndRelease {
			out = append(out, Release{Endpoint: p.ep.Name, Program: b.program.id, Branch: b.name, Reason: ReasonProgramEnd})
		}
		s.dropPrefix(p, false)
	}
	return out
}

// endBranch forgets a finished sub-agent.
func (s *Scheduler) endBranch(e BranchEnded, out []Action) []Action {
	prog := s.programs[e.Program]
	if prog == nil {
		return out
	}
	b := prog.branch(e.Branch)
	if b == nil {
		return out
	}
	out = s.releaseBranch(b, out)
	s.setWorkingSet(prog, prog.setContext(b, 0))
	return out
}

// forgetIdlePrograms forgets programs whose end was never reported.
func (s *Scheduler) forgetIdlePrograms(out []Action) []Action {
	if s.now < s.nextIdleSweep {
		return out
	}
	s.nextIdleSweep = s.now + time.Minute
	var idle []*program
	for _, p := range s.programs {
		if p.calls == 0 && s.now-p.lastSeen > programIdleTimeout {
			idle = append(idle, p)
		}
	}
	slices.SortFunc(idle, func(a, b *program) int { return cmp.Compare(a.id, b.id) })
	for _, p := range idle {
		out = s.forgetProgram(p, out)
	}
	return out
}
