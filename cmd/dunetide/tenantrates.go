package main

import (
	"dunetide/internal/batch"
	"dunetide/internal/platform/settings"
	"dunetide/internal/quota"
)

// storeLeadership tells the count of tenants' requests which partitions a store leads.
type storeLeadership struct{ store *batch.Store }

// LeadOf implements quota.Leadership.
func (l storeLeadership) LeadOf(key string) (quota.Lead, bool) {
	lead, ok := l.store.LeadOf(key)
	return quota.Lead(lead), ok
}

// Confirm implements quota.Leadership.
func (l storeLeadership) Confirm(key string) { l.store.ConfirmLead(key) }

// Share implements quota.Leadership.
func (l storeLeadership) Share(partition int, incarnation, sequence uint64, state []byte) {
	l.store.ShareLeadState(partition, incarnation, sequence, state)
}

// newQuotaServer returns the server that counts the requests of tenants at a store.
func newQuotaServer(store *batch.Store, bounds *settings.Bounds) *quota.Server {
	return quota.NewServer(storeLeadership{store}, quota.Slack{
		Window: bounds.QuotaWindow,
		Excess: bounds.QuotaExcess,
		Tokens: bounds.QuotaSlack,
	})
}
