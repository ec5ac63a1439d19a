package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/clientbody"
	"dunetide/internal/platform/descriptors"
	"dunetide/internal/platform/settings"
	"dunetide/internal/proxy/dispatch"
	"dunetide/internal/proxy/forward"
	"dunetide/internal/quota"
)

const (
	// bodyMemoryDivisor is the divisor of a proxy's memory limit that gives the budget for clients' request bodies.
	bodyMemoryDivisor = 5
	// confirmDivisor is the divisor of the time within which a withdrawal must be in force that
	// gives the interval at which the client has its certificates confirmed again.
	confirmDivisor = 5
	// shutdownMargin is the part of the grace period that is reserved for the exit of the process.
	shutdownMargin = 500 * time.Millisecond
	// Time limits of the readiness server.
	readyHeaderTimeout = 3 * time.Second
	readyIdleTimeout   = 30 * time.Second
)

// proxyCmd runs a proxy.
type proxyCmd struct{}

// Run serves the role until shutdown is requested, and then completes the requests in flight.
func (proxyCmd) Run(c *cli) error {
	p, err := start(c, controlclient.RoleProxy)
	if err != nil {
		return err
	}
	defer p.close()
	members, err := p.joinMembership(controlclient.RoleProxy, proxyPort)
	if err != nil {
		return err
	}
	r := newProxyRole(p, members)
	defer r.admission.Close()
	defer r.rates.Close()
	p.watcher.Subscribe(func(s *settings.Settings) { r.client.SetSeeds(seedLinks(s)) })
	return r.serve()
}

// proxyRole holds the components of a proxy process.
type proxyRole struct {
	process   *process
	snapshots *snapshot.Latest
	files     descriptors.Budget
	admission *dispatch.Dispatcher
	calls     *batchCalls
	rates     *quota.Client
	regulated *regulatedWork
	proxy     *forward.Proxy
	client    *controlclient.Client
}

// newProxyRole creates and connects the components of a proxy: the client receives snapshots and
// passes them to the others.
func newProxyRole(p *process, members *members) *proxyRole {
	s := p.settings
	r := &proxyRole{process: p, snapshots: &snapshot.Latest{}, files: descriptors.NewBudget(s.Limits.OpenFiles)}
	r.admission = dispatch.New(dispatch.Options{Name: s.NodeName, Zone: s.Zone, Snapshots: r.snapshots})
	bodies := clientbody.NewBudget(int64(s.Limits.MemoryMB) << 20 / bodyMemoryDivisor)
	r.calls = newBatchCalls(p, r.snapshots, bodies)
	r.rates = quota.NewClient(quota.ClientOptions{Stores: r.calls.jobs, Log: p.log})
	r.rates.RegisterMetrics()
	r.regulated = newRegulatedWork(p, r.snapshots, func() time.Time { return r.client.CertificatesConfirmedAt() })
	r.proxy = forward.New(forward.Options{
		Snapshots:    r.snapshots,
		Admission:    r.admission,
		ServeBatch:   r.calls.serveCall,
		Certificates: r.regulated.gate,
		Recorder:     r.regulated.recorder,
		RateLimiter:  r.rates,
		Ready:        r.ready,
		Log:          p.log,
		MaxOpen:      r.files.Endpoints(forward.DefaultMaxOpen),
		BodyBudget:   bodies,
	})
	r.proxy.RegisterMetrics()
	r.calls.setProxy(r.proxy)
	r.client = controlclient.New(controlclient.Options{
		Self: controlclient.Node{
			Name:        s.NodeName,
			Role:        controlclient.RoleProxy,
			Zone:        s.Zone,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:           seedLinks(s),
		KnownKeepers:    members.keepers,
		WantEndpoints:   true,
		Snapshots:       r.snapshots,
		Log:             p.log,
		ConfirmInterval: s.Bounds.Drain / confirmDivisor,
		OnSnapshot:      r.applySnapshot,
	})
	return r
}

// ready reports whether the process has received the configuration, all endpoints and the
// certificates, which it needs to serve requests.
func (r *proxyRole) ready() bool {
	snap := r.snapshots.Get()
	return snap != nil && snap.Config != nil && snap.EndpointsComplete && snap.CertificatesKnown
}

// applySnapshot applies a new snapshot, starting with the certificates: requests that they no longer
// allow must not be admitted.
func (r *proxyRole) applySnapshot(snap *snapshot.Snapshot) {
	r.regulated.gate.Update(snap.Certificates)
	r.admission.Update(snap)
	r.calls.applySnapshot(snap)
}

// serve listens and serves until shutdown is requested or serving fails.
func (r *proxyRole) serve() error {
	front, err := r.files.Listen(r.process.background, r.process.settings.FrontAddr)
	if err != nil {
		return err
	}
	ready, err := r.process.listen(r.process.settings.ReadyAddr)
	if err != nil {
		return err
	}
	// The client runs beyond the signal: requests in flight still have to be notified of drains.
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { r.client.Run(ctx) })
	running.Go(func() { r.regulated.recorder.Run(ctx) })
	running.Go(func() { everySecond(ctx, r.maintain) })
	readyServer := &http.Server{
		Handler:           http.HandlerFunc(r.proxy.ServeReady),
		ReadHeaderTimeout: readyHeaderTimeout,
		IdleTimeout:       readyIdleTimeout,
	}
	defer func() { _ = readyServer.Close() }() // no longer needed: an error has no effect
	running.Go(func() {
		if err := readyServer.Serve(ready); !errors.Is(err, http.ErrServerClosed) {
			r.process.log.Error("readiness server failed", "err", err)
		}
	})
	return r.serveClients(front)
}

// serveClients serves clients until shutdown is requested, and then completes the requests in flight.
func (r *proxyRole) serveClients(front net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- r.proxy.Serve(front) }() // ends with Shutdown
	select {
	case err := <-served:
		return err
	case <-r.process.ctx.Done():
	}
	r.process.log.Info("stopping")
	r.calls.stop()
	err := r.proxy.Shutdown(r.process.settings.Bounds.Grace - shutdownMargin)
	if errors.Is(err, forward.ErrGraceExpired) { // still a planned shutdown
		r.process.log.Warn("grace period over: connections closed", "err", err)
		err = nil
	}
	r.regulated.recorder.Drain(recordDrainTimeout)
	return err
}

// maintain runs the periodic tasks of a proxy.
func (r *proxyRole) maintain() {
	r.proxy.Tidy()
	r.regulated.logCounts()
}

// everySecond calls a function every second until the context ends.
func everySecond(ctx context.Context, call func()) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			call()
		case <-ctx.Done():
			return
		}
	}
}
