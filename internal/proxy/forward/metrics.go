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
	"dunetide/internal/proxy/identity"
)

var (
	// requestsByVerdict counts requests by their last verdict.
	requestsByVerdict = newCounters("dunetide_proxy_requests_total", "verdict", int(attempt.Abort)+1, func(i int) string {
		return attempt.Verdict(i).String()
	})
	// sendsByEvent counts sends to endpoints by the event that followed.
	sendsByEvent = newCounters("dunetide_proxy_sends_total", "event", int(attempt.BodyComplete)+1, func(i int) string {
		return attempt.Event(i).String()
	})
	// unidentifiedRequests counts requests and batch calls that were answered 401, by the outcome of the identification.
	unidentifiedRequests = map[identity.Outcome]*metrics.Counter{
		identity.MissingKey:   tenantRefusals(identity.MissingKey.String()),
		identity.MalformedKey: tenantRefusals(identity.MalformedKey.String()),
		identity.UnknownKey:   tenantRefusals(identity.UnknownKey.String()),
	}
	// overLimitRequests counts requests that were answered 429, and uncountableRequests those answered 503 because the
	// store that counts for their tenant did not answer.
	overLimitRequests   = tenantRefusals("over_limit")
	uncountableRequests = tenantRefusals("not_countable")
	// closedConnections counts closed client connections by their last state.
	closedConnections = map[http.ConnState]*metrics.Counter{
		http.StateNew:    telemetry.Counter("dunetide_proxy_client_connections_closed_total", "while", "new"),
		http.StateActive: telemetry.Counter("dunetide_proxy_client_connections_closed_total", "while", "active"),
		http.StateIdle:   telemetry.Counter("dunetide_proxy_client_connections_closed_total", "while", "idle"),
	}
)

// tenantRefusals returns the counter of requests that were refused on behalf of tenants for a reason.
func tenantRefusals(reason string) *metrics.Counter {
	return telemetry.Counter("dunetide_proxy_tenant_refusals_total", "reason", reason)
}

// newCounters returns a counter for each value of an enumeration.
func newCounters(name, label string, values int, value func(i int) string) []*metrics.Counter {
	all := make([]*metrics.Counter, values)
	for i := range all {
		all[i] = telemetry.Counter(name, label, value(i))
	}
	return all
}

// recordVerdict counts the end of a client's request. A request that did not end with a complete answer
// of an endpoint is logged, with all endpoints that were tried.
func (x *exchange) recordVerdict(v attempt.Verdict, e attempt.Event) {
	requestsByVerdict[v].Inc()
	if v == attempt.Done || v == attempt.Forward {
		return
	}
	x.proxy.failures.Event("request failed", func() []any {
		fields := []any{
			"id", x.request.ID,
			"route", x.request.Route.Name,
			"service", x.request.Service,
			"verdict", v,
			"event", e,
			"may_have_run", x.mayHaveRun,
			"headed", x.headSent,
			"tried", strings.Join(x.request.Avoid, ","),
			"tries", x.attempts,
			"turns", x.rejections,
			"took", x.now().Sub(x.request.Arrived).Round(time.Millisecond),
			"left", x.timeLeft().Round(time.Millisecond),
		}
		if x.err != nil {
			fields = append(fields, "err", x.err)
		}
		return fields
	})
}

// logOwnAnswer counts and logs a 4xx or 5xx of the proxy's own for a request that was sent to no endpoint.
func (p *Proxy) logOwnAnswer(r *http.Request, status int, route *operatorconfig.Route) {
	telemetry.Counter("dunetide_proxy_own_answers_total", "status", http.StatusText(status)).Inc()
	p.failures.Event("request not taken", func() []any {
		fields := []any{
			"id", r.Header.Get(headerID),
			"status", status,
			"method", r.Method,
			"host", r.Host,
			"path", r.URL.Path,
			"version", p.configVersion(),
		}
		if route != nil {
			fields = append(fields, "route", route.Name)
		}
		return fields
	})
}

// configVersion returns the version of the current configuration; 0 if there is none.
func (p *Proxy) configVersion() uint64 {
	if s := p.options.Snapshots.Get(); s != nil && s.Config != nil {
		return s.Config.Version
	}
	return 0
}

// connectionStates counts clients' connections by state, and closed ones by their last state. Each
// connection stores its own state; the server makes the calls for one connection one at a time.
type connectionStates struct {
	open [http.StateClosed + 1]atomic.Int64
}

// onChange is the ConnState hook of the server.
func (c *connectionStates) onChange(conn net.Conn, state http.ConnState) {
	client, ok := conn.(*clientConn)
	if !ok || client.ended {
		return
	}
	if client.counted {
		c.open[client.state].Add(-1)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		client.ended = true
		if counter := closedConnections[client.state]; counter != nil && client.counted {
			counter.Inc()
		}
		return
	}
	client.state, client.counted = state, true
	client.becameIdle = state == http.StateIdle
	c.open[state].Add(1)
}

// count returns the number of connections in a state.
func (c *connectionStates) count(state http.ConnState) int { return int(c.open[state].Load()) }

// RegisterMetrics registers the gauges of this proxy. At most one proxy of a process may be registered.
func (p *Proxy) RegisterMetrics() {
	telemetry.GaugeFunc("dunetide_proxy_config_version", func() float64 { return float64(p.configVersion()) })
	telemetry.GaugeFunc("dunetide_proxy_draining", func() float64 { return telemetry.Bool(p.draining.Load()) })
	for state, name := range map[http.ConnState]string{http.StateActive: "active", http.StateIdle: "idle"} {
		count := func() float64 { return float64(p.connectionStates.count(state)) }
		telemetry.GaugeFunc("dunetide_proxy_client_connections", count, "state", name)
	}
	telemetry.GaugeFunc("dunetide_proxy_body_bytes", func() float64 { return float64(p.options.BodyBudget.Reserved()) })
	telemetry.GaugeFunc("dunetide_proxy_endpoint_pools", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(len(p.pools))
	})
}
