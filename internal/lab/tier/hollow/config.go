package hollow

import (
	"encoding/json"
	"fmt"
)

// configuration returns a configuration with one route per tenant and one service per model, where each route has shares of all
// services.
func configuration(version uint64, tenants, models int) []byte {
	services := make([]map[string]any, models)
	for m := range services {
		services[m] = map[string]any{
			"name": service(m), "health_path": "/health", "max_conns": 60, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"capacity": 8, "cache_tokens": 24000, "token_bytes": 327680, "network_mbps": 4400000.0, "stride": 10,
				"models": []map[string]any{{"name": service(m)}},
			},
		}
	}
	routes := make([]map[string]any, tenants)
	for t := range routes {
		shares := make([]map[string]any, models)
		for m := range shares {
			shares[m] = map[string]any{"service": service(m), "weight": 1 + (t+m+int(version))%5}
		}
		name := fmt.Sprintf("tenant-%03d", t)
		routes[t] = map[string]any{
			"name": name, "host": name + ".tier.example", "path_start": "/", "kind": "streaming",
			"timeout_ms": 5000, "target_ms": 390, "gap_aim_ms": 52, "priority": t % 3, "tries": 2,
			"sticky": true, "resume": t%2 == 0, "shares": shares,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000,
		},
	})
	if err != nil {
		panic(fmt.Errorf("encoding a configuration as JSON: %w", err))
	}
	return text
}

func service(model int) string { return fmt.Sprintf("model-%02d", model) }
