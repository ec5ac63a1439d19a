package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// shop is a host without batch jobs, to which a configuration gives routes.
const shop = "shop57.example"

// ownPrefix has a new configuration that adds two routes of another host; the path of one is /items/.
var ownPrefix = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 9, capacity: 48,
		engine: engine{step: 100 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 48, batchRoute("bordereaux")) },
	},
	run: runOwnPrefix,
}

// plainRoute returns the configuration's route of requests that may be repeated.
func plainRoute(name, path string) map[string]any {
	return map[string]any{
		"name": name, "host": shop, "path_start": path, "kind": "read_only", "timeout_ms": 2000, "target_ms": 500,
		"priority": 1, "service": service, "tries": 2,
	}
}

func runOwnPrefix(ctx context.Context, t *tier) (verdict, error) {
	if t.trouble {
		next := configuration(5, 48, batchRoute("bordereaux"), plainRoute("goods", "/goods/"), plainRoute("items", "/items/"))
		if err := t.putConfig(ctx, 3, next); err != nil {
			return verdict{}, err
		}
	}
	sleep(ctx, 5*time.Second) // apply_ms is 2 s
	refused, sent := 0, 0
	for range 5 {
		for _, p := range t.role("proxy") {
			for _, path := range []string{"/goods/42", "/items/42"} {
				header := map[string]string{
					"X-Dunetide-Request-Id": fmt.Sprintf("%016x", rand.Uint64()), "X-Dunetide-Time-Left-Ms": "2000",
					"X-Dunetide-Token-Count": "10,16",
				}
				status, body, err := call(ctx, 2*time.Second, http.MethodGet, p.at(portFront), path, shop, header, nil)
				t.log.write("%s: GET %s%s: status %d, %d bytes, %v", p.machine, shop, path, status, len(body), err)
				sent++
				if status == http.StatusNotFound && t.trouble {
					refused++
				}
			}
		}
	}
	if refused > 0 {
		return verdict{true, fmt.Sprintf("CONFIG: %d of %d requests were refused with 404 though the route is there", refused, sent)}, nil
	}
	return verdict{false, "no request was refused for which there was a route"}, nil
}
