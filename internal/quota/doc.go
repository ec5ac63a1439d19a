// Package quota limits the rate of each tenant's requests, counted over all proxies.
//
// One store counts for each tenant: the primary of the partition to which the tenant's name hashes. It has a token
// bucket for the tenant, and a proxy obtains a token from it before it sends a request of that tenant to an endpoint. A
// store counts only while it is certain that no other store leads the partition; a new primary waits until the
// certainty of its predecessor has expired. docs/quotas.md has the protocol, its bounds and the alternatives.
package quota
