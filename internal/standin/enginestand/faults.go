package enginestand

// faults are the faults that tests have switched on.
type faults struct {
	hang            int // number of completions still to come that get no response
	disconnect      int // number of completions still to come whose connection is closed
	disconnectAfter int // bytes of the answer that are sent before
	refuse          int // number of completions still to come that are refused
	refuseStatus    int // HTTP status
	ignoreMaxTokens bool
	down            bool
	slow            float64 // factor of the decode time; 0 means 1
}

// slowdown returns the factor of the decode time.
func (f faults) slowdown() float64 {
	if f.slow <= 0 {
		return 1
	}
	return f.slow
}

// HangNext makes the engine neither run the next n completions nor respond to them.
func (e *Engine) HangNext(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.hang = n
}

// BreakNext makes the engine close the connections of the next n completions after afterBytes bytes of the answer.
// The requests continue and can be resumed.
func (e *Engine) BreakNext(n, afterBytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.disconnect = n
	e.faults.disconnectAfter = afterBytes
}

// RefuseNext makes the engine refuse the next n completions with the given status without running them.
func (e *Engine) RefuseNext(n, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.refuse = n
	e.faults.refuseStatus = status
}

// SetIgnoreMaxTokens sets whether the engine ignores max_tokens and may generate more tokens.
func (e *Engine) SetIgnoreMaxTokens(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.ignoreMaxTokens = on
}

// SetSlowdown sets the factor by which the decode time is multiplied; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slow = factor
}

// SetDown sets whether the engine is down and closes every connection without a response.
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
	return e.faults.ignoreMaxTokens
}

// takeFaults returns the faults as they apply to the next completion, and then decrements the first one of these that
// is switched on: no response, refusal, disconnection.
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
	case f.disconnect > 0:
		e.faults.disconnect--
	}
	return f
}
