package quota

import "time"

const (
	// LeadValidity is how long a confirmation that no other store leads a partition lets a store grant. Confirmations
	// are requested from each replica at a third of that, while tenants ask.
	LeadValidity = 600 * time.Millisecond
	// clockMargin covers clocks whose rates differ by 1 in 100 either way: 0.6 s on the fastest last 0.612 s on the
	// slowest. Twice as much is left for the resolution of the times.
	clockMargin = 24 * time.Millisecond
	// takeoverWait is how long after the last confirmation of earlier leads a new one may grant.
	takeoverWait = LeadValidity + clockMargin

	confirmAfter = LeadValidity / 3

	// Times after which a proxy may ask again.
	notLeadingRetry  = 50 * time.Millisecond // when a newer partition table may have arrived
	unconfirmedRetry = 5 * time.Millisecond  // when replicas may have answered
	sharingRetry     = 2 * time.Millisecond  // when replicas may have acknowledged a state
	overfullRetry    = time.Second

	// maxAccounts bounds the tenants for which one store counts. Further ones are refused.
	maxAccounts = 4096
	// sweepInterval is how often accounts that are no longer needed are dropped.
	sweepInterval = time.Second
)

// counter counts the requests of tenants for one store. It has no clock and is not safe for concurrent use.
//
// Invariant: at no time do two stores grant tokens of one tenant. A store grants only while its lead was confirmed at
// most LeadValidity ago, and not before takeoverWait has passed since the last confirmation of an earlier lead (see
// docs/quotas.md).
type counter struct {
	leadership  Leadership
	slack       Slack
	start       time.Time // the zero of all times in ms
	accounts    map[string]*account
	successions map[int]*succession // by partition
	nextSweep   time.Time
}

// account is what a store knows of a tenant under its present lead.
type account struct {
	partition     int
	lead          uint64 // its incarnation
	configVersion uint64 // of the limit
	bucket        *bucket
	usedAt        time.Time
	heldUpTokens  microTokens // that the newest demand wanted which a floor held up
	heldUpAt      time.Time
}

func newCounter(leadership Leadership, slack Slack, start time.Time) *counter {
	return &counter{
		leadership:  leadership,
		slack:       slack,
		start:       start,
		accounts:    map[string]*account{},
		successions: map[int]*succession{},
	}
}

// answer answers a demand at a time that was read after the demand had arrived.
func (c *counter) answer(d *Demand, clock func() time.Time) Answer {
	key := PartitionKey(d.Tenant)
	lead, leads := c.leadership.LeadOf(key)
	now := clock()
	c.sweep(now)
	if !leads {
		return notOwner(notLeadingRetry)
	}
	if now.Sub(lead.ConfirmedAt) > confirmAfter {
		c.leadership.Confirm(key)
	}
	s := c.successionOf(&lead, now)
	if wait := bucketsFrom(&lead).Sub(now); wait > 0 {
		return notOwner(wait)
	}
	if now.Sub(lead.ConfirmedAt) > LeadValidity {
		return notOwner(unconfirmedRetry)
	}
	if !s.mayGrant(&lead) {
		return notOwner(sharingRetry)
	}
	if !d.Limit.Valid() {
		return notOwner(overfullRetry)
	}
	a := c.account(d, s, &lead, now)
	if a == nil {
		return notOwner(overfullRetry)
	}
	answer := c.grant(a, d, s.floorOf(d.Tenant), now)
	c.shareAsNeeded(s, &lead, d.Tenant, a, now)
	return answer
}

// bucketsFrom returns when the buckets of a lead begin, which may be before it serves. From then on no earlier lead grants.
func bucketsFrom(lead *Lead) time.Time {
	earlierUntil := lead.EarlierUntil
	if earlierUntil.IsZero() || earlierUntil.After(lead.ServingSince) {
		earlierUntil = lead.ServingSince
	}
	return earlierUntil.Add(takeoverWait)
}

// account returns the account of a demand's tenant under a lead; nil if there are too many.
func (c *counter) account(d *Demand, s *succession, lead *Lead, now time.Time) *account {
	a := c.accounts[d.Tenant]
	if a == nil && len(c.accounts) >= maxAccounts {
		return nil
	}
	if a == nil || !a.under(lead) {
		a = &account{
			partition:     lead.Partition,
			lead:          lead.Incarnation,
			configVersion: d.Limit.ConfigVersion,
			bucket:        c.open(&d.Limit, lead, s.inherited[d.Tenant], now),
		}
		c.accounts[d.Tenant] = a
	}
	if d.Limit.ConfigVersion > a.configVersion {
		a.configVersion = d.Limit.ConfigVersion
		c.changePace(a, &d.Limit, lead, s.inherited[d.Tenant], now)
	}
	a.usedAt = now
	return a
}

// changePace lets the bucket of an account follow another limit. The first demand may have stated a higher limit that is
// old, so the bucket has no more than one that was opened with the new limit. Most configurations change no limit: then
// the bucket stays as it is, and grants can be refunded further.
func (c *counter) changePace(a *account, l *Limit, lead *Lead, inherited microTokens, now time.Time) {
	next := c.slack.paceOf(l)
	if next == a.bucket.pace {
		return
	}
	a.bucket.setPace(c.ms(now), next)
	a.bucket.lower(c.open(l, lead, inherited, now).level)
}

// open returns the bucket of a tenant that has had no account under a lead, given the floor that an earlier lead kept. Its
// level is what a bucket that was opened at the end of the lead's wait would have by now. It gains nothing during the
// wait, as the bucket of the predecessor may have gained until then.
func (c *counter) open(l *Limit, lead *Lead, inherited microTokens, now time.Time) *bucket {
	first := max(c.firstLevel(l, lead), inherited)
	b := newBucket(c.slack.paceOf(l), c.ms(bucketsFrom(lead)), first)
	b.advance(c.ms(now))
	return b
}

// firstLevel returns the level with which a tenant's bucket begins under a lead that has inherited no floor. It is full if
// the partition had no lead before. It is empty if this process can't tell how many other leads there were within a
// window, as each of them may have granted its part of the slack.
func (c *counter) firstLevel(l *Limit, lead *Lead) microTokens {
	switch {
	case lead.First:
		return c.slack.paceOf(l).capacity
	case lead.ServingSince.Sub(lead.PredecessorSince) < c.slack.Window+takeoverWait:
		return 0
	}
	return c.slack.takeoverLevel(l)
}

// grant grants what the bucket has. If only the floor stands against it, it grants nothing: a proxy refuses the requests
// of a demand that get no token.
func (c *counter) grant(a *account, d *Demand, floor microTokens, now time.Time) Answer {
	nowMs := c.ms(now)
	for _, refund := range d.Refunds {
		if refund.Grant.Lead == a.lead {
			a.bucket.refund(nowMs, int64(refund.Grant.AtMs), refund.Tokens)
			refundsReceived.Add(int(refund.Tokens))
		}
	}
	if available := microTokens(a.bucket.available(nowMs, d.Wanted)) * token; available > 0 && a.bucket.level-available < floor {
		a.heldUpTokens, a.heldUpAt = available, now
		floorWaits.Inc()
		return notOwner(sharingRetry)
	}
	granted := a.bucket.take(nowMs, d.Wanted)
	if granted > 0 {
		a.heldUpTokens = 0
	}
	tokensGranted.Add(int(granted))
	tokensRefused.Add(int(d.Wanted - granted))
	return Answer{
		Outcome:    Granted,
		Granted:    granted,
		RetryAfter: a.bucket.retryAfter(),
		Grant:      GrantID{Lead: a.lead, AtMs: uint64(nowMs)},
	}
}

// sweep drops the accounts that were not used for two windows and that say no more than a new one would: their bucket
// is full, or they belong to a lead that has ended.
func (c *counter) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	for tenant, a := range c.accounts {
		if now.Sub(a.usedAt) < 2*c.slack.Window {
			continue
		}
		lead, leads := c.leadership.LeadOf(PartitionKey(tenant))
		if !leads || !a.under(&lead) || a.bucket.full(c.ms(now)) {
			delete(c.accounts, tenant)
		}
	}
	accountsHeld.Set(float64(len(c.accounts)))
}

// ms returns a time in ms. One before the start counts as the start.
func (c *counter) ms(t time.Time) int64 { return max(0, t.Sub(c.start).Milliseconds()) }

func notOwner(retryAfter time.Duration) Answer {
	demandsUnanswered.Inc()
	return Answer{Outcome: NotOwner, RetryAfter: retryAfter}
}
