package resend

import (
	"sync"
	"testing"

	"dunetide/internal/platform/link/linktest"
)

// The sides of a keeper, for breakAfter.
const (
	bytesFrom = "from"
	bytesTo   = "to"
)

// relays stand between keepers. They pass all bytes on, until they are told to break a link.
type relays struct {
	*linktest.Relays

	mu          sync.Mutex
	counted     int            // the keeper whose bytes, and those to whom, are counted
	left        map[string]int // bytes that may still pass, by side; missing: any number
	brokenCount int            // links that broke at a byte
}

func newRelays(t *testing.T) *relays {
	t.Helper()
	r := &relays{left: map[string]int{}}
	r.Relays = linktest.New(t, r.pass)
	return r
}

// breakAfter breaks the next link that carries a keeper's bytes, from it or to it, behind so many of them.
func (r *relays) breakAfter(keeper int, side string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counted, r.left = keeper, map[string]int{side: bytes}
}

// brokenLinks returns how many links broke at a byte, until now.
func (r *relays) brokenLinks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.brokenCount
}

// address returns where a keeper dials another one.
func (r *relays) address(from, to int, target string) string {
	return r.Address(linktest.Direction{From: from, To: to}, target)
}

// pass is a linktest.Gate: it passes bytes until a link is to break.
func (r *relays) pass(way linktest.Direction, n int) (passed int, keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	side := ""
	switch r.counted {
	case way.From:
		side = bytesFrom
	case way.To:
		side = bytesTo
	}
	left, limited := r.left[side]
	if !limited {
		return n, true
	}
	if left >= n {
		r.left[side] = left - n
		return n, true
	}
	delete(r.left, side)
	r.brokenCount++
	return left, false
}
