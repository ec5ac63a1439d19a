package link

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are source changes that would deliver a reply to the wrong call, or lose one.
var mutants = []mutation.Mutant{
	{
		Name: "a call is replied to twice",
		File: "conn.go",
		Old:  "	pending := c.calls[number]\n	delete(c.calls, number)\n",
		New:  "	pending := c.calls[number]\n",
	},
	{
		Name: "an abandoned call stays pending",
		File: "conn.go",
		Old:  "	defer c.mu.Unlock()\n	delete(c.calls, number)\n}",
		New:  "	defer c.mu.Unlock()\n	_ = number\n}",
	},
	{
		Name: "an error is delivered as a reply",
		File: "conn.go",
		Old:  "Reply{Err: RemoteError(f.body)}",
		New:  "Reply{Body: f.body}",
	},
	{
		Name: "a link that ends leaves its calls waiting",
		File: "conn.go",
		Old:  "			pending <- Reply{Err: ErrClosed}\n		}\n	})",
		New:  "			_ = pending\n		}\n	})",
	},
	{
		Name: "all calls have the same number",
		File: "conn.go",
		Old:  "		c.lastCall++\n",
		New:  "",
	},
	{
		Name: "a call on a link that has ended waits",
		File: "conn.go",
		Old:  "		pending <- Reply{Err: ErrClosed}\n		return pending, 0",
		New:  "		return pending, 0",
	},
	{
		Name: "a frame that is too long is read",
		File: "frame.go",
		Old:  "if size < 0 || size > MaxBody {",
		New:  "if size < 0 {",
	},
}

// TestMutantsStand fails if the source text that a mutant replaces does not occur exactly once in its file.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// TestMutantsAreFound runs the tests against each mutant, which takes minutes: it runs if LINK_MUTANTS is 1 or part
// of a mutant's name.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "LINK_MUTANTS")
	mutation.Find(t, mutants, mutation.Options{
		Only:   only,
		Args:   []string{"-timeout", "60s"},
		Env:    []string{"LINK_MUTANTS="},
		Within: 2 * time.Minute,
	})
}
