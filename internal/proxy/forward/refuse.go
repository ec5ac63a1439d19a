package forward

import (
	"net/http"
	"strconv"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/proxy/identity"
)

// defaultRetryAfter is the Retry-After if no better estimate is known.
const defaultRetryAfter = 100 * time.Millisecond

// refuse answers a request that is sent to no endpoint with a status; route is nil if none matched.
func (p *Proxy) refuse(
	w http.ResponseWriter, r *http.Request,
	status int, retryAfter time.Duration, route *operatorconfig.Route,
) {
	p.logOwnAnswer(r, status, route)
	p.answerStatus(w, r, status, retryAfter)
}

// refuseUnidentified answers 401 to a request or call without a valid key; route is nil if only a job is known.
func (p *Proxy) refuseUnidentified(
	w http.ResponseWriter, r *http.Request,
	route *operatorconfig.Route, asker identity.Identity,
) {
	unidentifiedRequests[asker.Outcome].Inc()
	w.Header().Set("WWW-Authenticate", identity.Challenge)
	p.refuse(w, r, http.StatusUnauthorized, 0, route)
}

// answerStatus answers a client with a status of the proxy's own, without a body. A 429 or 503 has a
// Retry-After header.
func (p *Proxy) answerStatus(w http.ResponseWriter, r *http.Request, status int, retryAfter time.Duration) {
	h := w.Header()
	p.closeWhenDraining(h)
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	if id := r.Header.Get(headerID); id != "" {
		h[headerID] = []string{id}
	}
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
}

// retryAfterHint returns the Retry-After of a refusal: at most a third of the client's time left.
func (x *exchange) retryAfterHint() time.Duration {
	d := x.retryAfter
	if d <= 0 {
		d = defaultRetryAfter
	}
	return max(time.Millisecond, min(d, x.timeLeft()/3))
}

// closeWhenDraining has the connection closed after the answer while the process drains, so that the
// client connects to another machine.
func (p *Proxy) closeWhenDraining(h http.Header) {
	if p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
}
