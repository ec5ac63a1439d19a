package link

import (
	"context"
	"net"
	"testing"
)

// benchmarkPair returns one end of a link over loopback; the other end replies to each call with its body.
func benchmarkPair(b *testing.B) *Conn {
	b.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	far := newChannelHandler()
	far.act = func(m *Message) { m.Reply(m.Body) }
	go func() { _ = Serve(l, far, DefaultOptions) }()
	c, err := Dial(context.Background(), l.Addr().String(), newChannelHandler(), DefaultOptions)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close(); _ = l.Close() })
	return c
}

// BenchmarkCall measures a call and its reply, both ends together.
func BenchmarkCall(b *testing.B) {
	c := benchmarkPair(b)
	body := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(context.Background(), 7, body); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallsInFlight measures a call while 64 are in flight.
func BenchmarkCallsInFlight(b *testing.B) {
	c := benchmarkPair(b)
	body := make([]byte, 256)
	b.ReportAllocs()
	pending := make(chan (<-chan Reply), 64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for reply := range pending {
			if r := <-reply; r.Err != nil {
				b.Error(r.Err)
			}
		}
	}()
	for b.Loop() {
		pending <- c.Go(7, body)
	}
	close(pending)
	<-done
}
