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
	// recordedIn is within which all is handed to the stores once clients have ended.
	recordedIn = 5 * time.Second
	putWait    = 10 * time.Second
)

// regulatedRoutes demand the regime; essay and lookup demand nothing and go on meanwhile.
var regulatedRoutes = []string{"talk", "save", "bulk"}

// The rules of a night, beside the others.
const (
	ruleCertified = "CERTIFIED" // regulated work at an endpoint that was not certified
	ruleOnce      = "ONCE"      // an item that ran whole more than once
	ruleAudit     = "AUDIT"     // the record does not say what was seen
)

// certificationRun is a busy night: twice the traffic, with a certified engine down for good, another frozen, one whose
// certificate is withdrawn, and a keeper cut off.
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

// CertificationAccount is what became of a night.
type CertificationAccount struct {
	Account
	Regulated int         `json:"regulated_runs"`
	Rows      []audit.Row `json:"rows"`
	Copies    int         `json:"copies"`
	Repeated  []string    `json:"again"` // items that ran whole more than once
}

// PlayCertification plays a busy night with certified nodes.
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
		most := certifiedEngines
		if e.Service() == web {
			most = 1
		}
		if count[e.Service()]++; count[e.Service()] <= most {
			n.certified[e.ID()] = true
			n.document.Certificates = append(n.document.Certificates, certification.Certificate{Endpoint: e.ID(), Regime: regime,
				NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour), Issuer: "the lab"})
		}
	}
	return n.put(ctx, op, func(inForce bool) {
		if !inForce {
			r.options.Logf("the first certificates are not in force everywhere yet")
		}
	})
}

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

// injectFaults come spread over the night, in an order that the seed draws.
func (n *certificationRun) injectFaults(ctx context.Context, r *rig, op *operator.Operator) error {
	r.mu.Lock()
	var engines []*engine.Endpoint
	for _, e := range r.ordered() {
		if e.Service() == gen && n.certified[e.ID()] {
			engines = append(engines, e)
		}
	}
	r.mu.Unlock()
	rng := world.Random(n.seed, "night")
	rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	keeper := r.cluster.Find(cluster.Keeper, rng.IntN(zones*2))
	steps := []func() error{
		func() error {
			r.options.Logf("%s is down for good", engines[0].ID())
			n.down = engines[0].ID()
			r.mu.Lock()
			delete(r.all, engines[0])
			r.mu.Unlock()
			engines[0].Crash()
			return nil
		},
		func() error {
			r.options.Logf("%s is frozen for %v", engines[1].ID(), frozenFor)
			engines[1].Dark(true)
			time.Sleep(frozenFor)
			engines[1].Dark(false)
			return nil
		},
		func() error {
			r.options.Logf("the certificate of %s is withdrawn", engines[2].ID())
			n.document, _ = n.document.Without(engines[2].ID(), regime)
			return n.put(ctx, op, func(inForce bool) {
				by := time.Now()
				if !inForce {
					by = by.Add(drainFor)
				}
				r.options.Logf("withdrawn, in force everywhere: %v", inForce)
				n.withdrawn[engines[2].ID()] = by.Add(onTheWay)
			})
		},
		func() error {
			r.options.Logf("%v is cut off for %v", keeper, frozenFor)
			return r.freeze(keeper)
		},
	}
	rng.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	began := time.Now()
	var all []error
	done := make(chan error, len(steps))
	for i, step := range steps {
		at := time.Duration(float64(r.options.Length) * (0.15 + 0.6*float64(i)/float64(len(steps))))
		t := time.NewTimer(time.Until(began.Add(at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		go func() { done <- step() }()
	}
	for range steps {
		all = append(all, <-done)
	}
	return errors.Join(all...)
}

func regulated(uri string) bool {
	return slices.ContainsFunc(regulatedRoutes, func(name string) bool { return strings.HasPrefix(uri, "/"+name+"/") })
}

// account holds what ran at the endpoints against the certificates, and the record against what ran.
func (n *certificationRun) account(ctx context.Context, r *rig) {
	type at struct{ id, endpoint string }
	ran := map[at]int{}
	whole := map[string]int{}
	for _, run := range r.runs.All() {
		if !regulated(run.URI) {
			continue
		}
		n.runs++
		ran[at{run.Request, run.Instance}]++
		by, withdrawn := n.withdrawn[run.Instance]
		switch {
		case !n.certified[run.Instance]:
			n.violated(ruleCertified, run.Request, "%s ran at %s, which was never certified", run.URI, run.Instance)
		case withdrawn && run.Arrived.After(by):
			n.violated(ruleCertified, run.Request, "%s reached %s %v after the withdrawal of its certificate had to be in force", run.URI, run.Instance, run.Arrived.Sub(by))
		}
		if run.Whole && strings.HasPrefix(run.URI, "/bulk/") {
			if whole[run.Request]++; whole[run.Request] == 2 {
				n.repeated = append(n.repeated, run.Request)
			}
		}
	}
	if n.runs == 0 {
		n.violated(ruleAudit, "-", "no regulated work ran")
	}
	var problems []string
	for until := time.Now().Add(recordedIn); ; {
		problems = problems[:0]
		n.audit(r, func(form string, args ...any) { problems = append(problems, fmt.Sprintf(form, args...)) }, func(report *audit.Report) {
			recorded := map[at]int{}
			answered := map[at]bool{}
			for _, run := range report.Runs {
				k := at{run.ID, run.Endpoint}
				if run.Outcome.MayHaveRun() {
					recorded[k]++
				}
				answered[k] = answered[k] || run.Outcome == audit.Answered
				if run.Outcome == audit.Open {
					problems = append(problems, fmt.Sprintf("the run of %s at %s has no end", run.ID, run.Endpoint))
				}
			}
			for k, times := range ran {
				if recorded[k] < times {
					problems = append(problems, fmt.Sprintf("%s ran %d times at %s, and %d runs are in the record", k.id, times, k.endpoint, recorded[k]))
				}
			}
			for k := range answered {
				if answered[k] && ran[k] == 0 {
					problems = append(problems, fmt.Sprintf("%s is recorded as answered at %s, where it never ran", k.id, k.endpoint))
				}
			}
		})
		if len(problems) == 0 || time.Now().After(until) || ctx.Err() != nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, p := range problems {
		n.violated(ruleAudit, "-", "%s", p)
	}
}

// audit reads the files of all stores.
func (n *certificationRun) audit(r *rig, problem func(form string, args ...any), check func(*audit.Report)) {
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
		return
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
	check(report)
}

// Print writes the account for people.
func (a CertificationAccount) Print(w io.Writer) error {
	if err := a.Account.Print(w); err != nil {
		return err
	}
	for _, row := range a.Rows {
		if _, err := fmt.Fprintf(w, "regime %s, night of %s: %d runs, %d requests, %d items, %d answered whole, %d of them again, at %d endpoints\n",
			row.Regime, row.Date, row.Runs, row.Requests, row.BatchItems, row.Answered, row.Reanswered, row.Endpoints); err != nil {
			return err
		}
	}
	if len(a.Repeated) > 0 {
		if _, err := fmt.Fprintf(w, "items that ran whole more than once (each is listed once): %v\n", a.Repeated); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d regulated runs were seen at endpoints; each is in the files of %d stores or more\n", a.Regulated, a.Copies)
	return err
}
