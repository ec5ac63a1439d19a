package telemetry

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// Limits of an EventLog.
const (
	// maxBurst is the number of lines that may be written at once.
	maxBurst = 40
	// maxPerSecond is the rate of lines after that.
	maxPerSecond = 20
)

// EventLog writes log lines for events of one kind, of which there may be thousands under overload: it limits the
// lines per second. Each line reports how many were omitted before it; counters count all events.
type EventLog struct {
	log     hclog.Logger
	limiter *rate.Limiter
	omitted atomic.Uint64
}

// NewEventLog returns an event log that writes to a logger.
func NewEventLog(log hclog.Logger) *EventLog {
	return &EventLog{log: log, limiter: rate.NewLimiter(maxPerSecond, maxBurst)}
}

// Event logs a line at level info, or omits it. fields is called only if the line is written; it returns pairs of key
// and value.
func (l *EventLog) Event(message string, fields func() []any) {
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
	l.log.Info(message, pairs...)
}
