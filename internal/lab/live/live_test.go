package live

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

// TestListenerRefusesOrTimesOutOrAccepts checks that dials are refused, time out or succeed as set, in turn.
func TestListenerRefusesOrTimesOutOrAccepts(t *testing.T) {
	runCtx, stop := context.WithCancel(context.Background())
	r := &run{options: Options{Day: world.Draw(scenario.Default(), 1), Note: func(trace.Record) {}}, do: make(chan func(), 10), ended: make(chan struct{})}
	d := &endpoint{run: r}
	if err := d.open(runCtx, "127.0.0.1"); err != nil {
		t.Fatal(err)
	}
	defer r.wg.Wait()
	defer d.close()
	defer stop()
	defer close(r.ended)
	dial := func() error {
		c, err := net.DialTimeout("tcp", d.addr, 300*time.Millisecond)
		if err == nil {
			_ = c.Close()
		}
		return err
	}
	for i, as := range []world.DialResult{world.Accepted, world.Refused, world.Accepted, world.NoAnswer, world.Accepted, world.NoAnswer, world.Refused, world.Accepted} {
		if err := d.set(as); err != nil {
			t.Fatal(i, err)
		}
		err := dial()
		var timeout net.Error
		switch as {
		case world.Accepted:
			if err != nil {
				t.Error(i, err)
			}
		case world.Refused:
			if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Error(i, err)
			}
		case world.NoAnswer:
			if !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Error(i, err)
			}
		}
	}
}

func TestALogIsCapped(t *testing.T) {
	f, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	l := &cappedLog{file: f, left: 10}
	for range 3 {
		if n, err := l.Write([]byte("seven b")); n != 7 || err != nil {
			t.Error(n, err)
		}
	}
	if lost := l.close(); lost != 11 {
		t.Error(lost)
	}
	if text, err := os.ReadFile(f.Name()); err != nil || string(text) != "seven bsev" {
		t.Errorf("%q %v", text, err)
	}
}

func TestBodiesAndIDs(t *testing.T) {
	for _, c := range []struct{ message, try int }{{0, 0}, {1, 2}, {1 << 30, 65535}} {
		if m, n, ok := parseID(world.ID(c.message, c.try)); !ok || m != c.message || n != c.try {
			t.Error(c, m, n, ok)
		}
	}
	for _, id := range []string{"", "x", "0000000000000000", "zzzzzzzzzzzz0000", "00000000000100001"} {
		if _, _, ok := parseID(id); ok {
			t.Error(id)
		}
	}
	if b := bodyOf("id", 400); len(b) != 400 || !bytes.HasPrefix(b, []byte("id\r\nid\r\n")) {
		t.Errorf("%q", b)
	}
}

// TestANodeThatDoesNotStart covers a program that exits at once and one that does not exist.
func TestANodeThatDoesNotStart(t *testing.T) {
	s := scenario.Default()
	s.LengthS = scenario.Range{2, 2}
	for _, c := range []struct{ node, want string }{
		{"/bin/false", "ended by itself"},
		{filepath.Join(t.TempDir(), "none"), "no such file"},
	} {
		_, err := Run(t.Context(), Options{Node: c.node, Dir: t.TempDir(), Day: world.Draw(s, 1), Note: func(trace.Record) {}})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.node, err)
		}
	}
}
