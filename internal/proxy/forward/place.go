package forward

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// describe fills in the request for package dispatch from the route and the header fields.
func (x *exchange) describe(route *operatorconfig.Route, get func(string) string) {
	x.request.ID, x.request.Route = get(headerID), route
	x.request.Model = get(headerModel)
	if in, out, ok := strings.Cut(get(headerTokens), ","); ok {
		x.request.TokensIn, x.request.TokensOut = parseCount(in), parseCount(out)
	}
	x.request.Prefix = parsePrefix(get(headerPrefix))
	x.request.Service = x.proxy.chooseService(route, x.request.ID)
	if x.proxy.options.Certificates.Current() != nil {
		x.requireCertificate()
	}
}

// parsePrefix parses the parts of a prompt, "id:tokens,id:tokens". An id that is not hexadecimal is
// hashed.
func parsePrefix(value string) []dispatch.PromptPart {
	if value == "" {
		return nil
	}
	parts := make([]dispatch.PromptPart, 0, strings.Count(value, ",")+1)
	for part := range strings.SplitSeq(value, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			n = snapshot.Hash(id)
		}
		parts = append(parts, dispatch.PromptPart{ID: n, Tokens: parseCount(tokens)})
	}
	return parts
}

// parseCount parses a non-negative number; it returns 0 if s is none.
func parseCount(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// chooseService chooses a service at random by the weights of a route, always the same one for the
// same id.
func (p *Proxy) chooseService(route *operatorconfig.Route, id string) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	at := p.options.Rand()
	if id != "" {
		at = float64(snapshot.Hash(id)>>11) / (1 << 53)
	}
	sum := 0.0
	for _, s := range route.Shares {
		sum += max(0, s.Weight)
	}
	at *= sum
	chosen := ""
	for _, s := range route.Shares {
		if s.Weight <= 0 {
			continue
		}
		chosen = s.Service
		if at -= s.Weight; at < 0 {
			break
		}
	}
	return chosen
}

// acquire acquires an endpoint from admission. If none is granted, it returns the event and false.
func (x *exchange) acquire() (attempt.Event, bool) {
	if x.timeLeft() <= 0 {
		return attempt.DeadlineExceeded, false
	}
	since := time.Time{}
	if x.request.Regime != "" && x.request.Bulk {
		since = x.now()
	}
	grant, err := x.proxy.options.Admission.Acquire(x.ctx, &x.request)
	if !since.IsZero() {
		x.countWait(since, err == nil)
	}
	if err == nil {
		x.grant = grant
		return 0, true
	}
	if x.ctx.Err() != nil {
		return attempt.ClientCanceled, false
	}
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		x.retryAfter = refused.RetryAfter
		if refused.Regime != "" {
			x.countRefusal(refused.Regime, refused.Reason)
		}
	}
	x.err = err
	if x.timeLeft() <= minTimeLeft {
		return attempt.DeadlineExceeded, false
	}
	return attempt.NotAdmitted, false
}
