// Package fleet is the membership of delivery nodes and the links between them. docs/fleet.md describes it.
//
// The decisions are made by types without clock, goroutine or socket: Table has the members, peer the messages on their
// way to one other member. Fleet runs them over sockets, timers and memberlist. It imports internal/deliverynode/journal for
// the seam of the file system alone.
package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// MaxMembers bounds a fleet: all tables, queues and counts are bounded by it.
	MaxMembers = 1024
	// maxName bounds names, so that a word about each fits its frame.
	maxName = 64
	maxFile = 1 << 20
)

// File is a fleet's file, the same on all its nodes.
type File struct {
	Fleet  string  `json:"fleet"`
	Nodes  []Node  `json:"nodes"`
	Leases *Leases `json:"leases,omitempty"` // nil: there are none
	Copies *Copies `json:"copies,omitempty"` // nil: all as CopiesOf says
}

// Copies says how nodes that are started with -copies keep copies of each other: see internal/deliverynode/replica.
type Copies struct {
	// Mode is CopyAfter or CopyBefore: whether a message is taken on before its copies have it, or after.
	Mode string `json:"mode,omitempty"`
	// Short is RefuseWork or GoOn: what a node does in CopyBefore that has fewer copies in reach than asked for.
	Short    string  `json:"short,omitempty"`
	LeaseS   float64 `json:"lease_s,omitempty"`   // a node's own log is its own for so long; the longest lease if 0
	SilenceS float64 `json:"silence_s,omitempty"` // so long nothing is heard of a log before another takes it over; DefaultSilence if 0
	ScrubS   float64 `json:"scrub_s,omitempty"`   // copies are compared so often; DefaultScrub if 0
	LagMost  int     `json:"lag_most,omitempty"`  // changes that a copy may lack in CopyAfter before its node says so; DefaultLag if 0
	LagMs    float64 `json:"lag_ms,omitempty"`    // and how old the oldest of them may be; DefaultLagTime if 0
}

// The words of Copies, and what holds where its file says nothing.
const (
	CopyAfter  = "after"
	CopyBefore = "before"
	RefuseWork = "refuse"
	GoOn       = "go on"

	DefaultSilence = 60 * time.Second
	DefaultScrub   = 60 * time.Second
	DefaultLag     = 256
	DefaultLagTime = time.Second
	// MaxCopies is how many copies of a log there may be.
	MaxCopies = 3
)

// CopiesOf is how copies are kept, all defaults filled in.
func (f File) CopiesOf() (c Copies) {
	if f.Copies != nil {
		c = *f.Copies
	}
	c.Mode, c.Short = cmp.Or(c.Mode, CopyAfter), cmp.Or(c.Short, RefuseWork)
	if f.Leases != nil {
		c.LeaseS = cmp.Or(c.LeaseS, f.Leases.Longest().Seconds())
	}
	c.SilenceS, c.ScrubS = cmp.Or(c.SilenceS, DefaultSilence.Seconds()), cmp.Or(c.ScrubS, DefaultScrub.Seconds())
	c.LagMost, c.LagMs = cmp.Or(c.LagMost, DefaultLag), cmp.Or(c.LagMs, float64(DefaultLagTime.Milliseconds()))
	return c
}

// check tells what is wrong with the part about copies.
func (c Copies) check(f File, bad func(form string, args ...any)) {
	if f.Leases == nil {
		bad("copies need leases")
	} else if c.LeaseS != 0 && !(c.LeaseS >= 1 && c.LeaseS <= f.Leases.Longest().Seconds()) {
		bad("lease_s of %v: it has to be 1 to %v, the longest lease", c.LeaseS, f.Leases.Longest().Seconds())
	}
	if c.Mode != "" && c.Mode != CopyAfter && c.Mode != CopyBefore {
		bad("mode %q: it has to be %q or %q", c.Mode, CopyAfter, CopyBefore)
	}
	if c.Short != "" && c.Short != RefuseWork && c.Short != GoOn {
		bad("short %q: it has to be %q or %q", c.Short, RefuseWork, GoOn)
	}
	if c.SilenceS < 0 || c.ScrubS < 0 || c.LagMost < 0 || c.LagMs < 0 {
		bad("a negative figure of copies")
	}
}

// Leases says who keeps the leases of a fleet: see internal/deliverynode/lease.
type Leases struct {
	Voters   []string `json:"voters"`
	LongestS float64  `json:"longest_s,omitempty"` // the greatest length of a lease; LongestLease if 0
	Number   int      `json:"most,omitempty"`      // so many are held at a time at most; DefaultLeases if 0
}

// LongestLease is the greatest length of a lease where the file names none, and MostLease is
// what it may name.
const (
	LongestLease   = 60 * time.Second
	MaxLeaseLength = time.Hour
	// DefaultLeases and MostLeases are the same for their number.
	DefaultLeases = 200
	MaxLeases     = 10000
)

// MaxHeld is how many leases may be held at a time.
func (l Leases) MaxHeld() int { return cmp.Or(l.Number, DefaultLeases) }

// Longest is the greatest length of a lease.
func (l Leases) Longest() time.Duration {
	if l.LongestS == 0 {
		return LongestLease
	}
	return time.Duration(l.LongestS * float64(time.Second))
}

// check tells what is wrong with the part about leases.
func (l Leases) check(f File, bad func(form string, args ...any)) {
	if err := CheckVoters(l.Voters); err != nil {
		bad("%v", err)
	}
	for _, name := range l.Voters {
		if f.node(name).Name == "" {
			bad("%q is to be a voter and is no node", name)
		}
	}
	if l.LongestS != 0 && !(l.LongestS >= 1 && l.LongestS <= MaxLeaseLength.Seconds()) {
		bad("longest_s of %v: it has to be 1 to %v", l.LongestS, MaxLeaseLength.Seconds())
	}
	if l.Number < 0 || l.Number > MaxLeases {
		bad("most of %d: it has to be 1 to %d", l.Number, MaxLeases)
	}
}

// CheckVoters tells whether names may be all voters of a log: an even number of them survives no
// more than one less.
func CheckVoters(names []string) error {
	if n := len(names); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("%d voters: 1, 3 or 5 are wanted", n)
	}
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return fmt.Errorf("%q is named twice as a voter", name)
		}
	}
	return nil
}

// Node is a line of it. Others reach the node at Address; it listens at, and sends from,
// Listen, or Address where that is empty.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Listen  string `json:"listen,omitempty"`
	Seed    bool   `json:"seed,omitempty"`
	// Locality is where the node's machine stands: copies of one log lie in different ones, where they can.
	Locality string `json:"locality,omitempty"`
}

// ReadFile reads and checks a fleet's file for the node of a name.
func ReadFile(path, own string) (File, error) {
	r, err := os.Open(path)
	if err != nil {
		return File{}, fmt.Errorf("the fleet's file: %w", err)
	}
	defer func() { _ = r.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return File{}, fmt.Errorf("the fleet's file: %w", err)
	}
	f, err := Parse(text, own)
	if err != nil {
		return File{}, fmt.Errorf("the fleet's file %s: %w", path, err)
	}
	return f, nil
}

// Parse is ReadFile for a text. All mistakes come in one line.
func Parse(text []byte, own string) (File, error) {
	if len(text) > maxFile {
		return File{}, fmt.Errorf("longer than %d bytes", maxFile)
	}
	var f File
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return File{}, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return File{}, errors.New("more than one value")
	}
	var all []string
	bad := func(form string, args ...any) { all = append(all, fmt.Sprintf(form, args...)) }
	if f.Fleet == "" || len(f.Fleet) > maxName {
		bad("%q is no name of a fleet (1 to %d bytes)", f.Fleet, maxName)
	}
	if len(f.Nodes) > MaxMembers {
		bad("%d nodes, over %d", len(f.Nodes), MaxMembers)
	}
	f.checkNodes(own, bad)
	if f.Leases != nil {
		f.Leases.check(f, bad)
	}
	if f.Copies != nil {
		f.Copies.check(f, bad)
	}
	if len(all) > 0 {
		return File{}, errors.New(strings.Join(all, "; "))
	}
	return f, nil
}

// checkNodes finds names and addresses that can't be used or stand twice, and whether this node and a
// seed are there.
func (f File) checkNodes(own string, bad func(form string, args ...any)) {
	names, addresses := map[string]bool{}, map[string]string{}
	seeds := 0
	for _, n := range f.Nodes {
		if n.Name == "" || len(n.Name) > maxName || strings.ContainsAny(n.Name, "/ \t\r\n") {
			bad("%q is no name of a node", n.Name)
		}
		if names[n.Name] {
			bad("two nodes are named %q", n.Name)
		}
		names[n.Name] = true
		if n.Seed {
			seeds++
		}
		used := []string{n.Address}
		if n.Listen != "" && n.Listen != n.Address {
			used = append(used, n.Listen)
		}
		for _, a := range used {
			if to, err := netip.ParseAddrPort(a); err != nil || to.Port() == 0 || !to.Addr().Is4() {
				bad("%q of %s is no IPv4 address with a port", a, n.Name)
			} else if before, there := addresses[a]; there {
				bad("%s and %s are both at %s", before, n.Name, a)
			}
			addresses[a] = n.Name
		}
	}
	if !names[own] {
		bad("this node, %q, is not in it", own)
	}
	if seeds == 0 {
		bad("no node is a seed")
	}
}

// Locality is where a node of the file stands; empty: it does not say.
func (f File) Locality(name string) string { return f.node(name).Locality }

func (f File) node(name string) Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			if n.Listen == "" {
				n.Listen = n.Address
			}
			return n
		}
	}
	return Node{}
}
