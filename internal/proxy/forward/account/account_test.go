package account

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
)

// rule is a guarantee for calls, named by its violation.
type rule string

const (
	wrongAnswer  rule = "an answer to another call"
	secondRun    rule = "a second run of a call that may run only once"
	manyRuns     rule = "more runs than attempts"
	falseRefusal rule = "a run of a refused call"
	notSent      rule = "a run of a call that was not sent completely"
	wrongService rule = "a run at another service"
	noRun        rule = "a sealed answer without a run"
)

// violation is a violated rule.
type violation struct {
	rule   rule
	detail string
}

func (v violation) String() string { return fmt.Sprintf("%s: %s", v.rule, v.detail) }

// ledger has all calls as their clients saw them.
type ledger struct {
	mu    sync.Mutex
	calls map[string]sentCall
}

func (l *ledger) add(call sentCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[call.id] = call
}

// readRuns reads the runs that the endpoints recorded, by call.
func readRuns(file string) (map[string][]run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	all := map[string][]run{}
	for line := range bytes.Lines(text) {
		var one run
		if err := json.Unmarshal(line, &one); err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
		all[one.ID] = append(all[one.ID], one)
	}
	return all, nil
}

// counts has the figures of a test run.
type counts struct {
	calls     int
	runs      int
	repeated  map[callKind]int // calls that ran more than once
	ended     map[string]int   // by status and whether the answer was complete
	ranUnseen int              // calls that ran without a complete answer to the client
}

// compare compares what the clients saw with the runs.
func (l *ledger) compare(runs map[string][]run) (violations []violation, total counts) {
	total = counts{calls: len(l.calls), repeated: map[callKind]int{}, ended: map[string]int{}}
	for id, all := range runs {
		total.runs += len(all)
		if call, known := l.calls[id]; !known || call.fault == truncatesRequest {
			violations = append(violations, violation{notSent, fmt.Sprintf("%+v, sent as %+v", all, call)})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		call := l.calls[id]
		total.count(call, runs[id])
		for _, r := range violatedBy(call, runs[id]) {
			violations = append(violations, violation{r, fmt.Sprintf("%+v, ran as %+v", call, runs[id])})
		}
	}
	return violations, total
}

func (t *counts) count(call sentCall, runs []run) {
	if len(runs) > 1 {
		t.repeated[call.kind]++
	}
	if len(runs) > 0 && !call.complete {
		t.ranUnseen++
	}
	switch {
	case call.fault != noClientFault:
		t.ended["client fault"]++
	case call.status == 0:
		t.ended["no answer"]++
	case !call.complete:
		t.ended[fmt.Sprintf("%d, truncated", call.status)]++
	default:
		t.ended[fmt.Sprint(call.status)]++
	}
}

// violatedBy returns the rules that a call violates.
func violatedBy(call sentCall, runs []run) (violated []rule) {
	if call.invalid != "" {
		violated = append(violated, wrongAnswer)
	}
	if !call.kind.repeatable() && len(runs) > 1 {
		violated = append(violated, secondRun)
	}
	if len(runs) > maxAttempts {
		violated = append(violated, manyRuns)
	}
	if len(runs) > 0 && !call.kind.repeatable() && promisesNotRun(call.status) {
		violated = append(violated, falseRefusal)
	}
	if slices.ContainsFunc(runs, func(r run) bool { return r.Service != call.service || r.Asked != call.service || r.Kind != call.kind }) {
		violated = append(violated, wrongService)
	}
	if call.sealed != "" && !slices.ContainsFunc(runs, func(r run) bool { return seal(r.Instance, r.ID) == call.sealed }) {
		violated = append(violated, noRun)
	}
	return violated
}

// promisesNotRun reports whether a status promises that a call has not run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
