package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
	"dunetide/internal/deliverynode/replica"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

const (
	// DefaultCopyWait leaves 100 ms of the 400 ms that the platform's clients wait for an answer.
	DefaultCopyWait = 300 * time.Millisecond
	// lookTime is how much of a log's lease must be left when a call goes out: what is between that look and
	// the call's last byte takes less than a millisecond, and is closed when the lease ends.
	lookTime = 100 * time.Millisecond
	// copyMeta is left for the files beside the journals.
	copyMeta = 32 << 10
)

// copies is this node's part in its fleet's copies, as the rest of the node sees it. It is the host of
// the logs that are worked on here.
type copies struct {
	keeper *replica.Keeper
	wanted int
	wait   time.Duration // Config.CopyWait
	loop   *loop
	log    *slog.Logger

	mu    sync.Mutex
	works map[*journal.Journal]*replica.Work
}

// copySlots is how many journals lie beside a node's own: copies of others' logs, and logs that it has
// taken over. Draws are uneven, so there is room for twice as many as each node has, and one to work on.
func (c Config) copySlots() int { return 2*c.Copies + 1 }

// checkCopies tells why -copies can't be.
func (c Config) checkCopies() error {
	switch {
	case c.Copies == 0:
		return nil
	case c.CopyWait < 0:
		return fmt.Errorf("-copy-wait %v: it has to be over 0", c.CopyWait)
	case c.Copies < 0 || c.Copies > fleet.MaxCopies:
		return fmt.Errorf("-copies %d: it has to be between 1 and %d, or 0 for none", c.Copies, fleet.MaxCopies)
	case c.Fleet == nil || c.Fleet.Copies == nil:
		return errors.New("-copies needs -fleet, with a file that has a part \"copies\"")
	case c.Members > 0 || c.AcceptFD > 0:
		return errors.New("-copies goes with neither -group nor PROXY_ACCEPT_FD yet")
	}
	if each := c.copyLimit(); each < journal.MinDisk {
		return fmt.Errorf("limits.disk_mb leaves %.2f MB to each of %d journals beside the fleet's %.2f: %.2f are needed", float64(each)/1e6,
			c.copySlots()+1, float64(c.fleetRoom())/1e6, float64(journal.MinDisk)/1e6)
	}
	return nil
}

// copyLimit is what each journal has of the disk: this node's own, a copy, a log that was taken over.
func (c Config) copyLimit() int64 {
	return (c.DiskBytes-c.fleetRoom()-copyMeta)/int64(c.copySlots()+1) - copyMeta
}

// joinCopies makes this node's part in its fleet's copies; nil where it has none.
func joinCopies(c Config, f *fleet.Fleet, l *loop, leases *lease.Leases, limit int64) (*copies, error) {
	if c.Copies == 0 {
		return nil, nil
	}
	cs := &copies{
		wanted: c.Copies,
		wait:   cmp.Or(c.CopyWait, DefaultCopyWait),
		loop:   l,
		log:    l.log,
		works:  map[*journal.Journal]*replica.Work{},
	}
	var err error
	cs.keeper, err = replica.New(replica.Options{Net: f, Leases: leases, Name: c.Name, Copies: c.Copies, Settings: c.Fleet.CopiesOf(),
		Locality: c.Fleet.Locality, Folders: stateFolders(c.State), Limit: limit, Slots: c.copySlots(), Sync: c.Sync,
		Clock: lastingClock, Now: time.Now, Seed: c.Seed, Host: cs, Log: l.log}, l.journal)
	if err != nil {
		return nil, err
	}
	cs.works[l.journal] = cs.keeper.Own()
	f.OnOld(cs.keeper.Old)
	f.While(cs.keeper.Run)
	return cs, nil
}

func (cs *copies) work(j *journal.Journal) *replica.Work {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.works[j]
}

// maySend tells whether a call may go out: the logs of its messages are this node's to work on, for
// longer than the call takes from this look to its last byte.
func (cs *copies) maySend(k *call) bool {
	if cs == nil {
		return true
	}
	for _, j := range homes(k.parts, func(p *part) *journal.Message { return p.message }) {
		if w := cs.work(j); w == nil || !w.MaySend(lookTime) {
			return false
		}
	}
	return true
}

// whileOurs ends with the context, with end, or when the log of one of a call's messages is not this node's
// any more: the call is closed then, as another node may send them next.
func (cs *copies) whileOurs(ctx context.Context, k *call) (ours context.Context, end context.CancelFunc) {
	if cs == nil {
		return ctx, func() {}
	}
	ours, end = context.WithCancel(ctx)
	for _, j := range homes(k.parts, func(p *part) *journal.Message { return p.message }) {
		if w := cs.work(j); w != nil {
			lost := w.Lost()
			go func() { // it ends with the call
				select {
				case <-lost:
					end()
				case <-ours.Done():
				}
			}()
		}
	}
	return ours, end
}

// waitContext bounds how long a message waits for its copies.
func (cs *copies) waitContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), cs.wait)
}

// copied waits until copies have what was written of some messages, where staff want that first.
func (cs *copies) copied(all []*journal.Journal, least int) error {
	ctx, cancel := cs.waitContext()
	defer cancel()
	return cs.copiedWithin(ctx, all, least)
}

// copiedWithin is copied, for as long as a context lasts.
func (cs *copies) copiedWithin(ctx context.Context, all []*journal.Journal, least int) error {
	for _, j := range all {
		w := cs.work(j)
		if w == nil {
			return replica.ErrNotOurs
		}
		if err := w.Copied(ctx, least); err != nil {
			return err
		}
	}
	return nil
}

// mayTell tells whether the platform may be told now that a message has ended, and whether its client may
// come again. While its log may be another node's, nothing is told before its time is up.
func (cs *copies) mayTell(m *journal.Message) (now, again bool) {
	if cs == nil {
		return true, true
	}
	if w := cs.work(m.Home()); w != nil && w.MaySend(0) {
		return true, true
	}
	return !time.Now().Before(m.Deadline), false
}

// Adopt is replica.Host's, as all that follows.
func (cs *copies) Adopt(w *replica.Work, owed []*journal.Message) {
	cs.mu.Lock()
	cs.works[w.Journal()] = w
	cs.mu.Unlock()
	cs.inherit(w, owed)
}

func (cs *copies) inherit(w *replica.Work, owed []*journal.Message) {
	for _, m := range owed {
		cs.loop.intake.inherits(m.ID)
	}
	cs.loop.post(&inheritance{journal: w.Journal(), owed: owed})
}

// Found takes over a message that was found in another replica of the log.
func (cs *copies) Found(w *replica.Work, m *journal.Message) { cs.inherit(w, []*journal.Message{m}) }

// Forget drops messages that another node has ended, and those that may have run there.
func (cs *copies) Forget(_ *replica.Work, gone, doubted []*journal.Message) {
	cs.loop.post(&disowned{gone, doubted})
}

// Acts opens or closes the share of this node when it may work on its own log, or may not any more.
func (cs *copies) Acts(w *replica.Work, may bool) {
	if w != cs.keeper.Own() {
		return // the module has one share for all; each call looks at its own log
	}
	parts := 0
	if may {
		parts = group.Whole
	}
	cs.loop.post(policy.Shared{Parts: parts, Whole: group.Whole, Alone: true})
}

// Orders takes over the staff's orders for endpoints from a log.
func (cs *copies) Orders(out []string) { cs.loop.post(adoptedOrders(out)) }

// Once reports whether messages of a class may not be repeated.
func (cs *copies) Once(class int) bool {
	return class >= len(cs.loop.caller.once) || cs.loop.caller.once[class]
}

// Knows reports whether this node has or had a message.
func (cs *copies) Knows(id string) bool {
	return cs.loop.intake.knows(id)
}

// What comes from the copies on its way through the loop.
type (
	// disowned are messages that are another node's, or over, and others that may have run and get their end.
	disowned struct{ gone, doubted []*journal.Message }
	// adoptedOrders are endpoints that the staff had taken out at a node whose log was taken over.
	adoptedOrders []string
)

// disown ends the work on messages whose log was another node's.
func (l *loop) disown(d *disowned) {
	for _, m := range d.gone {
		l.batch = append(l.batch, policy.Withdrawn{Message: m.Number()})
		l.forget(m)
		l.closed(m)
	}
	for _, m := range d.doubted {
		if l.held[m.Number()] == nil {
			continue // it has its end
		}
		l.batch = append(l.batch, policy.Withdrawn{Message: m.Number()})
		l.end(m.Number(), false, 0)
	}
}

// adoptOrders makes orders hold here that held where an adopted log came from.
func (l *loop) adoptOrders(names []string) {
	for _, name := range names {
		if l.journal.TakenOut(name) {
			continue
		}
		if err := l.journal.Order(name, true, time.Now()); err != nil {
			l.log.Error("an order of a node whose log was adopted", "endpoint", name, "err", err)
			continue
		}
		if e := l.endpoints[policy.EndpointID(hash(name))]; e != nil {
			e.excluded.Store(true)
			l.batch = append(l.batch, policy.Ordered{Endpoint: e.id, Out: true})
		}
	}
}

// stateFolders are the folders in a state folder.
type stateFolders string

func (s stateFolders) path(name string) string { return filepath.Join(string(s), name) }

// Open opens the folder of a replica, which it creates if need be.
func (s stateFolders) Open(name string) (vfs.Folder, error) {
	if err := os.Mkdir(s.path(name), 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, err
	}
	return vfs.Dir(s.path(name)), nil
}

// List returns the names of the folders of replicas.
func (s stateFolders) List() (names []string, err error) {
	entries, err := os.ReadDir(string(s))
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Remove removes the folder of a replica.
func (s stateFolders) Remove(name string) error { return os.RemoveAll(s.path(name)) }

// Top returns the state folder itself.
func (s stateFolders) Top() vfs.Folder { return vfs.Dir(string(s)) }

// Place is the run of this machine, and the folder by what the kernel knows of it: a copy of it, or the
// same on another machine or after a loss of power, is another place. Empty: it can't be told.
func (s stateFolders) Place(name string) string {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var st syscall.Stat_t
	if err != nil || syscall.Stat(s.path(name), &st) != nil {
		return ""
	}
	return fmt.Sprintf("%s %d %d", strings.TrimSpace(string(boot)), st.Dev, st.Ino)
}

// anyOnce tells whether some of a call's messages may not be repeated.
func (c *caller) anyOnce(k *call) bool {
	return slices.ContainsFunc(k.parts, func(p *part) bool { return c.once[p.message.Class] })
}
