package batch

import (
	"slices"
	"strings"
)

// The owner of a quota is the primary of the partition that the account hashes to. It stores
// nothing on disk: a new owner requests the usage of all primaries before it grants anything.

// quotaAccount is the owner's state of an account: for each partition an upper bound of the
// tokens in use there.
type quotaAccount struct {
	key              string // see accountKey
	incarnation      uint64 // of this owner, as a primary
	usage            map[int]*partitionUsage
	pending          []pendingReservation // waiting until the usage of all partitions is known
	usageRequestedAt int64
	refusals         int   // since the last log of one
	refusalLoggedAt  int64 // when a refusal was last logged
	requestingUsage  bool  // guards against reentry, as this store may answer its own request synchronously
}

// partitionUsage is the last report of a partition's primary, and what it was granted since.
type partitionUsage struct {
	incarnation          uint64 // of the primary
	epoch                uint64
	version              uint64 // of the report, unique in the incarnation
	tokens               int64
	resolvedReservations uint64 // up to this number; the report includes their tokens if they were used
	grants               []tokenGrant
}

// tokenGrant is a reservation that was granted and is not resolved.
type tokenGrant struct {
	number uint64
	tokens int64
}

// pendingReservation is an unanswered reservation.
type pendingReservation struct {
	pipe        Pipe // nil: from this store
	partition   int
	incarnation uint64 // of the primary
	number      uint64
	tokens      int64
	maxTokens   int64
	deadline    int64
}

// ownedAccount returns an account; nil if this store does not own the quota, or does
// not serve the owner's partition yet.
func (c *core) ownedAccount(key string) *quotaAccount {
	index, store := c.quotaOwner(key)
	if index < 0 || store != c.self {
		return nil
	}
	primary := c.partition(index).primary
	if primary == nil || !primary.serving {
		return nil
	}
	account := primary.accounts[key]
	if account == nil {
		account = &quotaAccount{
			key:              key,
			incarnation:      primary.incarnation,
			usage:            map[int]*partitionUsage{},
			usageRequestedAt: never,
			refusalLoggedAt:  never,
		}
		primary.accounts[key] = account
	}
	return account
}

// usageOf returns the usage of a partition; an empty one if none was reported.
func (a *quotaAccount) usageOf(partition int) *partitionUsage {
	usage := a.usage[partition]
	if usage == nil {
		usage = &partitionUsage{}
		a.usage[partition] = usage
	}
	return usage
}

// countedTokens returns the upper bound of the tokens in use on the account: those reported, and
// those granted since.
func (a *quotaAccount) countedTokens() (tokens int64) {
	for _, usage := range a.usage {
		tokens += usage.tokens
		for _, grant := range usage.grants {
			tokens += grant.tokens
		}
	}
	return tokens
}

// partitionsWithoutUsage returns the partitions whose usage is not known.
func (a *quotaAccount) partitionsWithoutUsage(partitions int) (missing []int) {
	for index := range partitions {
		if a.usage[index] == nil {
			missing = append(missing, index)
		}
	}
	return missing
}

// handleReservation handles a primary's request for tokens.
func (c *core) handleReservation(key string, request pendingReservation) {
	account := c.ownedAccount(key)
	if account == nil {
		c.sendReservationReply(key, 0, request, codeUnavailable)
		return
	}
	account.pending = append(account.pending, request)
	c.answerPendingReservations(account)
}

// handleUsageReport handles a usage report from a primary. Repeated and outdated reports are
// ignored.
func (c *core) handleUsageReport(key string, partition int, report partitionUsage) {
	account := c.ownedAccount(key)
	if account == nil {
		return
	}
	known := account.usageOf(partition)
	if report.incarnation < known.incarnation ||
		report.incarnation == known.incarnation && report.version <= known.version {
		return
	}
	for _, grant := range known.grants {
		if known.incarnation == report.incarnation && grant.number > report.resolvedReservations {
			report.grants = append(report.grants, grant)
		}
	}
	*known = report
	c.answerPendingReservations(account)
}

// requestUsage requests the usage of partitions from their primaries.
func (c *core) requestUsage(account *quotaAccount, partitions []int) {
	account.usageRequestedAt = c.nowMs
	for _, index := range partitions {
		store := c.table.Partitions[index].Primary
		pipe := c.peers[store]
		if pipe == nil && store != c.self {
			continue
		}
		c.requestUsageFrom(account, index, pipe)
	}
}

// requestUsageFrom requests the usage of a partition from the store at the other end of a pipe, or
// from this store if the pipe is nil.
func (c *core) requestUsageFrom(account *quotaAccount, partition int, pipe Pipe) {
	w := encodeQuotaMessage(account.key, partition, account.incarnation, 0)
	c.sendQuotaMessage(pipe, kindUsageRequest, w.Buf)
}

// answerPendingReservations answers the pending reservations, once the usage of all partitions is
// known.
func (c *core) answerPendingReservations(account *quotaAccount) {
	if len(account.pending) == 0 || account.requestingUsage {
		return
	}
	if missing := account.partitionsWithoutUsage(len(c.table.Partitions)); len(missing) > 0 {
		if c.nowMs-account.usageRequestedAt >= usageRequestMs {
			account.requestingUsage = true
			c.requestUsage(account, missing)
			account.requestingUsage = false
			missing = account.partitionsWithoutUsage(len(c.table.Partitions))
		}
		if len(missing) > 0 {
			return
		}
	}
	pending := account.pending
	account.pending = nil
	for _, request := range pending {
		c.answerReservation(account, request)
	}
}

// answerReservation grants a reservation if the quota allows it. A repeated reservation is counted
// once.
func (c *core) answerReservation(account *quotaAccount, request pendingReservation) {
	usage := account.usageOf(request.partition)
	if request.incarnation < usage.incarnation ||
		request.incarnation == usage.incarnation && request.number <= usage.resolvedReservations {
		return // the primary has been replaced, or the reservation is resolved
	}
	if request.incarnation > usage.incarnation {
		// The usage of this new primary is not known yet. When it begins to serve it reports that of
		// the accounts whose jobs it has, so without jobs it must be asked.
		c.requestUsageFrom(account, request.partition, request.pipe)
		c.sendReservationReply(account.key, account.incarnation, request, codeUnavailable)
		return
	}
	for _, grant := range usage.grants {
		if grant.number == request.number {
			c.sendReservationReply(account.key, account.incarnation, request, codeOK)
			return
		}
	}
	if counted := account.countedTokens(); counted+request.tokens > request.maxTokens {
		c.logRefusal(account, request, counted)
		c.sendReservationReply(account.key, account.incarnation, request, codeQuotaFull)
		return
	}
	usage.grants = append(usage.grants, tokenGrant{request.number, request.tokens})
	c.sendReservationReply(account.key, account.incarnation, request, codeOK)
}

// logRefusal logs that a reservation does not fit into the quota, at a limited rate for each account:
// from the outside a quota that is used up looks like one that counts wrongly.
func (c *core) logRefusal(account *quotaAccount, request pendingReservation, counted int64) {
	account.refusals++
	if c.nowMs-account.refusalLoggedAt < refusalLogMs {
		return
	}
	route, tenant, _ := strings.Cut(account.key, accountSeparator)
	c.log("quota of route %q, tenant %q: %d of %d tokens are waiting, a job needs %d; refused %d times since the last report",
		route, tenant, counted, request.maxTokens, request.tokens, account.refusals)
	account.refusals, account.refusalLoggedAt = 0, c.nowMs
}

// sendReservationReply answers a reservation. Owner is the incarnation of the owner; 0 if this
// store is not the owner.
func (c *core) sendReservationReply(key string, owner uint64, request pendingReservation, code uint8) {
	w := encodeQuotaMessage(key, request.partition, request.incarnation, 17)
	w.U64(request.number)
	w.U8(code)
	w.U64(owner)
	c.sendQuotaMessage(request.pipe, kindReservationReply, w.Buf)
}

// rejectPending rejects the pending reservations, as this store is no longer the owner.
func (a *quotaAccount) rejectPending(c *core) {
	pending := a.pending
	a.pending = nil
	for _, request := range pending {
		c.sendReservationReply(a.key, a.incarnation, request, codeUnavailable)
	}
}

// refreshAccounts drops the reservations that have timed out, answers the others if that is now
// possible, and requests the usage of partitions for which only a primary of an earlier epoch has
// reported usage.
func (c *core) refreshAccounts(primary *primaryState) {
	for _, key := range sortedKeys(primary.accounts) {
		account := primary.accounts[key]
		account.pending = slices.DeleteFunc(account.pending, func(request pendingReservation) bool {
			return c.nowMs >= request.deadline
		})
		c.answerPendingReservations(account)
		if c.nowMs-account.usageRequestedAt < staleUsageMs {
			continue
		}
		var outdated []int
		for index := range c.table.Partitions {
			usage := account.usage[index]
			if usage != nil && usage.tokens+int64(len(usage.grants)) > 0 && usage.epoch < c.table.Partitions[index].Epoch {
				outdated = append(outdated, index)
			}
		}
		if len(outdated) > 0 {
			c.requestUsage(account, outdated)
		}
	}
}
