package main

import "encoding/json"

// batchRoute returns the configuration's route of batch jobs under a name.
func batchRoute(name string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_start": route, "kind": "bulk", "timeout_ms": 8000, "target_ms": 500,
		"priority": 2, "service": service, "tries": 3, "sticky": true, "resume": true,
		"due_ms": 8000, "max_wait_s": 60, "max_queued": 4_000_000,
	}
}

// serviceEntry returns the configuration's entry of a service.
func serviceEntry(name string, capacity int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 320, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"capacity": capacity, "cache_tokens": 232000, "token_bytes": 327680, "network_mbps": 4400000.0, "stride": stride,
			"models": []map[string]any{{"name": "m"}},
		},
	}
}

// configuration returns a configuration with the given routes.
func configuration(version, capacity int, routes ...map[string]any) []byte {
	text, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{serviceEntry(service, capacity), serviceEntry(oldService, capacity)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000},
	})
	if err != nil {
		panic(err) // maps of texts and numbers can be encoded
	}
	return text
}
