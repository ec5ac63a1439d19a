package keeper

import (
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/platform/link"
)

const (
	// contactReadTimeout bounds the read that probes the majority. Operations ahead of it in the register's queue
	// establish contact themselves, see countingAsContact.
	contactReadTimeout = 700 * time.Millisecond
	// attachReadTimeout bounds the reads for processes that have attached.
	attachReadTimeout = time.Second
	// minContactDelay keeps the contact timer from spinning.
	minContactDelay = time.Millisecond
)

// inContact reports whether a majority of the voters has answered recently. Any goroutine may call it. Call it right
// before each answer that depends on contact, because contact expires with time.
func (k *Keeper) inContact() bool {
	return time.Since(k.startedAt) < time.Duration(k.contactUntil.Load())
}

// stepContact probes the majority if that is due, reports a change of contact, and sets the timer for the next step.
func (k *Keeper) stepContact() {
	now := k.sinceStart(time.Now())
	if k.contact.CheckDue(now) {
		k.probeMajority(now)
	}
	k.beginAttachRead(now)
	k.contactUntil.Store(int64(k.contact.ContactUntil()))
	if inContact := k.contact.InContact(now); inContact != k.reportedContact {
		k.reportedContact = inContact
		k.contactChanged(now)
	}
	k.setContactTimer(now)
}

// setContactTimer sets the timer for steps that can't wait for the next tick.
func (k *Keeper) setContactTimer(now time.Duration) {
	at, needed := k.contact.NextDeadline(now)
	delay := at - now
	if readDelay, waits := k.contact.ReadDelay(now); waits && (!needed || readDelay < delay) {
		delay, needed = readDelay, true
	}
	if !needed {
		k.contactTimer.Stop()
		return
	}
	k.contactTimer.Reset(max(delay, minContactDelay))
}

// contactChanged reports to the other keepers and the attached processes that contact was established or lost.
func (k *Keeper) contactChanged(now time.Duration) {
	if k.reportedContact {
		k.log.Info("contact with a majority", "after", now)
	} else {
		contactLosses.Inc()
		k.log.Warn("no contact with a majority")
	}
	k.broadcastReport()
	k.pushNeeded = true
}

// probeMajority checks contact by a linearizable read of the configuration register.
func (k *Keeper) probeMajority(beganAt time.Duration) {
	k.contact.CheckStarted(beganAt)
	k.registers.read(configRegister, contactReadTimeout, func(s paxos.State, err error) {
		k.post(func() {
			if err == nil {
				k.applyDecided(configRegister, s)
			}
			k.contact.CheckEnded(k.sinceStart(time.Now()), beganAt, err == nil)
		})
	})
}

// countingAsContact wraps the callback of an operation on the configuration register. A successful operation proves
// contact with a majority, which counts from before the operation began.
func (k *Keeper) countingAsContact(done resultFunc) resultFunc {
	beganAt := k.sinceStart(time.Now())
	return func(s paxos.State, err error) {
		if err == nil {
			k.post(func() { k.contact.Confirmed(k.sinceStart(time.Now()), beganAt) })
		}
		done(s, err)
	}
}

// beginAttachRead reads all registers for the processes that have attached since the last such read began. Without it,
// a keeper that was partitioned until a moment ago could push an outdated configuration.
func (k *Keeper) beginAttachRead(now time.Duration) {
	if !k.contact.BeginRead(now) {
		return
	}
	pending, allRead := len(registerNames), true
	for _, name := range registerNames {
		k.registers.read(name, attachReadTimeout, func(s paxos.State, err error) {
			k.post(func() {
				if err == nil {
					k.applyDecided(name, s)
				}
				allRead = allRead && err == nil
				if pending--; pending == 0 {
					k.contact.EndRead(allRead)
					k.pushNeeded = true
				}
			})
		})
	}
}

// encodeContact encodes the reply to an InContact call: whether this keeper is in contact with a majority.
func (k *Keeper) encodeContact() []byte {
	w := link.Writer{}
	w.Bool(k.contact.InContact(k.sinceStart(time.Now())))
	return w.Buf
}
