package group

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// testMember is a member in this process that records the notifications it receives.
type testMember struct {
	*Group
	received chan Message
	stop     func()
}

func joinInProcess(t *testing.T, dir string, change func(*Config)) *testMember {
	t.Helper()
	k := &testMember{received: make(chan Message, 10000)}
	c := Config{Dir: dir, Clock: Clock, Log: slog.New(slog.DiscardHandler), Share: func(int, int) {},
		OnMessage: func(m Message, asked bool) (any, error) {
			if asked {
				return map[string]string{"said": string(m.Body)}, nil
			}
			k.received <- m
			return nil, nil
		}}
	if change != nil {
		change(&c)
	}
	g, err := Join(c)
	must(t, err)
	k.Group = g
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() {
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	k.stop = func() { cancel(); run.Wait() }
	t.Cleanup(k.stop)
	return k
}

// waitForPeers waits until a member has queues for n others.
func (k *testMember) waitForPeers(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		k.peersMu.Lock()
		have := len(k.peers)
		k.peersMu.Unlock()
		if have == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d peers, want %d", have, n)
		}
	}
}

func (k *testMember) next(t *testing.T) Message {
	t.Helper()
	select {
	case m := <-k.received:
		return m
	case <-time.After(waitTimeout):
		t.Fatal("no notification received")
		return Message{}
	}
}

func TestNotificationsReachAllOtherMembers(t *testing.T) {
	dir := t.TempDir()
	a, b, c := joinInProcess(t, dir, nil), joinInProcess(t, dir, nil), joinInProcess(t, dir, nil)
	a.waitForPeers(t, 2)
	must(t, a.Notify("wait", "e1", 7))
	for _, k := range []*testMember{b, c} {
		if m := k.next(t); m.From != a.ID() || m.Kind != "wait" || m.Key != "e1" || string(m.Body) != "7" || m.At <= 0 {
			t.Errorf("received %+v", m)
		}
	}
	if len(a.received) > 0 {
		t.Error("a member notified itself")
	}
	// Notifications arrive in order, also after a member has left.
	c.stop()
	a.waitForPeers(t, 1)
	for i := range 100 {
		must(t, a.Notify("n", fmt.Sprint(i), i))
	}
	for i := range 100 {
		if m := b.next(t); string(m.Body) != fmt.Sprint(i) {
			t.Fatalf("received %s as notification %d", m.Body, i)
		}
	}
}

// A member that does not process notifications does not block the sender, and gets the newest one once it
// processes them again.
func TestUnresponsiveMemberDoesNotBlockSender(t *testing.T) {
	dir := t.TempDir()
	unblock := make(chan struct{})
	b := joinInProcess(t, dir, nil)
	handle := b.cfg.OnMessage
	b.cfg.OnMessage = func(m Message, asked bool) (any, error) {
		<-unblock
		return handle(m, asked)
	}
	a := joinInProcess(t, dir, nil)
	a.waitForPeers(t, 1)
	for i := range 5000 {
		must(t, a.Notify("list", "", i))
		must(t, a.Notify("wait", fmt.Sprint(i), i))
	}
	s := a.Status()
	if s.Queued > maxQueued || s.Dropped == 0 {
		t.Errorf("%d are queued, %d were dropped", s.Queued, s.Dropped)
	}
	close(unblock)
	for {
		m := b.next(t)
		if m.Kind == "list" && string(m.Body) == "4999" {
			break
		}
	}
}

func TestRequestsBetweenMembersAreAnswered(t *testing.T) {
	dir := t.TempDir()
	a, b := joinInProcess(t, dir, nil), joinInProcess(t, dir, func(c *Config) {
		c.OnMessage = func(Message, bool) (any, error) { return nil, errors.New("not now") }
	})
	var got struct{ Said string }
	must(t, b.Ask(t.Context(), a.ID(), "q", 1, &got))
	if got.Said != "1" {
		t.Errorf("got %+v", got)
	}
	if err := a.Ask(t.Context(), b.ID(), "q", 1, &got); !errors.Is(err, ErrUnanswered) || !strings.Contains(err.Error(), "not now") {
		t.Error(err)
	}
	if err := a.Ask(t.Context(), "nobody", "q", 1, &got); !errors.Is(err, ErrUnanswered) {
		t.Error(err)
	}
}

// A member that gets another one's listener accepts its connections, also after the other has closed it.
func TestListenerIsPassedToAnotherMember(t *testing.T) {
	dir := t.TempDir()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	a := joinInProcess(t, dir, func(c *Config) {
		c.File = func(name string) *os.File {
			if name != "clients" {
				return nil
			}
			f, err := l.(*net.TCPListener).File()
			if err != nil {
				return nil
			}
			return f
		}
	})
	b := joinInProcess(t, dir, nil)
	if f, err := b.File(t.Context(), a.ID(), "staff"); f != nil || err != nil {
		t.Error(f, err)
	}
	f, err := b.File(t.Context(), a.ID(), "clients")
	must(t, err)
	second, err := net.FileListener(f)
	must(t, err)
	must(t, f.Close())
	defer second.Close()
	must(t, l.Close())
	done := make(chan error, 1)
	go func() {
		conn, err := net.Dial("tcp", second.Addr().String())
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		done <- err
	}()
	conn, err := second.Accept()
	must(t, err)
	defer conn.Close()
	must(t, <-done)
	if x, err := io.ReadAll(io.LimitReader(conn, 1)); string(x) != "x" || err != nil {
		t.Errorf("%q %v", x, err)
	}
}

// Connections that send nothing, an incomplete message or garbage, and messages of another version, do not affect
// other members.
func TestMalformedMessagesAreDropped(t *testing.T) {
	dir := t.TempDir()
	a, b := joinInProcess(t, dir, nil), joinInProcess(t, dir, nil)
	path := a.dir.path(socketName + string(a.ID()))
	for _, bytes := range []string{"", "\x05\x00", "\xff\xff\xff\x7f", "\x02\x00\x00\x00{}", "\x03\x00\x00\x00abc", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("unix", path)
		must(t, err)
		defer conn.Close()
		if _, err := conn.Write([]byte(bytes)); err != nil {
			t.Error(err)
		}
	}
	if _, err := b.exchange(t.Context(), a.ID(), request{Version: Version + 1, Hello: &Hello{}}, fileTimeout); err == nil ||
		!strings.Contains(err.Error(), "another version") {
		t.Error(err)
	}
	b.waitForPeers(t, 1)
	must(t, b.Notify("still", "", 1))
	if m := a.next(t); m.Kind != "still" {
		t.Errorf("received %+v", m)
	}
}

// OnMembersJoined is called for each member that joins, and notifications sent after that reach the new member.
func TestNewMembersAreReported(t *testing.T) {
	dir := t.TempDir()
	var a *testMember
	met := make(chan struct{}, 10)
	a = joinInProcess(t, dir, func(c *Config) { c.OnMembersJoined = func() { met <- struct{}{} } })
	for range 2 {
		b := joinInProcess(t, dir, nil)
		select {
		case <-met:
		case <-time.After(waitTimeout):
			t.Fatal("Met was not called")
		}
		must(t, a.NotifyAt(7, "list", "", 1))
		if m := b.next(t); m.Kind != "list" || m.At != 7 {
			t.Errorf("received %+v", m)
		}
		b.stop()
		a.waitForPeers(t, 0)
	}
}

// lateContext is a context that never runs the functions registered with AfterFunc.
type lateContext struct{ context.Context }

func (lateContext) AfterFunc(func()) func() bool { return func() bool { return true } }
func (lateContext) Value(any) any                { return nil }

// Leaving itself closes the listener, so that Run does not wait forever for the goroutine in Accept.
func TestLeavingEndsPendingRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	g, err := Join(Config{Dir: t.TempDir(), Clock: Clock, Log: slog.New(slog.DiscardHandler), Share: func(int, int) { cancel() }})
	must(t, err)
	ended := make(chan error, 1)
	go func() { ended <- g.Run(lateContext{ctx}) }()
	select {
	case err := <-ended:
		must(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("Run does not return")
	}
}
