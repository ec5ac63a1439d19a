package dispatch

import (
	"fmt"
	"testing"
)

// goldenDefaults are the default values of all settings, in the order of their fields, as printed by the sources of faf8ea2.
const goldenDefaults = "{5s 1m0s 8192 1s 0.7 0.9 2048 0.25 50ms 1.5s 60ms 3 1 1s 300ms 4 3 10ms 3 0.15 0.1 3s 1.25 1 0.25 1 4ms 20ms 0.2 2 500ms 5s 2048}"

func TestGoldenDefaults(t *testing.T) {
	if got := fmt.Sprintf("%v", Settings{}.withDefaults()); got != goldenDefaults {
		t.Errorf("defaults are %s, want %s", got, goldenDefaults)
	}
}
