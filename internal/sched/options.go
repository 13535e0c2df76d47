package sched

// Options switches mechanisms of the policy off, so that the bench can measure the effect of each.
// The zero value is the full policy.
type Options struct {
	Thin bool // first version: one FIFO queue, the last endpoint if it is free, otherwise the least loaded one
}
