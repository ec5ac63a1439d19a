package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"dunetide/internal/control/operatorconfig"
)

// A request runs at no more endpoints than its route's attempts, whatever they answer. Endpoints that reject it or accept no
// connection don't count.
func TestAttemptsBoundTheEndpointsThatRunARequest(t *testing.T) {
	for name, answer := range map[string]func(id string, after int) string{
		"closed":         func(string, int) string { return "" },
		"500":            failureAnswer.of,
		"false refusal":  func(id string, _ int) string { return answerOf(id, "503 X", "") },
		"no seal":        func(id string, _ int) string { return answerOf(id, "200 OK", "x") },
		"body truncated": func(id string, _ int) string { return strings.TrimSuffix(answerOf(id, sealed, "body"), "y") },
		"stream truncated": func(id string, after int) string {
			return streamHead(id) + chunked(eventOf(id, after+1))
		},
	} {
		for attempts := 1; attempts <= 3; attempts++ {
			t.Run(fmt.Sprintf("%s/%d", name, attempts), func(t *testing.T) {
				endpoints := []*endpoint{
					newEndpoint(t, "rejects", answers("503 X|X-Dunetide-Not-Run: full", "")),
					{id: "dark", addr: "127.0.0.1:1"},
				}
				for n := range 5 {
					endpoints = append(endpoints, newEndpoint(t, fmt.Sprint("e", n), func(c net.Conn, r call) bool {
						_, _ = io.WriteString(c, answer(r.Header.Get(headerID), parseCount(r.Header.Get(headerLastEvent))))
						return false
					}))
				}
				r := route(operatorconfig.Streaming, attempts)
				r.Resumable = true
				g := newRig(t, r, endpoints...)
				a := g.do(plainCall, "body")
				if a.status == 200 && a.err == nil {
					t.Errorf("%+v looks complete", a)
				}
				ran := 0
				for _, e := range endpoints[2:] {
					ran += len(e.got())
				}
				if ran != attempts {
					t.Errorf("it ran at %d endpoints, want %d: %+v", ran, attempts, a)
				}
			})
		}
	}
}
