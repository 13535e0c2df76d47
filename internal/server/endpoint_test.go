package server_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin/enginestand"
	"ragwortstile/internal/trial"
)

// leavingBound is the time after an endpoint is marked as leaving in the platform's list within which
// it must stop getting new work.
const leavingBound = 3 * time.Second

// Guards against new work at a leaving endpoint, with a list that lags by 1 s and calls in progress:
// new work must stop within the bound, and resume when the endpoint is live again.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			c := trial.NewCaller(teamKey, d.BaseURLs)
			defer c.Close()
			for call := 0; ; call++ {
				select {
				case <-stop:
					return
				default:
				}
				_, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", fmt.Sprintf("k%d-%d", n, call),
					[]byte(`{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`), nil)
				if err != nil {
					t.Errorf("call %d-%d: %v", n, call, err)
					return
				}
			}
		})
	}
	await(t, "work at both engines", func() bool {
		return d.Engines["e0"].Stats().Requests > 0 && d.Engines["e1"].Stats().Requests > 0
	})
	d.List.SetLag(time.Second)
	d.List.SetState("e0", logservice.StateLeaving)
	time.Sleep(leavingBound)
	before, other := d.Engines["e0"].Stats().Requests, d.Engines["e1"].Stats().Requests
	await(t, "work at the other engine", func() bool { return d.Engines["e1"].Stats().Requests > other+5 })
	must.Eq(t, before, d.Engines["e0"].Stats().Requests)
	d.List.SetState("e0", logservice.StateLive)
	await(t, "work at the engine that is back", func() bool { return d.Engines["e0"].Stats().Requests > before })
	close(stop)
	wg.Wait()
}

// Guards against cache that stays allocated at engines after a program's end: the owner dies right after
// its programs have ended, one engine does not respond to the release and another one restarts.
func TestMemoryIsReleasedAfterProgramEnd(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	for n := range 10 {
		prog, err := c.Open(ctx, "work", fmt.Sprintf("o%d", n))
		must.NoError(t, err)
		for turn := range 2 {
			_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: fmt.Sprintf("k%d", turn), Model: "m", Message: "x", MaxTokens: 4})
			must.NoError(t, err)
		}
		if n == 8 {
			d.Engines["e0"].SetDown(true)
			d.Engines["e1"].Restart()
		}
		must.NoError(t, c.End(ctx, prog))
		if n == 9 {
			d.Kill(ownerOf(t, d, prog))
		}
	}
	d.Engines["e0"].SetDown(false)
	await(t, "the cache at the engines to be released", func() bool {
		return len(d.Engines["e0"].TokensByTag()) == 0 && len(d.Engines["e1"].TokensByTag()) == 0
	})
}

// Guards against incomplete or changing answers when the connection to an engine breaks in the middle
// of an answer or the engine is gone: the caller must get the whole answer, and a repeat of the key
// must get the same bytes.
func TestEngineBreaksDuringAnswer(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, func(s *trial.Settings) {
		s.Engine = func(string) enginestand.Settings { return enginestand.Settings{DecodeBase: 5 * time.Millisecond} }
	})
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	for n := range 6 {
		for _, e := range d.Engines {
			e.BreakNext(1, 300*n)
		}
		m, body := longCall(prog, fmt.Sprintf("k%d", n), "x", 30)
		a, err := c.Do(ctx, http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
		must.NoError(t, err)
		must.StrHasSuffix(t, "data: [DONE]\n\n", string(a.Body))
		again, err := c.Do(ctx, http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
		must.NoError(t, err)
		must.Eq(t, string(again.Body), string(a.Body))
	}
	must.Len(t, 12, texts(t, c, ctx, prog, ""))
}

// Guards against an idle program whose history exceeds the prefix cache of the pool and that blocks
// every new program for as long as it stays open.
func TestIdleProgramDoesNotBlockOthers(t *testing.T) {
	t.Parallel()
	d := cluster(t, 1, func(s *trial.Settings) {
		s.Engine = func(string) enginestand.Settings { return enginestand.Settings{PrefillRate: 1e9} }
	})
	ctx, cancel := context.WithTimeout(waitContext(t), 12*time.Second)
	defer cancel()
	c := caller(t, d)
	large, err := c.Open(ctx, "free", "o1")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: large, Key: "k", Model: "m", Message: strings.Repeat("word ", 160000), MaxTokens: 4})
	must.NoError(t, err)
	next, err := c.Open(ctx, "work", "o2")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: next, Key: "k", Model: "m", Message: "x", MaxTokens: 4})
	must.NoError(t, err)
}
