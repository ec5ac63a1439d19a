package forward

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
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
