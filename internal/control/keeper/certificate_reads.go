package keeper

import (
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/platform/link"
)

const (
	// confirmReadTimeout bounds a read of the certificates register for Confirm calls.
	confirmReadTimeout = 700 * time.Millisecond
	// confirmInterval is the minimum time between the starts of two such reads, regardless of the number of callers.
	confirmInterval = 100 * time.Millisecond
)

// confirmCertificates reads the newest certificates from a majority, for all Confirm calls that arrive before the read
// begins. The certificates are pushed before the calls are answered, on the same links.
func (k *Keeper) confirmCertificates() {
	delay, needed := k.certificateReads.Delay(k.sinceStart(time.Now()))
	if !needed {
		return
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { k.submit(k.confirmCertificates) })
		return
	}
	k.readCertificates()
}

func (k *Keeper) readCertificates() {
	if !k.certificateReads.Begin(k.sinceStart(time.Now())) {
		return
	}
	k.registers.read(certificatesRegister, confirmReadTimeout, func(s paxos.State, err error) {
		k.post(func() { k.certificatesRead(s, err) })
	})
}

// certificatesRead answers the Confirm calls of a completed read, and begins the next one if calls are waiting.
func (k *Keeper) certificatesRead(s paxos.State, err error) {
	if err == nil {
		k.applyDecided(certificatesRegister, s)
		if k.pushNeeded {
			k.pushAll()
		}
	}
	for _, m := range k.certificateReads.End() {
		k.answerConfirm(m, err == nil)
	}
	k.confirmCertificates()
}

// answerConfirm confirms that the certificates pushed to the caller are the newest. It fails the call if the newest
// ones weren't pushed, as there is no contact or the caller has too many unacknowledged pushes: the caller would apply
// the confirmation to older certificates.
func (k *Keeper) answerConfirm(m *link.Message, read bool) {
	process := k.attached[m.Conn]
	if !read || process == nil || !k.contact.MayPush(k.sinceStart(time.Now()), m.Conn) ||
		process.certificatesVersion < k.certificates.version {
		m.Fail("no majority confirms the certificates")
		return
	}
	m.Reply(nil)
}
