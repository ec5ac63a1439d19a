package controlclient

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const patience = 20 * time.Second

// keeper is one that says what a test wants.
type keeper struct {
	t     *testing.T
	mu    sync.Mutex
	conns []*link.Conn // the client's second place finds this keeper too, and gives that link up again and again
	c     *Client
	n     uint64
	mute  bool // it answers no question
}

func (k *keeper) Message(m *link.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch m.Kind {
	case KindHello:
		w := link.Writer{}
		Node{Name: "k", Role: RoleKeeper}.Append(&w)
		w.Bool(true)
		w.Bool(true)
		m.Reply(w.Buf)
		k.conns = append(k.conns, m.Conn)
	case KindConfirm:
		if k.mute {
			m.Fail("no majority")
			return
		}
		m.Reply(nil)
	}
}

func (k *keeper) Closed(*link.Conn) {}

func (k *keeper) setMute(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mute = on
}

func (k *keeper) push(version uint64, text []byte) {
	k.t.Helper()
	await(k.t, "attached", func() bool { return len(k.c.KeeperConns()) > 0 })
	k.mu.Lock()
	defer k.mu.Unlock()
	k.n++
	u := Update{Sequence: k.n, InContact: true, FullSync: k.n == 1, CertificatesVersion: version, Certificates: text}
	for _, conn := range k.conns {
		_ = conn.Send(KindUpdate, u.Encode()) // all but one were given up
	}
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

func text(t *testing.T, version uint64) []byte {
	t.Helper()
	b, err := json.Marshal(certification.Document{Version: version, Routes: []certification.Route{{Name: "q", Regime: "fin"}}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func attach(t *testing.T) (*keeper, *Client, *snapshot.Latest) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &keeper{t: t}
	go func() { _ = link.Serve(l, k, link.DefaultOptions) }() // it ends with the listener
	holder := &snapshot.Latest{}
	c := New(Options{Self: Node{Name: "p", Role: RoleProxy}, Seeds: []string{l.Addr().String()}, Snapshots: holder, ConfirmInterval: 20 * time.Millisecond, Log: hclog.NewNullLogger()})
	k.c = c
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; _ = l.Close() })
	return k, c, holder
}

func TestThatThereAreNoCertificatesIsTold(t *testing.T) {
	k, c, holder := attach(t)
	await(t, "attached", func() bool { return len(c.KeeperConns()) > 0 })
	if s := holder.Get(); s == nil || s.CertificatesKnown {
		t.Error("known before a keeper has said it")
	}
	k.push(0, nil)
	await(t, "told", func() bool { return holder.Get().CertificatesKnown })
	if holder.Get().Certificates != nil || !c.CertificatesConfirmedAt().IsZero() {
		t.Error("there are none")
	}
}

func TestVersionsOnlyGrowAndOnlyAnAnswerConfirms(t *testing.T) {
	k, c, holder := attach(t)
	k.setMute(true)
	version := func() uint64 {
		if s := holder.Get(); s != nil && s.Certificates != nil {
			return s.Certificates.Version
		}
		return 0
	}
	k.push(3, text(t, 3))
	await(t, "in force", func() bool { return version() == 3 })
	time.Sleep(100 * time.Millisecond)
	if !c.CertificatesConfirmedAt().IsZero() {
		t.Error("nobody has confirmed it")
	}
	k.setMute(false)
	await(t, "confirmed", func() bool { return !c.CertificatesConfirmedAt().IsZero() })
	k.push(2, text(t, 2))
	k.push(5, text(t, 5))
	await(t, "in force", func() bool { return version() == 5 })
	k.push(4, text(t, 4))
	k.setMute(true)
	time.Sleep(100 * time.Millisecond)
	at := c.CertificatesConfirmedAt()
	time.Sleep(100 * time.Millisecond)
	if version() != 5 || c.CertificatesConfirmedAt() != at || time.Since(at) < 100*time.Millisecond {
		t.Errorf("version %d, confirmed %v ago", version(), time.Since(c.CertificatesConfirmedAt()))
	}
}

// What can't be understood may withdraw what is in force.
func TestCertificatesThatCannotBeReadCloseTheGate(t *testing.T) {
	k, c, holder := attach(t)
	k.push(3, text(t, 3))
	await(t, "confirmed", func() bool { return !c.CertificatesConfirmedAt().IsZero() })
	k.push(4, []byte(`{"version":4,"new_field":1}`))
	await(t, "closed", func() bool { return c.CertificatesConfirmedAt().IsZero() })
	time.Sleep(100 * time.Millisecond)
	if !c.CertificatesConfirmedAt().IsZero() || holder.Get().Certificates.Version != 3 {
		t.Error("open again by the old ones")
	}
	k.push(6, text(t, 6))
	await(t, "open by newer ones", func() bool { return !c.CertificatesConfirmedAt().IsZero() && holder.Get().Certificates.Version == 6 })
}

func TestFirstCertificatesThatCannotBeReadAreNotTakenForNone(t *testing.T) {
	k, _, holder := attach(t)
	k.push(4, []byte(`{"version":4,"new_field":1}`))
	time.Sleep(300 * time.Millisecond)
	if s := holder.Get(); s == nil || s.CertificatesKnown {
		t.Error("it counts as known")
	}
}
