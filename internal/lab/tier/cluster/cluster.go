// Package cluster runs a small serving tier of real processes on loopback addresses, one address a
// machine, with settings as the platform writes them. Packages tier, soak and hollow and tests of cmd/dunetide start
// clusters; Close ends all processes that one has started. docs/tier-lab.md describes it.
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

// Options of a cluster.
type Options struct {
	Program string // dunetide
	Dir     string // for settings, disks and logs
	Zones   int
	Edges   int // a zone
	Keepers int // a zone, on the first edges
	Stores  int // over all zones in turn
	Spares  int // more edges with keepers, over all zones in turn, that do not run before they are started one by one
	// Relayed has all that the lab and the processes dial led through relays, so that a machine can be cut off. It
	// takes a program that BuildRelayed has made.
	Relayed bool
	// HeartbeatInterval and Grace go into the settings.
	HeartbeatInterval time.Duration
	Grace             time.Duration
	Rules             string // the parts in force, joined by commas
	Survive           int    // machines whose loss is to be borne at once; 0: 1
}

// Role of a process.
type Role string

// The roles.
const (
	Proxy  Role = "proxy"
	Keeper Role = "keeper"
	Store  Role = "store"
)

const (
	firstNet    = 20 // machines of zone z are 127.net.(firstNet+z).n
	portTries   = 50
	readyEvery  = time.Second
	missesOut   = 2
	machinePort = 40 // ports that a machine uses, from the first
	maxNets     = 250
)

// Cluster is what runs.
type Cluster struct {
	options Options
	net     int // the second part of all addresses
	port    int // the first of all machines' ports
	zones   []string
	procs   []*Process
	first   atomic.Bool // it is the first start of all
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc

	hub *faults.Hub // nil: nothing is relayed

	mu     sync.Mutex
	fronts []*front
}

// front is an edge machine as the platform sees it.
type front struct {
	proxy             *Process
	zone, addr, ready string
	in                bool
	misses            int
}

// expected reports whether the machine is one of the tier at present.
func (f *front) expected() bool { return f.proxy == nil || !f.proxy.absent() }

// address is that of a machine of a zone: edges from 10 on, stores from 50 on, endpoints from 100 on. Each cluster
// has a net of its own among the loopback addresses, so that several may run side by side.
func (c *Cluster) address(zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.net, firstNet+zone, n)
}

// New lays a cluster out and draws ports that are free; nothing runs yet.
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
	if err := c.drawPorts(); err != nil {
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

// addEdge lays out the processes of an edge machine: a proxy, and with keeps a keeper beside it.
func (c *Cluster) addEdge(zone, n int, keeps bool) (added []*Process) {
	machine, ip := fmt.Sprintf("edge-%s-%d", c.zones[zone], n+1), c.address(zone, 10+n)
	added = append(added, &Process{
		cluster: c,
		Role:    Proxy,
		Machine: machine,
		class:   "edge",
		serves:  "edge",
		zone:    zone,
		ip:      ip,
		disk:    keeps,
	})
	if keeps {
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

// The ports of a machine, from the cluster's first.
const (
	portFront = iota
	portReady
	portControl
	portInternal     = 8
	portInternalLast = 23
	portEndpoint     = 30
)

// drawPorts chooses a first port at random until all ports of the machines are free.
func (c *Cluster) drawPorts() error {
	for range portTries {
		c.port = 12000 + rand.IntN(400)*machinePort // below what the kernel draws
		if c.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports on the loopback addresses")
}

func (c *Cluster) portsFree() bool {
	for _, p := range c.procs {
		for n := range machinePort {
			l, err := net.Listen("tcp", p.at(n))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Zones names them.
func (c *Cluster) Zones() []string { return slices.Clone(c.zones) }

// InternalFirst is the first of all machines' internal ports.
func (c *Cluster) InternalFirst() int { return c.port + portInternal }

// EndpointAddress is where endpoint n of a zone may listen.
func (c *Cluster) EndpointAddress(zone, n int) string {
	return fmt.Sprintf("%s:%d", c.address(zone, 100+n), c.port+portEndpoint)
}

// Controls are the addresses that accept heartbeats and the operator's calls.
func (c *Cluster) Controls() (out []string) {
	for _, p := range c.procs {
		if p.Role == Keeper {
			out = append(out, p.reached(portControl))
		}
	}
	return out
}

// Seeds are the control addresses of three machines, of as many zones as there are.
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

// Start empties all disks, starts all processes but spares, and the platform's look at who is ready.
func (c *Cluster) Start() error {
	for _, p := range c.procs {
		if err := os.RemoveAll(p.dir); err != nil { // of an earlier run
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

// watch polls once a second whether an edge machine is ready.
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
		f.in = ok || f.in && f.misses < missesOut
		wait := readyEvery - time.Since(began)
		if !f.in {
			wait /= 10 // a start is seen sooner than by the platform
		}
		c.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-c.ctx.Done():
			return
		}
	}
}

// Front is the front address that the platform gives a new connection of a client in a zone to.
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
		var out []string
		c.mu.Lock()
		for _, f := range c.fronts {
			if !f.in && f.expected() {
				out = append(out, f.ready)
			}
		}
		c.mu.Unlock()
		if len(out) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("not ready: %s", strings.Join(out, ", "))
		}
	}
}

// Find gives process n, from 0, of a role.
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

// Processes are all of them.
func (c *Cluster) Processes() []*Process { return slices.Clone(c.procs) }

// Ends names the processes that ended by themselves, or otherwise than they were asked to, with the end of what they logged.
func (c *Cluster) Ends() (out []string) {
	for _, p := range c.procs {
		out = append(out, p.ends()...)
	}
	return out
}

// Close ends all processes, at last by force, and waits for them.
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
