package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"

	config "dunetide/internal/control/operatorconfig"
	"dunetide/internal/lab/tier/load"
)

// The tenants of a soak run, and its routes for them.
const (
	tenantWide    = "wide"    // has no limit; its keys change
	tenantOpen    = "open"    // has no limit; its keys change
	tenantFlooder = "flooder" // sends many times its limit, which changes
	tenantModest  = "modest"  // stays far below its limit

	routeFlood  = "rush"  // of tenantFlooder alone
	routeModest = "calm"  // of tenantModest alone
	routePublic = "guest" // public

	// wanderingKey belongs to tenantWide, to tenantOpen or to nobody.
	wanderingKey = "key-that-is-passed-on"
	// unknownKey belongs to nobody in any configuration.
	unknownKey = "key-that-never-was"
	// wrongName is a tenant's name that some clients claim.
	wrongName = tenantFlooder
)

// Load, limits and changes of the tenants.
const (
	floodRate   = 60 // requests per second; clients send each up to four times
	modestRate  = 4  // requests per second
	publicRate  = 4  // requests per second
	modestLimit = 40 // requests per second, and as a burst
	maxKeys     = 4  // of a tenant

	// Of changeOutOf configurations, this many change a key, pass one on, or change a limit.
	changeOutOf  = 40
	addsKey      = 3
	dropsKey     = 3
	passesKey    = 3
	changesLimit = 2
)

// floodLimits are the limits that the flooding tenant may have.
var floodLimits = []limit{{Rate: 6, Burst: 4}, {Rate: 12, Burst: 8}, {Rate: 18, Burst: 12}}

// limit is the rate of a tenant's requests. A rate of 0 means that there is none.
type limit struct {
	Rate  float64 `json:"rate_per_s"`
	Burst float64 `json:"burst"`
}

// customer is a tenant in a configuration.
type customer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	limit
}

// firstCustomers returns the tenants of the first configuration.
func firstCustomers() []customer {
	return []customer{
		{Name: tenantWide, Keys: []string{newKey(tenantWide, 1), newKey(tenantWide, 2), wanderingKey}},
		{Name: tenantOpen, Keys: []string{newKey(tenantOpen, 1)}},
		{Name: tenantFlooder, Keys: []string{newKey(tenantFlooder, 1)}, limit: floodLimits[1]},
		{
			Name: tenantModest, Keys: []string{newKey(tenantModest, 1), newKey(tenantModest, 2)}, Priority: 1,
			limit: limit{Rate: modestLimit, Burst: modestLimit},
		},
	}
}

// newKey returns a key of a tenant.
func newKey(tenant string, number uint32) string { return fmt.Sprintf("key-%s-%08x", tenant, number) }

// withCustomers returns a configuration with other tenants.
func withCustomers(text []byte, customers []customer) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	listed, err := json.Marshal(customers)
	if err != nil {
		return nil, err
	}
	fields["customers"] = listed
	return json.Marshal(fields)
}

// customersOf returns the tenants of a configuration; nil if it has none.
func customersOf(text []byte) ([]customer, error) {
	var fields struct {
		Customers []customer `json:"customers"`
	}
	err := json.Unmarshal(text, &fields)
	return fields.Customers, err
}

// changeCustomers changes at most one key or limit in place.
func changeCustomers(customers []customer, rng *rand.Rand) {
	tenant := &customers[rng.IntN(2)] // tenantWide or tenantOpen
	switch n := rng.IntN(changeOutOf); {
	case n < addsKey:
		if len(tenant.Keys) < maxKeys {
			tenant.Keys = append(tenant.Keys, newKey(tenant.Name, rng.Uint32()))
		}
	case n < addsKey+dropsKey: // never the first key
		if last := len(tenant.Keys) - 1; last > 0 && tenant.Keys[last] != wanderingKey {
			tenant.Keys = tenant.Keys[:last]
		}
	case n < addsKey+dropsKey+passesKey:
		passOn(customers[:2], rng)
	case n < addsKey+dropsKey+passesKey+changesLimit:
		for i := range customers {
			if customers[i].Name == tenantFlooder {
				customers[i].limit = floodLimits[rng.IntN(len(floodLimits))]
			}
		}
	}
}

// passOn gives the wandering key to the other one of two tenants, or to nobody.
func passOn(tenants []customer, rng *rand.Rand) {
	holder := slices.IndexFunc(tenants, func(c customer) bool { return slices.Contains(c.Keys, wanderingKey) })
	for i := range tenants {
		tenants[i].Keys = slices.DeleteFunc(tenants[i].Keys, func(key string) bool { return key == wanderingKey })
	}
	next := rng.IntN(len(tenants))
	switch {
	case holder >= 0 && rng.IntN(4) == 0:
		return
	case holder >= 0:
		next = 1 - holder
	}
	tenants[next].Keys = slices.Insert(tenants[next].Keys, 1, wanderingKey)
}

// tenantTraffic returns the requests of the flooding and of the modest tenant, and those on a public route. They are
// like other requests of a plain endpoint.
func tenantTraffic(like load.Traffic) (traffic []load.Traffic) {
	for _, t := range []struct {
		name   string
		rate   float64
		public bool
	}{
		{routeFlood, floodRate, false},
		{routeModest, modestRate, false},
		{routePublic, publicRate, true},
	} {
		route := *like.Route
		route.Name, route.PathPrefix, route.Public = t.name, "/"+t.name+"/", t.public
		traffic = append(traffic, load.Traffic{Route: &route, Rate: t.rate, Paced: true})
	}
	return traffic
}

// directory tells clients how to identify themselves, by what the configurations sent so far contain.
type directory struct{ tenancy *tenancy }

// Identify returns the key of a tenant that sends on the route. On routes of several tenants, some clients have a key
// that was dropped, that never was, or none, and some claim to be another tenant.
func (d directory) Identify(route *config.Route, rng *rand.Rand) (identity load.Identity) {
	if rng.IntN(10) == 0 {
		identity.Claimed = wrongName
	}
	switch route.Name {
	case routeFlood:
		identity.Key = d.JobKey(tenantFlooder, rng)
		return identity
	case routeModest:
		identity.Key = d.JobKey(tenantModest, rng)
		return identity
	}
	tenant := []string{tenantWide, tenantOpen}[rng.IntN(2)]
	switch n := rng.IntN(100); {
	case route.Public && n < 70:
	case n < 2:
		identity.Key = unknownKey
	case n < 4: // no key
	case n < 15:
		identity.Key = wanderingKey
	case n < 25:
		keys := d.tenancy.everHeld(tenant)
		identity.Key = keys[rng.IntN(len(keys))]
	default:
		identity.Key = d.JobKey(tenant, rng)
	}
	return identity
}

// JobTenant returns the tenant of a job.
func (d directory) JobTenant(n int) string {
	return []string{tenantWide, tenantOpen, tenantModest, tenantFlooder}[n%4]
}

// JobKey returns a key that the newest acknowledged configuration gives to the tenant, and that no other tenant ever
// has.
func (d directory) JobKey(tenant string, rng *rand.Rand) string {
	keys := d.tenancy.keysOf(tenant)
	return keys[rng.IntN(len(keys))]
}
