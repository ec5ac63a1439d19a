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

// rule is a promise about calls.
type rule string

const (
	wrongAnswer  rule = "an answer that is not the call's"
	secondRun    rule = "a second run of what may run once"
	manyRuns     rule = "more runs than tries"
	falseRefusal rule = "a run of what was refused"
	unasked      rule = "a run of what nobody sent whole"
	wrongService rule = "a run at another service"
	noRun        rule = "a sealed answer without its run"
)

// breach is a promise that was not kept.
type breach struct {
	rule   rule
	detail string
}

func (b breach) String() string { return fmt.Sprintf("%s: %s", b.rule, b.detail) }

// ledger is what the clients know of all calls.
type ledger struct {
	mu    sync.Mutex
	calls map[string]sentCall
}

func (l *ledger) add(call sentCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[call.id] = call
}

// readRuns reads what the endpoints noted, by call.
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

// counts are the figures of a play.
type counts struct {
	calls     int
	runs      int
	repeated  map[callKind]int // calls that ran more than once
	ended     map[string]int   // by status and whether the answer was whole
	ranUnseen int              // calls that ran and whose client received no whole answer
}

// settle holds what the clients know against the runs.
func (l *ledger) settle(runs map[string][]run) (breaches []breach, total counts) {
	total = counts{calls: len(l.calls), repeated: map[callKind]int{}, ended: map[string]int{}}
	for id, all := range runs {
		total.runs += len(all)
		if call, known := l.calls[id]; !known || call.conduct == cutsRequest {
			breaches = append(breaches, breach{unasked, fmt.Sprintf("%+v, sent as %+v", all, call)})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		call := l.calls[id]
		total.count(call, runs[id])
		for _, r := range brokenBy(call, runs[id]) {
			breaches = append(breaches, breach{r, fmt.Sprintf("%+v, ran as %+v", call, runs[id])})
		}
	}
	return breaches, total
}

func (t *counts) count(call sentCall, runs []run) {
	if len(runs) > 1 {
		t.repeated[call.kind]++
	}
	if len(runs) > 0 && !call.whole {
		t.ranUnseen++
	}
	switch {
	case call.conduct != waits:
		t.ended["its client left"]++
	case call.status == 0:
		t.ended["no answer"]++
	case !call.whole:
		t.ended[fmt.Sprintf("%d, cut", call.status)]++
	default:
		t.ended[fmt.Sprint(call.status)]++
	}
}

// brokenBy are the rules that a call breaks.
func brokenBy(call sentCall, runs []run) (broken []rule) {
	if call.wrong != "" {
		broken = append(broken, wrongAnswer)
	}
	if !call.kind.repeatable() && len(runs) > 1 {
		broken = append(broken, secondRun)
	}
	if len(runs) > tries {
		broken = append(broken, manyRuns)
	}
	if len(runs) > 0 && !call.kind.repeatable() && promisesNotRun(call.status) {
		broken = append(broken, falseRefusal)
	}
	if slices.ContainsFunc(runs, func(r run) bool { return r.Service != call.service || r.Asked != call.service || r.Kind != call.kind }) {
		broken = append(broken, wrongService)
	}
	if call.sealed != "" && !slices.ContainsFunc(runs, func(r run) bool { return seal(r.Instance, r.ID) == call.sealed }) {
		broken = append(broken, noRun)
	}
	return broken
}

// promisesNotRun tells of the statuses that promise that a call has not run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}
