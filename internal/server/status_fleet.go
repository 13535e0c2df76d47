package server

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

// statusTimeout bounds how long a status request waits for the other instances.
const statusTimeout = time.Second

// InstanceStatus is the state of one instance as reported to operators and teams.
type InstanceStatus struct {
	Session         id.Session   `json:"session"`
	Zone            string       `json:"zone"`
	Ready           bool         `json:"ready"`
	Draining        bool         `json:"draining"`
	LogDown         bool         `json:"log_down"`
	ManifestVersion uint64       `json:"manifest_version"`   // in force at the instance
	ManifestAge     float64      `json:"manifest_age_s"`     // seconds since it came into force there
	Behind          bool         `json:"manifest_is_behind"` // the declared version is higher
	Slots           int          `json:"slots"`
	Programs        int          `json:"programs"`
	Pools           []PoolStatus `json:"pools"`
	Error           string       `json:"error,omitempty"` // why the instance did not answer
}

// PoolStatus is the state of a pool at its dispatcher. Endpoints and Duties are reported to operators
// only, not to teams.
type PoolStatus struct {
	Pool      string                `json:"pool"`
	Waiting   int                   `json:"waiting"`
	Running   int                   `json:"running"`
	Endpoints []wire.EndpointStatus `json:"endpoints,omitempty"`
	Duties    []wire.DutyStatus     `json:"duties,omitempty"`
}

// FleetStatus is the state of all instances, as collected by one of them.
type FleetStatus struct {
	DeclaredVersion uint64                `json:"declared_manifest_version"` // highest one that any instance has read
	Instances       []InstanceStatus      `json:"instances"`
	Needs           []wire.NeedsAttention `json:"programs_that_need_a_person"`
	NeedsCount      int                   `json:"programs_that_need_a_person_count"` // at least the length of the list
}

// Status implements api.Backend. It queries all live instances. A team gets only its own programs;
// the empty team is the operator.
func (i *Instance) Status(team string) any {
	answers := i.queryStatus()
	out := FleetStatus{Instances: []InstanceStatus{}, Needs: []wire.NeedsAttention{}}
	for _, a := range answers {
		out.DeclaredVersion = max(out.DeclaredVersion, a.status.DeclaredVersion, a.status.ManifestVersion)
	}
	for _, a := range answers {
		status := instanceStatus(a.status, team == "")
		status.Error = a.err
		status.Behind = a.err == "" && status.ManifestVersion < out.DeclaredVersion
		out.Instances = append(out.Instances, status)
		for _, n := range a.status.Needs {
			if team == "" || n.Team == team {
				out.Needs = append(out.Needs, n)
			}
		}
		out.NeedsCount += a.status.NeedsCount
	}
	if team != "" {
		out.NeedsCount = len(out.Needs)
	}
	slices.SortFunc(out.Instances, func(a, b InstanceStatus) int { return cmp.Compare(a.Session, b.Session) })
	slices.SortFunc(out.Needs, func(a, b wire.NeedsAttention) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Branch, b.Branch))
	})
	return out
}

// statusAnswer is an instance's answer, or why there is none.
type statusAnswer struct {
	status wire.Status
	err    string
}

func (i *Instance) queryStatus() []statusAnswer {
	own := statusAnswer{status: i.status()}
	v := i.view.Load()
	if v == nil {
		return []statusAnswer{own}
	}
	ctx, cancel := context.WithTimeout(i.ctx, statusTimeout)
	defer cancel()
	answers := make([]statusAnswer, len(v.peers), len(v.peers)+1)
	var wg sync.WaitGroup
	for n, session := range v.peers {
		wg.Go(func() {
			m, err := i.node.Request(ctx, session, wire.StatusGet{})
			s, ok := m.(wire.Status)
			switch {
			case err != nil:
				answers[n] = statusAnswer{status: wire.Status{Session: session}, err: errText(err)}
			case !ok:
				answers[n] = statusAnswer{status: wire.Status{Session: session}, err: "unexpected answer"}
			default:
				answers[n] = statusAnswer{status: s}
			}
		})
	}
	wg.Wait()
	return append(answers, own)
}

func instanceStatus(s wire.Status, operator bool) InstanceStatus {
	status := InstanceStatus{Session: s.Session, Zone: s.Zone, Ready: s.Ready, Draining: s.Draining, LogDown: s.LogDown,
		ManifestVersion: s.ManifestVersion, ManifestAge: s.ManifestAge.Round(time.Millisecond).Seconds(),
		Slots: len(s.Slots), Programs: s.Programs, Pools: []PoolStatus{}}
	for _, p := range s.Pools {
		pool := PoolStatus{Pool: p.Pool, Waiting: p.Waiting, Running: p.Running}
		if operator {
			pool.Endpoints, pool.Duties = p.Endpoints, p.Duties
		}
		status.Pools = append(status.Pools, pool)
	}
	return status
}

// poolStatus returns the state of a pool that is dispatched here.
func (c *core) poolStatus(pool string, d *dispatcher) wire.PoolStatus {
	out := wire.PoolStatus{Pool: pool, Waiting: d.sched.Waiting(), Running: len(d.grants)}
	for _, e := range d.sched.Endpoints() {
		out.Endpoints = append(out.Endpoints, endpointStatus(e))
	}
	if a := c.inst.observer.pools[pool]; a != nil {
		out.Duties = a.shares
	}
	return out
}

func endpointStatus(e sched.EndpointState) wire.EndpointStatus {
	return wire.EndpointStatus{Name: e.Name, Zone: e.Zone, InFlight: e.InFlight, Limit: e.Limit, Leaving: e.Leaving, BreakerOpen: e.Open}
}

// declaredVersion returns the highest manifest version that this instance has read, even if it is not
// in force here.
func (c *core) declaredVersion() uint64 {
	if c.configs == nil {
		return c.manifestVersion
	}
	return max(c.manifestVersion, c.configs.Current().Version)
}
