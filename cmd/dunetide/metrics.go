package main

import (
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

// metricsPorts are where the roles tell their figures; deploy/system.toml names them too. Two roles may share a machine.
var metricsPorts = map[string]int{controlclient.RoleProxy: 19101, controlclient.RoleKeeper: 19102, controlclient.RoleStore: 19103}

// metricsAfter is how long after its start a process begins to tell its figures, so that a port that another role of the machine needs
// for its own work goes to that one.
const metricsDelay = 2 * time.Second

// startMetrics serves the figures of the process until it ends. A port that is taken is no reason not to work: it is told in the log.
func (p *process) startMetrics(role string) {
	port := metricsPorts[role]
	if portIsUsed(p.settings, port) {
		p.log.Warn("metrics not served: the settings give their port to something else", "port", port)
		return
	}
	time.AfterFunc(metricsDelay, func() {
		listener, err := net.Listen("tcp4", net.JoinHostPort(p.settings.IP, strconv.Itoa(port)))
		if err == nil {
			err = telemetry.Serve(listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			p.log.Warn("metrics not served", "port", port, "err", err)
		}
	})
}

// portIsUsed reports whether the settings give a port to something else of this process or between nodes.
func portIsUsed(s *settings.Settings, port int) bool {
	if port >= s.FirstInternalPort && port <= s.LastInternalPort {
		return true
	}
	return slices.ContainsFunc([]string{s.FrontAddr, s.ReadyAddr, s.ControlAddr}, func(address string) bool {
		_, used, err := net.SplitHostPort(address)
		return err == nil && used == strconv.Itoa(port)
	})
}
