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

// startEvery is between the starts of proxies.
const startEvery = 50 * time.Millisecond

// proxy is attached to keepers and has its place in membership as a proxy has; it serves nobody.
type proxy struct {
	client  *controlclient.Client
	members *membership.Service
	latest  snapshot.Latest
	fleet   *proxies
	// version and left are what was observed last, so that each is reported once.
	version uint64
	left    string
}

// proxies are all of them, and what they see.
type proxies struct {
	wg        sync.WaitGroup
	cancel    context.CancelFunc
	all       []*proxy
	views     atomic.Int64 // snapshots that were made
	watch     atomic.Pointer[leaving]
	sightings chan sighting
}

// leaving is the endpoint whose end is looked for.
type leaving struct{ service, id string }

// sighting says that one proxy has a configuration in force, or knows that an endpoint leaves.
type sighting struct {
	at      time.Time
	version uint64
	left    string
}

// startProxies starts so many, spread over the zones, each with an address of its own.
func startProxies(n int, zones, seeds []string) (*proxies, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &proxies{cancel: cancel, sightings: make(chan sighting, 16*(n+1))}
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
			OnSnapshot:    p.changed,
			Log:           hclog.NewNullLogger(),
		})
		f.all = append(f.all, p)
		f.wg.Go(func() { p.client.Run(ctx) })
		time.Sleep(startEvery) // they share processors that real ones would not
	}
	return f, nil
}

// close ends all proxies and waits for their goroutines.
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

// changed is called one snapshot at a time.
func (p *proxy) changed(s *snapshot.Snapshot) {
	p.fleet.views.Add(1)
	found := sighting{at: time.Now()}
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
	case p.fleet.sightings <- found:
	default: // nobody looks: it is counted as not seen
	}
}

// converged reports whether all are attached twice and know as many endpoints as there are.
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

// attachedTwice counts those that hold two links.
func (f *proxies) attachedTwice() (n int) {
	for _, p := range f.all {
		if len(p.client.KeeperConns()) >= 2 {
			n++
		}
	}
	return n
}

// datagrams are the membership messages sent so far.
func (f *proxies) datagrams() (n, size uint64) {
	for _, p := range f.all {
		s := p.members.Stats()
		n, size = n+s.Sent, size+s.SentBytes
	}
	return n, size
}
