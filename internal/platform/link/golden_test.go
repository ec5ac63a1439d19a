package link

import (
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
)

// checkGolden compares encoded bytes with those of a golden file, and returns the latter.
func checkGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	golden.Compare(t, name+".bin", encoded)
	return golden.Read(t, name+".bin")
}

// readFrames reads size bytes from a connection without using this package's decoder.
func readFrames(t *testing.T, raw net.Conn, size int) []byte {
	t.Helper()
	frames := make([]byte, size)
	if _, err := io.ReadFull(raw, frames); err != nil {
		t.Fatal(err)
	}
	return frames
}

// The encoding of each kind of frame must not change: during a rollout, processes of two versions run in one tier.
func TestGoldenFrames(t *testing.T) {
	t.Run("one-way message", func(t *testing.T) {
		raw, nc := net.Pipe()
		c := start(nc, newChannelHandler(), noProbes)
		defer c.Close()
		if err := c.Send(7, []byte("notice")); err != nil {
			t.Fatal(err)
		}
		written := checkGolden(t, "frame_message", readFrames(t, raw, 15))
		got := receive(t, written)
		if got.Kind != 7 || string(got.Body) != "notice" || got.ExpectsReply() {
			t.Errorf("read as %+v", got)
		}
	})
	t.Run("calls", func(t *testing.T) {
		raw, nc := net.Pipe()
		c := start(nc, newChannelHandler(), noProbes)
		defer c.Close()
		c.Go(8, []byte("first"))
		c.Go(9, nil)
		written := checkGolden(t, "frame_call", readFrames(t, raw, 14+9))
		got := receive(t, written[:14])
		if got.Kind != 8 || string(got.Body) != "first" || got.call != 1 || !got.ExpectsReply() {
			t.Errorf("read as %+v", got)
		}
		got = receive(t, written[14:])
		if got.Kind != 9 || got.Body != nil || got.call != 2 {
			t.Errorf("read as %+v", got)
		}
	})
	t.Run("probe", func(t *testing.T) {
		raw, nc := net.Pipe()
		c := start(nc, newChannelHandler(), Options{ProbeInterval: time.Millisecond, PeerTimeout: time.Hour})
		defer c.Close()
		checkGolden(t, "frame_probe", readFrames(t, raw, 9))
	})
}

// The encoding of a reply and of an error must not change, and each must end the call that it belongs to.
func TestGoldenReplies(t *testing.T) {
	raw, nc := net.Pipe()
	s := newChannelHandler()
	callee := start(nc, s, noProbes)
	defer callee.Close()
	if _, err := raw.Write(golden.Read(t, "frame_call.bin")); err != nil {
		t.Fatal(err)
	}
	firstCall, secondCall := get(t, s.messages, "the first call"), get(t, s.messages, "the second call")
	firstCall.Reply([]byte("an answer"))
	reply := checkGolden(t, "frame_reply", readFrames(t, raw, 9+9))
	secondCall.Fail("no: %d of %d", 3, 4)
	refusal := checkGolden(t, "frame_error", readFrames(t, raw, 9+10))

	raw, nc = net.Pipe()
	caller := start(nc, newChannelHandler(), noProbes)
	defer caller.Close()
	firstReply, secondReply := caller.Go(8, nil), caller.Go(9, nil)
	readFrames(t, raw, 2*9)
	if _, err := raw.Write(append(refusal, reply...)); err != nil {
		t.Fatal(err)
	}
	if r := get(t, firstReply, "the reply"); r.Err != nil || string(r.Body) != "an answer" {
		t.Errorf("%+v", r)
	}
	var remote RemoteError
	if r := get(t, secondReply, "the refusal"); !errors.As(r.Err, &remote) || remote != "no: 3 of 4" {
		t.Errorf("%+v", r)
	}
}

// receive returns the message that a link decodes from a frame.
func receive(t *testing.T, frame []byte) *Message {
	t.Helper()
	raw, nc := net.Pipe()
	s := newChannelHandler()
	c := start(nc, s, noProbes)
	defer c.Close()
	if _, err := raw.Write(frame); err != nil {
		t.Fatal(err)
	}
	return get(t, s.messages, "the message")
}

// The encoding of each kind of field must not change, as all messages between processes consist of them.
func TestGoldenFields(t *testing.T) {
	var w Writer
	w.U8(0xfe)
	w.U32(0x01020304)
	w.U64(0x1112131415161718)
	w.Int(-2)
	w.Bool(true)
	w.Bool(false)
	w.String("zwölf")
	w.Bytes([]byte{9, 8, 7})
	w.U32(2)
	w.U64(21)
	w.U64(22)
	r := Reader{Buf: checkGolden(t, "fields", w.Buf)}
	got := []any{r.U8(), r.U32(), r.U64(), r.Int(), r.Bool(), r.Bool(), r.String(), r.Bytes(), r.Count(8), r.U64(), r.U64()}
	want := []any{uint8(0xfe), uint32(0x01020304), uint64(0x1112131415161718), -2, true, false, "zwölf", []byte{9, 8, 7}, 2, uint64(21), uint64(22)}
	if r.Err != nil || len(r.Buf) != 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %v, %v, %d bytes remain", got, r.Err, len(r.Buf))
	}
}

// Both sides of a link must agree on these numbers.
func TestGoldenLimits(t *testing.T) {
	if kindReply != 250 || kindError != 251 || kindProbe != 252 || maxFrame != 16<<20 || headerSize != 9 {
		t.Error("a peer of another version would end the link")
	}
	if DefaultOptions.ProbeInterval != 400*time.Millisecond || DefaultOptions.PeerTimeout != 1300*time.Millisecond {
		t.Errorf("%+v: a peer of another version may count as dead", DefaultOptions)
	}
	c := start(first(net.Pipe()), newChannelHandler(), noProbes)
	defer c.Close()
	if _, err := c.Call(context.Background(), 1, make([]byte, 16<<20-8)); err == nil || errors.Is(err, ErrClosed) {
		t.Errorf("a message longer than the peer's limit was sent: %v", err)
	}
}

func first(a, _ net.Conn) net.Conn { return a }
