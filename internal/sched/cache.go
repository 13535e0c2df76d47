package sched

import (
	"cmp"
	"slices"
	"time"

	"ragwortstile/internal/id"
)

// programIdleTimeout is how long a program without calls is kept if its end is never reported.
const programIdleTimeout = 15 * time.Minute

// program is the scheduler's state of a program in this pool.
type program struct {
	id         id.Program
	duty       *duty
	team       *team
	started    bool // a call was granted by this scheduler or reported as running by an owner
	calls      int  // waiting and running
	branches   []*branch
	workingSet int64 // tokens counted in the duty's working set
	openedAt   time.Duration
	lastSeen   time.Duration // last call or pause
}

// branch is one conversation of a program, with the prefixes that endpoints have cached for it.
type branch struct {
	program        *program
	name           string
	tokens         int64 // context length after the last call
	prefixes       []*prefix
	paused         bool
	expectedReturn time.Duration // expected end of the pause
}

// prefix is a prefix of a branch that the scheduler expects to be cached at an endpoint. The prefixes of
// an endpoint form a list in the order of last use, from which evictions are predicted, because cache
// events can be lost.
type prefix struct {
	branch     *branch
	ep         *endpoint
	tokens     int64
	unreused   int64 // computed tokens that no later call has read
	pinned     int   // running calls that use it
	used       time.Duration
	prev, next *prefix
}

// prefixList is a doubly linked list of prefixes, least recently used first, with the sum of their tokens.
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

// cachedAt returns how many prompt tokens of the call the scheduler expects in the endpoint's cache.
func (c *call) cachedAt(ep *endpoint) int64 {
	if p := c.branch.prefixAt(ep); p != nil {
		return min(p.tokens, c.req.PromptTokens)
	}
	return 0
}

// recordPrefix records that an endpoint has cached `tokens` of a branch, of which `reused` were in its cache
// before, and marks the prefix as the most recently used one.
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

// predictEvictions drops the least recently used prefixes that exceed the endpoint's cache, as the engine is
// expected to do. Prefixes of running calls stay.
func (s *Scheduler) predictEvictions(ep *endpoint) {
	for p := ep.cache.oldest; p != nil && ep.CacheTokens > 0 && ep.cache.tokens > ep.CacheTokens; {
		next := p.next
		if p.pinned == 0 {
			s.dropPrefix(p, true)
		}
		p = next
	}
}

// dropPrefix forgets a prefix. With wasted set, its tokens that were never read count as wasted by the team.
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

// dropPrefixes forgets all prefixes at an endpoint after its restart or removal.
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

// pauseBranch records when a branch is expected to return from a tool.
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

// maxVictimScan bounds the number of paused prefixes that one search for an eviction victim examines.
const maxVictimScan = 64

// makeRoom releases prefixes of paused branches before a call is sent to an endpoint whose cache is full.
// Left alone, the engine would evict the least recently used prefixes; the scheduler instead releases
// those whose branches are expected back last.
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

// victim returns the prefix whose paused branch is expected back last. An overdue branch is expected to
// need as much time again as it is late, because the pauses that are still open tend to be the long ones.
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

// endProgram learns from a program that has ended, forgets it and asks its endpoints to release its prefixes.
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

// releaseBranch forgets the prefixes of a branch that has ended and asks the endpoints to release them.
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

// endBranch releases the prefixes of a finished sub-agent and takes its context out of the working set.
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

// forgetIdlePrograms forgets programs whose end was never reported. It runs at most once a minute.
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
