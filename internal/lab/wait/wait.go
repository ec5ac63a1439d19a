// Package wait provides waits for the lab that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether it elapsed before the context ended. If d is not positive, it reports whether the context is
// still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Within calls do with a context that ends after at most the given time.
func Within(ctx context.Context, most time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return do(ctx)
}
