package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// Headers that identify clients.
const (
	headerAuthorization = "Authorization"
	headerTenant        = "X-Dunetide-Tenant"
	scheme              = "Token"
)

// itemKey is the key that clients write into the headers of some items. No tenant has it, and no endpoint may see it.
const itemKey = "key-of-an-item"

// Identity is what a client states about itself in one attempt.
type Identity struct {
	Key     string // in Authorization; without one there is no such header
	Claimed string // in an X-Dunetide-Tenant of the client's own; without one there is no such header
}

// Directory tells clients how to identify themselves. It is safe for concurrent use.
type Directory interface {
	// Identify returns the identity for one attempt on a route.
	Identify(route *operatorconfig.Route, rng *rand.Rand) Identity
	// JobTenant returns the name of the tenant to which a job belongs, by the job's number.
	JobTenant(n int) string
	// JobKey returns a key for a call about a job of a tenant.
	JobKey(tenant string, rng *rand.Rand) string
}

// Denial is a call about a batch job that was answered 401 or 403.
type Denial struct {
	Job    string
	Front  string // the address that the call went to
	Key    string
	Sent   time.Time
	Ended  time.Time
	Status int
}

// set adds the headers of the identity.
func (i Identity) set(header http.Header) {
	if i.Key != "" {
		header.Set(headerAuthorization, scheme+" "+i.Key)
	}
	if i.Claimed != "" {
		header.Set(headerTenant, i.Claimed)
	}
}

// identify sets the headers of a call about the job and returns the key; empty without tenants.
func (j *job) identify(header http.Header) (key string) {
	if j.options.Directory == nil {
		return ""
	}
	key = j.options.Directory.JobKey(j.tenant, j.rng)
	Identity{Key: key}.set(header)
	return key
}

// misleadEndpoint writes a key and a tenant's name into the headers of some items.
func (j *job) misleadEndpoint(it *item) {
	if j.options.Directory == nil || len(j.order)%4 != 0 {
		return
	}
	it.Headers[headerAuthorization] = fmt.Sprintf("%s %s", scheme, itemKey)
	it.Headers[headerTenant] = "another-tenant"
}

// recordDenial records a call about the job that was answered 401 or 403.
func (j *job) recordDenial(front, key string, sentAt time.Time, status int) {
	if status != http.StatusUnauthorized && status != http.StatusForbidden {
		return
	}
	j.ledger.mu.Lock()
	defer j.ledger.mu.Unlock()
	denial := Denial{Job: j.id, Front: front, Key: key, Sent: sentAt, Ended: time.Now(), Status: status}
	j.ledger.denials = append(j.ledger.denials, denial)
}

// owners returns the tenants of all items of jobs, by the items' IDs.
func (b *ledger) owners() map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	owners := map[string]string{}
	for _, j := range b.jobs {
		for id := range j.items {
			owners[id] = j.tenant
		}
	}
	return owners
}
