package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkHandIn hands messages in to a real node, by one client and by several. It
// reports the time to the 202, and the share that was taken on.
func BenchmarkHandIn(b *testing.B) {
	for _, clients := range []int{1, 16} {
		for _, flags := range [][]string{nil, {"-sync"}} {
			b.Run(fmt.Sprintf("clients=%d/flags=%v", clients, flags), func(b *testing.B) {
				p := newPlatform(b)
				p.settings, p.flags = chargeSettings, flags
				p.answer = func(string) int { return http.StatusOK }
				p.start()
				took := make([][]time.Duration, clients)
				var running sync.WaitGroup
				for c := range clients {
					running.Go(func() {
						for i := c; i < b.N; i += clients {
							began := time.Now()
							if p.handIn([]string{"charge", "status"}[i%2], fmt.Sprint("m", i)) == http.StatusAccepted {
								took[c] = append(took[c], time.Since(began))
							}
						}
					})
				}
				running.Wait()
				all := slices.Concat(took...)
				if len(all) == 0 {
					b.Fatal("nothing was taken on")
				}
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)/2].Microseconds()), "µs-median")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "µs-p99")
				b.ReportMetric(float64(len(all))/float64(b.N), "taken")
			})
		}
	}
}
