package forward

import (
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// TestRoutesBelowThePathsOfTheBatchAPI guards against 404 for requests of a route whose path looks like that of the batch
// API, and against job calls that go to endpoints.
func TestRoutesBelowThePathsOfTheBatchAPI(t *testing.T) {
	type routes = []operatorconfig.Route
	const plain, bulk = operatorconfig.ReadOnly, operatorconfig.Bulk
	for name, c := range map[string]struct {
		routes routes
		own    bool
	}{
		"no route":                 {nil, false},
		"a route of the path":      {routes{{Host: "h", PathPrefix: "/items/", Kind: plain}}, true},
		"a longer one":             {routes{{Host: "h", PathPrefix: "/items/4/", Kind: plain}}, true},
		"a shorter one":            {routes{{Host: "h", PathPrefix: "/", Kind: plain}}, false},
		"a host with jobs":         {routes{{Host: "h", PathPrefix: "/items/", Kind: plain}, {Host: "h", PathPrefix: "/b/", Kind: bulk}}, false},
		"another host with jobs":   {routes{{Host: "h", PathPrefix: "/items/", Kind: plain}, {Host: "g", PathPrefix: "/b/", Kind: bulk}}, true},
		"a bulk route of the path": {routes{{Host: "h", PathPrefix: "/items/", Kind: bulk}}, false},
	} {
		config := &operatorconfig.Config{Routes: c.routes}
		match := func(config *operatorconfig.Config, host, path string) *operatorconfig.Route {
			for i := range config.Routes {
				if r := &config.Routes[i]; r.ServesHost(host) && len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix {
					return r
				}
			}
			return nil
		}
		p := &Proxy{options: Options{Match: match}}
		if own := p.hasOwnRoute(config, "H:80", "/items/4/2"); own != c.own {
			t.Errorf("%s: own route %v, want %v", name, own, c.own)
		}
	}
}
