package replica

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"dunetide/internal/lease"
)

// follow brings the copies what changes, until the lease is lost.
func (w *Work) follow(ctx context.Context, l *lease.Lease, token uint64) held {
	var telling sync.WaitGroup
	defer telling.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	planned := make(chan error, 1)
	planning := false
	began := w.k.o.Clock()
	chosen := began - stepEvery
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		now := w.k.o.Clock()
		if now-chosen >= stepEvery { // a change of a message changes no members
			chosen = now
			log, _ := w.name()
			candidates := w.k.candidates(w.owner, log)
			w.mu.Lock()
			w.source.Choose(candidates, now)
			w.mu.Unlock()
		}
		w.mu.Lock()
		for _, name := range slices.Sorted(maps.Keys(w.source.followers)) {
			b := w.source.Next(name, now)
			if b == nil {
				continue
			}
			telling.Go(func() { w.tell(ctx, name, b) })
		}
		holders, change := w.source.Plan(now)
		if !w.settled && !change && now-began > settleTime {
			change = true // there are none, and that has to be known
		}
		found, fenced := w.source.Found, w.source.fenced
		w.source.Found = nil
		w.watchLag(now)
		w.answer()
		w.mu.Unlock()
		if fenced != 0 {
			w.stop(ErrFenced.Error())
			pause(ctx, time.Second)
			return isLost
		}
		w.settleFound(found, false)
		if change && !planning {
			planning = true
			telling.Go(func() {
				planned <- w.leave(ctx, l, token, note{Writer: w.k.o.Name, Token: token, Holders: holders}, true)
			})
		}
		if !w.own && !planning && w.journal.Status().Live == 0 && now-began > BeatEvery { // no other note comes after this
			if w.finish(ctx, l, token) {
				return isDone
			}
		}
		select {
		case err := <-planned:
			planning = false
			if err != nil {
				w.k.o.Log.Warn("copies: who holds them is not noted", "owner", w.owner, "err", err)
			}
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return isLost
}

func (w *Work) tell(ctx context.Context, to string, b *Batch) {
	within, cancel := context.WithTimeout(ctx, batchTime)
	a, err := w.k.tellBatch(within, to, b)
	cancel()
	now := w.k.o.Clock()
	w.mu.Lock()
	f := w.source.followers[to]
	silent := err != nil && f != nil && now-f.heardAt > holderPatience && ctx.Err() == nil
	w.mu.Unlock()
	if silent || err == nil && a.No != "" && a.Token == 0 {
		w.k.pass(to) // another can hold the copy meanwhile
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

// watchLag says when the copies fall too far behind, and when they have caught up; w.mu is held.
func (w *Work) watchLag(now time.Duration) {
	s := w.k.o.Settings
	changes, age := w.source.Lag(now)
	over := changes > uint64(s.LagMost) || age > time.Duration(s.LagMs*float64(time.Millisecond)) || len(w.source.noted) < w.k.o.Copies
	switch {
	case over && w.lagSince == 0:
		w.lagSince = max(now, 1)
		w.k.o.Log.Warn("copies: they lack more than staff allow: what this node has taken on may be lost with it",
			"owner", w.owner, "changes", changes, "oldest", age, "copies", len(w.source.noted), "wanted", w.k.o.Copies)
	case !over && w.lagSince != 0:
		w.k.o.Log.Info("copies: they are as staff want them", "owner", w.owner, "after", now-w.lagSince)
		w.lagSince = 0
	}
}

// settleFound goes on with messages that only a copy had: they were lost here, or their end was. Proven:
// the copies have all that was done to them.
func (w *Work) settleFound(found []Entry, proven bool) {
	for _, e := range found {
		if w.k.o.Host.Knows(e.ID) {
			w.mu.Lock()
			w.source.Over(e.Seq, e.ID, w.k.o.Clock()) // under that number
			w.mu.Unlock()
			continue
		}
		m := e.message()
		if w.k.o.Host.Once(m.Class) && m.Notice == nil && !proven {
			doubt(m) // it was over here, or lost with what was done to it
		}
		if err := w.journal.Put(m); err != nil {
			w.k.o.Log.Error("copies: a message that only a copy has", "id", m.ID, "err", err)
			continue
		}
		w.Changed(m)
		w.k.o.Log.Warn("copies: a message that only a copy had", "id", m.ID, "attempts", m.Past.Attempts)
		w.k.o.Host.Found(w, m)
	}
}

// keepPlace writes down whose log lies in the state folder, and where.
func (w *Work) keepPlace(noted bool) error {
	w.mu.Lock()
	was := w.place
	m := was
	m.Log, m.Noted = w.log, noted
	w.mu.Unlock()
	if m.Since == 0 {
		m.Since = w.k.o.Net.Self().Incarnation
	}
	if m == was {
		return nil
	}
	if err := saveMeta(w.k.o.Folders.Top(), ownName, m); err != nil {
		return fmt.Errorf("keeping whose log this is: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.place = m
	return nil
}

// everywhere asks all other members that are not gone, and waits for their answers or gatherTime.
func (k *Keeper) everywhere(ctx context.Context, ask func(ctx context.Context, name string)) {
	ctx, cancel := context.WithTimeout(ctx, gatherTime)
	defer cancel()
	var asking sync.WaitGroup
	for _, m := range k.o.Net.Members() {
		if m.Name != k.o.Name && !m.State.Gone() {
			asking.Go(func() { ask(ctx, m.Name) })
		}
	}
	asking.Wait()
}
