package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ragwortstile/examples"
	"ragwortstile/internal/id"
)

// Run is one program of the examples that has run, with what its caller saw.
type Run struct {
	Kind    string
	Team    string
	Program id.Program
	Calls   int
	Repeats int64
	Settled int           // outcomes that the caller had to find out
	Latency time.Duration // from the first call to the last answer
	// Said is what the caller saw of each branch: user message, answer, and so on.
	Said    map[string][]string
	Effects []Effect
	Err     error
}

// Effect is what a service call of an example program brings about. It is the same for all attempts
// and repeats of the step, so that a second execution shows at the stand-ins.
type Effect struct {
	Service   string
	Operation string
	Name      string
}

// Finder returns how often an effect was executed, as a person finds out who looks it up.
type Finder func(effect string) int

// RunProgram makes the calls of an example program one after the other and ends the program.
func RunProgram(ctx context.Context, c *Caller, u examples.Team, p examples.Program, serial int, find Finder) Run {
	r := Run{Kind: p.Name, Team: u.Name, Said: map[string][]string{}}
	start := time.Now()
	before := c.Repeats()
	r.Err = r.steps(ctx, c, p, serial, find)
	r.Latency = time.Since(start)
	if r.Program != "" {
		if err := c.End(ctx, r.Program); err != nil && r.Err == nil {
			r.Err = fmt.Errorf("end: %w", err)
		}
	}
	r.Repeats = c.Repeats() - before
	return r
}

func (r *Run) steps(ctx context.Context, c *Caller, p examples.Program, serial int, find Finder) error {
	var err error
	r.Program, err = c.Open(ctx, p.Duty, fmt.Sprintf("%s-%d", p.Name, serial))
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	opened := map[string]bool{"": true}
	for n, step := range p.Steps {
		if !opened[step.Branch] {
			if err := c.Branch(ctx, r.Program, step.Branch, "branch-"+step.Branch); err != nil {
				return fmt.Errorf("branch %s: %w", step.Branch, err)
			}
			opened[step.Branch] = true
		}
		if err := r.step(ctx, c, step, fmt.Sprintf("step-%d", n), n%2 == 0, find); err != nil {
			return fmt.Errorf("step %d: %w", n+1, err)
		}
	}
	return nil
}

func (r *Run) step(ctx context.Context, c *Caller, s examples.Step, key string, stream bool, find Finder) error {
	if s.Pause > 0 {
		sleep(ctx, s.Pause)
		return nil
	}
	r.Calls++
	if s.Service != "" {
		return r.service(ctx, c, s, key, find)
	}
	a, err := c.Model(ctx, ModelCall{Program: r.Program, Branch: s.Branch, Key: key, Model: s.Model, Say: s.Say,
		MaxTokens: s.MaxTokens, Stream: stream})
	if err != nil {
		return err
	}
	text, err := AnswerText(a)
	if err != nil {
		return err
	}
	r.Said[s.Branch] = append(r.Said[s.Branch], s.Say, text)
	return nil
}

// service makes a service call. When its outcome is unknown, it looks up what happened, as a person
// does, tells the scheduler, and makes the call again under a new key if it was not run.
func (r *Run) service(ctx context.Context, c *Caller, s examples.Step, key string, find Finder) error {
	effect := Effect{Service: s.Service, Operation: s.Operation, Name: string(r.Program) + "/" + key}
	body, err := withEffect(s.Body, effect.Name)
	if err != nil {
		return err
	}
	r.Effects = append(r.Effects, effect)
	for {
		_, err := c.Service(ctx, r.Program, s.Branch, key, s.Service, s.Operation, body)
		var p *Problem
		if err == nil || !errors.As(err, &p) || p.Code() != "outcome_unknown" {
			return err
		}
		r.Settled++
		// A request that was held up may still arrive until its expiry time.
		sleep(ctx, settleWait)
		executed := "no"
		if find(effect.Name) > 0 {
			executed = "yes"
		}
		if err := c.Settle(ctx, r.Program, key, executed); err != nil {
			return fmt.Errorf("settle: %w", err)
		}
		if executed == "yes" {
			return nil
		}
		key += "-again"
	}
}

// withEffect adds the effect to the JSON object of a service call.
func withEffect(body, effect string) ([]byte, error) {
	members := map[string]any{}
	if body != "" {
		if err := json.Unmarshal([]byte(body), &members); err != nil {
			return nil, fmt.Errorf("body %q: %w", body, err)
		}
	}
	members["effect"] = effect
	return json.Marshal(members)
}

// settleWait is longer than the lease, after which no service takes an old request any more.
const settleWait = 4 * time.Second

// AnswerText returns the text of a whole or streamed chat completion.
func AnswerText(a Answer) (string, error) {
	if !isStream(a) {
		var whole struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(a.Body, &whole); err != nil {
			return "", err
		}
		if len(whole.Choices) == 0 {
			return "", errors.New("the answer has no choice")
		}
		return whole.Choices[0].Message.Content, nil
	}
	return streamText(a.Body)
}

func streamText(body []byte) (string, error) {
	var text bytes.Buffer
	for line := range bytes.Lines(body) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok || string(data) == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			return "", fmt.Errorf("event %q: %w", data, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), nil
}

// CheckHistory compares the recorded history of a run with what its caller saw.
func CheckHistory(ctx context.Context, c *Caller, r Run) error {
	for branch, said := range r.Said {
		messages, err := c.History(ctx, r.Program, branch)
		if err != nil {
			return err
		}
		if len(messages) != len(said) {
			return fmt.Errorf("program %s branch %q: %d messages are recorded, the caller saw %d", r.Program, branch, len(messages), len(said))
		}
		for n, raw := range messages {
			var m struct {
				Content string `json:"content"`
			}
			if err := json.Unmarshal(raw, &m); err != nil {
				return err
			}
			if m.Content != said[n] {
				return fmt.Errorf("program %s branch %q: message %d differs from what the caller saw", r.Program, branch, n+1)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
