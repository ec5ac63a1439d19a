package resend

import (
	"sync"
	"testing"

	"dunetide/internal/platform/link/linktest"
)

// The directions of a keeper's traffic, for breakAfter.
const (
	bytesFrom = "from"
	bytesTo   = "to"
)

// relays forwards the links of keepers, and can break one after a number of bytes.
type relays struct {
	*linktest.Relays

	mu          sync.Mutex
	counted     int            // the process whose traffic is counted
	left        map[string]int // bytes that may still pass, by side; absent: unlimited
	brokenCount int            // links that were broken
}

func newRelays(t *testing.T) *relays {
	t.Helper()
	r := &relays{left: map[string]int{}}
	r.Relays = linktest.New(t, r.pass)
	return r
}

// breakAfter breaks the next link that carries a process's traffic, from it or to it, after so many bytes.
func (r *relays) breakAfter(keeper int, side string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counted, r.left = keeper, map[string]int{side: bytes}
}

// brokenLinks returns how many links have been broken.
func (r *relays) brokenLinks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.brokenCount
}

// address returns the relay address at which one process dials another.
func (r *relays) address(from, to int, target string) string {
	return r.Address(linktest.Direction{From: from, To: to}, target)
}

// pass is a linktest.Gate: it forwards bytes until a link is to be broken.
func (r *relays) pass(direction linktest.Direction, n int) (passed int, keep bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	side := ""
	switch r.counted {
	case direction.From:
		side = bytesFrom
	case direction.To:
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
