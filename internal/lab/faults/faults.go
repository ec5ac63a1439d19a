// Package faults injects faults into the network between the nodes of a fleet: a Fault for each directed
// pair says what becomes of a datagram and of a connection's bytes, a Pattern sets many at once. Relays and
// Hub inject them between real processes, Memory in a network within one process.
package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fault is what happens on the way from one node to another. The zero one lets all pass.
type Fault struct {
	// Lose, Double, Reorder and Spoil are shares of the datagrams. Of a connection's pieces,
	// those that would be lost come late by resendAfter, as by a retransmission, and Spoil
	// holds for them too.
	Lose    float64 `toml:"lose" json:"lose,omitempty"`
	Double  float64 `toml:"double" json:"double,omitempty"`
	Reorder float64 `toml:"reorder" json:"reorder,omitempty"`
	Corrupt float64 `toml:"spoil" json:"spoil,omitempty"`
	// Delay and up to Jitter more, evenly drawn; a connection's bytes stay in order.
	Delay  time.Duration `toml:"delay" json:"delay,omitempty"`
	Jitter time.Duration `toml:"jitter" json:"jitter,omitempty"`
	// Cut lets nothing pass. Connections stand still, and go on when it ends.
	Cut bool `toml:"cut" json:"cut,omitempty"`
	// Swallow takes the bytes of connections and of datagrams for good, without a word.
	Swallow bool `toml:"swallow" json:"swallow,omitempty"`
	// Reset breaks connections, each after so many further bytes; 0: it doesn't.
	Reset int `toml:"reset" json:"reset,omitempty"`
	// Trickle lets so many bytes of a connection pass in a second; 0: any number.
	Trickle int `toml:"trickle" json:"trickle,omitempty"`
}

const (
	resendAfter = 200 * time.Millisecond
	reorderBy   = 30 * time.Millisecond
)

// Matrix has a fault for each directed pair of nodes. It is safe for concurrent use.
type Matrix struct {
	mu      sync.Mutex
	size    int
	pairs   []Fault
	changed chan struct{} // closed at the next change
	rand    *rand.Rand
}

// NewMatrix lets all pass between n nodes. Draws are by seed.
func NewMatrix(n int, seed uint64) *Matrix {
	return &Matrix{size: n, pairs: make([]Fault, n*n), changed: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 0xfa))}
}

// Set puts a fault on the way from one to another.
func (m *Matrix) Set(from, to int, f Fault) {
	m.Change(func(a, b int, old Fault) Fault {
		if a == from && b == to {
			return f
		}
		return old
	})
}

// Change goes through all pairs in one step.
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

// Heal lets all pass again.
func (m *Matrix) Heal() { m.Change(func(int, int, Fault) Fault { return Fault{} }) }

// At is what holds now, and a channel that closes when anything changes.
func (m *Matrix) At(from, to int) (Fault, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pairs[from*m.size+to], m.changed
}

// Packet draws what becomes of a datagram: when each of its copies comes, and the bit of it that
// is spoilt, -1 for none.
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

// Piece draws what becomes of a piece of a connection.
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

// Patterns are what a schedule can ask for by name.
const (
	All    = "all"    // the fault on every pair
	Split  = "split"  // nothing passes between parts of the fleet
	Bridge = "bridge" // as split in two, but the last node hears and is heard by both
	Deaf   = "deaf"   // the nodes named hear nobody
	Dumb   = "dumb"   // nobody hears the nodes named
	Cut    = "cut"    // both
	OneWay = "oneway" // the first of the nodes named is not heard by the second
	Ring   = "ring"   // each is heard by its two neighbours alone
)

// Pattern sets the faults of many pairs.
type Pattern struct {
	What  string `toml:"what"`
	Parts int    `toml:"parts"` // of a split; 2 where nothing is said
	Nodes []int  `toml:"nodes"` // of deaf, dumb, cut, oneway
	Fault Fault  `toml:"fault"` // of all
}

// Check tells what is wrong with a pattern for n nodes.
func (p Pattern) Check(n int) error {
	if !slices.Contains([]string{All, Split, Bridge, Deaf, Dumb, Cut, OneWay, Ring}, p.What) {
		return fmt.Errorf("%q is no pattern", p.What)
	}
	for _, i := range p.Nodes {
		if i < 0 || i >= n {
			return fmt.Errorf("there is no node %d of %d", i, n)
		}
	}
	named := p.What == Deaf || p.What == Dumb || p.What == Cut
	switch {
	case named && len(p.Nodes) == 0:
		return fmt.Errorf("%s names no nodes", p.What)
	case p.What == OneWay && len(p.Nodes) != 2:
		return fmt.Errorf("oneway names %d nodes and needs two", len(p.Nodes))
	case p.Parts < 0 || p.Parts > n:
		return fmt.Errorf("%d parts of %d nodes", p.Parts, n)
	}
	return nil
}

// Holds tells whether anything of the pattern is on the way from one node to another.
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

// Apply puts a pattern over whatever is there.
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

// Reached tells whether a node can hear another now, both ways, at all.
func (m *Matrix) Reached(a, b int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	there, back := m.pairs[a*m.size+b], m.pairs[b*m.size+a]
	return !there.Cut && !there.Swallow && !back.Cut && !back.Swallow
}
