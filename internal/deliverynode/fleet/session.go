package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Prepare takes the next incarnation and listens. An error that a start should end with is one
// of ErrOtherNode and those of Listen; a disk that takes nothing is none, Run tries again.
func (f *Fleet) Prepare() error {
	if f.transport != nil {
		return nil
	}
	transport, err := f.options.Listen(f.listen) // first: whoever has the address has the file too
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	id, spoilt, err := loadIdentity(f.options.Folder, f.options.File.Fleet, f.options.Name)
	if err != nil {
		return errors.Join(fmt.Errorf("fleet: %w", err), transport.Close())
	}
	if spoilt != nil {
		f.options.Log.Warn("fleet: the incarnation is lost; others may know it", "err", spoilt)
	}
	id.Incarnation = max(id.Incarnation, f.id.Incarnation) + 1
	if err := id.save(f.options.Folder); err != nil {
		f.options.Log.Error("fleet: not joined, tried again", "err", errors.Join(err, transport.Close()))
		f.setState(Waiting, err.Error())
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id, f.transport = id, transport
	return nil
}

// Run takes part until the context ends. Leave tells, then, whether the node has ended its
// work: it says so only in that case, and else is silent.
func (f *Fleet) Run(ctx context.Context, leave func() bool) {
	for ctx.Err() == nil {
		if err := f.Prepare(); err != nil {
			f.setState(Waiting, err.Error())
			f.options.Log.Error("fleet: not joined, tried again", "err", err)
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

// session is one life in the fleet, under one incarnation or those that it is raised to.
func (f *Fleet) session(ctx context.Context, leave func() bool) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	self := Record{Name: f.options.Name, Incarnation: f.id.Incarnation, Start: rand.Uint64() | 1, Address: f.address.String()}
	f.mu.Lock()
	f.ctx, f.running, f.claim, f.state, f.why = life, &sync.WaitGroup{}, Claim{}, Starting, ""
	old := f.table
	f.table = NewTable(self, f.options.Clock())
	for _, rec := range old.Records() { // what was known outlasts the session
		f.table.Merge(rec, f.options.Clock())
	}
	f.mu.Unlock()
	transport := f.transport
	defer func() {
		end()
		if err := transport.Close(); err != nil {
			f.options.Log.Debug("fleet: closing", "err", err)
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
		if !f.resolveClaim(ctx) { // somebody has the name
			wait(ctx, rivalCheckInterval)
			f.queryName(ctx) // outside nobody else tells of a removal
			continue
		}
		g, err := f.startGossip()
		if err != nil {
			f.setState(Waiting, err.Error())
			f.options.Log.Error("fleet: not joined, tried again", "err", err)
			wait(ctx, retryDelay)
			continue
		}
		f.runJoined(ctx, g, leave)
	}
}

// runJoined takes part in gossip until the context ends or the name turns out to be another's too.
func (f *Fleet) runJoined(ctx context.Context, g *gossip, leave func() bool) {
	life, end := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.gossip, f.state, f.why = g, Joined, ""
	f.mu.Unlock()
	f.options.Log.Info("fleet: joined", "fleet", f.options.File.Fleet, "name", f.options.Name, "incarnation", f.Self().Incarnation)
	var meeting sync.WaitGroup
	meeting.Go(func() { g.rejoin(life) })
	working, rest := context.WithCancel(f.ctx)
	var joinedTasks sync.WaitGroup
	for _, run := range f.joinedTasks {
		joinedTasks.Go(func() { run(working) })
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
				f.options.Log.Debug("fleet: telling of an incarnation", "err", err)
			}
			wait(ctx, minRaiseInterval)
		case <-ctx.Done():
		}
	}
	rest()
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
	meeting.Wait()
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
