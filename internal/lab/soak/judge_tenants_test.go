package soak

import (
	"net/http"
	"testing"
	"time"

	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
)

// judgeOf returns a judge of history's configurations with one machine, which has a fault from 30 s to 31 s.
func judgeOf(plan Plan) *tenantJudge {
	run := &soakRun{plan: plan}
	run.timeline.machines = map[string]machine{"m": {}, "c": {core: true}}
	run.timeline.spans = []*span{{"freeze", "m", moment(30), moment(31)}}
	return &tenantJudge{
		account: &Account{}, run: run, tenancy: history(),
		machines: map[string]string{"front": "m"}, ended: moment(60),
	}
}

// judged returns the rules that a judge found violated.
func (j *tenantJudge) judged() (rules string) {
	for _, v := range j.account.Violations {
		rules += v.Rule + " "
	}
	return rules
}

func TestJudgingRunsOfTenants(t *testing.T) {
	unasked, route, config := ruleUnasked+" ", ruleRoute+" ", ruleConfig+" "
	for _, c := range []struct {
		name    string
		route   string
		key     string
		at      float64
		tenants []string
		keys    []string
		want    string
	}{
		{"the holder", "r", "k", 1, []string{"a"}, nil, ""},
		{"the older holder while it may be in force", "r", "k", 12.4, []string{"a"}, nil, ""},
		{"the older holder", "r", "k", 13, []string{"a"}, nil, config},
		{"the older holder, without contact", "r", "k", 31.5, []string{"a"}, nil, ""},
		{"a holder that is to come", "r", "k", 1, []string{"b"}, nil, unasked},
		{"another tenant", "r", "k", 13, []string{"c"}, nil, unasked},
		{"two names", "r", "k", 13, []string{"b", "b"}, nil, unasked},
		{"no name", "r", "k", 13, nil, nil, unasked},
		{"an empty name of the tenant of a dropped key", "r", "k", 50, []string{""}, nil, unasked},
		{"the key itself", "r", "k", 13, []string{"b"}, []string{"Token k"}, unasked},
		{"a key that never was", "r", "x", 1, []string{"a"}, nil, route},
		{"a key that never was, without contact", "r", "x", 31, []string{"a"}, nil, route},
		{"a key that never was, on a public route", routePublic, "x", 1, nil, nil, route},
		{"no key", "r", "", 1, nil, nil, route},
		{"no key on a public route", routePublic, "", 1, nil, nil, ""},
		{"no key on a public route, but a name", routePublic, "", 1, []string{"a"}, nil, unasked},
		{"a key on a public route", routePublic, "k", 1, []string{"a"}, nil, ""},
	} {
		j := judgeOf(Plan{})
		at := moment(c.at)
		j.account.Tries = map[string]load.Try{
			"id": {ID: "id", Front: "front", Route: c.route, Identity: load.Identity{Key: c.key}, Sent: at},
		}
		j.checkRun(engine.Run{Request: "id", Arrived: at.Add(time.Millisecond), Tenants: c.tenants, Keys: c.keys})
		if got := j.judged(); got != c.want {
			t.Errorf("%s: %q is violated, want %q", c.name, got, c.want)
		}
	}
}

func TestJudgingItemsOfTenants(t *testing.T) {
	for _, c := range []struct {
		tenants []string
		want    string
	}{
		{[]string{"a"}, ""},
		{[]string{"b"}, ruleUnasked + " "},
		{nil, ruleUnasked + " "},
		{[]string{"a", "a"}, ruleUnasked + " "},
	} {
		j := judgeOf(Plan{})
		j.account.Owners = map[string]string{"item": "a"}
		j.checkRun(engine.Run{Request: "item", Arrived: moment(1), Tenants: c.tenants})
		if got := j.judged(); got != c.want {
			t.Errorf("tenants %q: %q is violated, want %q", c.tenants, got, c.want)
		}
	}
}

func TestJudgingDenials(t *testing.T) {
	denied, config := ruleDenied+" ", ruleConfig+" "
	always := func(j *tenantJudge) { // all configurations have the key
		for _, r := range j.tenancy.revisions {
			r.holders["k"] = "a"
		}
	}
	later := func(j *tenantJudge) {
		delete(j.tenancy.revisions[0].holders, "k")
		j.tenancy.revisions[2].holders["k"] = "b"
	}
	for _, c := range []struct {
		name   string
		change func(*tenantJudge)
		key    string
		public bool
		status int
		at     float64
		want   string
	}{
		{"a key that all configurations have", always, "k", false, 401, 1, denied},
		{"the same, without contact", always, "k", false, 401, 31, denied},
		{"404, without contact", always, "k", false, 404, 31, ""},
		{"404 in contact", always, "k", false, 404, 1, denied},
		{"a key that was just added", later, "k", false, 401, 12, ""},
		{"a key that was added", later, "k", false, 401, 13, config},
		{"a key that was added, without contact", later, "k", false, 401, 31, ""},
		{"a key that never was", always, "x", false, 401, 1, ""},
		{"no key", always, "", false, 401, 1, ""},
		{"no key on a public route", always, "", true, 401, 31, denied},
		{"a key that may have been dropped", func(*tenantJudge) {}, "k", false, 401, 50, ""},
	} {
		j := judgeOf(Plan{})
		c.change(j)
		j.checkDenial("id", c.key, "front", c.public, c.status, moment(c.at), moment(c.at))
		if got := j.judged(); got != c.want {
			t.Errorf("%s: %q is violated, want %q", c.name, got, c.want)
		}
	}
}

func TestJudgingRefusalsBelowTheLimit(t *testing.T) {
	store := Fault{Kind: Kill, How: "store"}
	for _, c := range []struct {
		name  string
		plan  Plan
		route string
		at    float64
		want  string
	}{
		{"the modest tenant", Plan{Final: FinalNone}, routeModest, 1, ruleQuota + " "},
		{"the modest tenant, with faults of proxies", Plan{Final: FinalNone, Faults: []Fault{{Kind: Kill, How: "proxy"}}}, routeModest, 1, ruleQuota + " "},
		{"the modest tenant, with faults of stores", Plan{Final: FinalNone, Faults: []Fault{store}}, routeModest, 1, ""},
		{"the modest tenant, before the end", Plan{Final: FinalKillAll}, routeModest, 1, ruleQuota + " "},
		{"the modest tenant, after the end", Plan{Final: FinalKillAll}, routeModest, 50, ""},
		{"the flooding tenant", Plan{Final: FinalNone}, routeFlood, 1, ""},
	} {
		j := judgeOf(c.plan)
		j.checkTry(load.Try{ID: "id", Front: "front", Route: c.route, Status: http.StatusTooManyRequests, Sent: moment(c.at), Ended: moment(c.at)}, moment(40))
		if got := j.judged(); got != c.want {
			t.Errorf("%s: %q is violated, want %q", c.name, got, c.want)
		}
	}
}
