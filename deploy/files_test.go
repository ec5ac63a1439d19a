// Package deploy holds the files with which the platform builds and starts the programs. Its tests pin what the platform reads, and
// build as a machine does that has no developer settings.
package deploy

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// deployFile reads a file of this directory.
func deployFile(t *testing.T, name string) map[string]any {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var content map[string]any
	if err := toml.Unmarshal(text, &content); err != nil {
		t.Fatal(err)
	}
	return content
}

// TestSystemDeployFile pins deploy/system.toml, which the platform reads: its roles, commands and ports.
func TestSystemDeployFile(t *testing.T) {
	want := map[string]any{
		"build":    "CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/dunetide",
		"packages": []any{"ca-certificates", "gcc", "libc6-dev"},
		"roles": map[string]any{
			"proxy": map[string]any{
				"run":     "target/dunetide proxy",
				"metrics": "19101/metrics",
				"on":      "edge",
				"share":   1.0,
				"serves":  []any{"edge"},
			},
			"keeper": map[string]any{
				"run":     "target/dunetide keeper",
				"metrics": "19102/metrics",
				"on":      "edge",
				"count":   int64(2),
				"serves":  []any{"control"},
			},
			"store": map[string]any{
				"run":     "target/dunetide store",
				"metrics": "19103/metrics",
				"on":      "storage",
				"share":   1.0,
				"serves":  []any{"storage"},
			},
		},
	}
	if got := deployFile(t, "system.toml"); !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestBalancerDeployFile pins the keys of deploy/balancer.toml and their types. The paths in it may change.
func TestBalancerDeployFile(t *testing.T) {
	content := deployFile(t, "balancer.toml")
	got := map[string]string{}
	for key, value := range content {
		got[key] = fmt.Sprintf("%T", value)
	}
	want := map[string]string{
		"build":    "string",
		"run":      "string",
		"sim":      "string",
		"policy":   "[]interface {}",
		"node":     "[]interface {}",
		"packages": "[]interface {}",
	}
	if !maps.Equal(got, want) {
		t.Errorf("keys %v, want %v", got, want)
	}
	for _, key := range slices.Sorted(maps.Keys(want)) {
		if list, ok := content[key].([]any); ok {
			for _, item := range list {
				if _, ok := item.(string); !ok {
					t.Errorf("%s: %v is not a string", key, item)
				}
			}
		}
	}
}
