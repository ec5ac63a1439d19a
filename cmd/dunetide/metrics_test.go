package main

import (
	"fmt"
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dunetide/internal/platform/telemetry"
)

// Where the deploy file says that a role tells its figures is where it does.
func TestMetricsAreWhereTheDeployFileSays(t *testing.T) {
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
		t.Errorf("%d roles in the deploy file, %d with a port", len(deploy.Roles), len(metricsPorts))
	}
	for role, port := range metricsPorts {
		if want := fmt.Sprintf("%d%s", port, telemetry.Path); deploy.Roles[role].Metrics != want {
			t.Errorf("%s: the deploy file says %q, it is %q", role, deploy.Roles[role].Metrics, want)
		}
	}
}
