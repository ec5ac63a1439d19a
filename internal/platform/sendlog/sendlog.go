// Package sendlog has the sliding window of send times of a client-side rate limiter.
//
// Dispatch has one for each endpoint and window, the delivery node's policy one for each destination. It reads no
// clock: the current time is passed in, so that its users can be simulated. It is not safe for concurrent use.
package sendlog

import (
	"slices"
	"time"
)

// Time is a reading of a monotonic clock, counted from any fixed origin.
type Time = time.Duration

// Log is a sliding window of send times. The zero value with a Window is ready for use.
type Log struct {
	Window     time.Duration // how long a send counts
	Times      []Time        // of the sends, oldest first
	MaxEntries int           // the oldest entry goes where there would be more; 0: no bound
}

// Count drops the entries that are a window old, and returns how many are left. The last of those that are a window
// old is retained where no other is left, for a Window that is lengthened later.
func (l *Log) Count(now Time) int {
	expired := 0
	for expired < len(l.Times) && now-l.Times[expired] >= l.Window {
		expired++
	}
	n := len(l.Times) - expired
	if n == 0 && expired > 0 {
		expired--
	}
	l.Times = l.Times[expired:] // append copies the rest once the capacity behind it is used up
	return n
}

// Record adds a send. Times must not go back.
func (l *Log) Record(now Time) {
	if l.MaxEntries > 0 && len(l.Times) >= l.MaxEntries {
		l.Times = l.Times[len(l.Times)-l.MaxEntries+1:]
	}
	l.Times = append(l.Times, now)
}

// AvailableAt returns the earliest time, from now on, at which fewer than limit entries count; a limit under 1 is
// taken as 1.
func (l *Log) AvailableAt(now Time, limit int) Time {
	n := l.Count(now)
	if n < limit || n == 0 {
		return now
	}
	return l.Times[n-max(limit, 1)] + l.Window
}

// Remove removes one send of a time, if there is one.
func (l *Log) Remove(at Time) {
	if i := slices.Index(l.Times, at); i >= 0 {
		l.Times = slices.Delete(l.Times, i, i+1)
	}
}
