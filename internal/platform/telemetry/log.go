package telemetry

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Bounds of a Log: what may come at once, and what may come each second after that.
const (
	linesAtOnce  = 40
	linesASecond = 20
)

// Log writes lines of one kind of event, so many a second at most, as under overload there may be thousands. A line tells how many
// were left out before it; counters have them all.
type EventLog struct {
	log     hclog.Logger
	limiter *rate.Limiter
	omitted atomic.Uint64
}

// NewLog writes to a logger.
func NewEventLog(log hclog.Logger) *EventLog {
	return &EventLog{log: log, limiter: rate.NewLimiter(linesASecond, linesAtOnce)}
}

// Event writes a line at info, or leaves it out. fields is called only where it is written; it returns pairs of key and value.
func (l *EventLog) Event(what string, fields func() []any) {
	if !l.log.IsInfo() {
		return
	}
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	pairs := fields()
	if omitted := l.omitted.Swap(0); omitted > 0 {
		pairs = append(pairs, "omitted_before", omitted)
	}
	l.log.Info(what, pairs...)
}
