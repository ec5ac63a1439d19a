package main

import (
	"fmt"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dunetide/internal/platform/telemetry"
)

// TestMetricsPortsMatchDeployFile checks that the metrics port and path of each role are those of deploy/system.toml.
func TestMetricsPortsMatchDeployFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct {
		Roles map[string]struct {
			Metrics string `toml:"metrics"`
		} `toml:"roles"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Roles) != len(metricsPorts) {
		t.Errorf("%d roles in the deploy file, %d with a metrics port", len(deploy.Roles), len(metricsPorts))
	}
	for role, port := range metricsPorts {
		if want := fmt.Sprintf("%d%s", port, telemetry.Path); deploy.Roles[role].Metrics != want {
			t.Errorf("%s: the deploy file has %q, want %q", role, deploy.Roles[role].Metrics, want)
		}
	}
}
