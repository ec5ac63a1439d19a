package group

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const waitTimeout = 20 * time.Second

// TestMain runs the test binary as a member if GROUP_TEST_DIR is set, so that tests can stop and kill real processes.
func TestMain(m *testing.M) {
	if dir := os.Getenv("GROUP_TEST_DIR"); dir != "" {
		ctx, cancel := context.WithCancel(context.Background())
		g, err := Join(Config{Dir: dir, Clock: Clock, Log: slog.New(slog.NewTextHandler(os.Stderr, nil)),
			Share: func(parts, kept int) { fmt.Println("share", parts, kept) }})
		if err != nil {
			fmt.Println("refused:", err)
			os.Exit(1)
		}
		fmt.Println("id", g.ID(), 0)
		go func() { // leaves when stdin is closed
			_, _ = io.Copy(io.Discard, os.Stdin)
			cancel()
		}()
		if err := g.Run(ctx); err != nil {
			fmt.Println("ended:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// child is a member running in its own process.
type child struct {
	cmd   *exec.Cmd
	in    io.Closer
	lines chan string
	id    ID
}

func startChild(t *testing.T, dir string) *child {
	t.Helper()
	c := &child{cmd: exec.Command(os.Args[0]), lines: make(chan string, 1000)}
	c.cmd.Env = append(os.Environ(), "GROUP_TEST_DIR="+dir, "GORACE=atexit_sleep_ms=0")
	in, err := c.cmd.StdinPipe()
	must(t, err)
	c.in = in
	out, err := c.cmd.StdoutPipe()
	must(t, err)
	must(t, c.cmd.Start())
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			c.lines <- lines.Text()
		}
		close(c.lines)
	}()
	t.Cleanup(func() { _ = c.cmd.Process.Kill(); _ = c.cmd.Wait() })
	line := c.next(t)
	id, ok := strings.CutPrefix(line, "id ")
	if !ok {
		t.Fatalf("first line of output is %q", line)
	}
	c.id = ID(strings.Fields(id)[0])
	return c
}

func (c *child) next(t *testing.T) string {
	t.Helper()
	select {
	case line := <-c.lines:
		return line
	case <-time.After(waitTimeout):
		t.Fatalf("no further output from %s", c.id)
		return ""
	}
}

// waitForShare waits until a member has the given number of parts.
func (c *child) waitForShare(t *testing.T, parts int) {
	t.Helper()
	want := fmt.Sprintf("share %d ", parts)
	for line := c.next(t); !strings.HasPrefix(line, want); line = c.next(t) {
		if line == "" {
			t.Fatalf("%s ended, wanted %s", c.id, want)
		}
	}
}

func (c *child) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	must(t, c.cmd.Process.Signal(s))
}

// Real processes join at the same time, are stopped and killed, and leave. The others take over their
// shares, and no files are left at the end.
func TestRealMembers(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("deep", 30)) // longer than a socket path may be
	must(t, os.Mkdir(dir, 0o700))
	dir = filepath.Join(dir, "group")
	var all []*child
	for range 3 {
		all = append(all, startChild(t, dir))
	}
	for _, c := range all {
		c.waitForShare(t, Whole/3)
	}
	leader := func() *child {
		term, err := folder(dir).term()
		must(t, err)
		id, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf(leadFormat, term)))
		must(t, err)
		for _, c := range all {
			if c.id == ID(id) {
				return c
			}
		}
		t.Fatalf("unknown coordinator %s", id)
		return nil
	}
	others := func(excluded *child) (rest []*child) {
		for _, c := range all {
			if c != excluded {
				rest = append(rest, c)
			}
		}
		return rest
	}
	stopped := leader()
	stopped.signal(t, syscall.SIGSTOP)
	for _, c := range others(stopped) { // another member coordinates, and its share is divided among the others
		c.waitForShare(t, Whole/2)
	}
	if leader() == stopped {
		t.Error("the stopped member is still the coordinator")
	}
	stopped.signal(t, syscall.SIGCONT)
	for _, c := range all {
		c.waitForShare(t, Whole/3)
	}
	dead := leader()
	dead.signal(t, syscall.SIGKILL)
	all = others(dead)
	for _, c := range all {
		c.waitForShare(t, Whole/2)
	}
	must(t, all[0].in.Close())
	must(t, all[0].cmd.Wait())
	all[1].waitForShare(t, Whole)
	again := startChild(t, dir)
	again.waitForShare(t, Whole/2)
	for _, c := range []*child{all[1], again} {
		must(t, c.in.Close())
		must(t, c.cmd.Wait())
	}
	entries, err := os.ReadDir(dir)
	must(t, err)
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), memberPrefix) || strings.HasPrefix(e.Name(), socketName) || len(entries) > 1+retainedViews {
			t.Errorf("left over: %s", e.Name())
		}
	}
}

// All members are killed at once, their last view is torn, and the directory has foreign files: the next
// member continues with a higher epoch, and has the whole node after one lease time.
func TestGroupResumesAfterAllDied(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	a := startChild(t, dir)
	a.waitForShare(t, Whole)
	b := startChild(t, dir)
	b.waitForShare(t, Whole/2)
	a.signal(t, syscall.SIGKILL)
	b.signal(t, syscall.SIGKILL)
	_, _ = a.cmd.Wait(), b.cmd.Wait() // killed
	names, err := folder(dir).viewNames()
	must(t, err)
	last := names[len(names)-1]
	must(t, os.Truncate(filepath.Join(dir, last), 9))
	for _, name := range []string{"view-x", "lead-x", "notes", "view-00000000000000zz"} {
		must(t, os.WriteFile(filepath.Join(dir, name), []byte("x"), 0o600))
	}
	c := startChild(t, dir)
	c.waitForShare(t, Whole)
	views, epoch, _, err := folder(dir).views()
	must(t, err)
	if now := views[len(views)-1]; fmt.Sprintf(viewFormat, now.Epoch) <= last || now.Epoch != epoch {
		t.Errorf("epoch %x after %s", now.Epoch, last)
	}
}

// Connections that send nothing, garbage or an excessive length do not prevent other members from joining.
func TestInvalidConnectionsDoNotBlockMembers(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	a := startChild(t, dir)
	a.waitForShare(t, Whole)
	for i := range 3 * maxCalls {
		conn, err := net.Dial("unix", filepath.Join(dir, socketName+string(a.id)))
		must(t, err)
		defer conn.Close()
		switch i % 4 {
		case 1:
			_, _ = conn.Write([]byte("garbage that is no length of anything"))
		case 2:
			_, _ = conn.Write([]byte{0xff, 0xff, 0xff, 0xff})
		case 3:
			_, _ = conn.Write([]byte{2, 0, 0, 0, '{', '}'})
		}
	}
	b := startChild(t, dir)
	b.waitForShare(t, Whole/2)
}

// Join fails on a view of a newer version and on a directory that cannot be created.
func TestJoinIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "group")
	must(t, os.Mkdir(dir, 0o700))
	must(t, folder(dir).writeView(View{Version: Version + 1, Epoch: 3}))
	if _, err := Join(Config{Dir: dir, Clock: Clock}); !errors.Is(err, ErrVersion) {
		t.Errorf("%v, want ErrVersion", err)
	}
	plain := filepath.Join(t.TempDir(), "plain")
	must(t, os.WriteFile(plain, nil, 0o600))
	if _, err := Join(Config{Dir: filepath.Join(plain, "group"), Clock: Clock}); err == nil {
		t.Error("joined in a directory that cannot be created")
	}
}

// A view with any changed or missing byte is detected as torn.
func TestTornViews(t *testing.T) {
	d := folder(t.TempDir())
	v := View{Version: Version, Epoch: 0x17, Shares: []Share{{"a", 420, 0}, {"b", 420, 420}}}
	must(t, d.writeView(v))
	path := d.path(fmt.Sprintf(viewFormat, v.Epoch))
	data, err := os.ReadFile(path)
	must(t, err)
	for i := range data {
		corrupt := append([]byte(nil), data...)
		corrupt[i] ^= 4
		for _, b := range [][]byte{corrupt, data[:i]} {
			must(t, os.WriteFile(path, b, 0o600))
			if views, epoch, torn, err := d.views(); err != nil || !torn || len(views) != 0 || epoch != v.Epoch {
				t.Errorf("byte %d: %v, epoch %d, torn %v, %v", i, views, epoch, torn, err)
			}
		}
	}
}

// Messages over the size limit are not written, and malformed or overlong ones are not read.
func TestFramesAreBounded(t *testing.T) {
	if err := writeFrame(io.Discard, strings.Repeat("x", maxFrame), maxFrame); err == nil {
		t.Error("a message over the size limit was written")
	}
	for _, b := range []string{"", "\x01", "\x00\x00\x00\x00", "\xff\xff\xff\x7f{}", "\x05\x00\x00\x00{}", "\x02\x00\x00\x00{{"} {
		var h Hello
		if err := readFrame(strings.NewReader(b), &h, maxFrame); err == nil {
			t.Errorf("%q was read", b)
		}
	}
}
