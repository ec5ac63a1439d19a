package keeper

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// tenantBody returns a configuration with tenants t000, t001 and so on, each with a key and a limit of its own.
func tenantBody(t *testing.T, version uint64, tenants int) []byte {
	t.Helper()
	var customers []map[string]any
	for i := range tenants {
		customers = append(customers, map[string]any{
			"name":       fmt.Sprintf("t%03d", i),
			"api_keys":   []string{fmt.Sprintf("secret-%d-a", i), fmt.Sprintf("secret-%d-b", i)},
			"priority":   1,
			"rate_per_s": 100 + i,
			"burst":      7,
		})
	}
	body, err := json.Marshal(map[string]any{"version": version, "routes": []any{}, "services": []any{}, "customers": customers})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestTenantsOfAKeeper guards against a page on tenants that shows keys, an unbounded list, or no answer for one tenant.
func TestTenantsOfAKeeper(t *testing.T) {
	r := newRig(t, 1)
	r.startAll()
	const tenants = maxListedTenants + 44
	r.untilCode(http.StatusServiceUnavailable, func() response { return r.call(0, "GET", "/tenants", "", nil) })
	r.untilCode(http.StatusOK, func() response { return r.call(0, "PUT", "/config", "0", tenantBody(t, 1, tenants)) })
	read := func(path string) (list tenantList) {
		t.Helper()
		a := r.untilCode(http.StatusOK, func() response { return r.call(0, "GET", path, "", nil) })
		if strings.Contains(a.body, "secret") {
			t.Fatalf("%s shows a key: %s", path, a.body)
		}
		if err := json.Unmarshal([]byte(a.body), &list); err != nil {
			t.Fatal(err)
		}
		if list.Total != tenants || list.ConfigVersion != 1 || !list.InContact || list.Node != "k1" {
			t.Errorf("%s: %+v", path, list)
		}
		return list
	}
	first := read("/tenants")
	if n := len(first.Tenants); n != maxListedTenants || first.Tenants[0].Name != "t000" {
		t.Fatalf("%d tenants, the first is %q", n, first.Tenants[0].Name)
	}
	rest := read("/tenants?after=" + first.Tenants[maxListedTenants-1].Name)
	if n := len(rest.Tenants); n != tenants-maxListedTenants || rest.Tenants[n-1].Name != fmt.Sprintf("t%03d", tenants-1) {
		t.Errorf("%d further tenants", n)
	}
	one := read("/tenants?name=t005").Tenants
	if len(one) != 1 || one[0].Name != "t005" || one[0].Keys != 2 || one[0].RatePerSecond != 105 || one[0].Burst != 7 || one[0].Priority != 1 {
		t.Errorf("%+v", one)
	}
	a := r.call(0, "GET", "/tenants?name=nobody", "", nil)
	if a.status != http.StatusNotFound || !strings.Contains(a.body, `configuration 1 has no tenant`) {
		t.Errorf("unknown tenant: %v", a)
	}
}

// TestCountingStoreOfATenant guards against a page that names another owner than the one that proxies ask, or that
// hides an owner that flaps.
func TestCountingStoreOfATenant(t *testing.T) {
	tenant := operatorconfig.Tenant{Name: "club", RatePerSecond: 5}
	table := func(primary uint64, epoch uint64) *snapshot.PartitionTable {
		table := &snapshot.PartitionTable{
			Version:    epoch,
			Partitions: make([]snapshot.Partition, 16),
			Stores:     map[uint64]snapshot.Store{1: {ID: 1, Name: "s1"}, 2: {ID: 2, Name: "s2"}, 3: {ID: 3, Name: "s3"}},
		}
		for i := range table.Partitions {
			table.Partitions[i] = snapshot.Partition{Epoch: 1, Primary: 3, Replicas: []uint64{3, 1}}
		}
		row := &table.Partitions[table.PartitionOf(snapshot.RateKey("club"))]
		*row = snapshot.Partition{Epoch: epoch, Primary: primary, Replicas: []uint64{1, 2, 3}}
		return table
	}
	start := time.Now()
	var owners []ownerHistory
	at := func(d time.Duration, primary, epoch uint64) *countingStore {
		owners = updateOwners(owners, table(primary, epoch), start.Add(d))
		view := tenantView{now: start.Add(d + 2*time.Second), table: table(primary, epoch), owners: owners}
		return view.countingStore(&tenant)
	}
	check := func(got *countingStore, owner string, epoch uint64, seconds, changes int, successors ...string) {
		t.Helper()
		if got == nil || got.Owner != owner || got.Epoch != epoch || got.OwnerSeconds != seconds || got.OwnerChanges != changes ||
			strings.Join(got.Successors, " ") != strings.Join(successors, " ") {
			t.Errorf("%+v, want %s in epoch %d for %d s with %d changes, then %v", got, owner, epoch, seconds, changes, successors)
		}
	}
	check(at(0, 1, 1), "s1", 1, 2, 0, "s2", "s3")
	check(at(time.Minute, 2, 2), "s2", 2, 2, 1, "s1", "s3")
	check(at(2*time.Minute, 2, 3), "s2", 3, 62, 1, "s1", "s3") // an epoch that keeps the owner
	check(at(3*time.Minute, 1, 4), "s1", 4, 2, 2, "s2", "s3")
	check(at(12*time.Minute, 1, 5), "s1", 5, 542, 1, "s2", "s3") // the first change is over 10 minutes old
	for i := range uint64(2 * maxOwnerChanges) {
		at(13*time.Minute, 1+i%2, 6+i)
	}
	check(at(13*time.Minute, 3, 90), "s3", 90, 2, maxOwnerChanges, "s1", "s2")

	if view := (&tenantView{now: start}); view.countingStore(&tenant) != nil {
		t.Error("an owner before the first table")
	}
	unlimited := operatorconfig.Tenant{Name: "club"}
	if view := (&tenantView{now: start, table: table(1, 1)}); view.countingStore(&unlimited) != nil {
		t.Error("an owner of a tenant without a limit")
	}
}
