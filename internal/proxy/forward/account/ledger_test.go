package account

import (
	"slices"
	"testing"
)

// Each violation is found, and no other rule is reported.
func TestLedgerFindsEachViolation(t *testing.T) {
	const id, service = "call-1", "alpha"
	one := run{ID: id, Kind: writeCall, Asked: service, Instance: "i-1", Service: service}
	two := one
	two.Instance = "i-2"
	elsewhere := one
	elsewhere.Service = "beta"
	written := sentCall{id: id, kind: writeCall, service: service}
	refused, truncated, mismatched, sealed, read := written, written, written, written, written
	refused.status, refused.complete = 503, true
	truncated.fault = truncatesRequest
	mismatched.invalid = "another call's"
	sealed.status, sealed.sealed = 200, seal("i-2", id)
	read.kind = readCall
	readRun := one
	readRun.Kind = readCall
	for name, c := range map[string]struct {
		call sentCall
		runs []run
		want []rule
	}{
		"no violation":    {written, []run{one}, nil},
		"never ran":       {refused, nil, nil},
		"repeated":        {read, []run{readRun, readRun}, nil},
		"run twice":       {written, []run{one, two}, []rule{secondRun}},
		"run too often":   {read, []run{readRun, readRun, readRun}, []rule{manyRuns}},
		"refused and run": {refused, []run{one}, []rule{falseRefusal}},
		"truncated":       {truncated, []run{one}, []rule{notSent}},
		"wrong answer":    {mismatched, []run{one}, []rule{wrongAnswer}},
		"wrong service":   {written, []run{elsewhere}, []rule{wrongService}},
		"unknown seal":    {sealed, []run{one}, []rule{noRun}},
	} {
		t.Run(name, func(t *testing.T) {
			l := ledger{calls: map[string]sentCall{id: c.call}}
			violations, _ := l.compare(map[string][]run{id: c.runs})
			var got []rule
			for _, v := range violations {
				got = append(got, v.rule)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("found %v, want %v", got, c.want)
			}
		})
	}
}

// An answer is validated by its seal and its body.
func TestInvalidBodies(t *testing.T) {
	right := answerBody("alpha", "call-1")
	for name, c := range map[string]struct {
		call  sentCall
		body  string
		right bool
	}{
		"right":                {sentCall{status: 200, sealed: "i/call-1", complete: true}, right, true},
		"truncated":            {sentCall{status: 200, sealed: "i/call-1"}, right[:9], true},
		"truncated, complete":  {sentCall{status: 200, sealed: "i/call-1", complete: true}, right[:9], false},
		"without a seal":       {sentCall{status: 200, complete: true}, right, false},
		"another's seal":       {sentCall{status: 200, sealed: "i/call-2", complete: true}, right, false},
		"another's body":       {sentCall{status: 200, sealed: "i/call-1", complete: true}, answerBody("alpha", "call-2"), false},
		"another's, truncated": {sentCall{status: 200, sealed: "i/call-1"}, answerBody("alpha", "call-2")[:9], false},
		"a refusal":            {sentCall{status: 503, complete: true}, "", true},
		"a failure":            {sentCall{status: 500, sealed: "i/call-1", complete: true}, digest("failed", "call-1"), true},
		"not its failure":      {sentCall{status: 500, sealed: "i/call-1", complete: true}, digest("failed", "call-2"), false},
	} {
		t.Run(name, func(t *testing.T) {
			c.call.id, c.call.kind, c.call.service = "call-1", readCall, "alpha"
			if invalid := invalidBody(&c.call, c.body); (invalid == "") != c.right {
				t.Errorf("invalidBody returned %q", invalid)
			}
		})
	}
}
