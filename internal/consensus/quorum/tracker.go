// Package contact decides what a keeper may say of the agreed registers. A keeper is in contact while a majority of
// the voters has answered it recently; contact runs out by itself. The package is stepped: it has no clock, no links
// and no goroutines. Times are on the steady clock of the keeper's life.
package quorum

import "time"

const (
	// Length is how long contact lasts, from the moment at which the question was asked. It is above the silence
	// after which links are closed (1.3 s), so that one lost question does not end it.
	Length = 1500 * time.Millisecond
	// AskEvery is how far apart questions are at least while they are answered. A keeper in contact looks at it every
	// 200 ms, which makes it about 400 ms.
	AskEvery = 350 * time.Millisecond
	// RetryAfter is the pause after a question that no majority answered.
	RetryAfter = 100 * time.Millisecond
)

// Tracker keeps contact with a majority of the voters.
type Tracker struct {
	latest  time.Duration // no step is before it
	asking  bool
	nextAsk time.Duration
	until   time.Duration // contact's end; 0: there never was any
	since   time.Duration // contact has held without a break from then on
}

// advance gives the time of a step: the clock never goes back.
func (t *Tracker) advance(now time.Duration) time.Duration {
	t.latest = max(t.latest, now)
	return t.latest
}

// Due tells whether the majority is to be asked now.
func (t *Tracker) Due(now time.Duration) bool {
	return !t.asking && t.advance(now) >= t.nextAsk
}

// Asked takes note that a question is on its way. Due is false until it is answered or has failed.
func (t *Tracker) Asked(now time.Duration) {
	t.nextAsk = t.advance(now) + AskEvery
	t.asking = true
}

// Answered ends the question. Contact is counted from when it was asked, as nothing is known of the time since.
func (t *Tracker) Answered(now, askedAt time.Duration, ok bool) {
	now = t.advance(now)
	t.asking = false
	if !ok {
		t.nextAsk = now + RetryAfter
		return
	}
	t.Confirmed(now, askedAt)
}

// Confirmed takes note that a majority has answered some operation that began at a moment.
func (t *Tracker) Confirmed(now, beganAt time.Duration) {
	now = t.advance(now)
	until := beganAt + Length
	if until <= now || until <= t.until {
		return
	}
	if !t.Holds(now) {
		t.since = now
	}
	t.until = until
}

// Holds tells whether there is contact now. It is asked right before each thing that is said.
func (t *Tracker) Holds(now time.Duration) bool { return t.advance(now) < t.until }

// HeldFor is for how long there has been contact without a break; 0 without any.
func (t *Tracker) HeldFor(now time.Duration) time.Duration {
	if !t.Holds(now) {
		return 0
	}
	return t.latest - t.since
}

// Until is when contact ends, unless another answer comes before.
func (t *Tracker) Until() time.Duration { return t.until }

// Next is the moment that may not be missed: the end of contact, or without contact the next question. Not ok: there
// is none before an answer comes. With contact, questions may wait for a time at which there is something else to do.
func (t *Tracker) Next(now time.Duration) (next time.Duration, ok bool) {
	if t.Holds(now) {
		return t.until, true
	}
	return t.nextAsk, !t.asking
}
