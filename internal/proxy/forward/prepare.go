package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/clientbody"
	"dunetide/internal/platform/telemetry"
)

const (
	// maxUnprepared limits the requests that wait in a process that has just started; further ones
	// are refused at once. A proxy serves some tens of requests a second, and each waiting request
	// costs a goroutine and its body.
	maxUnprepared = 512
	// unpreparedFraction divides a request's time left into its longest wait: with 2, a client that is
	// refused after the wait still has half of its time for a retry.
	unpreparedFraction = 2
	// maxUnpreparedWait is the longest wait of any request, also of one that states no time left.
	maxUnpreparedWait = 2 * time.Second
)

// Requests that arrived before the process could serve, by whether they were served or refused.
var (
	servedAfterPreparation   = telemetry.Counter("dunetide_proxy_unprepared_requests_total", "end", "prepared")
	refusedBeforePreparation = telemetry.Counter("dunetide_proxy_unprepared_requests_total", "end", "refused")
)

// hasConfig reports whether the process has a configuration. It does not require the complete list of
// endpoints, which arrives a second or two later: registered endpoints serve meanwhile, and admission
// queues requests for which none of them has capacity.
func hasConfig(s *snapshot.Snapshot) bool { return s != nil && s.Config != nil }

// awaitConfig holds a request until the process, which has just started, has a configuration. After
// a power loss of all machines every proxy is in that state for about a second, and clients that are
// refused there would soon use up their attempts. The request's body is read meanwhile: a client
// considers a request lost if its body is not read, and net/http detects a disconnection only after
// the body. It returns 0, or the status to refuse the request with.
func (p *Proxy) awaitConfig(w http.ResponseWriter, r *http.Request) (status int) {
	if p.unprepared.Add(1) > maxUnprepared {
		p.unprepared.Add(-1)
		return http.StatusServiceUnavailable
	}
	defer p.unprepared.Add(-1)
	until := time.Now().Add(unpreparedWait(r.Header.Get(headerTimeLeft)))
	if r.ContentLength != 0 {
		var body []byte
		limits := clientbody.Limits{Deadline: until, Budget: p.options.BodyBudget}
		if status := clientbody.Read(http.NewResponseController(w), r, limits, &body); status != 0 {
			w.Header().Set("Connection", "close") // the rest of the body would be read as the next request
			return status
		}
		defer p.options.BodyBudget.Release(len(body)) // the next reader of the body reserves it again
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	if p.options.Snapshots.Await(ctx, hasConfig) != nil {
		return http.StatusServiceUnavailable
	}
	return 0
}

// unpreparedWait returns how long a request may wait, given the time left in ms that its client
// states.
func unpreparedWait(timeLeft string) time.Duration {
	ms, err := strconv.ParseInt(timeLeft, 10, 64)
	if err != nil || ms < 0 {
		return maxUnpreparedWait
	}
	return min(time.Duration(ms)*time.Millisecond/unpreparedFraction, maxUnpreparedWait)
}
