// Package wait has the waits of the lab, which end with a context.
package wait

import (
	"context"
	"time"
)

// For waits so long. It tells whether the time went by before the context ended; where there is nothing to wait for, whether it goes on.
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

// Within does something that ends with its context, for so long at most.
func Within(ctx context.Context, most time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return do(ctx)
}
