package controlclient

import (
	"encoding/json"
	"testing"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// confirmInterval is the ConfirmInterval of the clients in these tests.
const confirmInterval = 20 * time.Millisecond

// roundsToSettle is the number of confirmation requests after which no earlier request or update is still in flight.
const roundsToSettle = 5

// certificateTest is a client that is attached to a fake keeper, which pushes certificates.
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

// version returns the version of the certificates in force, 0 if there are none.
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

// unparsableCertificates is a document with a field that this program does not know.
var unparsableCertificates = []byte(`{"version":4,"new_field":1}`)

func TestCertificatesAreKnownOnceKeeperReportsNone(t *testing.T) {
	c := newCertificateTest(t)
	if s := c.snapshots.Get(); s == nil || s.CertificatesKnown {
		t.Error("certificates count as known before a keeper has reported them")
	}
	c.push(0, nil)
	await(t, "known", func() bool { return c.snapshots.Get().CertificatesKnown })
	if c.snapshots.Get().Certificates != nil || !c.client.CertificatesConfirmedAt().IsZero() {
		t.Error("certificates are set or confirmed though the keeper reported none")
	}
}

func TestCertificateVersionsIncreaseAndOnlyRepliesConfirm(t *testing.T) {
	c := newCertificateTest(t)
	c.keeper.refuseConfirmations(true)
	c.push(3, certificatesText(t, 3))
	await(t, "in force", func() bool { return c.version() == 3 })
	c.keeper.awaitConfirmations(t, roundsToSettle)
	if !c.client.CertificatesConfirmedAt().IsZero() {
		t.Error("certificates count as confirmed though the keeper refused to confirm them")
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

// TestUnparsableCertificatesClearConfirmation checks that certificates in force no longer count as confirmed after a
// newer version was pushed that can't be parsed, because that version may withdraw them.
func TestUnparsableCertificatesClearConfirmation(t *testing.T) {
	c := newCertificateTest(t)
	c.push(3, certificatesText(t, 3))
	await(t, "confirmed", func() bool { return !c.client.CertificatesConfirmedAt().IsZero() })
	c.push(4, unparsableCertificates)
	await(t, "no longer confirmed", func() bool { return c.client.CertificatesConfirmedAt().IsZero() })
	c.keeper.awaitConfirmations(t, roundsToSettle)
	if !c.client.CertificatesConfirmedAt().IsZero() || c.snapshots.Get().Certificates.Version != 3 {
		t.Error("the old certificates were confirmed again or replaced")
	}
	c.push(6, certificatesText(t, 6))
	await(t, "confirmed by newer ones", func() bool {
		return !c.client.CertificatesConfirmedAt().IsZero() && c.snapshots.Get().Certificates.Version == 6
	})
}

func TestUnparsableFirstCertificatesDoNotCountAsNone(t *testing.T) {
	c := newCertificateTest(t)
	c.push(4, unparsableCertificates)
	c.keeper.awaitEnd(t)
	await(t, "detached", func() bool { return len(c.client.KeeperConns()) == 0 })
	if s := c.snapshots.Get(); s == nil || s.CertificatesKnown {
		t.Error("certificates count as known though they could not be parsed")
	}
}
