// Package configcheck finds faults in a configuration of the platform before it is published, and what it changes
// against the version in force. It does no I/O. Places are paths of fields in the words of packages routing and team; the
// platform translates them.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
)

// Severity tells what a finding means for the configuration.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // requests would be refused or sent elsewhere than stated
	Warning Severity = "warning" // an entry has no effect, or limits contradict each other
)

// Finding is one fault of a configuration.
type Finding struct {
	manifest.Finding
	Severity Severity
}

// checker collects findings.
type checker struct {
	config   routing.Config
	findings []Finding
}

// Check returns the faults of a configuration, errors first.
func Check(c routing.Config) []Finding {
	k := &checker{config: c}
	k.checkRoutes()
	k.checkServices()
	k.checkLimits()
	k.checkTeams()
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return k.findings
}

func (k *checker) add(s Severity, path, format string, args ...any) {
	k.findings = append(k.findings, Finding{
		Finding: manifest.Finding{Path: path, Problem: fmt.Sprintf(format, args...)}, Severity: s,
	})
}

func (k *checker) checkRoutes() {
	if len(k.config.Routes) == 0 {
		k.add(Error, "routes", "no route: each request is answered with 404")
	}
	names, matches := make(map[string]string), make(map[string]string)
	for i, r := range k.config.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if first, ok := names[r.Name]; ok {
			k.add(Error, path+".name", "%q is the name of %s already", r.Name, first)
		}
		names[r.Name] = path
		k.checkMatch(path, r, matches)
		k.checkTimes(path, r)
		k.checkTargets(path, r)
	}
}

// checkMatch finds routes that no request matches. Among the routes of a host the longest prefix wins, so that only a
// route with the same host and prefix hides another one.
func (k *checker) checkMatch(path string, r routing.Route, matches map[string]string) {
	switch {
	case r.Host == "":
		k.add(Error, path+".host", "missing: no request matches")
	case strings.Contains(r.Host, ":") && !strings.HasPrefix(r.Host, "["):
		k.add(Error, path+".host", "%q has a port, which is ignored in requests: no request matches", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		k.add(Error, path+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	key := strings.ToLower(r.Host) + " " + r.Prefix
	if first, ok := matches[key]; ok {
		k.add(Error, path, "can never match: %s has the same host and path prefix", first)
		return
	}
	matches[key] = path
}

// checkTimes finds times that contradict each other, and properties that have no effect on the kind of the route.
func (k *checker) checkTimes(path string, r routing.Route) {
	if r.Timeout <= 0 {
		k.add(Warning, path+".timeout", "missing: only the deadline of the caller applies")
	} else {
		if r.TargetLatency > r.Timeout {
			k.add(Warning, path+".target_latency", "%v is longer than the timeout of %v", r.TargetLatency, r.Timeout)
		}
		if r.TargetGap > r.Timeout {
			k.add(Warning, path+".target_gap", "%v is longer than the timeout of %v", r.TargetGap, r.Timeout)
		}
		if r.Retention > 0 && r.Retention < r.Timeout {
			k.add(Warning, path+".retention", "%v is shorter than the timeout of %v: a turn may be forgotten before the next one can follow", r.Retention, r.Timeout)
		}
	}
	if r.Kind == routing.Streaming {
		return
	}
	for _, p := range []struct {
		field string
		set   bool
	}{{"history", r.History}, {"resumable", r.Resumable}, {"target_gap", r.TargetGap > 0}} {
		if p.set {
			k.add(Warning, path+"."+p.field, "has no effect on a route of kind %s", r.Kind)
		}
	}
}

func (k *checker) checkTargets(path string, r routing.Route) {
	total := 0
	seen := make(map[string]bool)
	for i, t := range r.Targets {
		at := path + ".service"
		if len(r.Targets) > 1 {
			at = fmt.Sprintf("%s.targets[%d]", path, i)
		}
		if _, ok := k.config.Services[t.Service]; !ok {
			k.add(Error, at, "service %q is not in the configuration", t.Service)
		}
		if seen[t.Service] {
			k.add(Warning, at, "service %q is listed twice", t.Service)
		}
		seen[t.Service] = true
		if t.Weight < 0 {
			k.add(Error, at, "weight %d is negative", t.Weight)
		} else if t.Weight == 0 && len(r.Targets) > 1 {
			k.add(Warning, at, "weight 0: service %q is never chosen", t.Service)
		}
		total += max(t.Weight, 0)
	}
	if total == 0 && len(r.Targets) > 1 {
		k.add(Error, path+".targets", "the weights add up to 0: only service %q is chosen", r.Targets[0].Service)
	}
}

func (k *checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range k.config.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for _, name := range sortedKeys(k.config.Services) {
		s, path := k.config.Services[name], fmt.Sprintf("services[%s]", name)
		if !used[name] {
			k.add(Warning, path, "no route leads to the service")
		}
		if s.MaxConnections <= 0 {
			k.add(Warning, path+".max_connections", "missing")
		}
		if s.Engine == nil {
			continue
		}
		if s.Engine.Slots <= 0 {
			k.add(Error, path+".engine.slots", "%d is not positive", s.Engine.Slots)
		}
		if s.MaxConnections > 0 && s.MaxConnections < s.Engine.Slots {
			k.add(Warning, path+".max_connections", "%d is below the %d slots of an endpoint, which can then never all be used", s.MaxConnections, s.Engine.Slots)
		}
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	if l.HeaderBytes <= 0 {
		k.add(Error, "limits.header_bytes", "%d is not positive", l.HeaderBytes)
	}
	if l.BodyBytes <= 0 {
		k.add(Error, "limits.body_bytes", "%d is not positive: each request with a body is answered with 413", l.BodyBytes)
	}
	for _, t := range []struct {
		field string
		value time.Duration
	}{{"header_timeout", l.HeaderTimeout}, {"idle_timeout", l.IdleTimeout}} {
		if t.value <= 0 {
			k.add(Error, "limits."+t.field, "%v is not positive", t.value)
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		k.add(Warning, "limits.header_timeout", "%v is longer than the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

// checkTeams finds teams that no request belongs to, and limits without effect. The keys appear in no finding.
func (k *checker) checkTeams() {
	if len(k.config.Teams) == 0 {
		return
	}
	names, keys := make(map[string]int), make(map[string]string)
	for i, t := range k.config.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" {
			k.add(Error, path+".name", "missing")
		} else if first, ok := names[t.Name]; ok {
			k.add(Error, path+".name", "%q is the name of team %d already", t.Name, first)
		}
		names[t.Name] = i
		k.checkKeys(path, t, keys)
		if t.PerSecond <= 0 && t.Burst > 0 {
			k.add(Warning, path+".burst", "%g has no effect without a rate", t.Burst)
		}
		if t.PerSecond > 0 && t.PerSecond+t.Burst < 1 {
			k.add(Warning, path+".per_second", "%g with a burst of %g admits less than one request a second", t.PerSecond, t.Burst)
		}
	}
	if len(k.config.Routes) > 0 && !slices.ContainsFunc(k.config.Routes, func(r routing.Route) bool { return !r.Public }) {
		k.add(Warning, "teams", "every route is public: no request needs a key")
	}
}

func (k *checker) checkKeys(path string, t team.Team, keys map[string]string) {
	if len(t.Keys) == 0 {
		k.add(Warning, path+".keys", "empty: no request belongs to the team")
	}
	for n, key := range t.Keys {
		at := fmt.Sprintf("%s.keys[%d]", path, n)
		if key == "" {
			k.add(Error, at, "empty")
			continue
		}
		if first, ok := keys[key]; ok {
			k.add(Error, at, "listed before, for team %q: an ambiguous key belongs to no team", first)
			continue
		}
		keys[key] = t.Name
	}
}
