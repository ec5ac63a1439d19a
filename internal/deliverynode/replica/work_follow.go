package replica

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"dunetide/internal/deliverynode/lease"
)

// follow sends changes to the copies until the lease is lost, or until all messages of a log that was taken over have ended.
func (w *Work) follow(ctx context.Context, l *lease.Lease, token uint64) tenureEnd {
	var sending sync.WaitGroup
	defer sending.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	planned := make(chan error, 1)
	planning := false
	began := w.keeper.options.Clock()
	chosen := began - stepEvery
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		now := w.keeper.options.Clock()
		if now-chosen >= stepEvery { // the members change rarely: no need to choose on each wake-up
			chosen = now
			w.chooseCopies(now)
		}
		step := w.stepCopies(ctx, &sending, now, now-began > convergenceTime)
		if step.fenced {
			w.stop(ErrFenced.Error())
			pause(ctx, time.Second)
			return leaseLost
		}
		w.resolveFound(step.found, false)
		if step.change && !planning {
			planning = true
			sending.Go(func() {
				planned <- w.setNote(ctx, l, token, note{Writer: w.keeper.options.Name, Token: token, Holders: step.holders}, true)
			})
		}
		if !w.own && !planning && w.journal.Status().Live == 0 && now-began > HeartbeatEvery { // no later note may follow the one that finish leaves
			if w.finish(ctx, l, token) {
				return logDone
			}
		}
		select {
		case err := <-planned:
			planning = false
			if err != nil {
				w.keeper.options.Log.Warn("copies: noting the holders in the lease failed", "owner", w.owner, "err", err)
			}
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return leaseLost
}

// chooseCopies chooses the nodes that should hold copies from the present candidates.
func (w *Work) chooseCopies(now time.Duration) {
	log, _ := w.name()
	candidates := w.keeper.candidates(w.owner, log)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.source.Choose(candidates, now)
}

// copyStep is the result of one step of the source.
type copyStep struct {
	holders []string // nodes that should be noted as holders of the copies
	change  bool     // the note must be changed
	found   []Entry  // messages that only copies have
	fenced  bool     // a copy has seen a later token
}

// stepCopies sends each copy the changes that it lacks, and answers the waiters whose changes are copied. PastConvergence
// means that the log has had time to find copies.
func (w *Work) stepCopies(ctx context.Context, sending *sync.WaitGroup, now time.Duration, pastConvergence bool) (step copyStep) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.source.followers)) {
		b := w.source.Next(name, now)
		if b == nil {
			continue
		}
		sending.Go(func() { w.sendChanges(ctx, name, b) })
	}
	step.holders, step.change = w.source.Plan(now)
	if !w.resolved && !step.change && pastConvergence {
		step.change = true // there are no copies, and that must be recorded
	}
	step.found, step.fenced = w.source.Found, w.source.fenced != 0
	w.source.Found = nil
	w.watchLag(now)
	w.answer()
	return step
}

// sendChanges sends a copy one batch of changes and handles its answer.
func (w *Work) sendChanges(ctx context.Context, to string, b *Batch) {
	within, cancel := context.WithTimeout(ctx, batchTime)
	a, err := w.keeper.sendBatch(within, to, b)
	cancel()
	now := w.keeper.options.Clock()
	w.mu.Lock()
	f := w.source.followers[to]
	silent := err != nil && f != nil && now-f.heardAt > holderPatience && ctx.Err() == nil
	w.mu.Unlock()
	if silent || err == nil && a.No != "" && a.Token == 0 {
		w.keeper.markUnfit(to) // another can hold the copy meanwhile
	}
	w.mu.Lock()
	if err != nil {
		w.source.NoAnswer(to, b, err, now)
	} else {
		w.source.Answer(to, b, a, now)
	}
	w.answer()
	w.mu.Unlock()
	w.wakeUp()
}

// watchLag logs when the copies exceed the allowed lag and when they have caught up; w.mu is held.
func (w *Work) watchLag(now time.Duration) {
	s := w.keeper.options.Settings
	changes, age := w.source.Lag(now)
	over := changes > uint64(s.LagMost) || age > time.Duration(s.LagMs*float64(time.Millisecond)) || len(w.source.noted) < w.keeper.options.Copies
	switch {
	case over && w.lagSince == 0:
		w.lagSince = max(now, 1)
		w.keeper.options.Log.Warn("copies: lag exceeds the configured limit, accepted messages may be lost with this node",
			"owner", w.owner, "changes", changes, "oldest", age, "copies", len(w.source.noted), "wanted", w.keeper.options.Copies)
	case !over && w.lagSince != 0:
		w.keeper.options.Log.Info("copies: lag is within the configured limit again", "owner", w.owner, "after", now-w.lagSince)
		w.lagSince = 0
	}
}

// resolveFound adds messages that only a copy had, because they or their ends were lost here. If proven is set, the copies have
// all attempts at them; otherwise the messages that must not be repeated count as possibly run.
func (w *Work) resolveFound(found []Entry, proven bool) {
	for _, e := range found {
		if w.keeper.options.Host.Knows(e.ID) {
			w.mu.Lock()
			w.source.Over(e.Seq, e.ID, w.keeper.options.Clock()) // the copy has it under this number
			w.mu.Unlock()
			continue
		}
		m := e.message()
		if w.keeper.options.Host.RunsOnce(m.Class) && m.Notice == nil && !proven {
			markPossiblyRun(m) // the message may have ended here, or was lost together with its attempts
		}
		if err := w.journal.Put(m); err != nil {
			w.keeper.options.Log.Error("copies: restoring a message from a copy failed", "id", m.ID, "err", err)
			continue
		}
		w.Changed(m)
		w.keeper.options.Log.Warn("copies: message restored from a copy", "id", m.ID, "attempts", m.Past.Attempts)
		w.keeper.options.Host.Found(w, m)
	}
}

// savePlace stores the identity of the own log and the place of its state folder.
func (w *Work) savePlace(noted bool) error {
	w.mu.Lock()
	was := w.place
	m := was
	m.Log, m.Noted = w.log, noted
	w.mu.Unlock()
	if m.Since == 0 {
		m.Since = w.keeper.options.Net.Self().Incarnation
	}
	if m == was {
		return nil
	}
	if err := saveMeta(w.keeper.options.Folders.Top(), ownName, m); err != nil {
		return fmt.Errorf("keeping whose log this is: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.place = m
	return nil
}

// forEachMember calls ask for all other members that have not departed, and waits for the calls, at most for gatherTime.
func (k *Keeper) forEachMember(ctx context.Context, ask func(ctx context.Context, name string)) {
	ctx, cancel := context.WithTimeout(ctx, gatherTime)
	defer cancel()
	var asking sync.WaitGroup
	for _, m := range k.options.Net.Members() {
		if m.Name != k.options.Name && !m.State.Departed() {
			asking.Go(func() { ask(ctx, m.Name) })
		}
	}
	asking.Wait()
}
