package fleet

import (
	"errors"
	"slices"
	"testing"

	"dunetide/internal/platform/vfs/vfstest"
)

// Whichever file operation fails, with or without a power loss: an incarnation that was saved is never used
// again, and the identity remains readable.
func TestIncarnationsAreNeverReused(t *testing.T) {
	for failAt := 0; failAt <= 40; failAt++ {
		for _, power := range []bool{false, true} {
			d := vfstest.New()
			out := uint64(0)
			for range 6 {
				id, unreadable, err := loadIdentity(d, "f", "a")
				if err != nil || unreadable != nil {
					t.Fatalf("operation %d failed, power %v: %v, %v", failAt, power, unreadable, err)
				}
				d.FailAt = failAt
				id.Incarnation++
				if id.save(d) == nil {
					if id.Incarnation <= out {
						t.Fatalf("operation %d failed, power %v: incarnation %d after %d", failAt, power, id.Incarnation, out)
					}
					out = id.Incarnation
				}
				if power {
					d.PowerLoss(func(int) int { return 0 })
				}
			}
			if failAt == 0 && out != 6 || out < 5 {
				t.Errorf("operation %d failed: only %d starts", failAt, out)
			}
		}
	}
}

func TestCorruptOrForeignIdentity(t *testing.T) {
	d := vfstest.New()
	if err := (identity{"f", "a", 7}).save(d); err != nil {
		t.Fatal(err)
	}
	good := slices.Clone(d.File(identityName))
	for i := range good {
		for bit := range 8 {
			corrupt := slices.Clone(good)
			corrupt[i] ^= 1 << bit
			d.Put(identityName, corrupt)
			id, unreadable, err := loadIdentity(d, "f", "a")
			if err != nil || unreadable == nil && id.Incarnation != 7 || unreadable != nil && id.Incarnation != 0 {
				t.Fatalf("bit %d of byte %d: %+v, %v, %v", bit, i, id, unreadable, err)
			}
		}
	}
	d.Put(identityName, good)
	if _, _, err := loadIdentity(d, "f", "b"); !errors.Is(err, ErrOtherNode) {
		t.Error(err)
	}
	if _, _, err := loadIdentity(d, "g", "a"); !errors.Is(err, ErrOtherNode) {
		t.Error(err)
	}
}
