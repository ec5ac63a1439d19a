package journal

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
)

// BenchmarkAccept accepts and closes messages, by one caller and by many. It reports the latency of Accept and the syncs per
// message.
func BenchmarkAccept(b *testing.B) {
	for _, callers := range []int{1, 64} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("callers=%d/sync=%v", callers, on), func(b *testing.B) {
				j, _, err := Open(Options{Folder: vfs.Dir(b.TempDir()), Limit: 3e6, Sync: on})
				if err != nil {
					b.Fatal(err)
				}
				before := j.Status().Syncs
				took := make([][]time.Duration, callers)
				var running sync.WaitGroup
				for c := range callers {
					running.Go(func() {
						for i := c; i < b.N; i += callers {
							m := &Message{ID: fmt.Sprint(i), Deadline: time.Now(), Body: make([]byte, 200)}
							began := time.Now()
							if err := j.Accept(m); err != nil {
								b.Error(err)
								return
							}
							took[c] = append(took[c], time.Since(began))
							if err := j.Closed(m, "", time.Now()); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				running.Wait()
				all := slices.Concat(took...)
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)/2].Microseconds()), "µs-median")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "µs-p99")
				b.ReportMetric(float64(j.Status().Syncs-before)/float64(b.N), "syncs/msg")
				if err := j.Close(); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}

// BenchmarkStart replays folders with few live messages, by the amount that was written, and one that is full of live
// messages.
func BenchmarkStart(b *testing.B) {
	const limit = 3e6
	build := func(b *testing.B, on bool, written int64, live int) *disk {
		b.Helper()
		d := newDisk()
		j, _, err := Open(Options{Folder: d, Limit: limit, Sync: on})
		if err != nil {
			b.Fatal(err)
		}
		var open []*Message
		for n := int64(0); n < written; n += 1200 {
			m := &Message{ID: fmt.Sprint(n), Deadline: time.Now(), Body: bytes.Repeat([]byte{7}, 1000)}
			if err := j.Accept(m); err != nil {
				break // the journal is full
			}
			if open = append(open, m); len(open) > live {
				if err := j.Closed(open[0], "", time.Now()); err != nil {
					b.Fatal(err)
				}
				open = open[1:]
			}
		}
		return d
	}
	for _, c := range []struct {
		name    string
		written int64
		live    int
	}{{"0.5MB", 5e5, 20}, {"1MB", 1e6, 20}, {"2MB", 2e6, 20}, {"20MB", 2e7, 20}, {"full", 2e7, 1e6}} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/checkpoints=%v", c.name, on), func(b *testing.B) {
				d := build(b, on, c.written, c.live)
				b.ReportAllocs()
				var r Report
				for b.Loop() {
					j, err := Replay(Options{Folder: d, Limit: limit})
					if err != nil {
						b.Fatal(err)
					}
					r = j.recovery.report
				}
				b.ReportMetric(float64(r.Bytes), "read")
				b.ReportMetric(float64(r.Owed), "owed")
			})
		}
	}
}
