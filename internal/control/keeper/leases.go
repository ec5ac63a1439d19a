package keeper

import (
	"strconv"
	"time"

	"dunetide/internal/consensus/singleton"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// leaseMessage is the body of a Lease call between keepers: a request for a grant, or its release.
type leaseMessage struct {
	role      string
	candidate string // name of the keeper that requests or holds the lease
	release   bool
}

func (request leaseMessage) encode() []byte {
	w := link.Writer{}
	w.String(request.role)
	w.String(request.candidate)
	w.Bool(request.release)
	return w.Buf
}

func decodeLeaseMessage(body []byte) (leaseMessage, error) {
	r := link.Reader{Buf: body}
	request := leaseMessage{role: r.String(), candidate: r.String(), release: r.Bool()}
	return request, r.Err
}

// handleLease grants or refuses a lease to another keeper, or releases a grant.
func (k *Keeper) handleLease(now time.Time, m *link.Message) {
	request, err := decodeLeaseMessage(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	if request.release {
		k.leaseGrants.Release(request.role, request.candidate)
		m.Reply(nil)
		return
	}
	var holderID uint64
	if l := k.peerLinks[m.Conn]; l != nil && l.peer.node.Name == request.candidate {
		holderID = l.peer.node.ID
	}
	w := link.Writer{}
	w.Bool(k.grantLease(now, request.role, request.candidate, holderID))
	m.Reply(w.Buf)
}

// grantLease grants a lease to another keeper if this keeper is allowed to grant it and no other keeper holds it.
func (k *Keeper) grantLease(now time.Time, role, holder string, holderID uint64) bool {
	at := k.sinceStart(now)
	return k.contact.InContact(at) && k.mayGrant(now, holderID) && k.leaseGrants.Grant(at, role, holder)
}

// mayGrant reports whether this keeper may grant a lease to another, or to itself: both must be voters of the
// configuration register in the newest known state, and this keeper must not be behind. Therefore a replaced voter
// neither grants a lease nor is granted one by keepers that know of the replacement.
func (k *Keeper) mayGrant(now time.Time, holder uint64) bool {
	voters := k.leaseVoters()
	if !voters[k.registers.id] || !voters[holder] {
		return false
	}
	behindSince := k.voterManager.behindSince
	return behindSince.IsZero() || now.Sub(behindSince) < maxBehind
}

// leaseVoters returns the identities of the keepers that grant leases: the voters of the configuration register.
func (k *Keeper) leaseVoters() map[uint64]bool {
	voters := map[uint64]bool{}
	for _, voter := range k.registers.registerVoters(configRegister) {
		voters[voter.ID] = true
	}
	return voters
}

// maintainLease requests or renews the lease of a role while this keeper is in contact, and logs when it acquires or
// loses the lease. It reports whether this keeper holds the lease now.
func (k *Keeper) maintainLease(now time.Time, role string, lease *singleton.Candidate, hadLease bool) (hasLease bool) {
	at := k.sinceStart(now)
	if k.contact.InContact(at) {
		k.stepLease(now, role, lease)
	}
	hasLease = lease.HasLease(at)
	if hasLease != hadLease {
		k.log.Info("role lease changed", "name", role, "held", hasLease)
	}
	return hasLease
}

// stepLease requests or renews the lease of a role when that is due, or releases its grants.
func (k *Keeper) stepLease(now time.Time, role string, lease *singleton.Candidate) {
	voters := k.leaseVoters()
	if k.shuttingDown || !voters[k.registers.id] {
		return
	}
	switch action, round := lease.Step(k.sinceStart(now), len(voters)); action {
	case singleton.ActionRequest:
		k.requestGrants(now, role, lease, round, voters)
	case singleton.ActionRelease:
		k.releaseGrants(role)
	case singleton.ActionNone:
	}
}

// requestGrants requests a lease from all voters. Voters that aren't connected count as refusing. The grants are
// released as soon as the round can no longer succeed, so that another keeper can acquire the lease.
func (k *Keeper) requestGrants(
	now time.Time, role string, lease *singleton.Candidate, round uint64, voters map[uint64]bool,
) {
	answered := func(voter uint64, granted bool) {
		at, key := k.sinceStart(time.Now()), strconv.FormatUint(voter, 16)
		if granted {
			lease.RecordGrant(at, round, key)
		} else if lease.RecordRefusal(at, round, key) {
			k.releaseGrants(role)
		}
	}
	self := k.registers.id
	requested := map[uint64]bool{self: true}
	answered(self, k.mayGrant(now, self) && k.leaseGrants.Grant(k.sinceStart(now), role, k.self.Name))
	body := leaseMessage{role: role, candidate: k.self.Name}.encode()
	for _, p := range k.peers {
		voter := p.node.ID
		if p.conn == nil || !voters[voter] {
			continue
		}
		requested[voter] = true
		reply := p.conn.Go(controlclient.KindLease, body)
		go func() { // it ends with the link at the latest
			granted := leaseGranted(<-reply)
			k.submit(func() { answered(voter, granted) })
		}()
	}
	for voter := range voters {
		if !requested[voter] {
			answered(voter, false)
		}
	}
}

func leaseGranted(reply link.Reply) bool {
	r := link.Reader{Buf: reply.Body}
	granted := r.Bool()
	return granted && reply.Err == nil && r.Err == nil
}

// releaseGrants releases the grants of a lease, here and at the other keepers, and returns the channels of their
// replies.
func (k *Keeper) releaseGrants(role string) (replies []<-chan link.Reply) {
	k.leaseGrants.Release(role, k.self.Name)
	body := leaseMessage{role: role, candidate: k.self.Name, release: true}.encode()
	for _, p := range k.peers {
		if p.conn != nil {
			replies = append(replies, p.conn.Go(controlclient.KindLease, body))
		}
	}
	return replies
}
