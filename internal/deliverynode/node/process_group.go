package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/policy"
)

// processGroup is this process's membership in a group of processes that form one node.
type processGroup struct {
	group *group.Group
	cfg   Config
	log   *slog.Logger
	slots int
	own   *slot
	state *os.File // shared lock that excludes processes without a group

	loopReady    chan struct{} // closed when loop is set
	shareReady   chan struct{} // closed when the module has a share to use
	loop         *loop
	shares       chan [2]int // parts and kept of the newest share
	memberJoined chan struct{}

	mu            sync.Mutex
	adopted       []*slot
	skipped       map[int]string // fingerprints of journals without pending messages, or that can't be read, by slot
	owners        map[int]string
	memberEndedAt time.Time
	listeners     map[string]*net.TCPListener
	adoptions     int
	stale         staleness
}

// lockStateShared takes a shared lock on the state folder, as all members do: a process without a group takes an exclusive one.
func lockStateShared(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("opening the state folder: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = fmt.Errorf("%s is in use by a process that is in no group", dir)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// fetchState gets the state of a member that serves; nil where there is none. It returns an error if other members run and none
// of them answers, because joining is not safe then.
func (pg *processGroup) fetchState(ctx context.Context) (*memberState, error) {
	for end := time.Now().Add(joinTimeout); ; {
		ids, err := pg.group.Members()
		if err != nil {
			return nil, fmt.Errorf("joining the group: %w", err)
		}
		unheard := len(ids) > 0
		for _, id := range ids {
			var s memberState
			if err := pg.group.Ask(ctx, id, requestState, nil, &s); err != nil {
				pg.log.Debug("group: a member did not answer", "member", id, "err", err)
				continue
			}
			if !s.Starting {
				return &s, nil
			}
			unheard = false
		}
		if !unheard {
			return nil, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%d members run and none of them answers: their orders are unknown", len(ids))
		}
		select {
		case <-time.After(joinPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// listen returns a listener that all members share: it gets that of another member, or opens the first.
func (pg *processGroup) listen(ctx context.Context, name, addr string) (net.Listener, error) {
	var l net.Listener
	for end := time.Now().Add(joinTimeout); l == nil; {
		ids, err := pg.group.Members()
		if err != nil {
			return nil, err
		}
		for _, id := range ids {
			f, err := pg.group.File(ctx, id, name+" "+addr)
			if err != nil || f == nil {
				continue
			}
			l, err = net.FileListener(f)
			if err := errors.Join(err, f.Close()); err != nil {
				return nil, fmt.Errorf("sharing the group's listener: %w", err)
			}
			break
		}
		if l != nil {
			break
		}
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", addr); err != nil {
			l = nil // another member may have the address and not serve yet
			if time.Now().After(end) || !errors.Is(err, syscall.EADDRINUSE) {
				return nil, fmt.Errorf("listening for %s: %w", name, err)
			}
			select {
			case <-time.After(joinPause):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	pg.mu.Lock()
	pg.listeners[name+" "+addr] = l.(*net.TCPListener)
	pg.mu.Unlock()
	return l, nil
}

// listenerFile returns a listener's descriptor for another member; nil if there is none.
func (pg *processGroup) listenerFile(name string) *os.File {
	pg.mu.Lock()
	l := pg.listeners[name]
	pg.mu.Unlock()
	if l == nil {
		return nil
	}
	f, err := l.File()
	if err != nil { // the listener is closed: this member is leaving
		return nil
	}
	return f
}

// receiveShare receives this member's share from the group; it replaces one that has not been handled.
func (pg *processGroup) receiveShare(parts, kept int) {
	for {
		select {
		case pg.shares <- [2]int{parts, kept}:
			return
		default:
		}
		select {
		case <-pg.shares:
		default:
		}
	}
}

// setLoop sets the loop; from then on the group's events are passed to it.
func (pg *processGroup) setLoop(l *loop) {
	pg.loop = l
	close(pg.loopReady)
}

// run runs the membership in the group until the context ends.
func (pg *processGroup) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() {
		if err := pg.group.Run(ctx); err != nil {
			pg.log.Warn("group: leaving failed", "err", err)
		}
	})
	select {
	case <-pg.loopReady:
	case <-ctx.Done():
	}
	tick := time.NewTicker(group.HeartbeatEvery)
	defer tick.Stop()
	defer running.Wait()
	for ctx.Err() == nil {
		select {
		case s := <-pg.shares:
			alone := false
			if s[0] > 0 && pg.adoptAbandoned() && pg.alone() {
				alone = true // no other member uses a share, and the calls of former members are known from their journals
			}
			pg.loop.post(policy.ShareAssigned{Parts: s[0], Whole: group.Whole, Kept: s[1], Alone: alone})
		case <-pg.memberJoined:
			pg.loop.post(membersJoined{})
		case <-tick.C:
			pg.adoptAbandoned()
			pg.closeFinished()
		case <-ctx.Done():
		}
	}
}

func (pg *processGroup) alone() bool {
	ids, err := pg.group.Members()
	return err == nil && len(ids) == 0
}

// wait waits until a share is in use. It returns false if the context ends before that.
func (pg *processGroup) wait(ctx context.Context) bool {
	select {
	case <-pg.shareReady:
		return true
	case <-ctx.Done():
		return false
	}
}
