package controlclient

import (
	"encoding/json"
	"testing"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// confirmInterval is that of the clients of these tests.
const confirmInterval = 20 * time.Millisecond

// roundsToSettle is how many confirmations a test waits for, after which nothing that came before is under way.
const roundsToSettle = 5

// certificateTest is a client that is attached to a keeper, which pushes certificates.
type certificateTest struct {
	t         *testing.T
	keeper    *fakeKeeper
	client    *Client
	snapshots *snapshot.Latest
	conn      *link.Conn
	sequence  uint64 // of the newest update
}

func newCertificateTest(t *testing.T) *certificateTest {
	t.Helper()
	c := &certificateTest{t: t, keeper: startFakeKeeper(t), snapshots: &snapshot.Latest{}}
	c.client = runClient(t, c.keeper, Options{Snapshots: c.snapshots, ConfirmInterval: confirmInterval})
	await(t, "attached", func() bool { return len(c.client.KeeperConns()) > 0 })
	c.conn = <-c.keeper.links
	return c
}

// push pushes certificates.
func (c *certificateTest) push(version uint64, certificates []byte) {
	c.t.Helper()
	c.sequence++
	u := Update{
		Sequence:            c.sequence,
		InContact:           true,
		FullSync:            c.sequence == 1,
		CertificatesVersion: version,
		Certificates:        certificates,
	}
	if err := c.conn.Send(KindUpdate, u.Encode()); err != nil {
		c.t.Fatal(err)
	}
}

// version returns the version of the certificates in force; 0: there are none.
func (c *certificateTest) version() uint64 {
	if s := c.snapshots.Get(); s != nil && s.Certificates != nil {
		return s.Certificates.Version
	}
	return 0
}

// certificatesText returns certificates as an operator sends them.
func certificatesText(t *testing.T, version uint64) []byte {
	t.Helper()
	text, err := json.Marshal(certification.Document{
		Version: version,
		Routes:  []certification.Route{{Name: "q", Regime: "fin"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// unknownCertificates are of a version that this program can't parse.
var unknownCertificates = []byte(`{"version":4,"new_field":1}`)

func TestCertificatesAreKnownOnceAKeeperSaysThereAreNone(t *testing.T) {
	c := newCertificateTest(t)
	if s := c.snapshots.Get(); s == nil || s.CertificatesKnown {
		t.Error("known before a keeper has said it")
	}
	c.push(0, nil)
	await(t, "known", func() bool { return c.snapshots.Get().CertificatesKnown })
	if c.snapshots.Get().Certificates != nil || !c.client.CertificatesConfirmedAt().IsZero() {
		t.Error("there are none")
	}
}

func TestCertificateVersionsOnlyGrowAndOnlyAnAnswerConfirms(t *testing.T) {
	c := newCertificateTest(t)
	c.keeper.refuseConfirmations(true)
	c.push(3, certificatesText(t, 3))
	await(t, "in force", func() bool { return c.version() == 3 })
	c.keeper.awaitConfirmations(t, roundsToSettle)
	if !c.client.CertificatesConfirmedAt().IsZero() {
		t.Error("nobody has confirmed it")
	}
	c.keeper.refuseConfirmations(false)
	await(t, "confirmed", func() bool { return !c.client.CertificatesConfirmedAt().IsZero() })
	c.push(2, certificatesText(t, 2))
	c.push(5, certificatesText(t, 5))
	await(t, "in force", func() bool { return c.version() == 5 })
	c.push(4, certificatesText(t, 4))
	c.keeper.refuseConfirmations(true)
	c.keeper.awaitConfirmations(t, roundsToSettle)
	at := c.client.CertificatesConfirmedAt()
	c.keeper.awaitConfirmations(t, 2*roundsToSettle)
	if c.version() != 5 || c.client.CertificatesConfirmedAt() != at || time.Since(at) < 100*time.Millisecond {
		t.Errorf("version %d, confirmed %v ago", c.version(), time.Since(c.client.CertificatesConfirmedAt()))
	}
}

// What can't be parsed may withdraw what is in force.
func TestUnknownCertificatesEndTheConfirmation(t *testing.T) {
	c := newCertificateTest(t)
	c.push(3, certificatesText(t, 3))
	await(t, "confirmed", func() bool { return !c.client.CertificatesConfirmedAt().IsZero() })
	c.push(4, unknownCertificates)
	await(t, "no longer confirmed", func() bool { return c.client.CertificatesConfirmedAt().IsZero() })
	c.keeper.awaitConfirmations(t, roundsToSettle)
	if !c.client.CertificatesConfirmedAt().IsZero() || c.snapshots.Get().Certificates.Version != 3 {
		t.Error("confirmed again by the old ones")
	}
	c.push(6, certificatesText(t, 6))
	await(t, "confirmed by newer ones", func() bool {
		return !c.client.CertificatesConfirmedAt().IsZero() && c.snapshots.Get().Certificates.Version == 6
	})
}

func TestFirstCertificatesThatAreUnknownDoNotCountAsNone(t *testing.T) {
	c := newCertificateTest(t)
	c.push(4, unknownCertificates)
	c.keeper.awaitEnd(t)
	await(t, "detached", func() bool { return len(c.client.KeeperConns()) == 0 })
	if s := c.snapshots.Get(); s == nil || s.CertificatesKnown {
		t.Error("it counts as known")
	}
}
