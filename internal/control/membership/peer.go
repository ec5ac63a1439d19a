package membership

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
)

// RoleKeeper is the role of the processes for which a share of each view is reserved.
const RoleKeeper = "keeper"

const (
	maxFieldBytes = 64             // length of a name, role, zone or address
	maxAge        = math.MaxUint16 // in rounds; an age does not grow beyond it
)

// Peer is an entry of a view: one incarnation of a process. Name and Role together identify the process.
type Peer struct {
	Name, Role, Zone string
	Addr             string // ip:port of its internal port, UDP and TCP
	Incarnation      uint64 // increases with each start of the process
	Age              uint16 // rounds since the process itself sent this entry
}

// sameProcess reports whether two entries belong to the same process, whatever their incarnations.
func (p *Peer) sameProcess(other *Peer) bool { return p.Name == other.Name && p.Role == other.Role }

// validate returns an error if a field is out of bounds or the address is not ip:port.
func (p *Peer) validate() error {
	if p.Name == "" || max(len(p.Name), len(p.Role), len(p.Zone), len(p.Addr)) > maxFieldBytes {
		return fmt.Errorf("peer %.80q: the name must not be empty and no field may exceed %d bytes", p.Name, maxFieldBytes)
	}
	if _, err := netip.ParseAddrPort(p.Addr); err != nil {
		return fmt.Errorf("peer %q: address %q is not ip:port", p.Name, p.Addr)
	}
	return nil
}

// indexOf returns the index of the entry of a process, or -1.
func indexOf(entries []Peer, process *Peer) int {
	return slices.IndexFunc(entries, func(entry Peer) bool { return entry.sameProcess(process) })
}
