package replica

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are lines that would break what the page promises, one at a time. The tests have to find each.
var mutants = []mutation.Mutant{
	{
		Name: "the earlier of two versions stands",
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
		Name: "what is out has not run",
		File: "entry.go",
		Old:  "if t.MayRun || t.Out || t.Settled {",
		New:  "if t.MayRun && !t.Out || t.Settled {",
	},
	{
		Name: "the last end stands",
		File: "entry.go",
		Old:  "if p.End == Runs && t.End != Runs {",
		New:  "if t.End != Runs {",
	},
	{
		Name: "an earlier token is heard",
		File: "copy.go",
		Old:  "if b.Token < c.meta.Token {",
		New:  "if b.Token < c.meta.Token-min(c.meta.Token, 100) {",
	},
	{
		Name: "a later token is not kept on disk",
		File: "copy.go",
		Old:  "\t\tif err := saveMeta(c.folder, metaName, next); err != nil { // the token must be durable before any change under it\n\t\t\treturn Ack{}, err\n\t\t}\n",
		New:  "",
	},
	{
		Name: "what is in between is not missed",
		File: "copy.go",
		Old:  "if b.From > c.at && len(b.Whole) == 0 {",
		New:  "if false {",
	},
	{
		Name: "whole without a comparison",
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
		Name: "what is over is not kept",
		File: "copy.go",
		Old:  "\t\tc.over.Add(o.ID)\n",
		New:  "",
	},
	{
		Name: "what is over at one is owed",
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
		Name: "a copy that was told to go still counts",
		File: "source.go",
		Old:  "\t\tf.began, f.complete, f.at = false, false, 0 // from now on the copy counts as removed\n",
		New:  "",
	},
	{
		Name: "copies count that were not compared",
		File: "source.go",
		Old:  "\t\tif !s.followers[name].complete {\n\t\t\tversion = 0\n\t\t}\n",
		New:  "",
	},
	{
		Name: "an empty copy goes on where the lost one was",
		File: "source.go",
		Old:  "true, min(a.At, s.version), 0\n",
		New:  "true, max(f.at, min(a.At, s.version)), 0\n",
	},
	{
		Name: "a fenced writer goes on",
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
		Name: "the adopter forgets what is over",
		File: "takeover.go",
		Old:  "\terr = w.journal.NoteOver(slices.Sorted(maps.Keys(found.over)))\n",
		New:  "\t_ = slices.Sorted(maps.Keys(found.over))\n",
	},
	{
		Name: "an owner keeps what another has",
		File: "work_recover.go",
		Old:  "\t\tcase known[m.ID]:\n\t\t\tgone = append(gone, m)\n\t\tcase !answered",
		New:  "\t\tcase len(known) < 0:\n\t\tcase !answered",
	},
	{
		Name: "a folder from before is taken for the last",
		File: "work.go",
		Old:  "behind := w.own && (w.behind || w.place.Since == 0 && noted || w.place.Noted && !noted)",
		New:  "behind := false",
	},
	{
		Name: "a log that was taken over is gone on with",
		File: "work.go",
		Old:  "if noted && (n.Writer != k.options.Name || n.Done) && !w.isResolved() {",
		New:  "if false {",
	},
}

// TestMutantsStand fails when a line of the list no longer stands once in the file that it names.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// Each wrong line is found by the tests. This takes minutes and all cores, so it is asked for:
// COPIES_WRONG=1, or a part of a name.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "COPIES_WRONG")
	mutation.Find(t, mutants, mutation.Options{Only: only, Args: []string{"-timeout", "150s"}, Env: []string{"COPIES_WRONG=", "COPIES_SEEDS=120"}, Within: 3 * time.Minute})
}
