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

// OutcomeResponse is the body of the answer to GET /requests/{id}, by which a service reports whether it
// executed a request. A service that has never received the request answers 200 with executed "no", and
// must refuse the request if it arrives later.
type OutcomeResponse struct {
	Executed string `json:"executed"` // "yes", "no" or "unknown"
	Status   int    `json:"status"`   // HTTP status of the answer, if executed
	Body     []byte `json:"body"`     // body of the answer, if executed
}

// AskOutcome asks an endpoint for the outcome of an attempt. Errors: ErrUnknownEndpoint and ErrNoAnswer;
// the caller may ask again then. A 404 leaves the outcome unknown: the request may still be in transit,
// and a 404 does not guarantee that the endpoint will refuse it.
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
	body, err := endpoint.ReadBody(resp.Body, c.cfg.MaxAnswerBytes*outcomeSizeFactor)
	if err != nil {
		return program.OutcomeReported{}, fmt.Errorf("ask %s: %w: %w", name, ErrNoAnswer, err)
	}
	outcome, err := parseOutcome(a, resp.StatusCode, body)
	if err != nil {
		return program.OutcomeReported{}, fmt.Errorf("ask %s: %w", name, err)
	}
	return outcome, nil
}

func parseOutcome(a id.Attempt, status int, body []byte) (program.OutcomeReported, error) {
	if status == http.StatusNotFound {
		return program.OutcomeReported{Attempt: a}, nil
	}
	if status != http.StatusOK {
		return program.OutcomeReported{}, fmt.Errorf("%w: %w", ErrNoAnswer, &StatusError{Status: status})
	}
	var w OutcomeResponse
	if err := json.Unmarshal(body, &w); err != nil {
		return program.OutcomeReported{}, fmt.Errorf("%w: body is not valid JSON", ErrNoAnswer)
	}
	outcome := program.OutcomeReported{Attempt: a}
	switch w.Executed {
	case record.ExecutedYes.String():
		outcome.Executed = record.ExecutedYes
		outcome.Status = w.Status
		outcome.Body = w.Body
	case record.ExecutedNo.String():
		outcome.Executed = record.ExecutedNo
	case record.ExecutedUnknown.String():
	default:
		return program.OutcomeReported{}, fmt.Errorf("%w: executed is neither yes, no nor unknown", ErrNoAnswer)
	}
	return outcome, nil
}

// AskAllEndpoints asks all endpoints of a service for the outcome of an attempt whose endpoint is not
// known. The outcome is "yes" if one endpoint says so, and "no" only if all of them do, since the
// request may have gone to any. Otherwise it is unknown; the error names the endpoints that gave no
// answer.
func (c *Client) AskAllEndpoints(ctx context.Context, names []string, a id.Attempt) (program.OutcomeReported, error) {
	outcomes := make([]program.OutcomeReported, len(names))
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { outcomes[i], errs[i] = c.AskOutcome(ctx, name, a) })
	}
	wg.Wait()
	allNo := len(names) > 0
	for i, outcome := range outcomes {
		if errs[i] == nil && outcome.Executed == record.ExecutedYes {
			return outcome, nil
		}
		allNo = allNo && errs[i] == nil && outcome.Executed == record.ExecutedNo
	}
	if allNo {
		return program.OutcomeReported{Attempt: a, Executed: record.ExecutedNo}, nil
	}
	return program.OutcomeReported{Attempt: a}, errors.Join(errs...)
}
