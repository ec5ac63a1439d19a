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
	// leaseMargin is how much of a log's lease must be left when a call is sent: from this check to the call's last byte
	// takes less than a millisecond, and the call is closed when the lease ends.
	leaseMargin = 100 * time.Millisecond
	// copyMeta is the disk space that is reserved for the files besides the journals.
	copyMeta = 32 << 10
)

// copies connects the node to the replication of logs in its fleet. It is the replica.Host of the logs that this node
// processes.
type copies struct {
	keeper *replica.Keeper
	wanted int
	wait   time.Duration // Config.CopyWait
	loop   *loop
	log    *slog.Logger

	mu    sync.Mutex
	works map[*journal.Journal]*replica.Work
}

// copySlots returns how many journals a node may have besides its own: copies of other nodes' logs, and logs that it has
// taken over. Copies are distributed unevenly, so there are slots for twice as many as each node's log has, and one for a
// log that is taken over.
func (c Config) copySlots() int { return 2*c.Copies + 1 }

// checkCopies returns an error if -copies can't be used with this configuration.
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
		return errors.New("-copies works with neither -group nor PROXY_ACCEPT_FD yet")
	}
	if each := c.copyLimit(); each < journal.MinDisk {
		return fmt.Errorf("limits.disk_mb leaves %.2f MB for each of %d journals besides the fleet's %.2f: %.2f are needed", float64(each)/1e6,
			c.copySlots()+1, float64(c.fleetDiskSpace())/1e6, float64(journal.MinDisk)/1e6)
	}
	return nil
}

// copyLimit returns the disk space of each journal: this node's own, a copy, a log that was taken over.
func (c Config) copyLimit() int64 {
	return (c.DiskBytes-c.fleetDiskSpace()-copyMeta)/int64(c.copySlots()+1) - copyMeta
}

// joinCopies starts this node's participation in the replication of logs; nil without copies.
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
		Clock: boottimeClock, Now: time.Now, Seed: c.Seed, Host: cs, Log: l.log}, l.journal)
	if err != nil {
		return nil, err
	}
	cs.works[l.journal] = cs.keeper.Own()
	f.OnStaleFolder(cs.keeper.MarkStale)
	f.RunWhileJoined(cs.keeper.Run)
	return cs, nil
}

func (cs *copies) work(j *journal.Journal) *replica.Work {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.works[j]
}

// maySend reports whether a call may be sent: this node has the leases on the logs of its messages, for longer than the
// call takes from this check to its last byte.
func (cs *copies) maySend(k *call) bool {
	if cs == nil {
		return true
	}
	for _, j := range journalsOf(k.messages, func(p *callMessage) *journal.Message { return p.message }) {
		if w := cs.work(j); w == nil || !w.MaySend(leaseMargin) {
			return false
		}
	}
	return true
}

// whileLeased returns a context that ends with ctx, with end, or when this node loses the lease on the log of one of the
// call's messages: the call is closed then, because another node may send them next.
func (cs *copies) whileLeased(ctx context.Context, k *call) (ours context.Context, end context.CancelFunc) {
	if cs == nil {
		return ctx, func() {}
	}
	ours, end = context.WithCancel(ctx)
	for _, j := range journalsOf(k.messages, func(p *callMessage) *journal.Message { return p.message }) {
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

// waitContext returns a context that limits how long a message waits for its copies.
func (cs *copies) waitContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), cs.wait)
}

// copied waits until at least the given number of copies have what was written to some journals.
func (cs *copies) copied(all []*journal.Journal, least int) error {
	ctx, cancel := cs.waitContext()
	defer cancel()
	return cs.copiedWithin(ctx, all, least)
}

// copiedWithin is copied with the caller's context as the limit.
func (cs *copies) copiedWithin(ctx context.Context, all []*journal.Journal, least int) error {
	for _, j := range all {
		w := cs.work(j)
		if w == nil {
			return replica.ErrLeaseNotHeld
		}
		if err := w.AwaitCopies(ctx, least); err != nil {
			return err
		}
	}
	return nil
}

// mayReport reports whether the end of a message may be reported to the platform now, and whether its client may be told to
// retry. While another node may have the lease on its log, nothing is reported before the message's deadline.
func (cs *copies) mayReport(m *journal.Message) (now, again bool) {
	if cs == nil {
		return true, true
	}
	if w := cs.work(m.Home()); w != nil && w.MaySend(0) {
		return true, true
	}
	return !time.Now().Before(m.Deadline), false
}

// Adopt takes over the pending messages of a log. It and the exported methods below implement replica.Host.
func (cs *copies) Adopt(w *replica.Work, pending []*journal.Message) {
	cs.mu.Lock()
	cs.works[w.Journal()] = w
	cs.mu.Unlock()
	cs.inherit(w, pending)
}

func (cs *copies) inherit(w *replica.Work, pending []*journal.Message) {
	for _, m := range pending {
		cs.loop.intake.addInherited(m.ID)
	}
	cs.loop.post(&adoptedJournal{journal: w.Journal(), pending: pending})
}

// Found takes over a message of this node's own log that only a copy had.
func (cs *copies) Found(w *replica.Work, m *journal.Message) { cs.inherit(w, []*journal.Message{m}) }

// Forget drops messages that another node has ended, and those that may have run there.
func (cs *copies) Forget(_ *replica.Work, gone, doubted []*journal.Message) {
	cs.loop.post(&withdrawnMessages{gone, doubted})
}

// Acts sets the share of this node to all or nothing when it gains or loses the lease on its own log.
func (cs *copies) Acts(w *replica.Work, may bool) {
	if w != cs.keeper.Own() {
		return // the module has one share for all logs; each call checks the lease on its own log
	}
	parts := 0
	if may {
		parts = group.Whole
	}
	cs.loop.post(policy.ShareAssigned{Parts: parts, Whole: group.Whole, Alone: true})
}

// Orders takes over the operators' orders for endpoints from a log.
func (cs *copies) Orders(out []string) { cs.loop.post(adoptedOrders(out)) }

// RunsOnce reports whether messages of a class may not be repeated.
func (cs *copies) RunsOnce(class int) bool {
	return class >= len(cs.loop.caller.nonRepeatable) || cs.loop.caller.nonRepeatable[class]
}

// Knows reports whether this node has or had a message.
func (cs *copies) Knows(id string) bool {
	return cs.loop.intake.has(id)
}

// Events that copies posts to the loop.
type (
	// withdrawnMessages has messages that this node must no longer send. Ended: another node has them, or they have ended.
	// MayHaveRun: they may have run elsewhere, and are to be ended here.
	withdrawnMessages struct{ ended, mayHaveRun []*journal.Message }
	// adoptedOrders has the endpoints that operators took out at a node whose log was taken over.
	adoptedOrders []string
)

// withdraw withdraws messages that this node must no longer send.
func (l *loop) withdraw(d *withdrawnMessages) {
	for _, m := range d.ended {
		l.batch = append(l.batch, policy.Withdrawn{Message: m.Number()})
		l.dropMessage(m)
		l.closeMessage(m)
	}
	for _, m := range d.mayHaveRun {
		if l.held[m.Number()] == nil {
			continue // it has ended
		}
		l.batch = append(l.batch, policy.Withdrawn{Message: m.Number()})
		l.end(m.Number(), false, 0)
	}
}

// adoptOrders applies the orders of an adopted log at this node.
func (l *loop) adoptOrders(names []string) {
	for _, name := range names {
		if l.journal.TakenOut(name) {
			continue
		}
		if err := l.journal.Order(name, true, time.Now()); err != nil {
			l.log.Error("recording an order from an adopted log failed", "endpoint", name, "err", err)
			continue
		}
		if e := l.endpoints[policy.EndpointID(hash(name))]; e != nil {
			e.excluded.Store(true)
			l.batch = append(l.batch, policy.OperatorOrder{Endpoint: e.id, Out: true})
		}
	}
}

// stateFolders is a state folder with the folders of replicas in it.
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

// Place identifies a folder on this boot of the machine, by the boot id, device and inode: a copy of the folder, or the
// folder on another machine or after a power loss, is another place. It returns "" if that can't be determined.
func (s stateFolders) Place(name string) string {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var st syscall.Stat_t
	if err != nil || syscall.Stat(s.path(name), &st) != nil {
		return ""
	}
	return fmt.Sprintf("%s %d %d", strings.TrimSpace(string(boot)), st.Dev, st.Ino)
}

// anyNonRepeatable reports whether any of a call's messages may not be repeated.
func (c *caller) anyNonRepeatable(k *call) bool {
	return slices.ContainsFunc(k.messages, func(p *callMessage) bool { return c.nonRepeatable[p.message.Class] })
}
