package lease

import (
	"errors"
	"testing"

	"dunetide/internal/platform/vfs/vfstest"
)

// Each disk operation fails, and a power failure follows: once a token has passed, lower tokens are refused permanently, and
// the same token and later ones pass.
func TestFenceRefusesLowerTokensThroughFailures(t *testing.T) {
	for failAt := range 30 {
		d := vfstest.New()
		f, err := OpenFence(d, "fence")
		if err != nil {
			t.Fatal(err)
		}
		d.FailAt = failAt
		passed := map[string]uint64{}
		for _, act := range []struct {
			lease string
			token uint64
		}{{"a", 5}, {"b", 6}, {"a", 5}, {"a", 9}, {"b", 7}, {"c", 8}} {
			if err := f.Pass(act.lease, act.token); err == nil {
				passed[act.lease] = act.token
			} else if errors.Is(err, ErrFenced) {
				t.Errorf("operation %d fails: %v", failAt, err)
			}
		}
		d.FailAt = 0
		d.PowerLoss(func(int) int { return 0 })
		if f, err = OpenFence(d, "fence"); err != nil {
			t.Fatal(err)
		}
		for lease, token := range passed {
			if err := f.Pass(lease, token-1); !errors.Is(err, ErrFenced) {
				t.Errorf("operation %d fails: %q passes under %d after %d: %v", failAt, lease, token-1, token, err)
			}
			if err := f.Pass(lease, token); err != nil {
				t.Error(err)
			}
		}
	}
	d := vfstest.New()
	d.Put("fence", []byte("a0\n0000000000000000\n"))
	if _, err := OpenFence(d, "fence"); err == nil {
		t.Error("a damaged file was read as a missing one")
	}
}
