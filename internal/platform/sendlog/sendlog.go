// Package sendlog has the sliding window of send times of a client-side rate limiter: stale entries
// are dropped before counting. It reads no clock: times are passed in.
package sendlog

import (
	"slices"
	"time"
)

// Time is a reading of a steady clock, counted from any fixed origin.
type Time = time.Duration

// Log is one sliding window of send times, oldest first.
type Log struct {
	Window time.Duration
	Times  []Time
	Most   int // entries that are kept: beyond it the oldest goes; 0: no bound
}

// Count drops the entries that are a window old and tells how many are left.
// The last one is kept beside the count, for a window that stretches later.
func (l *Log) Count(now Time) int {
	stale := 0
	for stale < len(l.Times) && now-l.Times[stale] >= l.Window {
		stale++
	}
	n := len(l.Times) - stale
	if n == 0 && stale > 0 {
		stale--
	}
	l.Times = l.Times[stale:] // copied only when what was dropped is as much as is left
	return n
}

// Record puts a send in. Times do not go back.
func (l *Log) Record(now Time) {
	if l.Most > 0 && len(l.Times) >= l.Most {
		l.Times = l.Times[len(l.Times)-l.Most+1:]
	}
	l.Times = append(l.Times, now)
}

// RoomAt tells from when on fewer than limit entries count.
func (l *Log) RoomAt(now Time, limit int) Time {
	n := l.Count(now)
	if n < limit || n == 0 {
		return now
	}
	return l.Times[n-max(limit, 1)] + l.Window
}

// Forget takes one send out again.
func (l *Log) Forget(at Time) {
	if i := slices.Index(l.Times, at); i >= 0 {
		l.Times = slices.Delete(l.Times, i, i+1)
	}
}
