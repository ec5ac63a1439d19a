// Package fleettest is a simulated fleet for tests: the messages of its nodes are queued until the test delivers, drops or
// repeats them, and the test decides how each request ends. A package built on internal/deliverynode/fleet can thus be
// tested with every order of events.
package fleettest

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// Fate is the outcome of a request.
type Fate int

// A request is answered, is not sent, arrives but its answer is lost, or is lost itself.
const (
	Answered Fate = iota
	NotSent
	AnswerLost
	Lost
)

// World has all nodes and the messages in flight between them. It is not safe for concurrent use.
type World struct {
	// Now is the time of every node's clock.
	Now time.Duration
	// Fate decides the outcome of a request; nil: all are answered.
	Fate     func(from, to, kind string) Fate
	nodes    map[string]*Node
	inFlight []*update
}

// New returns a world of nodes that all have each other as alive members with incarnation 1.
func New(names ...string) *World {
	w := &World{nodes: map[string]*Node{}}
	for _, name := range names {
		w.nodes[name] = &Node{world: w, name: name, updateHandlers: map[string]fleet.UpdateFunc{}, requestHandlers: map[string]fleet.AskFunc{},
			table: fleet.NewTable(fleet.Record{Name: name, Incarnation: 1, Start: 1, Address: name}, 0)}
	}
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			a.table.MarkReachable(b.Self().Record, 0)
		}
	}
	return w
}

// Node returns the node of a name.
func (w *World) Node(name string) *Node { return w.nodes[name] }

// MarkReachable makes a node reachable for another one under its current record; Silence ends that.
func (w *World) MarkReachable(at, of string) {
	n := w.nodes[at]
	n.changed(n.table.MarkReachable(w.nodes[of].Self().Record, w.Now))
}

// Silence makes node at suspect node of.
func (w *World) Silence(at, of string) {
	n := w.nodes[at]
	n.changed(n.table.Suspect(of, w.Now))
}

// Leave delivers node of's announcement of its leaving to node at.
func (w *World) Leave(at, of string) {
	rec := w.nodes[of].Self().Record
	rec.Left = rec.Incarnation
	n := w.nodes[at]
	n.changed(n.table.Merge(rec, w.Now))
}

// Remove removes node of at node at, as an operator does.
func (w *World) Remove(at, of string) {
	n := w.nodes[at]
	_, changes, _ := n.table.Remove(of, w.Now)
	n.changed(changes)
}

// Restart gives a node its next incarnation. Updates in flight from it and to it are lost.
func (w *World) Restart(name string) {
	n := w.nodes[name]
	n.table.SetIncarnation(n.Self().Incarnation + 1)
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m *update) bool { return m.from == name || m.to == name })
}

// update is an update in flight, the newest of its kind and key.
type update struct {
	from, to, kind, key string
	body                []byte
	at                  time.Duration
}

// InFlight lists the updates in flight by sender, receiver, kind and key, in a fixed order.
func (w *World) InFlight() (all []string) {
	for _, m := range w.inFlight {
		all = append(all, fmt.Sprint(m.from, " to ", m.to, ": ", m.kind, " ", m.key))
	}
	return all
}

// Deliver delivers the i-th update in flight. With twice it stays in flight too, as if its
// acknowledgement had been lost.
func (w *World) Deliver(i int, twice bool) {
	m := w.inFlight[i]
	if !twice {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if handle := w.nodes[m.to].updateHandlers[m.kind]; handle != nil {
		handle(w.peer(m.from), m.key, w.Now-m.at, m.body)
	}
}

// DeliverAll delivers all updates, including those sent in response. It fails after most updates.
func (w *World) DeliverAll(most int) error {
	for range most {
		if len(w.inFlight) == 0 {
			return nil
		}
		w.Deliver(0, false)
	}
	return fmt.Errorf("updates still in flight after %d deliveries", most)
}

func (w *World) peer(name string) fleet.Peer {
	return fleet.Peer{Name: name, Incarnation: w.nodes[name].Self().Incarnation}
}

// Node implements fleet.Net for one node.
type Node struct {
	world           *World
	name            string
	table           *fleet.Table
	updateHandlers  map[string]fleet.UpdateFunc
	requestHandlers map[string]fleet.AskFunc
	changeHandlers  []func(fleet.Change)
}

var _ fleet.Net = (*Node)(nil)

func (n *Node) changed(all []fleet.Change) {
	for _, c := range all {
		if c.To.Departed() {
			n.world.inFlight = slices.DeleteFunc(n.world.inFlight, func(m *update) bool { return m.from == n.name && m.to == c.Name })
		}
		for _, handle := range n.changeHandlers {
			handle(c)
		}
	}
}

// Self returns the node's own row.
func (n *Node) Self() fleet.Member {
	m, _ := n.table.Member(n.name)
	return m
}

// Members returns the node's table of members.
func (n *Node) Members() []fleet.Member { return n.table.Members() }

// Count returns the number of members that limits are divided by.
func (n *Node) Count() int { return n.table.Count(n.world.Now) }

func (n *Node) reach(to string) error {
	if m, known := n.table.Member(to); !known || m.State.Departed() || to == n.name {
		return fmt.Errorf("%w: %s", fleet.ErrUnknown, to)
	}
	return nil
}

// Tell queues an update for a member, as fleet.Fleet.Tell does.
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
		return nil, fleet.ErrOutcomeUnknown
	}
	answer := n.world.nodes[to].requestHandlers[kind]
	if answer == nil {
		return nil, fleet.AnswerError(fmt.Sprintf("nothing is known of %q", kind))
	}
	b, err := answer(ctx, n.world.peer(n.name), body)
	switch {
	case fate == AnswerLost:
		return nil, fleet.ErrOutcomeUnknown
	case err != nil:
		return nil, fleet.AnswerError(err.Error())
	}
	return b, nil
}

// OnUpdate sets the handler for updates of a kind.
func (n *Node) OnUpdate(kind string, f fleet.UpdateFunc) { n.updateHandlers[kind] = f }

// OnAsk sets the handler for requests of a kind.
func (n *Node) OnAsk(kind string, f fleet.AskFunc) { n.requestHandlers[kind] = f }

// OnChange adds a handler for members' changes of state.
func (n *Node) OnChange(f func(fleet.Change)) { n.changeHandlers = append(n.changeHandlers, f) }
