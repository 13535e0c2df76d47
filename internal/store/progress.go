package store

import (
	"context"
	"time"
)

type progressKey struct{}

// WithProgress returns a context whose operations call f whenever a part of their response has arrived. An
// implementation whose responses arrive at once need not call it.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// Progress returns the function that WithProgress has set, or one that does nothing.
func Progress(ctx context.Context) func() {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		return f
	}
	return func() {}
}

// WithMaxStall returns a context that ends once no part of the response of an operation has arrived for limit. The
// caller must call cancel once the operation has ended.
func WithMaxStall(ctx context.Context, limit time.Duration) (stallCtx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(ctx)
	watch := time.AfterFunc(limit, cancel)
	ctx = WithProgress(ctx, func() {
		if ctx.Err() == nil {
			watch.Reset(limit)
		}
	})
	return ctx, func() {
		watch.Stop()
		cancel()
	}
}
