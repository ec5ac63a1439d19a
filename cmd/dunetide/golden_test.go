package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs"
)

// update rewrites the golden files. It is for intended changes of a format, never for CI.
var update = flag.Bool("update-golden", false, "write the golden files")

// commandVar makes the test binary run as the command itself.
const commandVar = "DUNETIDE_TEST_RUN_COMMAND"

// runAsCommand runs the command instead of the tests if the environment says so.
func runAsCommand() {
	if os.Getenv(commandVar) != "" {
		main()
		os.Exit(0)
	}
}

// commandResult is the output and the exit status of a command.
type commandResult struct {
	stdout, stderr string
	status         int
}

// runCommand runs the command with arguments and without settings in its environment.
func runCommand(t *testing.T, args ...string) commandResult {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), program, args...)
	cmd.Env = append(os.Environ(), commandVar+"=1", settingsVar+"=")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			t.Fatal(err)
		}
	}
	return commandResult{stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()}
}

// goldenPath returns the path of a file in testdata/golden.
func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// compareGolden compares text with a file in testdata/golden.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		writeGolden(t, name, []byte(got))
	}
	want, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from the golden file:\n--- got\n%s\n--- want\n%s", name, got, want)
	}
}

func writeGolden(t *testing.T, name string, b []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenPath(name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenOutput pins the exit statuses of the offline commands and what they print to standard output.
func TestGoldenOutput(t *testing.T) {
	if *update {
		writeInputs(t)
	}
	invalid := goldenPath("input/invalid")
	for _, c := range []struct {
		name string
		args []string
	}{
		{"check-settings", []string{"check", "settings", goldenPath("input/boot.conf")}},
		{"check-settings-invalid", []string{"check", "settings", invalid}},
		{"check-settings-missing", []string{"check", "settings", invalid + "-none"}},
		{"check-config", []string{"check", "config", goldenPath("input/config.json")}},
		{"check-config-invalid", []string{"check", "config", invalid}},
		{"check-certificates", []string{"check", "certificates", goldenPath("input/certificates.json")}},
		{"check-certificates-invalid", []string{"check", "certificates", invalid}},
		{"audit", []string{"audit", goldenPath("input/audit.log")}},
		{"audit-csv", []string{"audit", "--csv", goldenPath("input/audit.log")}},
		{"audit-within", []string{"audit", "--within", "0s", goldenPath("input/audit.log")}},
		{"audit-invalid", []string{"audit", invalid}},
		{"no-command", nil},
		{"unknown-command", []string{"no-such-command"}},
		{"proxy-without-settings", []string{"proxy"}},
		{"keeper-without-settings", []string{"keeper"}},
		{"store-without-settings", []string{"store"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := runCommand(t, c.args...)
			if (got.status != 0) != (got.stderr != "") {
				t.Errorf("status %d, on standard error %q", got.status, got.stderr)
			}
			// "check" names the file by its absolute path.
			here, err := os.Getwd()
			if err != nil {
				t.Fatal(err)
			}
			text := strings.ReplaceAll(got.stdout, here+"/", "")
			compareGolden(t, c.name+".txt", fmt.Sprintf("exit status %d\n--- standard output\n%s", got.status, text))
		})
	}
}

// goldenKeeper answers as a keeper does, with fixed bytes, and records the calls.
type goldenKeeper struct{ calls []string }

func (k *goldenKeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body) // a truncated body shows in the recorded call
	k.calls = append(k.calls, fmt.Sprintf("%s %s If-Match=%q Content-Type=%q\n%s", r.Method, r.URL, r.Header.Get("If-Match"), r.Header.Get("Content-Type"), body.String()))
	switch {
	case r.URL.Path == "/status":
		_, _ = w.Write([]byte(`{"anything": ["as", "it", "is"]}` + "\n"))
	case r.Method == http.MethodGet:
		document, err := os.ReadFile(goldenPath("input/certificates.json"))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write(document)
	case r.Header.Get("If-Match") == "3":
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"error":"version 7 is in place"}`))
	default:
		_, _ = w.Write([]byte(`{"version":8,"in_force":` + fmt.Sprint(r.Header.Get("If-Match") == "7") + `,"within_ms":2000}`))
	}
}

// TestGoldenCalls pins what the online commands print and the calls that they make.
func TestGoldenCalls(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
	}{
		{"status", []string{"status", "KEEPER"}},
		{"certify-get", []string{"certify", "get", "--control", "KEEPER"}},
		{"certify-put", []string{"certify", "put", "--control", "KEEPER", goldenPath("input/certificates.json")}},
		{"certify-put-not-yet-in-force", []string{"certify", "put", "--control", "KEEPER", "--base", "6", goldenPath("input/certificates.json")}},
		{"certify-put-conflict", []string{"certify", "put", "--control", "KEEPER", "--base", "3", goldenPath("input/certificates.json")}},
		{"certify-withdraw", []string{"certify", "withdraw", "--control", "KEEPER", "e-2"}},
		{"certify-withdraw-regime", []string{"certify", "withdraw", "--control", "KEEPER", "--regime", "fin", "e-1"}},
		{"certify-withdraw-none", []string{"certify", "withdraw", "--control", "KEEPER", "e-9"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			keeper := &goldenKeeper{}
			s := httptest.NewServer(keeper)
			defer s.Close()
			args := slices.Clone(c.args)
			for i := range args {
				args[i] = strings.ReplaceAll(args[i], "KEEPER", strings.TrimPrefix(s.URL, "http://"))
			}
			got := runCommand(t, args...)
			if (got.status != 0) != (got.stderr != "") {
				t.Errorf("status %d, on standard error %q", got.status, got.stderr)
			}
			compareGolden(t, c.name+".txt", fmt.Sprintf("exit status %d\n--- standard output\n%s\n--- calls\n%s\n", got.status, got.stdout, strings.Join(keeper.calls, "\n")))
		})
	}
}

// TestGoldenMetrics pins the names and labels of the metrics that exist from the start of a process.
func TestGoldenMetrics(t *testing.T) {
	golden.CompareLines(t, golden.Dir, "metrics", initialMetrics)
}

// initialMetrics are the metrics that exist before any test has run.
var initialMetrics = slices.DeleteFunc(metrics.ListMetricNames(), func(name string) bool { return !strings.HasPrefix(name, "dunetide_") })

// storeConn is a connection to a store of this process.
type storeConn struct{ store *audit.Store }

func (c storeConn) Call(ctx context.Context, _ link.Kind, body []byte) ([]byte, error) {
	answer := make(chan error, 1)
	c.store.Append(body, func(err error) { answer <- err })
	select {
	case err := <-answer:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (storeConn) Done() <-chan struct{} { return nil }
func (storeConn) Close()                {}

// writeInputs writes the input files of the commands.
func writeInputs(t *testing.T) {
	t.Helper()
	writeGolden(t, "input/invalid", []byte("{}"))
	writeGolden(t, "input/boot.conf", []byte("node_name=n1\nip=10.0.0.7\ninternal_ports=7000,7015\nzone=a\nrole=proxy\n"))
	writeGolden(t, "input/config.json", []byte(`{"version":7,"services":[{"name":"a"},{"name":"b"}],"routes":[`+
		`{"name":"r","host":"h","path_start":"/","kind":"writes","timeout_ms":100,"service":"a"},`+
		`{"name":"q","host":"h","path_start":"/q/","kind":"bulk","shares":[{"service":"a","weight":9},{"service":"b","weight":1}]}]}`))
	at := time.Date(2026, 6, 1, 23, 0, 0, 0, time.UTC)
	d := certification.Document{Version: 7, Routes: []certification.Route{{Name: "q", Regime: "fin"}}}
	for _, e := range []string{"e-1", "e-2"} {
		d.Certificates = append(d.Certificates, certification.Certificate{Endpoint: e, Regime: "fin", NotBefore: at.Add(-time.Hour), NotAfter: at.Add(time.Hour), Issuer: "the auditor"})
	}
	document, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	writeGolden(t, "input/certificates.json", document)
	writeGolden(t, "input/audit.log", auditLog(t, document, at))
}

// auditLog returns the record of some runs, one of which was sent to an endpoint without a certificate.
func auditLog(t *testing.T, document []byte, at time.Time) []byte {
	t.Helper()
	dir := t.TempDir()
	store, err := audit.OpenStore(audit.StoreOptions{Folder: vfs.Dir(dir), FileBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	recorder := audit.NewRecorder(audit.RecorderOptions{NodeName: "p1", Incarnation: 7, RequiredStores: 1, Now: func() time.Time { return at },
		Stores: func() []snapshot.Store { return []snapshot.Store{{Name: "s1", Addr: "s1"}} },
		Dial:   func(context.Context, string) (audit.Conn, error) { return storeConn{store}, nil }})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); recorder.Run(ctx) }()
	for i, outcome := range []audit.Outcome{audit.Answered, audit.Failed, audit.NotRun, audit.Unsent, audit.Broken, audit.Canceled, audit.Open} {
		run := audit.Run{ID: fmt.Sprint("id-", i), Route: "q", Regime: "fin", Endpoint: "e-1", CertificatesVersion: 7,
			BatchItem: i%2 == 1, Idempotent: i%2 == 1, StartedAt: at.Add(time.Duration(i) * time.Second)}
		if i == 5 {
			run.Endpoint = "e-9"
		}
		number, ok := recorder.Begin(run, document)
		if !ok {
			t.Fatal("the recorder is full")
		}
		if outcome != audit.Open {
			recorder.End(number, outcome)
		}
	}
	if !recorder.Drain(10 * time.Second) {
		t.Error("not all runs were recorded")
	}
	cancel()
	<-ended
	store.Close()
	files, err := filepath.Glob(filepath.Join(dir, "audit*.log"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	b, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	return b
}
