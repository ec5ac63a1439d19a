package journal

// Watcher is notified of the changes of a journal, in the order in which they are written and before the writing call
// returns. Its methods run under the journal's lock: they must not block or call the journal.
type Watcher interface {
	// Changed reports the current state of a message that was accepted, sent, answered, or has ended.
	Changed(m *Message)
	// Over reports that nothing is left to do for a message.
	Over(m *Message)
	// Ordered reports all endpoints that are currently taken out of service by operators.
	Ordered(out []string)
}

// Watch sets the watcher of the journal, or removes it if w is nil. The watcher is notified of all live messages, in the
// order in which they were accepted, and of each change from then on.
func (j *Journal) Watch(w Watcher) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.watcher = w
	if w == nil {
		return
	}
	for _, seq := range sorted(j.live) {
		w.Changed(j.live[seq])
	}
	w.Ordered(j.operatorOrders())
}

// notifyChanged reports a message to the watcher, if there is one.
func (j *Journal) notifyChanged(m *Message) {
	if j.watcher != nil {
		j.watcher.Changed(m)
	}
}
