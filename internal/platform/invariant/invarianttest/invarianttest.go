// Package invarianttest helps to test that an invariant check detects a violation.
package invarianttest

import (
	"strings"
	"testing"
)

// Violates fails the test unless f violates the invariant of that name.
func Violates(t *testing.T, name string, f func()) {
	t.Helper()
	defer func() {
		t.Helper()
		found, _ := recover().(string)
		if !strings.Contains(found, name) {
			t.Errorf("%s is not violated: %q", name, found)
		}
	}()
	f()
}
