package hollow

import (
	"bytes"
	"context"
	"encoding/csv"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
)

func TestFitFindsALinearModel(t *testing.T) {
	plane := func(s Size) float64 { return 7 + 2*float64(s.Proxies) + 0.5*float64(s.Endpoints) }
	for _, c := range []struct {
		name  string
		sizes []Size
		want  fit
		ok    bool
	}{
		{"both vary", []Size{{50, 600}, {100, 600}, {100, 200}, {200, 400}}, fit{7, 2, 0.5}, true},
		{"proxies vary", []Size{{50, 600}, {100, 600}, {200, 600}}, fit{307, 2, 0}, true},
		{"endpoints vary", []Size{{50, 100}, {50, 600}}, fit{107, 0, 0.5}, true},
		{"too few sizes", []Size{{50, 100}, {100, 600}}, fit{}, false},
		{"one size", []Size{{50, 100}}, fit{}, false},
		{"both vary in proportion", []Size{{50, 100}, {100, 200}, {200, 400}, {400, 800}}, fit{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var values []float64
			for _, s := range c.sizes {
				values = append(values, plane(s))
			}
			got, ok := fitOf(c.sizes, values)
			if ok != c.ok {
				t.Fatalf("ok is %v", ok)
			}
			for _, d := range []float64{got.Base - c.want.Base, got.Proxy - c.want.Proxy, got.Endpoint - c.want.Endpoint} {
				if ok && math.Abs(d) > 1e-6 {
					t.Errorf("%+v, want %+v", got, c.want)
				}
			}
		})
	}
}

func TestUsageIsParsed(t *testing.T) {
	stat := "12 (a ) b) S 1 1 1 0 -1 4194560 500 0 0 0 150 50 0 0 20 0 8 0 100 1000000 256 18446744073709551615 1"
	io := "rchar: 1000\nwchar: 2000\nsyscr: 3\nsyscw: 4\nread_bytes: 0\nwrite_bytes: 0\ncancelled_write_bytes: 0\n"
	u, err := parseUsage([]byte(stat), []byte(io))
	if err != nil {
		t.Fatal(err)
	}
	if u.cpu != 2*time.Second || u.read != 1000 || u.written != 2000 || u.writes != 4 || u.rss <= 0 {
		t.Errorf("%+v", u)
	}
	if _, err := parseUsage([]byte("12 (a) S 1"), nil); err == nil {
		t.Error("a truncated line is accepted")
	}
}

func TestConfigurationsAreAccepted(t *testing.T) {
	c, err := operatorconfig.Parse(configuration(3, 230, 22))
	if err != nil {
		t.Fatal(err)
	}
	if c.Version != 3 || len(c.Routes) != 230 || len(c.Services) != 22 || len(c.Routes[0].Shares) != 22 {
		t.Errorf("version %d, %d routes, %d services", c.Version, len(c.Routes), len(c.Services))
	}
}

// TestASmallSizeIsMeasured runs real keepers and stores. It checks only what holds at any load of the machine.
func TestASmallSizeIsMeasured(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dunetide")
	if out, err := exec.Command("go", "build", "-o", program, "dunetide/cmd/dunetide").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	r, err := Run(ctx, Options{Program: program, Dir: t.TempDir(), Sizes: []Size{{5, 8}}, Zones: 2, Keepers: 2, Stores: 1, HeartbeatInterval: 300 * time.Millisecond,
		Quiet: 500 * time.Millisecond, Changes: 1, Tenants: 4, Models: 2, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Figures[0] {
		switch f.Name {
		case "change: not seen in force", "drain: not known":
			if f.Value != 0 {
				t.Errorf("%s: %v", f.Name, f.Value)
			}
		case "heartbeats taken", "keeper: resident, the largest", "hollow proxy: received on links", "change: acknowledged after, median":
			if f.Value <= 0 {
				t.Errorf("%s: %v", f.Name, f.Value)
			}
		}
	}
	var text, table bytes.Buffer
	if err := r.CSV(&text); err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(&text).ReadAll()
	if err != nil || len(rows) != len(r.Figures[0])+1 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
	if err := r.Print(&table); err != nil || !strings.Contains(table.String(), "5x8") {
		t.Errorf("%v\n%s", err, table.String())
	}
}

// BenchmarkParse measures parsing a configuration of 230 tenants and 22 models.
func BenchmarkParse(b *testing.B) {
	text := configuration(1, 230, 22)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := operatorconfig.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}
