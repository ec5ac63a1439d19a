package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/dispatch"
)

const (
	dialTimeout = 500 * time.Millisecond
	// connectionTimeout is how long a request waits for a connection if the limit is reached: another
	// endpoint may have a free one.
	connectionTimeout = 100 * time.Millisecond
	// deadLinkTimeout is how long bytes may stay unacknowledged before a connection counts as dead
	// (TCP_USER_TIMEOUT).
	deadLinkTimeout = 2 * time.Second
	// idleLimit is how long a connection to an endpoint may be idle.
	idleLimit = 20 * time.Second
	// assumedSenders is how many senders are assumed to share an endpoint when a pool tries to grow.
	assumedSenders = 8
)

// dial opens a TCP connection to an endpoint.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// A failure is ignored: without the option a network partition is only detected later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadLinkTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// endpointPool has the connections to one incarnation of an endpoint.
type endpointPool struct {
	*upstream.Pool
	addr    string
	maxOpen int // limit of this proxy's connections; 0: none
}

// poolFor returns the connection pool of an endpoint's incarnation.
func (p *Proxy) poolFor(t dispatch.Target) *upstream.Pool {
	maxOpen := p.maxConnections(t.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.pools[t.ID]; ok && e.addr == t.Address && e.maxOpen == maxOpen {
		return e.Pool
	}
	e := endpointPool{
		Pool:    p.connections.Endpoint(upstream.Endpoint{Name: t.ID, Addr: t.Address, MaxConns: maxOpen}),
		addr:    t.Address,
		maxOpen: maxOpen,
	}
	p.pools[t.ID] = e
	return e.Pool
}

// maxConnections returns this proxy's share of the connections that an endpoint of a service
// accepts; 0: no limit.
func (p *Proxy) maxConnections(service string) int {
	s := p.options.Snapshots.Get()
	if s == nil || s.Config == nil {
		return 0
	}
	configured := s.Config.Services[service]
	if configured == nil || configured.MaxConnections <= 0 {
		return 0
	}
	// A tenth is left unused, as not all proxies know the same number of proxies.
	return max(1, configured.MaxConnections*9/10/max(1, s.Proxies))
}

// Tidy closes connections that have been idle for too long and drops endpoints that are no longer
// listed. It should be called every second or two.
func (p *Proxy) Tidy() {
	if s := p.options.Snapshots.Get(); s != nil && s.EndpointsComplete {
		for _, e := range p.removeUnlisted(s) {
			e.Remove()
		}
	}
	p.connections.Sweep()
}

// removeUnlisted removes and returns the pools of endpoints that a snapshot does not list.
func (p *Proxy) removeUnlisted(s *snapshot.Snapshot) []endpointPool {
	listed := map[string]bool{}
	for _, all := range s.Endpoints {
		for _, e := range all {
			listed[e.ID] = e.State != snapshot.Removed
		}
	}
	var unlisted []endpointPool
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.pools {
		if !listed[id] {
			unlisted = append(unlisted, e)
			delete(p.pools, id)
		}
	}
	return unlisted
}
