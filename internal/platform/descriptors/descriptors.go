// Package descriptors divides the file descriptors of a process among its users, so that clients that open connections
// without end leave enough for the process's own work: links to other processes, connections to endpoints, and files.
//
// Each role makes one Budget from limits.open_files of the settings, and takes the bounds of its listeners and of its
// connections to endpoints from it.
package descriptors

import (
	"context"
	"net"

	"golang.org/x/net/netutil"
)

const (
	// clientsDivisor and endpointsDivisor say what part of all descriptors connections from outside and connections to
	// endpoints may use: one half and one quarter. The rest is for links, readiness, metrics and files.
	clientsDivisor   = 2
	endpointsDivisor = 4
)

// Budget divides the descriptors of a process.
type Budget struct {
	// maxOpen is the number of all descriptors; 0: it is not known, and nothing is limited.
	maxOpen int
}

// NewBudget divides so many descriptors; 0: their number is not known, and nothing is limited.
func NewBudget(maxOpen int) Budget { return Budget{maxOpen} }

// Clients returns how many connections from outside may be open at once; 0: any number.
func (b Budget) Clients() int { return b.maxOpen / clientsDivisor }

// Endpoints returns how many connections to endpoints may be open at once, given how many are wanted; at least 1.
func (b Budget) Endpoints(wanted int) int {
	if b.maxOpen == 0 {
		return wanted
	}
	return max(1, min(wanted, b.maxOpen/endpointsDivisor))
}

// Listen listens for connections from outside at an IPv4 address; the context limits the lookup of its name.
// Connections beyond the budget wait in the kernel's queue until others end.
func (b Budget) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil || b.maxOpen == 0 {
		return listener, err
	}
	return netutil.LimitListener(listener, b.Clients()), nil
}
