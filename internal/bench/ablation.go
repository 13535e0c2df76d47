package bench

import (
	"io"

	"ragwortstile/internal/sched"
)

// ablations returns the scheduler with all its mechanisms, and then once per mechanism with that one
// switched off.
func ablations() []variant {
	with := func(name string, o sched.Options) variant { return variant{name, policyScheduler, o} }
	return []variant{
		with(policyScheduler, sched.Options{}),
		with("no_program_order", sched.Options{NoProgramOrder: true}),
		with("no_tenant_fairness", sched.Options{NoTeamFairness: true}),
		with("no_shares", sched.Options{NoShares: true}),
		with("no_admission", sched.Options{NoAdmission: true}),
		with("no_early_refusal", sched.Options{NoEarlyRefusal: true}),
		with("no_cost_model", sched.Options{NoCostModel: true}),
		with("no_warm_wait", sched.Options{NoWarmWait: true}),
		with("no_move", sched.Options{NoMove: true}),
		with("no_slow_check", sched.Options{NoSlowCheck: true}),
		with("no_breaker", sched.Options{NoBreaker: true}),
		with("no_retry_budget", sched.Options{NoRetryBudget: true}),
		with("no_pause_release", sched.Options{NoPauseRelease: true}),
		with("no_end_release", sched.Options{NoEndRelease: true}),
	}
}

// runAblation runs the ablation variants and writes their rows as a table and, if asked for, as JSON.
func (c *settings) runAblation(stdout io.Writer) error {
	rows := c.runVariants(stdout, ablations())
	writeTable(stdout, rows)
	if c.json != "" {
		return writeJSON(c.json, rows)
	}
	return nil
}
