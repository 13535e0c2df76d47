package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"ragwortstile/internal/id"
)

// fenceSerialBits is the count of low bits of a fencing token, as a number, that hold the serial. The number
// stays below 2^53, up to which JSON parsers represent integers exactly, for the first 2^29 epochs.
const fenceSerialBits = 24

// Fence is the fencing token of an order. Tokens compare by the epoch of slot 0, then by serial. An engine
// refuses an order with a lower token than it has seen, so that a previous controller cannot override
// the current one.
type Fence struct {
	Epoch  id.Epoch
	Serial uint64 // increases by 1 with each order of the epoch
}

// Number returns the fencing token as the number that engines compare. It fails if the serial exceeds its range.
func (f Fence) Number() (uint64, error) {
	if f.Serial >= 1<<fenceSerialBits {
		return 0, fmt.Errorf("serial %d of the fencing number exceeds its range", f.Serial)
	}
	return uint64(f.Epoch)<<fenceSerialBits | f.Serial, nil
}

// StaleFenceError means that the engine refused an order because it has seen a higher fencing token.
type StaleFenceError struct{ Current Fence }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("engine refused the order, as it has seen epoch %d serial %d", e.Current.Epoch, e.Current.Serial)
}

// SendOrder sends an order to an engine. order is the JSON of the order, as recorded in the OrderIntent.
// With a StaleFenceError or a StatusError below 500 the engine has refused the order. With ErrUnavailable
// or a StatusError from 500 the order may have taken effect.
func (c *Client) SendOrder(ctx context.Context, name string, f Fence, order []byte) error {
	number, err := f.Number()
	if err != nil {
		return err
	}
	if !json.Valid(order) {
		return fmt.Errorf("order to %s is not valid JSON: %w", name, ErrMalformed)
	}
	ans, err := c.control(ctx, http.MethodPost, name, "/v1/orders", OrderRequest{Fence: number, Order: order})
	if err != nil {
		return fmt.Errorf("order to %s: %w", name, err)
	}
	if ans.status == http.StatusConflict {
		return fmt.Errorf("order to %s: %w", name, staleFence(ans.body))
	}
	if err := ans.checkStatus(); err != nil {
		return fmt.Errorf("order to %s: %w", name, err)
	}
	return nil
}

func staleFence(body []byte) error {
	var w StaleFenceResponse
	if err := json.Unmarshal(body, &w); err != nil {
		return &StaleFenceError{}
	}
	return &StaleFenceError{Current: Fence{
		Epoch:  id.Epoch(w.Fence >> fenceSerialBits),
		Serial: w.Fence & (1<<fenceSerialBits - 1),
	}}
}
