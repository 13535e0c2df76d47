package server

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/membership"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
)

// loneCore returns the core of an instance that dispatches a pool of two endpoints and is not started.
func loneCore() *core {
	inst := &Instance{
		cfg: Config{Instance: "a", Zone: "z0"}, session: "a.1", epoch: time.Now().Add(-time.Minute),
		log: telemetry.NewEventLog(telemetry.NewLogger(io.Discard, logrus.InfoLevel)),
	}
	inst.observer = newObserver(inst)
	c := newCore(inst)
	inst.core = c
	c.manifest = &manifest.Manifest{
		Duties: []manifest.Duty{{Name: "d", Share: 1, Teams: []string{"t"}, Pools: []string{"s"}}},
		Pools:  []manifest.Pool{{Name: "s", Kind: manifest.PoolService, QueueLimit: 10}},
		Endpoints: []manifest.Endpoint{
			{Name: "s0", Pool: "s", MaxInFlight: 16}, {Name: "s1", Pool: "s", MaxInFlight: 16},
		},
	}
	return c
}

// Guards P8 against a grant that was lost on its way to the owner and is repeated when the owner submits
// the call again: its endpoint may have begun to leave meanwhile. Found by TestInstancesUnderFaults of
// package whole at seed 6656.
func TestRepeatedGrantAvoidsLeavingEndpoint(t *testing.T) {
	c := loneCore()
	c.submit("s", sched.Request{ID: "p01-x/main/1/e1.1", Owner: "a.1", Program: "p01-x", Branch: "main", Team: "t", Duty: "d", Calls: 1})
	s := c.submissions["p01-x/main/1/e1.1"]
	granted := c.dispatchers["s"].grants["p01-x/main/1/e1.1"].Endpoint
	must.NotEq(t, "", granted)
	c.events.own = nil // the grant is lost
	c.members.core.Step(c.inst.now(), membership.EndpointLeaving{Endpoint: granted})
	c.followLeaving()
	c.sendSubmit(s)
	c.events.drainOwn()
	must.NotEq(t, "", s.endpoint)
	must.NotEq(t, granted, s.endpoint)
}

// Guards P8 against a dispatcher that goes on granting calls at an endpoint that its own instance knows
// to leave: the owners would give each of these grants back and submit the call again.
func TestDispatcherAvoidsLeavingEndpoint(t *testing.T) {
	c := loneCore()
	c.submit("s", sched.Request{ID: "p01-x/main/1/e1.1", Owner: "a.1", Program: "p01-x", Branch: "main", Team: "t", Duty: "d", Calls: 1})
	c.members.core.Step(c.inst.now(), membership.EndpointLeaving{Endpoint: "s0"})
	c.followLeaving()
	for n := range 3 {
		p := id.NewProgram(2, string(rune('a'+n)))
		a := id.NewAttempt(id.Call{Program: p, Branch: id.MainBranch, Seq: 1}, 1, 1)
		c.submit("s", sched.Request{ID: a, Owner: "a.1", Program: p, Branch: id.MainBranch, Team: "t", Duty: "d", Calls: 1})
		c.events.drainOwn()
		must.Eq(t, "s1", c.submissions[a].endpoint)
	}
}
