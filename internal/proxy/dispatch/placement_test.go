package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// offerToLimited submits 30 requests a second to an endpoint that accepts perSecond of them a second and rejects the others.
func (b *harness) offerToLimited(t *testing.T, perSecond int, d time.Duration) (refusals, served int) {
	t.Helper()
	var accepted []time.Duration
	const offeredPerSecond = 30
	gap := time.Second / offeredPerSecond
	for end := b.c.now + d; b.c.now < end; {
		b.submit(&Request{ID: fmt.Sprint(b.seq)})
		for id, r := range b.runs { // also those that were queued
			delete(b.runs, id)
			for len(accepted) > 0 && b.c.now-accepted[0] >= time.Second {
				accepted = accepted[1:]
			}
			if len(accepted) >= perSecond {
				refusals++
				b.c.endRun(r, NotRun, Load{})
			} else {
				accepted = append(accepted, b.c.now)
				served++
				b.c.endRun(r, Served, Load{})
			}
		}
		b.pass(gap)
	}
	return refusals, served
}

func TestRateLimitBindsAfterRefusals(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	refusals, _ := b.offerToLimited(t, 1000, 10*time.Second)
	if refusals != 0 || !math.IsInf(b.firstEndpoint().rateLimit, 1) {
		t.Fatalf("%d refusals and rate limit %v, though the endpoint has no limit", refusals, b.firstEndpoint().rateLimit)
	}
	b.offerToLimited(t, 20, 10*time.Second)
	first, _ := b.offerToLimited(t, 10, 5*time.Second) // the endpoint's limit is halved
	later, served := b.offerToLimited(t, 10, 5*time.Second)
	t.Logf("%d refusals in the short window after the limit was halved, %d in the next, %d served", first, later, served)
	if first > 30 || later > 20 || served < 45 { // the endpoint accepts 50 of 150
		t.Errorf("%d refusals after the limit was halved, then %d, with %d served", first, later, served)
	}
	refusals, served = b.offerToLimited(t, 1000, 3*time.Second) // without a limit of the endpoint, the rate limit is soon lifted
	if refusals > 0 || served < 60 {
		t.Errorf("recovering: %d refusals, %d of 90 served", refusals, served)
	}
	if _, served := b.offerToLimited(t, 1000, 2*time.Second); served < 58 {
		t.Errorf("three seconds later: %d of 60 served", served)
	}
}

func TestRateLimitRecoversAfterOneRefusal(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	b.c.endRun(b.submit(&Request{ID: "1"}).granted, NotRun, Load{})
	if w := b.submit(&Request{ID: "2", Bulk: true}); w.granted != nil {
		t.Error("granted right after the refusal")
	}
	b.pass(2 * time.Second)
	if b.runs["2"] == nil {
		t.Error("not granted two seconds after the refusal")
	}
}

func TestRefusalsOfRunsInFlightReduceTheRateLimitOnce(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	for i := range 8 {
		b.submit(&Request{ID: fmt.Sprint(i)})
	}
	b.pass(10 * time.Millisecond)
	for i := range 8 {
		b.c.endRun(b.runs[fmt.Sprint(i)], NotRun, Load{})
	}
	if s := b.firstEndpoint().rateLimit; s != 8 {
		t.Errorf("rate limit %v, want the count at the first refusal, 8", s)
	}
}

func TestRateLimitFollowsTheNumberOfSenders(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	for i := range 8 {
		b.submit(&Request{ID: fmt.Sprint(i)})
	}
	b.c.endRun(b.runs["0"], NotRun, Load{})
	b.snap.Proxies = 2
	b.c.applySnapshot(b.snap)
	if s := b.firstEndpoint().rateLimit; s != 4 {
		t.Errorf("rate limit %v with two senders, want 4", s)
	}
}

func TestReportedFreeSlotsLiftTheRateLimit(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	b.submit(&Request{ID: "0"})
	b.submit(&Request{ID: "1"})
	b.c.endRun(b.runs["0"], NotRun, Load{})
	b.pass(100 * time.Millisecond)
	b.c.recordFirstToken(b.runs["1"], Load{Running: 1, Slots: 4, Known: true})
	if !math.IsInf(b.firstEndpoint().rateLimit, 1) {
		t.Error("still limited, though three of four slots are free")
	}
}

func prompt(sharedPrefix uint64, own uint64) *Request {
	return &Request{ID: fmt.Sprint(sharedPrefix, "/", own), TokensIn: 17000,
		Prefix: []PromptPart{{sharedPrefix, 13300}, {1<<32 + own, 3700}}}
}

// sharedPrefixes is the number of shared prefixes in the tests of preferred endpoints.
const sharedPrefixes = 60

// placements submits one request for each shared prefix and returns the endpoints that were granted.
func (b *harness) placements(round uint64) map[int]string {
	out := map[int]string{}
	for i := range sharedPrefixes {
		w := b.submit(prompt(uint64(i+1), round<<16+uint64(i)))
		out[i] = w.granted.target.ID
		b.pass(5*time.Millisecond + time.Duration(w.granted.prefillTokens/130*float64(time.Millisecond)))
		b.c.recordFirstToken(w.granted, Load{})
		b.c.endRun(w.granted, Served, Load{})
	}
	return out
}

func moved(a, b map[int]string) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

func TestPreferredEndpointsAreStableAndTheSameForAllSenders(t *testing.T) {
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("e", i))
	}
	b, other := newHarness(Settings{}), newHarness(Settings{})
	other.c.zone = "b"
	other.c.random = rand.New(rand.NewPCG(7, 8)).Float64
	b.addEndpoints(ids...)
	other.addEndpoints(ids...)
	before := b.placements(1)
	if n := moved(before, b.placements(2)); n != 0 {
		t.Errorf("%d of %d shared prefixes moved without a change of endpoints", n, sharedPrefixes)
	}
	if n := moved(before, other.placements(3)); n > sharedPrefixes/20 {
		t.Errorf("another sender has other preferred endpoints for %d of %d shared prefixes", n, sharedPrefixes)
	}
	b.snap.Endpoints["s"] = b.snap.Endpoints["s"][1:] // e0 leaves
	b.c.applySnapshot(b.snap)
	now := b.placements(4)
	for i, endpoint := range before {
		if endpoint != "e0" && now[i] != endpoint {
			t.Errorf("shared prefix %d moved from %s to %s, though only e0 left", i, endpoint, now[i])
		}
	}
}

func TestFullPreferredEndpointIsAvoided(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2", "e3")
	requestsAt := map[string]int{}
	for i := range 12 {
		w := b.submit(prompt(1, uint64(i)))
		if w.granted == nil {
			t.Fatalf("request %d was not granted", i)
		}
		requestsAt[w.granted.target.ID]++
		b.pass(time.Millisecond)
	}
	for id, n := range requestsAt {
		if n > 6 {
			t.Errorf("%d of 12 requests were sent to %s", n, id)
		}
	}
	if len(requestsAt) < 3 {
		t.Errorf("only %d endpoints are used", len(requestsAt))
	}
}

func TestPrefixCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	var c prefixCache
	add := func(most int64, parts ...PromptPart) {
		c.recordPrompt(0, hashPrefixes("m", parts), parts, 1, most, 100)
	}
	cached := func(parts ...PromptPart) int { return c.cachedParts(hashPrefixes("m", parts), 0, maxCacheLifetime) }
	a, x, y, z := PromptPart{1, 100}, PromptPart{2, 50}, PromptPart{3, 50}, PromptPart{4, 50}
	add(250, a, x)
	add(250, a, y)
	if cached(a, x) != 2 || cached(a, y) != 2 || cached(a, z) != 1 || cached(x) != 0 {
		t.Error("a part is not cached in combination with the parts before it")
	}
	if c.cachedParts(hashPrefixes("n", []PromptPart{a}), 0, maxCacheLifetime) != 0 {
		t.Error("a part counts as cached for another model")
	}
	add(250, a, z) // exceeds the size: x is the least recently used and is evicted
	add(250, a, PromptPart{5, 50})
	if cached(a, x) != 1 || cached(a, z) != 2 || c.tokens > 250 {
		t.Errorf("x %d, z %d, %d tokens", cached(a, x), cached(a, z), c.tokens)
	}
	for i := range 1000 {
		c.recordPrompt(0, []prefixHash{prefixHash(i)}, []PromptPart{{uint64(i), 1}}, 1, 0, 100)
	}
	if c.byRecency.Len() != 100 || len(c.entries) != 100 {
		t.Errorf("%d parts are recorded, want 100", c.byRecency.Len())
	}
}

func TestFitConvergesToThePrefillSpeed(t *testing.T) {
	l := initialFit()
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		x := float64(rng.IntN(5000))
		l.add(x, 3+x/400+rng.Float64())
	}
	base, slope := l.fit()
	if math.Abs(1/slope-400) > 40 || math.Abs(base-3.5) > 1 {
		t.Errorf("base %.1f, %.0f tokens a ms", base, 1/slope)
	}
}

func TestQueueIsBounded(t *testing.T) {
	b := newHarness(Settings{MaxQueued: 5})
	for i := range 20 {
		b.submit(&Request{ID: fmt.Sprint(i), Bulk: true})
	}
	if b.c.queued != 5 || len(b.c.pool("s").queue) != 5 {
		t.Errorf("%d requests are queued, want 5", b.c.queued)
	}
}

func TestRetryAfterIsWithinBounds(t *testing.T) {
	b := newHarness(Settings{})
	b.snap.Config.Services["s"].MaxConnections = 1
	b.addEndpoints("e1")
	b.submit(&Request{ID: "1"})
	w := b.submit(&Request{ID: "2"})
	b.pass(100 * time.Millisecond)
	if w.refused == nil {
		t.Fatal("not refused after a quarter of its latency target")
	}
	if d := w.refused.RetryAfter; d < 50*time.Millisecond || d > 4*time.Second/3 {
		t.Errorf("retry after %v", d)
	}
	if n := len(b.c.pool("s").queue) + b.c.queued; n != 0 {
		t.Errorf("%d requests are still queued", n)
	}
}

func TestUnlistedEndpointIsRemovedWhenItsRunsEnd(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	w := b.submit(&Request{ID: "1"})
	b.snap = &snapshot.Snapshot{Proxies: 1, Config: b.snap.Config}
	b.c.applySnapshot(b.snap)
	if b.firstEndpoint() == nil {
		t.Error("removed, though a request runs there")
	}
	b.c.endRun(w.granted, Served, Load{})
	if b.firstEndpoint() != nil || len(b.c.pool("s").endpoints) != 0 {
		t.Error("not removed after its last run")
	}
}

// Preferred endpoints are those with the highest scores, in the order of the scores, and do not depend on the order in the snapshot.
func TestPreferredEndpointsAreTheHighestRanked(t *testing.T) {
	for n := range 8 {
		b := newHarness(Settings{})
		for i := range n {
			b.addEndpoints(fmt.Sprint("e", i))
		}
		for subject := range uint64(20) {
			w := &waiter{request: prompt(subject, 1)}
			w.prefixHashes = hashPrefixes("", w.request.Prefix)
			all := slices.Clone(b.c.pool("s").endpoints)
			key := uint64(w.prefixHashes[0])
			slices.SortFunc(all, func(x, y *endpoint) int { return cmp.Compare(mixHash(key, y.hash), mixHash(key, x.hash)) })
			if preferred := rankPreferred(b.c.pool("s"), w); !slices.Equal(preferred, all[:min(n, len(preferredCacheProbability))]) {
				t.Fatalf("%d endpoints, shared prefix %d: the preferred endpoints are not those with the highest scores", n, subject)
			}
		}
	}
}
