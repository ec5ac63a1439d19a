package keeper

import (
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/platform/link"
)

const (
	// contactRead bounds the read by which a majority is asked. Operations that are ahead of it in the register's
	// queue count as answers themselves.
	contactRead = 700 * time.Millisecond
	// attachRead bounds the reads for processes that have attached.
	attachRead = time.Second
)

// inContact tells whether a majority has answered recently. It may be called from any goroutine, and is to be looked
// at right before each thing that is said.
func (k *Keeper) inContact() bool {
	return time.Since(k.life) < time.Duration(k.contactUntil.Load())
}

// stepContact asks the majority where that is due, tells of a change, and sets the timer for the next step.
func (k *Keeper) stepContact() {
	now := k.since(time.Now())
	if k.contact.Due(now) {
		k.askMajority(now)
	}
	k.beginAttachRead(now)
	k.contactUntil.Store(int64(k.contact.Until()))
	if holds := k.contact.Holds(now); holds != k.hadContact {
		k.hadContact = holds
		k.contactChanged(now)
	}
	k.setContactTimer(now)
}

// setContactTimer sets the timer for what can't wait for the next tick.
func (k *Keeper) setContactTimer(now time.Duration) {
	at, needed := k.contact.Next(now)
	delay := at - now
	if read, waits := k.contact.ReadDelay(now); waits && (!needed || read < delay) {
		delay, needed = read, true
	}
	if !needed {
		k.contactTimer.Stop()
		return
	}
	k.contactTimer.Reset(max(delay, time.Millisecond))
}

// contactChanged tells the others and the attached processes.
func (k *Keeper) contactChanged(now time.Duration) {
	if k.hadContact {
		k.log.Info("contact with a majority", "after", now)
	} else {
		contactLosses.Inc()
		k.log.Warn("no contact with a majority")
	}
	k.sendReports()
	k.dirty = true
}

// askMajority asks by a read of the configuration's register.
func (k *Keeper) askMajority(askedAt time.Duration) {
	k.contact.Asked(askedAt)
	k.agree.read(configRegister, contactRead, func(s paxos.State, err error) {
		k.post(func() {
			if err == nil {
				k.decided(configRegister, s)
			}
			k.contact.Answered(k.since(time.Now()), askedAt, err == nil)
		})
	})
}

// confirmedSince wraps the end of an operation on a register: one that a majority took part in is contact, counted
// from before it began.
func (k *Keeper) confirmedSince(done func(paxos.State, error)) func(paxos.State, error) {
	beganAt := k.since(time.Now())
	return func(s paxos.State, err error) {
		if err == nil {
			k.post(func() { k.contact.Confirmed(k.since(time.Now()), beganAt) })
		}
		done(s, err)
	}
}

// beginAttachRead reads all registers for the processes that have attached since the last such read began.
func (k *Keeper) beginAttachRead(now time.Duration) {
	if !k.contact.BeginRead(now) {
		return
	}
	left, allRead := len(registerNames), true
	for _, name := range registerNames {
		k.agree.read(name, attachRead, func(s paxos.State, err error) {
			k.post(func() {
				if err == nil {
					k.decided(name, s)
				}
				allRead = allRead && err == nil
				if left--; left == 0 {
					k.contact.ReadDone(allRead)
					k.dirty = true
				}
			})
		})
	}
}

// contactBody tells whether this keeper is in contact, for processes that look for one that is.
func (k *Keeper) contactBody() []byte {
	w := link.Writer{}
	w.Bool(k.contact.Holds(k.since(time.Now())))
	return w.B
}
