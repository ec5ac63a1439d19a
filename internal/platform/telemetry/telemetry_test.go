package telemetry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
)

func TestMetricsAreServedAsText(t *testing.T) {
	Counter("test_requests_total", "verdict", "refused", "route", `a"b`).Add(3)
	GaugeFunc("test_in_contact", func() float64 { return 1 })
	GaugeFunc("test_in_contact", func() float64 { return Bool(false) }) // the role restarts its service
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = Serve(l) }()
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + l.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(text)
	}
	code, text := get(Path)
	for _, line := range []string{`test_requests_total{verdict="refused",route="a\"b"} 3`, "test_in_contact 0", "go_goroutines "} {
		if !strings.Contains(text, line) {
			t.Errorf("status %d: %q is missing", code, line)
		}
	}
	if code, _ := get("/other"); code != http.StatusNotFound {
		t.Errorf("another path returns status %d", code)
	}
}

func TestLogLinesAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	l := NewEventLog(hclog.New(&hclog.LoggerOptions{Output: &out}))
	for range 10 * maxBurst {
		l.Event("request failed", func() []any { return []any{"id", "r1"} })
	}
	lines := strings.Count(out.String(), "request failed: id=r1")
	if lines < maxBurst || lines > 2*maxBurst {
		t.Fatalf("%d lines", lines)
	}
	l.limiter.SetBurst(10 * maxBurst)
	l.limiter.SetLimit(1e9)
	l.omitted.Store(7)
	l.Event("request failed", func() []any { return []any{"id", "r2"} })
	if !strings.Contains(out.String(), "id=r2 omitted_before=7") {
		t.Fatalf("the omitted lines are not counted:\n%s", out.String())
	}
	NewEventLog(hclog.NewNullLogger()).Event("x", func() []any { t.Error("fields were computed for a disabled logger"); return nil })
}
