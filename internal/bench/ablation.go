package bench

import (
	"io"

	"ragwortstile/internal/sched"
)

// ablations are the full policy and the policy with one mechanism switched off.
func ablations() []variant {
	off := func(name string, o sched.Options) variant { return variant{name, policyOurs, o} }
	return []variant{
		off(policyOurs, sched.Options{}),
		off("no_program_order", sched.Options{NoProgramOrder: true}),
		off("no_tenant_fairness", sched.Options{NoTeamFairness: true}),
		off("no_shares", sched.Options{NoShares: true}),
		off("no_admission", sched.Options{NoAdmission: true}),
		off("no_early_refusal", sched.Options{NoEarlyRefusal: true}),
		off("no_cost_model", sched.Options{NoCostModel: true}),
		off("no_warm_wait", sched.Options{NoWarmWait: true}),
		off("no_move", sched.Options{NoMove: true}),
		off("no_slow_check", sched.Options{NoSlowCheck: true}),
		off("no_breaker", sched.Options{NoBreaker: true}),
		off("no_retry_budget", sched.Options{NoRetryBudget: true}),
		off("no_pause_release", sched.Options{NoPauseRelease: true}),
		off("no_end_release", sched.Options{NoEndRelease: true}),
	}
}

func (c *settings) runAblation(stdout io.Writer) error {
	rows := c.rows(stdout, ablations())
	writeTable(stdout, rows)
	if c.json != "" {
		return writeJSON(c.json, rows)
	}
	return nil
}
