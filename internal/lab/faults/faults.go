// Package faults injects faults into the network between the nodes of a fleet. A Fault for each directed pair of nodes defines what
// happens to datagrams and to the bytes of connections; a Pattern sets many pairs at once. Relays and Hub inject faults between real
// processes, Memory in a network within one process.
package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fault is the fault on the path from one node to another. The zero Fault lets all traffic pass.
type Fault struct {
	// Lose, Double, Reorder and Corrupt are the shares of datagrams that are lost, duplicated, reordered or corrupted. On
	// connections, a chunk that Lose selects is delayed by resendAfter, as by a retransmission; Corrupt applies to chunks too,
	// Double and Reorder do not.
	Lose    float64 `toml:"lose" json:"lose,omitempty"`
	Double  float64 `toml:"double" json:"double,omitempty"`
	Reorder float64 `toml:"reorder" json:"reorder,omitempty"`
	Corrupt float64 `toml:"spoil" json:"spoil,omitempty"`
	// Delay is the fixed delay; Jitter adds up to as much again, uniformly distributed. The bytes of a connection stay in order.
	Delay  time.Duration `toml:"delay" json:"delay,omitempty"`
	Jitter time.Duration `toml:"jitter" json:"jitter,omitempty"`
	// Cut blocks all traffic. Connections stall, and resume when the cut ends.
	Cut bool `toml:"cut" json:"cut,omitempty"`
	// Swallow silently discards datagrams and the bytes of connections.
	Swallow bool `toml:"swallow" json:"swallow,omitempty"`
	// Reset resets each connection after this many further bytes; 0 disables it.
	Reset int `toml:"reset" json:"reset,omitempty"`
	// Trickle limits a connection to this many bytes per second; 0 means no limit.
	Trickle int `toml:"trickle" json:"trickle,omitempty"`
}

const (
	resendAfter = 200 * time.Millisecond
	reorderBy   = 30 * time.Millisecond
)

// Matrix holds a fault for each directed pair of nodes. It is safe for concurrent use.
type Matrix struct {
	mu      sync.Mutex
	size    int
	pairs   []Fault
	changed chan struct{} // closed at the next change
	rand    *rand.Rand
}

// NewMatrix returns a matrix for n nodes without faults. The seed determines all random draws.
func NewMatrix(n int, seed uint64) *Matrix {
	return &Matrix{size: n, pairs: make([]Fault, n*n), changed: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 0xfa))}
}

// Set sets the fault on the path from one node to another.
func (m *Matrix) Set(from, to int, f Fault) {
	m.Change(func(a, b int, old Fault) Fault {
		if a == from && b == to {
			return f
		}
		return old
	})
}

// Change applies f to all pairs atomically.
func (m *Matrix) Change(f func(from, to int, old Fault) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for from := range m.size {
		for to := range m.size {
			if from != to {
				m.pairs[from*m.size+to] = f(from, to, m.pairs[from*m.size+to])
			}
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Heal removes all faults.
func (m *Matrix) Heal() { m.Change(func(int, int, Fault) Fault { return Fault{} }) }

// At returns the current fault of a pair, and a channel that is closed at the next change of the matrix.
func (m *Matrix) At(from, to int) (Fault, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pairs[from*m.size+to], m.changed
}

// Packet draws the fate of a datagram: the delay of each of its copies, and the index of the bit that is flipped, or -1 for none.
func (m *Matrix) Packet(from, to, size int) (after []time.Duration, spoilt int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.pairs[from*m.size+to]
	if f.Cut || f.Swallow || m.rand.Float64() < f.Lose {
		return nil, -1
	}
	copies := 1
	if m.rand.Float64() < f.Double {
		copies++
	}
	for range copies {
		d := f.Delay + time.Duration(m.rand.Float64()*float64(f.Jitter))
		if m.rand.Float64() < f.Reorder {
			d += reorderBy
		}
		after = append(after, d)
	}
	return after, m.corrupt(f, size)
}

// Piece draws the fate of a chunk of a connection: its delay, and the index of the bit that is flipped, or -1 for none.
func (m *Matrix) Piece(from, to, size int) (after time.Duration, spoilt int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.pairs[from*m.size+to]
	after = f.Delay + time.Duration(m.rand.Float64()*float64(f.Jitter))
	if m.rand.Float64() < f.Lose {
		after += resendAfter
	}
	return after, m.corrupt(f, size)
}

func (m *Matrix) corrupt(f Fault, size int) int {
	if size == 0 || m.rand.Float64() >= f.Corrupt {
		return -1
	}
	return m.rand.IntN(size * 8)
}

// The names of the patterns.
const (
	All    = "all"    // the fault on every pair
	Split  = "split"  // nothing passes between parts of the fleet
	Bridge = "bridge" // as split in two, but the last node still reaches both halves
	Deaf   = "deaf"   // the named nodes receive nothing
	Dumb   = "dumb"   // nothing that the named nodes send arrives
	Cut    = "cut"    // the named nodes neither send nor receive
	OneWay = "oneway" // nothing passes from the first named node to the second
	Ring   = "ring"   // each node reaches only its two neighbours
)

// Pattern sets the faults of many pairs at once.
type Pattern struct {
	What  string `toml:"what"`
	Parts int    `toml:"parts"` // number of parts of a split; 2 if not set
	Nodes []int  `toml:"nodes"` // of deaf, dumb, cut, oneway
	Fault Fault  `toml:"fault"` // of all
}

// Check returns an error if the pattern is not valid for n nodes.
func (p Pattern) Check(n int) error {
	if !slices.Contains([]string{All, Split, Bridge, Deaf, Dumb, Cut, OneWay, Ring}, p.What) {
		return fmt.Errorf("%q is not a known pattern", p.What)
	}
	for _, i := range p.Nodes {
		if i < 0 || i >= n {
			return fmt.Errorf("node %d does not exist: there are %d nodes", i, n)
		}
	}
	named := p.What == Deaf || p.What == Dumb || p.What == Cut
	switch {
	case named && len(p.Nodes) == 0:
		return fmt.Errorf("pattern %s names no nodes", p.What)
	case p.What == OneWay && len(p.Nodes) != 2:
		return fmt.Errorf("pattern oneway names %d nodes, needs exactly two", len(p.Nodes))
	case p.Parts < 0 || p.Parts > n:
		return fmt.Errorf("cannot split into %d parts: there are %d nodes", p.Parts, n)
	}
	return nil
}

// holds reports whether the pattern affects the path from one node to another.
func (p Pattern) holds(n, from, to int) bool {
	part := func(i int) int { return i * max(2, p.Parts) / n }
	in := func(i int) bool { return slices.Contains(p.Nodes, i) }
	switch p.What {
	case All:
		return true
	case Split:
		return part(from) != part(to)
	case Bridge:
		return from != n-1 && to != n-1 && from*2/(n-1) != to*2/(n-1)
	case Deaf:
		return in(to)
	case Dumb:
		return in(from)
	case Cut:
		return in(from) || in(to)
	case OneWay:
		return from == p.Nodes[0] && to == p.Nodes[1]
	case Ring:
		d := (from - to + n) % n
		return d != 1 && d != n-1
	}
	return false
}

// Apply sets the fault of a pattern on the pairs that it affects, replacing their current faults.
func (m *Matrix) Apply(p Pattern) {
	f := p.Fault
	if p.What != All {
		f.Cut = true
	}
	m.Change(func(from, to int, old Fault) Fault {
		if p.holds(m.size, from, to) {
			return f
		}
		return old
	})
}

// Reached reports whether two nodes can currently reach each other in both directions.
func (m *Matrix) Reached(a, b int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	there, back := m.pairs[a*m.size+b], m.pairs[b*m.size+a]
	return !there.Cut && !there.Swallow && !back.Cut && !back.Swallow
}
