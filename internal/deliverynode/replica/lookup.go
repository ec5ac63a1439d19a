package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// missing is a member that became unreachable, so that its clients turn to other nodes.
type missing struct {
	since   time.Duration
	askedAt time.Duration // when the nodes were last asked which of them have its messages
	holders []string      // the nodes that have them
}

// fetch requests a page of a copy. The answer is a fetched.
type fetch struct {
	Owner string `cbor:"1,keyasint"`
	Log   uint64 `cbor:"2,keyasint"`
	From  int    `cbor:"3,keyasint,omitempty"` // index of the first entry
}

// fetched is a page of a copy.
type fetched struct {
	Token    uint64   `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint,omitempty"`
	Entries  []Entry  `cbor:"3,keyasint,omitempty"`
	More     bool     `cbor:"4,keyasint,omitempty"`
	Over     []string `cbor:"5,keyasint,omitempty"` // with the first page
	Orders   []string `cbor:"6,keyasint,omitempty"`
	Writer   string   `cbor:"7,keyasint,omitempty"`
}

// answerFetch handles kindFetch.
func (k *Keeper) answerFetch(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
	var q fetch
	if err := decoding.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	k.mu.Lock()
	h := k.copies[key(q.Owner, q.Log)]
	k.mu.Unlock()
	if h == nil {
		return encoding.Marshal(fetched{})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return encoding.Marshal(h.copy.page(q.From))
}

// page returns the entries of a copy from an index on.
func (c *Copy) page(from int) fetched {
	f := fetched{Token: c.meta.Token, Complete: c.meta.Complete, Orders: c.meta.Orders.Out}
	if from == 0 {
		f.Over = c.over.IDs()
	}
	all := c.Entries()
	bytes := 0
	for i := min(from, len(all)); i < len(all); i++ {
		if bytes += size(&all[i]); bytes > pageBytes && len(f.Entries) > 0 {
			f.More = true
			break
		}
		f.Entries = append(f.Entries, all[i])
	}
	return f
}

// have asks which of the messages a node has or had. The answer is their ids. With an owner, only that log counts: a copy of
// it, or the log itself if the node took it over.
type have struct {
	IDs   []string `cbor:"1,keyasint"`
	Owner string   `cbor:"2,keyasint,omitempty"`
	Log   uint64   `cbor:"3,keyasint,omitempty"`
}

// answerHave handles kindHave.
func (k *Keeper) answerHave(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
	var q have
	if err := decoding.Unmarshal(body, &q); err != nil || len(q.IDs) > maxQueried {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	only := ""
	if q.Owner != "" {
		only = key(q.Owner, q.Log)
	}
	var a have
	for _, id := range q.IDs {
		if k.options.Host.Knows(id) || k.knows(id, only) {
			a.IDs = append(a.IDs, id)
		}
	}
	return encoding.Marshal(a)
}

// knows reports whether a copy or a log at this node has or had a message. If only is set, just the log with that key counts.
func (k *Keeper) knows(id, only string) bool {
	k.mu.Lock()
	var held []*storedCopy
	for key, h := range k.copies {
		if only == "" || only == key {
			held = append(held, h)
		}
	}
	var works []*Work
	for key, w := range k.works {
		if only == "" || only == key {
			works = append(works, w)
		}
	}
	k.mu.Unlock()
	for _, w := range works {
		if w.knows(id) {
			return true
		}
	}
	for _, h := range held {
		h.mu.Lock()
		known := h.copy.Knows(id)
		h.mu.Unlock()
		if known {
			return true
		}
	}
	return false
}

// queryMessages asks a node which of the messages it has or had.
func (k *Keeper) queryMessages(ctx context.Context, of string, q have) ([]string, error) {
	body, err := encoding.Marshal(q)
	if err != nil {
		return nil, err
	}
	text, err := k.options.Net.Ask(ctx, of, kindHave, body)
	if err != nil {
		return nil, err
	}
	var a have
	return a.IDs, decoding.Unmarshal(text, &a)
}

// who asks a node which of the owners' messages it has, in copies or in logs that it works on. The answer is the owners' names.
type who struct {
	Owners []string `cbor:"1,keyasint"`
}

// answerWho handles kindWho.
func (k *Keeper) answerWho(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
	var q who
	if err := decoding.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	var a who
	for _, owner := range q.Owners {
		if k.hasOf(owner) {
			a.Owners = append(a.Owners, owner)
		}
	}
	return encoding.Marshal(a)
}

// hasOf reports whether this node has a log or a copy of a log of an owner.
func (k *Keeper) hasOf(owner string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.works {
		if w.owner == owner {
			return true
		}
	}
	for _, h := range k.copies {
		if h.owner == owner {
			return true
		}
	}
	return false
}

// dueMissing returns the unreachable members for which it is time to ask which nodes have their messages.
func (k *Keeper) dueMissing() (names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Clock()
	for name, m := range k.missing {
		if now-m.since > missingFor {
			delete(k.missing, name)
		} else if now-m.askedAt > whoEvery {
			m.askedAt = now
			names = append(names, name)
		}
	}
	return names
}

// queryOwners finds out which nodes have the messages of unreachable members. The nodes are asked periodically, not for each
// incoming message.
func (k *Keeper) queryOwners(ctx context.Context, names []string) {
	body, err := encoding.Marshal(who{names})
	if err != nil {
		k.options.Log.Error("copies: encoding a query for owners failed", "err", err)
		return
	}
	var mu sync.Mutex
	found := map[string][]string{}
	answered := map[string]bool{}
	k.forEachMember(ctx, func(ctx context.Context, of string) {
		text, err := k.options.Net.Ask(ctx, of, kindWho, body)
		var a who
		if err != nil || decoding.Unmarshal(text, &a) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answered[of] = true
		for _, owner := range a.Owners {
			found[owner] = append(found[owner], of)
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range names {
		if m := k.missing[name]; m != nil {
			// A node that did not answer this time is assumed to still have the messages.
			kept := slices.DeleteFunc(m.holders, func(of string) bool { return answered[of] })
			m.holders = append(kept, found[name]...)
		}
	}
}

// ErrUnknown is returned when a node that may have a message did not answer.
var ErrUnknown = errors.New("whether another node has the message is not known")

// Elsewhere reports whether another node has a message that a client submits here, or a copy of it. It asks other nodes only
// while some member is unreachable, because that member's clients then turn to other nodes. It fails with ErrUnknown if no
// node has reported the message, and a node that is alive and has messages of an unreachable member did not answer.
func (k *Keeper) Elsewhere(id string) (bool, error) {
	k.mu.Lock()
	var holders []string
	for _, m := range k.missing {
		holders = append(holders, m.holders...)
	}
	asks := k.joined && len(k.missing) > 0
	k.mu.Unlock()
	if !asks {
		return false, nil
	}
	if k.knows(id, "") {
		return true, nil
	}
	alive := k.aliveMembers()
	slices.Sort(holders)
	ctx, cancel := context.WithTimeout(context.Background(), haveTime)
	defer cancel()
	var yes, unanswered atomic.Bool
	var asked sync.WaitGroup
	for _, name := range slices.Compact(holders) {
		asked.Go(func() {
			known, err := k.queryMessages(ctx, name, have{IDs: []string{id}})
			switch {
			case err != nil && alive[name]:
				unanswered.Store(true)
			case len(known) > 0:
				yes.Store(true)
				cancel()
			}
		})
	}
	asked.Wait()
	if !yes.Load() && unanswered.Load() {
		return false, ErrUnknown
	}
	return yes.Load(), nil
}

// aliveMembers returns the names of the members that are alive, as far as this node knows.
func (k *Keeper) aliveMembers() map[string]bool {
	alive := map[string]bool{}
	for _, m := range k.options.Net.Members() {
		alive[m.Name] = m.State == fleet.Alive
	}
	return alive
}

// candidatesAnd returns the possible holders of a log's copies, including this node, the best first.
func (k *Keeper) candidatesAnd(owner string, log uint64) []string {
	all := []string{k.options.Name}
	for _, m := range k.options.Net.Members() {
		if m.Name != k.options.Name && m.Name != owner && m.State == fleet.Alive {
			all = append(all, m.Name)
		}
	}
	return Rank(owner, log, k.options.Locality, all)
}
