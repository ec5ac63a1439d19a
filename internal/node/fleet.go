package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"wingmount/internal/fleet"
	"wingmount/internal/journal"
)

// fleetConns bounds the connections to other nodes where the descriptors are few: so many of
// them, as a part of all.
const fleetConns = 0.125

// fleetSockets is how many descriptors are the fleet's: its connections, and two that listen.
func (c Config) fleetSockets() int {
	if c.Fleet == nil {
		return 0
	}
	return c.fleetConns() + 2
}

func (c Config) fleetConns() int {
	if c.Sockets <= 0 {
		return fleet.DefaultConns
	}
	return max(4, int(fleetConns*float64(c.Sockets)))
}

// joinFleet makes this node's part in its fleet; nil where there is none.
func joinFleet(c Config, log *slog.Logger) (*fleet.Fleet, error) {
	if c.Fleet == nil {
		return nil, nil
	}
	origin := time.Now()
	return fleet.New(fleet.Options{File: *c.Fleet, Name: c.Name, Folder: journal.Dir(c.State), Listen: fleet.Sockets,
		Clock: func() time.Duration { return time.Since(origin) }, Seed: c.Seed, Conns: c.fleetConns(), Log: log})
}

// runFleet takes part for as long as this process owns what the node owes. Of a group, the
// member that coordinates speaks for the node. The node has left only if no process of it goes on.
func runFleet(owned context.Context, f *fleet.Fleet, co *cohort, o *ownership) {
	if co == nil {
		f.Run(owned, func() bool {
			to, err := o.owner(context.WithoutCancel(owned))
			return err == nil && to == nil
		})
		return
	}
	co.whileLeading(owned, func(ctx context.Context) { f.Run(ctx, co.alone) })
}

// errNoFleet answers the staff of a node that is in none.
var errNoFleet = errors.New("this node is in no fleet")
