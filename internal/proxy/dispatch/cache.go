package dispatch

import (
	"container/list"
	"math"
	"time"
)

// chain is the hash of a part of a prompt with all the parts before it: a part is only of use with them.
type chain uint64

func chainOf(model string, parts []Part) []chain {
	out := make([]chain, len(parts))
	h := mix(0, 0)
	for i := 0; i < len(model); i++ {
		h = mix(h, uint64(model[i]))
	}
	for i, p := range parts {
		h = mix(h, p.ID)
		out[i] = chain(h)
	}
	return out
}

func mix(h, v uint64) uint64 {
	h ^= v + 0x9e3779b97f4a7c15 + h<<6 + h>>2
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// prefixCache models which parts an endpoint keeps, by what was sent there: the least recently used give way.
type prefixCache struct {
	parts  map[chain]*list.Element
	recent *list.List // of *kept, the latest first
	tokens int64      // weighed
	now    Time       // of the newest entry
	flow   rate       // tokens that this sender brings there
}

// flowOver is the time over which the flow into an endpoint's memory is measured.
const flowOver = 5 * time.Second

// rate is an average that fades, of amounts a second.
type rate struct {
	v  float64
	at Time
}

func (r *rate) now(now Time) float64 {
	return r.v * math.Exp(-float64(now-r.at)/float64(flowOver))
}

func (r *rate) add(now Time, amount float64) {
	r.v, r.at = r.now(now)+amount/flowOver.Seconds(), now
}

// lifetime is how long what nobody asks for again is believed to stay in a memory of so many tokens.
func (c *prefixCache) lifetime(now Time, senders int, most int64) time.Duration {
	flow := c.flow.now(now) * float64(max(senders, 1))
	if most <= 0 || flow < float64(most)/longestLife.Seconds() {
		return longestLife
	}
	return time.Duration(float64(most) / flow * float64(time.Second))
}

// longestLife bounds the belief that something is still kept.
const longestLife = 2 * time.Minute

// fresh is how many of the parts, from the first on, were sent there within a lifetime.
func (c *prefixCache) fresh(chains []chain, now Time, lifetime time.Duration) int {
	for i, h := range chains {
		if e := c.parts[h]; e == nil || now-e.Value.(*kept).at > lifetime {
			return i
		}
	}
	return len(chains)
}

type kept struct {
	chain  chain
	weight int64
	at     Time // when it was last sent
}

// sent notes that the parts were read there. The last is some request's own: all the senders bring such.
func (c *prefixCache) sent(chains []chain, parts []Part, senders int, most int64, mostParts int) {
	if c.parts == nil {
		c.parts, c.recent = map[chain]*list.Element{}, list.New()
	}
	for i := len(chains) - 1; i >= 0; i-- { // so that what others begin with goes last
		if e := c.parts[chains[i]]; e != nil {
			e.Value.(*kept).at = c.now
			c.recent.MoveToFront(e)
			continue
		}
		w := int64(max(parts[i].Tokens, 1))
		if i == len(chains)-1 {
			w *= int64(senders)
		}
		c.parts[chains[i]] = c.recent.PushFront(&kept{chains[i], w, c.now})
		c.tokens += w
	}
	for c.recent.Len() > mostParts || most > 0 && c.tokens > most && c.recent.Len() > len(chains) {
		e := c.recent.Back()
		k := c.recent.Remove(e).(*kept)
		delete(c.parts, k.chain)
		c.tokens -= k.weight
	}
}
