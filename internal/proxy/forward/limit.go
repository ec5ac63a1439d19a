package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/quota"
)

const (
	// permitWaitPercent is the part of a client's time left for which its request waits for a permit at most: one that
	// is refused then can still be retried.
	permitWaitPercent = 40
	// maxPermitWait is the longest wait for a permit, also of clients that have more time.
	maxPermitWait = 2 * time.Second
)

// setTenant sets the tenant on whose behalf the request is sent; nil: there is none.
func (x *exchange) setTenant(tenant *operatorconfig.Tenant) {
	if tenant == nil {
		return
	}
	x.tenant = tenant.Name
	x.request.TenantPriority = tenant.Priority
}

// acquirePermit obtains a permit for a request of a tenant whose rate is limited; nil: the request has no tenant. The
// limit is that of the given version of the configuration. Errors are those of quota.Limiter.
func (x *exchange) acquirePermit(tenant *operatorconfig.Tenant, configVersion uint64) error {
	limiter := x.proxy.options.RateLimiter
	if limiter == nil || tenant == nil || !tenant.Limited() {
		return nil
	}
	wait := min(x.timeLeft()*permitWaitPercent/100, maxPermitWait)
	if wait <= 0 {
		return context.DeadlineExceeded
	}
	ctx, cancel := context.WithTimeout(x.ctx, wait)
	defer cancel()
	permit, err := limiter.Admit(ctx, tenant, configVersion)
	if err != nil {
		return err
	}
	x.permit = permit
	x.request.Arrived = x.proxy.options.Now() // the wait for the permit is none for an endpoint
	return nil
}

// refundPermit returns the request's token if the request ends with a verdict after which no endpoint has run it or
// will run it. It is not deferred: a handler that panics keeps its token, as then nothing is certain.
func (x *exchange) refundPermit(v attempt.Verdict) {
	unserved := v == attempt.ServiceUnavailable || v == attempt.Abort && !x.headSent
	if x.permit == nil || x.mayHaveRun || !unserved {
		return
	}
	x.permit.Refund()
	x.permit = nil
}

// refuseUncounted answers a request that obtained no permit: 429 if its tenant is over the limit, 503 if its requests
// can't be counted now. Nothing has been sent to an endpoint yet.
func (p *Proxy) refuseUncounted(x *exchange, w http.ResponseWriter, r *http.Request, err error) {
	if x.ctx.Err() != nil {
		x.err = err
		verdict := x.nextVerdict(attempt.ClientCanceled)
		x.recordVerdict(verdict, attempt.ClientCanceled)
		p.answerVerdict(x, w, r, verdict, attempt.ClientCanceled)
		return
	}
	x.checkRefusal()
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		overLimitRequests.Inc()
		p.refuse(w, r, http.StatusTooManyRequests, roundUp(exceeded.RetryAfter), x.request.Route)
		return
	}
	var unavailable *quota.UnavailableError
	if errors.As(err, &unavailable) {
		x.retryAfter = unavailable.RetryAfter
	}
	uncountableRequests.Inc()
	p.refuse(w, r, http.StatusServiceUnavailable, x.retryAfterHint(), x.request.Route)
}

// roundUp rounds a Retry-After up to the milliseconds in which it is written, so that a client never returns before
// the limit allows its request; at least 1 ms, as it would not be written otherwise.
func roundUp(d time.Duration) time.Duration {
	return max(time.Millisecond, (d + time.Millisecond - 1).Truncate(time.Millisecond))
}
