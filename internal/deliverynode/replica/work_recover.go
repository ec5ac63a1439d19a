package replica

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

// catchUp adds the entries of this node's own log that copies have and the folder may lack. Messages that must not be
// repeated count as possibly run if none of the copies that count is reachable, or in the mode "after", in which the copies
// may lack the last attempts too.
func (w *Work) catchUp(ctx context.Context, n note) error {
	log, _ := w.name()
	var mu sync.Mutex
	current := false
	over := map[string]bool{}
	copies := map[string]Entry{}
	limit := convergenceTime // after a start, no other member may be connected yet
	if len(n.Holders) > 0 {
		limit = writerTime
	}
	for began := w.keeper.options.Clock(); ; {
		w.keeper.forEachMember(ctx, func(ctx context.Context, name string) {
			f, err := w.keeper.fetchAll(ctx, name, w.owner, log)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			current = current || f.Complete && f.Token == n.Token && slices.Contains(n.Holders, name)
			for _, id := range f.Over {
				over[id] = true
			}
			for _, e := range f.Entries {
				if old, there := copies[e.ID]; there {
					e = Merge(old, e)
				}
				copies[e.ID] = e
			}
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if current || w.keeper.options.Clock()-began > limit {
			break
		}
		pause(ctx, convergenceTime/4)
	}
	var gone, doubted []*journal.Message
	for _, m := range w.journal.Owed() {
		switch e, there := copies[m.ID]; {
		case over[m.ID]:
			gone = append(gone, m)
		case w.runsOnce(m) && (!current || !w.keeper.before() || there && e.Past().MayRun && !w.mayHaveRun(m)):
			doubted = append(doubted, m)
		}
	}
	w.keeper.options.Log.Warn("copies: state folder may be out of date, log compared with its copies", "owed", len(w.journal.Owed()), "copies have", len(copies), "over", len(gone),
		"in doubt", len(doubted), "a copy that counts was reached", current)
	w.keeper.options.Host.Forget(w, gone, doubted)
	here := map[string]bool{}
	for _, m := range w.journal.Owed() {
		here[m.ID] = true
	}
	// These messages are added now, because the nodes that have them may not hold copies in the future.
	known := func(id string) bool { return over[id] || here[id] || w.keeper.options.Host.Knows(id) }
	w.resolveFound(Union(known, slices.Collect(maps.Values(copies))), current && w.keeper.before())
	return nil
}

// runsOnce reports whether a message has not ended and must not be repeated. It uses the source's state, because the node may
// be changing the message itself.
func (w *Work) runsOnce(m *journal.Message) bool {
	t, there := w.tenure(m)
	return there && t.End == Runs && w.keeper.options.Host.RunsOnce(m.Class)
}

// mayHaveRun reports whether a message may have run, by the source's state.
func (w *Work) mayHaveRun(m *journal.Message) bool {
	t, _ := w.tenure(m)
	return t.MayRun || t.Out || t.Settled
}

// tenure returns the present tenure of a message, and false if the source does not have the message.
func (w *Work) tenure(m *journal.Message) (t Tenure, there bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	el := w.source.items[uint64(m.Seq)]
	if el == nil {
		return t, false
	}
	return el.Value.(*item).entry.Tenures[0], true
}

// renew begins another log for this node after its own was taken over, with the messages that no other node has or had. It
// returns false if it must be retried because the node that took the log over has not answered: renew waits for that node
// without limit while it holds the log's lease, otherwise for writerTime.
func (w *Work) renew(ctx context.Context, n note, held bool) bool {
	live := w.journal.Owed()
	known, answered := w.queryMembers(ctx, live)
	waited := w.hasUnanswered()
	if ctx.Err() != nil || !answered[n.Writer] && (held || waited < writerTime) {
		return false // that node may be working on any of the messages, or may have recorded their ends
	}
	var gone, doubted []*journal.Message
	for _, m := range live {
		switch {
		case known[m.ID]:
			gone = append(gone, m)
		case !answered[n.Writer] && w.runsOnce(m):
			doubted = append(doubted, m)
		}
	}
	w.keeper.options.Host.Forget(w, gone, doubted)
	next := w.beginAnew()
	w.keeper.options.Log.Warn("copies: own log was taken over, new log begun", "by", n.Writer, "theirs", len(gone), "in doubt", len(doubted),
		"kept", len(live)-len(gone)-len(doubted), "log", fmt.Sprintf("%016x", next))
	if err := w.savePlace(false); err != nil {
		w.fail(err) // workUnder stores it before any work on the log
	}
	return true
}

// queryMembers asks all other nodes which of the messages of this log they have or had. It returns the ids of these messages,
// and the names of the nodes that answered.
func (w *Work) queryMembers(ctx context.Context, live []*journal.Message) (known, answered map[string]bool) {
	log, _ := w.name()
	ids := make([]string, 0, len(live))
	for _, m := range live {
		ids = append(ids, m.ID)
	}
	var mu sync.Mutex
	known, answered = map[string]bool{}, map[string]bool{}
	w.keeper.forEachMember(ctx, func(ctx context.Context, name string) {
		for some := range slices.Chunk(append(ids, ""), maxQueried) { // at least one request, also without messages
			yes, err := w.keeper.queryMessages(ctx, name, have{IDs: some, Owner: w.owner, Log: log})
			if err != nil {
				return
			}
			mu.Lock()
			for _, id := range yes {
				known[id] = true
			}
			mu.Unlock()
		}
		mu.Lock()
		answered[name] = true
		mu.Unlock()
	})
	return known, answered
}

// hasUnanswered returns for how long the node that took the log over has not answered.
func (w *Work) hasUnanswered() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.keeper.options.Clock()
	if w.askedFrom == 0 {
		w.askedFrom = now
	}
	return now - w.askedFrom
}

// beginAnew gives this node's own log another number, and returns it.
func (w *Work) beginAnew() uint64 {
	w.keeper.mu.Lock()
	w.mu.Lock()
	delete(w.keeper.works, w.key)
	w.log = w.keeper.rand.Uint64() | 1
	w.key = key(w.owner, w.log)
	w.source, w.askedFrom = w.keeper.newSource(w.owner, w.log), 0
	w.keeper.works[w.key] = w
	next := w.log
	w.mu.Unlock()
	w.keeper.mu.Unlock()
	w.begin()
	return next
}

// abandon removes a log that this node had taken over, and that is done or was taken over by another node.
func (w *Work) abandon() {
	w.keeper.options.Log.Warn("copies: taken-over log abandoned, it is done or held by another node", "owner", w.owner)
	w.keeper.options.Host.Forget(w, w.journal.Owed(), nil)
	if err := w.recordEnded(); err != nil {
		w.keeper.options.Log.Error("copies: recording the ended messages of a taken-over log failed", "owner", w.owner, "err", err)
	}
	w.remove()
}

// recordEnded records in this node's own log, and so in its copies, which messages of a log that was taken over have ended,
// because the owner asks for them when it returns.
func (w *Work) recordEnded() error {
	w.mu.Lock()
	ids := w.over.IDs()
	done := w.inherited
	w.mu.Unlock()
	if done {
		return nil
	}
	own := w.keeper.own
	if err := own.journal.AddEndedIDs(ids); err != nil {
		return fmt.Errorf("noting what is over: %w", err)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, id := range ids {
		own.over.Add(id)
		own.source.Over(0, id, w.keeper.options.Clock())
	}
	w.inherited = true // no race: only finish calls recordEnded again, from the same goroutine
	return nil
}

// finish ends a log that was taken over and all of whose messages have ended.
func (w *Work) finish(ctx context.Context, l *lease.Lease, token uint64) bool {
	if err := w.recordEnded(); err != nil {
		w.fail(err)
		return false
	}
	if err := w.setNote(ctx, l, token, note{Writer: w.keeper.options.Name, Token: token, Done: true}, true); err != nil {
		w.keeper.options.Log.Warn("copies: noting that a log is done failed", "owner", w.owner, "err", err)
		return false
	}
	w.mu.Lock()
	w.source.wanted, w.source.noted = nil, nil
	var drops []func()
	for name, f := range w.source.followers {
		f.out, f.pauseTo = nil, 0
		if b := w.source.Next(name, w.keeper.options.Clock()); b != nil && b.Drop {
			drops = append(drops, func() { w.sendChanges(ctx, name, b) })
		}
	}
	w.mu.Unlock()
	var sent sync.WaitGroup
	for _, drop := range drops {
		sent.Go(drop)
	}
	sent.Wait()
	w.stop("")
	l.Release(ctx)
	w.keeper.options.Log.Info("copies: taken-over log is done", "owner", w.owner)
	w.remove()
	return true
}

// remove closes and removes a log that was taken over.
func (w *Work) remove() {
	k := w.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.works, w.key)
	err := errors.Join(w.journal.Close(), k.options.Folders.Remove(w.folder))
	if err != nil {
		k.options.Log.Error("copies: removing a log failed", "folder", w.folder, "err", err)
	}
}

// workMeta is what is stored of a log that was taken over.
type workMeta struct {
	Owner string `cbor:"1,keyasint"`
	Log   uint64 `cbor:"2,keyasint"`
	Token uint64 `cbor:"3,keyasint"` // the token under which it was taken over
}

// reopenWork opens a log that an earlier process of this node had taken over.
func (k *Keeper) reopenWork(name string) {
	folder, err := k.options.Folders.Open(name)
	var m workMeta
	if err == nil {
		err = loadMeta(folder, ownName, &m)
	}
	var w *Work
	if err == nil {
		w, err = k.openWork(name, folder, m)
	}
	if errors.Is(err, fs.ErrNotExist) { // the takeover was not completed
		if err := k.options.Folders.Remove(name); err != nil {
			k.options.Log.Error("copies: removing an incomplete log failed", "folder", name, "err", err)
		}
		return
	}
	if err != nil {
		k.options.Log.Error("copies: opening a taken-over log failed", "folder", name, "err", err)
		return
	}
	k.works[w.key] = w
}

// openWork opens the journal of a log that was taken over.
func (k *Keeper) openWork(name string, folder vfs.Folder, m workMeta) (*Work, error) {
	j, _, err := journal.Open(journal.Options{Folder: folder, Limit: k.options.Limit, Base: k.base(), Sync: k.options.Sync, Now: k.options.Now, Log: k.options.Log})
	if err != nil {
		return nil, err
	}
	w := k.newWork(m.Owner, m.Log, j, ownMeta{})
	w.own, w.folder = false, name
	return w, nil
}

// base returns an offset for the message numbers of a journal, so that the numbers of different journals differ.
func (k *Keeper) base() policy.MessageID {
	k.adopted++
	return policy.MessageID(k.adopted+64) << 40
}

// Resume gives the host the messages of the logs that an earlier process had taken over.
func (k *Keeper) Resume() {
	k.mu.Lock()
	works := slices.Collect(maps.Values(k.works))
	k.mu.Unlock()
	for _, w := range works {
		if !w.own {
			w.begin()
			k.options.Host.Adopt(w, w.journal.Owed())
		}
	}
}
