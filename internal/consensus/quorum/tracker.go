package quorum

import "time"

const (
	// ContactTimeout is how long contact lasts, counted from the start of the check. It exceeds the idle timeout of
	// links (1.3 s), so that one lost check does not end contact.
	ContactTimeout = 1500 * time.Millisecond
	// CheckInterval is the minimum time between the starts of two checks while checks succeed. A keeper in contact
	// looks every 200 ms whether a check is due, so the actual interval is about 400 ms.
	CheckInterval = 350 * time.Millisecond
	// RetryDelay is the pause after a check that no majority answered.
	RetryDelay = 100 * time.Millisecond
)

// Tracker tracks contact with a majority of the voters. The zero Tracker has no contact.
type Tracker struct {
	latest    time.Duration // time of the latest step
	checking  bool
	nextCheck time.Duration
	until     time.Duration // end of contact; 0: there was never contact
	since     time.Duration // start of the current uninterrupted contact
}

// advance returns the time of a step. Times never decrease from one step to the next.
func (t *Tracker) advance(now time.Duration) time.Duration {
	t.latest = max(t.latest, now)
	return t.latest
}

// CheckDue reports whether a check should start now. A check is an operation that a majority has to answer.
func (t *Tracker) CheckDue(now time.Duration) bool {
	return !t.checking && t.advance(now) >= t.nextCheck
}

// CheckStarted records the start of a check. CheckDue returns false until the check ends.
func (t *Tracker) CheckStarted(now time.Duration) {
	t.nextCheck = t.advance(now) + CheckInterval
	t.checking = true
}

// CheckEnded records the end of the check that started at startedAt; ok reports whether a majority answered it. Contact
// counts from the start of the check, because the voters may have answered at any moment since then.
func (t *Tracker) CheckEnded(now, startedAt time.Duration, ok bool) {
	now = t.advance(now)
	t.checking = false
	if !ok {
		t.nextCheck = now + RetryDelay
		return
	}
	t.Confirmed(now, startedAt)
}

// Confirmed records that a majority has answered an operation (a check or any other) that started at startedAt.
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

// InContact reports whether there is contact now. Callers check it immediately before each answer and each push.
func (t *Tracker) InContact(now time.Duration) bool { return t.advance(now) < t.until }

// ContactDuration returns how long contact has lasted without interruption; 0 without contact.
func (t *Tracker) ContactDuration(now time.Duration) time.Duration {
	if !t.InContact(now) {
		return 0
	}
	return t.latest - t.since
}

// ContactUntil returns when contact ends unless another confirmation arrives first.
func (t *Tracker) ContactUntil() time.Duration { return t.until }

// NextDeadline returns the time of the next step that must not be late: the end of contact or, without contact, the
// next check. It returns false if there is no deadline until the check in progress ends. Checks during contact are not
// deadlines: they may wait until the keeper has other work to do.
func (t *Tracker) NextDeadline(now time.Duration) (next time.Duration, ok bool) {
	if t.InContact(now) {
		return t.until, true
	}
	return t.nextCheck, !t.checking
}
