// Package fleet is the membership of delivery nodes and the links between them. docs/fleet.md describes it.
//
// The decisions are made by types without clock, goroutine or socket: Table has the members, peer the messages in flight
// to one other member. Fleet runs them over sockets, timers and memberlist. Files are accessed through internal/platform/vfs.
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
	// MaxMembers is the maximum size of a fleet; it bounds all tables, queues and counts.
	MaxMembers = 1024
	// maxName bounds names, so that a record of every member fits in a frame.
	maxName = 64
	maxFile = 1 << 20
)

// File is the fleet file, which is the same on all nodes of the fleet.
type File struct {
	Fleet  string  `json:"fleet"`
	Nodes  []Node  `json:"nodes"`
	Leases *Leases `json:"leases,omitempty"` // nil: the fleet has no leases
	Copies *Copies `json:"copies,omitempty"` // nil: the defaults of CopiesOf
}

// Copies configures replication between nodes started with -copies: see internal/deliverynode/replica.
type Copies struct {
	// Mode is CopyAfter (a message is accepted before its copies have it) or CopyBefore (after).
	Mode string `json:"mode,omitempty"`
	// Short is RefuseWork or GoOn: what a node does in CopyBefore while fewer copies are reachable than configured.
	Short    string  `json:"short,omitempty"`
	LeaseS   float64 `json:"lease_s,omitempty"`   // length of the lease on a node's own log; the longest lease if 0
	SilenceS float64 `json:"silence_s,omitempty"` // how long a log's owner is silent before another node takes the log over; DefaultSilence if 0
	ScrubS   float64 `json:"scrub_s,omitempty"`   // interval between comparisons of copies; DefaultScrub if 0
	LagMost  int     `json:"lag_most,omitempty"`  // changes that a copy may lag behind in CopyAfter before its node reports it; DefaultLag if 0
	LagMs    float64 `json:"lag_ms,omitempty"`    // maximum age of the oldest of these changes; DefaultLagTime if 0
}

// The values of Copies and their defaults.
const (
	CopyAfter  = "after"
	CopyBefore = "before"
	RefuseWork = "refuse"
	GoOn       = "go on"

	DefaultSilence = 60 * time.Second
	DefaultScrub   = 60 * time.Second
	DefaultLag     = 256
	DefaultLagTime = time.Second
	// MaxCopies is the maximum number of copies of a log.
	MaxCopies = 3
)

// CopiesOf returns the replication settings with all defaults filled in.
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

// check reports the errors in the copies section.
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
		bad("copies: silence_s, scrub_s, lag_most and lag_ms must not be negative")
	}
}

// Leases configures the lease service of a fleet: see internal/deliverynode/lease.
type Leases struct {
	Voters   []string `json:"voters"`
	LongestS float64  `json:"longest_s,omitempty"` // maximum length of a lease; LongestLease if 0
	Number   int      `json:"most,omitempty"`      // maximum number of leases held at a time; DefaultLeases if 0
}

// LongestLease is the maximum length of a lease if the file sets none, and MaxLeaseLength is the
// limit for that setting.
const (
	LongestLease   = 60 * time.Second
	MaxLeaseLength = time.Hour
	// DefaultLeases and MaxLeases are the same for the number of leases.
	DefaultLeases = 200
	MaxLeases     = 10000
)

// MaxHeld returns the maximum number of leases held at a time.
func (l Leases) MaxHeld() int { return cmp.Or(l.Number, DefaultLeases) }

// Longest returns the maximum length of a lease.
func (l Leases) Longest() time.Duration {
	if l.LongestS == 0 {
		return LongestLease
	}
	return time.Duration(l.LongestS * float64(time.Second))
}

// check reports the errors in the leases section.
func (l Leases) check(f File, bad func(form string, args ...any)) {
	if err := CheckVoters(l.Voters); err != nil {
		bad("%v", err)
	}
	for _, name := range l.Voters {
		if f.node(name).Name == "" {
			bad("voter %q is not a node of the fleet", name)
		}
	}
	if l.LongestS != 0 && !(l.LongestS >= 1 && l.LongestS <= MaxLeaseLength.Seconds()) {
		bad("longest_s of %v: it has to be 1 to %v", l.LongestS, MaxLeaseLength.Seconds())
	}
	if l.Number < 0 || l.Number > MaxLeases {
		bad("most of %d: it has to be 1 to %d", l.Number, MaxLeases)
	}
}

// CheckVoters checks a complete set of voters. An even number is rejected, as it tolerates no more
// failures than one voter fewer.
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

// Node is an entry of the fleet file. Other nodes reach the node at Address; it listens on and sends
// from Listen, or Address if Listen is empty.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Listen  string `json:"listen,omitempty"`
	Seed    bool   `json:"seed,omitempty"`
	// Locality is the location of the node's machine: copies of a log are placed in different localities if possible.
	Locality string `json:"locality,omitempty"`
}

// ReadFile reads and checks the fleet file for the node named own.
func ReadFile(path, own string) (File, error) {
	r, err := os.Open(path)
	if err != nil {
		return File{}, fmt.Errorf("fleet file: %w", err)
	}
	defer func() { _ = r.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return File{}, fmt.Errorf("fleet file: %w", err)
	}
	f, err := Parse(text, own)
	if err != nil {
		return File{}, fmt.Errorf("fleet file %s: %w", path, err)
	}
	return f, nil
}

// Parse is ReadFile for text in memory. All mistakes are reported in one line.
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
		bad("invalid fleet name %q (1 to %d bytes)", f.Fleet, maxName)
	}
	if len(f.Nodes) > MaxMembers {
		bad("%d nodes exceed the maximum of %d", len(f.Nodes), MaxMembers)
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

// checkNodes reports names and addresses that are invalid or duplicate, and a missing seed or entry for
// this node.
func (f File) checkNodes(own string, bad func(form string, args ...any)) {
	names, addresses := map[string]bool{}, map[string]string{}
	seeds := 0
	for _, n := range f.Nodes {
		if n.Name == "" || len(n.Name) > maxName || strings.ContainsAny(n.Name, "/ \t\r\n") {
			bad("invalid node name %q", n.Name)
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
				bad("%q of %s is not an IPv4 address with a port", a, n.Name)
			} else if before, found := addresses[a]; found {
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

// Locality returns the locality of a node, empty if the file has none.
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
