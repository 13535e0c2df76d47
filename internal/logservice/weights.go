package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// Weights is the answer of the weight store to a fetch.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightClient asks the weight store. It never retries by itself, as the store is rate limited and
// the controller holds the quota.
type WeightClient struct {
	base   string
	client *http.Client
}

// NewWeightClient returns a client for the weight store at a base URL.
func NewWeightClient(base string, client *http.Client) *WeightClient {
	return &WeightClient{base: strings.TrimRight(base, "/"), client: client}
}

// Fetch takes one fetch of a model from the store's quota. Errors: RateLimitedError, ErrOutage,
// ErrNotFound, ErrMalformed, ErrUnknownResult.
func (c *WeightClient) Fetch(ctx context.Context, model string) (Weights, error) {
	u := c.base + "/weights/" + url.PathEscape(model) + "/fetch"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nil)
	if err != nil {
		return Weights{}, err
	}
	r, err := do(c.client, req, maxErrorBytes)
	if err != nil {
		return Weights{}, fmt.Errorf("weights of %s: %w", model, err)
	}
	if r.status != http.StatusOK {
		return Weights{}, fmt.Errorf("weights of %s: %w", model, statusError(r))
	}
	var w Weights
	if err := json.Unmarshal(r.body, &w); err != nil {
		return Weights{}, fmt.Errorf("weights of %s: %w: %w", model, ErrMalformed, err)
	}
	if w.Model != model {
		return Weights{}, fmt.Errorf("weights of %s: %w: answer is for %q", model, ErrMalformed, w.Model)
	}
	return w, nil
}
