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

// heardOfSelf takes in what another node tells of this one.
func (f *Fleet) handleOwnRecord(rec Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addClaim(rec)
}

// judge keeps what a record of this node asks for until the session settles it; f.mu is held.
func (f *Fleet) addClaim(rec Record) {
	claim := f.table.ClaimFor(rec)
	if claim == (Claim{}) {
		return
	}
	f.claim.merge(claim)
	if claim.Rival != "" {
		f.claim.Rival = claim.Rival
	}
	f.wakeSession()
}

// rouse tells the session's loop that there is a claim to settle.
func (f *Fleet) wakeSession() {
	select {
	case f.claimPending <- struct{}{}:
	default:
	}
}

// resolveClaim does what the claims heard so far ask for. It returns false while another process has the
// name: the node stays outside, and the claims wait for the next call.
func (f *Fleet) resolveClaim(ctx context.Context) bool {
	f.mu.Lock()
	claim := f.claim
	f.claim = Claim{}
	rivals := slices.Compact([]string{f.rival, claim.Rival})
	f.mu.Unlock()
	for _, rival := range rivals {
		if rival != "" && f.nameInUseAt(ctx, rival) {
			f.stayOutside(rival, claim)
			return false
		}
	}
	f.raise(claim)
	return true
}

// nameInUseAt looks for a rival at an address. A rival that was found before counts as gone only when
// nobody was there rivalMisses times in a row.
func (f *Fleet) nameInUseAt(ctx context.Context, address string) bool {
	found := f.probeName(ctx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rival != address {
		f.rivalMisses = 0
		return found == present
	}
	if found != absent {
		f.rivalMisses = 0
		return true
	}
	f.rivalMisses++
	if f.rivalMisses < maxRivalMisses {
		return true
	}
	f.rival, f.rivalMisses = "", 0
	return false
}

// stayOutside keeps a claim until the rival at an address has ended.
func (f *Fleet) stayOutside(rival string, claim Claim) {
	f.mu.Lock()
	known := f.rival == rival
	f.claim.merge(claim)
	f.rival, f.state, f.why = rival, Outside, fmt.Sprintf("%s is in use at %s", f.options.Name, rival)
	f.mu.Unlock()
	if !known {
		f.options.Log.Error("fleet: this node stays outside: its name is in use", "name", f.options.Name, "at", rival)
	}
}

// raise takes the incarnation that a claim asks for. Where it can't be saved the claim is kept, and
// settled again after a pause.
func (f *Fleet) raise(claim Claim) {
	own := f.Self().Incarnation
	f.mu.Lock()
	removed := f.table.HasNewRemoval(claim)
	f.mu.Unlock()
	if removed { // also where the node was raised above the removed incarnation meanwhile
		claim.Raise = max(claim.Raise, own+1)
	}
	if claim.Raise <= own {
		return
	}
	if err := f.saveIncarnation(claim); err != nil {
		f.options.Log.Error("fleet: no new incarnation, tried again", "err", err)
		f.mu.Lock()
		f.claim.merge(claim)
		f.mu.Unlock()
		time.AfterFunc(retryDelay, f.wakeSession)
		return
	}
	f.stats.raised.Add(1)
	f.mu.Lock()
	f.table.SetIncarnation(claim.Raise)
	if removed {
		f.table.Rejoined()
	}
	f.mu.Unlock()
	f.options.Log.Info("fleet: a new incarnation", "incarnation", claim.Raise, "removed", removed, "old folder", claim.Old)
	if removed { // whoever builds on members hears it as of any other
		f.notifyMu.Lock()
		defer f.notifyMu.Unlock()
		f.notifyChanges([]Change{{f.options.Name, own, Alive, Removed}, {f.options.Name, claim.Raise, Removed, Alive}})
	}
}

// saveIncarnation puts the incarnation that a claim asks for on disk. Those who keep something in the
// folder hear first that it is old, as the folder looks up to date afterwards.
func (f *Fleet) saveIncarnation(claim Claim) error {
	var err error
	if claim.Old {
		for _, hear := range f.onStaleFolder {
			err = errors.Join(err, hear())
		}
	}
	if err != nil {
		return err
	}
	id := f.id
	id.Incarnation = claim.Raise
	if err := id.save(f.options.Folder); err != nil {
		return err
	}
	f.id = id
	return nil
}

// queryName asks up to askedSeeds seeds what they know of this node's name before it says its own: who has it,
// and whether it was removed. Nobody waits for it but the joining itself.
func (f *Fleet) queryName(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, nameQueryTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, s := range f.drawSeeds(maxQueriedSeeds) {
		asked.Go(func() {
			to, err := netip.ParseAddrPort(s.Address)
			if err != nil {
				return
			}
			conn, w, err := f.hello(ctx, to, s.Name, true)
			if err != nil {
				f.options.Log.Debug("fleet: asking who has this name", "of", s.Name, "err", err)
				return
			}
			_ = conn.Close()
			f.mergeWelcome(w)
		})
	}
	asked.Wait()
}

// drawSeeds draws so many seeds, or returns all where there are no more.
func (f *Fleet) drawSeeds(count int) []Node {
	if len(f.seeds) <= count {
		return f.seeds
	}
	f.mu.Lock()
	order := f.rand.Perm(len(f.seeds))
	f.mu.Unlock()
	drawn := make([]Node, 0, count)
	for _, i := range order[:count] {
		drawn = append(drawn, f.seeds[i])
	}
	return drawn
}

// meet takes in what a welcome tells.
func (f *Fleet) mergeWelcome(w welcome) {
	f.updateTable(func(t *Table, now time.Duration) []Change { return t.Merge(w.Self, now) })
	if w.Known.Name == f.options.Name {
		f.handleOwnRecord(w.Known)
	}
}

// presence is what a look at another process of this name finds. Silence leaves it unknown.
type presence int

const (
	unknownPresence presence = iota
	present
	absent
)

// lookAt looks whether a process answers to this node's name at an address.
func (f *Fleet) probeName(ctx context.Context, address string) presence {
	to, err := netip.ParseAddrPort(address)
	if err != nil || to == f.address {
		return absent
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	f.mu.Lock()
	candidate := f.gossip == nil
	f.mu.Unlock()
	conn, w, err := f.hello(ctx, to, f.options.Name, candidate)
	var timeout net.Error
	switch {
	case err != nil && (ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()):
		return unknownPresence
	case err != nil:
		return absent // refused or reset: nobody of this program is there
	}
	_ = conn.Close()
	if w.Self.Name == f.options.Name && w.Self.Start != f.Self().Start {
		return present
	}
	return absent
}
