package server_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/trial"
)

// Guards against wrong answers and histories after the owner dies in the middle of a stream: the
// caller must be told that the answer is incomplete and get the whole answer by repeating the key,
// and the history must contain each turn once and in order.
func TestOwnerDiesDuringStream(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k1", Model: "m", Message: "first", MaxTokens: 5})
	must.NoError(t, err)
	owner := ownerOf(t, d, prog)
	m, body := longCall(prog, "k2", "second", 100)
	resp := openStream(ctx, t, base(otherThan(t, d, owner)), m, body)
	seen := readSome(t, resp.Body, 400)
	d.Kill(owner)
	rest, _ := io.ReadAll(resp.Body)
	must.StrNotContains(t, string(rest), "[DONE]")
	must.StrContains(t, string(rest), `"executed":"unknown"`)

	// The new owner does not have the bytes that were sent before; it must not continue with those of
	// another execution.
	_, err = c.Do(ctx, http.MethodPost, m.Path()+"?from_byte="+fmt.Sprint(len(seen)), m.Key, body, trial.AppendHistory())
	must.Eq(t, "stream_lost", problemOf(t, err).Code())
	a, err := c.Do(ctx, http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
	must.NoError(t, err)
	text, err := trial.AnswerText(a)
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k3", Model: "m", Message: "third", MaxTokens: 5})
	must.NoError(t, err)
	history := texts(t, c, ctx, prog, "")
	must.Len(t, 6, history)
	must.StrContains(t, history[2], "second")
	must.StrContains(t, history[3], strings.Fields(text)[0])
	must.StrContains(t, history[4], "third")
}

// Guards against a stream that is lost with the instance that the caller is connected to: any other
// instance must serve the rest from the byte that the caller asks for, and the engine must run the
// call only once.
func TestForwardingInstanceDiesDuringStream(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	forwarder := otherThan(t, d, ownerOf(t, d, prog))
	m, body := longCall(prog, "k", "x", 60)
	resp := openStream(ctx, t, base(forwarder), m, body)
	seen := readSome(t, resp.Body, 400)
	d.Kill(forwarder.Session().Instance())
	a, err := c.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/programs/%s/calls/k?from_byte=%d", prog, len(seen)), "", nil, nil)
	must.NoError(t, err)
	whole := string(seen) + string(a.Body)
	must.StrHasSuffix(t, "data: [DONE]\n\n", whole)
	again, err := c.Do(ctx, http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
	must.NoError(t, err)
	must.Eq(t, string(again.Body), whole)
	must.Eq(t, 1, d.Engines["e0"].Stats().Requests+d.Engines["e1"].Stats().Requests)
}

// Guards against histories that mix turns of different programs or branches: many programs with two
// branches each run concurrently while owners die one after the other.
func TestHistoriesStayApartWhileOwnersDie(t *testing.T) {
	t.Parallel()
	const programs, turns = 12, 5
	d := cluster(t, 5, nil)
	ctx := waitContext(t)
	var wg sync.WaitGroup
	for n := range programs {
		wg.Go(func() {
			c := trial.NewCaller(teamKey, d.BaseURLs)
			defer c.Close()
			prog, err := c.Open(ctx, "work", fmt.Sprintf("o%d", n))
			if err != nil {
				t.Errorf("program %d: %v", n, err)
				return
			}
			if err := c.Branch(ctx, prog, "sub", "b"); err != nil {
				t.Errorf("program %d: %v", n, err)
				return
			}
			for turn := range turns {
				for _, branch := range []string{"", "sub"} {
					say := fmt.Sprintf("p%d %s t%d.", n, branch, turn)
					_, err := c.Model(ctx, trial.ModelCall{Program: prog, Branch: branch, Key: fmt.Sprintf("k%s%d", branch, turn),
						Model: "m", Message: say, MaxTokens: 20, Stream: turn%2 == 0})
					if err != nil {
						t.Errorf("program %d turn %d: %v", n, turn, err)
						return
					}
				}
			}
			for _, branch := range []string{"", "sub"} {
				messages, err := c.History(ctx, prog, branch)
				if err != nil || len(messages) != 2*turns {
					t.Errorf("program %d branch %q: %d messages, %v", n, branch, len(messages), err)
					return
				}
				for turn := range turns {
					want := fmt.Sprintf("p%d %s t%d.", n, branch, turn)
					if !strings.Contains(string(messages[2*turn]), want) {
						t.Errorf("program %d branch %q message %d: %s", n, branch, 2*turn, messages[2*turn])
					}
				}
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	d.Kill("b")
	time.Sleep(300 * time.Millisecond)
	d.Kill("d")
	wg.Wait()
}

// Guards against budgets that grow with each takeover: however often the owner dies in the middle of
// a call, the engines must never process more tokens than the limit.
func TestBudgetHoldsThroughTakeovers(t *testing.T) {
	t.Parallel()
	d := cluster(t, 5, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "tight", "o") // 400 tokens
	must.NoError(t, err)
	for kill := range 2 {
		owner := ownerOf(t, d, prog)
		m, body := longCall(prog, fmt.Sprintf("k%d", kill), "x", 40)
		resp := openStream(ctx, t, base(otherThan(t, d, owner)), m, body)
		_ = readSome(t, resp.Body, 200)
		d.Kill(owner)
		_, _ = io.ReadAll(resp.Body)
	}
	for n := 0; ; n++ {
		m, body := longCall(prog, fmt.Sprintf("again%d", n), "x", 40)
		_, err := c.Do(ctx, http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
		if err != nil {
			// The new owner cannot know whether the previous one executed this key, so it does not
			// answer "no".
			must.Eq(t, "budget_exhausted", problemOf(t, err).Code())
			break
		}
		must.Less(t, 10, n)
	}
	var used int64
	for _, e := range d.Engines {
		s := e.Stats()
		used += s.PromptTokens + s.OutputTokens
	}
	must.LessEq(t, 400, used)
	must.Positive(t, used)
}
