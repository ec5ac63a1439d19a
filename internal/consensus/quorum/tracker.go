package quorum

import "time"

const (
	// ContactTimeout is how long contact lasts, from the moment at which the check began. It is above the time after
	// which links on which nothing comes are closed (1.3 s), so that one lost check does not end it.
	ContactTimeout = 1500 * time.Millisecond
	// CheckInterval is how far apart checks begin at least while they succeed. A keeper in contact looks whether one is
	// due every 200 ms, which makes it about 400 ms.
	CheckInterval = 350 * time.Millisecond
	// RetryDelay is the pause after a check that no majority answered.
	RetryDelay = 100 * time.Millisecond
)

// Tracker keeps track of contact with a majority of the voters. The zero Tracker has none.
type Tracker struct {
	latest    time.Duration // no step is before it
	checking  bool
	nextCheck time.Duration
	until     time.Duration // contact's end; 0: there never was any
	since     time.Duration // contact has lasted without a break from then on
}

// advance returns the time of a step: the clock never goes back.
func (t *Tracker) advance(now time.Duration) time.Duration {
	t.latest = max(t.latest, now)
	return t.latest
}

// CheckDue reports whether a check, an operation that a majority has to answer, is to begin now.
func (t *Tracker) CheckDue(now time.Duration) bool {
	return !t.checking && t.advance(now) >= t.nextCheck
}

// CheckStarted notes that a check begins. CheckDue is false until it ends.
func (t *Tracker) CheckStarted(now time.Duration) {
	t.nextCheck = t.advance(now) + CheckInterval
	t.checking = true
}

// CheckEnded notes the end of the check that began at startedAt, and whether a majority answered it. Contact is counted
// from its beginning, as nothing is known of the time since.
func (t *Tracker) CheckEnded(now, startedAt time.Duration, ok bool) {
	now = t.advance(now)
	t.checking = false
	if !ok {
		t.nextCheck = now + RetryDelay
		return
	}
	t.Confirmed(now, startedAt)
}

// Confirmed notes that a majority has answered an operation, a check or any other, that began at startedAt.
func (t *Tracker) Confirmed(now, startedAt time.Duration) {
	now = t.advance(now)
	until := startedAt + ContactTimeout
	if until <= now || until <= t.until {
		return
	}
	if !t.InContact(now) {
		t.since = now
	}
	t.until = until
}

// InContact reports whether there is contact now. It is called right before each answer and each push.
func (t *Tracker) InContact(now time.Duration) bool { return t.advance(now) < t.until }

// ContactDuration is for how long there has been contact without a break; 0 without any.
func (t *Tracker) ContactDuration(now time.Duration) time.Duration {
	if !t.InContact(now) {
		return 0
	}
	return t.latest - t.since
}

// ContactUntil is when contact ends, unless another confirmation comes before.
func (t *Tracker) ContactUntil() time.Duration { return t.until }

// NextDeadline is the moment that may not be missed: the end of contact, or without contact the next check. Not ok:
// there is none before the check under way ends. With contact, checks may wait for a time at which there is something
// else to do.
func (t *Tracker) NextDeadline(now time.Duration) (next time.Duration, ok bool) {
	if t.InContact(now) {
		return t.until, true
	}
	return t.nextCheck, !t.checking
}
