package wait

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestForEndsWithTheTimeOrTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if !For(ctx, time.Millisecond) || !For(ctx, 0) || !For(ctx, -time.Second) {
		t.Error("For returned false before the end of the context")
	}
	cancel()
	if For(ctx, time.Hour) || For(ctx, 0) {
		t.Error("For returned true after the end of the context")
	}
}

func TestWithinCancelsTheContext(t *testing.T) {
	err := Within(t.Context(), time.Millisecond, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want a deadline error", err)
	}
}
