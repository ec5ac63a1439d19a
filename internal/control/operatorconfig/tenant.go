package operatorconfig

import (
	"math"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxRate is the limit of a rate and of a burst, which keeps sums of tokens exact.
const maxRate = 1e9

// Tenant is a customer of the deployment, identified by the API keys of its clients.
type Tenant struct {
	Name     string   // name: required, unique
	Keys     []string // api_keys: keys of its clients; no two tenants share one
	Priority int      // priority: 0 is the highest, and the default; it precedes the priority of routes
	// RatePerSecond (rate_per_s) is the number of requests per second that the tenant may send to all nodes together;
	// 0: no limit.
	RatePerSecond float64
	Burst         float64 // burst: requests above the rate that may come at once
}

// Limited reports whether the number of the tenant's requests is limited.
func (t *Tenant) Limited() bool { return t.RatePerSecond > 0 }

// HasTenants reports whether requests need a key: the configuration has tenants, or a list of none.
func (c *Config) HasTenants() bool { return c != nil && c.Tenants != nil }

// TenantOfKey returns the tenant that a key belongs to; nil if there is none.
func (c *Config) TenantOfKey(key string) *Tenant {
	if c == nil || key == "" {
		return nil
	}
	return c.byKey[key]
}

// Tenant returns a tenant by its name; nil if there is none.
func (c *Config) Tenant(name string) *Tenant {
	if c == nil {
		return nil
	}
	for i := range c.Tenants {
		if c.Tenants[i].Name == name {
			return &c.Tenants[i]
		}
	}
	return nil
}

// readTenants reads the tenants, and indexes them by key.
func readTenants(root object) (tenants []Tenant, byKey map[string]*Tenant) {
	list, present := root.list("customers")
	if !present {
		return nil, nil
	}
	tenants = make([]Tenant, len(list))
	byKey = map[string]*Tenant{}
	pathsByName := map[string]string{}
	for i, o := range list {
		tenants[i] = readTenant(o)
		tenant := &tenants[i]
		if first, duplicate := pathsByName[tenant.Name]; duplicate {
			o.add(&Duplicate, o.pathOf("name"), "%q is also the name of %s; each customer needs its own name", tenant.Name, first)
		}
		pathsByName[tenant.Name] = o.path
		indexKeys(o, tenant, byKey)
	}
	return tenants, byKey
}

func readTenant(o object) Tenant {
	return Tenant{
		Name:          tenantName(o),
		Keys:          o.strings("api_keys"),
		Priority:      o.count("priority"),
		RatePerSecond: o.number("rate_per_s", 0, maxRate, 0),
		Burst:         math.Floor(o.number("burst", 0, maxRate, 0)),
	}
}

// tenantName reads a tenant's name, which endpoints receive as a header field.
func tenantName(o object) string {
	name := o.name("name")
	if strings.TrimSpace(name) != name || !httpguts.ValidHeaderFieldValue(name) {
		o.add(&OutOfRange, o.pathOf("name"),
			"%q; it must be a name without control characters and without spaces around it", name)
	}
	return name
}

// indexKeys adds a tenant's keys to the index. Problems name the tenants but never a key.
func indexKeys(o object, tenant *Tenant, byKey map[string]*Tenant) {
	for _, key := range tenant.Keys {
		other := byKey[key]
		if other != nil && other != tenant {
			o.add(&Duplicate, o.pathOf("api_keys"),
				"customer %q has one of the keys of %q; a key must belong to one customer", tenant.Name, other.Name)
			continue
		}
		byKey[key] = tenant
	}
}
