package server_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/standin/servicestand"
	"ragwortstile/internal/trial"
)

// askable returns the settings of a service that can be asked for outcomes and checks neither fences
// nor expiry, so that only the scheduler prevents a second execution.
func askable(string) servicestand.Settings {
	return servicestand.Settings{CanBeAsked: true, RefusesAfterQuery: true, Latency: 200 * time.Millisecond}
}

func effect(name string) []byte { return fmt.Appendf(nil, `{"effect":%q}`, name) }

// Guards against a second execution of a charge when the owner dies while the charge is in progress:
// the caller repeats the key, the service is asked for the outcome, and the charge must be made once.
func TestOwnerDiesDuringCharge(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, func(s *trial.Settings) { s.Service = askable })
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	owner := ownerOf(t, d, prog)
	other := base(otherThan(t, d, owner))
	for _, s := range d.Services {
		s.HangAfterExecution(1)
	}
	first := make(chan error, 1)
	go func() {
		_, err := c.Once(ctx, other, http.MethodPost, "/v1/programs/"+string(prog)+"/services/s/charge", "k", effect("x"), nil)
		first <- err
	}()
	await(t, "the execution", func() bool { return d.Executions("x") > 0 })
	d.Kill(owner)
	must.Error(t, <-first)
	a, err := c.Service(ctx, prog, "", "k", "s", "charge", effect("x"))
	must.NoError(t, err)
	must.StrContains(t, string(a.Body), `"effect":"x"`)
	must.Eq(t, 1, d.Executions("x"))
	a, err = c.Service(ctx, prog, "", "k", "s", "charge", effect("x"))
	must.NoError(t, err)
	must.Eq(t, 1, d.Executions("x"))
	_, err = c.Service(ctx, prog, "", "k", "s", "charge", effect("y"))
	must.Eq(t, "key_reused", problemOf(t, err).Code())
	must.Eq(t, 0, d.Executions("y"))
	must.Eq(t, 200, a.Status)
}

// Guards against a second execution where the service cannot be asked for outcomes: the outcome must
// stay unknown and block the branch until the caller settles it.
func TestUnknownOutcomeBlocksUntilSettled(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, func(s *trial.Settings) {
		s.Service = func(string) servicestand.Settings { return servicestand.Settings{} }
	})
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	for _, s := range d.Services {
		s.LoseAnswers(1)
	}
	_, err = c.Service(ctx, prog, "", "k", "s", "press", effect("x"))
	must.Eq(t, "outcome_unknown", problemOf(t, err).Code())
	must.Eq(t, "unknown", problemOf(t, err).Executed)
	_, err = c.Service(ctx, prog, "", "k", "s", "press", effect("x"))
	must.Eq(t, "outcome_unknown", problemOf(t, err).Code())
	_, err = c.Service(ctx, prog, "", "k2", "s", "look", effect("z"))
	must.Error(t, err)
	must.NoError(t, c.Settle(ctx, prog, "k", "yes"))
	_, err = c.Service(ctx, prog, "", "k3", "s", "look", effect("z"))
	must.NoError(t, err)
	must.Eq(t, 1, d.Executions("x"))
}

// Guards against a wrong "not executed": it must be true whether the service refuses, the connection
// breaks before the execution or the answer is lost after it.
func TestNotExecutedIsReliable(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, func(s *trial.Settings) { s.Service = askable })
	ctx := waitContext(t)
	for _, s := range d.Services {
		s.RefuseNext(3, http.StatusServiceUnavailable)
		s.DropNext(3)
		s.LoseAnswers(3)
	}
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Go(func() {
			c := trial.NewCaller(teamKey, d.BaseURLs)
			defer c.Close()
			prog, err := c.Open(ctx, "work", fmt.Sprintf("o%d", n))
			if err != nil {
				t.Errorf("call %d: %v", n, err)
				return
			}
			name := fmt.Sprintf("x%d", n)
			_, err = c.Once(ctx, d.BaseURLs()[n%2], http.MethodPost, "/v1/programs/"+string(prog)+"/services/s/charge", name, effect(name), nil)
			ran := d.Executions(name)
			var p *trial.Problem
			switch {
			case err == nil && ran == 1:
			case errors.As(err, &p) && p.Executed == "no" && ran == 0:
			case errors.As(err, &p) && p.Executed == "unknown" && ran <= 1:
			default:
				t.Errorf("call %d was executed %d times, the caller got: %v", n, ran, err)
			}
		})
	}
	wg.Wait()
}

// Guards against double execution by a paused owner that resumes, in the middle of charges, after its
// slots were claimed by others: it must send no charge that its successor also sends.
func TestPausedOwnerSendsNothingLate(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, func(s *trial.Settings) { s.Service = askable })
	ctx := waitContext(t)
	const programs = 6
	var wg sync.WaitGroup
	first := caller(t, d)
	progs := make([]string, programs)
	for n := range programs {
		p, err := first.Open(ctx, "work", fmt.Sprintf("o%d", n))
		must.NoError(t, err)
		progs[n] = string(p)
	}
	stop := make(chan struct{})
	for n := range programs {
		wg.Go(func() {
			c := trial.NewCaller(teamKey, d.BaseURLs)
			defer c.Close()
			for call := 0; ; call++ {
				select {
				case <-stop:
					return
				default:
				}
				name := fmt.Sprintf("%s-%d", progs[n], call)
				_, err := c.Do(ctx, http.MethodPost, "/v1/programs/"+progs[n]+"/services/s/charge", name, effect(name), nil)
				if err == nil {
					if got := d.Executions(name); got != 1 {
						t.Errorf("%s was acknowledged and executed %d times", name, got)
					}
					continue
				}
				if ctx.Err() != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
				// The outcome is still unknown; the scheduler asks the service for it.
				time.Sleep(100 * time.Millisecond)
				call--
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	paused := d.Instance("a")
	resume := paused.Pause()
	held := len(paused.Slots())
	must.Positive(t, held)
	await(t, "the others hold all slots", func() bool {
		return len(d.Instance("b").Slots())+len(d.Instance("c").Slots()) == 64
	})
	resume()
	await(t, "the resumed instance to learn of its lost slots", func() bool { return len(paused.Slots()) < held })
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	for _, s := range d.Services {
		must.SliceEmpty(t, s.DuplicateEffects())
	}
}
