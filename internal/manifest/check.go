package manifest

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"time"
)

// shareTolerance allows for the rounding error in sums of decimal fractions.
const shareTolerance = 1e-9

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects the findings of a decoded manifest.
type checker struct {
	m        *Manifest
	findings Findings
	teams    map[string]bool
	duties   map[string]*Duty
	pools    map[string]*Pool
}

// Check returns all semantic errors of the manifest. It does not see the source text, so the findings
// have field paths but no line numbers; Parse adds those.
func (m *Manifest) Check() Findings {
	c := &checker{
		m:      m,
		teams:  make(map[string]bool),
		duties: make(map[string]*Duty),
		pools:  make(map[string]*Pool),
	}
	for _, t := range m.Teams {
		c.teams[t.Name] = true
	}
	for i := range m.Duties {
		c.duties[m.Duties[i].Name] = &m.Duties[i]
	}
	for i := range m.Pools {
		c.pools[m.Pools[i].Name] = &m.Pools[i]
	}
	c.checkGeneral()
	c.checkTeams()
	c.checkDuties()
	c.checkShares()
	c.checkPools()
	c.checkEndpoints()
	c.checkServices()
	c.checkOrders()
	return c.findings
}

func (c *checker) add(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkGeneral() {
	c.name("deployment", c.m.Deployment)
	if c.m.Source.Revision == "" {
		c.add("source.revision", "missing")
	}
	c.fraction("weights.program_latency", c.m.Weights.ProgramLatency)
	c.fraction("weights.wasted_cache", c.m.Weights.WastedCache)
	sum := c.m.Weights.ProgramLatency + c.m.Weights.WastedCache
	if !(math.Abs(sum-1) <= shareTolerance) {
		c.add("weights", "sum is %g, want 1", sum)
	}
	if size := len(c.m.Canonical()); size > MaxBytes {
		c.add("", "canonical form has %d bytes, want at most %d", size, MaxBytes)
	}
}

func (c *checker) name(path, name string) {
	switch {
	case name == "":
		c.add(path, "missing")
	case !namePattern.MatchString(name):
		c.add(path, "%q is not a valid name: want 1 to 64 letters, digits, '.', '_', ':' or '-', starting with a letter or digit", name)
	}
}

func (c *checker) fraction(path string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.add(path, "%g is not between 0 and 1", v)
	}
}

func (c *checker) notNegative(path string, v int64) {
	if v < 0 {
		c.add(path, "%d is negative", v)
	}
}

func (c *checker) positive(path string, v int64) {
	if v <= 0 {
		c.add(path, "%d is not above 0", v)
	}
}

func (c *checker) durationNotNegative(path string, v time.Duration) {
	if v < 0 {
		c.add(path, "%s is negative", v)
	}
}

func (c *checker) durationPositive(path string, v time.Duration) {
	if v <= 0 {
		c.add(path, "%s is not above 0", v)
	}
}

// unique adds a finding if the value was seen before. The map holds the path of the first use.
func (c *checker) unique(seen map[string]string, path, value string) {
	if value == "" {
		return // reported as missing
	}
	if first, ok := seen[value]; ok {
		c.add(path, "%q is already used by %s", value, first)
		return
	}
	seen[value] = path
}

func (c *checker) checkTeams() {
	names, digests := make(map[string]string), make(map[string]string)
	for i, t := range c.m.Teams {
		at := fmt.Sprintf("tenants[%d]", i)
		c.name(at+".name", t.Name)
		c.unique(names, at+".name", t.Name)
		if len(t.KeyDigests) == 0 {
			c.add(at+".key_digests", "missing")
		}
		for j, digest := range t.KeyDigests {
			c.keyDigest(digests, fmt.Sprintf("%s.key_digests[%d]", at, j), digest)
		}
		c.defaultDuty(at+".default_duty", t)
		c.notNegative(at+".max_programs", int64(t.MaxPrograms))
	}
}

func (c *checker) keyDigest(seen map[string]string, path, digest string) {
	if !digestPattern.MatchString(digest) {
		c.add(path, "is not a SHA-256 digest in 64 lower-case hex digits")
		return
	}
	if first, ok := seen[digest]; ok {
		c.add(path, "is already used by %s", first)
		return
	}
	seen[digest] = path
}

func (c *checker) defaultDuty(path string, t Team) {
	if t.DefaultDuty == "" {
		c.add(path, "missing")
		return
	}
	d := c.duties[t.DefaultDuty]
	if d == nil {
		c.add(path, "there is no duty %q", t.DefaultDuty)
		return
	}
	if !slices.Contains(d.Teams, t.Name) {
		c.add(path, "duty %q does not list tenant %q", t.DefaultDuty, t.Name)
	}
}

func (c *checker) checkDuties() {
	names := make(map[string]string)
	for i, d := range c.m.Duties {
		at := fmt.Sprintf("duties[%d]", i)
		c.name(at+".name", d.Name)
		c.unique(names, at+".name", d.Name)
		c.fraction(at+".share", d.Share)
		c.notNegative(at+".limits.tokens", d.Limits.Tokens)
		c.notNegative(at+".limits.calls", d.Limits.Calls)
		c.notNegative(at+".limits.charge_cents", d.Limits.ChargeCents)
		c.durationNotNegative(at+".limits.wall_time", d.Limits.WallTime)
		c.durationNotNegative(at+".deadline", d.Deadline)
		c.references(at+".tenants", "tenant", d.Teams, func(n string) bool { return c.teams[n] })
		c.references(at+".pools", "pool", d.Pools, func(n string) bool { return c.pools[n] != nil })
	}
}

// references checks a list of names: it must not be empty, and each name must exist and occur once.
func (c *checker) references(path, what string, names []string, exists func(string) bool) {
	if len(names) == 0 {
		c.add(path, "missing")
	}
	seen := make(map[string]string)
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !exists(name) {
			c.add(at, "there is no %s %q", what, name)
		}
		c.unique(seen, at, name)
	}
}

// checkShares checks that the minimum shares of the duties that use a pool sum to at most 1. A share
// that is itself out of range is not counted, because checkDuties reports it.
func (c *checker) checkShares() {
	for i, p := range c.m.Pools {
		sum := 0.0
		for _, d := range c.m.Duties {
			if slices.Contains(d.Pools, p.Name) && d.Share >= 0 && d.Share <= 1 {
				sum += d.Share
			}
		}
		if sum > 1+shareTolerance {
			c.add(fmt.Sprintf("pools[%d]", i), "shares of the duties that use pool %q sum to %.4g, want at most 1", p.Name, sum)
		}
	}
}
