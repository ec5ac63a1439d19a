package replica

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the page promises, one at a time. The tests have to find each.
var wrong = []mutation.Line{
	{"the earlier of two versions stands", "entry.go", "if t.compare(b[0]) < 0 {", "if t.compare(b[0]) > 0 {"},
	{"only the last tenure's attempts count", "entry.go", "p.Attempts = max(p.Attempts, t.Base) + t.Attempts", "p.Attempts = t.Base + t.Attempts"},
	{"what is out has not run", "entry.go", "if t.MayRun || t.Out || t.Settled {", "if t.MayRun && !t.Out || t.Settled {"},
	{"the last end stands", "entry.go", "if p.End == Runs && t.End != Runs {", "if t.End != Runs {"},
	{"an earlier token is heard", "copy.go", "if b.Token < c.meta.Token {", "if b.Token < c.meta.Token-min(c.meta.Token, 100) {"},
	{"a later token is not kept on disk", "copy.go", "\t\tif err := saveMeta(c.folder, metaName, next); err != nil { // before anything is done under it\n\t\t\treturn Ack{}, err\n\t\t}\n", ""},
	{"what is in between is not missed", "copy.go", "if b.From > c.at && len(b.Whole) == 0 {", "if false {"},
	{"whole without a comparison", "copy.go", "complete := len(a.Wrong) == 0 && len(a.Extra) == 0", "complete := true"},
	{"trusted in another place", "copy.go", "if !sound || m.Place != o.Place {", "if !sound {"},
	{"what is over is not kept", "copy.go", "\t\tc.over.Add(o.ID)\n", ""},
	{"what is over at one is owed", "copy.go", "\t\t\tif over(e.ID) {\n\t\t\t\tcontinue\n\t\t\t}\n", ""},
	{"versions begin anew under the same token", "source.go", "if again := token == s.token; again {", "if again := false; again {"},
	{"a copy that was told to go still counts", "source.go", "\t\tf.began, f.complete, f.at = false, false, 0 // it has none from here on, as far as is known\n", ""},
	{"copies count that were not compared", "source.go", "\t\tif !s.followers[name].complete {\n\t\t\tversion = 0\n\t\t}\n", ""},
	{"an empty copy goes on where the lost one was", "source.go", "true, min(a.At, s.version), 0\n", "true, max(f.at, min(a.At, s.version)), 0\n"},
	{"a fenced writer goes on", "source.go", "\t\ts.fenced = max(s.fenced, a.Token)\n", ""},
	{"copies that do not answer stay", "source.go", "(well(name) || now-s.followers[name].heardAt <= holderPatience) {", "true {"},
	{"any copy proves that a charge was not sent", "takeover.go", "found.current || noted && f.Complete && f.Token == n.Token && slices.Contains(n.Holders, name)\n", "found.current || name != \"\"\n"},
	{"a charge is sent with no copy of its attempt", "work_wait.go", "return at >= wait.version, nil", "return at >= 0, nil"},
	{"the adopter forgets what is over", "takeover.go", "\terr = w.journal.NoteOver(slices.Sorted(maps.Keys(found.over)))\n", "\t_ = slices.Sorted(maps.Keys(found.over))\n"},
	{"an owner keeps what another has", "work_recover.go", "\t\tcase known[m.ID]:\n\t\t\tgone = append(gone, m)\n\t\tcase !answered", "\t\tcase len(known) < 0:\n\t\tcase !answered"},
	{"a folder from before is taken for the last", "work.go", "behind := w.own && (w.behind || w.place.Since == 0 && noted || w.place.Noted && !noted)", "behind := false"},
	{"a log that was taken over is gone on with", "work.go", "if noted && (n.Writer != k.o.Name || n.Done) && !w.isSettled() {", "if false {"},
}

// TestWrongLinesStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the tests. This takes minutes and all cores, so it is asked for:
// COPIES_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "COPIES_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-timeout", "150s"}, Env: []string{"COPIES_WRONG=", "COPIES_SEEDS=120"}, Within: 3 * time.Minute})
}
