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
	"dunetide/internal/platform/vfs"
)

// acquire takes over the log of a copy, once this node has the log's lease.
func (k *Keeper) acquire(ctx context.Context, h *storedCopy, running *sync.WaitGroup) {
	defer func() {
		h.mu.Lock()
		h.taking = false
		h.mu.Unlock()
	}()
	h.mu.Lock()
	owner, log := h.copy.meta.Owner, h.copy.meta.Log
	h.mu.Unlock()
	id := key(owner, log)
	length := time.Duration(k.options.Settings.LeaseS * float64(time.Second))
	l, err := k.options.Leases.Want("log/"+id, length)
	if err != nil {
		k.options.Log.Debug("copies: requesting the lease for a takeover failed", "owner", owner, "err", err)
		pause(ctx, time.Second)
		return
	}
	keep := false
	defer func() {
		if !keep {
			l.Release(ctx)
		}
	}()
	waits, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.cancelWhenBack(waits, cancel, h)
	token, err := l.Wait(waits)
	if err != nil {
		return
	}
	n, noted := readNote(l.Note())
	if noted && n.Done {
		if err := k.dropCopy(h, id); err != nil {
			k.options.Log.Error("copies: removing a copy failed", "owner", owner, "err", err)
		}
		return
	}
	w, owed, orders, err := k.assemble(ctx, h, n, noted, token)
	if err != nil {
		k.options.Log.Error("copies: takeover of a log failed", "owner", owner, "err", err)
		pause(ctx, time.Second)
		return
	}
	if err := w.setNote(ctx, l, token, note{Writer: k.options.Name, Token: token}, false); err != nil {
		k.options.Log.Error("copies: takeover of a log failed", "owner", owner, "err", err)
		w.remove()
		return
	}
	cancel()
	if err := k.dropCopy(h, id); err != nil {
		k.options.Log.Error("copies: removing the copy of a taken-over log failed", "owner", owner, "err", err)
	}
	k.options.Log.Warn("copies: log taken over", "owner", owner, "token", token, "owed", len(owed), "in doubt", w.doubted)
	w.begin()
	k.options.Host.Orders(orders)
	k.options.Host.Adopt(w, owed)
	keep = true
	// From here on runUnder uses the same Lease, which stays renewed.
	running.Go(func() { w.runUnder(ctx, l) })
}

// cancelWhenBack cancels the wait for a log's lease when the copy is dropped or its writer sends batches again.
func (k *Keeper) cancelWhenBack(waits context.Context, cancel context.CancelFunc, h *storedCopy) {
	for pause(waits, stepEvery) {
		h.mu.Lock()
		back := h.copy.dropped || k.options.Clock()-h.copy.heard < HeartbeatEvery
		h.mu.Unlock()
		if back {
			cancel()
		}
	}
}

// dropCopy removes a copy that is no longer needed.
func (k *Keeper) dropCopy(h *storedCopy, id string) error {
	h.mu.Lock()
	err := h.drop()
	h.mu.Unlock()
	return errors.Join(err, k.forget(h, id))
}

// gathered is the content of all reachable copies of a log.
type gathered struct {
	entries [][]Entry       // of each copy
	over    map[string]bool // ids of messages that have ended
	orders  []string        // endpoints taken out of service by operators
	current bool            // one of the copies has all attempts of the last holder of the log
}

// assemble builds a log from this node's copy and all others that can be reached.
func (k *Keeper) assemble(ctx context.Context, h *storedCopy, n note, noted bool, token uint64) (w *Work, owed []*journal.Message, orders []string, err error) {
	h.mu.Lock()
	m := h.copy.meta
	mine := fetched{Token: m.Token, Complete: m.Complete, Entries: h.copy.Entries(), Over: h.copy.over.IDs(), Orders: m.Orders.Out}
	h.mu.Unlock()
	found := combine(k.fetchEverywhere(ctx, m.Owner, m.Log, mine), n, noted)
	meta := workMeta{m.Owner, m.Log, token}
	k.mu.Lock()
	defer k.mu.Unlock()
	w, folder, err := k.emptyWork(meta)
	if err != nil {
		return nil, nil, nil, err
	}
	if owed, err = k.fill(w, &found); err != nil {
		return nil, nil, nil, errors.Join(err, w.journal.Close())
	}
	if err := saveMeta(folder, ownName, meta); err != nil {
		return nil, nil, nil, errors.Join(err, w.journal.Close())
	}
	k.works[w.key] = w
	return w, owed, found.orders, nil
}

// fetchEverywhere returns this node's copy of a log and those of all other nodes that answer, by the nodes' names.
func (k *Keeper) fetchEverywhere(ctx context.Context, owner string, log uint64, mine fetched) map[string]fetched {
	all := map[string]fetched{k.options.Name: mine}
	var mu sync.Mutex
	k.forEachMember(ctx, func(ctx context.Context, name string) {
		f, err := k.fetchAll(ctx, name, owner, log)
		if err != nil {
			k.options.Log.Debug("copies: fetching a copy failed", "from", name, "err", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		all[name] = f
	})
	return all
}

// combine combines copies. The note n is that of the log's last holder, if noted is set.
func combine(all map[string]fetched, n note, noted bool) gathered {
	found := gathered{over: map[string]bool{}}
	for name, f := range all {
		for _, id := range f.Over {
			found.over[id] = true
		}
		found.entries = append(found.entries, f.Entries)
		for _, o := range f.Orders {
			if !slices.Contains(found.orders, o) {
				found.orders = append(found.orders, o)
			}
		}
		// A copy that counted and has lost nothing since has all attempts of the last holder.
		found.current = found.current || noted && f.Complete && f.Token == n.Token && slices.Contains(n.Holders, name)
	}
	return found
}

// emptyWork opens an empty folder for a log that is taken over; k.mu is held.
func (k *Keeper) emptyWork(meta workMeta) (*Work, vfs.Folder, error) {
	name := workFolder + key(meta.Owner, meta.Log)
	if err := k.options.Folders.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	folder, err := k.options.Folders.Open(name)
	if err != nil {
		return nil, nil, err
	}
	w, err := k.openWork(name, folder, meta)
	return w, folder, err
}

// fill writes the gathered content durably to the journal of a log, and returns the messages that have not ended. Those that
// must not be repeated count as possibly run unless a copy proves that they were not sent.
func (k *Keeper) fill(w *Work, found *gathered) (owed []*journal.Message, err error) {
	known := func(id string) bool { return found.over[id] || k.options.Host.Knows(id) }
	for _, e := range Union(known, found.entries...) {
		msg := e.message()
		if k.options.Host.RunsOnce(msg.Class) && !(found.current && k.before()) && msg.Notice == nil && !msg.Past.MayRun {
			markPossiblyRun(msg)
			w.doubted++
		}
		if err := w.journal.Put(msg); err != nil {
			return nil, err
		}
		owed = append(owed, msg)
	}
	err = w.journal.AddEndedIDs(slices.Sorted(maps.Keys(found.over)))
	if err == nil {
		err = w.journal.Sync()
	}
	return owed, err
}

// fetchAll fetches a copy from another node.
func (k *Keeper) fetchAll(ctx context.Context, from, owner string, log uint64) (all fetched, err error) {
	for {
		body, err := encoding.Marshal(fetch{owner, log, len(all.Entries)})
		if err != nil {
			return all, err
		}
		text, err := k.options.Net.Ask(ctx, from, kindFetch, body)
		if err != nil {
			return all, err
		}
		var page fetched
		if err := decoding.Unmarshal(text, &page); err != nil {
			return all, fmt.Errorf("decoding a page of a copy: %w", err)
		}
		if len(all.Entries) == 0 {
			all = page
		} else {
			all.Entries = append(all.Entries, page.Entries...)
		}
		if !page.More {
			return all, nil
		}
	}
}
