// Package simulation provides the scheduler of simulations that run many processes in one goroutine: events run in chronological
// order, and simulated time advances only from one event to the next. Tests of step-driven state machines use it.
package simulation

import (
	"container/heap"
	"time"
)

// Scheduler is a simulated clock with a queue of pending events. The zero Scheduler is ready to use, at time 0.
type Scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
}

// event is a function scheduled for a time. Events at the same time run in the order in which they were scheduled, so that a
// simulation is deterministic.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the simulated time.
func (s *Scheduler) Now() time.Duration { return s.now }

// At schedules run; a time in the past counts as now.
func (s *Scheduler) At(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{max(at, s.now), s.sequence, run})
}

// After schedules run after a delay.
func (s *Scheduler) After(wait time.Duration, run func()) { s.At(s.now+wait, run) }

// RunUntil runs all events up to a time, including those scheduled meanwhile, and then sets the clock to that time.
func (s *Scheduler) RunUntil(end time.Duration) {
	s.RunWhile(end, func() bool { return true })
}

// RunWhile is like RunUntil, but stops right after the event that makes more return false, at the time of that event.
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

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time, then by sequence.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}
