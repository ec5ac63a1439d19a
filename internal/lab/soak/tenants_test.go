package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	config "dunetide/internal/control/operatorconfig"
	"dunetide/internal/lab/tier"
)

// moment returns a fixed time plus some seconds.
func moment(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestChangedTenantsAreValid(t *testing.T) {
	traffic, jobs := tier.DefaultTraffic()
	traffic = append(traffic, tenantTraffic(traffic[plainTraffic])...)
	text := tier.Configuration(traffic, jobs)
	customers := firstCustomers()
	rng := rand.New(rand.NewPCG(1, 2))
	holders, limits, most := map[string]int{}, map[limit]int{}, 0
	for range 2000 {
		changeCustomers(customers, rng)
		changed, err := withCustomers(text, customers)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := config.Parse(changed)
		if err != nil {
			t.Fatalf("%v in %+v", err, customers)
		}
		holder := "nobody"
		if tenant := parsed.TenantOfKey(wanderingKey); tenant != nil {
			holder = tenant.Name
		}
		holders[holder]++
		limits[customers[2].limit]++
		for _, c := range customers {
			most = max(most, len(c.Keys))
			if c.Keys[0] == wanderingKey {
				t.Fatalf("%s has no key of its own", c.Name)
			}
		}
	}
	if len(holders) != 3 || len(limits) != len(floodLimits) || most < 3 || most > maxKeys+1 {
		t.Errorf("holders of the wandering key %v, limits %v, at most %d keys", holders, limits, most)
	}
}

// history returns a tenancy of three revisions: 3, acknowledged at 0 s; 4, acknowledged at 10 s; 5, sent at 20 s.
func history() *tenancy {
	r := func(version uint64, sent, acknowledged float64, holder string, rate float64) *revision {
		out := &revision{
			version: version, text: fmt.Append(nil, version), sentAt: moment(sent),
			holders: map[string]string{"k": holder}, limits: map[string]limit{"t": {Rate: rate, Burst: rate}},
		}
		if holder == "" {
			delete(out.holders, "k")
		}
		if acknowledged >= 0 {
			out.acknowledgedAt = moment(acknowledged)
		}
		return out
	}
	all := []*revision{r(3, 0, 0, "a", 10), r(4, 9, 10, "b", 20), r(5, 20, -1, "", 30)}
	return &tenancy{revisions: all, newest: all[1]}
}

func TestPossibleRevisions(t *testing.T) {
	for _, c := range []struct {
		from, to float64
		want     []uint64
	}{
		{1, 2, []uint64{3}},
		{8, 9.5, []uint64{3, 4}},
		{12.4, 12.4, []uint64{3, 4}},
		{12.6, 13, []uint64{4}},
		{21, 22, []uint64{4, 5}},
		{60, 60, []uint64{4, 5}}, // version 5 may have been decided without an answer
	} {
		var got []uint64
		for _, r := range history().possible(moment(c.from), moment(c.to)) {
			got = append(got, r.version)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("from %v s to %v s versions %v are possible, want %v", c.from, c.to, got, c.want)
		}
	}
}

func TestARivalOfAnAcknowledgedVersionIsNeverInForce(t *testing.T) {
	h := history()
	h.revisions = append(h.revisions, &revision{version: 4, text: []byte("rival"), sentAt: moment(9)})
	if got := h.possible(moment(9), moment(11)); len(got) != 2 {
		t.Errorf("%d revisions are possible, want 2", len(got))
	}
}

func TestLowerLimitCountsOncePoliciesAreSettled(t *testing.T) {
	j := &tenantJudge{account: &Account{}, tenancy: history()}
	bound := func(rate float64) float64 { return (rate*5+rate)*1.1 + 20 }
	j.contacts = []time.Time{moment(2), moment(16)}
	for _, c := range []struct{ from, want float64 }{
		{0, bound(10)},
		{5, bound(20)},  // version 4 is sent in this window
		{16, bound(30)}, // version 5 is
		{14, bound(20)},
	} {
		if got := j.allowed("t", moment(c.from)); got != c.want {
			t.Errorf("%v are allowed from %v s on, want %v", got, c.from, c.want)
		}
	}
	j.tenancy.revisions[1].limits["t"] = limit{Rate: 1, Burst: 1}
	j.tenancy.revisions = j.tenancy.revisions[:2]
	for _, c := range []struct{ from, want float64 }{
		{20.9, bound(10)}, // the older limit may still count in the window before 16 s
		{21, bound(1)},    // all proxies were in contact at 16 s
	} {
		if got := j.allowed("t", moment(c.from)); got != c.want {
			t.Errorf("%v are allowed from %v s on after the limit was lowered, want %v", got, c.from, c.want)
		}
	}
}

func TestFullestWindow(t *testing.T) {
	uses := map[string]use{}
	add := func(n int, sent, arrived float64) {
		for range n {
			uses[fmt.Sprint(len(uses))] = use{moment(sent), moment(arrived)}
		}
	}
	add(30, 1, 1.1)
	add(30, 5, 7) // arrive after the window that begins at 1 s
	add(25, 6.1, 6.2)
	got := fullestWindow(uses, func(time.Time) float64 { return 50 })
	if want := (window{from: moment(5), requests: 55, allowed: 50}); got != want || got.share() != 1.1 {
		t.Errorf("the fullest window is %+v, want %+v", got, want)
	}
	tighter := func(from time.Time) float64 {
		if from.Before(moment(2)) {
			return 10
		}
		return 50
	}
	if got, want := fullestWindow(uses, tighter), (window{from: moment(1), requests: 30, allowed: 10}); got != want {
		t.Errorf("the fullest window is %+v, want %+v", got, want)
	}
	if got := fullestWindow(uses, func(time.Time) float64 { return math.Inf(1) }); got.share() != 0 {
		t.Errorf("without a limit the fullest window is %+v", got)
	}
}
