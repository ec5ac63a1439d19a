package operatorconfig

import (
	"bytes"
	"os"
	"reflect"
	"testing"
)

// TestConfigurationGolden pins the parsed form of a configuration with every key, and checks that Raw, which is stored
// and forwarded to other processes, is identical to the input.
func TestConfigurationGolden(t *testing.T) {
	golden, err := os.ReadFile("testdata/golden/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Raw, golden) {
		t.Errorf("raw is %q, want %q", got.Raw, golden)
	}
	again, err := Parse(got.Raw)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Config{got, again} {
		if c.Version != 18446744073709551601 {
			t.Errorf("version %d", c.Version)
		}
		if want := goldenRoutes(); !reflect.DeepEqual(c.Routes, want) {
			t.Errorf("routes\n%+v, want\n%+v", c.Routes, want)
		}
		if want := goldenServices(); !reflect.DeepEqual(c.Services, want) {
			t.Errorf("services\n%+v, want\n%+v", c.Services, want)
		}
		want := Limits{MaxHeaderBytes: 36036, MaxBodyBytes: 37000000000037, HeaderTimeoutMs: 3838, IdleTimeoutMs: 39039}
		if c.Limits != want {
			t.Errorf("limits %+v, want %+v", c.Limits, want)
		}
	}
}

func goldenRoutes() []Route {
	return []Route{
		{
			Name:             "route-2",
			Host:             "three.example",
			PathPrefix:       "/four/",
			Kind:             Streaming,
			TimeoutMs:        5005,
			LatencyTargetMs:  606,
			EventGapTargetMs: 707,
			Priority:         8,
			MaxAttempts:      9,
			Shares:           []Share{{Service: "service-10", Weight: 1}},
			Sticky:           true,
			Resumable:        true,
		},
		{
			Name:            "route-11",
			Host:            "twelve.example",
			PathPrefix:      "/",
			Kind:            Bulk,
			TimeoutMs:       13013,
			LatencyTargetMs: 1414,
			Priority:        15,
			MaxAttempts:     16,
			Shares:          []Share{{Service: "service-10", Weight: 17.5}, {Service: "service-18", Weight: 19}},
			DueMs:           20020,
			MaxWaitMs:       21500,
			MaxQueuedTokens: 22000000000022,
		},
		{
			Name:        "route-23",
			Host:        "twelve.example",
			PathPrefix:  "/read/",
			Kind:        ReadOnly,
			TimeoutMs:   24,
			MaxAttempts: 1,
			Shares:      []Share{{Service: "service-18", Weight: 1}},
		},
		{
			Name:        "route-25",
			Host:        "twelve.example",
			PathPrefix:  "/write/",
			Kind:        Writes,
			TimeoutMs:   26,
			MaxAttempts: 1,
			Shares:      []Share{{Service: "service-18", Weight: 1}},
		},
	}
}

func goldenServices() map[string]*Service {
	return map[string]*Service{
		"service-10": {
			Name:           "service-10",
			HealthPath:     "/health-27",
			MaxConnections: 28,
			Engine: &Engine{
				Capacity:       29,
				CacheTokens:    30000000000030,
				TokensPerEvent: 31,
				Models:         []string{"model-32", "model-33"},
			},
		},
		"service-18": {
			Name:           "service-18",
			HealthPath:     "/health-34",
			MaxConnections: 35,
		},
	}
}
