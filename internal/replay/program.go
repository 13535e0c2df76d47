package replay

import (
	"time"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/balance"
)

// timePerToken is the time that an idle engine takes for a token.
const timePerToken = 5 * time.Millisecond

// program is a caller's program.
type program struct {
	s        *simulation
	kind     Programs
	second   int // in which it began
	due      time.Duration
	turns    []time.Duration // idle times of the turns that are left
	pauses   []time.Duration // before each of them
	worth    float64
	begun    bool // a turn was served
	tries    int  // of the present turn
	attempts int  // of the present try
	began    time.Duration
}

func (s *simulation) newProgram(kind Programs) *program {
	p := &program{s: s, kind: kind, second: int(s.now / time.Second)}
	total := time.Duration(0)
	for range max(1, int(s.lognormal(kind.Turns)+0.5)) {
		turn := time.Duration(s.lognormal(kind.TurnMs) * float64(time.Millisecond))
		pause := time.Duration(s.lognormal(max(kind.PauseMs, 0.001)) * float64(time.Millisecond))
		if len(p.turns) == 0 {
			pause = 0
		}
		p.turns, p.pauses = append(p.turns, turn), append(p.pauses, pause)
		total += turn + pause
	}
	aim := time.Duration(kind.AimFactor*float64(total)) + time.Duration(kind.AimMs*float64(time.Millisecond))
	p.due = s.now + aim
	p.worth = 0.3 + 0.7*float64(total)/(kind.Turns*(kind.TurnMs+kind.PauseMs)*float64(time.Millisecond))
	p.count(func(c *Second) { c.Begun++; c.Owed += p.worth * kind.Worth })
	p.began = s.now
	return p
}

// count changes the counters of the second in which the program began, and those of its kind.
func (p *program) count(f func(*Second)) {
	f(&p.s.result.Seconds[p.second])
	kind := p.s.result.ByKind[p.kind.Name]
	f(&kind)
	p.s.result.ByKind[p.kind.Name] = kind
	if p.kind.Team != "" {
		if p.s.result.ByTeam[p.kind.Team] == nil {
			p.s.result.ByTeam[p.kind.Team] = make([]Second, p.s.pattern.Seconds)
		}
		f(&p.s.result.ByTeam[p.kind.Team][p.second])
	}
}

func (p *program) nextTurn() {
	if len(p.turns) == 0 {
		p.end()
		return
	}
	p.tries = 0
	p.s.after(p.pauses[0], p.try)
}

func (p *program) end() {
	aim := p.due - p.began
	switch {
	case p.s.now <= p.due:
		p.count(func(c *Second) { c.InAim++; c.Earned += p.worth * p.kind.Worth })
		if second := int(p.s.now / time.Second); second < len(p.s.result.Seconds) {
			p.s.result.Seconds[second].Ended++
		}
	case p.s.now <= p.began+lateFactor*aim:
		p.count(func(c *Second) { c.Late++; c.Earned += p.worth * p.kind.LateWorth })
	default:
		p.count(func(c *Second) { c.Failed++ })
	}
}

// try begins a try of the turn, which has a deadline of its own.
func (p *program) try() {
	p.attempts = 0
	p.attempt(p.s.now + turnDeadline)
}

// failed follows an attempt without success, after the time that the caller was told to wait.
func (p *program) failed(deadline, wait time.Duration) {
	if p.attempts < 2 {
		p.s.after(min(wait, (deadline-p.s.now)/3), func() { p.attempt(deadline) })
		return
	}
	if p.tries++; p.tries >= turnTries {
		p.count(func(c *Second) { c.Failed++ })
		return
	}
	p.s.after(minTryPause+time.Duration(p.s.rand.Float64()*float64(maxTryPause-minTryPause)), p.try)
}

// attempt is a turn at an instance.
type attempt struct {
	p        *program
	i        *instance
	deadline time.Duration
	tried    map[string]bool
	endpoint string
	number   int64
	work     *work
	sent     time.Duration
	serial   int // in the order of attempts
}

func (p *program) attempt(deadline time.Duration) {
	p.attempts++
	s := p.s
	s.attempts++
	a := &attempt{p: p, i: s.instances[s.rand.IntN(len(s.instances))], deadline: deadline, tried: make(map[string]bool), serial: s.attempts}
	if s.policy == Direct {
		if !a.i.place(a, admission.Bounds{}) {
			p.failed(deadline, 0)
			return
		}
		a.send()
		return
	}
	turn := admission.Turn{
		Begun: p.begun, Priority: p.kind.Priority, Due: epoch.Add(p.due), Target: time.Duration(p.kind.AimMs * float64(time.Millisecond)),
		Patience: callerPatience, Deadline: epoch.Add(deadline), EnqueuedAt: s.clock(),
		Team: p.kind.Team, TeamPriority: p.kind.TeamPriority,
	}
	t := a.i.queue.Add(turn, s.clock(), func(_ *admission.Ticket, b admission.Bounds) bool { return a.i.place(a, b) })
	if t.Action == admission.Wait {
		a.i.calls[t] = a
		a.i.plan()
		return
	}
	a.decided(t)
}

func (a *attempt) decided(t *admission.Ticket) {
	if t.Action == admission.Send {
		a.send()
		return
	}
	a.p.count(func(c *Second) { c.Rejected++ })
	a.p.failed(a.deadline, t.RetryAfter)
}

func (a *attempt) engine() *engine {
	for _, e := range a.p.s.engines {
		if e.ID == a.endpoint {
			return e
		}
	}
	return nil
}

// send gives the turn to the chosen engine. The caller leaves if the first event takes too long.
func (a *attempt) send() {
	s, sent := a.p.s, a.p.s.now
	a.i.running[a] = true
	a.sent = sent
	if a.i.queue.Shares != nil {
		a.i.queue.Shares.Sent(a.p.kind.Team, !a.p.begun, s.clock())
	}
	a.work = &work{idle: a.p.turns[0]}
	a.work.began = func(at time.Duration) {
		e := a.engine()
		expected := time.Duration(a.p.kind.TurnMs*e.timeScale*e.slowdown*float64(time.Millisecond)) + at - sent
		s.after(time.Duration(speedKnownFraction*float64(expected-at+sent)), func() {
			a.i.balancer.ResponseStarted(a.endpoint, a.number)
			a.i.balancer.Observe(a.endpoint, expected)
		})
		a.work.ended = func() { a.ended(balance.Served, expected) }
	}
	if !a.engine().accept(s, a.work) {
		a.ended(balance.Refused, 0)
		return
	}
	s.after(min(callerPatience, a.deadline-s.now), func() {
		if a.work != nil && a.work.ended == nil {
			a.work.canceled = true
			a.ended(balance.Abandoned, 0)
		}
	})
}

func (a *attempt) ended(result balance.Result, took time.Duration) {
	idle := a.work.idle
	a.work = nil
	delete(a.i.running, a)
	if a.i.queue.Shares != nil {
		tokens := int64(0)
		if result == balance.Served {
			tokens = int64(idle / timePerToken)
		}
		a.i.queue.Shares.Ended(a.p.kind.Team, a.p.s.now-a.sent, tokens, a.p.s.clock())
	}
	a.i.balancer.Ended(a.endpoint, a.number, result, took, a.p.s.clock())
	a.i.queue.Ended(a.p.s.clock())
	if a.i.queue.Len() > 0 {
		a.i.plan()
	}
	if result != balance.Served {
		a.p.failed(a.deadline, 0)
		return
	}
	a.p.begun = true
	a.p.turns, a.p.pauses = a.p.turns[1:], a.p.pauses[1:]
	a.p.nextTurn()
}
