package lease

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are changes of single lines that would break a documented guarantee. The simulations must detect each of them.
var mutants = []mutation.Mutant{
	{
		Name: "a lease is timed from the answer",
		File: "client.go",
		Old:  "t.token, t.until = out.Token, asked+out.Length",
		New:  "t.token, t.until = out.Token, now+out.Length",
	},
	{
		Name: "an expired lease is held",
		File: "client.go",
		Old:  "if t == nil || !t.wanted || t.token == 0 || now >= t.until {",
		New:  "if t == nil || !t.wanted || t.token == 0 {",
	},
	{
		Name: "a released lease is held",
		File: "client.go",
		Old:  "		t.giving, t.token = t.token, 0\n	}\n	if t.giving == 0 &&",
		New:  "		t.giving = t.token\n	}\n	if t.giving == 0 &&",
	},
	{
		Name: "another incarnation keeps the leases of the last one",
		File: "client.go",
		Old:  "t.token, t.giving = 0, 0\n\t\tif !t.wanted {\n\t\t\tdelete(a.tenures, name)\n\t\t}\n\t}\n}",
		New:  "if !t.wanted {\n\t\t\tdelete(a.tenures, name)\n\t\t}\n\t}\n}",
	},
	{
		Name: "no allowance for clock drift",
		File: "timekeeper.go",
		Old:  "return length + length*clockErrorPercent/100",
		New:  "return length - length*clockErrorPercent/100",
	},
	{
		Name: "a renewal does not restart the timer",
		File: "voter_log.go",
		Old:  "\tfor _, name := range changed {",
		New:  "\tfor _, name := range changed {\n\t\tif v.machine.state.Leases[name].Renewed > 0 {\n\t\t\tcontinue\n\t\t}",
	},
	{
		Name: "a lease is counted from the start of the clock after a restart",
		File: "timekeeper.go",
		Old:  "renewed: h.Renewed, since: now, said",
		New:  "renewed: h.Renewed, since: now * time.Duration(min(h.Renewed, 1)), said",
	},
	{
		Name: "a renewed lease expires",
		File: "state_machine.go",
		Old:  "h.Token == l.Token && h.Renewed == l.Renewed",
		New:  "h.Token == l.Token",
	},
	{
		Name: "the token of a lapse is not compared",
		File: "state_machine.go",
		Old:  "h.Token == l.Token && h.Renewed == l.Renewed",
		New:  "h.Renewed == l.Renewed",
	},
	{
		Name: "a release under any token",
		File: "state_machine.go",
		Old:  "if mine && h.Token == o.Token {",
		New:  "if there {",
	},
	{
		Name: "a late request has an effect",
		File: "state_machine.go",
		Old:  "cmp.Compare(a.Number, s.Number)) <= 0 {",
		New:  "cmp.Compare(a.Number, s.Number)) < -1 {",
	},
	{
		Name: "an incarnation takes over from the last one",
		File: "state_machine.go",
		Old:  "mine := there && h.Node == i && h.Incarnation == incarnation",
		New:  "mine := there && h.Node == i",
	},
	{
		Name: "a token that does not grow",
		File: "state_machine.go",
		Old:  "\t\tb.state.Token++\n",
		New:  "",
	},
	{
		Name: "a new log grants at once",
		File: "state_machine.go",
		Old:  "case b.state.Leases[blocked].Token != 0:",
		New:  "case false:",
	},
	{
		Name: "a new log begins with small tokens",
		File: "members.go",
		Old:  "newStateMachine(v.options.Above(), v.options.Longest",
		New:  "newStateMachine(0, v.options.Longest",
	},
	{
		Name: "the next epoch grants at once",
		File: "members.go",
		Old:  "map[string]grant{blocked: {Token: book.state.Token, Length: book.state.Longest}}",
		New:  "map[string]grant{}",
	},
	{
		Name: "the next epoch renews leases that the lost voters may have granted to others",
		File: "members.go",
		Old:  "	book.state.Leases = map[string]grant{blocked: {Token: book.state.Token, Length: book.state.Longest}}\n	book.state.Notes = nil // the lost voters may have committed others\n	for i := range book.state.Nodes {\n		book.state.Nodes[i].Holds = 0\n	}\n	book.state.Nodes[0].Holds = 1\n",
		New:  "\tbook.state.Leases[blocked] = grant{Token: book.state.Token, Length: book.state.Longest}\n",
	},
	{
		Name: "the next epoch continues the tokens of the last one",
		File: "members.go",
		Old:  "book.state.Token = max(book.state.Token+newEpoch, v.options.Above())",
		New:  "book.state.Token++",
	},
	{
		Name: "a record that is not synced",
		File: "disk.go",
		Old:  "return int64(len(b)), f.Sync()",
		New:  "return int64(len(b)), nil",
	},
	{
		Name: "a new file whose name is not synced",
		File: "disk.go",
		Old:  "err = d.folder.Sync()\n\t\t\t}\n\t\t}\n\t\tif err != nil {\n\t\t\treturn errors.Join(err, f.Close())",
		New:  "err = nil\n\t\t\t}\n\t\t}\n\t\tif err != nil {\n\t\t\treturn errors.Join(err, f.Close())",
	},
	{
		Name: "a vote that is not written",
		File: "voter_log.go",
		Old:  "!(hard && rd.MustSync)",
		New:  "true",
	},
	{
		Name: "the commit index is not written with an entry",
		File: "voter_log.go",
		Old:  "if rec.Hard, err = v.hard(); err != nil {\n\t\treturn err\n\t}\n\tv.stats.Syncs++\n\treturn v.disk.append",
		New:  "if hard {\n\t\tif rec.Hard, err = v.hard(); err != nil {\n\t\t\treturn err\n\t\t}\n\t}\n\tv.stats.Syncs++\n\treturn v.disk.append",
	},
	{
		Name: "a record is stored once",
		File: "disk.go",
		Old:  "return append(b, b...)",
		New:  "return b",
	},
	{
		Name: "a failed write is followed by another",
		File: "disk.go",
		Old:  "\td.close()\n\treturn fmt.Errorf(\"writing %s: %w\", logName, err)",
		New:  "\treturn fmt.Errorf(\"writing %s: %w\", logName, err)",
	},
	{
		Name: "a voter on an old folder votes",
		File: "members.go",
		Old:  "m.Start != last.Start && from.Incarnation <= last.Incarnation {",
		New:  "m.Start != last.Start && false {",
	},
	{
		Name: "a voter that lost its folder has its old raft id",
		File: "voter_open.go",
		Old:  "v.self, v.store = identity{log, v.options.Random() | 1}, raft.NewMemoryStorage()",
		New:  "v.self, v.store = identity{log, uint64(v.options.Name[1]) + 7}, raft.NewMemoryStorage()",
	},
	{
		Name: "a request is answered before it is committed",
		File: "voter.go",
		Old:  "\tv.pending[key] = waiting{reply, now + answerTime}\n",
		New:  "\tif all, _, err := must(readStateMachine(must(v.machine.snapshot()))).applyRequest(&a); err == nil {\n\t\treply(answer{Log: v.self.Log, Outcomes: all})\n\t} else {\n\t\treply(v.refusal(err))\n\t}\n",
	},
}

// TestMutantsStand fails if a line of the list does not occur exactly once in the file that it names.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// Each mutant is detected by the simulations that CI runs, or by longer ones. This takes minutes and all cores, so it runs
// only on request: LEASE_WRONG=1, or a part of a mutant's name.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "LEASE_WRONG")
	mutation.Find(t, mutants, mutation.Options{Only: only, Args: []string{"-run", "TestDisk|TestEveryOrder"},
		Env: []string{"LEASE_WRONG=", "LEASE_SEEDS=100", "LEASE_STEPS=100000", "LEASE_DEPTH=7"}, Within: 4 * time.Minute, Parallel: true})
}
