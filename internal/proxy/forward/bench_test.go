package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// BenchmarkPlain sends one request after another over one connection, through the proxy to an endpoint.
func BenchmarkPlain(b *testing.B) {
	e := newEndpoint(b, "e1", answers(sealed, "the body"))
	benchmark(b, newRig(b, route(operatorconfig.ReadOnly, 2), e))
}

// BenchmarkStream forwards streams of ten events, written one by one.
func BenchmarkStream(b *testing.B) {
	e := newEndpoint(b, "e1", func(c net.Conn, r call) bool {
		_, _ = io.WriteString(c, streamHead(r.Header.Get(headerID)))
		for n := range 10 {
			_, _ = io.WriteString(c, chunked(oneEvent(n+1)))
		}
		_, err := io.WriteString(c, chunked(""))
		return err == nil
	})
	benchmark(b, newRig(b, route(operatorconfig.Streaming, 2), e))
}

func benchmark(b *testing.B, g *rig) {
	b.Helper()
	c := g.dial()
	b.ReportAllocs()
	for b.Loop() {
		if err := c.send(plainCall+"|X-Dunetide-Time-Left-Ms: 4000", "body"); err != nil {
			b.Fatal(err)
		}
		if a, err := c.receive(); err != nil || a.status != http.StatusOK || a.err != nil {
			b.Fatal(a, err)
		}
	}
}
