// Package simulation has the clock of simulations that play many processes in one goroutine: events run in the order of
// their times, and time passes only from one event to the next. Tests of state machines that are stepped use it.
package simulation

import (
	"container/heap"
	"time"
)

// Scheduler is a clock with the events that are still to come. The zero Scheduler is ready, at time 0.
type Scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
}

// event is something that runs at a time. Of those at one time, the one that was scheduled first runs first, so that a
// simulation plays the same each time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now is the simulated time.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules an event; one in the past runs now.
func (s *Scheduler) At(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{max(at, s.now), s.sequence, run})
}

// After schedules an event at a time from now.
func (s *Scheduler) After(wait time.Duration, run func()) { s.At(s.now+wait, run) }

// RunUntil runs all events up to a time, and those that they schedule up to then. Then it is that time.
func (s *Scheduler) RunUntil(end time.Duration) {
	s.RunWhile(end, func() bool { return true })
}

// RunWhile is RunUntil that stops right after the event that makes more false, at the time of that event.
func (s *Scheduler) RunWhile(end time.Duration, more func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end && more() {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	if more() {
		s.now = max(s.now, end)
	}
}

// eventQueue implements heap.Interface.
type eventQueue []event

// Len is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time, then by sequence.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap is part of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}
