package quota

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// Limiter decides whether requests of tenants may run now. It is safe for concurrent use.
type Limiter interface {
	// Admit obtains a token for one request of a tenant, whose limit comes from the configuration of the given version. It
	// fails with an *ExceededError if the tenant is over its limit, with an *UnavailableError if nobody could be asked, and
	// with the error of the context.
	Admit(ctx context.Context, tenant *operatorconfig.Tenant, configVersion uint64) (Permit, error)
}

// Permit is a token for one request.
type Permit interface {
	// Refund returns the token, if no endpoint has run the request or will run it. It may be called once.
	Refund()
}

// ExceededError is the error of a request beyond the limit of its tenant.
type ExceededError struct {
	Tenant     string
	RetryAfter time.Duration // after which the limit allows another request
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("tenant %s is over its limit; retry after %v", e.Tenant, e.RetryAfter)
}

// UnavailableError is the error of a request that could not be counted in time.
type UnavailableError struct {
	Tenant     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store that counts the requests of tenant %s does not answer; retry after %v", e.Tenant, e.RetryAfter)
}

// PartitionKey returns the key whose hash gives the partition whose primary counts the requests of a tenant.
func PartitionKey(tenant string) string { return snapshot.RateKey(tenant) }
