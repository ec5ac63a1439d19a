package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/platform/vfs"
)

// storedCopy is a copy that this node holds.
type storedCopy struct {
	name  string // its folder
	owner string

	mu       sync.Mutex // guards the following
	copy     *Copy
	writer   string
	taking   bool          // this node is taking the log over
	scrubbed time.Duration // when it was last compared with its files
}

// reopenCopy opens a copy that an earlier process has stored, or removes it if that fails.
func (k *Keeper) reopenCopy(name string, now time.Duration) {
	folder, err := k.options.Folders.Open(name)
	if err == nil {
		var c *Copy
		if c, err = OpenCopy(k.copyOptions(folder, name), now); err == nil {
			k.copies[strings.TrimPrefix(name, copyFolder)] = &storedCopy{name: name, owner: c.meta.Owner, copy: c, scrubbed: now}
			return
		}
	}
	k.options.Log.Warn("copies: opening a copy failed, removing it", "folder", name, "err", err)
	if err := k.options.Folders.Remove(name); err != nil {
		k.options.Log.Error("copies: removing an unusable copy failed", "folder", name, "err", err)
	}
}

func (k *Keeper) copyOptions(folder vfs.Folder, name string) CopyOptions {
	return CopyOptions{Folder: folder, Place: k.options.Folders.Place(name), Limit: k.options.Limit, Sync: k.options.Sync, Now: k.options.Now, Log: k.options.Log}
}

// answerBatch handles a batch from the node that works on a log for the copy here.
func (k *Keeper) answerBatch(_ context.Context, from fleet.Peer, body []byte) ([]byte, error) {
	var b Batch
	if err := decoding.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	a, err := k.keep(from.Name, b)
	if err != nil {
		k.options.Log.Warn("copies: applying a batch failed", "owner", b.Owner, "from", from.Name, "err", err)
		a = Ack{No: err.Error()}
	}
	return encoding.Marshal(a)
}

// keep applies a batch to the copy of its log, and creates the copy if there is none.
func (k *Keeper) keep(writer string, b Batch) (Ack, error) {
	id := key(b.Owner, b.Log)
	k.mu.Lock()
	w, h := k.works[id], k.copies[id]
	var err error
	switch {
	case w != nil: // this node works on the log itself, or has just stopped
		k.mu.Unlock()
		w.mu.Lock()
		defer w.mu.Unlock()
		if b.Token > w.source.token {
			return Ack{No: "this node has worked on the log until a moment ago"}, nil
		}
		return Ack{Token: w.source.token}, nil
	case b.Drop && h == nil:
		k.mu.Unlock()
		return Ack{}, nil
	case h == nil:
		h, err = k.newCopy(id, b)
	}
	k.mu.Unlock()
	if err != nil {
		return Ack{}, err
	}
	h.mu.Lock()
	if b.Drop && b.Token >= h.copy.meta.Token {
		err := h.drop()
		h.mu.Unlock()
		return Ack{}, errors.Join(err, k.forget(h, id))
	}
	defer h.mu.Unlock()
	h.writer = writer
	return h.copy.Apply(b, k.options.Clock())
}

// newCopy creates a copy; k.mu is held.
func (k *Keeper) newCopy(id string, b Batch) (*storedCopy, error) {
	if len(k.copies)+len(k.works)-1 >= k.options.Slots {
		return nil, fmt.Errorf("no room: %d copies and logs are here", k.options.Slots)
	}
	name := copyFolder + id
	folder, err := k.options.Folders.Open(name)
	if err != nil {
		return nil, err
	}
	c, err := NewCopy(k.copyOptions(folder, name), b.Owner, b.Log, k.options.Clock())
	if err != nil {
		return nil, errors.Join(err, k.options.Folders.Remove(name))
	}
	h := &storedCopy{name: name, owner: b.Owner, copy: c, scrubbed: k.options.Clock()}
	k.copies[id] = h
	return h, nil
}

// drop closes a copy and marks it as dropped for its other users; h.mu is held.
func (h *storedCopy) drop() error {
	h.copy.dropped = true
	return h.copy.Close()
}

// forget removes the folder of a copy that was dropped.
func (k *Keeper) forget(h *storedCopy, id string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.copies[id] != h {
		return nil
	}
	delete(k.copies, id)
	if err := k.options.Folders.Remove(h.name); err != nil {
		return fmt.Errorf("removing a copy: %w", err)
	}
	return nil
}

// scrub compares a copy with its files if that is due. If they differ, the files are rewritten from memory, which was
// compared with the writer's log.
func (k *Keeper) scrub(h *storedCopy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := k.options.Clock()
	every := time.Duration(k.options.Settings.ScrubS * float64(time.Second))
	if h.copy.dropped || now-h.scrubbed < every {
		return
	}
	h.scrubbed = now
	err := h.copy.Scrub()
	if err == nil {
		return
	}
	k.options.Log.Error("copies: files of a copy are damaged, rewriting them", "owner", h.owner, "err", err)
	entries, meta := h.copy.Entries(), h.copy.meta
	over, writer, heard := h.copy.over, h.writer, h.copy.heard
	meta.Complete = false
	err = errors.Join(h.copy.Close(), k.options.Folders.Remove(h.name))
	folder, opened := k.options.Folders.Open(h.name)
	err = errors.Join(err, opened)
	if err == nil {
		err = saveMeta(folder, metaName, meta)
	}
	var c *Copy
	if err == nil {
		c, err = OpenCopy(k.copyOptions(folder, h.name), now)
	}
	for i := 0; err == nil && i < len(entries); i++ {
		err = c.put(entries[i])
	}
	if err != nil {
		k.options.Log.Error("copies: rewriting a damaged copy failed, it is dropped until its writer sends it again", "owner", h.owner, "err", err)
		h.copy.dropped = true
		return
	}
	c.over, c.heard = over, heard
	h.copy, h.writer = c, writer
}

// startTakeover reports whether this node should start a takeover of the copy's log, because its writer has been silent for the
// configured time or was removed by an operator. It then returns false until the attempt has ended.
func (h *storedCopy) startTakeover(k *Keeper) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taking || h.copy.dropped {
		return false
	}
	silence := time.Duration(k.options.Settings.SilenceS * float64(time.Second))
	removed := false
	writer := cmp.Or(h.writer, h.copy.meta.Owner)
	for _, m := range k.options.Net.Members() {
		removed = removed || m.Name == writer && m.State == fleet.Removed
	}
	quiet := k.options.Clock() - h.copy.heard
	if quiet < min(silence, HeartbeatEvery) {
		return false
	}
	rank := time.Duration(slices.Index(k.candidatesAnd(h.copy.meta.Owner, h.copy.meta.Log), k.options.Name)) * rankPause
	switch {
	case removed && quiet > HeartbeatEvery+rank:
	case quiet < silence+rank:
		return false
	case !h.copy.meta.Complete && quiet < 2*silence+rank: // a node with a complete copy, if there is one, goes first
		return false
	}
	h.taking = true
	return true
}
