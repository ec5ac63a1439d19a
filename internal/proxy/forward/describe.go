package forward

import (
	"strconv"
	"strings"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/dispatch"
)

// describe fills in what dispatch has to know.
func (x *exchange) describe(route *operatorconfig.Route, get func(string) string) {
	x.req.ID, x.req.Route = get(headerID), route
	x.req.Model = get(headerModel)
	if in, out, ok := strings.Cut(get(headerTokens), ","); ok {
		x.req.TokensIn, x.req.TokensOut = atoi(in), atoi(out)
	}
	if parts := get(headerPrefix); parts != "" {
		x.req.Prefix = make([]dispatch.Part, 0, strings.Count(parts, ",")+1)
		for part := range strings.SplitSeq(parts, ",") {
			id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
			n, err := strconv.ParseUint(id, 16, 64)
			if err != nil {
				n = snapshot.Hash(id)
			}
			x.req.Prefix = append(x.req.Prefix, dispatch.Part{ID: n, Tokens: atoi(tokens)})
		}
	}
	x.req.Service = x.p.draw(route, x.req.ID)
	if x.p.o.Certified.Current() != nil {
		x.demand()
	}
}

// atoi reads a number that is not negative; 0 if it is none.
func atoi(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// draw draws a service by the weights, the same one for the same id.
func (p *Proxy) draw(route *operatorconfig.Route, id string) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	at := p.o.Rand()
	if id != "" {
		at = float64(snapshot.Hash(id)>>11) / (1 << 53)
	}
	sum := 0.0
	for _, s := range route.Shares {
		sum += max(0, s.Weight)
	}
	at *= sum
	drawn := ""
	for _, s := range route.Shares {
		if s.Weight <= 0 {
			continue
		}
		drawn = s.Service
		if at -= s.Weight; at < 0 {
			break
		}
	}
	return drawn
}
