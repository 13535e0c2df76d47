package bench

import (
	"fmt"

	"ragwortstile/internal/sched"
)

func subName(turn, i int) string { return fmt.Sprintf("sub-%d-%d", turn, i) }

// branchEnded has the cache of a finished sub-agent dropped: by the scheduler for ragwortstile, by the
// owner for the other policies.
func (s *sim) branchEnded(b *branch) {
	p := b.program
	if s.policy == policyOurs {
		s.toPool(s.model, p.owner, sched.BranchEnded{Program: p.spec.id, Branch: b.name})
		return
	}
	s.releaseBranch(b)
}

func (s *sim) releaseBranch(b *branch) {
	for _, spec := range s.deploy.engines {
		e, k := s.engines[spec.name], cacheKey{b.program.spec.id, b.name}
		s.after(s.deploy.zoneDelay, func() { e.release(k) })
	}
}

func (p *program) finish() {
	p.state = stateFinished
	p.close()
}

// giveUp ends a program whose caller has run out of patience.
func (p *program) giveUp() {
	if p.state == stateWaiting {
		p.state = stateRefused
	} else {
		p.state = stateGivenUp
	}
	p.close()
}

// close withdraws what still waits and has the program's cache dropped. The owner sends the release
// orders itself for every policy but ragwortstile, whose scheduler does it.
func (p *program) close() {
	s := p.sim
	p.ended = s.now + s.deploy.clientDelay
	s.open--
	s.meter.ended(p)
	for _, b := range p.branches {
		c := b.pending
		if c == nil {
			continue
		}
		if !c.granted && c.pool == s.model {
			s.meter.pending(p.spec.duty, -1)
		}
		if c.current != nil && !c.current.over {
			s.toPool(c.pool, p.owner, sched.Withdraw{ID: c.current.id})
		}
	}
	s.toPool(s.model, p.owner, sched.ProgramEnded{Program: p.spec.id})
	s.toPool(s.plain, p.owner, sched.ProgramEnded{Program: p.spec.id})
	if s.policy == policyOurs {
		return
	}
	for _, b := range p.branches {
		if !b.ended {
			s.releaseBranch(b)
		}
	}
}

// takeOver gives the programs of a lost owner to the next live one, which submits their waiting and
// running calls again under a new epoch.
func (s *sim) takeOver(lost *owner) {
	for _, p := range s.programs {
		if p.owner != lost || !p.open() {
			continue
		}
		p.owner = s.nextOwner(lost)
		p.epoch++
		for _, b := range p.branches {
			c := b.pending
			if c == nil {
				continue
			}
			if c.current != nil {
				c.current.over = true
			}
			c.first = s.now
			c.try()
		}
	}
}

func (s *sim) nextOwner(lost *owner) *owner {
	for i := 1; i < len(s.owners); i++ {
		o := s.owners[(lost.index+i)%len(s.owners)]
		if !o.dead && s.now >= o.pausedUntil {
			return o
		}
	}
	return lost
}
