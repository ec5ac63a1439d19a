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
		t.Error("the time has not gone by")
	}
	cancel()
	if For(ctx, time.Hour) || For(ctx, 0) {
		t.Error("it goes on after the end of the context")
	}
}

func TestWithinEndsTheWorkWithAnError(t *testing.T) {
	err := Within(t.Context(), time.Millisecond, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("it ended with %v", err)
	}
}
