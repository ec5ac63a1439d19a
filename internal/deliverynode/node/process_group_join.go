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

// With -group several processes of one machine are one node. This file wires the group to
// the node: the shares, the journals of the dead, the listeners, and what members tell each
// other. docs/group.md has the guarantees.

const (
	groupFolder = "group"
	slotForm    = "slot-%d" // a member's journal, in the state folder
	// groupDisk is left for the group's locks and views.
	groupDisk = 64 << 10
	// joinPatience is how long a start waits for a journal of its own, for the listeners and
	// for what the others know.
	joinPatience = 4 * time.Second
	joinPause    = 20 * time.Millisecond
	// slotNumbers is how many messages a journal may number before two could be the same.
	slotNumbers = 1 << 40
	// deathMatters is how long after a member's death a client may hand in again what that
	// member had: it sends once more at once when its connection breaks.
	deathMatters = 3 * time.Second
	// haveTimeout is for asking the others for an id, well within a client's patience.
	haveTimeout = 150 * time.Millisecond
	// An order has so long with the others, and is then taken back: all within the second that
	// a caller waits.
	orderTimeout = 500 * time.Millisecond
	undoTimeout  = 250 * time.Millisecond
)

// slot is a journal of a member, alive or dead.
type slot struct {
	number  int // -1 for that of a node without a group, in the state folder itself
	path    string
	lock    *os.File
	journal *journal.Journal
}

// slotsOf is how many journals there are: one for each member, and one at least for a member
// that comes while a dead one's is still being worked off.
func (c Config) slotsOf() (int, error) {
	most := int((c.DiskBytes - groupDisk) / journal.MinDisk)
	if most < c.Members+1 {
		return 0, fmt.Errorf("limits.disk_mb is %.1f: %d members need %d journals of %.2f MB", float64(c.DiskBytes)/1e6, c.Members,
			c.Members+1, float64(journal.MinDisk)/1e6)
	}
	return min(2*c.Members, most), nil
}

// joinGroup makes this process a member. Its configuration is then that of a part of the node.
func joinGroup(ctx context.Context, c *Config, log *slog.Logger) (*processGroup, error) {
	if c.Members > group.MaxMembers {
		return nil, fmt.Errorf("-group %d: %d members at most", c.Members, group.MaxMembers)
	}
	if c.Settings.MayTell && c.PeerBind != "" {
		return nil, errors.New("-group: the settings let nodes tell each other notes, which a group can't share")
	}
	slots, err := c.slotsOf()
	if err != nil {
		return nil, fmt.Errorf("-group: %w", err)
	}
	state, err := shareState(c.State)
	if err != nil {
		return nil, err
	}
	co := &processGroup{log: log, slots: slots, state: state, up: make(chan struct{}), usable: make(chan struct{}),
		shares: make(chan [2]int, 1), met: make(chan struct{}, 1), looked: map[int]string{}, owners: map[int]string{}, listeners: map[string]*net.TCPListener{}}
	// None of these can shrink at once, so each has its part of the most members from the start.
	c.MemoryMB /= c.Members
	c.Sockets /= c.Members
	c.DiskBytes = (c.DiskBytes - groupDisk) / int64(slots)
	co.cfg = *c
	co.group, err = group.Join(group.Config{Dir: filepath.Join(c.State, groupFolder), Clock: group.Clock, Log: log,
		Share: co.shared, Hear: co.hear, File: co.file, Met: func() {
			select {
			case co.met <- struct{}{}:
			default: // one that waits stands for all
			}
		}})
	if err != nil {
		return nil, errors.Join(err, state.Close())
	}
	if co.mine, err = co.claim(ctx); err != nil {
		return nil, errors.Join(err, co.group.Abandon(), state.Close())
	}
	return co, nil
}

func (co *processGroup) path(n int) string {
	return filepath.Join(co.cfg.State, fmt.Sprintf(slotForm, n))
}

// claim takes a journal for this process: one with something in it before an empty one.
func (co *processGroup) claim(ctx context.Context) (*slot, error) {
	for end := time.Now().Add(joinPatience); ; {
		for _, empty := range []bool{false, true} {
			for n := range co.slots {
				path := co.path(n)
				entries, err := os.ReadDir(path)
				if errors.Is(err, os.ErrNotExist) && empty {
					err = os.Mkdir(path, 0o700)
				}
				if (len(entries) == 0) != empty || errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrExist) {
					continue
				}
				if err != nil {
					return nil, fmt.Errorf("a journal for this member: %w", err)
				}
				s, err := co.seize(n, path)
				if s != nil || err != nil {
					return s, err
				}
			}
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("no journal is free: each of %d belongs to a member, or is being worked off by one", co.slots)
		}
		select {
		case <-time.After(joinPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// seize locks a slot, and writes down whose it is; nil if another has it.
func (co *processGroup) seize(n int, path string) (*slot, error) {
	lock, err := vfs.Lock(path)
	if err != nil || lock == nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(co.cfg.State, groupFolder, fmt.Sprintf("owner-%d", n)), []byte(co.group.ID()), 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("a member's journal: %w", err), lock.Close())
	}
	return &slot{number: n, path: path, lock: lock}, nil
}

func (co *processGroup) options(s *slot) journal.Options {
	return journal.Options{Folder: vfs.Dir(s.path), Limit: co.cfg.DiskBytes, Base: policy.MessageID(s.number+1) * slotNumbers,
		Sync: co.cfg.Sync, Log: co.log}
}

// begin opens this member's journal and the clients' listener, and learns what the others know.
func (co *processGroup) begin(ctx context.Context) (*inheritedState, net.Listener, error) {
	j, owed, err := journal.Open(co.options(co.mine))
	if err != nil {
		return nil, nil, err
	}
	co.mine.journal = j
	fail := func(err error) (*inheritedState, net.Listener, error) { return nil, nil, errors.Join(err, j.Close()) }
	state, err := co.learn(ctx)
	if err != nil {
		return fail(err)
	}
	if state != nil {
		if err := adoptOrders(j, state.Orders); err != nil {
			return fail(err)
		}
	}
	var listener net.Listener
	if co.cfg.AcceptFD > 0 {
		listener, err = inheritedListener(co.cfg.AcceptFD)
	} else {
		listener, err = co.listen(ctx, "clients", co.cfg.Listen)
	}
	if err != nil {
		return fail(err)
	}
	return &inheritedState{journal: j, owed: owed, hold: co.mine.lock, joined: state}, listener, nil
}

// adoptOrders makes a journal's orders those of the group.
func adoptOrders(j *journal.Journal, out []string) error {
	want := map[string]bool{}
	for _, name := range out {
		want[name] = true
		if err := j.Order(name, true, time.Now()); err != nil {
			return fmt.Errorf("the group's orders: %w", err)
		}
	}
	for _, name := range j.Orders() {
		if !want[name] {
			if err := j.Order(name, false, time.Now()); err != nil {
				return fmt.Errorf("the group's orders: %w", err)
			}
		}
	}
	return nil
}
