package batch

import (
	"strconv"
	"time"
)

// Backoff between the runs of an item.
const (
	minRunDelay = 50 * time.Millisecond
	maxRunDelay = time.Second
)

// eventText accumulates the text of an item from its events. Events are numbered, and a run resumes
// after the last event of the previous run.
type eventText struct {
	text      []byte // the data of the events, one line each
	lastEvent int64  // number of the last event; -1: none yet
	invalid   bool   // an event is missing or repeated
	tooLong   bool   // the text exceeds maxResultBytes, so no store could keep it
}

func newEventText() *eventText { return &eventText{lastEvent: -1} }

// addEvent adds an event if it is the next in sequence. The first one may have any number.
func (t *eventText) addEvent(id string, data []byte) {
	if t.invalid || t.tooLong {
		return
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil || number < 0 || t.lastEvent >= 0 && number != t.lastEvent+1 {
		t.invalid = true
		return
	}
	if t.lastEvent >= 0 {
		t.text = append(t.text, '\n')
	}
	if len(t.text)+len(data) > maxResultBytes {
		t.text, t.tooLong = nil, true
		return
	}
	t.text = append(t.text, data...)
	t.lastEvent = number
}

// lastEventID returns the Last-Event-Id header for the next run; empty if that starts from the
// beginning.
func (t *eventText) lastEventID() string {
	if t.lastEvent < 0 {
		return ""
	}
	return strconv.FormatInt(t.lastEvent, 10)
}

// run runs an item until it has a result or is cancelled. It runs in its own goroutine.
func (r *itemRunner) run(running *runningItem) {
	defer running.cancel()
	text := newEventText()
	failures := 0
	delay, silence := minRunDelay, minRunSilence
	for running.ctx.Err() == nil {
		result, silent, before := RunResult{End: RunNotStarted}, false, text.lastEvent
		if running.item.MayStart() {
			result, silent = r.runOnce(running, text, silence)
		}
		switch {
		case text.lastEvent != before: // the run made progress
			silence = minRunSilence
		case silent:
			silence = min(silence*2, maxRunSilence)
		}
		if text.tooLong { // each run would be
			r.finish(running, true, nil)
			return
		}
		if text.invalid { // the text is discarded, and the item starts from the beginning
			text = newEventText()
			if result.End == RunCompleted {
				result.End = RunInterrupted
			}
		}
		switch result.End {
		case RunCompleted:
			r.finish(running, false, text.text)
			return
		case RunImpossible:
			r.finish(running, true, nil)
			return
		case RunFailed:
			if failures++; failures >= running.maxAttempts {
				r.finish(running, true, nil)
				return
			}
		case RunInterrupted:
			if text.lastEvent >= 0 { // the run made progress
				delay = minRunDelay
			}
		}
		wait := max(delay, result.RetryAfter)
		delay = min(delay*2, maxRunDelay)
		select {
		case <-time.After(wait):
		case <-running.ctx.Done():
		}
	}
}
