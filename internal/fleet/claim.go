package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// heardOfSelf hears what others say of this node.
func (f *Fleet) heardOfSelf(rec Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge(rec)
}

func (f *Fleet) judge(rec Record) {
	c := f.table.Mine(rec)
	if c == (Claim{}) {
		return
	}
	f.claim.keep(c)
	if c.Rival != "" {
		f.claim.Rival = c.Rival
	}
	f.rouse()
}

// rouse tells the session's loop that there is a claim to settle.
func (f *Fleet) rouse() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// settleClaim does what was heard asks for; false: another process has the name, now.
func (f *Fleet) settleClaim(ctx context.Context) bool {
	f.mu.Lock()
	c := f.claim
	f.claim = Claim{}
	rivals := slices.Compact([]string{f.rival, c.Rival})
	f.mu.Unlock()
	for _, rival := range rivals {
		seen := f.isThere(ctx, rival)
		f.mu.Lock()
		known := rival != "" && f.rival == rival
		if known && seen == gone {
			f.missed++
		} else {
			f.missed = 0
		}
		if seen != there && (!known || seen == gone && f.missed >= 2) {
			if known {
				f.rival = ""
			}
			f.mu.Unlock()
			continue
		}
		f.claim.keep(c) // until it is let in
		f.rival, f.state, f.why = rival, Outside, fmt.Sprintf("%s is in use at %s", f.o.Name, rival)
		f.mu.Unlock()
		if !known {
			f.o.Log.Error("fleet: this node stays outside: its name is in use", "name", f.o.Name, "at", rival)
		}
		return false
	}
	own := f.Self()
	f.mu.Lock()
	removed := f.table.Removes(c)
	f.mu.Unlock()
	if removed { // also where it was raised meanwhile
		c.Raise = max(c.Raise, own.Incarnation+1)
	}
	if c.Raise <= own.Incarnation {
		return true
	}
	id := f.id
	id.Incarnation = c.Raise
	var err error
	if c.Old { // before the folder has an incarnation that looks up to date
		for _, hear := range f.onOld {
			err = errors.Join(err, hear())
		}
	}
	if err == nil {
		err = id.save(f.o.Folder)
	}
	if err != nil {
		f.o.Log.Error("fleet: no new incarnation, tried again", "err", err)
		f.mu.Lock()
		f.claim.keep(c)
		f.mu.Unlock()
		time.AfterFunc(againAfter, f.rouse)
		return true
	}
	f.id = id
	f.stats.raised.Add(1)
	f.mu.Lock()
	f.table.Raised(id.Incarnation)
	if removed {
		f.table.Renewed()
	}
	f.mu.Unlock()
	f.o.Log.Info("fleet: a new incarnation", "incarnation", id.Incarnation, "removed", removed, "old folder", c.Old)
	if removed { // whoever builds on members hears it as of any other
		f.inOrder.Lock()
		defer f.inOrder.Unlock()
		f.tellChanges([]Change{{f.o.Name, own.Incarnation, Alive, Removed}, {f.o.Name, id.Incarnation, Removed, Alive}})
	}
	return true
}

// lookAround asks a few seeds what they know of this node's name before it says its own: who has it,
// and whether it was removed. Nobody waits for it but the joining itself.
func (f *Fleet) lookAround(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askWho)
	defer cancel()
	seeds := f.seeds
	if len(seeds) > 3 {
		f.mu.Lock()
		order := f.rand.Perm(len(seeds))
		f.mu.Unlock()
		seeds = []Node{seeds[order[0]], seeds[order[1]], seeds[order[2]]}
	}
	var asked sync.WaitGroup
	for _, s := range seeds {
		asked.Go(func() {
			to, err := netip.ParseAddrPort(s.Address)
			if err != nil {
				return
			}
			conn, w, err := f.hello(ctx, to, s.Name, true)
			if err != nil {
				f.o.Log.Debug("fleet: asking who has this name", "of", s.Name, "err", err)
				return
			}
			_ = conn.Close()
			f.meet(w)
		})
	}
	asked.Wait()
}

// meet takes in what a welcome tells.
func (f *Fleet) meet(w welcome) {
	f.learn(func(t *Table, now time.Duration) []Change { return t.Merge(w.Self, now) })
	if w.Known.Name == f.o.Name {
		f.heardOfSelf(w.Known)
	}
}

// What a look at another process of this name finds. One that is silent is not gone.
type sightOf int

const (
	unsure sightOf = iota
	there
	gone
)

// isThere looks whether a process answers to this node's name at an address.
func (f *Fleet) isThere(ctx context.Context, address string) sightOf {
	to, err := netip.ParseAddrPort(address)
	if err != nil || to == f.address {
		return gone
	}
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	f.mu.Lock()
	candidate := f.gossip == nil
	f.mu.Unlock()
	conn, w, err := f.hello(ctx, to, f.o.Name, candidate)
	var timeout net.Error
	switch {
	case err != nil && (ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()):
		return unsure
	case err != nil:
		return gone // refused or reset: nobody of this program is there
	}
	_ = conn.Close()
	if w.Self.Name == f.o.Name && w.Self.Start != f.Self().Start {
		return there
	}
	return gone
}
