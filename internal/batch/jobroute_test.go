package batch

import (
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// TestRouteOfAJobIsThatOfItsHostAndPath guards against items that run at the service of another route because it has the
// name of theirs, and against items that run nowhere because their route got another name. Store and worker must agree.
func TestRouteOfAJobIsThatOfItsHostAndPath(t *testing.T) {
	const bulk, other = operatorconfig.Bulk, operatorconfig.ReadOnly
	type routes = []operatorconfig.Route
	for name, c := range map[string]struct {
		routes routes
		want   string // name of the route of a job that was submitted by the route "b" of h.example with the path /b/
	}{
		"unchanged":                      {routes{{Name: "b", Host: "h.example", PathPrefix: "/b/", Kind: bulk}}, "b"},
		"another name":                   {routes{{Name: "c", Host: "h.example", PathPrefix: "/b/", Kind: bulk}}, "c"},
		"its name, another host":         {routes{{Name: "b", Host: "g.example", PathPrefix: "/b/", Kind: bulk}}, ""},
		"its name, another path":         {routes{{Name: "b", Host: "h.example", PathPrefix: "/moved/", Kind: bulk}}, ""},
		"its name, host and path, kind":  {routes{{Name: "b", Host: "h.example", PathPrefix: "/b/", Kind: other}}, ""},
		"gone":                           {nil, ""},
		"its path taken over":            {routes{{Name: "b", Host: "h.example", PathPrefix: "/moved/", Kind: bulk}, {Name: "c", Host: "h.example", PathPrefix: "/b/", Kind: bulk}}, "c"},
		"a longer path for some items":   {routes{{Name: "b", Host: "h.example", PathPrefix: "/b/", Kind: bulk}, {Name: "c", Host: "h.example", PathPrefix: "/b/x/", Kind: bulk}}, "b"},
		"a shorter path is left":         {routes{{Name: "c", Host: "h.example", PathPrefix: "/", Kind: bulk}}, "c"},
		"a shorter path of another kind": {routes{{Name: "c", Host: "h.example", PathPrefix: "/", Kind: other}}, ""},
	} {
		for _, reversed := range []bool{false, true} {
			config := &operatorconfig.Config{Version: 2, Routes: append(routes(nil), c.routes...)}
			if n := len(config.Routes); reversed && n == 2 {
				config.Routes[0], config.Routes[1] = config.Routes[1], config.Routes[0]
			}
			store := newCore(1, &memoryDisk{})
			store.config = config
			item := &Item{Host: "h.example", Path: "/b/x/1?y", PathPrefix: "/b/"}
			for who, route := range map[string]*operatorconfig.Route{
				"store":  store.routeOf(&job{route: "b", host: "h.example", pathPrefix: "/b/"}),
				"worker": item.RouteIn(config),
			} {
				switch {
				case c.want == "" && route != nil, c.want != "" && (route == nil || route.Name != c.want):
					t.Errorf("%s: to the %s the route is %+v, want %q", name, who, route, c.want)
				}
			}
			if c.want == "" != store.routeRemoved(&job{route: "b", host: "h.example", pathPrefix: "/b/"}) {
				t.Errorf("%s: removed is %v", name, c.want != "")
			}
		}
	}
}

// TestItemOfAnOlderStoreIsRoutedByItsPath stands for a store that doesn't state the path of a job's route.
func TestItemOfAnOlderStoreIsRoutedByItsPath(t *testing.T) {
	config := &operatorconfig.Config{Routes: []operatorconfig.Route{
		{Name: "b", Host: "h.example", PathPrefix: "/moved/", Kind: operatorconfig.Bulk},
		{Name: "c", Host: "h.example", PathPrefix: "/b/", Kind: operatorconfig.Bulk},
	}}
	if route := (&Item{Host: "h.example", Path: "/b/x?/moved/"}).RouteIn(config); route == nil || route.Name != "c" {
		t.Errorf("the route is %+v", route)
	}
	if route := (&Item{Host: "g.example", Path: "/b/x"}).RouteIn(config); route != nil {
		t.Errorf("on a host without routes the route is %+v", route)
	}
}
