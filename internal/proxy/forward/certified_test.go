package forward

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// runRecord is a Recorder in memory.
type runRecord struct {
	mu   sync.Mutex
	runs []audit.Run
	ends map[uint64]audit.Outcome
	full bool
}

func (b *runRecord) Begin(r audit.Run, _ []byte) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full {
		return 0, false
	}
	b.runs = append(b.runs, r)
	return uint64(len(b.runs)), true
}

func (b *runRecord) End(n uint64, o audit.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, twice := b.ends[n]; twice {
		panic("a run ended twice")
	}
	b.ends[n] = o
}

// summary returns each run's endpoint and outcome, in order.
func (b *runRecord) summary() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for i, r := range b.runs {
		out = append(out, r.Endpoint+" "+b.ends[uint64(i+1)].String())
	}
	return strings.Join(out, ", ")
}

func certificates(t testing.TB, version uint64, endpoints ...string) *certification.Set {
	t.Helper()
	d := certification.Document{Version: version, Routes: []certification.Route{{Name: "r", Regime: "fin"}}}
	for _, e := range endpoints {
		d.Certificates = append(d.Certificates, certification.Certificate{Endpoint: e, Regime: "fin", NotBefore: time.Now().Add(-time.Hour),
			NotAfter: time.Now().Add(time.Hour), Issuer: "test"})
	}
	text, err := json.Marshal(d)
	must(t, err)
	s, err := certification.Parse(text)
	must(t, err)
	return s
}

// certify makes the rig's route regulated; the gate is always confirmed.
func (g *rig) certify(endpoints ...string) *runRecord {
	b := &runRecord{ends: map[uint64]audit.Outcome{}}
	g.p.options.Certificates = certification.NewGate(certification.GateOptions{LastConfirmed: time.Now, ConfirmationTTL: time.Second})
	g.p.options.Certificates.Update(certificates(g.t, 1, endpoints...))
	g.p.options.Recorder = b
	return b
}

func TestUncertifiedEndpointsAreNotGranted(t *testing.T) {
	e1, e2 := newEndpoint(t, "e1", answers(sealed, "one")), newEndpoint(t, "e2", answers(sealed, "two"))
	g := newRig(t, route(operatorconfig.Writes, 1), e1, e2) // its admission ignores certificates, as if one was withdrawn after the grant
	b := g.certify("e2")
	a := g.do(plainCall, "body")
	if a.status != 200 || a.body != "two" || len(e1.got()) != 0 {
		t.Errorf("%+v, %d calls at e1", a, len(e1.got()))
	}
	if got := b.summary(); got != "e2 answered" {
		t.Error(got)
	}
	if r := b.runs[0]; r.Regime != "fin" || r.CertificatesVersion != 1 || r.Route != "r" || r.Idempotent || r.BatchItem || r.ID == "" {
		t.Errorf("%+v", r)
	}
	if !slices.Equal(g.a.outcomes(), []dispatch.Outcome{dispatch.Canceled, dispatch.Served}) {
		t.Errorf("outcomes %v: a withdrawn certificate must not count against the endpoint's health", g.a.outcomes())
	}
	if q := g.a.requests[0]; q.Regime != "fin" || q.Certified("e1") || !q.Certified("e2") {
		t.Errorf("%+v", q)
	}
}

func TestRefusalStatesThatNoEndpointIsCertified(t *testing.T) {
	e1, e2 := newEndpoint(t, "e1", answers(sealed, "one")), newEndpoint(t, "e2", answers(sealed, "two"))
	for _, kind := range []operatorconfig.RouteKind{operatorconfig.Writes, operatorconfig.ReadOnly} {
		g := newRig(t, route(kind, 2), e1, e2)
		g.certify()
		a := g.do(plainCall, "body")
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.header.Get(headerReason) != "no certified node for regime fin is free" {
			t.Errorf("%+v", a)
		}
	}
	if len(e1.got())+len(e2.got()) != 0 {
		t.Error("the request was sent")
	}
}

func TestRefusalsWithoutCertifiedEndpointsAreCounted(t *testing.T) {
	g := newRig(t, route(operatorconfig.Writes, 1))
	g.certify()
	g.a.refuse = &dispatch.RefusedError{Reason: "no certified node for regime fin is free", RetryAfter: 70 * time.Millisecond, Regime: "fin"}
	if a := g.do(plainCall, "body"); a.status != 503 || a.header.Get(headerReason) != "no certified node for regime fin is free" {
		t.Errorf("%+v", a)
	}
	if got := g.p.options.Certificates.CountsByRegime(); len(got) != 1 || got[0].Refused != 1 {
		t.Errorf("%+v", got)
	}
}

// The first certificates arrive while a request that was granted before is on its way to an endpoint.
func TestRouteThatBecomesRegulatedInFlight(t *testing.T) {
	e1, e2 := newEndpoint(t, "e1", answers(sealed, "one")), newEndpoint(t, "e2", answers(sealed, "two"))
	g := newRig(t, route(operatorconfig.Writes, 1), e1, e2)
	b := g.certify("e2")
	set := g.p.options.Certificates.Current()
	g.p.options.Certificates = certification.NewGate(certification.GateOptions{LastConfirmed: time.Now, ConfirmationTTL: time.Second})
	x := &exchange{proxy: g.p, ctx: t.Context(), method: http.MethodPost}
	x.describe(&g.config.Routes[0], func(string) string { return "id9" })
	if x.request.Certified != nil || x.request.Regime != "" {
		t.Fatal("the request is regulated before there are certificates")
	}
	_, ok := x.acquire()
	if !ok || x.grant.Endpoint().ID != "e1" {
		t.Fatal("e1 was not granted")
	}
	g.p.options.Certificates.Update(set)
	if e, ok := x.recheckCertificate("e1"); ok || e != attempt.NotWritten || x.grant != nil {
		t.Errorf("%v, %v", e, ok)
	}
	if x.request.Regime != "fin" || x.request.Certified("e1") {
		t.Error("its next endpoint does not have to be certified")
	}
	if len(b.runs) != 0 {
		t.Error("a run was recorded")
	}
}

func TestFullRecordStopsRegulatedWork(t *testing.T) {
	e1 := newEndpoint(t, "e1", answers(sealed, "one"))
	g := newRig(t, route(operatorconfig.Writes, 1), e1)
	b := g.certify("e1")
	b.full = true
	if a := g.do(plainCall, "body"); a.status != 503 || a.header.Get(headerReason) != recordFullReason || len(e1.got()) != 0 {
		t.Errorf("%+v", a)
	}
	res := g.p.RunItem(t.Context(), item(&g.config.Routes[0]), "", nil)
	if res.State != ItemNotRun || len(e1.got()) != 0 {
		t.Errorf("%+v", res)
	}
	b.full = false
	if a := g.do(plainCall, "body"); a.status != 200 || b.summary() != "e1 answered" {
		t.Errorf("%+v, %s", a, b.summary())
	}
}

// Each outcome of a run is recorded, and the event after which a stream is resumed.
func TestEachRunIsRecordedWithItsEnd(t *testing.T) {
	cut := func(c net.Conn, r call) bool {
		_, _ = io.WriteString(c, streamHead(r.Header.Get(headerID))+chunked(oneEvent(1)))
		return false
	}
	rest := func(c net.Conn, r call) bool {
		_, _ = io.WriteString(c, streamHead(r.Header.Get(headerID))+chunked(oneEvent(2), ""))
		return true
	}
	resumed := route(operatorconfig.Streaming, 3)
	resumed.Resumable = true
	for name, c := range map[string]struct {
		route operatorconfig.Route
		first func(net.Conn, call) bool
		last  func(net.Conn, call) bool
		want  string
	}{
		"rejected":       {route(operatorconfig.Writes, 1), answers("503 X|X-Dunetide-Not-Run: 1", ""), answers(sealed, "fine"), "e1 not-run, e3 answered"},
		"misdirected":    {route(operatorconfig.Writes, 1), answers("421 X", ""), answers(sealed, "fine"), "e1 not-run, e3 answered"},
		"500":            {route(operatorconfig.Writes, 1), answers("500 X", "x"), nil, "e1 failed"},
		"500, retried":   {route(operatorconfig.ReadOnly, 2), answers("500 X", "x"), answers(sealed, "fine"), "e1 failed, e3 answered"},
		"closed":         {route(operatorconfig.Writes, 1), func(net.Conn, call) bool { return false }, nil, "e1 broken"},
		"resumed stream": {resumed, cut, rest, "e1 broken, e3 answered"},
	} {
		t.Run(name, func(t *testing.T) {
			e1, e2 := newEndpoint(t, "e1", c.first), newEndpoint(t, "e2", answers(sealed, "not certified"))
			all := []*endpoint{e1, e2}
			if c.last != nil {
				all = append(all, newEndpoint(t, "e3", c.last))
			}
			g := newRig(t, c.route, all...)
			b := g.certify("e1", "e3")
			g.do(plainCall, "body")
			eventually(t, testTimeout, "all runs are recorded with their ends", func() bool { return len(b.summary()) == len(c.want) })
			if got := b.summary(); got != c.want || len(e2.got()) != 0 {
				t.Errorf("%q, want %q; %d calls at an endpoint that is not certified", got, c.want, len(e2.got()))
			}
			if name == "resumed stream" && b.runs[1].ResumeAfter != "1" {
				t.Errorf("%+v", b.runs[1])
			}
		})
	}
}

func TestItemsResumeOnlyAtCertifiedEndpoints(t *testing.T) {
	e1, e2 := newEndpoint(t, "e1", answers(sealed, "one")), newEndpoint(t, "e2", answers(sealed, "two"))
	g := newRig(t, route(operatorconfig.Bulk, 2), e1, e2)
	b := g.certify("e2")
	res := g.p.RunItem(t.Context(), item(&g.config.Routes[0]), "3", func(string, []byte) {})
	if res.State != ItemDone || len(e1.got()) != 0 || b.summary() != "e2 answered" || !b.runs[0].BatchItem || b.runs[0].ResumeAfter != "3" || !b.runs[0].Idempotent {
		t.Errorf("%+v, %+v", res, b.runs)
	}
}

// BenchmarkCertified sends one request after another to a regulated route, and to an unregulated route while another one is
// regulated. BenchmarkPlain has no regulated routes.
func BenchmarkCertified(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "another-route", true: "this-route"}[on], func(b *testing.B) {
			r := route(operatorconfig.ReadOnly, 2)
			if !on {
				r.Name = "other"
			}
			e := newEndpoint(b, "e1", answers(sealed, "the body"))
			g := newRig(b, r, e)
			g.certify("e1")
			benchmark(b, g)
		})
	}
}
