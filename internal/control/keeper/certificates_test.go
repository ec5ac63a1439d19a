package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
)

const certificatesTTL = time.Second

func certificatesBody(t *testing.T, version uint64, endpoints ...string) []byte {
	t.Helper()
	d := certification.Document{Version: version, Routes: []certification.Route{{Name: "q", Regime: "fin"}}}
	for _, e := range endpoints {
		d.Certificates = append(d.Certificates, certification.Certificate{
			Endpoint:  e,
			Regime:    "fin",
			NotBefore: time.Now().Add(-time.Hour),
			NotAfter:  time.Now().Add(time.Hour),
			Issuer:    "test",
		})
	}
	b, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func (r *rig) putCertificates(i int, match string, body []byte) response {
	return r.call(i, "PUT", certificatesPath, match, body)
}

// gate attaches a real client as a proxy does, and returns the gate that it updates.
func (r *rig) gate(seeds ...int) *certification.Gate {
	var client *controlclient.Client
	gate := certification.NewGate(certification.GateOptions{ConfirmationTTL: certificatesTTL, LastConfirmed: func() time.Time { return client.CertificatesConfirmedAt() }})
	var addrs []string
	for _, i := range seeds {
		addrs = append(addrs, r.linkAddress(i))
	}
	client = controlclient.New(controlclient.Options{Self: controlclient.Node{
		Name:        "p",
		Role:        controlclient.RoleProxy,
		Zone:        "z",
		Incarnation: 1,
	},
		Seeds: addrs, WantEndpoints: true, Snapshots: &snapshot.Latest{}, ConfirmInterval: certificatesTTL / 5, Log: hclog.NewNullLogger(),
		OnSnapshot: func(s *snapshot.Snapshot) { gate.Update(s.Certificates) }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	r.t.Cleanup(func() { cancel(); <-done })
	return gate
}

func TestCertificatesHaveTheirOwnRegister(t *testing.T) {
	r := newRig(t, 3)
	log := &memoryLog{}
	r.log = hclog.New(&hclog.LoggerOptions{Output: log})
	r.startAll()
	r.untilCode(404, func() response { return r.call(0, "GET", certificatesPath, "", nil) }) // nothing has been put
	one := certificatesBody(t, 5, "e1")
	for _, c := range []struct {
		match string
		body  []byte
		want  int
	}{
		{"", one, 400}, {"x", one, 400}, {"0", []byte("{"), 400}, {"0", []byte(`{"version":0}`), 400}, {"3", one, 412},
		{"0", one, 200}, {"0", one, 200}, // a repeat
		{"0", certificatesBody(t, 6, "e2"), 412}, {"5", certificatesBody(t, 5, "e2"), 400}, {"5", certificatesBody(t, 4, "e2"), 400},
	} {
		if a := r.putCertificates(0, c.match, c.body); a.status != c.want {
			t.Errorf("If-Match %q, %.40s: %v, want %d", c.match, c.body, a, c.want)
		}
	}
	two := certificatesBody(t, 9, "e1", "e2")
	if a := r.putCertificates(1, `"5"`, two); a.status != 200 || !strings.Contains(a.body, `"in_force":true`) || !strings.Contains(a.body, `"version":9`) {
		t.Errorf("%v", a)
	}
	if a := r.call(2, "GET", certificatesPath, "", nil); a.status != 200 || a.body != string(two) {
		t.Errorf("%v", a)
	}
	if a := r.putCertificates(0, "0", one); a.status != 200 {
		t.Errorf("repeat of an accepted put: %v", a)
	}
	if a := r.call(0, "DELETE", certificatesPath, "", nil); a.status != 405 {
		t.Errorf("%v", a)
	}
	for _, line := range []string{"certificates put: version=9", "certificate added: version=9 endpoint=e2 regime=fin", "certificates in force: version=9 before=5"} {
		if log.count(line) == 0 {
			t.Errorf("the log lacks %q", line)
		}
	}
	for i := range 3 {
		r.kill(i)
	}
	r.startAll()
	if a := r.untilCode(200, func() response { return r.call(0, "GET", certificatesPath, "", nil) }); a.body != string(two) {
		t.Errorf("after a restart: %v", a)
	}
}

// TestProxyFollowsCertificatesOrFailsClosed: a withdrawal is in force at the proxy when it is acknowledged. Without a
// majority, the proxy treats no endpoint as certified once its confirmation has expired, and resumes when there is a
// majority again. A minority decides nothing.
func TestProxyFollowsCertificatesOrFailsClosed(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	allows := func(gate *certification.Gate, e string) bool { _, _, ok := gate.Allows("q", e); return ok }
	r.untilCode(200, func() response { return r.putCertificates(0, "0", certificatesBody(t, 1, "e1", "e2")) })
	gate := r.gate(0, 1, 2)
	eventually(t, "certified", func() bool { return gate.Current() != nil && allows(gate, "e1") && allows(gate, "e2") })
	if allows(gate, "e3") {
		t.Error("e3 is certified")
	}
	two := certificatesBody(t, 2, "e1")
	a := r.untilCode(200, func() response { return r.putCertificates(1, "1", two) })
	if !strings.Contains(a.body, `"in_force":true`) {
		t.Logf("slow machine, not yet in force when acknowledged: %v", a)
		time.Sleep(certificatesTTL)
	}
	if allows(gate, "e2") {
		t.Error("e2 is still certified after its withdrawal was acknowledged")
	}
	eventually(t, "fresh", func() bool { return allows(gate, "e1") })

	r.kill(0)
	r.kill(1)
	began := time.Now()
	eventually(t, "fails closed without a majority", func() bool { return !allows(gate, "e1") })
	if took := time.Since(began); took > certificatesTTL+2*time.Second*raceSlowdown { // on a busy machine
		t.Errorf("failed closed after %v", took)
	}
	if a := r.putCertificates(2, "2", certificatesBody(t, 3, "e1", "e2")); a.status == 200 {
		t.Error("a minority accepted certificates")
	}
	if allows(gate, "e1") || gate.Current().Version != 2 {
		t.Errorf("version %d", gate.Current().Version)
	}
	r.start(0)
	eventually(t, "certified again with a majority", func() bool { return allows(gate, "e1") })
	if gate.Current().Version == 2 && allows(gate, "e2") {
		t.Error("a withdrawn certificate is valid again")
	}
}

// TestProcessBehindIsNotConfirmed: a process that wasn't pushed the newest certificates, because it doesn't acknowledge
// pushes, gets no confirmation that it has the newest ones.
func TestProcessBehindIsNotConfirmed(t *testing.T) {
	r := newRig(t, 3)
	r.pushWait = 10 * time.Millisecond // no process acknowledges
	r.startAll()
	r.untilCode(200, func() response { return r.putCertificates(0, "0", certificatesBody(t, 1, "e1")) })
	w := r.attachManually(0, "p")
	receive(t, w.pushes, "the first push")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	// A majority may accept a put before this keeper is in contact, and on a slow machine contact may be lost again.
	// Without contact nothing is confirmed, and the process calls again.
	eventually(t, "its certificates are confirmed", func() bool {
		_, err := w.conn.Call(ctx, controlclient.KindConfirm, nil)
		return err == nil
	})
	for i := range maxUnackedPushes + 8 {
		r.heartbeat(0, fmt.Sprint("e", i), "ready", 1)
	}
	r.untilCode(200, func() response { return r.putCertificates(0, "1", certificatesBody(t, 2)) })
	newest := uint64(0)
	for more := true; more; {
		select {
		case u := <-w.pushes:
			newest = max(newest, u.CertificatesVersion)
		default:
			more = false
		}
	}
	if newest == 2 {
		t.Skip("it was pushed the newest certificates nevertheless")
	}
	if _, err := w.conn.Call(ctx, controlclient.KindConfirm, nil); err == nil {
		t.Error("certificates are confirmed that are not the newest")
	}
}
