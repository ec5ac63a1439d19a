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
	certifiedEngines     = 4 // of the engines
	certificationLoad    = 2
	regime               = "night"
	// onTheWay is how long after a check a request may still reach its endpoint on a busy machine.
	onTheWay = 500 * time.Millisecond
	// recordedIn is within which all has reached the stores once clients have ended.
	recordedIn = 5 * time.Second
	putWait    = 10 * time.Second
	// auditEvery is how often the audit logs are read until they are complete.
	auditEvery = 200 * time.Millisecond
)

// regulatedRoutes demand the regime; essay and lookup demand nothing and go on meanwhile.
var regulatedRoutes = []string{"talk", "save", "bulk"}

// The rules of a certification run, beside the others.
const (
	ruleCertified = "CERTIFIED" // regulated work at an endpoint that was not certified
	ruleOnce      = "ONCE"      // an item that ran whole more than once
	ruleAudit     = "AUDIT"     // the record does not say what was seen
)

// certificationRun is the busy night of docs/certified.md: twice the traffic, with a certified engine down for good,
// another frozen, one whose certificate is withdrawn, and a keeper cut off.
type certificationRun struct {
	seed       uint64
	document   certification.Document
	certified  map[string]bool
	withdrawn  map[string]time.Time // by when it had to be in force
	down       string
	violations []load.Violation
	runs       int // regulated ones, at endpoints
	rows       []audit.Row
	copies     int // the fewest files that a run is in
	repeated   []string
}

// CertificationAccount is the account of such a run.
type CertificationAccount struct {
	Account
	Regulated int         `json:"regulated_runs"`
	Rows      []audit.Row `json:"rows"`
	Copies    int         `json:"copies"`
	Repeated  []string    `json:"again"` // items that ran whole more than once
}

// PlayCertification plays the certification scenario.
func PlayCertification(ctx context.Context, o Options) (CertificationAccount, error) {
	n := &certificationRun{seed: o.Seed, certified: map[string]bool{}, withdrawn: map[string]time.Time{}}
	o.certification, o.Faults = n, nil
	o.Load = cmp.Or(o.Load, 1) * certificationLoad
	a, err := Play(ctx, o)
	for _, id := range n.repeated {
		n.violated(ruleOnce, id, "ran whole more than once")
	}
	a.Violations = append(a.Violations, n.violations...)
	return CertificationAccount{Account: a, Regulated: n.runs, Rows: n.rows, Copies: n.copies, Repeated: n.repeated}, err
}

// violated notes a violation.
func (n *certificationRun) violated(rule, id, format string, args ...any) {
	n.violations = append(n.violations, load.Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// begin certifies some engines and one plain endpoint, before clients come.
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
	return n.put(ctx, op, func(inForce bool) {
		if !inForce {
			r.options.Logf("the first certificates are not in force everywhere yet")
		}
	})
}

// put sends the document of certificates, and calls then with whether it is in force everywhere.
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

// injectFaults injects the faults of the scenario, spread over its length, in an order from the seed, and returns
// when all have ended.
func (n *certificationRun) injectFaults(ctx context.Context, r *rig, op *operator.Operator) error {
	engines := n.certifiedEngines(r)
	rng := world.Random(n.seed, "night")
	rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	keeper := r.cluster.Find(cluster.Keeper, rng.IntN(zones*2))
	steps := []func() error{
		func() error { return n.crashForGood(r, engines[0]) },
		func() error { return freezeEndpoint(r, engines[1]) },
		func() error { return n.withdraw(ctx, r, op, engines[2].ID()) },
		func() error {
			r.options.Logf("%v is cut off for %v", keeper, frozenFor)
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

// certifiedEngines returns the model endpoints that have a certificate, in the order of their starts.
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

// crashForGood ends an endpoint without notice; nothing starts in its place.
func (n *certificationRun) crashForGood(r *rig, e *engine.Endpoint) error {
	r.options.Logf("%s is down for good", e.ID())
	n.down = e.ID()
	r.mu.Lock()
	delete(r.all, e)
	r.mu.Unlock()
	e.Crash()
	return nil
}

// freezeEndpoint has nothing move on an endpoint's connections for frozenFor.
func freezeEndpoint(r *rig, e *engine.Endpoint) error {
	r.options.Logf("%s is frozen for %v", e.ID(), frozenFor)
	e.Dark(true)
	time.Sleep(frozenFor)
	e.Dark(false)
	return nil
}

// withdraw withdraws the certificate of an endpoint, and notes by when that has to be in force.
func (n *certificationRun) withdraw(ctx context.Context, r *rig, op *operator.Operator, endpoint string) error {
	r.options.Logf("the certificate of %s is withdrawn", endpoint)
	n.document, _ = n.document.Without(endpoint, regime)
	return n.put(ctx, op, func(inForce bool) {
		by := time.Now()
		if !inForce {
			by = by.Add(drainFor)
		}
		r.options.Logf("withdrawn, in force everywhere: %v", inForce)
		n.withdrawn[endpoint] = by.Add(onTheWay)
	})
}

// regulated reports whether a request to this URI demands the regime.
func regulated(uri string) bool {
	return slices.ContainsFunc(regulatedRoutes, func(name string) bool { return strings.HasPrefix(uri, "/"+name+"/") })
}

// requestAt is a request and an endpoint at which it ran.
type requestAt struct{ id, endpoint string }

// account checks what ran at the endpoints against the certificates, and the audit log against what ran.
func (n *certificationRun) account(ctx context.Context, r *rig) {
	ran := n.checkCertified(r.runs.All())
	if n.runs == 0 {
		n.violated(ruleAudit, "-", "no regulated work ran")
	}
	until := time.Now().Add(recordedIn)
	problems := n.auditProblems(r, ran)
	for len(problems) > 0 && !time.Now().After(until) && ctx.Err() == nil {
		time.Sleep(auditEvery)
		problems = n.auditProblems(r, ran)
	}
	for _, problem := range problems {
		n.violated(ruleAudit, "-", "%s", problem)
	}
}

// checkCertified checks that regulated requests ran at certified endpoints only, and returns how often each ran where.
func (n *certificationRun) checkCertified(runs []engine.Run) map[requestAt]int {
	ran := map[requestAt]int{}
	whole := map[string]int{}
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
			if whole[run.Request]++; whole[run.Request] == 2 {
				n.repeated = append(n.repeated, run.Request)
			}
		}
	}
	return ran
}

// auditProblems returns what is wrong with the audit logs of all stores, and where they lack what ran.
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
			problem("the run of %s at %s has no end", run.ID, run.Endpoint)
		}
	}
	for key, times := range ran {
		if recorded[key] < times {
			problem("%s ran %d times at %s, and %d runs are in the record", key.id, times, key.endpoint, recorded[key])
		}
	}
	for key := range answered {
		if answered[key] && ran[key] == 0 {
			problem("%s is recorded as answered at %s, where it never ran", key.id, key.endpoint)
		}
	}
	return problems
}

// audit reads the audit logs of all stores; nil: they can't be read.
func (n *certificationRun) audit(r *rig, problem func(format string, args ...any)) *audit.Report {
	var all []string
	copies := map[string]int{}
	for _, p := range r.cluster.Processes() {
		if p.Role != cluster.Store {
			continue
		}
		files, _ := filepath.Glob(filepath.Join(p.Data(), "audit*.log")) // the pattern is sound
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
		problem("a run is in %d files", n.copies)
	}
	return report
}

// Print writes the account for people.
func (a CertificationAccount) Print(w io.Writer) error {
	if err := a.Account.Print(w); err != nil {
		return err
	}
	for _, row := range a.Rows {
		_, err := fmt.Fprintf(w, "regime %s, night of %s: %d runs, %d requests, %d items, %d answered whole, "+
			"%d of them again, at %d endpoints\n",
			row.Regime, row.Date, row.Runs, row.Requests, row.BatchItems, row.Answered, row.Reanswered, row.Endpoints)
		if err != nil {
			return err
		}
	}
	if len(a.Repeated) > 0 {
		_, err := fmt.Fprintf(w, "items that ran whole more than once (each is listed once): %v\n", a.Repeated)
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d regulated runs were seen at endpoints; each is in the files of %d stores or more\n",
		a.Regulated, a.Copies)
	return err
}
