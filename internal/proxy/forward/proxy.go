// Package forward takes requests from clients and sends them on to endpoints. It says what may be
// answered at each moment of a request, so that nothing runs twice, nothing that may have run is
// refused, and no answer looks complete that isn't.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/telemetry"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/clientbody"
	"dunetide/internal/proxy/dispatch"
)

// DefaultMaxOpen bounds the connections to all endpoints together where nothing else does.
const DefaultMaxOpen = 1024

const (
	dialTimeout = 500 * time.Millisecond
	// connWait is how long a call waits for a connection where there may be no more of them: another
	// endpoint may have one to spare.
	connWait = 100 * time.Millisecond
	// deadLinkTimeout is how long bytes may stay unacknowledged before a link counts as dead.
	deadLinkTimeout = 2 * time.Second
	// idleLimit is the longest that a connection to an endpoint stands idle.
	idleLimit = 20 * time.Second
	// growthShare is how many senders are taken to share an endpoint, where a pool tries to grow.
	growthShare = 8
)

// Options are what a proxy is made of.
type Options struct {
	Holder    *snapshot.Latest
	Admission dispatch.Admission
	// Match finds the route of a request by its Host header and its path as it was sent, without the
	// query; nil: the configuration's own.
	Match func(c *operatorconfig.Config, host, path string) *operatorconfig.Route
	// Bulk answers calls of batch jobs: those of bulk routes, and of /lots/ and /items/ with no route.
	Bulk func(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route)
	// Certified says where regulated requests may go; nil: nothing is regulated. Record keeps their runs; nil: nobody does.
	Certified *certification.Gate
	Record    Recorder
	// Ready tells whether the process could serve; nil: it always could.
	Ready func() bool
	Now   func() time.Time // nil: time.Now
	Rand  func() float64   // from 0 to 1; nil: math/rand
	Log   hclog.Logger     // nil: nothing is logged
	// Dial opens connections to endpoints; nil: TCP.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	MaxOpen int // connections to all endpoints together; 0: DefaultMaxOpen
	// DrainWait is how long new connections are still served once the process is stopped; 0: 2.2 s.
	DrainWait time.Duration
	// IdleTimeout is how long a client's connection may stand idle; 0: 60 s.
	IdleTimeout time.Duration
	// Bodies bounds the bytes of clients' bodies that are in hand; nil: nothing does.
	Bodies *clientbody.Budget
	// HeaderWait is how long a client may take for a header; 0: 10 s.
	HeaderWait time.Duration
}

// Proxy forwards requests. It is an http.Handler.
type Proxy struct {
	o        Options
	conns    *upstream.Pools
	server   *http.Server
	draining atomic.Bool
	// unprepared is the number of requests that wait for the process to be able to serve.
	unprepared atomic.Int32
	failures   *telemetry.Log
	states     connStates

	mu    sync.Mutex
	pools map[string]pool // by incarnation
}

type pool struct {
	*upstream.Pool
	addr string
	most int
}

// New returns a proxy.
func New(o Options) *Proxy {
	if o.Match == nil {
		o.Match = (*operatorconfig.Config).Match
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Dial == nil {
		o.Dial = dial
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = DefaultMaxOpen
	}
	if o.DrainWait == 0 {
		o.DrainWait = 2200 * time.Millisecond
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = time.Minute
	}
	if o.HeaderWait == 0 {
		o.HeaderWait = 10 * time.Second
	}
	p := &Proxy{o: o, pools: map[string]pool{}, failures: telemetry.NewLog(o.Log)}
	p.conns = upstream.New(upstream.Config{Dial: o.Dial, Now: o.Now, Rand: o.Rand, Senders: growthShare,
		MaxOpen: o.MaxOpen, MaxIdle: idleLimit, DialTimeout: dialTimeout, MaxWait: connWait})
	p.server = &http.Server{
		Handler:           p,
		ConnContext:       withClientConn,
		ConnState:         p.states.change,
		ReadHeaderTimeout: o.HeaderWait,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    256 << 10, // what the configuration allows is checked with it
		ErrorLog:          o.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Error}),
	}
	return p
}

// dial opens a TCP connection to an endpoint.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without it a cut is found later, which is no reason not to connect.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadLinkTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// Server is the server of clients' connections; it is the same one each time. Serve is the way to start it.
func (p *Proxy) Server() *http.Server { return p.server }

// ServeReady answers whether clients should come here.
func (p *Proxy) ServeReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if !p.draining.Load() && (p.o.Ready == nil || p.o.Ready()) {
		status = http.StatusOK
	}
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Shutdown ends the serving of clients: first the process is no longer ready, while whatever still
// comes is served; then nothing new is taken, and what runs may end within the grace.
func (p *Proxy) Shutdown(grace time.Duration) error {
	began := p.o.Now()
	p.draining.Store(true)
	time.Sleep(min(p.o.DrainWait, grace))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace-p.o.Now().Sub(began)))
	defer cancel()
	err := p.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, p.server.Close())
	}
	p.conns.Retire()
	return err
}

// Tidy closes connections that have been idle for too long and forgets endpoints that are no longer
// listed. It is to be called every second or two.
func (p *Proxy) Tidy() {
	if s := p.o.Holder.Get(); s != nil && s.EndpointsComplete {
		listed := map[string]bool{}
		for _, all := range s.Endpoints {
			for _, e := range all {
				listed[e.ID] = e.State != snapshot.Removed
			}
		}
		var left []pool
		p.mu.Lock()
		for id, e := range p.pools {
			if !listed[id] {
				left = append(left, e)
				delete(p.pools, id)
			}
		}
		p.mu.Unlock()
		for _, e := range left {
			e.Remove()
		}
	}
	p.conns.Sweep()
}

// poolOf has the connections to an incarnation.
func (p *Proxy) poolOf(t dispatch.Target) *upstream.Pool {
	most := 0
	if s := p.o.Holder.Get(); s != nil && s.Config != nil {
		if svc := s.Config.Services[t.Service]; svc != nil && svc.MaxConnections > 0 {
			// Some is left free, as not all senders see the same number of them.
			most = max(1, svc.MaxConnections*9/10/max(1, s.Proxies))
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.pools[t.ID]; ok && e.addr == t.Address && e.most == most {
		return e.Pool
	}
	e := pool{p.conns.Endpoint(upstream.Endpoint{Name: t.ID, Addr: t.Address, MaxConns: most}), t.Address, most}
	p.pools[t.ID] = e
	return e.Pool
}
