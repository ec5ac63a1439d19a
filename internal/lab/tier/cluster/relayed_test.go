package cluster

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"dunetide/internal/lab/overlay"
)

// TestRelayedLinesApply fails if a replaced line does not occur exactly once in its file.
func TestRelayedLinesApply(t *testing.T) {
	root, err := moduleRoot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	texts := overlay.Texts{}
	for _, line := range relayedLines {
		if err := texts.Replace(root, line); err != nil {
			t.Error(err)
		}
		if _, err := line.Apply("package link\n"); err == nil {
			t.Errorf("%s: a missing line was replaced", line.Name)
		}
	}
}

// TestCutOffAndSpares checks that a machine that is cut off counts as not ready until the cut ends, and that a spare is part of
// the tier from its start until its removal.
func TestCutOffAndSpares(t *testing.T) {
	c, err := New(Options{Program: os.Args[0], Dir: t.TempDir(), Zones: 1, Edges: 2, Keepers: 2, Spares: 1, Relayed: true, HeartbeatInterval: time.Second,
		Grace: 2 * time.Second, Rules: "base"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	await := func(condition string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timed out waiting until ", condition, c.Ends())
			}
		}
	}
	if err := c.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if seeds, controls := len(c.Seeds()), len(c.Controls()); seeds != 2 || controls != 3 {
		t.Errorf("%d seeds and %d control addresses", seeds, controls)
	}
	spare := c.Find(Proxy, 2)
	if spare.PID() != 0 || !spare.absent() {
		t.Error("a spare was started with the cluster")
	}
	in := func(n int) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.fronts[n].in
	}
	if err := spare.Start(); err != nil {
		t.Fatal(err)
	}
	await("the spare is ready", func() bool { return in(2) })

	cut := c.Find(Proxy, 1)
	if err := c.CutOff(cut); err != nil {
		t.Fatal(err)
	}
	await("the machine that is cut off is not ready", func() bool { return !in(1) })
	await("the others are ready", func() bool { return in(0) && in(2) && !in(1) })
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	if _, err := client.Get("http://" + cut.reached(portReady)); err == nil {
		t.Error("a call came through the cut")
	}
	if conn, err := net.Dial("tcp4", cut.at(portReady)); err != nil {
		t.Errorf("the process does not accept direct connections: %v", err)
	} else {
		_ = conn.Close()
	}
	if err := c.Heal(); err != nil {
		t.Fatal(err)
	}
	await("the machine that was cut off is ready", func() bool { return in(1) })

	if err := spare.Remove(); err != nil {
		t.Fatal(err)
	}
	if err := spare.Start(); err != nil || spare.PID() != 0 || !spare.absent() {
		t.Errorf("a removed process starts again: %v", err)
	}
	if ends := c.Ends(); len(ends) > 0 {
		t.Error(ends)
	}
}

// TestCutsFailWithoutRelays checks that a cluster without relays reports an error instead of cutting a machine off.
func TestCutsFailWithoutRelays(t *testing.T) {
	c := &Cluster{}
	p := &Process{cluster: c, ip: c.address(0, 10)}
	if c.CutOff(p) == nil || c.Heal() == nil {
		t.Error("no error from a cut without relays")
	}
	if p.reached(portFront) != p.at(portFront) || p.relayedEnvironment() != nil {
		t.Error("relayed address or environment without relays")
	}
}
