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
	// maxUnprepared bounds the requests that wait for a process that has just started; further ones
	// are refused at once. A proxy serves some tens of requests a second, and each that waits costs
	// a goroutine and its body.
	maxUnprepared = 512
	// unpreparedFraction is the part of its time, one in so many, that a request waits at most:
	// whoever is refused then has as much left.
	unpreparedFraction = 2
	// maxUnpreparedWait is the longest wait of a request that does not state its time, or a long one.
	maxUnpreparedWait = 2 * time.Second
)

// Requests that came before the process could serve, by what became of them.
var (
	servedAfterPreparation   = telemetry.Counter("dunetide_proxy_unprepared_requests_total", "end", "prepared")
	refusedBeforePreparation = telemetry.Counter("dunetide_proxy_unprepared_requests_total", "end", "refused")
)

// hasConfig reports whether the process knows a configuration. It need not have the whole list of
// endpoints, which is known a second or two later: those that have registered serve meanwhile, and
// admission queues what none of them has capacity for.
func hasConfig(s *snapshot.Snapshot) bool { return s != nil && s.Config != nil }

// awaitConfig holds a request that reached a process which has just started until the process knows
// a configuration. After a loss of power of all machines every proxy is in that state for about a
// second, and a client that is refused there has soon used up its attempts. The request's body is
// read meanwhile: a client takes a request that nobody reads for lost, and a disconnection is
// noticed only behind the body. It returns 0, or the status to refuse the request with.
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
			w.Header().Set("Connection", "close") // the rest of the body can't be told from another request
			return status
		}
		defer p.options.BodyBudget.Release(len(body)) // whoever reads it again reserves it anew
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	ctx, cancel := context.WithDeadline(r.Context(), until)
	defer cancel()
	if p.options.Snapshots.Await(ctx, hasConfig) != nil {
		return http.StatusServiceUnavailable
	}
	return 0
}

// unpreparedWait returns how long a request may wait, by the time in ms that its client says to
// have left.
func unpreparedWait(timeLeft string) time.Duration {
	ms, err := strconv.ParseInt(timeLeft, 10, 64)
	if err != nil || ms < 0 {
		return maxUnpreparedWait
	}
	return min(time.Duration(ms)*time.Millisecond/unpreparedFraction, maxUnpreparedWait)
}
