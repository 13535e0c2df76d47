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

// Run is the result of running one example program, with the answers that its caller received.
type Run struct {
	Kind    string
	Team    string
	Program id.Program
	Calls   int
	Retries int64
	Settled int           // service calls with an unknown outcome, which the caller looked up and settled
	Latency time.Duration // from the opening of the program to the end of its last step
	// Transcript holds the texts that the caller sent and received, by branch: user message, answer,
	// and so on.
	Transcript map[string][]string
	Effects    []Effect
	Err        error
}

// Effect identifies the side effect of one service call of an example program. All attempts and retries
// of the call have the same effect, so the stand-ins can count a duplicate execution.
type Effect struct {
	Service   string
	Operation string
	Name      string
}

// EffectCounter returns how often an effect was executed. It stands for the lookup that a human operator
// makes before settling a call with an unknown outcome.
type EffectCounter func(effect string) int

// RunProgram makes the calls of an example program one after the other and ends the program.
func RunProgram(ctx context.Context, c *Caller, u examples.Team, p examples.Program, serial int, countEffect EffectCounter) Run {
	r := Run{Kind: p.Name, Team: u.Name, Transcript: map[string][]string{}}
	start := time.Now()
	before := c.Retries()
	r.Err = r.runSteps(ctx, c, p, serial, countEffect)
	r.Latency = time.Since(start)
	if r.Program != "" {
		if err := c.End(ctx, r.Program); err != nil && r.Err == nil {
			r.Err = fmt.Errorf("end: %w", err)
		}
	}
	r.Retries = c.Retries() - before
	return r
}

func (r *Run) runSteps(ctx context.Context, c *Caller, p examples.Program, serial int, countEffect EffectCounter) error {
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
		if err := r.runStep(ctx, c, step, fmt.Sprintf("step-%d", n), n%2 == 0, countEffect); err != nil {
			return fmt.Errorf("step %d: %w", n+1, err)
		}
	}
	return nil
}

func (r *Run) runStep(ctx context.Context, c *Caller, s examples.Step, key string, stream bool, countEffect EffectCounter) error {
	if s.Pause > 0 {
		sleep(ctx, s.Pause)
		return nil
	}
	r.Calls++
	if s.Service != "" {
		return r.callService(ctx, c, s, key, countEffect)
	}
	a, err := c.Model(ctx, ModelCall{Program: r.Program, Branch: s.Branch, Key: key, Model: s.Model, Message: s.Say,
		MaxTokens: s.MaxTokens, Stream: stream})
	if err != nil {
		return err
	}
	text, err := AnswerText(a)
	if err != nil {
		return err
	}
	r.Transcript[s.Branch] = append(r.Transcript[s.Branch], s.Say, text)
	return nil
}

// callService makes a service call. If the outcome is unknown, it does what a human operator would do:
// it looks up whether the effect was executed, settles the call accordingly, and makes the call again
// under a new key if it was not executed.
func (r *Run) callService(ctx context.Context, c *Caller, s examples.Step, key string, countEffect EffectCounter) error {
	effect := Effect{Service: s.Service, Operation: s.Operation, Name: string(r.Program) + "/" + key}
	body, err := addEffect(s.Body, effect.Name)
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
		// A delayed request can still be executed until it expires, so the count is final only then.
		sleep(ctx, settleWait)
		executed := "no"
		if countEffect(effect.Name) > 0 {
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

// addEffect adds the name of the effect to the JSON body of a service call.
func addEffect(body, effect string) ([]byte, error) {
	members := map[string]any{}
	if body != "" {
		if err := json.Unmarshal([]byte(body), &members); err != nil {
			return nil, fmt.Errorf("body %q: %w", body, err)
		}
	}
	members["effect"] = effect
	return json.Marshal(members)
}

// settleWait is longer than the lease. When the lease has expired, services refuse old requests.
const settleWait = 4 * time.Second

// AnswerText returns the text of a chat completion, streamed or not.
func AnswerText(a Answer) (string, error) {
	if !isStream(a) {
		var completion struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(a.Body, &completion); err != nil {
			return "", err
		}
		if len(completion.Choices) == 0 {
			return "", errors.New("the completion has no choices")
		}
		return completion.Choices[0].Message.Content, nil
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

// CheckHistory compares the recorded history of a program with the texts that its caller saw, branch by
// branch.
func CheckHistory(ctx context.Context, c *Caller, r Run) error {
	for branch, said := range r.Transcript {
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
