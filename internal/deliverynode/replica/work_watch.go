package replica

import (
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/journal"
	"dunetide/policy"
)

// entryOf converts a message to an entry with one tenure.
func entryOf(m *journal.Message) Entry {
	t := Tenure{Attempts: m.Past.Attempts, Settled: m.Past.Settled, Out: m.Past.Out, MayRun: m.Past.MayRun, RanZone: m.Past.RanZone}
	if m.Past.MayRun {
		t.RanAt = m.Past.RanAt.UnixMicro()
	}
	if m.Notice != nil {
		t.End, t.RetryMs = GivenUp, m.Notice.RetryInMs
		if m.Notice.HandedBack() {
			t.End = HandedBack
		}
	}
	return Entry{Seq: uint64(m.Seq), ID: m.ID, Key: m.Key, Class: m.Class, Dest: m.Dest, Deadline: m.Deadline.UnixMicro(),
		Body: m.Body, Tenures: []Tenure{t}}
}

// message converts an entry to a message for the next holder of its log. Attempts without an outcome count as possibly run.
func (e Entry) message() *journal.Message {
	p := e.Past()
	m := &journal.Message{Seq: policy.MessageID(e.Seq), ID: e.ID, Key: e.Key, Class: e.Class, Dest: e.Dest,
		Deadline: time.UnixMicro(e.Deadline), Body: e.Body,
		Past: journal.Past{Attempts: p.Attempts, Settled: p.MayRun, MayRun: p.MayRun, RanZone: p.RanZone}}
	if p.MayRun {
		m.Past.RanAt = time.UnixMicro(max(p.RanAt, 1))
	}
	if p.End != Runs {
		m.Notice = journal.NewNotice(e.ID, p.End == HandedBack, time.Duration(p.RetryMs)*time.Millisecond)
	}
	return m
}

// markPossiblyRun marks a message as possibly run.
func markPossiblyRun(m *journal.Message) {
	m.Past.Attempts, m.Past.Settled = max(m.Past.Attempts, 1), true
	if !m.Past.MayRun {
		m.Past.MayRun, m.Past.RanAt = true, time.UnixMicro(1)
	}
}

// Changed implements journal.Watcher.
func (w *Work) Changed(m *journal.Message) {
	w.mu.Lock()
	w.source.Change(entryOf(m), w.keeper.options.Clock())
	w.mu.Unlock()
	w.wakeUp()
}

// Over implements journal.Watcher.
func (w *Work) Over(m *journal.Message) {
	w.mu.Lock()
	w.over.Add(m.ID)
	w.source.Over(uint64(m.Seq), m.ID, w.keeper.options.Clock())
	w.mu.Unlock()
	w.wakeUp()
}

// Ordered implements journal.Watcher.
func (w *Work) Ordered(out []string) {
	w.mu.Lock()
	w.source.Order(out)
	w.mu.Unlock()
	w.wakeUp()
}

// before reports whether the mode is "before", in which messages are accepted, and charges sent, only once copies have them.
func (k *Keeper) before() bool { return k.options.Settings.Mode == fleet.CopyBefore }
