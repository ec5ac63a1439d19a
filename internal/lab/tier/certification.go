package tier

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
	"dunetide/internal/lab/tier/operator"
	"dunetide/internal/lab/wait"
	"dunetide/internal/lab/world"
)

const (
	certificationEngines = 6
	certifiedEngines     = 4 // engines with a certificate
	certificationLoad    = 2
	regime               = "night"
	// deliverySlack is how long after its certificate was checked a request may still reach its endpoint on a busy machine.
	deliverySlack = 500 * time.Millisecond
	// auditTimeout bounds how long the audit records may take to reach the stores after the clients have finished.
	auditTimeout = 5 * time.Second
	putWait      = 10 * time.Second
	// inForceEvery is the pause between repeats of the first certificates until they are in force everywhere.
	inForceEvery = 50 * time.Millisecond
	// auditEvery is the interval at which the audit logs are read until they are complete.
	auditEvery = 200 * time.Millisecond
)

// regulatedRoutes are the routes that require the regime. The routes essay and lookup require none and carry traffic too.
var regulatedRoutes = []string{"talk", "save", "bulk"}

// Additional rules of a certification run.
const (
	ruleCertified = "CERTIFIED" // a regulated request executed at an endpoint without a certificate
	ruleOnce      = "ONCE"      // a batch item executed completely more than once
	ruleAudit     = "AUDIT"     // the audit log differs from what was observed
)

// certificationRun is the night scenario of docs/certified.md: twice the traffic, while one certified engine crashes
// permanently, another is frozen, the certificate of a third is withdrawn, and a keeper is frozen.
type certificationRun struct {
	seed       uint64
	document   certification.Document
	certified  map[string]bool
	withdrawn  map[string]time.Time // by endpoint: when the withdrawal had to be in force
	down       string
	violations []load.Violation
	runs       int // regulated runs at endpoints
	rows       []audit.Row
	copies     int // the smallest number of files that contain a run
	repeated   []string
}

// CertificationAccount is the account of a certification run.
type CertificationAccount struct {
	Account
	Regulated int         `json:"regulated_runs"`
	Rows      []audit.Row `json:"rows"`
	Copies    int         `json:"copies"`
	Repeated  []string    `json:"again"` // batch items that executed completely more than once
}

// PlayCertification runs the certification scenario.
func PlayCertification(ctx context.Context, o Options) (CertificationAccount, error) {
	n := &certificationRun{seed: o.Seed, certified: map[string]bool{}, withdrawn: map[string]time.Time{}}
	o.certification, o.Faults = n, nil
	o.Load = cmp.Or(o.Load, 1) * certificationLoad
	a, err := Play(ctx, o)
	for _, id := range n.repeated {
		n.violated(ruleOnce, id, "executed completely more than once")
	}
	a.Violations = append(a.Violations, n.violations...)
	return CertificationAccount{Account: a, Regulated: n.runs, Rows: n.rows, Copies: n.copies, Repeated: n.repeated}, err
}

// violated records a violation.
func (n *certificationRun) violated(rule, id, format string, args ...any) {
	n.violations = append(n.violations, load.Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// begin certifies some engines and one plain endpoint before the clients start.
func (n *certificationRun) begin(ctx context.Context, r *rig, op *operator.Operator) error {
	now := time.Now().UTC()
	n.document.Version = 1
	for _, route := range regulatedRoutes {
		n.document.Routes = append(n.document.Routes, certification.Route{Name: route, Regime: regime})
	}
	count := map[string]int{}
	r.mu.Lock()
	all := r.ordered()
	r.mu.Unlock()
	for _, e := range all {
		limit := certifiedEngines
		if e.Service() == web {
			limit = 1
		}
		if count[e.Service()]++; count[e.Service()] <= limit {
			n.certified[e.ID()] = true
			n.document.Certificates = append(n.document.Certificates, certification.Certificate{
				Endpoint:  e.ID(),
				Regime:    regime,
				NotBefore: now.Add(-time.Hour),
				NotAfter:  now.Add(time.Hour),
				Issuer:    "the lab",
			})
		}
	}
	return n.putEverywhere(ctx, op, proxyMachines(r.cluster))
}

// proxyMachines returns the machines that run a proxy.
func proxyMachines(c *cluster.Cluster) (machines []string) {
	for _, p := range c.Processes() {
		if p.Role == cluster.Proxy {
			machines = append(machines, p.Machine)
		}
	}
	return machines
}

// putEverywhere sends the first certificate document until a keeper answers that it is in force at all attached processes, and
// keepers show it at the proxies of all given machines: until then a proxy regulates nothing (docs/certified.md, "First set-up").
func (n *certificationRun) putEverywhere(ctx context.Context, op *operator.Operator, machines []string) error {
	return wait.Within(ctx, putWait, func(ctx context.Context) error {
		for {
			missing := machines
			inForce := false
			err := n.put(ctx, op, func(everywhere bool) { inForce = everywhere })
			if err == nil && inForce {
				missing, err = proxiesWithout(ctx, op, machines, n.document.Version)
			}
			if err != nil || inForce && len(missing) == 0 {
				return err
			}
			if !wait.For(ctx, inForceEvery) {
				return fmt.Errorf("the first certificates: in force at all attached processes: %v; not known to be in force at the proxies of %v",
					inForce, missing)
			}
		}
	})
}

// proxiesWithout returns the machines at whose proxy no keeper shows a version of the certificates in force.
func proxiesWithout(ctx context.Context, op *operator.Operator, machines []string, version uint64) ([]string, error) {
	shown, err := op.CertificatesAtProxies(ctx)
	return slices.DeleteFunc(slices.Clone(machines), func(m string) bool { return shown[m] >= version }), err
}

// put sends the certificate document and calls then with whether it is in force at all processes.
func (n *certificationRun) put(ctx context.Context, op *operator.Operator, then func(inForce bool)) error {
	text, err := json.Marshal(n.document)
	if err != nil {
		return err
	}
	return wait.Within(ctx, putWait, func(ctx context.Context) error {
		inForce, err := op.PutCertificates(ctx, n.document.Version-1, text)
		if err != nil {
			return fmt.Errorf("certificates %d: %w", n.document.Version, err)
		}
		then(inForce)
		return nil
	})
}

// injectFaults injects the faults of the scenario spread over its length, in an order drawn from the seed, and returns when
// all have ended.
func (n *certificationRun) injectFaults(ctx context.Context, r *rig, op *operator.Operator) error {
	engines := n.certifiedEngines(r)
	rng := world.Random(n.seed, "night")
	rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	keeper := r.cluster.Find(cluster.Keeper, rng.IntN(zones*2))
	steps := []func() error{
		func() error { return n.crashPermanently(r, engines[0]) },
		func() error { return freezeEndpoint(r, engines[1]) },
		func() error { return n.withdraw(ctx, r, op, engines[2].ID()) },
		func() error {
			r.options.Logf("freezing %v for %v", keeper, frozenFor)
			return r.freeze(keeper)
		},
	}
	rng.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	began := time.Now()
	failures := make([]error, len(steps))
	var running sync.WaitGroup
	defer running.Wait()
	for i, step := range steps {
		at := time.Duration(float64(r.options.Length) * (0.15 + 0.6*float64(i)/float64(len(steps))))
		if !wait.For(ctx, time.Until(began.Add(at))) {
			return ctx.Err()
		}
		running.Go(func() { failures[i] = step() })
	}
	running.Wait()
	return errors.Join(failures...)
}

// certifiedEngines returns the model endpoints that have a certificate, in the order in which they started.
func (n *certificationRun) certifiedEngines(r *rig) (engines []*engine.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.ordered() {
		if e.Service() == gen && n.certified[e.ID()] {
			engines = append(engines, e)
		}
	}
	return engines
}

// crashPermanently stops an endpoint abruptly without starting a replacement.
func (n *certificationRun) crashPermanently(r *rig, e *engine.Endpoint) error {
	r.options.Logf("crashing %s permanently", e.ID())
	n.down = e.ID()
	r.mu.Lock()
	delete(r.all, e)
	r.mu.Unlock()
	e.Crash()
	return nil
}

// freezeEndpoint stalls all reads and writes on an endpoint's connections for frozenFor.
func freezeEndpoint(r *rig, e *engine.Endpoint) error {
	r.options.Logf("freezing %s for %v", e.ID(), frozenFor)
	e.SetStalled(true)
	time.Sleep(frozenFor)
	e.SetStalled(false)
	return nil
}

// withdraw withdraws the certificate of an endpoint and records by when the withdrawal has to be in force.
func (n *certificationRun) withdraw(ctx context.Context, r *rig, op *operator.Operator, endpoint string) error {
	r.options.Logf("withdrawing the certificate of %s", endpoint)
	n.document, _ = n.document.Without(endpoint, regime)
	return n.put(ctx, op, func(inForce bool) {
		by := time.Now()
		if !inForce {
			by = by.Add(drainFor)
		}
		r.options.Logf("certificate withdrawn; in force at all processes: %v", inForce)
		n.withdrawn[endpoint] = by.Add(deliverySlack)
	})
}

// regulated reports whether a request to this URI requires the regime.
func regulated(uri string) bool {
	return slices.ContainsFunc(regulatedRoutes, func(name string) bool { return strings.HasPrefix(uri, "/"+name+"/") })
}

// requestAt identifies a request and an endpoint that executed it.
type requestAt struct{ id, endpoint string }

// account checks the runs at the endpoints against the certificates, and the audit logs against the runs.
func (n *certificationRun) account(ctx context.Context, r *rig) {
	ran := n.checkCertified(r.runs.All())
	if n.runs == 0 {
		n.violated(ruleAudit, "-", "no regulated request was executed")
	}
	until := time.Now().Add(auditTimeout)
	problems := n.auditProblems(r, ran)
	for len(problems) > 0 && !time.Now().After(until) && ctx.Err() == nil {
		time.Sleep(auditEvery)
		problems = n.auditProblems(r, ran)
	}
	for _, problem := range problems {
		n.violated(ruleAudit, "-", "%s", problem)
	}
}

// checkCertified checks that only certified endpoints executed regulated requests, and returns how often each request ran at
// each endpoint.
func (n *certificationRun) checkCertified(runs []engine.Run) map[requestAt]int {
	ran := map[requestAt]int{}
	complete := map[string]int{}
	for _, run := range runs {
		if !regulated(run.URI) {
			continue
		}
		n.runs++
		ran[requestAt{run.Request, run.Instance}]++
		by, withdrawn := n.withdrawn[run.Instance]
		switch {
		case !n.certified[run.Instance]:
			n.violated(ruleCertified, run.Request, "%s ran at %s, which was never certified", run.URI, run.Instance)
		case withdrawn && run.Arrived.After(by):
			n.violated(ruleCertified, run.Request,
				"%s reached %s %v after the withdrawal of its certificate had to be in force",
				run.URI, run.Instance, run.Arrived.Sub(by))
		}
		if run.Whole && strings.HasPrefix(run.URI, "/bulk/") {
			if complete[run.Request]++; complete[run.Request] == 2 {
				n.repeated = append(n.repeated, run.Request)
			}
		}
	}
	return ran
}

// auditProblems returns the errors in the audit logs of all stores and their differences from the observed runs.
func (n *certificationRun) auditProblems(r *rig, ran map[requestAt]int) (problems []string) {
	problem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	report := n.audit(r, problem)
	if report == nil {
		return problems
	}
	recorded := map[requestAt]int{}
	answered := map[requestAt]bool{}
	for _, run := range report.Runs {
		key := requestAt{run.ID, run.Endpoint}
		if run.Outcome.MayHaveRun() {
			recorded[key]++
		}
		answered[key] = answered[key] || run.Outcome == audit.Answered
		if run.Outcome == audit.Open {
			problem("the audit log has no end for the run of %s at %s", run.ID, run.Endpoint)
		}
	}
	for key, times := range ran {
		if recorded[key] < times {
			problem("%s ran %d times at %s, but the audit log has %d runs", key.id, times, key.endpoint, recorded[key])
		}
	}
	for key := range answered {
		if answered[key] && ran[key] == 0 {
			problem("the audit log has %s as answered at %s, where it never ran", key.id, key.endpoint)
		}
	}
	return problems
}

// audit reads the audit logs of all stores. It returns nil if they cannot be read.
func (n *certificationRun) audit(r *rig, problem func(format string, args ...any)) *audit.Report {
	var all []string
	copies := map[string]int{}
	for _, p := range r.cluster.Processes() {
		if p.Role != cluster.Store {
			continue
		}
		files, _ := filepath.Glob(filepath.Join(p.Data(), "audit*.log")) // the pattern is valid
		if len(files) == 0 {
			continue
		}
		all = append(all, files...)
		one, err := audit.CheckFiles(files, audit.CheckOptions{})
		if err != nil {
			problem("%v", err)
			continue
		}
		for _, run := range one.Runs {
			copies[fmt.Sprint(run.Proxy, run.Number)]++
		}
	}
	report, err := audit.CheckFiles(all, audit.CheckOptions{WithdrawalBound: drainFor})
	if err != nil {
		problem("%v", err)
		return nil
	}
	for _, p := range report.Problems {
		problem("%v", p)
	}
	n.rows, n.copies = report.Rows(), 0
	if len(copies) > 0 {
		n.copies = slices.Min(slices.Collect(maps.Values(copies)))
	}
	if n.copies < 2 { // survive.machines + 1
		problem("a run is in only %d files", n.copies)
	}
	return report
}

// Print writes a human-readable summary of the account.
func (a CertificationAccount) Print(w io.Writer) error {
	if err := a.Account.Print(w); err != nil {
		return err
	}
	for _, row := range a.Rows {
		_, err := fmt.Fprintf(w, "regime %s, night of %s: %d runs, %d requests, %d items, %d answered completely, "+
			"%d of them repeatedly, at %d endpoints\n",
			row.Regime, row.Date, row.Runs, row.Requests, row.BatchItems, row.Answered, row.Reanswered, row.Endpoints)
		if err != nil {
			return err
		}
	}
	if len(a.Repeated) > 0 {
		_, err := fmt.Fprintf(w, "items that executed completely more than once (each is listed once): %v\n", a.Repeated)
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d regulated runs observed at endpoints; each is in the files of at least %d stores\n",
		a.Regulated, a.Copies)
	return err
}
