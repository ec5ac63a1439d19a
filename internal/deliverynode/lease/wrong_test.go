package lease

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the page promises, one at a time. The steps have to find
// each of them.
var wrong = []mutation.Line{
	{"counted from after the answer", "asker.go", "t.token, t.until = out.Token, asked+out.Length", "t.token, t.until = out.Token, now+out.Length"},
	{"held without looking at the time", "asker.go", "if t == nil || !t.wanted || t.token == 0 || now >= t.until {", "if t == nil || !t.wanted || t.token == 0 {"},
	{"held after it was given back", "asker.go", "		t.giving, t.token = t.token, 0\n	}\n	if t.giving == 0 &&", "		t.giving = t.token\n	}\n	if t.giving == 0 &&"},
	{"another incarnation keeps what the last one held", "asker.go", "t.token, t.giving = 0, 0\n\t\tif !t.wanted {\n\t\t\tdelete(a.tenures, name)\n\t\t}\n\t}\n}", "if !t.wanted {\n\t\t\tdelete(a.tenures, name)\n\t\t}\n\t}\n}"},
	{"clocks that agree", "timekeeper.go", "return length + length*clockErrorPercent/100", "return length - length*clockErrorPercent/100"},
	{"a renewal does not begin the time anew", "voter_log.go", "\tfor _, name := range changed {", "\tfor _, name := range changed {\n\t\tif v.book.state.Leases[name].Renewed > 0 {\n\t\t\tcontinue\n\t\t}"},
	{"a lease is counted from the start of the clock after a restart", "timekeeper.go", "renewed: h.Renewed, since: now, said", "renewed: h.Renewed, since: now * time.Duration(min(h.Renewed, 1)), said"},
	{"what was renewed runs out all the same", "book.go", "h.Token == l.Token && h.Renewed == l.Renewed", "h.Token == l.Token"},
	{"the token of a lapse is not compared", "book.go", "h.Token == l.Token && h.Renewed == l.Renewed", "h.Renewed == l.Renewed"},
	{"a give-back of any token", "book.go", "if mine && h.Token == o.Token {", "if there {"},
	{"an ask that comes late has effect", "book.go", "cmp.Compare(a.Number, s.Number)) <= 0 {", "cmp.Compare(a.Number, s.Number)) < -1 {"},
	{"an incarnation takes over from the last one", "book.go", "mine := there && h.Node == i && h.Incarnation == incarnation", "mine := there && h.Node == i"},
	{"a token that does not grow", "book.go", "\t\tb.state.Token++\n", ""},
	{"a log that begins grants at once", "book.go", "case b.state.Leases[blocked].Token != 0:", "case false:"},
	{"a log that begins with small tokens", "members.go", "newBook(v.o.Above(), v.o.Longest", "newBook(0, v.o.Longest"},
	{"the next epoch grants at once", "members.go", "map[string]held{blocked: {Token: book.state.Token, Length: book.state.Longest}}", "map[string]held{}"},
	{"the next epoch renews what the lost may have given to others", "members.go", "\tbook.state.Leases = map[string]held{blocked: {Token: book.state.Token, Length: book.state.Longest}}\n\tbook.state.Notes = nil // the lost may have agreed on others\n\tfor i := range book.state.Nodes {\n\t\tbook.state.Nodes[i].Holds = 0\n\t}\n\tbook.state.Nodes[0].Holds = 1\n", "\tbook.state.Leases[blocked] = held{Token: book.state.Token, Length: book.state.Longest}\n"},
	{"the next epoch's tokens go on", "members.go", "book.state.Token = max(book.state.Token+newEpoch, v.o.Above())", "book.state.Token++"},
	{"a record that is not synced", "disk.go", "return int64(len(b)), f.Sync()", "return int64(len(b)), nil"},
	{"a new file whose name is not synced", "disk.go", "err = d.folder.Sync()\n\t\t\t}\n\t\t}\n\t\tif err != nil {\n\t\t\treturn errors.Join(err, f.Close())", "err = nil\n\t\t\t}\n\t\t}\n\t\tif err != nil {\n\t\t\treturn errors.Join(err, f.Close())"},
	{"a vote that is not written", "voter_log.go", "!(hard && rd.MustSync)", "true"},
	{"what was agreed on is not written with an entry", "voter_log.go", "if rec.Hard, err = v.hard(); err != nil {\n\t\treturn err\n\t}\n\tv.stats.Syncs++\n\treturn v.disk.append", "if hard {\n\t\tif rec.Hard, err = v.hard(); err != nil {\n\t\t\treturn err\n\t\t}\n\t}\n\tv.stats.Syncs++\n\treturn v.disk.append"},
	{"a record that stands once", "disk.go", "return append(b, b...)", "return b"},
	{"a failed write is followed by another", "disk.go", "\td.close()\n\treturn fmt.Errorf(\"writing %s: %w\", logName, err)", "\treturn fmt.Errorf(\"writing %s: %w\", logName, err)"},
	{"an old folder takes part", "members.go", "m.Start != last.Start && from.Incarnation <= last.Incarnation {", "m.Start != last.Start && false {"},
	{"a voter that lost its folder has its old number", "voter_open.go", "v.self, v.store = identity{log, v.o.Random() | 1}, raft.NewMemoryStorage()", "v.self, v.store = identity{log, uint64(v.o.Name[1]) + 7}, raft.NewMemoryStorage()"},
	{"answered before it is agreed on", "voter.go", "\tv.pending[key] = waiting{reply, now + answerTime}\n", "\tif all, _, err := must(readBook(must(v.book.snapshot()))).ask(&a); err == nil {\n\t\treply(answer{Log: v.self.Log, Outcomes: all})\n\t} else {\n\t\treply(v.no(err))\n\t}\n"},
}

// TestWrongLinesStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the steps that CI plays, or by more of them. This takes minutes and
// all cores, so it is asked for: LEASE_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "LEASE_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-run", "TestDisk|TestEveryOrder"},
		Env: []string{"LEASE_WRONG=", "LEASE_SEEDS=100", "LEASE_STEPS=100000", "LEASE_DEPTH=7"}, Within: 4 * time.Minute, Parallel: true})
}
