package store

import (
	"context"
	"errors"
	"time"
)

// ErrStalled means that nothing of a response has arrived for the time set by WithMaxStall.
var ErrStalled = errors.New("response stalled")

type progressKey struct{}

// Progress returns a function that an implementation calls whenever a part of a response has arrived. An implementation
// whose responses arrive at once need not call it.
func Progress(ctx context.Context) (arrived func()) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		return f
	}
	return func() {}
}

// WithMaxStall returns a context that ends with the cause ErrStalled once no part of the response of an operation has
// arrived for limit. cancel must be called when the operation has returned.
func WithMaxStall(parent context.Context, limit time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	watch := time.AfterFunc(limit, func() { end(ErrStalled) })
	ctx = context.WithValue(ctx, progressKey{}, func() { watch.Reset(limit) })
	return ctx, func() {
		watch.Stop()
		end(nil)
	}
}
