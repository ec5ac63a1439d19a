// Package descriptors divides the file descriptors of a process among its uses, so that clients that open any number of
// connections leave enough for the process itself: links to other processes, connections to endpoints, and files.
//
// Each role creates one Budget from limits.open_files of the settings, which gives the limits of its listeners and of its
// connections to endpoints.
package descriptors

import (
	"context"
	"net"

	"golang.org/x/net/netutil"
)

const (
	// clientsDivisor and endpointsDivisor are the shares of all descriptors for connections from outside and for
	// connections to endpoints: one half and one quarter. The rest is for links, readiness, metrics and files.
	clientsDivisor   = 2
	endpointsDivisor = 4
)

// Budget divides the descriptors of a process.
type Budget struct {
	// maxOpen is the number of all descriptors; 0: unknown, nothing is limited.
	maxOpen int
}

// NewBudget returns a budget of maxOpen descriptors; 0: their number is unknown, and nothing is limited.
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

// Listen listens for connections from outside on an IPv4 address; the context limits the name lookup. Connections
// beyond the budget wait in the kernel's accept queue until others end.
func (b Budget) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil || b.maxOpen == 0 {
		return listener, err
	}
	return netutil.LimitListener(listener, b.Clients()), nil
}
