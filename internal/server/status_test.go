package server_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/server"
	"ragwortstile/internal/standin/servicestand"
	"ragwortstile/internal/trial"
)

func statusAt(t *testing.T, c *trial.Caller, at string) server.FleetStatus {
	t.Helper()
	a, err := c.Once(waitContext(t), at, http.MethodGet, "/v1/status", "", nil, nil)
	must.NoError(t, err)
	var s server.FleetStatus
	must.NoError(t, json.Unmarshal(a.Body, &s))
	return s
}

// Guards against an unknown outcome that an operator cannot find at every instance, and against a
// team that sees another team's programs in the status or in explain. The tokens used by a call must
// still be reported after its owner died.
func TestUnknownOutcomeIsShown(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, func(s *trial.Settings) {
		s.Service = func(string) servicestand.Settings { return servicestand.Settings{} }
	})
	ctx := waitContext(t)
	c := caller(t, d)
	operator := trial.NewCaller(trial.OperatorKey, d.BaseURLs)
	other := trial.NewCaller(otherKey, d.BaseURLs)
	t.Cleanup(operator.Close)
	t.Cleanup(other.Close)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "m1", Model: "m", Message: "x", MaxTokens: 8})
	must.NoError(t, err)
	for _, s := range d.Services {
		s.HangAfterExecution(1)
	}
	path := "/v1/programs/" + string(prog)
	_, err = c.Once(ctx, d.BaseURLs()[0], http.MethodPost, path+"/services/s/press", "p1", effect("x"), http.Header{"X-Time-Limit": {"500ms"}})
	must.Error(t, err)
	for _, at := range d.BaseURLs() {
		await(t, "the unknown outcome", func() bool { return len(statusAt(t, operator, at).Needs) == 1 })
		s := statusAt(t, operator, at)
		n := s.Needs[0]
		must.Eq(t, prog, n.Program)
		must.Eq(t, "unknown_outcome main/2 p1 s/press one", n.Reason+" "+n.Branch+"/"+string('0'+rune(n.Seq))+" "+n.Key+" "+n.Service+"/"+n.Operation+" "+n.Team)
		must.Eq(t, 1, s.NeedsCount)
		must.Eq(t, 1, s.DeclaredVersion)
		must.Len(t, 3, s.Instances)
		endpoints := 0
		for _, i := range s.Instances {
			must.Eq(t, 1, i.ManifestVersion)
			must.False(t, i.Behind)
			for _, p := range i.Pools {
				endpoints += len(p.Endpoints)
			}
		}
		must.Eq(t, 4, endpoints)
		must.Len(t, 1, statusAt(t, c, at).Needs)
		foreign := statusAt(t, other, at)
		must.Len(t, 0, foreign.Needs)
		must.Eq(t, 0, foreign.NeedsCount)
	}
	d.Kill(ownerOf(t, d, prog))
	var e struct {
		Calls []struct {
			Key, Executed string
			Used          struct {
				Tokens int64 `json:"tokens"`
			} `json:"used"`
			Blocks bool `json:"blocks_branch"`
		}
	}
	await(t, "a new owner", func() bool {
		a, err := operator.Once(ctx, d.BaseURLs()[0], http.MethodGet, path+"/explain", "", nil, nil)
		return err == nil && json.Unmarshal(a.Body, &e) == nil
	})
	must.Len(t, 2, e.Calls)
	must.Eq(t, "m1 yes", e.Calls[0].Key+" "+e.Calls[0].Executed)
	must.Positive(t, e.Calls[0].Used.Tokens)
	must.Eq(t, "p1 unknown", e.Calls[1].Key+" "+e.Calls[1].Executed)
	must.True(t, e.Calls[1].Blocks)
	_, err = other.Do(ctx, http.MethodGet, path+"/explain", "", nil, nil)
	must.Eq(t, http.StatusNotFound, problemOf(t, err).Status)
	must.NoError(t, c.Settle(ctx, prog, "p1", "no"))
	await(t, "no program that needs a person", func() bool { return statusAt(t, operator, d.BaseURLs()[0]).NeedsCount == 0 })
}

// Guards against shares that are never reported: after work of a duty, the dispatcher of the pool
// must report the duty's owed and given shares.
func TestSharesAreShown(t *testing.T) {
	t.Parallel()
	d := cluster(t, 1, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	operator := trial.NewCaller(trial.OperatorKey, d.BaseURLs)
	t.Cleanup(operator.Close)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "m1", Model: "m", Message: "x", MaxTokens: 8})
	must.NoError(t, err)
	var given, owed float64
	deadline := time.Now().Add(2 * testWait) // shareWindow is 30 s
	for given == 0 && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		for _, p := range statusAt(t, operator, d.BaseURLs()[0]).Instances[0].Pools {
			for _, s := range p.Duties {
				if p.Pool == "m" && s.Duty == "work" {
					given, owed = s.Given, s.Owed
				}
			}
		}
	}
	must.InDelta(t, 1, given, 0.001)
	must.InDelta(t, 0.5, owed, 0.001)
	must.StrContains(t, metricsOf(t, d.BaseURLs()[0]), `ragwortstile_share_given{pool="m",duty="work"} 1`)
}
