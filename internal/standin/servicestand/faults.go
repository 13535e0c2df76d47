package servicestand

// faults are the faults that tests have switched on, as numbers of calls still to come that they apply to.
type faults struct {
	hang         int // not executed, no response
	drop         int // not executed, connection closed
	refuse       int // not executed, response with refuseStatus
	refuseStatus int // HTTP status
	hangAfter    int // executed, no response
	loseAnswer   int // executed, connection closed
	failAfter    int // executed, response with status 500
}

// HangNext makes the service neither execute the next n calls nor respond to them.
func (v *Service) HangNext(n int) { v.setFaults(func(f *faults) { f.hang = n }) }

// DropNext makes the service close the connections of the next n calls without executing them.
func (v *Service) DropNext(n int) { v.setFaults(func(f *faults) { f.drop = n }) }

// RefuseNext makes the service refuse the next n calls with the given status and X-Executed: no.
func (v *Service) RefuseNext(n, status int) {
	v.setFaults(func(f *faults) { f.refuse, f.refuseStatus = n, status })
}

// HangAfterExecution makes the service execute the next n calls but not respond to them.
func (v *Service) HangAfterExecution(n int) { v.setFaults(func(f *faults) { f.hangAfter = n }) }

// LoseAnswers makes the service execute the next n calls but close their connections without a response.
func (v *Service) LoseAnswers(n int) { v.setFaults(func(f *faults) { f.loseAnswer = n }) }

// FailAfterExecution makes the service execute the next n calls and respond with status 500.
func (v *Service) FailAfterExecution(n int) { v.setFaults(func(f *faults) { f.failAfter = n }) }

// setFaults changes the faults under the lock.
func (v *Service) setFaults(change func(*faults)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.faults)
}

// takeFaults returns the faults as they apply to the next call, and then decrements the first count, in the order of
// the fields, that is not 0.
func (v *Service) takeFaults() faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.faults
	for _, n := range []*int{
		&v.faults.hang, &v.faults.drop, &v.faults.refuse, &v.faults.hangAfter, &v.faults.loseAnswer, &v.faults.failAfter,
	} {
		if *n > 0 {
			*n--
			break
		}
	}
	return f
}
