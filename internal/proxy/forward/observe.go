package forward

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/telemetry"
	"dunetide/internal/proxy/attempt"
)

// verdicts counts requests by how they ended, sends counts sendings to endpoints by what came of them.
var (
	verdicts = countersOf("dunetide_proxy_requests_total", "verdict", int(attempt.Abort)+1, func(i int) string { return attempt.Verdict(i).String() })
	sends    = countersOf("dunetide_proxy_sends_total", "event", int(attempt.BodyComplete)+1, func(i int) string { return attempt.Event(i).String() })
	// closedWhile counts clients' connections by the state in which they ended.
	closedWhile = map[http.ConnState]*metrics.Counter{
		http.StateNew:    telemetry.Counter("dunetide_proxy_client_connections_closed_total", "while", "new"),
		http.StateActive: telemetry.Counter("dunetide_proxy_client_connections_closed_total", "while", "active"),
		http.StateIdle:   telemetry.Counter("dunetide_proxy_client_connections_closed_total", "while", "idle"),
	}
)

// countersOf makes a counter for each value of an enumeration.
func countersOf(name, label string, values int, value func(i int) string) []*metrics.Counter {
	all := make([]*metrics.Counter, values)
	for i := range all {
		all[i] = telemetry.Counter(name, label, value(i))
	}
	return all
}

// noteVerdict counts the end of a client's request. One that did not end with an endpoint's whole answer is told in the log, with all
// that was tried.
func (x *exchange) noteVerdict(v attempt.Verdict, e attempt.Event) {
	verdicts[v].Inc()
	if v == attempt.Done || v == attempt.Forward {
		return
	}
	x.p.failures.Event("request failed", func() []any {
		fields := []any{"id", x.req.ID, "route", x.req.Route.Name, "service", x.req.Service, "verdict", v, "event", e, "may_have_run", x.mayHaveRun,
			"headed", x.headed, "tried", strings.Join(x.req.Avoid, ","), "tries", x.tries, "turns", x.turns,
			"took", x.now().Sub(x.req.Arrived).Round(time.Millisecond), "left", x.left().Round(time.Millisecond)}
		if x.err != nil {
			fields = append(fields, "err", x.err)
		}
		return fields
	})
}

// noteOwnAnswer tells of a 4xx or 5xx that no endpoint and no verdict is behind.
func (p *Proxy) noteOwnAnswer(r *http.Request, status int, route *operatorconfig.Route) {
	telemetry.Counter("dunetide_proxy_own_answers_total", "status", http.StatusText(status)).Inc()
	p.failures.Event("request not taken", func() []any {
		fields := []any{"id", r.Header.Get(headerID), "status", status, "method", r.Method, "host", r.Host, "path", r.URL.Path, "version", p.version()}
		if route != nil {
			fields = append(fields, "route", route.Name)
		}
		return fields
	})
}

// version is that of the configuration in force; 0: there is none.
func (p *Proxy) version() uint64 {
	if s := p.o.Holder.Get(); s != nil && s.Config != nil {
		return s.Config.Version
	}
	return 0
}

// connStates counts clients' connections by their state, so that one that ends can be counted by what it was in. Each connection keeps
// its own state, which its server changes one call at a time.
type connStates struct {
	open [http.StateClosed + 1]atomic.Int64
}

// change is the hook of the server.
func (c *connStates) change(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok || client.ended {
		return
	}
	if client.counted {
		c.open[client.state].Add(-1)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		client.ended = true
		if counter := closedWhile[client.state]; counter != nil && client.counted {
			counter.Inc()
		}
		return
	}
	client.state, client.counted = state, true
	c.open[state].Add(1)
}

// count is how many connections are in a state.
func (c *connStates) count(state http.ConnState) int { return int(c.open[state].Load()) }

// Observe declares the figures of this proxy.
func (p *Proxy) Observe() {
	telemetry.Gauge("dunetide_proxy_config_version", func() float64 { return float64(p.version()) })
	telemetry.Gauge("dunetide_proxy_draining", func() float64 { return telemetry.Bool(p.draining.Load()) })
	for state, name := range map[http.ConnState]string{http.StateActive: "active", http.StateIdle: "idle"} {
		telemetry.Gauge("dunetide_proxy_client_connections", func() float64 { return float64(p.states.count(state)) }, "state", name)
	}
	telemetry.Gauge("dunetide_proxy_body_bytes", func() float64 { return float64(p.o.Bodies.Reserved()) })
	telemetry.Gauge("dunetide_proxy_endpoint_pools", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(len(p.pools))
	})
}
