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

// newUnstartedCore returns the core of an instance that is not started and dispatches a pool of two
// endpoints.
func newUnstartedCore() *core {
	inst := &Instance{
		cfg: Config{Instance: "a", Zone: "z0"}, session: "a.1", clockStart: time.Now().Add(-time.Minute),
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

// Guards against new work at a leaving endpoint through a repeated grant: the grant is lost in
// transit to the owner, the endpoint starts to leave, and the owner submits the call again. The
// sequence is that of TestInstancesUnderFaults of package whole at seed 6656.
func TestRepeatedGrantAvoidsLeavingEndpoint(t *testing.T) {
	c := newUnstartedCore()
	c.submit("s", sched.Request{ID: "p01-x/main/1/e1.1", Owner: "a.1", Program: "p01-x", Branch: "main", Team: "t", Duty: "d", Calls: 1})
	s := c.submissions["p01-x/main/1/e1.1"]
	granted := c.dispatchers["s"].grants["p01-x/main/1/e1.1"].Endpoint
	must.NotEq(t, "", granted)
	c.events.deferred = nil // the grant is lost
	c.members.state.Step(c.inst.now(), membership.EndpointLeaving{Endpoint: granted})
	c.refreshLeavingEndpoints()
	c.sendSubmit(s)
	c.events.runDeferred()
	must.NotEq(t, "", s.endpoint)
	must.NotEq(t, granted, s.endpoint)
}

// Guards against a dispatcher that keeps granting calls at an endpoint that its own instance knows to
// be leaving. The owners would return each of these grants and submit the call again.
func TestDispatcherAvoidsLeavingEndpoint(t *testing.T) {
	c := newUnstartedCore()
	c.submit("s", sched.Request{ID: "p01-x/main/1/e1.1", Owner: "a.1", Program: "p01-x", Branch: "main", Team: "t", Duty: "d", Calls: 1})
	c.members.state.Step(c.inst.now(), membership.EndpointLeaving{Endpoint: "s0"})
	c.refreshLeavingEndpoints()
	for n := range 3 {
		p := id.NewProgram(2, string(rune('a'+n)))
		a := id.NewAttempt(id.Call{Program: p, Branch: id.MainBranch, Seq: 1}, 1, 1)
		c.submit("s", sched.Request{ID: a, Owner: "a.1", Program: p, Branch: id.MainBranch, Team: "t", Duty: "d", Calls: 1})
		c.events.runDeferred()
		must.Eq(t, "s1", c.submissions[a].endpoint)
	}
}
