package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

// With -group several processes on one machine form one node. The process_group files connect the group to the node: the
// shares, the journals of former members, the listeners, and the messages between members. docs/group.md has the guarantees.

const (
	groupFolder = "group"
	slotFormat  = "slot-%d" // a member's journal, in the state folder
	// groupDisk is the disk space that is reserved for the group's locks and views.
	groupDisk = 64 << 10
	// joinTimeout is how long a start waits for a free journal, for the listeners and for the state of the other members.
	joinTimeout = 4 * time.Second
	joinPause   = 20 * time.Millisecond
	// slotNumbers is the size of each journal's range of message numbers: beyond it, two numbers could be equal.
	slotNumbers = 1 << 40
	// resendWindow is how long after the end of a member a client may resend a message that the member had: clients retry
	// at once when their connection breaks.
	resendWindow = 3 * time.Second
	// haveTimeout is the timeout for asking the other members for an id, well within that of a client.
	haveTimeout = 150 * time.Millisecond
	// An order times out on the other members after orderTimeout and is then rolled back: both within the second that a
	// caller waits.
	orderTimeout = 500 * time.Millisecond
	undoTimeout  = 250 * time.Millisecond
)

// slot is the journal of a current or former member.
type slot struct {
	number  int // -1 for that of a node without a group, in the state folder itself
	path    string
	lock    *os.File
	journal *journal.Journal
}

// slotsOf returns the number of journals: one for each member, and at least one more for a member that joins while the
// journal of a former member still has pending messages.
func (c Config) slotsOf() (int, error) {
	most := int((c.DiskBytes - groupDisk) / journal.MinDisk)
	if most < c.Members+1 {
		return 0, fmt.Errorf("limits.disk_mb is %.1f: %d members need %d journals of %.2f MB", float64(c.DiskBytes)/1e6, c.Members,
			c.Members+1, float64(journal.MinDisk)/1e6)
	}
	return min(2*c.Members, most), nil
}

// joinGroup makes this process a member of the group. It reduces the limits in the configuration to those of one member.
func joinGroup(ctx context.Context, c *Config, log *slog.Logger) (*processGroup, error) {
	if c.Members > group.MaxMembers {
		return nil, fmt.Errorf("-group %d: the maximum is %d members", c.Members, group.MaxMembers)
	}
	if c.Settings.MayTell && c.PeerBind != "" {
		return nil, errors.New("-group: the settings let nodes send each other notes, which a group does not support")
	}
	slots, err := c.slotsOf()
	if err != nil {
		return nil, fmt.Errorf("-group: %w", err)
	}
	state, err := lockStateShared(c.State)
	if err != nil {
		return nil, err
	}
	pg := &processGroup{log: log, slots: slots, state: state, loopReady: make(chan struct{}), shareReady: make(chan struct{}),
		shares: make(chan [2]int, 1), memberJoined: make(chan struct{}, 1), skipped: map[int]string{}, owners: map[int]string{}, listeners: map[string]*net.TCPListener{}}
	// These limits can't be reduced at once when a member joins, so each member starts with the share for the maximum number
	// of members.
	c.MemoryMB /= c.Members
	c.Sockets /= c.Members
	c.DiskBytes = (c.DiskBytes - groupDisk) / int64(slots)
	pg.cfg = *c
	pg.group, err = group.Join(group.Config{Dir: filepath.Join(c.State, groupFolder), Clock: group.Clock, Log: log,
		Share: pg.receiveShare, OnMessage: pg.handleMessage, File: pg.listenerFile, OnMembersJoined: func() {
			select {
			case pg.memberJoined <- struct{}{}:
			default: // a queued notification covers all new members
			}
		}})
	if err != nil {
		return nil, errors.Join(err, state.Close())
	}
	if pg.own, err = pg.claimSlot(ctx); err != nil {
		return nil, errors.Join(err, pg.group.Abandon(), state.Close())
	}
	return pg, nil
}

func (pg *processGroup) path(n int) string {
	return filepath.Join(pg.cfg.State, fmt.Sprintf(slotFormat, n))
}

// claimSlot locks a free journal for this process: one with files before an empty one.
func (pg *processGroup) claimSlot(ctx context.Context) (*slot, error) {
	for end := time.Now().Add(joinTimeout); ; {
		for _, empty := range []bool{false, true} {
			for n := range pg.slots {
				path := pg.path(n)
				entries, err := os.ReadDir(path)
				if errors.Is(err, os.ErrNotExist) && empty {
					err = os.Mkdir(path, 0o700)
				}
				if (len(entries) == 0) != empty || errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrExist) {
					continue
				}
				if err != nil {
					return nil, fmt.Errorf("claiming a journal: %w", err)
				}
				s, err := pg.lockSlot(n, path)
				if s != nil || err != nil {
					return s, err
				}
			}
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("no journal is free: each of %d belongs to a member, or has been adopted by one", pg.slots)
		}
		select {
		case <-time.After(joinPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// lockSlot locks a slot and records this member as its owner; it returns nil if another process has it.
func (pg *processGroup) lockSlot(n int, path string) (*slot, error) {
	lock, err := vfs.Lock(path)
	if err != nil || lock == nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(pg.cfg.State, groupFolder, fmt.Sprintf("owner-%d", n)), []byte(pg.group.ID()), 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("recording the owner of a journal: %w", err), lock.Close())
	}
	return &slot{number: n, path: path, lock: lock}, nil
}

func (pg *processGroup) options(s *slot) journal.Options {
	return journal.Options{Folder: vfs.Dir(s.path), Limit: pg.cfg.DiskBytes, Base: policy.MessageID(s.number+1) * slotNumbers,
		Sync: pg.cfg.Sync, Log: pg.log}
}

// begin opens this member's journal and the clients' listener, and gets the state of the other members.
func (pg *processGroup) begin(ctx context.Context) (*inheritedState, net.Listener, error) {
	j, pending, err := journal.Open(pg.options(pg.own))
	if err != nil {
		return nil, nil, err
	}
	pg.own.journal = j
	fail := func(err error) (*inheritedState, net.Listener, error) { return nil, nil, errors.Join(err, j.Close()) }
	state, err := pg.fetchState(ctx)
	if err != nil {
		return fail(err)
	}
	if state != nil {
		if err := adoptOrders(j, state.Orders); err != nil {
			return fail(err)
		}
	}
	var listener net.Listener
	if pg.cfg.AcceptFD > 0 {
		listener, err = inheritedListener(pg.cfg.AcceptFD)
	} else {
		listener, err = pg.listen(ctx, "clients", pg.cfg.Listen)
	}
	if err != nil {
		return fail(err)
	}
	return &inheritedState{journal: j, pending: pending, soleLock: pg.own.lock, groupState: state}, listener, nil
}

// adoptOrders sets a journal's orders to those of the group.
func adoptOrders(j *journal.Journal, out []string) error {
	want := map[string]bool{}
	for _, name := range out {
		want[name] = true
		if err := j.Order(name, true, time.Now()); err != nil {
			return fmt.Errorf("recording the group's orders: %w", err)
		}
	}
	for _, name := range j.Orders() {
		if !want[name] {
			if err := j.Order(name, false, time.Now()); err != nil {
				return fmt.Errorf("recording the group's orders: %w", err)
			}
		}
	}
	return nil
}
