package hollow

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/membership"
	"dunetide/internal/control/snapshot"
)

// startEvery is the interval between the starts of proxies.
const startEvery = 50 * time.Millisecond

// proxy is a hollow proxy: it is attached to keepers and is a member of the cluster, but serves no clients.
type proxy struct {
	client  *controlclient.Client
	members *membership.Service
	latest  snapshot.Latest
	fleet   *proxies
	// version and left are the newest observations, so that each is reported once.
	version uint64
	left    string
}

// proxies has all hollow proxies and their observations.
type proxies struct {
	wg           sync.WaitGroup
	cancel       context.CancelFunc
	all          []*proxy
	views        atomic.Int64 // number of snapshots received
	watch        atomic.Pointer[leaving]
	observations chan observation
}

// leaving identifies the draining endpoint that the proxies watch for.
type leaving struct{ service, id string }

// observation reports that a proxy has a new configuration in force, or knows that the watched endpoint drains.
type observation struct {
	at      time.Time
	version uint64 // 0 if no new configuration
	left    string // ID of the endpoint, if any
}

// startProxies starts n proxies, distributed over the zones, each with its own address.
func startProxies(n int, zones, seeds []string) (*proxies, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &proxies{cancel: cancel, observations: make(chan observation, 16*(n+1))}
	for i := range n {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 100+byte(i/200), 1+byte(i%200))})
		if err != nil {
			f.close()
			return nil, err
		}
		p := &proxy{fleet: f}
		zone, incarnation := zones[i%len(zones)], uint64(time.Now().UnixNano())
		name := "hollow-" + conn.LocalAddr().String()
		self := membership.Peer{
			Name:        name,
			Role:        controlclient.RoleProxy,
			Zone:        zone,
			Addr:        conn.LocalAddr().String(),
			Incarnation: incarnation,
		}
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		p.members, err = membership.Start(ctx, conn, membership.Options{Self: self, Rand: rng}, seeds)
		if err != nil {
			_ = conn.Close()
			f.close()
			return nil, err
		}
		p.client = controlclient.New(controlclient.Options{
			Self: controlclient.Node{
				Name:        name,
				Role:        controlclient.RoleProxy,
				Zone:        zone,
				Incarnation: incarnation,
			},
			Seeds:         seeds,
			KnownKeepers:  p.keepers,
			WantEndpoints: true,
			Snapshots:     &p.latest,
			OnSnapshot:    p.onSnapshot,
			Log:           hclog.NewNullLogger(),
		})
		f.all = append(f.all, p)
		f.wg.Go(func() { p.client.Run(ctx) })
		time.Sleep(startEvery) // hollow proxies share processors, which real ones would not
	}
	return f, nil
}

// close stops all proxies and waits for their goroutines.
func (f *proxies) close() {
	f.cancel()
	f.wg.Wait()
	for _, p := range f.all {
		<-p.members.Done()
	}
}

// keepers returns the keepers that membership knows.
func (p *proxy) keepers() (nodes []controlclient.Node) {
	for _, k := range p.members.Keepers() {
		nodes = append(nodes, controlclient.Node{
			Name:        k.Name,
			Role:        controlclient.RoleKeeper,
			Zone:        k.Zone,
			Addr:        k.Addr,
			Incarnation: k.Incarnation,
		})
	}
	return nodes
}

// onSnapshot reports observations from a new snapshot. Calls do not overlap.
func (p *proxy) onSnapshot(s *snapshot.Snapshot) {
	p.fleet.views.Add(1)
	found := observation{at: time.Now()}
	if s.Config != nil && s.Config.Version > p.version {
		p.version, found.version = s.Config.Version, s.Config.Version
	}
	if w := p.fleet.watch.Load(); w != nil && p.left != w.id && s.EndpointsComplete {
		list := s.Endpoints[w.service]
		byID := func(e *snapshot.Endpoint, id string) int { return strings.Compare(e.ID, id) }
		at, there := slices.BinarySearchFunc(list, w.id, byID)
		if !there || list[at].State != snapshot.Ready {
			p.left, found.left = w.id, w.id
		}
	}
	if found.version == 0 && found.left == "" {
		return
	}
	select {
	case p.fleet.observations <- found:
	default: // the buffer is full, so the observation counts as missing
	}
}

// converged reports whether all proxies are attached twice, have a configuration and know the given number of endpoints.
func (f *proxies) converged(endpoints int) bool {
	for _, p := range f.all {
		s := p.latest.Get()
		if len(p.client.KeeperConns()) < 2 || s == nil || !s.EndpointsComplete || s.Config == nil {
			return false
		}
		n := 0
		for _, list := range s.Endpoints {
			n += len(list)
		}
		if n != endpoints {
			return false
		}
	}
	return true
}

// attachedTwice returns the number of proxies with connections to at least two keepers.
func (f *proxies) attachedTwice() (n int) {
	for _, p := range f.all {
		if len(p.client.KeeperConns()) >= 2 {
			n++
		}
	}
	return n
}

// datagrams returns the number and the total size of the membership messages sent so far.
func (f *proxies) datagrams() (n, size uint64) {
	for _, p := range f.all {
		s := p.members.Stats()
		n, size = n+s.Sent, size+s.SentBytes
	}
	return n, size
}
