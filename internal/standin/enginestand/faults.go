package enginestand

// faults are switched by tests. Counts are those of completions still to be met.
type faults struct {
	hang         int
	breaks       int
	breakAfter   int // bytes
	refuse       int
	refuseStatus int
	overrun      bool
	down         bool
	slow         float64
}

func (f faults) slowdown() float64 {
	if f.slow <= 0 {
		return 1
	}
	return f.slow
}

// HangNext gives the next n completions no answer.
func (e *Engine) HangNext(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.hang = n
}

// BreakNext breaks the connection of the next n completions after a number of bytes of the answer.
// The requests go on and can be resumed.
func (e *Engine) BreakNext(n, afterBytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.breaks = n
	e.faults.breakAfter = afterBytes
}

// RefuseNext refuses the next n completions with a status before anything is run.
func (e *Engine) RefuseNext(n, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.refuse = n
	e.faults.refuseStatus = status
}

// SetIgnoreMaxTokens makes the engine generate more than max_tokens, or ends that.
func (e *Engine) SetIgnoreMaxTokens(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.overrun = on
}

// SetSlowdown multiplies the decode time; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slow = factor
}

// SetDown makes the engine break every connection, or ends that.
func (e *Engine) SetDown(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.down = on
}

func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.down
}

func (e *Engine) ignoresMaxTokens() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.overrun
}

// takeFaults returns the faults of one completion and counts them down. Only one of them applies.
func (e *Engine) takeFaults() faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	switch {
	case f.hang > 0:
		e.faults.hang--
	case f.refuse > 0:
		e.faults.refuse--
		e.stats.Refused++
	case f.breaks > 0:
		e.faults.breaks--
	}
	return f
}
