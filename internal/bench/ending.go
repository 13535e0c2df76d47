package bench

import (
	"fmt"

	"ragwortstile/internal/sched"
)

func subAgentName(turn, i int) string { return fmt.Sprintf("sub-%d-%d", turn, i) }

// branchEnded starts the release of the cache of a finished sub-agent. The ragwortstile scheduler orders
// the release itself when it learns of the end; for the other policies the owner orders it.
func (s *sim) branchEnded(b *branch) {
	p := b.program
	if s.policy == policyScheduler {
		s.toPool(s.modelPool, p.owner, sched.BranchEnded{Program: p.spec.id, Branch: b.name})
		return
	}
	s.releaseBranch(b)
}

// releaseBranch sends the owner's order to drop a branch's prefix to every engine.
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

// giveUp ends a program whose caller has stopped retrying.
func (p *program) giveUp() {
	if p.state == stateWaiting {
		p.state = stateRefused
	} else {
		p.state = stateGivenUp
	}
	p.close()
}

// close withdraws the pending calls of an ended program and reports its end to both pools. The
// ragwortstile scheduler then orders the release of the program's cache; for the other policies the
// owner orders it.
func (p *program) close() {
	s := p.sim
	p.endedAt = s.now + s.deploy.clientDelay
	s.openPrograms--
	s.meter.programEnded(p)
	for _, b := range p.branches {
		c := b.pending
		if c == nil {
			continue
		}
		if !c.granted && c.pool == s.modelPool {
			s.meter.addWaiting(p.spec.duty, -1)
		}
		if c.current != nil && !c.current.ended {
			s.toPool(c.pool, p.owner, sched.Withdraw{ID: c.current.id})
		}
	}
	s.toPool(s.modelPool, p.owner, sched.ProgramEnded{Program: p.spec.id})
	s.toPool(s.servicePool, p.owner, sched.ProgramEnded{Program: p.spec.id})
	if s.policy == policyScheduler {
		return
	}
	for _, b := range p.branches {
		if !b.ended {
			s.releaseBranch(b)
		}
	}
}

// takeOver makes the next live owner the owner of the open programs of a lost one. The new owner submits
// their waiting and running calls again under a new epoch, and the caller's patience starts again.
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
				c.current.ended = true
			}
			c.patienceStart = s.now
			c.trySubmit()
		}
	}
}

// nextOwner returns the first owner after the lost one that is neither dead nor paused, or the lost one
// if there is none.
func (s *sim) nextOwner(lost *owner) *owner {
	for i := 1; i < len(s.owners); i++ {
		o := s.owners[(lost.index+i)%len(s.owners)]
		if !o.dead && s.now >= o.pausedUntil {
			return o
		}
	}
	return lost
}
