package link

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would give a reply to the wrong call, or lose one.
var wrong = []mutation.Line{
	{"a call is answered twice", "link.go", "			ch := c.calls[call]\n			delete(c.calls, call)\n", "			ch := c.calls[call]\n"},
	{"a call that was given up is kept", "link.go", "		delete(c.calls, id) // a late reply finds nobody\n", "		_ = id\n"},
	{"a refusal looks like a reply", "link.go", "			if kind == kindError {", "			if kind == kindProbe {"},
	{"a link that ends leaves its calls waiting", "link.go", "			ch <- Reply{Err: ErrClosed}\n		}\n	})", "			_ = ch\n		}\n	})"},
	{"all calls have one number", "link.go", "		if c.next++; c.next == 0 {", "		if c.next = c.next; c.next == 0 {"},
	{"a call on a link that has ended waits", "link.go", "		c.mu.Unlock()\n		ch <- Reply{Err: ErrClosed}\n		return ch, 0", "		c.mu.Unlock()\n		return ch, 0"},
	{"a frame that is too long is read", "link.go", "if n < 0 || n > maxFrame-head {", "if n < 0 {"},
}

// TestWrongLinesStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the tests: LINK_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "LINK_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-timeout", "60s"}, Env: []string{"LINK_WRONG="}, Within: 2 * time.Minute})
}
