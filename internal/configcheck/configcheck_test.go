package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
)

func sound() routing.Config {
	return routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{Name: "chat", Host: "h.example", Prefix: "/chat/", Kind: routing.Streaming, Timeout: 3 * time.Second, History: true, Retention: time.Minute, Targets: []routing.Target{{Service: "llm", Weight: 1}}},
			{Name: "find", Host: "h.example", Prefix: "/", Kind: routing.Idempotent, Timeout: time.Second, Targets: []routing.Target{{Service: "app", Weight: 9}, {Service: "llm", Weight: 1}}},
		},
		Services: map[string]routing.Service{
			"llm": {Name: "llm", MaxConnections: 90, Engine: &routing.Engine{Slots: 6}}, "app": {Name: "app", MaxConnections: 90},
		},
		Teams:  []team.Team{{Name: "a", Keys: []string{"secret-1"}, PerSecond: 9, Burst: 9}, {Name: "b", Keys: []string{"secret-2"}}},
		Limits: routing.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against findings in a configuration that has no fault.
func TestSoundConfiguration(t *testing.T) {
	must.SliceEmpty(t, Check(sound()))
	must.SliceEmpty(t, Diff(sound(), sound()))
}

// Guards against a fault that is not reported, or whose place is not named.
func TestFaults(t *testing.T) {
	cases := []struct {
		name, path, problem string
		severity            Severity
		change              func(*routing.Config)
	}{
		{"hidden route", "routes[1]", "can never match", Error, func(c *routing.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "H.example", "/chat/" }},
		{"host with a port", "routes[0].host", "no request matches", Error, func(c *routing.Config) { c.Routes[0].Host = "h.example:80" }},
		{"prefix without a slash", "routes[0].prefix", "slash", Error, func(c *routing.Config) { c.Routes[0].Prefix = "/chat" }},
		{"missing service", "routes[0].service", "not in the configuration", Error, func(c *routing.Config) { c.Routes[0].Targets[0].Service = "x" }},
		{"weight zero", "routes[1].targets[1]", "never chosen", Warning, func(c *routing.Config) { c.Routes[1].Targets[1].Weight = 0 }},
		{"latency above timeout", "routes[1].target_latency", "timeout", Warning, func(c *routing.Config) { c.Routes[1].TargetLatency = time.Minute }},
		{"history of calls", "routes[1].history", "no effect", Warning, func(c *routing.Config) { c.Routes[1].History = true }},
		{"fewer connections than slots", "services[llm].max_connections", "slots", Warning, func(c *routing.Config) {
			s := c.Services["llm"]
			s.MaxConnections = 3
			c.Services["llm"] = s
		}},
		{"unused service", "services[x]", "no route", Warning, func(c *routing.Config) { c.Services["x"] = routing.Service{Name: "x", MaxConnections: 1} }},
		{"no bodies", "limits.body_bytes", "413", Error, func(c *routing.Config) { c.Limits.BodyBytes = 0 }},
		{"header timeout above idle timeout", "limits.header_timeout", "idle", Warning, func(c *routing.Config) { c.Limits.HeaderTimeout = time.Minute }},
		{"team without keys", "teams[1].keys", "no request", Warning, func(c *routing.Config) { c.Teams[1].Keys = nil }},
		{"key of two teams", "teams[1].keys[0]", `for team "a"`, Error, func(c *routing.Config) { c.Teams[1].Keys[0] = "secret-1" }},
		{"burst without a rate", "teams[1].burst", "no effect", Warning, func(c *routing.Config) { c.Teams[1].Burst = 5 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := sound()
			c.change(&config)
			found := Check(config)
			must.Len(t, 1, found, must.Sprint(found))
			must.Eq(t, c.severity, found[0].Severity)
			must.Eq(t, c.path, found[0].Path)
			must.StrContains(t, found[0].Problem, c.problem)
			must.False(t, strings.Contains(found[0].String(), "secret"))
		})
	}
}

// Guards against changes that are not shown, and against keys in the output.
func TestDiff(t *testing.T) {
	next := sound()
	next.Routes[0], next.Routes[1] = next.Routes[1], next.Routes[0]
	next.Routes[1].Timeout = 5 * time.Second
	next.Teams[0].Keys = []string{"secret-3", "secret-4"}
	next.Teams[0].PerSecond = 4
	delete(next.Services, "app")
	next.Services["llm"] = routing.Service{Name: "llm", MaxConnections: 90, Engine: &routing.Engine{Slots: 8}}
	changes := Diff(sound(), next)
	text := changes.String()
	for _, want := range []string{
		"~ routes[chat].Timeout: 3s -> 5s", "~ teams[a].PerSecond: 9 -> 4", "~ teams[a].Keys: 1 removed -> 2 added", "- services[app]",
		"~ services[llm].Engine: {6 0 0} -> {8 0 0}",
	} {
		must.StrContains(t, text, want)
	}
	must.Len(t, 5, changes, must.Sprint(text))
	must.StrNotContains(t, text, "secret")
	must.Eq(t, manifest.Changed, changes[0].Kind)
}

// Guards against the publication of a version that instances ignore.
func TestVersionThatDoesNotReplace(t *testing.T) {
	must.Len(t, 1, CheckVersion(sound(), sound()))
	next := sound()
	next.Version++
	must.SliceEmpty(t, CheckVersion(sound(), next))
}
