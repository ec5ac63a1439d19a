package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// BenchmarkAcquireBySize measures the admission and placement of a request by the number of endpoints of its service.
func BenchmarkAcquireBySize(b *testing.B) {
	for _, n := range []int{27, 100, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New(Options{Zone: "a"})
			defer d.Close()
			var eps []*snapshot.Endpoint
			for i := range n {
				eps = append(eps, &snapshot.Endpoint{ID: fmt.Sprintf("e%03d", i), Zone: string(rune('a' + i%10)), Capacity: 24})
			}
			d.Update(snapshotOf(400, eps...))
			r := request(time.Now().Add(time.Hour))
			r.Prefix = []PromptPart{{1, 10000}, {2, 3300}, {3, 3720}}
			b.ReportAllocs()
			for b.Loop() {
				r.Prefix[2].ID++
				g, err := d.Acquire(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				g.FirstToken(Load{Running: 1, Slots: 24, Known: true})
				g.End(Served, Load{})
			}
		})
	}
}
