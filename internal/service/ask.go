package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// OutcomeResponse is the answer of a service that can be asked: GET /requests/{id}. A service that never
// saw the request answers 200 with executed "no" and refuses the request if it comes later.
type OutcomeResponse struct {
	Executed string `json:"executed"` // "yes", "no" or "unknown"
	Status   int    `json:"status"`   // HTTP status of the answer, if executed
	Body     []byte `json:"body"`     // body of the answer, if executed
}

// AskOutcome asks an endpoint for the outcome of an attempt. Errors: ErrUnknownEndpoint, ErrNoAnswer; asking
// again may help then. A 404 leaves the outcome unknown: it does not promise that the request, which
// may still be on its way, will not be run.
func (c *Client) AskOutcome(ctx context.Context, name string, a id.Attempt) (program.OutcomeReported, error) {
	base, ok := c.cfg.URL(name)
	if !ok {
		return program.OutcomeReported{}, fmt.Errorf("%s: %w", name, ErrUnknownEndpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AskTimeout)
	defer cancel()
	u := strings.TrimRight(base, "/") + "/requests/" + url.PathEscape(string(a))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return program.OutcomeReported{}, err
	}
	resp, _, err := c.cfg.HTTP.Send(req, nil)
	if err != nil {
		return program.OutcomeReported{}, fmt.Errorf("ask %s: %w: %w", name, ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	body, err := endpoint.ReadBody(resp.Body, c.cfg.MaxAnswerBytes*maxAskFactor)
	if err != nil {
		return program.OutcomeReported{}, fmt.Errorf("ask %s: %w: %w", name, ErrNoAnswer, err)
	}
	asked, err := parseAsk(a, resp.StatusCode, body)
	if err != nil {
		return program.OutcomeReported{}, fmt.Errorf("ask %s: %w", name, err)
	}
	return asked, nil
}

func parseAsk(a id.Attempt, status int, body []byte) (program.OutcomeReported, error) {
	if status == http.StatusNotFound {
		return program.OutcomeReported{Attempt: a}, nil
	}
	if status != http.StatusOK {
		return program.OutcomeReported{}, fmt.Errorf("%w: %w", ErrNoAnswer, &StatusError{Status: status})
	}
	var w OutcomeResponse
	if err := json.Unmarshal(body, &w); err != nil {
		return program.OutcomeReported{}, fmt.Errorf("%w: no JSON", ErrNoAnswer)
	}
	asked := program.OutcomeReported{Attempt: a}
	switch w.Executed {
	case record.ExecutedYes.String():
		asked.Executed = record.ExecutedYes
		asked.Status = w.Status
		asked.Body = w.Body
	case record.ExecutedNo.String():
		asked.Executed = record.ExecutedNo
	case record.ExecutedUnknown.String():
	default:
		return program.OutcomeReported{}, fmt.Errorf("%w: executed is neither yes, no nor unknown", ErrNoAnswer)
	}
	return asked, nil
}

// AskAllEndpoints asks all endpoints of a service, for an attempt whose endpoint is not known. One "yes"
// decides. "no" needs all of them, since the request may have gone to any. Otherwise the outcome is
// unknown; the errors tell which endpoints gave no answer.
func (c *Client) AskAllEndpoints(ctx context.Context, names []string, a id.Attempt) (program.OutcomeReported, error) {
	answers := make([]program.OutcomeReported, len(names))
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { answers[i], errs[i] = c.AskOutcome(ctx, name, a) })
	}
	wg.Wait()
	no := len(names) > 0
	for i, asked := range answers {
		if errs[i] == nil && asked.Executed == record.ExecutedYes {
			return asked, nil
		}
		no = no && errs[i] == nil && asked.Executed == record.ExecutedNo
	}
	if no {
		return program.OutcomeReported{Attempt: a, Executed: record.ExecutedNo}, nil
	}
	return program.OutcomeReported{Attempt: a}, errors.Join(errs...)
}
