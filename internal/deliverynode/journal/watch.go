package journal

// Watcher is told of the changes of a journal, in the order in which they are written and before the writing call
// returns. Its methods run under the journal's lock: they must not block or call the journal.
type Watcher interface {
	// Changed reports the present state of a message that was accepted, sent, answered, or has ended.
	Changed(m *Message)
	// Over reports that nothing is owed for a message any more.
	Over(m *Message)
	// Ordered reports all endpoints that the staff have taken out at present.
	Ordered(out []string)
}

// Watch sets the watcher of the journal, or removes it if w is nil. The watcher is told of all live messages, in the
// order in which they were accepted, and from then on of each change.
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

// changed reports a message to the watcher, if there is one.
func (j *Journal) changed(m *Message) {
	if j.watch != nil {
		j.watch.Changed(m)
	}
}
