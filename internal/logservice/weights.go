package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// Weights describes the weights of a model, as the weight store reports them for a fetch.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightClient fetches from the weight store. It never retries a request: the store limits the rate of
// fetches, and the controller manages that quota.
type WeightClient struct {
	baseURL string
	client  *http.Client
}

// NewWeightClient returns a client for the weight store at a base URL.
func NewWeightClient(baseURL string, client *http.Client) *WeightClient {
	return &WeightClient{baseURL: strings.TrimRight(baseURL, "/"), client: client}
}

// Fetch requests one fetch of a model, which counts against the store's quota. Errors: RateLimitedError, ErrOutage,
// ErrNotFound, ErrMalformed, ErrUnknownResult.
func (c *WeightClient) Fetch(ctx context.Context, model string) (Weights, error) {
	u := c.baseURL + "/weights/" + url.PathEscape(model) + "/fetch"
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
		return Weights{}, fmt.Errorf("weights of %s: %w: response is for model %q", model, ErrMalformed, w.Model)
	}
	return w, nil
}
