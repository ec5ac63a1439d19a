package forward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/quota"
)

// tenantFields are the fields of a customer in a configuration of these tests.
type tenantFields map[string]any

// tenantRig is a rig whose configuration is parsed and can be replaced by a newer one.
type tenantRig struct {
	*rig
	snapshots *snapshot.Latest
}

// newTenantRig returns a rig with one route of a kind under /r/, a public one under /p/, and customers.
func newTenantRig(t *testing.T, kind string, customers []tenantFields, change func(o *Options), endpoints ...*endpoint) *tenantRig {
	t.Helper()
	g := &tenantRig{}
	g.rig = newRigWith(t, route(operatorconfig.Writes, 1), func(o *Options) {
		o.Match = nil
		g.snapshots = o.Snapshots
		o.Snapshots.Set(&snapshot.Snapshot{Config: tenantConfig(t, 1, kind, customers), Proxies: 1})
		change(o)
	}, endpoints...)
	return g
}

func unchanged(*Options) {}

// apply puts a newer configuration into force.
func (g *tenantRig) apply(config *operatorconfig.Config) {
	g.snapshots.Set(&snapshot.Snapshot{Config: config, Proxies: 1})
}

// tenantConfig parses a configuration; customers that are nil are left out.
func tenantConfig(t *testing.T, version int, kind string, customers []tenantFields) *operatorconfig.Config {
	t.Helper()
	aRoute := func(name, prefix string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_start": prefix, "kind": kind, "timeout_ms": 5000, "service": "svc", "tries": 1, "public": public,
		}
	}
	fields := map[string]any{
		"version": version, "routes": []any{aRoute("r", "/r/", false), aRoute("p", "/p/", true)}, "services": []any{map[string]any{"name": "svc"}},
	}
	if customers != nil {
		fields["customers"] = customers
	}
	raw, err := json.Marshal(fields)
	must(t, err)
	config, err := operatorconfig.Parse(raw)
	must(t, err)
	return config
}

// twoTenants are the customers of most tests.
func twoTenants() []tenantFields {
	return []tenantFields{{"name": "club", "api_keys": []string{"k-club", "k-club-2"}}, {"name": "gym", "api_keys": []string{"k-gym"}}}
}

// keyedCall returns a request with header lines, which are separated by "|".
func keyedCall(path, lines string) string {
	if lines != "" {
		lines = "|" + lines
	}
	return fmt.Sprintf("POST %s HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id1%s", path, lines)
}

// onlyCall returns the only call that an endpoint has received.
func onlyCall(t *testing.T, e *endpoint) call {
	t.Helper()
	calls := e.got()
	if len(calls) != 1 {
		t.Fatalf("%d calls reached the endpoint, want 1", len(calls))
	}
	return calls[0]
}

// UNASKED: a client's key reached the endpoint, and no tenant's name did.
func TestKeyIsWithheldAndTenantIsSet(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
	if a := g.do(keyedCall("/r/x", "Authorization: Token k-club|X-Dunetide-Tenant: gym"), "body"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
	got := onlyCall(t, e).Header
	if key := got["Authorization"]; key != nil {
		t.Errorf("the endpoint got the key: %q", key)
	}
	if tenant := got["X-Dunetide-Tenant"]; len(tenant) != 1 || tenant[0] != "club" {
		t.Errorf("the endpoint got tenant %q, want club", tenant)
	}
}

// ROUTE: an endpoint ran requests whose key no configuration ever held.
func TestUnknownKeyIsAnsweredWith401(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
	if a := g.do(keyedCall("/r/x", "Authorization: Token k-nobody"), "body"); a.status != 401 {
		t.Errorf("%+v, want 401", a)
	}
	if n := len(e.got()); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// CONFIG: a connection kept its client's rights, though the key was dropped; or refused a key that had been added.
func TestKeptConnectionFollowsTheNewestKeys(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
	c := g.dial()
	ask := func(id, key string, want int) {
		t.Helper()
		must(t, c.send(strings.Replace(keyedCall("/r/x", "Authorization: Token "+key), "id1", id, 1), ""))
		if a, err := c.receive(); err != nil || a.status != want || a.closes {
			t.Fatalf("%s with %s: %+v, %v; want %d on a kept connection", id, key, a, err, want)
		}
	}
	ask("id1", "k-gym", 200)
	ask("id2", "k-gym-2", 401)
	g.apply(tenantConfig(t, 2, "writes", []tenantFields{
		{"name": "club", "api_keys": []string{"k-club", "k-club-2"}}, {"name": "gym", "api_keys": []string{"k-gym-2"}},
	}))
	ask("id3", "k-gym", 401)
	ask("id4", "k-gym-2", 200)
	if n := len(e.got()); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
}

// UNASKED: a client's own X-Dunetide-Tenant, or its key, gets to an endpoint in some other form, or takes ours out.
func TestHeadersThatIdentifyClientsAreReplaced(t *testing.T) {
	const key = "Authorization: Token k-club"
	for name, c := range map[string]struct {
		path, lines string
		tenant      string // that the endpoint must get; empty: none
	}{
		"none of the client's":   {"/r/x", key, "club"},
		"another tenant's name":  {"/r/x", key + "|X-Dunetide-Tenant: gym", "club"},
		"in lower case":          {"/r/x", "authorization: token k-club|x-dunetide-tenant: gym", "club"},
		"twice":                  {"/r/x", key + "|X-Dunetide-Tenant: gym|X-Dunetide-Tenant: club", "club"},
		"listed as hop-by-hop":   {"/r/x", key + "|Connection: X-Dunetide-Tenant, Authorization|X-Dunetide-Tenant: gym", "club"},
		"empty":                  {"/r/x", key + "|X-Dunetide-Tenant:", "club"},
		"public, known key":      {"/p/x", key + "|X-Dunetide-Tenant: gym", "club"},
		"public, two keys":       {"/p/x", key + "|" + key + "|X-Dunetide-Tenant: gym", ""},
		"public, no key":         {"/p/x", "X-Dunetide-Tenant: gym", ""},
		"public, another scheme": {"/p/x", "Authorization: Basic azpi|X-Dunetide-Tenant: gym", ""},
		"public, empty name":     {"/p/x", "x-dunetide-tenant:", ""},
		"public, listed, no key": {"/p/x", "Connection: X-Dunetide-Tenant|X-Dunetide-Tenant: gym", ""},
		"public, nothing at all": {"/p/x", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, "e1", answers(sealed, "ok"))
			g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
			if a := g.do(keyedCall(c.path, c.lines), "body"); a.status != 200 {
				t.Fatalf("%+v", a)
			}
			checkIdentityAtEndpoint(t, onlyCall(t, e), c.tenant)
		})
	}
}

// ROUTE, CONFIG: a key that was dropped, or that no configuration ever held, runs requests on public routes.
func TestUnknownKeyIsAnsweredWith401OnPublicRoutesToo(t *testing.T) {
	for name, lines := range map[string]string{
		"unknown":       "Authorization: Token k-nobody|X-Dunetide-Tenant: gym",
		"in other case": "Authorization: Token K-CLUB",
		"part of a key": "Authorization: Token k-clu",
	} {
		e := newEndpoint(t, "e1", answers(sealed, "ok"))
		g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
		if a := g.do(keyedCall("/p/x", lines), "body"); a.status != 401 || a.closes {
			t.Errorf("%s: %+v, want 401 on a kept connection", name, a)
		}
		if n := len(e.got()); n != 0 {
			t.Errorf("%s: %d requests ran", name, n)
		}
	}
}

// checkIdentityAtEndpoint fails the test unless an endpoint got no key and the name of this tenant, or none if it is
// empty.
func checkIdentityAtEndpoint(t *testing.T, got call, tenant string) {
	t.Helper()
	if key := got.Header["Authorization"]; key != nil {
		t.Errorf("the endpoint got %q", key)
	}
	names := got.Header["X-Dunetide-Tenant"]
	if tenant == "" && names != nil || tenant != "" && (len(names) != 1 || names[0] != tenant) {
		t.Errorf("the endpoint got tenant %q, want %q", names, tenant)
	}
}

// UNASKED: what a client sends behind its body counts as its key, or gets to an endpoint.
func TestTrailersIdentifyNobody(t *testing.T) {
	const trailer = "0\r\nAuthorization: Token k-gym\r\nX-Dunetide-Tenant: gym\r\n\r\n"
	for _, c := range []struct {
		name, lines string
		status      int
	}{
		{"key in the trailer only", "Trailer: Authorization, X-Dunetide-Tenant", 401},
		{"key in both", "Authorization: Token k-club|Trailer: Authorization, X-Dunetide-Tenant", 200},
		{"trailer not announced", "Authorization: Token k-club", 200},
	} {
		e := newEndpoint(t, "e1", answers(sealed, "ok"))
		g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
		if a := g.do(keyedCall("/r/x", c.lines+"|Transfer-Encoding: chunked")+"\r\n\r\n4\r\nbody\r\n"+trailer, ""); a.status != c.status {
			t.Errorf("%s: %+v, want %d", c.name, a, c.status)
		}
		if c.status == 200 {
			got := onlyCall(t, e)
			checkIdentityAtEndpoint(t, got, "club")
			if got.body != "body" {
				t.Errorf("%s: body %q", c.name, got.body)
			}
		} else if n := len(e.got()); n != 0 {
			t.Errorf("%s: %d requests ran", c.name, n)
		}
	}
}

// A configuration without customers changes what endpoints have got so far.
func TestWithoutTenantsHeadersPassUnchanged(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newTenantRig(t, "writes", nil, unchanged, e)
	if a := g.do(keyedCall("/r/x", "Authorization: Basic azpi|Authorization: Token k-club|X-Dunetide-Tenant: gym|x-dunetide-tenant: b"), "body"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
	got := onlyCall(t, e).Header
	if keys := strings.Join(got["Authorization"], "|"); keys != "Basic azpi|Token k-club" {
		t.Errorf("the endpoint got %q", keys)
	}
	if names := strings.Join(got["X-Dunetide-Tenant"], "|"); names != "gym|b" {
		t.Errorf("the endpoint got tenants %q", names)
	}
	if priority := g.a.requests[0].TenantPriority; priority != 0 {
		t.Errorf("priority %d", priority)
	}
}

// A 401 that isn't a proper answer: it names no scheme, has another id, ends the connection, or its request's body is
// read as the next request.
func TestUnauthorizedAnswer(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newTenantRig(t, "writes", twoTenants(), unchanged, e)
	c := g.dial()
	for _, lines := range []string{"", "Authorization: Bearer k-club", "Authorization: Token k-nobody"} {
		must(t, c.send(keyedCall("/r/x", lines), strings.Repeat(keyedCall("/p/x", "")+"\r\n\r\n", 20)))
		a, err := c.receive()
		if err != nil || a.status != 401 || a.closes || a.body != "" || a.header.Get("Www-Authenticate") != "Token" ||
			a.header.Get(headerID) != "id1" || a.header.Get("Retry-After") != "" || a.header.Get(headerSeal) != "" {
			t.Fatalf("%q: %+v, %v", lines, a, err)
		}
	}
	must(t, c.send(keyedCall("/elsewhere", ""), ""))
	if a, err := c.receive(); err != nil || a.status != 404 {
		t.Errorf("no route: %+v, %v; want 404, as nobody knows whether it would be public", a, err)
	}
	if n := len(e.got()); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// DENIED: a process that has no configuration yet answers 401, though the key may be right.
func TestKeysAreNotJudgedWithoutAConfiguration(t *testing.T) {
	g := newRigWith(t, route(operatorconfig.Writes, 1), func(o *Options) { o.Snapshots = &snapshot.Latest{} })
	for _, path := range []string{"/r/x", "/lots/x", "/items/x"} {
		lines := "X-Dunetide-Time-Left-Ms: 20|Authorization: Token k-nobody"
		if a := g.do(keyedCall(path, lines), ""); a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v, want 503", path, a)
		}
	}
}

// Head limits are passed by with bytes in headers that are withheld.
func TestWithheldHeadersCountTowardsTheHeadLimit(t *testing.T) {
	g := newTenantRig(t, "writes", twoTenants(), unchanged, newEndpoint(t, "e1", answers(sealed, "ok")))
	for name, lines := range map[string]string{
		"key":    "Authorization: Token " + strings.Repeat(" ", 17<<10) + "k-club",
		"tenant": "X-Dunetide-Tenant: " + strings.Repeat("k", 17<<10),
	} {
		if a := g.do(keyedCall("/p/x", lines), ""); a.status != 431 {
			t.Errorf("%s: status %d, want 431", name, a.status)
		}
	}
}

// The tenant's priority does not reach admission.
func TestTenantPriorityReachesAdmission(t *testing.T) {
	tenants := []tenantFields{{"name": "club", "api_keys": []string{"k-club"}, "priority": 3}}
	g := newTenantRig(t, "writes", tenants, unchanged, newEndpoint(t, "e1", answers(sealed, "ok")))
	g.do(keyedCall("/r/x", "Authorization: Token k-club"), "")
	g.do(keyedCall("/p/x", ""), "")
	if with, without := g.a.requests[0].TenantPriority, g.a.requests[1].TenantPriority; with != 3 || without != 0 {
		t.Errorf("priority %d with a key, %d without; want 3 and 0", with, without)
	}
}

// A stream ends when its key is dropped, though it was asked for with a valid one.
func TestRunningStreamGoesOnWhenItsKeyIsDropped(t *testing.T) {
	dropped := make(chan struct{})
	e := newEndpoint(t, "e1", func(conn net.Conn, _ call) bool {
		_, _ = io.WriteString(conn, streamHead("id1")+chunked(oneEvent(1)))
		<-dropped
		_, _ = io.WriteString(conn, chunked(oneEvent(2), ""))
		return true
	})
	g := newTenantRig(t, "streaming", twoTenants(), unchanged, e)
	c := g.dial()
	must(t, c.send(keyedCall("/r/x", "Authorization: Token k-club"), "body"))
	response, err := http.ReadResponse(c.br, nil)
	must(t, err)
	first := make([]byte, len(oneEvent(1)))
	_, err = io.ReadFull(response.Body, first)
	must(t, err)
	g.apply(tenantConfig(t, 2, "streaming", []tenantFields{}))
	close(dropped)
	rest, err := io.ReadAll(response.Body)
	if err != nil || string(first)+string(rest) != oneEvent(1)+oneEvent(2) {
		t.Errorf("%q and then %q, %v", first, rest, err)
	}
	must(t, c.send(keyedCall("/r/x", "Authorization: Token k-club"), ""))
	if a, err := c.receive(); err != nil || a.status != 401 {
		t.Errorf("the next request: %+v, %v", a, err)
	}
}

// A key in a log line or a metric.
func TestKeysAreNeitherLoggedNorCounted(t *testing.T) {
	var log bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: &log})
	tenants := []tenantFields{{"name": "club", "api_keys": []string{"secret-1"}, "rate_per_s": 1}}
	limiter := &scriptedLimiter{err: &quota.ExceededError{Tenant: "club", RetryAfter: time.Second}}
	g := newTenantRig(t, "writes", tenants, func(o *Options) { o.Log, o.RateLimiter = logger, limiter })
	for _, lines := range []string{"Authorization: Token secret-1", "Authorization: Token secret-2", "Authorization: secret-3"} {
		g.do(keyedCall("/r/x", lines), "")
	}
	must(t, g.p.Server().Close())
	if !strings.Contains(log.String(), "401") && !strings.Contains(log.String(), "429") {
		t.Errorf("no refusal was logged: %s", log.String())
	}
	metrics.WritePrometheus(&log, false)
	if strings.Contains(log.String(), "secret") {
		t.Errorf("%s", log.String())
	}
}

// A call about batch jobs is served for another tenant than that of its key, or without one; or its body is read
// before it is refused.
func TestBatchCallsAreIdentified(t *testing.T) {
	for _, c := range []struct {
		name, call, lines string
		public            bool // the bulk routes
		status            int
		tenant            string
	}{
		{"submission", "POST /r/1", "Authorization: Token k-club", false, 202, "club"},
		{"submission without key", "POST /r/1", "", false, 401, ""},
		{"submission with an unknown key", "POST /r/1", "Authorization: Token k-nobody", false, 401, ""},
		{"submission to a public route", "POST /p/1", "X-Dunetide-Tenant: gym", false, 202, ""},
		{"submission to a public route with a key", "POST /p/1", "Authorization: Token k-gym", false, 202, "gym"},
		{"read", "GET /lots/1?start_after=2", "Authorization: Token k-gym", false, 202, "gym"},
		{"read without key", "GET /lots/1?start_after=2", "", false, 401, ""},
		{"item with an unknown key", "GET /items/1?id=2", "Authorization: Token k", false, 401, ""},
		{"end without key", "DELETE /lots/1", "X-Dunetide-Tenant: club", false, 401, ""},
		{"read where all bulk routes are public", "GET /lots/1", "", true, 202, ""},
		{"read with a key where all are public", "GET /lots/1", "Authorization: Token k-club-2", true, 202, "club"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var served []string
			limiter := &scriptedLimiter{err: &quota.ExceededError{}}
			g := newTenantRig(t, "bulk", limitedTenants(), func(o *Options) {
				o.RateLimiter = limiter
				o.ServeBatch = func(w http.ResponseWriter, _ *http.Request, _ *operatorconfig.Route, tenant string) {
					served = append(served, tenant)
					w.WriteHeader(http.StatusAccepted)
				}
			})
			if c.public {
				config := g.snapshots.Get().Config
				config.Routes[0].Public = true
			}
			lines := c.call + " HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: 1"
			if c.lines != "" {
				lines += "|" + c.lines
			}
			if a := g.do(lines, ""); a.status != c.status {
				t.Fatalf("%+v, want %d", a, c.status)
			}
			if c.status == 202 && (len(served) != 1 || served[0] != c.tenant) || c.status == 401 && served != nil {
				t.Errorf("served for %q, want %q", served, c.tenant)
			}
			if limiter.count() != 0 {
				t.Errorf("the call took a token of its tenant")
			}
		})
	}
}

// A batch body of a client without a key is held in memory until it is complete: the refusal waits for it.
func TestUnidentifiedSubmissionIsRefusedBeforeItsBody(t *testing.T) {
	g := newTenantRig(t, "bulk", twoTenants(), func(o *Options) {
		o.ServeBatch = func(w http.ResponseWriter, _ *http.Request, _ *operatorconfig.Route, _ string) { w.WriteHeader(202) }
	})
	c := g.dial()
	const tooLongToDrain = 1 << 20
	_, err := fmt.Fprintf(c, "POST /r/1 HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: 1\r\nContent-Length: %d\r\n\r\n{", tooLongToDrain)
	must(t, err)
	if a, err := c.receive(); err != nil || a.status != 401 || !a.closes {
		t.Errorf("%+v, %v; want 401 at once, and the end of the connection", a, err)
	}
}

// A client whose request is refused holds its connection for as long as it likes, by never sending the end of its body; or
// the limit on that ends a connection whose bodies were complete.
func TestRefusedRequestWithAStalledBodyIsAnswered(t *testing.T) {
	for _, c := range []struct {
		target string
		status int
	}{
		{"/r/x", 401}, {"/elsewhere", 404}, {"*", 400},
	} {
		t.Run(c.target, func(t *testing.T) {
			t.Parallel() // it mostly sleeps
			g := newTenantRig(t, "writes", twoTenants(), unchanged)
			client := g.dial()
			for range 2 {
				must(t, client.send(keyedCall(c.target, ""), "body"))
				if a, err := client.receive(); err != nil || a.status != c.status || a.closes {
					t.Fatalf("%+v, %v", a, err)
				}
				time.Sleep(maxUnreadBodyWait + 100*time.Millisecond) // beyond the deadline that the request had
			}
			_, err := fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: id1\r\nContent-Length: 4\r\n\r\nbo", c.target)
			must(t, err)
			if a, err := client.receive(); err != nil || a.status != c.status || !a.closes {
				t.Errorf("%+v, %v; want %d and the end of the connection", a, err, c.status)
			}
		})
	}
}

// UNASKED: an item runs with the key or for the tenant that a client put among its headers.
func TestItemsCarryTheirTenantAndNoKey(t *testing.T) {
	for name, c := range map[string]struct {
		header map[string]string
		tenant string
	}{
		"tenant":                       {map[string]string{"X-Dunetide-Tenant": "club"}, "club"},
		"tenant and key":               {map[string]string{"X-Dunetide-Tenant": "club", "authorization": "Token k-gym"}, "club"},
		"tenant, listed as hop-by-hop": {map[string]string{"X-Dunetide-Tenant": "club", "Connection": "x-dunetide-tenant"}, "club"},
		"all tenants are gone":         {map[string]string{"X-Dunetide-Tenant": "left", "Authorization": "Token k-club"}, "left"},
		"key alone":                    {map[string]string{"Authorization": "Token k-gym"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, "e1", answers(sealed, "ok"))
			limiter := &scriptedLimiter{err: &quota.ExceededError{}}
			g := newTenantRig(t, "bulk", limitedTenants(), func(o *Options) { o.RateLimiter = limiter }, e)
			if c.tenant == "left" {
				g.apply(tenantConfig(t, 2, "bulk", nil))
			}
			one := item(&g.snapshots.Get().Config.Routes[0])
			one.Header = c.header
			if res := g.p.RunItem(t.Context(), one, "", func(string, []byte) {}); res.State != ItemDone {
				t.Fatalf("%+v", res)
			}
			checkIdentityAtEndpoint(t, onlyCall(t, e), c.tenant)
			if limiter.count() != 0 {
				t.Error("the item took a token of its tenant")
			}
			if got, want := g.a.requests[0].TenantPriority, map[string]int{"club": 2}[c.tenant]; got != want {
				t.Errorf("priority %d, want %d", got, want)
			}
		})
	}
}
