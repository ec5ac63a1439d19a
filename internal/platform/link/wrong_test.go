package link

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would give a reply to the wrong call, or lose one.
var wrong = []mutation.Mutant{
	{
		Name: "a call is answered twice",
		File: "link.go",
		Old:  "			ch := c.calls[call]\n			delete(c.calls, call)\n",
		New:  "			ch := c.calls[call]\n",
	},
	{
		Name: "a call that was given up is kept",
		File: "link.go",
		Old:  "		delete(c.calls, id) // a late reply finds nobody\n",
		New:  "		_ = id\n",
	},
	{
		Name: "a refusal looks like a reply",
		File: "link.go",
		Old:  "			if kind == kindError {",
		New:  "			if kind == kindProbe {",
	},
	{
		Name: "a link that ends leaves its calls waiting",
		File: "link.go",
		Old:  "			ch <- Reply{Err: ErrClosed}\n		}\n	})",
		New:  "			_ = ch\n		}\n	})",
	},
	{
		Name: "all calls have one number",
		File: "link.go",
		Old:  "		if c.next++; c.next == 0 {",
		New:  "		if c.next = c.next; c.next == 0 {",
	},
	{
		Name: "a call on a link that has ended waits",
		File: "link.go",
		Old:  "		c.mu.Unlock()\n		ch <- Reply{Err: ErrClosed}\n		return ch, 0",
		New:  "		c.mu.Unlock()\n		return ch, 0",
	},
	{
		Name: "a frame that is too long is read",
		File: "link.go",
		Old:  "if n < 0 || n > maxFrame-head {",
		New:  "if n < 0 {",
	},
}

// TestWrongLinesStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) { mutation.CheckPresent(t, wrong) }

// Each wrong line is found by the tests: LINK_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Requested(t, "LINK_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-timeout", "60s"}, Env: []string{"LINK_WRONG="}, Within: 2 * time.Minute})
}
