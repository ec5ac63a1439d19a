package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Prepare listens and takes the next incarnation. It returns the errors that should end a start: ErrOtherNode
// and those of Listen. A failed write to the disk is not among them, because Run retries it.
func (f *Fleet) Prepare() error {
	if f.transport != nil {
		return nil
	}
	transport, err := f.options.Listen(f.listen) // first, because the process that holds the address also owns the file
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	id, unreadable, err := loadIdentity(f.options.Folder, f.options.File.Fleet, f.options.Name)
	if err != nil {
		return errors.Join(fmt.Errorf("fleet: %w", err), transport.Close())
	}
	if unreadable != nil {
		f.options.Log.Warn("fleet: the saved incarnation is unreadable; other nodes may know it", "err", unreadable)
	}
	id.Incarnation = max(id.Incarnation, f.id.Incarnation) + 1
	if err := id.save(f.options.Folder); err != nil {
		f.options.Log.Error("fleet: not joined; retrying", "err", errors.Join(err, transport.Close()))
		f.setState(Waiting, err.Error())
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id, f.transport = id, transport
	return nil
}

// Run runs the membership until the context ends. leave then reports whether the node has finished its
// work; only in that case does the node announce that it has left.
func (f *Fleet) Run(ctx context.Context, leave func() bool) {
	for ctx.Err() == nil {
		if err := f.Prepare(); err != nil {
			f.setState(Waiting, err.Error())
			f.options.Log.Error("fleet: not joined; retrying", "err", err)
		}
		if f.transport == nil {
			wait(ctx, retryDelay)
			continue
		}
		f.session(ctx, leave)
	}
	f.setState(Ended, "")
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Fleet) setState(state, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.why = state, why
}

// session runs one membership: from listening to the end of the transport. The incarnation may be raised within it.
func (f *Fleet) session(ctx context.Context, leave func() bool) {
	sessionCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	self := Record{Name: f.options.Name, Incarnation: f.id.Incarnation, Start: rand.Uint64() | 1, Address: f.address.String()}
	f.mu.Lock()
	f.ctx, f.running, f.claim, f.state, f.why = sessionCtx, &sync.WaitGroup{}, Claim{}, Starting, ""
	old := f.table
	f.table = NewTable(self, f.options.Clock())
	for _, rec := range old.Records() { // the records of the last session are kept
		f.table.Merge(rec, f.options.Clock())
	}
	f.mu.Unlock()
	transport := f.transport
	defer func() {
		end()
		if err := transport.Close(); err != nil {
			f.options.Log.Debug("fleet: closing the transport failed", "err", err)
		}
		f.mu.Lock()
		f.transport = nil
		f.mu.Unlock()
		f.running.Wait()
	}()
	f.running.Go(func() { f.acceptAll(transport) })
	f.running.Go(func() { f.receiveAll(transport) })
	f.queryName(ctx)
	for ctx.Err() == nil {
		if !f.resolveClaim(ctx) { // another process uses the name
			wait(ctx, rivalCheckInterval)
			f.queryName(ctx) // outside the fleet, only this query finds out about a removal
			continue
		}
		g, err := f.startGossip()
		if err != nil {
			f.setState(Waiting, err.Error())
			f.options.Log.Error("fleet: not joined; retrying", "err", err)
			wait(ctx, retryDelay)
			continue
		}
		f.runJoined(ctx, g, leave)
	}
}

// runJoined runs gossip until the context ends or another process is found to use the name.
func (f *Fleet) runJoined(ctx context.Context, g *gossip, leave func() bool) {
	gossipCtx, end := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.gossip, f.state, f.why = g, Joined, ""
	f.mu.Unlock()
	f.options.Log.Info("fleet: joined", "fleet", f.options.File.Fleet, "name", f.options.Name, "incarnation", f.Self().Incarnation)
	var rejoining sync.WaitGroup
	rejoining.Go(func() { g.rejoin(gossipCtx) })
	tasksCtx, stopTasks := context.WithCancel(f.ctx)
	var joinedTasks sync.WaitGroup
	for _, run := range f.joinedTasks {
		joinedTasks.Go(func() { run(tasksCtx) })
	}
	fenced := false
	for ctx.Err() == nil && !fenced {
		select {
		case <-f.claimPending:
			if !f.resolveClaim(ctx) {
				fenced = true
				break
			}
			if err := g.list.UpdateNode(streamTimeout); err != nil {
				f.options.Log.Debug("fleet: announcing an incarnation failed", "err", err)
			}
			wait(ctx, minRaiseInterval)
		case <-ctx.Done():
		}
	}
	stopTasks()
	joinedTasks.Wait()
	if !fenced && leave() {
		rec := f.Self().Record
		rec.Left = rec.Incarnation
		g.leave(rec, leaveTimeout)
	}
	f.mu.Lock()
	f.gossip = nil
	f.mu.Unlock()
	f.closeLinks()
	end()
	g.end()
	rejoining.Wait()
}

func (f *Fleet) closeLinks() {
	f.mu.Lock()
	links := f.links
	f.links = map[string]*link{}
	f.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
