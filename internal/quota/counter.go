package quota

import "time"

const (
	// LeadValidity is how long a confirmation that no other store leads a partition lets a store grant. Confirmations
	// are requested from each replica at a third of that, while tenants ask.
	LeadValidity = 600 * time.Millisecond
	// clockMargin covers clocks whose rates differ by 1 in 100 either way: 0.6 s on the fastest last 0.612 s on the
	// slowest. Twice as much is left for the resolution of the times.
	clockMargin = 24 * time.Millisecond
	// takeoverWait is how long a new lead grants nothing. Its predecessor's last confirmation was before it served.
	takeoverWait = LeadValidity + clockMargin

	confirmAfter = LeadValidity / 3

	// Times after which a proxy may ask again.
	notLeadingRetry  = 50 * time.Millisecond // when a newer partition table may have arrived
	unconfirmedRetry = 5 * time.Millisecond  // when replicas may have answered
	overfullRetry    = time.Second

	// maxAccounts bounds the tenants for which one store counts. Further ones are refused.
	maxAccounts = 4096
	// sweepInterval is how often accounts that are no longer needed are dropped.
	sweepInterval = time.Second
)

// counter counts the requests of tenants for one store. It has no clock and is not safe for concurrent use.
//
// Invariant: at no time do two stores grant tokens of one tenant. A store grants only while its lead was confirmed at
// most LeadValidity ago, and not before takeoverWait has passed since it serves; when it began to serve, all
// confirmations of earlier leads lay in the past (see docs/quotas.md).
type counter struct {
	leadership Leadership
	slack      Slack
	start      time.Time // the zero of all times in ms
	accounts   map[string]*account
	nextSweep  time.Time
}

// account is what a store knows of a tenant under its present lead.
type account struct {
	lead          uint64 // its incarnation
	configVersion uint64 // of the limit
	bucket        *bucket
	usedAt        time.Time
}

func newCounter(leadership Leadership, slack Slack, start time.Time) *counter {
	return &counter{leadership: leadership, slack: slack, start: start, accounts: map[string]*account{}}
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
	if wait := lead.ServingSince.Add(takeoverWait).Sub(now); wait > 0 {
		return notOwner(wait)
	}
	if now.Sub(lead.ConfirmedAt) > LeadValidity {
		return notOwner(unconfirmedRetry)
	}
	if !d.Limit.Valid() {
		return notOwner(overfullRetry)
	}
	a := c.account(d, &lead, now)
	if a == nil {
		return notOwner(overfullRetry)
	}
	return c.grant(a, d, now)
}

// account returns the account of a demand's tenant under a lead; nil if there are too many.
func (c *counter) account(d *Demand, lead *Lead, now time.Time) *account {
	a := c.accounts[d.Tenant]
	if a == nil && len(c.accounts) >= maxAccounts {
		return nil
	}
	if a == nil || a.lead != lead.Incarnation {
		a = &account{
			lead:          lead.Incarnation,
			configVersion: d.Limit.ConfigVersion,
			bucket:        c.open(&d.Limit, lead, now),
		}
		c.accounts[d.Tenant] = a
	}
	if d.Limit.ConfigVersion > a.configVersion {
		a.configVersion = d.Limit.ConfigVersion
		a.bucket.setPace(c.ms(now), c.slack.paceOf(&d.Limit))
		a.bucket.lower(c.open(&d.Limit, lead, now).level) // the first demand may have stated a higher limit that is old
	}
	a.usedAt = now
	return a
}

// open returns the bucket of a tenant that has had no account under a lead. Its level is what a bucket that was opened
// at the end of the lead's wait would have by now. It gains nothing during the wait, as the bucket of the predecessor may
// have gained until then.
func (c *counter) open(l *Limit, lead *Lead, now time.Time) *bucket {
	p := c.slack.paceOf(l)
	b := newBucket(p, c.ms(lead.ServingSince.Add(takeoverWait)), c.firstLevel(l, lead))
	b.advance(c.ms(now))
	return b
}

// firstLevel returns the level with which a tenant's bucket begins under a lead. It is full if the partition had no lead
// before. It is empty if this process can't tell how many other leads there were within a window, as each of them may
// have granted its part of the slack.
func (c *counter) firstLevel(l *Limit, lead *Lead) microTokens {
	p := c.slack.paceOf(l)
	switch {
	case lead.First:
		return p.capacity
	case lead.ServingSince.Sub(lead.PredecessorSince) < c.slack.Window+takeoverWait:
		return 0
	}
	return min(p.capacity, c.slack.takeoverLevel(l))
}

// grant grants what the bucket has.
func (c *counter) grant(a *account, d *Demand, now time.Time) Answer {
	nowMs := c.ms(now)
	for _, refund := range d.Refunds {
		if refund.Grant.Lead == a.lead {
			a.bucket.refund(nowMs, int64(refund.Grant.AtMs), refund.Tokens)
			refundsReceived.Add(int(refund.Tokens))
		}
	}
	granted := a.bucket.take(nowMs, d.Wanted)
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
		if !leads || lead.Incarnation != a.lead || a.bucket.full(c.ms(now)) {
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
