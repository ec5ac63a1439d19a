package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/descriptors"
	"dunetide/internal/platform/settings"
	"dunetide/internal/proxy/clientbody"
	"dunetide/internal/proxy/dispatch"
	"dunetide/internal/proxy/forward"
)

// bodiesPart is what part of the memory of a proxy clients' bodies may have: one in so many.
const bodyMemoryFraction = 5

type proxyCmd struct{}

// Run serves the role until the process is told to stop, and then what is under way.
func (proxyCmd) Run(c *cli) error {
	p, err := start(c, controlclient.RoleProxy)
	if err != nil {
		return err
	}
	s := p.settings
	members, err := p.joinMembership(controlclient.RoleProxy, proxyPort)
	if err != nil {
		return err
	}
	holder := &snapshot.Latest{}
	admission := dispatch.New(dispatch.Options{Name: s.NodeName, Zone: s.Zone, Snapshots: holder})
	defer admission.Close()
	files := descriptors.NewBudget(s.Limits.OpenFiles)
	bodies := clientbody.NewBudget(int64(s.Limits.MemoryMB) << 20 / bodyMemoryFraction)
	jobs := newBatchCalls(p, holder, bodies)
	var client *controlclient.Client
	regulated := newRegulatedWork(p, holder, func() time.Time { return client.CertificatesConfirmedAt() })
	proxy := forward.New(forward.Options{Snapshots: holder, Admission: admission, Log: p.log,
		Match:      func(c *operatorconfig.Config, host, path string) *operatorconfig.Route { return c.Match(host, path) },
		ServeBatch: jobs.serveCall, BodyBudget: bodies, MaxOpen: files.Endpoints(forward.DefaultMaxOpen),
		Certificates: regulated.gate, Recorder: regulated.recorder,
		Ready: func() bool {
			snap := holder.Get()
			return snap != nil && snap.Config != nil && snap.EndpointsComplete && snap.CertificatesKnown
		}})
	proxy.Observe()
	jobs.setProxy(proxy)
	client = controlclient.New(controlclient.Options{Self: controlclient.Node{Name: s.NodeName, Role: controlclient.RoleProxy, Zone: s.Zone,
		Incarnation: uint64(time.Now().UnixNano())}, Seeds: seedLinks(s), KnownKeepers: members.keepers,
		WantEndpoints: true, Snapshots: holder, Log: p.log, ConfirmInterval: s.Bounds.Drain / 5,
		OnSnapshot: func(snap *snapshot.Snapshot) {
			regulated.gate.Update(snap.Certificates)
			admission.Update(snap)
			jobs.applySnapshot(snap)
		}})
	p.watcher.Subscribe(func(s *settings.Settings) { client.SetSeeds(seedLinks(s)) })
	// The links outlast the signal: what is under way still has to know of drains.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	front, err := files.Listen(s.FrontAddr)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp4", s.ReadyAddr)
	if err != nil {
		return err
	}
	readyServer := &http.Server{Handler: http.HandlerFunc(proxy.ServeReady), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	wg.Add(4)
	go func() { defer wg.Done(); client.Run(ctx) }()
	go func() { defer wg.Done(); regulated.recorder.Run(ctx) }()
	go func() {
		defer wg.Done()
		if err := readyServer.Serve(ready); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("readiness not served", "err", err)
		}
	}()
	go func() {
		defer wg.Done()
		everySecond(ctx, func() {
			proxy.Tidy()
			regulated.logCounts()
		})
	}()
	served := make(chan error, 1)
	go func() { served <- proxy.Serve(front) }()
	select {
	case err = <-served:
	case <-p.ctx.Done():
		p.log.Info("stopping")
		jobs.stop()
		err = proxy.Shutdown(s.Bounds.Grace - 500*time.Millisecond)
		regulated.recorder.Drain(recordDrainTimeout)
	}
	cancel()
	_ = readyServer.Close()
	return err
}

// everySecond calls until the context ends.
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
