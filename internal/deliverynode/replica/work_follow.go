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

// follow sends changes to the copies until the lease is lost, or until nothing is owed in a log that was taken over.
func (w *Work) follow(ctx context.Context, l *lease.Lease, token uint64) held {
	var telling sync.WaitGroup
	defer telling.Wait()
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
		if now-chosen >= stepEvery { // the members do not change with each message
			chosen = now
			w.chooseCopies(now)
		}
		step := w.stepCopies(ctx, &telling, now, now-began > convergenceTime)
		if step.fenced {
			w.stop(ErrFenced.Error())
			pause(ctx, time.Second)
			return isLost
		}
		w.resolveFound(step.found, false)
		if step.change && !planning {
			planning = true
			telling.Go(func() {
				planned <- w.leave(ctx, l, token, note{Writer: w.keeper.options.Name, Token: token, Holders: step.holders}, true)
			})
		}
		if !w.own && !planning && w.journal.Status().Live == 0 && now-began > HeartbeatEvery { // no later note may follow the one that finish leaves
			if w.finish(ctx, l, token) {
				return isDone
			}
		}
		select {
		case err := <-planned:
			planning = false
			if err != nil {
				w.keeper.options.Log.Warn("copies: who holds them is not noted", "owner", w.owner, "err", err)
			}
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return isLost
}

// chooseCopies chooses which nodes hold the copies, of those that are candidates now.
func (w *Work) chooseCopies(now time.Duration) {
	log, _ := w.name()
	candidates := w.keeper.candidates(w.owner, log)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.source.Choose(candidates, now)
}

// copyStep is the result of one step of the source.
type copyStep struct {
	holders []string // nodes that are to be noted as holders of the copies
	change  bool     // the note has to be changed
	found   []Entry  // messages that only copies have
	fenced  bool     // a copy has heard of a later writer
}

// stepCopies sends each copy what it lacks, and answers those who wait for the copies. PastSettleTime says that the log has had
// time to find copies.
func (w *Work) stepCopies(ctx context.Context, telling *sync.WaitGroup, now time.Duration, pastSettleTime bool) (step copyStep) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.source.followers)) {
		b := w.source.Next(name, now)
		if b == nil {
			continue
		}
		telling.Go(func() { w.sendChanges(ctx, name, b) })
	}
	step.holders, step.change = w.source.Plan(now)
	if !w.resolved && !step.change && pastSettleTime {
		step.change = true // there are none, and that has to be known
	}
	step.found, step.fenced = w.source.Found, w.source.fenced != 0
	w.source.Found = nil
	w.watchLag(now)
	w.answer()
	return step
}

// sendChanges sends a copy one batch of changes and takes in its answer.
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
		w.keeper.pass(to) // another can hold the copy meanwhile
	}
	w.mu.Lock()
	if err != nil {
		w.source.NoAnswer(to, b, err, now)
	} else {
		w.source.Answer(to, b, a, now)
	}
	w.answer()
	w.mu.Unlock()
	w.rouse()
}

// watchLag logs when the copies exceed the allowed lag and when they have caught up; w.mu is held.
func (w *Work) watchLag(now time.Duration) {
	s := w.keeper.options.Settings
	changes, age := w.source.Lag(now)
	over := changes > uint64(s.LagMost) || age > time.Duration(s.LagMs*float64(time.Millisecond)) || len(w.source.noted) < w.keeper.options.Copies
	switch {
	case over && w.lagSince == 0:
		w.lagSince = max(now, 1)
		w.keeper.options.Log.Warn("copies: they lack more than staff allow: what this node has taken on may be lost with it",
			"owner", w.owner, "changes", changes, "oldest", age, "copies", len(w.source.noted), "wanted", w.keeper.options.Copies)
	case !over && w.lagSince != 0:
		w.keeper.options.Log.Info("copies: they are as staff want them", "owner", w.owner, "after", now-w.lagSince)
		w.lagSince = 0
	}
}

// resolveFound adds messages that only a copy had, because they or their ends were lost here. Proven says that the copies have
// all attempts at them; otherwise those that must not be repeated count as possibly run.
func (w *Work) resolveFound(found []Entry, proven bool) {
	for _, e := range found {
		if w.keeper.options.Host.Knows(e.ID) {
			w.mu.Lock()
			w.source.Over(e.Seq, e.ID, w.keeper.options.Clock()) // the copy has it under this number
			w.mu.Unlock()
			continue
		}
		m := e.message()
		if w.keeper.options.Host.Once(m.Class) && m.Notice == nil && !proven {
			doubt(m) // it had ended here, or was lost with its attempts
		}
		if err := w.journal.Put(m); err != nil {
			w.keeper.options.Log.Error("copies: a message that only a copy has", "id", m.ID, "err", err)
			continue
		}
		w.Changed(m)
		w.keeper.options.Log.Warn("copies: a message that only a copy had", "id", m.ID, "attempts", m.Past.Attempts)
		w.keeper.options.Host.Found(w, m)
	}
}

// savePlace stores which log is in the state folder, and in which place that is.
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

// everywhere asks all other members that are not gone, and waits for their answers, but no longer than gatherTime.
func (k *Keeper) everywhere(ctx context.Context, ask func(ctx context.Context, name string)) {
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
