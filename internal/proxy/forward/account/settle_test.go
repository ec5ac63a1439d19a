package account

import (
	"slices"
	"testing"
)

// Each rule is found broken where it is, and only that one.
func TestScenarioCheckFindsEachBreach(t *testing.T) {
	const id, service = "call-1", "alpha"
	one := run{ID: id, Kind: writeCall, Asked: service, Instance: "i-1", Service: service}
	two := one
	two.Instance = "i-2"
	elsewhere := one
	elsewhere.Service = "beta"
	written := sentCall{id: id, kind: writeCall, service: service}
	refused, cut, spoilt, sealed, read := written, written, written, written, written
	refused.status, refused.whole = 503, true
	cut.conduct = cutsRequest
	spoilt.wrong = "another call's"
	sealed.status, sealed.sealed = 200, seal("i-2", id)
	read.kind = readCall
	readRun := one
	readRun.Kind = readCall
	for name, c := range map[string]struct {
		call sentCall
		runs []run
		want []rule
	}{
		"as it should be":  {written, []run{one}, nil},
		"never ran":        {refused, nil, nil},
		"repeated":         {read, []run{readRun, readRun}, nil},
		"run twice":        {written, []run{one, two}, []rule{secondRun}},
		"run too often":    {read, []run{readRun, readRun, readRun}, []rule{manyRuns}},
		"refused and run":  {refused, []run{one}, []rule{falseRefusal}},
		"run of a part":    {cut, []run{one}, []rule{unasked}},
		"wrong answer":     {spoilt, []run{one}, []rule{wrongAnswer}},
		"wrong service":    {written, []run{elsewhere}, []rule{wrongService}},
		"a seal of nobody": {sealed, []run{one}, []rule{noRun}},
	} {
		t.Run(name, func(t *testing.T) {
			l := ledger{calls: map[string]sentCall{id: c.call}}
			breaches, _ := l.settle(map[string][]run{id: c.runs})
			var got []rule
			for _, b := range breaches {
				got = append(got, b.rule)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("found %v, want %v", got, c.want)
			}
		})
	}
}

// An answer is judged by its id, its seal and its body.
func TestInvalidBodies(t *testing.T) {
	right := answerBody("alpha", "call-1")
	for name, c := range map[string]struct {
		call  sentCall
		body  string
		right bool
	}{
		"right":           {sentCall{status: 200, sealed: "i/call-1", whole: true}, right, true},
		"cut":             {sentCall{status: 200, sealed: "i/call-1"}, right[:9], true},
		"cut, yet whole":  {sentCall{status: 200, sealed: "i/call-1", whole: true}, right[:9], false},
		"without a seal":  {sentCall{status: 200, whole: true}, right, false},
		"another's seal":  {sentCall{status: 200, sealed: "i/call-2", whole: true}, right, false},
		"another's body":  {sentCall{status: 200, sealed: "i/call-1", whole: true}, answerBody("alpha", "call-2"), false},
		"another's cut":   {sentCall{status: 200, sealed: "i/call-1"}, answerBody("alpha", "call-2")[:9], false},
		"an own refusal":  {sentCall{status: 503, whole: true}, "", true},
		"a failure":       {sentCall{status: 500, sealed: "i/call-1", whole: true}, digest("failed", "call-1"), true},
		"not its failure": {sentCall{status: 500, sealed: "i/call-1", whole: true}, digest("failed", "call-2"), false},
	} {
		t.Run(name, func(t *testing.T) {
			c.call.id, c.call.kind, c.call.service = "call-1", readCall, "alpha"
			if wrong := wrongBody(&c.call, c.body); (wrong == "") != c.right {
				t.Errorf("judged %q", wrong)
			}
		})
	}
}
