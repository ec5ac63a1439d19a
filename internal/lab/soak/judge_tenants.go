package soak

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
)

// Rules on tenants.
const (
	ruleUnasked = load.Unasked // an endpoint saw a key, or a name that is not that of the key's tenant
	ruleRoute   = load.Route   // a request ran without a key that any configuration held
	ruleDenied  = "DENIED"     // a request that the configurations allow was refused
	ruleQuota   = "QUOTA"      // a tenant's requests ran beyond its limit, or were refused below it
)

// Bounds of the rule on rates.
const (
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// contactPoll is how often it is checked whether all proxies are in contact.
	contactPoll = 50 * time.Millisecond
)

// TenantFigures count the requests of a soak run with tenants.
type TenantFigures struct {
	Changes   int `json:"changes"` // of keys and limits
	Runs      int `json:"runs"`    // for a tenant
	Denied    int `json:"denied"`  // with 401
	OverLimit int `json:"over_limit"`
	// FullestWindow is the largest part of what its limit allows in a window that a tenant's requests took up.
	FullestWindow float64 `json:"fullest_window"`
}

// tenantJudge checks the observations of a soak run against the rules on tenants.
type tenantJudge struct {
	account  *Account
	run      *soakRun
	tenancy  *tenancy
	machines map[string]string // by front address
	ended    time.Time
	contacts []time.Time // moments at which all proxies were in contact, in order
}

// checkTenants checks the rules on tenants, if the soak run has any.
func (a *Account) checkTenants(p *soakRun, finalAt time.Time) {
	if p.orders.tenancy == nil {
		return
	}
	j := &tenantJudge{account: a, run: p, tenancy: p.orders.tenancy, machines: map[string]string{}, ended: time.Now()}
	for _, process := range p.ofRole(cluster.Proxy) {
		j.machines[process.ReachedFront()] = process.Address()
	}
	j.countChanges()
	j.findContacts()
	spent := map[string]map[string]use{} // by tenant and request
	for _, run := range p.runs.All() {
		j.checkRun(run)
		try, known := a.Tries[run.Request]
		if len(run.Tenants) == 0 {
			continue
		}
		a.Tenants.Runs++
		if known {
			addUse(spent, run.Tenants[0], run.Request, use{sent: try.Sent, arrived: run.Arrived})
		}
	}
	for tenant, uses := range spent {
		j.checkRate(tenant, uses)
	}
	for _, try := range a.Tries {
		j.checkTry(try, finalAt)
	}
	for _, d := range a.Denials {
		j.checkDenial(d.Job, d.Key, d.Front, false, d.Status, d.Sent, d.Ended)
	}
}

// countChanges counts the configurations whose keys or limits differ from those of the one before.
func (j *tenantJudge) countChanges() {
	revisions := j.tenancy.sent(j.ended)
	for i, r := range revisions[1:] {
		before := revisions[i]
		if len(r.holders) != len(before.holders) || r.limits[tenantFlooder] != before.limits[tenantFlooder] ||
			r.holders[wanderingKey] != before.holders[wanderingKey] {
			j.account.Tenants.Changes++
		}
	}
}

// checkRun checks what an endpoint saw of a client's identity.
func (j *tenantJudge) checkRun(run engine.Run) {
	if len(run.Keys) > 0 {
		j.account.violated(ruleUnasked, run.Request, "%s saw an Authorization header", run.Instance)
	}
	if owner, isItem := j.account.Owners[run.Request]; isItem {
		if !slices.Equal(run.Tenants, []string{owner}) {
			j.account.violated(ruleUnasked, run.Request, "%s saw the tenants %q of an item of %s",
				run.Instance, run.Tenants, owner)
		}
		return
	}
	if try, known := j.account.Tries[run.Request]; known {
		j.checkRequest(try, run)
	}
}

// checkRequest checks that a request ran for the tenant of its key.
func (j *tenantJudge) checkRequest(try load.Try, run engine.Run) {
	key, public := try.Identity.Key, try.Route == routePublic
	sent := j.tenancy.sent(run.Arrived)
	if !slices.ContainsFunc(sent, func(r *revision) bool { return r.allows(key, public) }) {
		j.account.violated(ruleRoute, try.ID, "ran at %s with the key %q, which no configuration held", run.Instance, key)
		return
	}
	var want []string // names that endpoints may see
	if key == "" {
		if len(run.Tenants) > 0 {
			j.account.violated(ruleUnasked, try.ID, "%s saw the tenants %q of a request without a key",
				run.Instance, run.Tenants)
		}
		return
	}
	for _, r := range sent {
		want = append(want, r.holders[key])
	}
	if len(run.Tenants) != 1 || run.Tenants[0] == "" || !slices.Contains(want, run.Tenants[0]) {
		j.account.violated(ruleUnasked, try.ID, "%s saw the tenants %q of the key %s", run.Instance, run.Tenants, key)
		return
	}
	if !j.inContact(try.Front, try.Sent, run.Arrived) {
		return
	}
	holds := func(r *revision) bool { return r.holders[key] == run.Tenants[0] }
	if !slices.ContainsFunc(j.tenancy.possible(try.Sent, run.Arrived), holds) {
		j.account.violated(ruleConfig, try.ID,
			"ran for %s with the key %s, which only a configuration allows that was replaced over %v before",
			run.Tenants[0], key, applyWithin)
	}
}

// inContact reports whether the machine behind a front was in contact at two moments.
func (j *tenantJudge) inContact(front string, from, to time.Time) bool {
	machine := j.machines[front]
	return machine != "" && j.run.timeline.inTouch(machine, from) && j.run.timeline.inTouch(machine, to)
}

// checkTry checks that an attempt was not denied although it is allowed, and that the modest tenant was not refused for
// its rate in a soak run without faults of stores.
func (j *tenantJudge) checkTry(try load.Try, finalAt time.Time) {
	switch try.Status {
	case http.StatusTooManyRequests:
		j.account.Tenants.OverLimit++
		calm := j.run.plan.sparesStores() && (j.run.plan.Final == FinalNone || try.Ended.Before(finalAt))
		if try.Route == routeModest && calm {
			j.account.violated(ruleQuota, try.ID, "refused with 429 at %s, far below the limit of its tenant", try.Front)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		j.account.Tenants.Denied++
		j.checkDenial(try.ID, try.Identity.Key, try.Front, try.Route == routePublic, try.Status, try.Sent, try.Ended)
	}
}

// checkDenial checks that an answer that denies a request agrees with a configuration that may be in force. No process
// may answer 401 to what all configurations allow.
func (j *tenantJudge) checkDenial(id, key, front string, public bool, status int, sentAt, endedAt time.Time) {
	denies := func(r *revision) bool { return !r.allows(key, public) }
	contact := j.inContact(front, sentAt, endedAt)
	if !slices.ContainsFunc(j.tenancy.sent(j.ended), denies) {
		if status == http.StatusUnauthorized || contact {
			j.account.violated(ruleDenied, id, "answered %d at %s with the key %q, which all configurations hold",
				status, front, key)
		}
		return
	}
	if contact && !slices.ContainsFunc(j.tenancy.possible(sentAt, endedAt), denies) {
		j.account.violated(ruleConfig, id,
			"answered %d at %s with the key %q over %v after the acknowledgement that it is added",
			status, front, key, applyWithin)
	}
}

// use is one request of a tenant that ran.
type use struct{ sent, arrived time.Time }

// addUse records a run of a request. Only the first one counts.
func addUse(spent map[string]map[string]use, tenant, request string, u use) {
	if spent[tenant] == nil {
		spent[tenant] = map[string]use{}
	}
	if earlier, again := spent[tenant][request]; again && earlier.arrived.Before(u.arrived) {
		return
	}
	spent[tenant][request] = u
}

// checkRate checks that in no window more requests of a tenant were sent and ran than the highest limit allows that may
// have been in force in it.
func (j *tenantJudge) checkRate(tenant string, uses map[string]use) {
	w := fullestWindow(uses, func(from time.Time) float64 { return j.allowed(tenant, from) })
	j.account.Tenants.FullestWindow = max(j.account.Tenants.FullestWindow, w.share())
	if w.share() > 1 {
		j.account.violated(ruleQuota, "", "%d requests of %s were sent and ran within %v from %s on; its limit allows %.0f",
			w.requests, tenant, quotaWindow, w.from.UTC().Format("15:04:05.000"), w.allowed)
	}
}

// window is a span of quotaWindow with the requests of a tenant that were sent and ran in it.
type window struct {
	from     time.Time
	requests int
	allowed  float64
}

// share returns the requests as a part of those that are allowed.
func (w window) share() float64 {
	if w.allowed == 0 {
		return 0
	}
	return float64(w.requests) / w.allowed
}

// fullestWindow returns the window with most requests, as a part of those that are allowed in it. Windows with more
// than allowed need not begin anywhere but at the sending of a request.
func fullestWindow(uses map[string]use, allowed func(from time.Time) float64) (fullest window) {
	all := slices.SortedFunc(maps.Values(uses), func(a, b use) int { return a.sent.Compare(b.sent) })
	for i, first := range all {
		w := window{from: first.sent, allowed: allowed(first.sent)}
		end := first.sent.Add(quotaWindow)
		for _, u := range all[i:] {
			if u.sent.After(end) {
				break
			}
			if !u.arrived.After(end) {
				w.requests++
			}
		}
		if w.share() > fullest.share() {
			fullest = w
		}
	}
	return fullest
}

// allowed returns how many requests of a tenant may be sent and run in the window that begins at a moment. A lower
// limit counts from one window after all proxies were in contact applyWithin past its acknowledgement.
func (j *tenantJudge) allowed(tenant string, from time.Time) float64 {
	highest := 0.0
	unlimited := false
	for _, r := range j.tenancy.possibleUntil(from.Add(-quotaWindow), from.Add(quotaWindow), j.settled) {
		l, known := r.limits[tenant]
		unlimited = unlimited || !known || l.Rate == 0
		highest = max(highest, (l.Rate*quotaWindow.Seconds()+l.Burst)*(1+quotaExcess)+quotaSlack)
	}
	if unlimited {
		return math.Inf(1)
	}
	return highest
}

// settled returns from when on all proxies follow a revision or a newer one.
func (j *tenantJudge) settled(r *revision) time.Time {
	applied := r.acknowledgedAt.Add(applyWithin)
	n, _ := slices.BinarySearchFunc(j.contacts, applied, time.Time.Compare)
	if n == len(j.contacts) {
		return time.Time{}
	}
	return j.contacts[n]
}

// findContacts finds the moments at which all proxies were in contact.
func (j *tenantJudge) findContacts() {
	for at := j.run.began; at.Before(j.ended); at = at.Add(contactPoll) {
		if j.allInContact(at) {
			j.contacts = append(j.contacts, at)
		}
	}
}

// allInContact reports whether the machines of all proxies were in contact at a moment.
func (j *tenantJudge) allInContact(at time.Time) bool {
	for _, machine := range j.machines {
		if !j.run.timeline.inTouch(machine, at) {
			return false
		}
	}
	return true
}

// sparesStores reports whether no fault of the plan hits stores.
func (p Plan) sparesStores() bool {
	return !slices.ContainsFunc(p.Faults, func(fault Fault) bool {
		role, _, _ := strings.Cut(fault.How, " ")
		return role == string(cluster.Store) || fault.Kind == TermStores || fault.Kind == Halves ||
			fault.Kind == Hangup && fault.How == "stopping" // it stops any process
	})
}
