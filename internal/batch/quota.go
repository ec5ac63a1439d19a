package batch

import (
	"slices"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/link"
)

// A quota bounds the tokens of a tenant's items on a route that have no result, over all partitions.
// They count on one account (accountKey), whose quota one primary owns (quotaowner.go). The primary
// of a job's partition reserves the tokens of a job with the owner before it orders the job, and
// reports to the owner how many tokens are in use in its partition. This file has that primary's
// side.

// accountUsage is the number of tokens of an account that are in use in a partition, as its primary
// knows it.
type accountUsage struct {
	tokens  int64
	changed bool // since the last report
	sentAt  int64
}

// reservation is an unanswered request for tokens.
type reservation struct {
	account  string
	number   uint64 // unique in the incarnation of the primary
	job      *incomingJob
	deadline int64
	sent     bool
	sentTo   uint64 // the store
	retryAt  int64  // if it was not sent, or the owner was unavailable
}

// incomingJob is a submitted job that waits for its tokens. It is not on any disk yet.
type incomingJob struct {
	encoded   []byte
	id        string
	tenant    string // that submitted it
	account   string // on which its tokens count
	tokens    int64
	maxTokens int64 // the quota
	callers   []Caller
}

func (j *incomingJob) reply(code uint8) {
	for _, caller := range j.callers {
		replyCode(caller, code)
	}
	j.callers = nil
}

// accountSeparator stands between the names of route and tenant in the key of an account. If a name
// had it too, two accounts could at most count together, which refuses more jobs, never fewer.
const accountSeparator = "\x00"

// accountKey returns the key of the account on which the tokens of a tenant's jobs on a route count.
// It is on the wire. Jobs without a tenant have the account that versions without tenants use.
func accountKey(route, tenant string) string {
	if tenant == "" {
		return route
	}
	return route + accountSeparator + tenant
}

// quotaKey returns the key whose hash gives the partition whose primary owns an account's quota.
func quotaKey(account string) string { return "quota:" + account }

// quotaOwner returns the partition whose primary owns an account's quota, and the store that is that
// primary. The partition is -1 if there is none.
func (c *core) quotaOwner(account string) (partition int, store uint64) {
	partition = c.table.PartitionOf(quotaKey(account))
	if partition < 0 {
		return -1, 0
	}
	return partition, c.table.Partitions[partition].Primary
}

// quotaInForce returns the quota that a submitted job has to fit into; 0: none. A job states the quota of the configuration
// of the proxy that accepted it. The proxy or this store may be out of touch, so the newer configuration of the two decides.
// If that no longer has the job's route, the job's own quota stays: its items are abandoned without being run.
func (c *core) quotaInForce(j *job) int64 {
	if c.config == nil || c.config.Version <= j.configVersion {
		return j.maxQueuedTokens
	}
	if route := c.accountRoute(j); route != nil {
		return route.MaxQueuedTokens
	}
	return j.maxQueuedTokens
}

// accountRoute returns the bulk route whose quota bounds the account of a job; nil if there is none. An account has the
// name of a route, so the route of that name comes before the one by which the job runs (routeOf).
func (c *core) accountRoute(j *job) *operatorconfig.Route {
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		if route.Kind == operatorconfig.Bulk && route.Name == j.route {
			return route
		}
	}
	return c.routeOf(j)
}

// encodeQuotaMessage begins a message between a primary and the owner of a quota. It reserves
// capacity for extraBytes more bytes.
func encodeQuotaMessage(account string, partition int, incarnation uint64, extraBytes int) link.Writer {
	w := link.Writer{Buf: make([]byte, 0, 4+len(account)+4+8+extraBytes)}
	w.String(account)
	w.U32(uint32(partition))
	w.U64(incarnation)
	return w
}

// sendQuotaMessage sends a message to another store, or handles it here if the pipe is nil.
func (c *core) sendQuotaMessage(pipe Pipe, kind link.Kind, body []byte) {
	if pipe == nil {
		r := link.Reader{Buf: body}
		c.handleQuotaMessage(nil, kind, &r)
		return
	}
	c.send(pipe, kind, body)
}

// handleQuotaMessage handles a message between a primary and the owner of a quota.
func (c *core) handleQuotaMessage(pipe Pipe, kind link.Kind, r *link.Reader) {
	account, index, incarnation := r.String(), int(r.U32()), r.U64()
	if r.Err != nil || c.table == nil || index < 0 || index >= len(c.table.Partitions) {
		return
	}
	switch kind {
	case kindReserveTokens:
		request := pendingReservation{
			pipe:        pipe,
			partition:   index,
			incarnation: incarnation,
			number:      r.U64(),
			tokens:      int64(r.Int()),
			maxTokens:   int64(r.Int()),
			deadline:    c.nowMs + reservationWaitMs,
		}
		if r.Err == nil {
			c.handleReservation(account, request)
		}
	case kindUsageReport:
		report := partitionUsage{
			incarnation:          incarnation,
			epoch:                r.U64(),
			version:              r.U64(),
			tokens:               int64(r.Int()),
			resolvedReservations: r.U64(),
		}
		if r.Err == nil {
			c.handleUsageReport(account, index, report)
		}
	case kindReservationReply:
		number, code, owner := r.U64(), r.U8(), r.U64()
		if p := c.partition(index); r.Err == nil && p.primary != nil && p.primary.incarnation == incarnation {
			c.handleReservationReply(p, number, code, owner)
		}
	case kindUsageRequest:
		c.handleUsageRequest(c.partition(index), account, incarnation, pipe)
	}
}

// reserveTokens requests a job's tokens from the owner of the quota.
func (c *core) reserveTokens(p *partition, job *incomingJob) {
	primary := p.primary
	primary.lastReservation++
	r := &reservation{
		account:  job.account,
		number:   primary.lastReservation,
		job:      job,
		deadline: c.nowMs + reservationWaitMs,
	}
	primary.reservations[r.number] = r
	c.sendReservation(p, r)
}

// sendReservation sends a reservation if the owner is connected; otherwise tickQuota retries.
func (c *core) sendReservation(p *partition, r *reservation) {
	_, store := c.quotaOwner(r.account)
	pipe := c.peers[store]
	if pipe == nil && store != c.self {
		return
	}
	r.sent, r.sentTo = true, store
	w := encodeQuotaMessage(r.account, p.index, p.primary.incarnation, 24)
	w.U64(r.number)
	w.Int(int(r.job.tokens))
	w.Int(int(r.job.maxTokens))
	c.sendQuotaMessage(pipe, kindReserveTokens, w.Buf)
}

// resendReservations marks the reservations that were sent to a store over a closed connection for
// sending again.
func (s *primaryState) resendReservations(store uint64) {
	for _, r := range s.reservations {
		if r.sentTo == store {
			r.sent = false
		}
	}
}

// handleReservationReply handles the answer to a reservation. Owner is the incarnation of the
// quota's owner: a grant is ignored if a newer owner has already requested the usage, as the newer
// one does not know of the grant.
func (c *core) handleReservationReply(p *partition, number uint64, code uint8, owner uint64) {
	primary := p.primary
	r := primary.reservations[number]
	if r == nil {
		return
	}
	if code == codeUnavailable || owner < p.quotaOwnerIncarnations[r.account] {
		r.sent, r.retryAt = false, c.nowMs+reservationRetryMs
		return
	}
	p.quotaOwnerIncarnations[r.account] = owner
	primary.resolveReservation(r)
	if code != codeOK {
		r.job.reply(code)
		return
	}
	c.replicateAccept(p, r.job)
}

// resolveReservation completes a reservation. The next usage report includes this.
func (s *primaryState) resolveReservation(r *reservation) {
	delete(s.reservations, r.number)
	delete(s.incomingJobs, r.job.id)
	s.usageOf(r.account).changed = true
}

// resolvedReservations returns the number up to which all reservations are resolved.
func (s *primaryState) resolvedReservations() uint64 {
	resolved := s.lastReservation
	for number := range s.reservations {
		resolved = min(resolved, number-1)
	}
	return resolved
}

func (s *primaryState) usageOf(account string) *accountUsage {
	usage := s.usage[account]
	if usage == nil {
		usage = &accountUsage{sentAt: never}
		s.usage[account] = usage
	}
	return usage
}

// addUsage adds to the tokens of an account that are in use, or subtracts if the number is negative.
func (c *core) addUsage(p *partition, account string, tokens int64) {
	if primary := p.primary; primary != nil && tokens != 0 {
		usage := primary.usageOf(account)
		usage.tokens += tokens
		usage.changed = true
	}
}

// sendUsage reports to the owner of an account's quota how many tokens are in use here.
func (c *core) sendUsage(p *partition, account string, pipe Pipe) {
	primary := p.primary
	usage := primary.usageOf(account)
	primary.usageVersion++
	w := encodeQuotaMessage(account, p.index, primary.incarnation, 32)
	w.U64(p.epoch)
	w.U64(primary.usageVersion)
	w.Int(int(usage.tokens))
	w.U64(primary.resolvedReservations())
	usage.changed, usage.sentAt = false, c.nowMs
	c.sendQuotaMessage(pipe, kindUsageReport, w.Buf)
}

// sendUsageTo reports the usage of all accounts whose quota a store owns.
func (c *core) sendUsageTo(p *partition, store uint64) {
	for _, account := range sortedKeys(p.primary.usage) {
		if _, owner := c.quotaOwner(account); owner == store {
			c.sendUsage(p, account, c.peers[store])
		}
	}
}

// sendChangedUsage reports the usage that has changed, at a limited rate.
func (c *core) sendChangedUsage() {
	for _, p := range c.partitions {
		if p.primary == nil || !p.primary.serving {
			continue
		}
		for _, account := range c.reportableAccounts(p.primary) {
			_, owner := c.quotaOwner(account)
			if pipe := c.peers[owner]; pipe != nil || owner == c.self {
				c.sendUsage(p, account, pipe)
			}
		}
	}
}

// reportableAccounts returns the accounts whose usage has changed and may be reported now, in order. There may be many
// accounts, of which few change at a time.
func (c *core) reportableAccounts(primary *primaryState) (accounts []string) {
	for account, usage := range primary.usage {
		if usage.changed && c.nowMs-usage.sentAt >= usageReportMs {
			accounts = append(accounts, account)
		}
	}
	slices.Sort(accounts)
	return accounts
}

// handleUsageRequest handles a usage request from the owner of a quota. From then on, grants of
// older owners are ignored.
func (c *core) handleUsageRequest(p *partition, account string, owner uint64, pipe Pipe) {
	if p.primary == nil || !p.primary.serving || owner < p.quotaOwnerIncarnations[account] {
		return
	}
	p.quotaOwnerIncarnations[account] = owner
	c.sendUsage(p, account, pipe)
}

// tickQuota retries what was not answered, and rejects what has timed out.
func (c *core) tickQuota() {
	for _, p := range c.partitions {
		primary := p.primary
		if primary == nil {
			continue
		}
		c.retryReservations(p)
		c.refreshAccounts(primary)
	}
	c.sendChangedUsage()
}

func (c *core) retryReservations(p *partition) {
	primary := p.primary
	for _, number := range sortedKeys(primary.reservations) {
		r := primary.reservations[number]
		switch {
		case r == nil: // answered in the meantime
		case c.nowMs >= r.deadline:
			primary.resolveReservation(r)
			r.job.reply(codeUnavailable)
		case !r.sent && c.nowMs >= r.retryAt:
			c.sendReservation(p, r)
		}
	}
}
