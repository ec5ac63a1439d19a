package tier

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/tier/tiertest"
)

// TestMain runs a process of a trivial tier if the test binary is started as one. The processes share their state in common
// files, so the trivial tier survives no fault.
func TestMain(m *testing.M) {
	file := os.Getenv("DUNETIDE_CONFIG")
	if file == "" {
		os.Exit(m.Run())
	}
	if err := runTrivial(file); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

func runTrivial(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		s[name] = value
	}
	shared := filepath.Join(filepath.Dir(file), "..", "..")
	switch s["role"] {
	case "keeper":
		return http.ListenAndServe(s["listen_on.control"], keeper(shared))
	case "proxy":
		l, err := net.Listen("tcp", s["listen_on.ready"])
		if err != nil {
			return err
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !known(shared) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
		}()
		_, port, _ := net.SplitHostPort(s["listen_on.front"])
		return http.ListenAndServe(s["listen_on.front"], proxy(shared, s["ip"], port))
	}
	select {}
}

// proxy returns the handler for clients; the first machine keeps all jobs.
func proxy(shared, ip, port string) http.Handler {
	p := &tiertest.Proxy{Endpoint: func(path string) string {
		service := gen
		if strings.HasPrefix(path, "/lookup/") || strings.HasPrefix(path, "/save/") {
			service = web
		}
		return find(shared, service)
	}}
	first := firstEdge(ip)
	if ip == first {
		return p
	}
	owner := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: net.JoinHostPort(first, port)})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, start := range []string{"/bulk/", "/lots/", "/items/"} {
			if strings.HasPrefix(r.URL.Path, start) {
				owner.ServeHTTP(w, r)
				return
			}
		}
		p.ServeHTTP(w, r)
	})
}

// firstEdge returns the address of the first edge machine in the cluster of the given address.
func firstEdge(ip string) string {
	parts := strings.Split(ip, ".")
	return strings.Join(append(parts[:2], "20", "10"), ".")
}

func known(shared string) bool {
	_, err := os.Stat(filepath.Join(shared, "config"))
	return err == nil && find(shared, gen) != "" && find(shared, web) != ""
}

// find returns the address of a random endpoint of a service, or "" if none is registered.
func find(shared, service string) string {
	files, _ := filepath.Glob(filepath.Join(shared, "instance.*"))
	rand.Shuffle(len(files), func(i, j int) { files[i], files[j] = files[j], files[i] })
	for _, f := range files {
		var registered struct{ Service, Address string }
		text, err := os.ReadFile(f)
		if err == nil && json.Unmarshal(text, &registered) == nil && registered.Service == service {
			return registered.Address
		}
	}
	return ""
}

// keeper returns the handler that accepts heartbeats and configurations.
func keeper(shared string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := filepath.Join(shared, "config")
		if id, ok := strings.CutPrefix(r.URL.Path, "/instances/"); ok {
			name = filepath.Join(shared, "instance."+id)
		}
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodGet {
			http.ServeFile(w, r, name)
			return
		}
		part := fmt.Sprintf("%s.%d.part", filepath.Join(filepath.Dir(name), "new-"+filepath.Base(name)), os.Getpid())
		if os.WriteFile(part, body, 0o644) != nil || os.Rename(part, name) != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

func TestTrivialTierRunsWithoutViolations(t *testing.T) {
	a, err := Play(t.Context(), Options{Program: os.Args[0], Dir: t.TempDir(), Seed: 1, Length: 1500 * time.Millisecond, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	if a.Failed() {
		t.Errorf("violations %v, unexpected exits %v, configuration read back %q", a.Violations, a.Ends, a.ReadBack)
	}
	if len(a.Kinds) != 5 {
		t.Fatalf("kinds %+v", a.Kinds)
	}
	for _, k := range a.Kinds {
		if k.Requested == 0 || k.WithinTarget+k.Late+k.Refused+k.Failed != k.Requested {
			t.Errorf("%+v does not add up", k)
		}
		if k.WithinTarget == 0 {
			t.Errorf("%+v: none within target", k)
		}
	}
}
