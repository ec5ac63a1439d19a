package batch

import (
	"context"
	"time"
)

// How long an endpoint may send nothing while it runs an item. An answer can be lost on a connection that stays open, and
// the items of batch jobs have no deadline. The first bound is far longer than the pauses of an endpoint that works. It is
// doubled after each run that brought no event, as all endpoints may be slow, up to the second one.
const (
	minRunSilence = 5 * time.Second
	maxRunSilence = time.Minute
)

// silenceTimer ends a run when its endpoint has sent nothing for too long. It is used by the goroutine of the run only.
type silenceTimer struct {
	bound time.Duration
	end   context.CancelFunc // of the run
	timer *time.Timer        // nil while the item is at no endpoint
}

// restart is called when the item is sent, and for each event.
func (s *silenceTimer) restart() {
	if s.timer == nil {
		s.timer = time.AfterFunc(s.bound, s.end)
		return
	}
	s.timer.Reset(s.bound)
}

// stop is called when the item is at no endpoint any more.
func (s *silenceTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// runOnce runs an item once, after the last event of its text. It reports whether the run was ended as its endpoint had
// sent nothing for the given time. The waits for an endpoint, before the item is sent and after an endpoint has rejected
// it, don't count.
func (r *itemRunner) runOnce(running *runningItem, text *eventText, bound time.Duration) (result RunResult, silent bool) {
	ctx, end := context.WithCancel(running.ctx)
	defer end()
	silence := &silenceTimer{bound: bound, end: end}
	defer silence.stop()
	item := *running.item
	item.MayStart = func() bool {
		if !running.item.MayStart() {
			return false
		}
		silence.restart()
		return true
	}
	item.Rejected = silence.stop
	result = r.runner.Run(ctx, &item, text.lastEventID(), func(id string, data []byte) {
		silence.restart()
		text.addEvent(id, data)
		if text.tooLong {
			end()
		}
	})
	return result, ctx.Err() != nil && running.ctx.Err() == nil && result.End != RunNotStarted
}
