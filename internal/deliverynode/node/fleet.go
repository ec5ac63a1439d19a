package node

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/lease"
	"dunetide/internal/platform/vfs"
)

// fleetConns is the share of the descriptors that may be connections to other nodes, where descriptors are limited.
const fleetConns = 0.125

// fleetSockets returns how many descriptors are reserved for the fleet: its connections and two listeners.
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

// joinFleet makes this node a member of its fleet; nil without a fleet.
func joinFleet(c Config, log *slog.Logger) (*fleet.Fleet, error) {
	if c.Fleet == nil {
		return nil, nil
	}
	origin := time.Now()
	return fleet.New(fleet.Options{File: *c.Fleet, Name: c.Name, Folder: vfs.Dir(c.State), Listen: fleet.Sockets,
		Clock: func() time.Duration { return time.Since(origin) }, Seed: c.Seed, Conns: c.fleetConns(), Log: log})
}

// boottimeClock is the time since boot. It also runs while the machine is suspended: with a clock that stops, a lease
// would seem to last longer.
func boottimeClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	return time.Duration(t.Nano())
}

// joinLeases starts this node's participation in the fleet's leases; nil without leases.
func joinLeases(c Config, f *fleet.Fleet, log *slog.Logger) *lease.Leases {
	if f == nil || c.Fleet.Leases == nil {
		return nil
	}
	l := lease.New(lease.Options{Net: f, Folder: vfs.Dir(c.State), Name: c.Name, Voters: c.Fleet.Leases.Voters,
		Longest: c.Fleet.Leases.Longest(), Most: c.Fleet.Leases.MaxHeld(), Clock: boottimeClock, Seed: c.Seed, Log: log,
		// Above all tokens that a log of this fleet may have granted before: fewer than 2^20 are granted per second.
		Above: func() uint64 { return uint64(time.Now().Unix()) << 20 }})
	f.OnStaleFolder(l.Overtaken)
	f.RunWhileJoined(l.Run)
	return l
}

// fleetDiskSpace returns the disk space that the fleet and its leases need.
func (c Config) fleetDiskSpace() int64 {
	switch {
	case c.Fleet == nil:
		return 0
	case c.Fleet.Leases == nil || !slices.Contains(c.Fleet.Leases.Voters, c.Name):
		return fleet.DiskSpace
	}
	return fleet.DiskSpace + lease.DiskSpace(c.Fleet.Leases.MaxHeld(), c.Fleet.Copies != nil)
}

// runFleet runs the node's membership in the fleet for as long as this process owns the journal. In a group, the
// coordinating member represents the node. The node leaves the fleet only if no other process of it continues.
func runFleet(owned context.Context, f *fleet.Fleet, pg *processGroup, o *ownership) {
	if pg == nil {
		f.Run(owned, func() bool {
			to, err := o.owner(context.WithoutCancel(owned))
			return err == nil && to == nil
		})
		return
	}
	pg.whileLeading(owned, func(ctx context.Context) { f.Run(ctx, pg.alone) })
}

// errNoFleet is the response to console requests at a node without a fleet.
var errNoFleet = errors.New("this node is in no fleet")

// errNoCopies is the response to console requests at a node without copies.
var errNoCopies = errors.New("this node was started without -copies")

// errNoLeases is the response to console requests where the fleet's file has no leases.
var errNoLeases = errors.New("the fleet has no leases")
