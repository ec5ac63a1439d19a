// Package sendlog implements the sliding window of send times of a client-side rate limiter.
//
// Package dispatch has a log for each endpoint and window, the delivery node's policy one for each destination. A log
// reads no clock: callers pass the current time in, so that they can be simulated. It is not safe for concurrent use.
package sendlog

import (
	"slices"
	"time"
)

// Time is a reading of a monotonic clock with any fixed origin.
type Time = time.Duration

// Log is a sliding window of send times. The zero value with a Window is ready for use.
type Log struct {
	Window     time.Duration // how long a send counts
	Times      []Time        // of the sends, oldest first
	MaxEntries int           // beyond it the oldest entry is dropped; 0: no bound
}

// Count drops the entries that are at least a window old, and returns how many are left. If none is left, the latest
// of the expired entries is retained, in case Window is lengthened later.
func (l *Log) Count(now Time) int {
	expired := 0
	for expired < len(l.Times) && now-l.Times[expired] >= l.Window {
		expired++
	}
	n := len(l.Times) - expired
	if n == 0 && expired > 0 {
		expired--
	}
	l.Times = l.Times[expired:] // append reallocates once the remaining capacity is used up
	return n
}

// Record adds a send. The times must not decrease.
func (l *Log) Record(now Time) {
	if l.MaxEntries > 0 && len(l.Times) >= l.MaxEntries {
		l.Times = l.Times[len(l.Times)-l.MaxEntries+1:]
	}
	l.Times = append(l.Times, now)
}

// AvailableAt returns the earliest time, not before now, at which fewer than limit entries count; a limit below 1 is
// treated as 1.
func (l *Log) AvailableAt(now Time, limit int) Time {
	n := l.Count(now)
	if n < limit || n == 0 {
		return now
	}
	return l.Times[n-max(limit, 1)] + l.Window
}

// Remove removes one entry with the given send time, if there is one.
func (l *Log) Remove(at Time) {
	if i := slices.Index(l.Times, at); i >= 0 {
		l.Times = slices.Delete(l.Times, i, i+1)
	}
}
