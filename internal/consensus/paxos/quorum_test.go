package paxos

import (
	"math/bits"
	"testing"
)

// TestQuorumsIntersect enumerates all sets of voters: any two quorums have a voter in common; and with at least 2f+1
// voters, after the loss of f disks any quorum of the remaining voters includes a voter of the quorum that wrote.
func TestQuorumsIntersect(t *testing.T) {
	majority := func(n int) int {
		r := Register{state: State{Voters: make([]Voter, n)}}
		return r.quorum()
	}
	for _, c := range []struct{ n, f int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 1}, {8, 2}} {
		q := majority(c.n)
		for wrote := range 1 << c.n {
			if bits.OnesCount(uint(wrote)) != q {
				continue
			}
			for read := range 1 << c.n {
				if bits.OnesCount(uint(read)) == q && wrote&read == 0 {
					t.Fatalf("%d voters: quorums %b and %b do not intersect", c.n, wrote, read)
				}
			}
			for lost := range 1 << c.n {
				if bits.OnesCount(uint(lost)) != c.f {
					continue
				}
				left := (1<<c.n - 1) &^ lost
				if bits.OnesCount(uint(left)) < q || wrote&left == 0 {
					t.Fatalf("%d voters: %b wrote, only %b are left", c.n, wrote, left)
				}
				for read := range 1 << c.n {
					if read&^left == 0 && bits.OnesCount(uint(read)) == q && read&wrote&left == 0 {
						t.Fatalf("%d voters: %b wrote, %b are lost, quorum %b misses the write", c.n, wrote, lost, read)
					}
				}
			}
		}
	}
	// With one voter fewer than 2f+1, no majority is left.
	for f := 1; f <= 3; f++ {
		if n := 2 * f; n-f >= majority(n) {
			t.Fatal(n, f)
		}
	}
}
