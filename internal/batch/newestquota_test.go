package batch

import (
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// submitUnder submits a job of 60 tokens as a proxy does whose configuration has a version and a quota.
func submitUnder(g *storeRig, id string, version uint64, quota int64) uint8 {
	job := Job{
		ID: id, Route: "b", Host: "h.example", PathPrefix: "/b/", DueMs: hourMs, MaxAttempts: 2,
		MaxQueuedTokens: quota, ConfigVersion: version,
		Items:     []JobItem{{ID: "item", Path: "/b/x", Tokens: 60}},
		Submitter: Principal{HasTenants: true, Tenant: "club"},
	}
	return g.call(id, kindAcceptJob, job.encode())
}

// configureStores gives all stores a configuration.
func configureStores(g *storeRig, version uint64, quota int64, change func(*operatorconfig.Route)) {
	config := bulkConfig(quota)
	config.Version = version
	change(&config.Routes[0])
	for _, c := range g.cores {
		c.config = config
	}
}

func unchanged(*operatorconfig.Route) {}

// TestNewestQuotaOfWaitingTokensCounts guards against jobs beyond a quota that was lowered or introduced, which a proxy
// submits that still has the configuration before.
func TestNewestQuotaOfWaitingTokensCounts(t *testing.T) {
	g := newStoreRig(4, 0, 0, 1)
	configureStores(g, 2, 100, unchanged)
	if code := submitUnder(g, "first", 2, 100); code != codeOK {
		t.Fatalf("code %d", code)
	}
	if code := submitUnder(g, "by the old quota", 1, 1000); code != codeQuotaFull {
		t.Errorf("a job by an older, higher quota: code %d, want %d", code, codeQuotaFull)
	}
	if code := submitUnder(g, "by no quota", 1, 0); code != codeQuotaFull {
		t.Errorf("a job by an older configuration without a quota: code %d, want %d", code, codeQuotaFull)
	}
	if code := submitUnder(g, "by the new quota", 2, 100); code != codeQuotaFull {
		t.Errorf("a job by the newest quota: code %d, want %d", code, codeQuotaFull)
	}
}

// TestQuotaInForce guards against jobs that are accepted or refused by a quota which is no longer in force, with the proxy
// or the store behind, and by routes that were renamed, dropped or made another kind.
func TestQuotaInForce(t *testing.T) {
	for name, c := range map[string]struct {
		store, submitted uint64 // versions
		quota, own       int64  // of the store's configuration and of the job
		change           func(*operatorconfig.Route)
		want             uint8 // code of the second job of 60 tokens
	}{
		"raised, proxy behind":    {2, 1, 1000, 100, unchanged, codeOK},
		"removed, proxy behind":   {2, 1, 0, 100, unchanged, codeOK},
		"lowered, store behind":   {1, 2, 1000, 100, unchanged, codeQuotaFull},
		"added, store behind":     {1, 2, 0, 100, unchanged, codeQuotaFull},
		"raised, store behind":    {1, 2, 100, 1000, unchanged, codeOK},
		"removed, store behind":   {1, 2, 100, 0, unchanged, codeOK},
		"route renamed":           {2, 1, 100, 1000, func(r *operatorconfig.Route) { r.Name = "new" }, codeQuotaFull},
		"route moved":             {2, 1, 100, 1000, func(r *operatorconfig.Route) { r.PathPrefix = "/c/" }, codeQuotaFull},
		"route of another kind":   {2, 1, 1000, 100, func(r *operatorconfig.Route) { r.Kind = operatorconfig.ReadOnly }, codeQuotaFull},
		"route dropped":           {2, 1, 1000, 100, func(r *operatorconfig.Route) { r.Name, r.Host = "other", "o.example" }, codeQuotaFull},
		"route dropped, no quota": {2, 1, 100, 0, func(r *operatorconfig.Route) { r.Name, r.Host = "other", "o.example" }, codeOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := newStoreRig(4, 0, 0, 1)
			configureStores(g, c.store, c.quota, c.change)
			if code := submitUnder(g, "first", c.submitted, c.own); code != codeOK {
				t.Fatalf("code %d", code)
			}
			if code := submitUnder(g, "second", c.submitted, c.own); code != c.want {
				t.Errorf("code %d, want %d", code, c.want)
			}
		})
	}
}

// TestRouteOfAnAccountIsFoundByItsNameFirst guards against the quota of a route that took over the path of a job's route.
func TestRouteOfAnAccountIsFoundByItsNameFirst(t *testing.T) {
	routes := []operatorconfig.Route{
		{Name: "b", Host: "h.example", PathPrefix: "/moved/", Kind: operatorconfig.Bulk},
		{Name: "c", Host: "h.example", PathPrefix: "/b/", Kind: operatorconfig.Bulk},
	}
	j := &job{route: "b", host: "h.example", pathPrefix: "/b/"}
	for _, order := range [][]operatorconfig.Route{{routes[0], routes[1]}, {routes[1], routes[0]}} {
		c := newCore(1, &memoryDisk{})
		c.config = &operatorconfig.Config{Version: 1, Routes: order}
		if route := c.accountRoute(j); route == nil || route.Name != "b" {
			t.Errorf("the route is %+v", route)
		}
	}
}
