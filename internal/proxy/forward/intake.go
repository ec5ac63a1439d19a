package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/clientbody"
	"dunetide/internal/proxy/identity"
)

const (
	// unpreparedRetryAfter is the Retry-After of a refusal by a process that has just started.
	unpreparedRetryAfter = 3 * defaultRetryAfter
	// writeMargin is how long after its deadline an answer may still be written to the client.
	writeMargin = 150 * time.Millisecond
	// headerMargin is how many bytes the forwarded head may exceed the limit by: some fields are
	// written in a different form than they were received.
	headerMargin = 256
)

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := arrival{at: p.options.Now()}
	closeIfAmbiguous(w, r)
	target, path := requestTarget(r)
	if !strings.HasPrefix(target, "/") {
		p.refuseUnread(w, r, http.StatusBadRequest, nil)
		return
	}
	arrived.admitted = arrived.at
	if !hasConfig(p.options.Snapshots.Get()) {
		if status := p.awaitConfig(w, r); status != 0 {
			refusedBeforePreparation.Inc()
			p.refuse(w, r, status, unpreparedRetryAfter, nil)
			return
		}
		servedAfterPreparation.Inc()
		arrived.admitted = p.options.Now()
	}
	config := p.options.Snapshots.Get().Config
	if p.options.ServeBatch != nil && isBatchPath(path) && !p.hasOwnRoute(config, r.Host, path) {
		p.serveBatch(w, r, nil, identity.OfJobCall(config, r.Host, r.Header))
		return
	}
	route := p.options.Match(config, r.Host, path)
	if route == nil {
		p.refuseUnread(w, r, http.StatusNotFound, nil)
		return
	}
	asker := identity.OfRequest(config, route, r.Header)
	if route.Kind == operatorconfig.Bulk && p.options.ServeBatch != nil {
		p.serveBatch(w, r, route, asker)
		return
	}
	if asker.Refused() {
		p.refuseUnidentified(w, r, route, asker)
		return
	}
	p.forward(w, r, &admissible{config: config, route: route, asker: asker, target: target, arrived: arrived})
}

// admissible is a request that the configuration allows.
type admissible struct {
	config  *operatorconfig.Config // in force when the request's header had been read
	route   *operatorconfig.Route
	asker   identity.Identity
	target  string // as it is forwarded
	arrived arrival
}

// arrival has the times at which a request arrived and was admitted.
type arrival struct {
	at       time.Time // when its header was read
	admitted time.Time // when the process could serve it: later than at if the process had just started
}

// requestTarget returns the target of a request as it is forwarded, with the query, and its path as
// the client sent it. A target that does not begin with a slash can't be forwarded.
func requestTarget(r *http.Request) (target, path string) {
	target, path = r.RequestURI, r.URL.EscapedPath()
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // of a URL with scheme and host
	} else if raw, _, _ := strings.Cut(target, "?"); raw != path {
		path = raw
	}
	return target, path
}

// hasOwnRoute reports whether a path of the batch API belongs to a route: one of a host without batch jobs whose prefix
// is below that of the API. A route with a shorter prefix does not take the path, as a job stays readable after its own
// route is gone.
func (p *Proxy) hasOwnRoute(config *operatorconfig.Config, host, path string) bool {
	route := p.options.Match(config, host, path)
	if route == nil || route.Kind == operatorconfig.Bulk || !isBatchPath(route.PathPrefix) {
		return false
	}
	return !slices.ContainsFunc(config.Routes, func(r operatorconfig.Route) bool {
		return r.Kind == operatorconfig.Bulk && r.ServesHost(host)
	})
}

// isBatchPath reports whether a path is one of the batch API.
func isBatchPath(path string) bool {
	return strings.HasPrefix(path, "/lots/") || strings.HasPrefix(path, "/items/")
}

// serveBatch answers a call of the batch API; route is nil if only the job is known.
func (p *Proxy) serveBatch(
	w http.ResponseWriter, r *http.Request,
	route *operatorconfig.Route, asker identity.Identity,
) {
	if asker.Refused() {
		p.refuseUnidentified(w, r, route, asker)
		return
	}
	p.closeWhenDraining(w.Header())
	p.options.ServeBatch(w, r, route, asker.TenantName())
}

// forward reads a client's request, sends it to an endpoint and forwards the answer.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, a *admissible) {
	route, limits := a.route, &a.config.Limits
	if status := statusIfUnanswerable(r); status != 0 {
		w.Header().Set("Connection", "close")
		p.refuse(w, r, status, 0, route)
		return
	}
	timeout := clientTimeout(route, r.Header)
	x := p.newExchange(r, a, timeout)
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(a.arrived.at.Add(timeout + writeMargin)) // otherwise a client that doesn't read would block the write
	body := getBuffer()
	defer putBuffer(body)
	head, stream := x.acquireBuffers()
	defer x.releaseBuffers(head, stream)
	if r.ContentLength != 0 {
		bodyLimits := clientbody.Limits{MaxBytes: limits.MaxBodyBytes, Deadline: x.deadline, Budget: p.options.BodyBudget}
		if status := clientbody.Read(rc, r, bodyLimits, body); status != 0 {
			w.Header().Set("Connection", "close") // the rest of the body would be read as the next request
			p.refuse(w, r, status, defaultRetryAfter, route)
			return
		}
		x.body = *body
		defer p.options.BodyBudget.Release(len(x.body))
	}
	x.buildHead(a.target, r.Host, r.Header, len(x.body))
	if limits.MaxHeaderBytes > 0 && x.sharedHeadLength+x.withheldLength > limits.MaxHeaderBytes+headerMargin {
		p.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, 0, route)
		return
	}
	if err := x.acquirePermit(a.asker.Tenant, a.config.Version); err != nil {
		p.refuseUncounted(x, w, r, err)
		return
	}
	p.answerFromEndpoints(x, w, r, rc)
}

// statusIfUnanswerable returns the status to refuse a request with if its answer could be confused
// with another's, or a truncated answer with a complete one; 0 for any other request.
func statusIfUnanswerable(r *http.Request) int {
	switch {
	case !r.ProtoAtLeast(1, 1): // a truncated stream would look complete
		return http.StatusHTTPVersionNotSupported
	case len(r.Header[headerID]) != 1 || r.Header[headerID][0] == "":
		return http.StatusBadRequest
	}
	return 0
}

// clientTimeout returns how long a client waits for its answer: the route's timeout, or the time left
// that the client states if that is less.
func clientTimeout(route *operatorconfig.Route, header http.Header) time.Duration {
	timeout := time.Duration(route.TimeoutMs) * time.Millisecond
	ms, err := strconv.ParseInt(header.Get(headerTimeLeft), 10, 64)
	if err == nil && ms >= 0 && ms < timeout.Milliseconds() {
		return time.Duration(ms) * time.Millisecond
	}
	return timeout
}

// newExchange returns the exchange of a client's request.
func (p *Proxy) newExchange(r *http.Request, a *admissible, timeout time.Duration) *exchange {
	x := &exchange{proxy: p, ctx: r.Context(), method: r.Method}
	x.describe(a.route, r.Header.Get)
	x.setTenant(a.asker.Tenant)
	x.withholdsKey = a.asker.WithholdsKey()
	x.deadline = a.arrived.at.Add(timeout - min(answerMargin, timeout/8))
	x.request.Arrived, x.request.Deadline = a.arrived.admitted, x.deadline
	x.request.Due = a.arrived.at.Add(time.Duration(a.route.LatencyTargetMs) * time.Millisecond)
	x.lastEventID = r.Header.Get(headerLastEvent)
	return x
}
