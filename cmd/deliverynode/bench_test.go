package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// BenchmarkSubmit submits messages to a real node, from one client and from several. It reports the latency of the 202 and
// the share of messages that were accepted.
func BenchmarkSubmit(b *testing.B) {
	for _, clients := range []int{1, 16} {
		for _, flags := range [][]string{nil, {"-sync"}} {
			b.Run(fmt.Sprintf("clients=%d/flags=%v", clients, flags), func(b *testing.B) {
				p := newPlatform(b)
				p.settings, p.flags = chargeSettings, flags
				p.answer = func(string) int { return http.StatusOK }
				p.start()
				p.measure(b, clients, []string{"charge", "status"})
			})
		}
	}
}

// BenchmarkCopies is the same benchmark on a node of a fleet, through relays, with replication off and on.
func BenchmarkCopies(b *testing.B) {
	for _, clients := range []int{1, 16} {
		for _, c := range []struct {
			copies int
			mode   string
			sync   bool
		}{{0, "", false}, {1, fleet.CopyAfter, false}, {1, fleet.CopyBefore, false}, {2, fleet.CopyBefore, false}, {0, "", true}, {1, fleet.CopyBefore, true}} {
			b.Run(fmt.Sprintf("clients=%d/copies=%d/mode=%s/sync=%v", clients, c.copies, c.mode, c.sync), func(b *testing.B) {
				r := newCopies(b, 4, c.copies, fleet.Copies{Mode: c.mode, LeaseS: 2})
				for _, n := range r.nodes {
					if c.sync {
						n.flags = append(n.flags, "-sync")
					}
				}
				r.launchAll()
				r.awaitVoters(0, "n0", "n1", "n2")
				if c.copies > 0 {
					r.awaitCopied(3, c.copies)
				}
				b.ResetTimer()
				r.nodes[3].measure(b, clients, []string{"charge", "meter-message"})
			})
		}
	}
}

// measure submits messages, and reports the latency of the 202 and the share of messages that were accepted.
func (p *platform) measure(b *testing.B, clients int, classes []string) {
	b.Helper()
	took := make([][]time.Duration, clients)
	var running sync.WaitGroup
	for c := range clients {
		running.Go(func() {
			for i := c; i < b.N; i += clients {
				began := time.Now()
				if p.submit(classes[i%2], fmt.Sprint("m", i)) == http.StatusAccepted {
					took[c] = append(took[c], time.Since(began))
				}
			}
		})
	}
	running.Wait()
	all := slices.Concat(took...)
	if len(all) == 0 {
		b.Fatal("no message was accepted")
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "µs-median")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "µs-p99")
	b.ReportMetric(float64(len(all))/float64(b.N), "taken")
}
