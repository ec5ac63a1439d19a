package link

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"
)

func TestMessagesArriveInOrder(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, _, _, bSide := startPair(t, tr, noProbes)
			const n = 5000
			for i := range n {
				if err := a.Send(7, fmt.Appendf(nil, "%d%0*d", i, i%300, 0)); err != nil {
					t.Fatal(err)
				}
			}
			for i := range n {
				m := get(t, bSide.messages, "a message")
				if want := fmt.Sprintf("%d%0*d", i, i%300, 0); string(m.Body) != want || m.Kind != 7 || m.ExpectsReply() {
					t.Fatalf("message %d: kind %d, %.40q", i, m.Kind, m.Body)
				}
			}
		})
	}
}

func TestRepliesInAnyOrderReachTheirCalls(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, _, _, bSide := startPair(t, tr, noProbes)
			const n = 50
			var replies []<-chan Reply
			for i := range n {
				replies = append(replies, a.Go(7, []byte{byte(i)}))
			}
			var calls []*Message
			for range n {
				calls = append(calls, get(t, bSide.messages, "a call"))
			}
			slices.Reverse(calls)
			for _, m := range calls {
				if m.Body[0]%3 == 0 {
					m.Fail("refused %d", m.Body[0])
				} else {
					m.Reply([]byte{m.Body[0], 1})
				}
				m.Reply([]byte("once more")) // is ignored
			}
			for i, ch := range replies {
				r := get(t, ch, "a reply")
				var refusal RemoteError
				if refused := errors.As(r.Err, &refusal); refused != (i%3 == 0) || refused && string(refusal) != fmt.Sprint("refused ", i) {
					t.Fatalf("call %d: %v", i, r.Err)
				}
				if r.Err == nil && !slices.Equal(r.Body, []byte{byte(i), 1}) {
					t.Fatalf("call %d: %q", i, r.Body)
				}
			}
			if left := pendingCalls(a); left != 0 {
				t.Fatalf("%d calls are still pending", left)
			}
		})
	}
}

func pendingCalls(c *Conn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

func TestCloseFailsPendingCalls(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, b, aSide, bSide := startPair(t, tr, noProbes)
			ch := a.Go(7, nil)
			get(t, bSide.messages, "the call")
			b.Close()
			if r := get(t, ch, "the end of the call"); !errors.Is(r.Err, ErrClosed) {
				t.Fatal(r.Err)
			}
			get(t, aSide.closed, "the end at one side")
			get(t, bSide.closed, "the end at the other side")
			if r := get(t, a.Go(7, nil), "the end of a later call"); !errors.Is(r.Err, ErrClosed) {
				t.Fatal(r.Err)
			}
			if a.Send(7, nil) == nil {
				t.Fatal("sent on a link that has ended")
			}
		})
	}
}

// A call whose context has ended is removed from the pending calls, and the link remains usable.
func TestAbandonedCallIsForgotten(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, _, _, bSide := startPair(t, tr, noProbes)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { _, err := a.Call(ctx, 7, nil); ended <- err }()
			m := get(t, bSide.messages, "the call")
			cancel()
			if err := get(t, ended, "the call's end"); !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			if left := pendingCalls(a); left != 0 {
				t.Fatalf("%d calls are still pending", left)
			}
			m.Reply(nil)
			go func() { get(t, bSide.messages, "a second call").Reply([]byte("yes")) }()
			if b, err := a.Call(context.Background(), 7, nil); err != nil || string(b) != "yes" {
				t.Fatalf("%q, %v", b, err)
			}
		})
	}
}

// A message that is too long is rejected at its sender, and the link stays open.
func TestTooLongBodyIsRejectedAndLinkStaysOpen(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, _, _, bSide := startPair(t, tr, noProbes)
			long := make([]byte, maxFrame)
			if err := a.Send(7, long); !errors.Is(err, ErrTooLong) {
				t.Fatal(err)
			}
			if r := get(t, a.Go(7, long), "the refusal"); !errors.Is(r.Err, ErrTooLong) {
				t.Fatal(r.Err)
			}
			ch := a.Go(7, nil)
			get(t, bSide.messages, "the call").Reply(long)
			var refusal RemoteError
			if r := get(t, ch, "the refusal of the reply"); !errors.As(r.Err, &refusal) {
				t.Fatal(r.Err)
			}
			if err := a.Send(7, make([]byte, MaxBody)); err != nil {
				t.Fatal(err)
			}
			if m := get(t, bSide.messages, "the longest frame"); len(m.Body) != MaxBody {
				t.Fatal(len(m.Body))
			}
		})
	}
}

func TestTooLongFrameEndsLink(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			raw, nb := tr.pair(t)
			defer raw.Close()
			bSide := newChannelHandler()
			b := start(nb, bSide, noProbes)
			defer b.Close()
			_, _ = raw.Write(binary.BigEndian.AppendUint32(nil, maxFrame+1))
			_, _ = raw.Write([]byte{7, 0, 0, 0, 0})
			get(t, bSide.closed, "the end")
			if !errors.Is(b.err, ErrTooLong) {
				t.Fatal(b.err)
			}
		})
	}
}

// The write queue for a peer that does not read is bounded.
func TestQueueForPeerThatDoesNotReadIsBounded(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, _, aSide, bSide := startPair(t, tr, noProbes)
			release := make(chan struct{})
			bSide.act = func(*Message) { <-release }
			defer close(release)
			body := make([]byte, 1<<20)
			sent := 0
			for a.Send(7, body) == nil {
				if sent++; sent > 4*maxQueued>>20 {
					t.Fatal("the write queue grows without bound")
				}
			}
			get(t, aSide.closed, "the end")
		})
	}
}

// A peer that sends nothing is detected, even while the writing goroutine is blocked on it.
func TestUnresponsivePeerEndsLink(t *testing.T) {
	for _, tr := range transports {
		for _, stuck := range []bool{false, true} {
			t.Run(fmt.Sprint(tr.name, "/stuck=", stuck), func(t *testing.T) {
				na, raw := tr.pair(t)
				defer raw.Close()
				aSide := newChannelHandler()
				a := start(na, aSide, Options{ProbeInterval: 10 * time.Millisecond, PeerTimeout: 50 * time.Millisecond})
				defer a.Close()
				if stuck {
					_ = a.Send(7, make([]byte, 15<<20))
				}
				ch := a.Go(7, nil)
				get(t, aSide.closed, "the end")
				if r := get(t, ch, "the end of the call"); !errors.Is(r.Err, ErrClosed) {
					t.Fatal(r.Err)
				}
			})
		}
	}
}

// Probes keep a link open on which no messages are sent.
func TestProbesKeepIdleLinkOpen(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, b, _, _ := startPair(t, tr, Options{ProbeInterval: 5 * time.Millisecond, PeerTimeout: 5 * time.Second})
			began := time.Now().UnixNano()
			for _, c := range []*Conn{a, b} {
				deadline := time.Now().Add(testTimeout)
				for n, last := 0, began; n < 5; {
					if at := c.lastRead.Load(); at > last {
						n, last = n+1, at
					}
					if time.Now().After(deadline) {
						t.Fatal("no probe arrived")
					}
					select {
					case <-c.Done():
						t.Fatal("the link has ended")
					case <-time.After(time.Millisecond):
					}
				}
			}
		})
	}
}

// Each read of a frame counts as a sign of life, so a frame may take longer than PeerTimeout.
func TestSlowLongFrameCountsAsAlive(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			na, raw := tr.pair(t)
			defer raw.Close()
			aSide := newChannelHandler()
			a := start(na, aSide, Options{ProbeInterval: 5 * time.Millisecond, PeerTimeout: 300 * time.Millisecond})
			defer a.Close()
			go func() { // discards the probes
				b := make([]byte, 1<<10)
				for {
					if _, err := raw.Read(b); err != nil {
						return
					}
				}
			}()
			const n = 60
			frame := append(binary.BigEndian.AppendUint32(nil, n+5), 7, 0, 0, 0, 0)
			if _, err := raw.Write(frame); err != nil {
				t.Fatal(err)
			}
			pace := time.NewTicker(15 * time.Millisecond)
			defer pace.Stop()
			for i := range n {
				<-pace.C
				if _, err := raw.Write([]byte{byte(i)}); err != nil {
					t.Fatal(err)
				}
			}
			if m := get(t, aSide.messages, "the frame"); len(m.Body) != n {
				t.Fatal(len(m.Body))
			}
		})
	}
}

// With concurrent writers in both directions, all messages arrive, those of each writer in order.
func TestConcurrentWritersKeepTheirOrder(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, b, aSide, bSide := startPair(t, tr, noProbes)
			const writers, each = 8, 300
			var wg sync.WaitGroup
			for _, c := range []*Conn{a, b} {
				for w := range writers {
					wg.Go(func() {
						for i := range each {
							_ = c.Send(Kind(w), binary.BigEndian.AppendUint32(nil, uint32(i)))
						}
					})
				}
			}
			for _, s := range []*channelHandler{aSide, bSide} {
				next := map[Kind]uint32{}
				for range writers * each {
					m := get(t, s.messages, "a message")
					if got := binary.BigEndian.Uint32(m.Body); got != next[m.Kind] {
						t.Fatalf("writer %d: got %d, want %d", m.Kind, got, next[m.Kind])
					}
					next[m.Kind]++
				}
			}
			wg.Wait()
		})
	}
}

// FuzzFrames decodes arbitrary bytes: it must not panic or allocate more than what was received, and Closed is called
// once, last.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 5, 7, 0, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 6, 250, 0, 0, 0, 1, 9})
	f.Add([]byte{0, 0, 0, 4, 7, 0, 0, 0, 1})
	f.Add([]byte{0, 255, 255, 255, 7, 0, 0, 0, 1, 1})
	f.Add([]byte{255, 255, 255, 255, 252, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		raw, nb := net.Pipe()
		s := newChannelHandler()
		bytes := 0
		s.act = func(m *Message) { bytes += len(m.Body) + headerSize; m.Reply(nil) }
		c := start(nb, s, noProbes)
		go func() {
			_, _ = raw.Write(b)
			_ = raw.Close()
		}()
		get(t, s.closed, "the end")
		c.Close()
		if bytes > len(b) {
			t.Fatalf("%d bytes decoded from %d", bytes, len(b))
		}
	})
}

// firstReplies decodes frames independently of the code under test. It returns the first reply to each of the calls
// that precedes anything that ends the link.
func firstReplies(b []byte, calls uint32) map[uint32]Reply {
	first := map[uint32]Reply{}
	for len(b) >= headerSize {
		n := binary.BigEndian.Uint32(b)
		if n < 5 || n-5 > MaxBody || uint64(len(b)) < uint64(n)+4 {
			break
		}
		kind, call, body := Kind(b[4]), binary.BigEndian.Uint32(b[5:]), b[headerSize:n+4]
		b = b[n+4:]
		if _, known := first[call]; known || call == 0 || call > calls {
			continue
		}
		switch kind {
		case kindReply:
			first[call] = Reply{Body: body}
		case kindError:
			first[call] = Reply{Err: RemoteError(body)}
		}
	}
	return first
}

// readCalls reads calls without bodies, so that no write is pending that could fail and close the link before a reply
// is read.
func readCalls(t *testing.T, raw net.Conn, calls int64) {
	t.Helper()
	if _, err := io.CopyN(io.Discard, raw, calls*headerSize); err != nil {
		t.Fatal(err)
	}
}

// FuzzReplies decodes arbitrary bytes while calls are pending: each call gets the first reply with its number, or
// ErrClosed, once.
func FuzzReplies(f *testing.F) {
	reply := func(kind Kind, call byte, body ...byte) []byte {
		return append([]byte{0, 0, 0, byte(5 + len(body)), byte(kind), 0, 0, 0, call}, body...)
	}
	f.Add(reply(kindReply, 1, 7))
	f.Add(slices.Concat(reply(kindReply, 2, 7), reply(kindReply, 2, 8), reply(kindError, 1, 'n', 'o'), reply(kindReply, 3)))
	f.Add(slices.Concat(reply(kindReply, 0, 7), reply(kindReply, 9, 8), reply(kindProbe, 1), reply(kindError, 3)))
	f.Add(reply(kindReply, 1, 7)[:9])
	const calls = 3
	f.Fuzz(func(t *testing.T, b []byte) {
		raw, nb := net.Pipe()
		s := newChannelHandler()
		s.act = func(*Message) {}
		c := start(nb, s, noProbes)
		var waiting []<-chan Reply
		for range calls {
			waiting = append(waiting, c.Go(1, nil))
		}
		readCalls(t, raw, calls)
		go func() {
			_, _ = raw.Write(b)
			_ = raw.Close()
		}()
		want := firstReplies(b, calls)
		for n, ch := range waiting {
			got := get(t, ch, "a reply")
			expected, replied := want[uint32(n+1)]
			switch {
			case !replied && !errors.Is(got.Err, ErrClosed):
				t.Fatalf("call %d: %+v without a reply", n+1, got)
			case replied && (string(got.Body) != string(expected.Body) || !reflect.DeepEqual(got.Err, expected.Err)):
				t.Fatalf("call %d: got %+v, want %+v", n+1, got, expected)
			}
		}
		get(t, s.closed, "the end")
		c.Close()
		for n, ch := range waiting {
			if len(ch) > 0 {
				t.Fatalf("call %d was answered twice", n+1)
			}
		}
	})
}

// If a link breaks at any byte of two replies, complete replies count, the other calls end with ErrClosed, and the
// next link, whose calls have the same numbers, receives nothing of the replies.
func TestLinkCutAtEachByteOfReplies(t *testing.T) {
	reply := func(call byte, body string) []byte {
		return append([]byte{0, 0, 0, byte(5 + len(body)), byte(kindReply), 0, 0, 0, call}, body...)
	}
	first, second := reply(1, "first"), reply(2, "second")
	both := slices.Concat(first, second)
	for cut := range len(both) + 1 {
		raw, nb := net.Pipe()
		c := start(nb, newChannelHandler(), noProbes)
		one, two := c.Go(1, nil), c.Go(1, nil)
		readCalls(t, raw, 2)
		if _, err := raw.Write(both[:cut]); err != nil {
			t.Fatal(err)
		}
		_ = raw.Close()
		for call, ch := range []<-chan Reply{one, two} {
			got, whole := get(t, ch, "a reply"), []int{len(first), len(both)}[call]
			want := Reply{Body: []byte([]string{"first", "second"}[call])}
			if cut < whole {
				want = Reply{Err: ErrClosed}
			}
			if string(got.Body) != string(want.Body) || !reflect.DeepEqual(got.Err, want.Err) {
				t.Errorf("cut at %d, call %d: %+v, want %+v", cut, call+1, got, want)
			}
		}
	}
}

// A reply to a call on an old link ends no call on a newer link, even if both calls have the same number.
func TestReplyOnOldLinkEndsNoCallOnNewLink(t *testing.T) {
	for _, tr := range transports {
		t.Run(tr.name, func(t *testing.T) {
			a, _, _, bSide := startPair(t, tr, noProbes)
			old := a.Go(1, []byte("old"))
			oldCall := get(t, bSide.messages, "the old call")
			a.Close()
			if r := get(t, old, "the end of the old call"); !errors.Is(r.Err, ErrClosed) {
				t.Errorf("%+v", r)
			}
			for _, tr := range transports {
				t.Run(tr.name, func(t *testing.T) {
					newer, _, _, newerSide := startPair(t, tr, noProbes)
					now := newer.Go(1, []byte("new"))
					next := get(t, newerSide.messages, "the new call")
					if next.call != oldCall.call {
						t.Fatalf("numbers %d and %d", oldCall.call, next.call)
					}
					oldCall.Reply([]byte("to the old call"))
					next.Reply([]byte("to the new call"))
					if r := get(t, now, "a reply"); string(r.Body) != "to the new call" || r.Err != nil {
						t.Errorf("%+v", r)
					}
				})
			}
		})
	}
}
