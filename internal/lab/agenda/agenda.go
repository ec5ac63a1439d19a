// Package agenda is the queue of events of a simulation, ordered by time. Events that are due at the same time
// run in the order in which they were planned, so each run of a seed is the same.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is empty as it is.
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

// Len implements heap.Interface, as the methods that follow do.
func (a items) Len() int { return len(a) }

// Less orders by time, and by the order of addition at the same time.
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

// At plans something.
func (a *Agenda) At(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.items, item{t, a.seq, do})
}

// Next is when the next thing is due, if there is any.
func (a *Agenda) Next() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// Pop takes out the next thing. There has to be one.
func (a *Agenda) Pop() (at time.Duration, do func()) {
	it := heap.Pop(&a.items).(item)
	return it.at, it.do
}
