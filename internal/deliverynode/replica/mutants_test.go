package replica

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are changes of single lines that would break a documented guarantee. The tests must detect each of them.
var mutants = []mutation.Mutant{
	{
		Name: "the earlier of two versions is kept",
		File: "entry.go",
		Old:  "if t.compare(b[0]) < 0 {",
		New:  "if t.compare(b[0]) > 0 {",
	},
	{
		Name: "only the last tenure's attempts count",
		File: "entry.go",
		Old:  "p.Attempts = max(p.Attempts, t.Base) + t.Attempts",
		New:  "p.Attempts = t.Base + t.Attempts",
	},
	{
		Name: "an attempt without an outcome has not run",
		File: "entry.go",
		Old:  "if t.MayRun || t.Out || t.Settled {",
		New:  "if t.MayRun && !t.Out || t.Settled {",
	},
	{
		Name: "the last end counts",
		File: "entry.go",
		Old:  "if p.End == Runs && t.End != Runs {",
		New:  "if t.End != Runs {",
	},
	{
		Name: "a batch under an earlier token is applied",
		File: "copy.go",
		Old:  "if b.Token < c.meta.Token {",
		New:  "if b.Token < c.meta.Token-min(c.meta.Token, 100) {",
	},
	{
		Name: "a later token is not stored",
		File: "copy.go",
		Old:  "\t\tif err := saveMeta(c.folder, metaName, next); err != nil { // the token must be durable before any change under it\n\t\t\treturn Ack{}, err\n\t\t}\n",
		New:  "",
	},
	{
		Name: "a gap before a batch is not noticed",
		File: "copy.go",
		Old:  "if b.From > c.at && len(b.Whole) == 0 {",
		New:  "if false {",
	},
	{
		Name: "complete without a comparison",
		File: "copy.go",
		Old:  "complete := len(a.Differing) == 0 && len(a.Extra) == 0",
		New:  "complete := true",
	},
	{
		Name: "trusted in another place",
		File: "copy.go",
		Old:  "if !sound || m.Place != o.Place {",
		New:  "if !sound {",
	},
	{
		Name: "ended ids are not kept",
		File: "copy.go",
		Old:  "\t\tc.over.Add(o.ID)\n",
		New:  "",
	},
	{
		Name: "a message that has ended at one copy is delivered",
		File: "copy.go",
		Old:  "\t\t\tif over(e.ID) {\n\t\t\t\tcontinue\n\t\t\t}\n",
		New:  "",
	},
	{
		Name: "versions begin anew under the same token",
		File: "source.go",
		Old:  "if again := token == s.token; again {",
		New:  "if again := false; again {",
	},
	{
		Name: "a dropped copy still counts",
		File: "source.go",
		Old:  "\t\tf.began, f.complete, f.at = false, false, 0 // from now on the copy counts as removed\n",
		New:  "",
	},
	{
		Name: "a copy counts that was not compared",
		File: "source.go",
		Old:  "\t\tif !s.followers[name].complete {\n\t\t\tversion = 0\n\t\t}\n",
		New:  "",
	},
	{
		Name: "an empty copy continues at the version of the lost one",
		File: "source.go",
		Old:  "true, min(a.At, s.version), 0\n",
		New:  "true, max(f.at, min(a.At, s.version)), 0\n",
	},
	{
		Name: "a fenced writer continues",
		File: "source.go",
		Old:  "\t\ts.fenced = max(s.fenced, a.Token)\n",
		New:  "",
	},
	{
		Name: "copies that do not answer stay",
		File: "source.go",
		Old:  "(healthy(name) || now-s.followers[name].heardAt <= holderPatience) {",
		New:  "true {",
	},
	{
		Name: "any copy proves that a charge was not sent",
		File: "takeover.go",
		Old:  "found.current || noted && f.Complete && f.Token == n.Token && slices.Contains(n.Holders, name)\n",
		New:  "found.current || name != \"\"\n",
	},
	{
		Name: "a charge is sent with no copy of its attempt",
		File: "work_wait.go",
		Old:  "return at >= wait.version\n",
		New:  "return at >= 0\n",
	},
	{
		Name: "a takeover does not record ended ids",
		File: "takeover.go",
		Old:  "\terr = w.journal.AddEndedIDs(slices.Sorted(maps.Keys(found.over)))\n",
		New:  "\t_ = slices.Sorted(maps.Keys(found.over))\n",
	},
	{
		Name: "an owner keeps messages that another node has",
		File: "work_recover.go",
		Old:  "\t\tcase known[m.ID]:\n\t\t\tgone = append(gone, m)\n\t\tcase !answered",
		New:  "\t\tcase len(known) < 0:\n\t\tcase !answered",
	},
	{
		Name: "an old folder is used without catching up",
		File: "work.go",
		Old:  "behind := w.own && (w.behind || w.place.Since == 0 && noted || w.place.Noted && !noted)",
		New:  "behind := false",
	},
	{
		Name: "work continues on a log that was taken over",
		File: "work.go",
		Old:  "if noted && (n.Writer != k.options.Name || n.Done) && !w.isResolved() {",
		New:  "if false {",
	},
}

// TestMutantsStand fails if a line of the list does not occur exactly once in the file that it names.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// Each mutant is detected by the tests. This takes minutes and all cores, so it runs only on request: COPIES_WRONG=1, or a
// part of a mutant's name.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "COPIES_WRONG")
	mutation.Find(t, mutants, mutation.Options{Only: only, Args: []string{"-timeout", "150s"}, Env: []string{"COPIES_WRONG=", "COPIES_SEEDS=120"}, Within: 3 * time.Minute})
}
