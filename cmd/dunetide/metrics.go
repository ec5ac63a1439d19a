package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/telemetry"
)

// metricsPorts are the metrics ports of the roles, as declared in deploy/system.toml. They differ
// because two roles may share a machine.
var metricsPorts = map[string]int{
	controlclient.RoleProxy:  19101,
	controlclient.RoleKeeper: 19102,
	controlclient.RoleStore:  19103,
}

// metricsDelay is how long after its start a process begins to serve metrics, so that another role
// on the machine that needs the same port for its own work can bind it first.
const metricsDelay = 2 * time.Second

// startMetrics serves the metrics of the process until it exits. A port that is in use is only
// logged, as the process works without metrics.
func (p *process) startMetrics(role string) {
	port := metricsPorts[role]
	if portIsUsed(p.settings, port) {
		p.log.Warn("metrics not served: the settings assign the metrics port to another listener", "port", port)
		return
	}
	p.goroutines.Go(func() {
		select {
		case <-time.After(metricsDelay):
		case <-p.background.Done():
			return
		}
		addr := net.JoinHostPort(p.settings.IP, strconv.Itoa(port))
		if err := p.serveMetrics(addr); !errors.Is(err, http.ErrServerClosed) {
			p.log.Warn("metrics not served", "port", port, "err", err)
		}
	})
}

// serveMetrics serves metrics at an address until the process exits.
func (p *process) serveMetrics(addr string) error {
	listener, err := p.listen(addr)
	if err != nil {
		return err
	}
	server := telemetry.NewServer()
	context.AfterFunc(p.background, func() { _ = server.Close() })
	return server.Serve(listener)
}

// portIsUsed reports whether the settings assign a port to another listener of this process or
// include it in the range of internal ports.
func portIsUsed(s *settings.Settings, port int) bool {
	if port >= s.FirstInternalPort && port <= s.LastInternalPort {
		return true
	}
	return slices.ContainsFunc([]string{s.FrontAddr, s.ReadyAddr, s.ControlAddr}, func(address string) bool {
		_, used, err := net.SplitHostPort(address)
		return err == nil && used == strconv.Itoa(port)
	})
}
