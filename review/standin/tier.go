package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of a machine, as offsets from its first one.
const (
	portFront = iota
	portReady
	portControl
	portInternal
	portInternalLast = portInternal + 15
	portEndpoint     = portInternalLast + 1
	portCount        = portEndpoint + 1
)

// beatEvery is the interval of the endpoints' heartbeats, as on the sheet of the small deployments.
const beatEvery = 1200 * time.Millisecond

// tierOptions say how large a tier is.
type tierOptions struct {
	zones     []string
	edges     int // of each zone; all of them run a proxy
	keepers   int // of each zone: the first edge machines, of which the first has a disk
	stores    int // over the zones in turn
	endpoints int // over the zones in turn
	// oldEndpoints is how many further endpoints the old service has.
	oldEndpoints int
	capacity     int // requests that an endpoint works on at once
	config       func() []byte
	engine       engine // how the endpoints answer
}

// tier is the whole deployment.
type tier struct {
	options   tierOptions
	log       *record
	trouble   bool
	processes []*process
	endpoints []*endpoint
	stop      context.CancelFunc
	wg        sync.WaitGroup
	first     bool
	network   int
	port      int
}

// newTier lays the machines out on free loopback addresses.
func newTier(o tierOptions, folder string, log *record) (*tier, error) {
	t := &tier{options: o, log: log, first: true, network: 1 + rand.IntN(250), stop: func() {}}
	for try := 0; ; try++ {
		t.port = 12000 + rand.IntN(400)*40 // below the ephemeral ports
		if t.portsFree() {
			break
		}
		if try == 50 {
			return nil, errors.New("no free ports")
		}
	}
	for z, zone := range o.zones {
		for n := range o.edges {
			machine := fmt.Sprintf("edge-%s-%d", zone, n+1)
			edge := &process{machine: machine, class: "edge", zone: z, ip: t.ip(z, 10+n), disk: n == 0}
			t.add(folder, edge, "proxy", "edge")
			if n < o.keepers {
				t.add(folder, edge, "keeper", "control")
			}
		}
	}
	for n := range o.stores {
		z := n % len(o.zones)
		t.add(folder, &process{
			machine: fmt.Sprintf("storage-%s-%d", o.zones[z], n/len(o.zones)+1),
			class:   "storage",
			zone:    z,
			ip:      t.ip(z, 50+n/len(o.zones)),
			disk:    true,
		}, "store", "storage")
	}
	return t, nil
}

// add adds the process of a role on a machine.
func (t *tier) add(folder string, machine *process, role, serves string) {
	p := &process{
		machine: machine.machine, class: machine.class, zone: machine.zone, ip: machine.ip, disk: machine.disk,
		role: role, serves: serves, tier: t, folder: filepath.Join(folder, machine.machine, role),
	}
	t.processes = append(t.processes, p)
}

// ip returns the address of machine n of a zone.
func (t *tier) ip(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", t.network, 20+zone, n) }

// portsFree reports whether the ports are free on the first machine; the others use the same ones on addresses of the same net.
func (t *tier) portsFree() bool {
	for n := range portCount {
		var lc net.ListenConfig
		l, err := lc.Listen(context.Background(), "tcp4", fmt.Sprintf("%s:%d", t.ip(0, 10), t.port+n))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts the endpoints and all processes, sends the configuration, and waits until all proxies are ready.
func (t *tier) start(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	t.stop = stop
	for n := range t.options.endpoints + t.options.oldEndpoints {
		z := n % len(t.options.zones)
		e := &endpoint{
			tier:    t,
			id:      fmt.Sprintf("i-%08x", rand.Uint32()),
			service: serviceOf(n, t.options.endpoints),
			zone:    t.options.zones[z],
			address: fmt.Sprintf("%s:%d", t.ip(z, 100+n/len(t.options.zones)), t.port+portEndpoint),
		}
		if err := e.start(background); err != nil {
			return err
		}
		t.endpoints = append(t.endpoints, e)
	}
	for _, p := range t.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	t.first = false
	config := t.options.config()
	if err := t.putConfig(ctx, 0, config); err != nil {
		return err
	}
	for _, p := range t.processes {
		for p.role == "proxy" && !ready(ctx, p) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", p.machine)
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	t.log.write("the tier is ready: %d processes, %d endpoints", len(t.processes), len(t.endpoints))
	return nil
}

// serviceOf returns the service of an endpoint by its number: the first ones belong to the main service.
func serviceOf(n, endpoints int) string {
	if n < endpoints {
		return service
	}
	return oldService
}

// ready asks a proxy whether it is ready, as the platform does.
func ready(ctx context.Context, p *process) bool {
	status, _, err := call(ctx, time.Second, http.MethodGet, p.at(portReady), "/ready", "", nil, nil)
	return err == nil && status == http.StatusOK
}

// close ends everything that the tier has started.
func (t *tier) close() {
	var ending sync.WaitGroup
	for _, p := range t.processes {
		ending.Go(p.kill)
	}
	ending.Wait()
	t.stop()
	for _, e := range t.endpoints {
		e.close()
	}
	t.wg.Wait()
}

// role returns the processes of a role.
func (t *tier) role(name string) (found []*process) {
	for _, p := range t.processes {
		if p.role == name {
			found = append(found, p)
		}
	}
	return found
}

// controls returns the addresses that the operator and the endpoints call.
func (t *tier) controls() (addresses []string) {
	for _, p := range t.role("keeper") {
		addresses = append(addresses, p.at(portControl))
	}
	return addresses
}

// seeds returns the control addresses of the first machines of up to three zones.
func (t *tier) seeds() string {
	var seeds []string
	for _, p := range t.role("keeper") {
		if strings.HasSuffix(p.machine, "-1") && len(seeds) < 3 {
			seeds = append(seeds, p.at(portControl))
		}
	}
	return strings.Join(seeds, ",")
}

// putConfig sends a configuration to one control address after the other until one gives a clear answer.
func (t *tier) putConfig(ctx context.Context, base uint64, config []byte) error {
	header := map[string]string{"If-Match": fmt.Sprint(base), "Content-Type": "application/json"}
	for {
		for _, address := range t.controls() {
			status, body, err := call(ctx, time.Second, http.MethodPut, address, "/config", "", header, config)
			switch {
			case err != nil:
			case status == http.StatusOK:
				t.log.write("configuration on top of version %d acknowledged", base)
				return nil
			case status < http.StatusInternalServerError:
				return fmt.Errorf("configuration refused with %d: %s", status, body)
			}
		}
		if ctx.Err() != nil {
			return errors.New("no configuration was acknowledged")
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// write writes a file whole.
func write(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
