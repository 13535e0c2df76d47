// Package replay plays load patterns through the admission queues and the balancer of a fleet of instances, in
// simulated time and without sockets, to show what a policy does under a load.
//
// A Pattern describes the callers, the endpoints and what changes; Run plays it under a Policy with a small model
// of engines and callers, and returns what became of the programs in each second.
package replay

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"gopkg.in/yaml.v3"
)

// Pattern is a load pattern. Times are in milliseconds.
type Pattern struct {
	Name      string     `yaml:"name"`
	Seconds   int        `yaml:"seconds"` // in which programs arrive
	Seed      uint64     `yaml:"seed"`
	Instances int        `yaml:"instances"`
	ReportMs  float64    `yaml:"report_ms"` // interval and lag of load reports between instances
	Endpoints []Engines  `yaml:"endpoints"`
	Programs  []Programs `yaml:"programs"`
	Changes   []Change   `yaml:"changes"`
}

// Engines is a group of equal endpoints.
type Engines struct {
	Count     int     `yaml:"count"`
	Slots     int     `yaml:"slots"`
	QueueSize int     `yaml:"queue"` // requests that wait at an endpoint; it refuses more
	TimeScale float64 `yaml:"time_scale"`
}

// Programs is a kind of programs.
type Programs struct {
	Name      string  `yaml:"name"`
	PerSecond float64 `yaml:"per_second"`
	Turns     float64 `yaml:"turns"`    // mean
	TurnMs    float64 `yaml:"turn_ms"`  // mean time of a turn at an idle endpoint with a time scale of 1
	PauseMs   float64 `yaml:"pause_ms"` // mean pause between turns
	AimFactor float64 `yaml:"aim_factor"`
	AimMs     float64 `yaml:"aim_ms"` // a program is in time within AimFactor times its idle time and AimMs
	Priority  int     `yaml:"priority"`
	Worth     float64 `yaml:"worth"` // of a program in time
	LateWorth float64 `yaml:"late_worth"`
	// Team is the team that begins the programs. With Teams, that many teams do, each at PerSecond: Team-0, Team-1 and so
	// on. Without it the pattern has no teams.
	Team         string `yaml:"team"`
	Teams        int    `yaml:"teams"`
	TeamPriority int    `yaml:"team_priority"`
}

// Change is a change of the load or of the endpoints for some time.
type Change struct {
	AtMs     float64 `yaml:"at_ms"`
	ForMs    float64 `yaml:"for_ms"`
	Load     float64 `yaml:"load"`     // factor of the arrivals
	Only     string  `yaml:"only"`     // programs that Load concerns; empty: all
	Share    float64 `yaml:"share"`    // of the endpoints that Slowdown or Gone concern
	Slowdown float64 `yaml:"slowdown"` // factor of their times
	Gone     bool    `yaml:"gone"`     // they leave and come back
	OnlyTeam string  `yaml:"team"`     // team that Load concerns; empty: all
	// CutOff is the share of the instances whose load reports pass in neither direction.
	CutOff float64 `yaml:"cut_off"`
	// ReportLoss is the share of load reports that are lost, and ReportLateMs the delay of the others.
	ReportLoss   float64 `yaml:"report_loss"`
	ReportLateMs float64 `yaml:"report_late_ms"`
	// Restart restarts all instances at the beginning of the change: their state and the turns in progress are lost.
	Restart bool `yaml:"restart"`
}

// Decode reads a pattern in YAML and reports all that is wrong with it.
func Decode(data []byte) (Pattern, error) {
	var p Pattern
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	if err := d.Decode(&p); err != nil {
		return Pattern{}, fmt.Errorf("pattern: %w", err)
	}
	if err := p.validate(); err != nil {
		return Pattern{}, fmt.Errorf("pattern %s: %w", p.Name, err)
	}
	return p, nil
}

func (p Pattern) validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(p.Seconds > 0, "seconds: %d is not positive", p.Seconds)
	require(p.Instances > 0, "instances: %d is not positive", p.Instances)
	require(p.ReportMs > 0, "report_ms: %v is not positive", p.ReportMs)
	require(len(p.Endpoints) > 0, "endpoints: missing")
	require(len(p.Programs) > 0, "programs: missing")
	for i, e := range p.Endpoints {
		require(e.Count > 0 && e.Slots > 0 && e.QueueSize >= 0 && e.TimeScale > 0, "endpoints[%d]: count, slots and time_scale must be positive", i)
	}
	for i, k := range p.Programs {
		require(k.Teams >= 0 && (k.Teams == 0 || k.Team != ""), "programs[%d] %s: teams needs team", i, k.Name)
		require(k.PerSecond > 0 && k.Turns >= 1 && k.TurnMs > 0 && k.AimFactor >= 1, "programs[%d] %s: per_second and turn_ms must be positive, turns and aim_factor at least 1", i, k.Name)
	}
	for i, c := range p.Changes {
		require(c.ForMs > 0, "changes[%d]: for_ms: %v is not positive", i, c.ForMs)
		require(c.Share >= 0 && c.Share <= 1, "changes[%d]: share: %v is not between 0 and 1", i, c.Share)
		require(c.CutOff >= 0 && c.CutOff <= 1 && c.ReportLoss >= 0 && c.ReportLoss <= 1, "changes[%d]: cut_off and report_loss must be between 0 and 1", i)
		require(c.Load != 0 || c.Slowdown != 0 || c.Gone || c.disturbsInstances(), "changes[%d]: changes nothing", i)
	}
	return errors.Join(errs...)
}

// WithLoad returns the pattern with all arrivals multiplied by a factor.
func (p Pattern) WithLoad(factor float64) Pattern {
	kinds := make([]Programs, len(p.Programs))
	for i, k := range p.Programs {
		k.PerSecond *= factor
		kinds[i] = k
	}
	p.Programs = kinds
	return p
}

// kinds returns the kinds of programs, one for each team.
func (p Pattern) kinds() []Programs {
	var out []Programs
	for _, k := range p.Programs {
		if k.Teams == 0 {
			out = append(out, k)
			continue
		}
		for n := range k.Teams {
			one := k
			one.Team = fmt.Sprintf("%s-%d", k.Team, n)
			out = append(out, one)
		}
	}
	return out
}

// hasTeams reports whether programs belong to teams.
func (p Pattern) hasTeams() bool {
	return slices.ContainsFunc(p.Programs, func(k Programs) bool { return k.Team != "" })
}

// disturbsInstances reports whether the change concerns instances or the messages between them.
func (c Change) disturbsInstances() bool {
	return c.CutOff > 0 || c.ReportLoss > 0 || c.ReportLateMs > 0 || c.Restart
}

// concernsLoad reports whether the change multiplies the arrivals of a kind.
func (c Change) concernsLoad(k Programs) bool {
	return c.Load > 0 && (c.Only == "" || c.Only == k.Name) && (c.OnlyTeam == "" || c.OnlyTeam == k.Team)
}

func (c Change) active(at time.Duration) bool {
	ms := float64(at) / float64(time.Millisecond)
	return ms >= c.AtMs && ms < c.AtMs+c.ForMs
}
