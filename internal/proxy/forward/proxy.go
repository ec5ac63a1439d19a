package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/clientbody"
	"dunetide/internal/platform/telemetry"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/dispatch"
	"dunetide/internal/quota"
)

const (
	// DefaultMaxOpen is the default limit of connections to all endpoints together.
	DefaultMaxOpen = 1024

	defaultDrainWait     = 2200 * time.Millisecond
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second

	// maxHeaderBytes is net/http's limit of a client's header; the configured limit is checked in
	// addition.
	maxHeaderBytes = 256 << 10
)

// Options configures a Proxy.
type Options struct {
	// Snapshots has the newest configuration and endpoints.
	Snapshots *snapshot.Latest
	// Admission grants requests an endpoint.
	Admission dispatch.Admission
	// Match finds the route of a request by its Host header and its path as it was sent, without
	// the query; nil: the configuration's own.
	Match func(c *operatorconfig.Config, host, path string) *operatorconfig.Route
	// ServeBatch answers calls of batch jobs: those of bulk routes, and those of /lots/ and /items/,
	// for which route is nil. The tenant is that of the client's key; empty if the call needs none. Its
	// body has not been read; nil: there are no batch jobs.
	ServeBatch func(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route, tenant string)
	// RateLimiter decides whether a request of a tenant with a limit may run now; nil: no tenant is limited.
	RateLimiter quota.Limiter
	// Certificates decides which endpoints may run regulated requests; nil: nothing is regulated.
	Certificates *certification.Gate
	// Recorder records regulated runs; nil: nothing is recorded.
	Recorder Recorder
	// Ready reports whether the process can serve; nil: it always can.
	Ready func() bool
	// Now returns the time; nil: time.Now.
	Now func() time.Time
	// Rand returns random numbers in [0, 1); nil: math/rand.
	Rand func() float64
	// Log receives log messages; nil: nothing is logged.
	Log hclog.Logger
	// Dial opens connections to endpoints; nil: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxOpen limits the connections to all endpoints together; 0: DefaultMaxOpen.
	MaxOpen int
	// DrainWait is how long new connections are still accepted after Shutdown is called; 0: 2.2 s.
	DrainWait time.Duration
	// IdleTimeout is how long a client's connection may be idle; 0: 60 s. A longer idle_ms of the
	// configuration takes precedence.
	IdleTimeout time.Duration
	// BodyBudget limits the bytes of clients' bodies in memory; nil: no limit.
	BodyBudget *clientbody.Budget
	// HeaderTimeout is how long a client may take to send a header; 0: 10 s.
	HeaderTimeout time.Duration
}

// withDefaults returns the options with zero fields replaced by their defaults.
func (o Options) withDefaults() Options {
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
		o.DrainWait = defaultDrainWait
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	return o
}

// Proxy forwards requests. It is an http.Handler and safe for concurrent use.
type Proxy struct {
	options          Options
	connections      *upstream.Pools
	server           *http.Server
	draining         atomic.Bool
	unprepared       atomic.Int32 // requests waiting for a configuration
	failures         *telemetry.EventLog
	connectionStates connectionStates // of clients' connections

	mu    sync.Mutex
	pools map[string]endpointPool // by incarnation
}

// New returns a proxy. Serve starts it.
func New(options Options) *Proxy {
	o := options.withDefaults()
	p := &Proxy{
		options:  o,
		pools:    map[string]endpointPool{},
		failures: telemetry.NewEventLog(o.Log),
		connections: upstream.New(upstream.Config{
			Dial:        o.Dial,
			Now:         o.Now,
			Rand:        o.Rand,
			Senders:     assumedSenders,
			MaxOpen:     o.MaxOpen,
			MaxIdle:     idleLimit,
			DialTimeout: dialTimeout,
			MaxWait:     connectionTimeout,
		}),
	}
	p.server = &http.Server{
		Handler:           p,
		ConnContext:       withClientConn,
		ConnState:         p.connectionStates.onChange,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          o.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Error}),
	}
	return p
}

// Server returns the server of clients' connections, the same one on each call. It must be started
// with Proxy.Serve.
func (p *Proxy) Server() *http.Server { return p.server }

// ServeReady answers readiness checks: 200, or 503 while the process is not ready or is draining.
func (p *Proxy) ServeReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if !p.draining.Load() && (p.options.Ready == nil || p.options.Ready()) {
		status = http.StatusOK
	}
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// ErrGraceExpired is returned by Shutdown if it aborted requests that were in flight at the end of the
// grace period.
var ErrGraceExpired = errors.New("grace period expired with requests in flight")

// Shutdown stops serving clients. It first reports the process as not ready, while new requests are
// still served; then it accepts no more requests and waits for those in flight until the end of the
// grace period. It returns ErrGraceExpired if it had to abort some of them.
func (p *Proxy) Shutdown(grace time.Duration) error {
	began := p.options.Now()
	p.draining.Store(true)
	time.Sleep(min(p.options.DrainWait, grace))
	ctx, cancel := context.WithTimeout(context.Background(), max(0, grace-p.options.Now().Sub(began)))
	defer cancel()
	err := p.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = ErrGraceExpired
	}
	if err != nil {
		err = errors.Join(err, p.server.Close())
	}
	p.connections.Retire()
	return err
}
