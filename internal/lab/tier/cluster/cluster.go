// Package cluster runs a small serving tier of real processes on loopback addresses, one address per simulated machine, with
// settings as the platform writes them. Packages tier, soak and hollow and tests of other packages start clusters;
// Cluster.Close ends all their processes. docs/tier-lab.md describes it.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/lab/faults"
)

// Options configure a cluster.
type Options struct {
	Program string // the dunetide executable
	Dir     string // for settings, disks and logs
	Zones   int
	Edges   int // per zone
	Keepers int // per zone, on the first edges
	Stores  int // distributed over all zones in turn
	Spares  int // additional edges with keepers, distributed over all zones in turn; Cluster.Start does not start them
	// Relayed routes all connections that the lab and the processes dial through relays, so that a machine can be cut off. It
	// requires a program built by BuildRelayed.
	Relayed bool
	// HeartbeatInterval and Grace go into the settings.
	HeartbeatInterval time.Duration
	Grace             time.Duration
	Rules             string // the rules in force, separated by commas
	Survive           int    // machines whose simultaneous loss the tier must survive; 0 means 1
}

// Role is the role of a process.
type Role string

// The roles.
const (
	Proxy  Role = "proxy"
	Keeper Role = "keeper"
	Store  Role = "store"
)

const (
	firstNet     = 20 // machines of zone z have the addresses 127.net.(firstNet+z).n
	portAttempts = 50
	readyEvery   = time.Second
	maxMisses    = 2  // failed readiness checks after which an edge machine gets no new connections
	machinePorts = 40 // ports reserved for a machine, from the first
	maxNets      = 250
)

// Cluster is a tier of processes on simulated machines.
type Cluster struct {
	options Options
	net     int // the second byte of all addresses
	port    int // the first port of each machine
	zones   []string
	procs   []*Process
	first   atomic.Bool // whether processes start for the first time
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	hub *faults.Hub // nil if the cluster is not relayed

	mu     sync.Mutex
	fronts []*front
}

// front is an edge machine as the platform's load balancer sees it.
type front struct {
	proxy             *Process
	zone, addr, ready string
	in                bool // whether it gets new connections
	misses            int  // consecutive failed readiness checks
}

// expected reports whether the machine is currently part of the tier.
func (f *front) expected() bool { return f.proxy == nil || !f.proxy.absent() }

// address returns the address of machine n of a zone: edges from 10, stores from 50, endpoints from 100. Each cluster uses
// another net of loopback addresses, so that several can run concurrently.
func (c *Cluster) address(zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, firstNet+zone, n)
}

// New creates a cluster and selects free ports. It starts no process.
func New(o Options) (*Cluster, error) {
	c := &Cluster{options: o, net: 1 + rand.IntN(maxNets)}
	c.first.Store(true)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for z := range o.Zones {
		c.zones = append(c.zones, fmt.Sprintf("z%d", z))
	}
	for z := range o.Zones {
		for n := range o.Edges {
			c.addEdge(z, n, n < o.Keepers)
		}
	}
	for n := range o.Spares {
		for _, p := range c.addEdge(n%o.Zones, o.Edges+n/o.Zones, true) {
			p.spare = true
		}
	}
	for n := range o.Stores {
		z := n % o.Zones
		c.procs = append(c.procs, &Process{
			cluster: c,
			Role:    Store,
			Machine: fmt.Sprintf("storage-%s-%d", c.zones[z], n/o.Zones+1),
			class:   "storage",
			serves:  "storage",
			zone:    z,
			ip:      c.address(z, 50+n/o.Zones),
			disk:    true,
		})
	}
	if err := c.selectPorts(); err != nil {
		return nil, err
	}
	if err := c.relay(); err != nil {
		return nil, err
	}
	for _, p := range c.procs {
		p.dir = filepath.Join(o.Dir, p.Machine, string(p.Role))
		if p.Role == Proxy {
			c.fronts = append(c.fronts, &front{
				proxy: p,
				zone:  c.zones[p.zone],
				addr:  p.reached(portFront),
				ready: p.reached(portReady),
			})
		}
	}
	return c, nil
}

// addEdge adds the processes of an edge machine: a proxy and, if hasKeeper is set, a keeper.
func (c *Cluster) addEdge(zone, n int, hasKeeper bool) (added []*Process) {
	machine, ip := fmt.Sprintf("edge-%s-%d", c.zones[zone], n+1), c.address(zone, 10+n)
	added = append(added, &Process{
		cluster: c,
		Role:    Proxy,
		Machine: machine,
		class:   "edge",
		serves:  "edge",
		zone:    zone,
		ip:      ip,
		disk:    hasKeeper,
	})
	if hasKeeper {
		added = append(added, &Process{
			cluster: c,
			Role:    Keeper,
			Machine: machine,
			class:   "edge",
			serves:  "control",
			zone:    zone,
			ip:      ip,
			disk:    true,
		})
	}
	c.procs = append(c.procs, added...)
	return added
}

// The ports of a machine, as offsets from its first port.
const (
	portFront = iota
	portReady
	portControl
	portInternal     = 8
	portInternalLast = 23
	portEndpoint     = 30
)

// selectPorts draws random first ports until all ports of the machines are free.
func (c *Cluster) selectPorts() error {
	for range portAttempts {
		c.port = 12000 + rand.IntN(400)*machinePorts // below the kernel's ephemeral ports
		if c.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports on the loopback addresses")
}

func (c *Cluster) portsFree() bool {
	for _, p := range c.procs {
		for n := range machinePorts {
			l, err := net.Listen("tcp", p.at(n))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Zones returns the names of the zones.
func (c *Cluster) Zones() []string { return slices.Clone(c.zones) }

// InternalFirst returns the first internal port, which is the same on all machines.
func (c *Cluster) InternalFirst() int { return c.port + portInternal }

// EndpointAddress returns the address for endpoint n of a zone to listen on.
func (c *Cluster) EndpointAddress(zone, n int) string {
	return fmt.Sprintf("%s:%d", c.address(zone, 100+n), c.port+portEndpoint)
}

// Controls returns the addresses that accept heartbeats and the operator's calls.
func (c *Cluster) Controls() (out []string) {
	for _, p := range c.procs {
		if p.Role == Keeper {
			out = append(out, p.reached(portControl))
		}
	}
	return out
}

// Seeds returns the control addresses of up to three machines in different zones as far as possible.
func (c *Cluster) Seeds() (out []string) {
	var all []string
	for _, p := range c.procs {
		if p.Role == Keeper && !p.spare {
			all = append(all, p.at(portControl))
		}
	}
	for n := range c.options.Keepers {
		for z := range c.options.Zones {
			if len(out) < 3 {
				out = append(out, all[z*c.options.Keepers+n])
			}
		}
	}
	return out
}

// Start empties all disks, starts all processes except spares, and begins the platform's readiness checks.
func (c *Cluster) Start() error {
	for _, p := range c.procs {
		if err := os.RemoveAll(p.dir); err != nil { // left by an earlier run
			return err
		}
	}
	for _, p := range c.procs {
		if p.spare {
			continue
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	c.first.Store(false)
	for _, f := range c.fronts {
		c.wg.Go(func() { c.watch(f) })
	}
	return nil
}

// watch polls whether an edge machine is ready, every readyEvery or more often while it gets no connections.
func (c *Cluster) watch(f *front) {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		began := time.Now()
		ok := false
		if req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, "http://"+f.ready+"/ready", nil); err == nil {
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
				ok = resp.StatusCode == http.StatusOK
			}
		}
		c.mu.Lock()
		if f.misses++; ok {
			f.misses = 0
		}
		f.in = ok || f.in && f.misses < maxMisses
		wait := readyEvery - time.Since(began)
		if !f.in {
			wait /= 10 // detects a start sooner than the platform would
		}
		c.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-c.ctx.Done():
			return
		}
	}
}

// Front returns the front address that the platform routes a new connection of a client in a zone to. It returns false if no
// machine is available. If fewer than half of the zone's machines, but at least one, are ready, it selects among all machines
// of the zone; if none is, it selects among the ready ones of other zones.
func (c *Cluster) Front(zone string, hash uint64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := func(f *front) bool { return f.in }
	var own, ready, far []*front
	for _, f := range c.fronts {
		switch {
		case !f.expected():
		case f.zone == zone:
			own = append(own, f)
			if f.in {
				ready = append(ready, f)
			}
		case f.in:
			far = append(far, f)
		}
	}
	switch {
	case !slices.ContainsFunc(own, in):
		ready = far
	case 2*len(ready) < len(own):
		ready = own
	}
	if len(ready) == 0 {
		return "", false
	}
	return ready[hash%uint64(len(ready))].addr, true
}

// AwaitReady waits until all edge machines are ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		var missing []string
		c.mu.Lock()
		for _, f := range c.fronts {
			if !f.in && f.expected() {
				missing = append(missing, f.ready)
			}
		}
		c.mu.Unlock()
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("not ready: %s", strings.Join(missing, ", "))
		}
	}
}

// Find returns process n of a role, counted from 0, or nil if there are fewer.
func (c *Cluster) Find(role Role, n int) *Process {
	for _, p := range c.procs {
		if p.Role == role {
			if n == 0 {
				return p
			}
			n--
		}
	}
	return nil
}

// Processes returns all processes.
func (c *Cluster) Processes() []*Process { return slices.Clone(c.procs) }

// Ends describes all exits of processes that were unexpected or failed, with the last lines of their logs.
func (c *Cluster) Ends() (out []string) {
	for _, p := range c.procs {
		out = append(out, p.ends()...)
	}
	return out
}

// Close ends all processes, with SIGKILL after the grace period, and waits for them.
func (c *Cluster) Close() {
	c.cancel()
	var wg sync.WaitGroup
	for _, p := range c.procs {
		wg.Go(p.stop)
	}
	wg.Wait()
	c.wg.Wait()
	if c.hub != nil {
		_ = c.hub.Close()
	}
}
