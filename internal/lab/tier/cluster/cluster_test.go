package cluster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestMain runs a minimal node if the test binary is started as one.
func TestMain(m *testing.M) {
	file := os.Getenv("DUNETIDE_CONFIG")
	if file == "" {
		os.Exit(m.Run())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		os.Exit(3)
	}
	s := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		s[name] = value
	}
	if dir := s["data_dir"]; dir != "" {
		if os.WriteFile(filepath.Join(dir, "mark"), nil, 0o644) != nil {
			os.Exit(4)
		}
	}
	addr := s["listen_on.ready"]
	if addr == "" {
		select {}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		os.Exit(5)
	}
	_ = http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
}

func started(t *testing.T) *Cluster {
	t.Helper()
	c, err := New(Options{Program: os.Args[0], Dir: t.TempDir(), Zones: 2, Edges: 2, Keepers: 1, Stores: 3, HeartbeatInterval: time.Second, Grace: 2 * time.Second, Rules: "base"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err, c.Ends())
	}
	return c
}

func TestProcessesAreKilledAndRestarted(t *testing.T) {
	c := started(t)
	p := c.Find(Proxy, 1)
	if p.Machine != "edge-z0-2" || c.Find(Store, 2).Machine != "storage-z0-2" || c.Find(Keeper, 2) != nil || len(c.procs) != 9 {
		t.Errorf("the machines are %v", c.procs)
	}
	pid := p.cmd.Process.Pid
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if p.cmd.Process.Pid == pid {
		t.Error("the process was not killed")
	}
	s := c.Find(Store, 0)
	if err := s.Wipe(); err == nil {
		t.Error("the disk of a running process was wiped")
	}
	if err := s.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := s.Wipe(); err != nil {
		t.Fatal(err)
	}
	if err := s.Freeze(); err != nil {
		t.Errorf("freezing a process that is down: %v", err)
	}
	if got := s.settings(); !strings.Contains(got, "first_start=false\n") || !strings.Contains(got, "data_dir="+s.data()) {
		t.Errorf("settings after the first start:\n%s", got)
	}
	if len(c.Ends()) != 0 {
		t.Errorf("unexpected exits: %v", c.Ends())
	}
}

func TestClientsAreRoutedToReadyMachinesOfTheirZone(t *testing.T) {
	c := &Cluster{fronts: []*front{{zone: "a", addr: "a1", in: true}, {zone: "a", addr: "a2"}, {zone: "a", addr: "a3"}, {zone: "b", addr: "b1", in: true}}}
	selected := func() (out string) {
		for h := range uint64(3) {
			addr, _ := c.Front("a", h)
			out += addr + " "
		}
		return out
	}
	if got := selected(); got != "a1 a2 a3 " {
		t.Errorf("fewer than half are ready, and clients reach %s", got)
	}
	c.fronts[1].in = true
	if got := selected(); got != "a1 a2 a1 " {
		t.Errorf("two are ready, and clients reach %s", got)
	}
	c.fronts[0].in, c.fronts[1].in = false, false
	if got := selected(); got != "b1 b1 b1 " {
		t.Errorf("none of the zone is ready, and clients reach %s", got)
	}
	c.fronts[3].in = false
	if _, ok := c.Front("a", 0); ok {
		t.Error("no machine is ready, and a client was routed to one")
	}
}

// Guards against a process that exits at its start because the lab is writing its settings file at that moment.
func TestSettingsAreNeverReadInPart(t *testing.T) {
	c := started(t)
	p := c.Find(Proxy, 1)
	if err := p.Rewrite(0); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(p.SettingsFile())
	if err != nil {
		t.Fatal(err)
	}
	rewritten := make(chan error, 1)
	go func() {
		var failed error
		for range 2000 {
			failed = errors.Join(failed, p.Rewrite(0))
		}
		rewritten <- failed
	}()
	for {
		text, err := os.ReadFile(p.SettingsFile())
		if err != nil || string(text) != string(whole) {
			t.Errorf("read %d of %d bytes: %v", len(text), len(whole), err)
			break
		}
		if len(rewritten) > 0 {
			break
		}
	}
	if err := <-rewritten; err != nil {
		t.Error(err)
	}
}

// Guards against a process that ends at its start because a second one, begun before the first had ended, has its ports.
func TestASecondProcessKeepsNoPortsFromTheFirst(t *testing.T) {
	c := started(t)
	for n := range 30 {
		p := c.Find(Proxy, n%2)
		second := make(chan error, 1)
		go func() { second <- p.StartTwin(time.Second) }()
		time.Sleep(time.Duration(n) * 100 * time.Microsecond) // the start of a program takes about 3 ms
		if err := errors.Join(p.Kill(), p.Start()); err != nil {
			t.Fatal(err)
		}
		if err := <-second; err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Millisecond) // a first process without its ports ends meanwhile
	}
	if ends := c.Ends(); len(ends) > 0 {
		t.Errorf("%d ends: %s", len(ends), ends[0])
	}
}
