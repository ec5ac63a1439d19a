package fleet

import (
	"bytes"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/vfs"
)

// Every message between nodes that an earlier version has encoded is decoded to the same value and encoded to the same bytes.
func TestGoldenMessages(t *testing.T) {
	golden.Encoding[hello](t, "hello.cbor", encoding, decoding)
	golden.Encoding[welcome](t, "welcome.cbor", encoding, decoding)
	golden.Encoding[frame](t, "frame.cbor", encoding, decoding)
	golden.Encoding[meta](t, "gossip-meta.cbor", encoding, decoding)
	golden.Encoding[gossipRecords](t, "gossip-records.cbor", encoding, decoding)
	golden.JSON[Status](t, "status.json")
	golden.JSON[File](t, "fleet-file.json")
}

const goldenKey = 0x1122334455667788

func TestGoldenPacket(t *testing.T) {
	payload := []byte("a datagram's payload")
	golden.Compare(t, "packet", sealPacket(goldenKey, payload))
	got, err := openPacket(goldenKey, golden.Read(t, "packet"))
	if err != nil || !bytes.Equal(got, payload) {
		t.Errorf("read %q, %v", got, err)
	}
}

// The bytes of a link: the greeting of the dialling side, its hello, and two frames.
func TestGoldenLinkStream(t *testing.T) {
	here, there := net.Pipe()
	var sent bytes.Buffer
	answered := make(chan error, 1)
	go func() {
		tee := &teeConn{Conn: there, in: &sent}
		purpose, err := acceptGreeting(tee, goldenKey)
		if err == nil && purpose != purposeLink {
			t.Errorf("purpose %d", purpose)
		}
		if err == nil {
			c := &framedConn{Conn: tee, key: goldenKey}
			err = receiveGolden(t, c)
		}
		answered <- err
	}()
	if err := greet(here, goldenKey, purposeLink); err != nil {
		t.Fatal(err)
	}
	c := &framedConn{Conn: here, key: goldenKey}
	for _, v := range []any{golden.Filled[hello](), golden.Filled[frame](), frame{Type: frameAck, ID: 3}} {
		if err := c.send(v); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "link-stream", sent.Bytes())

	// The bytes of an earlier version are decoded.
	tee := &replayConn{Reader: bytes.NewReader(golden.Read(t, "link-stream"))}
	purpose, err := acceptGreeting(tee, goldenKey)
	if err != nil || purpose != purposeLink {
		t.Fatalf("purpose %d, %v", purpose, err)
	}
	golden.Compare(t, "link-greeting-answer", tee.out.Bytes())
	if err := receiveGolden(t, &framedConn{Conn: tee, key: goldenKey}); err != nil {
		t.Fatal(err)
	}
}

// receiveGolden reads the messages of the golden stream.
func receiveGolden(t *testing.T, c *framedConn) error {
	t.Helper()
	var h hello
	var one, two frame
	for _, v := range []any{&h, &one, &two} {
		if err := c.receive(v, maxFrame); err != nil {
			return err
		}
	}
	if !reflect.DeepEqual(h, golden.Filled[hello]()) || !reflect.DeepEqual(one, golden.Filled[frame]()) || two.Type != frameAck || two.ID != 3 {
		t.Errorf("read %+v, %+v, %+v", h, one, two)
	}
	return nil
}

// teeConn records what is read from a connection.
type teeConn struct {
	net.Conn
	in *bytes.Buffer
}

func (c *teeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Write(b[:n])
	return n, err
}

// replayConn reads recorded bytes and records what is written.
type replayConn struct {
	net.Conn
	io.Reader
	out bytes.Buffer
}

func (c *replayConn) Read(b []byte) (int, error)  { return c.Reader.Read(b) }
func (c *replayConn) Write(b []byte) (int, error) { return c.out.Write(b) }

func TestGoldenIdentityFile(t *testing.T) {
	want := golden.Filled[identity]()
	dir := t.TempDir()
	if err := want.save(vfs.Dir(dir)); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(dir, identityName))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "fleet-node", written)
	read, unreadable, err := loadIdentity(vfs.Dir(golden.Dir), want.Fleet, want.Name)
	if err != nil || unreadable != nil || read != want {
		t.Errorf("read %+v, %v, %v, want %+v", read, unreadable, err, want)
	}
}
