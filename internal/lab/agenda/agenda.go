// Package agenda is the event queue of a simulation, ordered by time. Events due at the same time run in the order in which they
// were scheduled, so every run of a seed is identical.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is an event queue. The zero Agenda is empty and ready to use.
type Agenda struct {
	items items
	seq   uint64
}

type item struct {
	at  time.Duration
	seq uint64
	do  func()
}

type items []item

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a items) Len() int { return len(a) }

// Less orders by time, then by order of insertion.
func (a items) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

// Swap exchanges two items.
func (a items) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends an item.
func (a *items) Push(x any) { *a = append(*a, x.(item)) }

// Pop removes the last item and returns it.
func (a *items) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = item{}
	*a = old[:len(old)-1]
	return x
}

// At schedules do to run at time t.
func (a *Agenda) At(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.items, item{t, a.seq, do})
}

// Next returns the time of the next event, if there is one.
func (a *Agenda) Next() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// Pop removes and returns the next event. The queue must not be empty.
func (a *Agenda) Pop() (at time.Duration, do func()) {
	it := heap.Pop(&a.items).(item)
	return it.at, it.do
}
