package servicestand

// faults are switched by tests. Counts are those of calls still to be met.
type faults struct {
	hang         int // no answer, not executed
	drop         int // connection broken, not executed
	refuse       int
	refuseStatus int
	hangAfter    int // executed, no answer
	lose         int // executed, connection broken
	fail         int // executed, answered 500
}

// HangNext gives the next n calls no answer and does not execute them.
func (v *Service) HangNext(n int) { v.set(func(f *faults) { f.hang = n }) }

// DropNext breaks the connection of the next n calls and does not execute them.
func (v *Service) DropNext(n int) { v.set(func(f *faults) { f.drop = n }) }

// RefuseNext refuses the next n calls with a status and X-Executed: no.
func (v *Service) RefuseNext(n, status int) {
	v.set(func(f *faults) { f.refuse, f.refuseStatus = n, status })
}

// HangAfterExecution executes the next n calls and gives them no answer.
func (v *Service) HangAfterExecution(n int) { v.set(func(f *faults) { f.hangAfter = n }) }

// LoseAnswers executes the next n calls and breaks their connection.
func (v *Service) LoseAnswers(n int) { v.set(func(f *faults) { f.lose = n }) }

// FailAfterExecution executes the next n calls and answers 500.
func (v *Service) FailAfterExecution(n int) { v.set(func(f *faults) { f.fail = n }) }

func (v *Service) set(change func(*faults)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.faults)
}

// takeFaults returns the faults of one call and counts down the one that applies.
func (v *Service) takeFaults() faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.faults
	for _, n := range []*int{&v.faults.hang, &v.faults.drop, &v.faults.refuse, &v.faults.hangAfter, &v.faults.lose, &v.faults.fail} {
		if *n > 0 {
			*n--
			break
		}
	}
	return f
}
