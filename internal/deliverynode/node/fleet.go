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
	return fleet.New(fleet.Options{File: *c.Fleet, Name: c.Name, Folder: vfs.Dir(c.State), Listen: fleet.Sockets,
		Clock: func() time.Duration { return time.Since(origin) }, Seed: c.Seed, Conns: c.fleetConns(), Log: log})
}

// lastingClock never stops, also not while the machine sleeps: a lease that is held would seem to
// last longer then.
func lastingClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	return time.Duration(t.Nano())
}

// joinLeases makes this node's part in the fleet's leases; nil where there are none.
func joinLeases(c Config, f *fleet.Fleet, log *slog.Logger) *lease.Leases {
	if f == nil || c.Fleet.Leases == nil {
		return nil
	}
	l := lease.New(lease.Options{Net: f, Folder: vfs.Dir(c.State), Name: c.Name, Voters: c.Fleet.Leases.Voters,
		Longest: c.Fleet.Leases.Longest(), Most: c.Fleet.Leases.MaxHeld(), Clock: lastingClock, Seed: c.Seed, Log: log,
		// Above all that a log of this fleet may have granted before, as nothing is granted a million times a second.
		Above: func() uint64 { return uint64(time.Now().Unix()) << 20 }})
	f.OnOld(l.Overtaken)
	f.While(l.Run)
	return l
}

// fleetRoom is what the parts of the fleet take of the disk.
func (c Config) fleetRoom() int64 {
	switch {
	case c.Fleet == nil:
		return 0
	case c.Fleet.Leases == nil || !slices.Contains(c.Fleet.Leases.Voters, c.Name):
		return fleet.DiskSpace
	}
	return fleet.DiskSpace + lease.DiskSpace(c.Fleet.Leases.MaxHeld(), c.Fleet.Copies != nil)
}

// runFleet takes part for as long as this process owns what the node owes. Of a group, the
// member that coordinates speaks for the node. The node has left only if no process of it goes on.
func runFleet(owned context.Context, f *fleet.Fleet, co *processGroup, o *ownership) {
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

// errNoCopies answers the staff of a node that keeps none.
var errNoCopies = errors.New("this node was started without -copies")

// errNoLeases answers the staff where the fleet's file names no voters.
var errNoLeases = errors.New("the fleet has no leases")
