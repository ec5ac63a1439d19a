package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/deliverynode/journal"
)

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Requests to the agent may hang. A notice arrives in time even if three tries hang.
func TestNoticeArrivesInTimeAfterHungTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, _ := mustOpen(t, t.TempDir(), journal.MinDisk)
		f := newCompletionReports(newAgent("127.0.0.1:1"), quietLog())
		ctx, cancel := context.WithCancel(t.Context())
		start, tries := time.Now(), 0
		f.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
			if tries++; tries <= 3 {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			cancel()
			return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
		})
		m := newMessage("a", 1)
		must(t, j.Accept(m))
		m.Notice = journal.NewNotice(m.ID, false, 0)
		f.add(m)
		f.run(ctx)
		if took := time.Since(start); tries != 4 || took > 300*time.Millisecond {
			t.Errorf("%d tries in %v, want the fourth within 300 ms", tries, took)
		}
	})
}
