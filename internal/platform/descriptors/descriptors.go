// Package descriptors divides the file descriptors of a process among what uses them, so that clients which open connections without
// an end leave it those that its own work takes: links to other processes, connections to endpoints, files.
package descriptors

import (
	"net"

	"golang.org/x/net/netutil"
)

const (
	// clientsPart is what part of all descriptors connections from outside may take: one in so many. endpointsPart is that of
	// connections to endpoints. The rest is for links, readiness, metrics and files.
	clientsPart   = 2
	endpointsPart = 4
)

// Budget is how the descriptors of a process are divided.
type Budget struct{ most int }

// NewBudget divides so many descriptors, limits.open_files of the settings; 0: their number is not known, and nothing is bounded.
func NewBudget(most int) Budget { return Budget{most} }

// Clients is how many connections from outside may be open at once; 0: any number.
func (b Budget) Clients() int { return b.most / clientsPart }

// Endpoints is how many connections to endpoints may be open at once, of those that are wanted.
func (b Budget) Endpoints(wanted int) int {
	if b.most == 0 {
		return wanted
	}
	return max(1, min(wanted, b.most/endpointsPart))
}

// Listen accepts connections from outside at an address. Those beyond the budget wait in the queue of the kernel until others end.
func (b Budget) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil || b.most == 0 {
		return listener, err
	}
	return netutil.LimitListener(listener, b.Clients()), nil
}
