package batch

import (
	"net/http"
	"strings"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/link"
)

// Headers that say who a request is from. They are the proxy's to set where there are tenants.
const (
	headerTenant        = "X-Dunetide-Tenant"
	headerAuthorization = "Authorization"
)

// Principal is on whose behalf a call about a job is made.
type Principal struct {
	// HasTenants is set where the configuration has tenants. Otherwise each job may be used by everybody.
	HasTenants bool
	// Tenant is the name of the tenant whose key the client has; empty if it has none, as on a public route.
	Tenant string
}

// principalOf returns the principal of a call under a configuration. The tenant was found in the configuration that was in
// force when the call arrived, which may be an older one.
func principalOf(call *Call, config *operatorconfig.Config) Principal {
	return Principal{HasTenants: call.Tenant != "" || config.HasTenants(), Tenant: call.Tenant}
}

// appendTo appends the principal to the end of a message or record. Nothing is appended where there are no tenants, so
// these bytes are those of versions without tenants, which ignore what follows in others.
func (p Principal) appendTo(w *link.Writer) {
	if p.HasTenants {
		w.String(p.Tenant)
	}
}

// readPrincipal reads what appendTo has appended.
func readPrincipal(r *link.Reader) Principal {
	if len(r.Buf) == 0 {
		return Principal{}
	}
	return Principal{HasTenants: true, Tenant: r.String()}
}

// mayUse reports whether a principal may read, end and submit again a job of a tenant. A job without a tenant is
// everybody's: a client without a key, or a program that knew no tenants, has submitted it.
func (p Principal) mayUse(tenant string) bool {
	return !p.HasTenants || tenant == "" || tenant == p.Tenant
}

// identify replaces what a client wrote about itself in an item's headers. The tenant is stored with the item, so the item
// runs as that tenant's also once the client's key has been withdrawn. Without tenants only the name of one is taken out:
// the item may run when a later configuration has tenants.
func (p Principal) identify(headers [][2]string) [][2]string {
	var identified [][2]string
	for _, header := range headers {
		if !p.withholds(header[0]) {
			identified = append(identified, header)
		}
	}
	if p.Tenant != "" {
		identified = append(identified, [2]string{headerTenant, p.Tenant})
	}
	return identified
}

// withholds reports whether a client's header of an item says who the item is from, in any spelling that a proxy would
// send as such.
func (p Principal) withholds(name string) bool {
	switch http.CanonicalHeaderKey(strings.TrimSpace(name)) {
	case headerTenant:
		return true
	case headerAuthorization:
		return p.HasTenants
	}
	return false
}
