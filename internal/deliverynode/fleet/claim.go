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

// handleOwnRecord processes another node's record of this node.
func (f *Fleet) handleOwnRecord(rec Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addClaim(rec)
}

// addClaim records what another node's record of this node demands, for the session to resolve; f.mu is held.
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

// wakeSession signals the session's loop that there is a claim to resolve.
func (f *Fleet) wakeSession() {
	select {
	case f.claimPending <- struct{}{}:
	default:
	}
}

// resolveClaim carries out the claims received so far. It returns false while another process uses the
// name: the node then stays outside, and the claims are kept for the next call.
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

// nameInUseAt checks for a rival at an address. A rival that was found before counts as gone only after
// maxRivalMisses consecutive checks that found no process.
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

// stayOutside sets the state Outside and keeps the claim until the rival at an address has ended.
func (f *Fleet) stayOutside(rival string, claim Claim) {
	f.mu.Lock()
	known := f.rival == rival
	f.claim.merge(claim)
	f.rival, f.state, f.why = rival, Outside, fmt.Sprintf("%s is in use at %s", f.options.Name, rival)
	f.mu.Unlock()
	if !known {
		f.options.Log.Error("fleet: not joined: another process uses this node's name", "name", f.options.Name, "at", rival)
	}
}

// raise takes the incarnation that a claim demands. If it cannot be saved, the claim is kept and
// resolved again after a pause.
func (f *Fleet) raise(claim Claim) {
	own := f.Self().Incarnation
	f.mu.Lock()
	removed := f.table.HasNewRemoval(claim)
	f.mu.Unlock()
	if removed { // even if the node has since been raised above the removed incarnation
		claim.Raise = max(claim.Raise, own+1)
	}
	if claim.Raise <= own {
		return
	}
	if err := f.saveIncarnation(claim); err != nil {
		f.options.Log.Error("fleet: saving a new incarnation failed; retrying", "err", err)
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
	f.options.Log.Info("fleet: new incarnation", "incarnation", claim.Raise, "removed", removed, "old folder", claim.StaleFolder)
	if removed { // handlers of changes get this node's removal like that of any member
		f.notifyMu.Lock()
		defer f.notifyMu.Unlock()
		f.notifyChanges([]Change{{f.options.Name, own, Alive, Removed}, {f.options.Name, claim.Raise, Removed, Alive}})
	}
}

// saveIncarnation writes the incarnation that a claim demands to disk. For a stale state directory the
// handlers of OnStaleFolder run first, because the directory looks up to date afterwards.
func (f *Fleet) saveIncarnation(claim Claim) error {
	var err error
	if claim.StaleFolder {
		for _, handle := range f.onStaleFolder {
			err = errors.Join(err, handle())
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

// queryName asks up to maxQueriedSeeds seeds, before the node announces itself, which process uses its name
// and whether the name was removed. It delays only the joining.
func (f *Fleet) queryName(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, nameQueryTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, s := range f.drawSeeds(maxQueriedSeeds) {
		queries.Go(func() {
			to, err := netip.ParseAddrPort(s.Address)
			if err != nil {
				return
			}
			conn, w, err := f.hello(ctx, to, s.Name, true)
			if err != nil {
				f.options.Log.Debug("fleet: querying a seed for this node's name failed", "of", s.Name, "err", err)
				return
			}
			_ = conn.Close()
			f.mergeWelcome(w)
		})
	}
	queries.Wait()
}

// drawSeeds returns count random seeds, or all if there are no more.
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

// mergeWelcome merges the records of a welcome into the table.
func (f *Fleet) mergeWelcome(w welcome) {
	f.updateTable(func(t *Table, now time.Duration) []Change { return t.Merge(w.Self, now) })
	if w.Known.Name == f.options.Name {
		f.handleOwnRecord(w.Known)
	}
}

// presence is the result of a check for another process of this name. A timeout leaves it unknown.
type presence int

const (
	unknownPresence presence = iota
	present
	absent
)

// probeName checks whether another process at an address uses this node's name.
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
		return absent // refused or reset: no process of a fleet is there
	}
	_ = conn.Close()
	if w.Self.Name == f.options.Name && w.Self.Start != f.Self().Start {
		return present
	}
	return absent
}
