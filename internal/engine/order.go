package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"ragwortstile/internal/id"
)

// fenceSerialBits is the part of a fencing number that counts the orders of one epoch. The number
// stays below 2^53, which JSON parsers keep exactly, for the first 2^29 epochs.
const fenceSerialBits = 24

// Fence orders the orders to engines: by the epoch of slot 0, then by serial.
type Fence struct {
	Epoch  id.Epoch
	Serial uint64 // rises by 1 with each order of the epoch
}

// Number returns the fencing number on the wire. It fails when the serial is above its range.
func (f Fence) Number() (uint64, error) {
	if f.Serial >= 1<<fenceSerialBits {
		return 0, fmt.Errorf("fence serial %d is above its range", f.Serial)
	}
	return uint64(f.Epoch)<<fenceSerialBits | f.Serial, nil
}

// StaleFenceError means that the engine refused an order because it saw a higher fencing number.
type StaleFenceError struct{ Current Fence }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order refused, engine has seen epoch %d serial %d", e.Current.Epoch, e.Current.Serial)
}

// SendOrder gives an order to an engine. The order is its JSON as announced in the OrderIntent. Errors:
// StaleFenceError and StatusError below 500 when it was refused, ErrUnavailable when it may have
// taken effect.
func (c *Client) SendOrder(ctx context.Context, name string, f Fence, order []byte) error {
	number, err := f.Number()
	if err != nil {
		return err
	}
	if !json.Valid(order) {
		return fmt.Errorf("order to %s is no JSON: %w", name, ErrMalformed)
	}
	ans, err := c.control(ctx, http.MethodPost, name, "/v1/orders", OrderRequest{Fence: number, Order: order})
	if err != nil {
		return fmt.Errorf("order to %s: %w", name, err)
	}
	if ans.status == http.StatusConflict {
		return fmt.Errorf("order to %s: %w", name, staleFence(ans.body))
	}
	if err := ans.check(); err != nil {
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
