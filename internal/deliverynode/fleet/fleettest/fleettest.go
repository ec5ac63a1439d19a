// Package fleettest is a simulated fleet for tests: the messages of its nodes wait until the test delivers, drops or
// repeats them, and the test decides how each request ends. So a package on top of internal/deliverynode/fleet can be
// driven through every order of events.
package fleettest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// Fate is what becomes of a question.
type Fate int

// A question is answered, never leaves, arrives with its answer lost, or is lost on its way.
const (
	Answered Fate = iota
	NotSent
	AnswerLost
	Lost
)

// World is all nodes and what is on its way between them. It is not safe for concurrent use.
type World struct {
	// Now is every node's clock.
	Now time.Duration
	// Fate decides of questions; nil: all are answered.
	Fate     func(from, to, kind string) Fate
	nodes    map[string]*Node
	inFlight []*update
}

// New makes nodes that know of each other, alive under incarnation 1.
func New(names ...string) *World {
	w := &World{nodes: map[string]*Node{}}
	for _, name := range names {
		w.nodes[name] = &Node{world: w, name: name, updateHandlers: map[string]fleet.NewsFunc{}, requestHandlers: map[string]fleet.AskFunc{},
			table: fleet.NewTable(fleet.Record{Name: name, Incarnation: 1, Start: 1, Address: name}, 0)}
	}
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			a.table.MarkReachable(b.Self().Record, 0)
		}
	}
	return w
}

// Node is one of them.
func (w *World) Node(name string) *Node { return w.nodes[name] }

// MarkReachable lets a node hear of another as it is now; Silence ends that.
func (w *World) MarkReachable(at, of string) {
	n := w.nodes[at]
	n.changed(n.table.MarkReachable(w.nodes[of].Self().Record, w.Now))
}

// Silence makes another a suspect of a node's.
func (w *World) Silence(at, of string) {
	n := w.nodes[at]
	n.changed(n.table.Suspect(of, w.Now))
}

// Leave says a node's own word, as one other hears it.
func (w *World) Leave(at, of string) {
	rec := w.nodes[of].Self().Record
	rec.Left = rec.Incarnation
	n := w.nodes[at]
	n.changed(n.table.Merge(rec, w.Now))
}

// Remove says the staff's word at one node.
func (w *World) Remove(at, of string) {
	n := w.nodes[at]
	_, changes, _ := n.table.Remove(of, w.Now)
	n.changed(changes)
}

// Restart gives a node its next incarnation. Those whom it had not reached yet are not told what
// it had to say, and it hears nothing that was on its way to it.
func (w *World) Restart(name string) {
	n := w.nodes[name]
	n.table.SetIncarnation(n.Self().Incarnation + 1)
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m *update) bool { return m.from == name || m.to == name })
}

// update is on its way, the newest of its kind and key.
type update struct {
	from, to, kind, key string
	body                []byte
	at                  time.Duration
}

// InFlight tells what waits, by sender, receiver, kind and key, in a fixed order.
func (w *World) InFlight() (all []string) {
	for _, m := range w.inFlight {
		all = append(all, fmt.Sprint(m.from, " to ", m.to, ": ", m.kind, " ", m.key))
	}
	return all
}

// Deliver lets the i-th of what waits arrive. With twice it stays on its way as well: its
// acknowledgement was lost.
func (w *World) Deliver(i int, twice bool) {
	m := w.inFlight[i]
	if !twice {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if hear := w.nodes[m.to].updateHandlers[m.kind]; hear != nil {
		hear(w.peer(m.from), m.key, w.Now-m.at, m.body)
	}
}

// DeliverAll lets all arrive, and what comes of that, up to a number of pieces.
func (w *World) DeliverAll(most int) error {
	for range most {
		if len(w.inFlight) == 0 {
			return nil
		}
		w.Deliver(0, false)
	}
	return fmt.Errorf("%d pieces of news, and no end", most)
}

func (w *World) peer(name string) fleet.Peer {
	return fleet.Peer{Name: name, Incarnation: w.nodes[name].Self().Incarnation}
}

// Node is one node's fleet.Net.
type Node struct {
	world           *World
	name            string
	table           *fleet.Table
	updateHandlers  map[string]fleet.NewsFunc
	requestHandlers map[string]fleet.AskFunc
	changeHandlers  []func(fleet.Change)
}

var _ fleet.Net = (*Node)(nil)

func (n *Node) changed(all []fleet.Change) {
	for _, c := range all {
		if c.To.Departed() {
			n.world.inFlight = slices.DeleteFunc(n.world.inFlight, func(m *update) bool { return m.from == n.name && m.to == c.Name })
		}
		for _, hear := range n.changeHandlers {
			hear(c)
		}
	}
}

// Self is fleet.Net's, as are the next six.
func (n *Node) Self() fleet.Member {
	m, _ := n.table.Member(n.name)
	return m
}

// Members returns the node's table of members.
func (n *Node) Members() []fleet.Member { return n.table.Members() }

// Count returns the number of members that limits are divided by.
func (n *Node) Count() int { return n.table.Count(n.world.Now) }

func (n *Node) reach(to string) error {
	if m, there := n.table.Member(to); !there || m.State.Departed() || to == n.name {
		return fmt.Errorf("%w: %s", fleet.ErrUnknown, to)
	}
	return nil
}

// Tell queues news for a member, as fleet.Fleet.Tell does.
func (n *Node) Tell(to, kind, key string, body []byte) error {
	if err := n.reach(to); err != nil {
		return err
	}
	m := &update{n.name, to, kind, key, body, n.world.Now}
	for _, old := range n.world.inFlight {
		if old.from == m.from && old.to == m.to && old.kind == m.kind && old.key == m.key {
			*old = *m
			return nil
		}
	}
	n.world.inFlight = append(n.world.inFlight, m)
	slices.SortStableFunc(n.world.inFlight, func(a, b *update) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	return nil
}

// Ask asks a member and waits for the answer, as fleet.Fleet.Ask does.
func (n *Node) Ask(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	if err := n.reach(to); err != nil {
		return nil, err
	}
	fate := Answered
	if n.world.Fate != nil {
		fate = n.world.Fate(n.name, to, kind)
	}
	switch fate {
	case NotSent:
		return nil, fleet.ErrNotSent
	case Lost:
		return nil, fleet.ErrMaybe
	}
	answer := n.world.nodes[to].requestHandlers[kind]
	if answer == nil {
		return nil, fleet.AnswerError(fmt.Sprintf("nothing is known of %q", kind))
	}
	b, err := answer(ctx, n.world.peer(n.name), body)
	switch {
	case fate == AnswerLost:
		return nil, fleet.ErrMaybe
	case err != nil:
		return nil, fleet.AnswerError(err.Error())
	}
	return b, nil
}

// OnNews sets the function that receives news of a kind.
func (n *Node) OnNews(kind string, f fleet.NewsFunc) { n.updateHandlers[kind] = f }

// OnAsk sets the function that answers questions of a kind.
func (n *Node) OnAsk(kind string, f fleet.AskFunc) { n.requestHandlers[kind] = f }

// OnChange adds a function that is called for each change of a member.
func (n *Node) OnChange(f func(fleet.Change)) { n.changeHandlers = append(n.changeHandlers, f) }
