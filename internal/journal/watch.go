package journal

// Watcher hears of what counts in a journal, in the order in which it was written and before whoever
// wrote it goes on. It must not wait, nor call the journal.
type Watcher interface {
	// Changed tells of a message as it is now: it was taken, sent, answered for, or has ended.
	Changed(m *Message)
	// Over tells that nothing is owed for a message any more.
	Over(m *Message)
	// Ordered tells of all the staff's orders that hold now.
	Ordered(out []string)
}

// Watch tells a watcher of all that is owed now, in the order in which it was taken, and from
// here on of each change. Nil ends that.
func (j *Journal) Watch(w Watcher) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.watch = w
	if w == nil {
		return
	}
	for _, seq := range sorted(j.live) {
		w.Changed(j.live[seq])
	}
	w.Ordered(j.staffOrders())
}

// changed tells the watcher, where there is one.
func (j *Journal) changed(m *Message) {
	if j.watch != nil {
		j.watch.Changed(m)
	}
}
