package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
)

// mark is what is in force once a push is acknowledged.
type mark struct{ number, version, change, table, certificates uint64 }

// unackedMost is how many pushes a process may have yet to acknowledge; what changes meanwhile goes out in one.
const unackedMost = 64

// inForce is what a process has acknowledged.
func (p *attachedProcess) inForce() mark {
	if len(p.marks) > 0 && p.marks[0].number <= p.acked {
		return p.marks[0]
	}
	return mark{}
}

// ack takes an acknowledgement in, and tells whether the process may be pushed to again.
func (p *attachedProcess) ack(number uint64) (again bool) {
	full := p.full()
	p.acked = min(max(p.acked, number), p.pushed)
	for len(p.marks) > 1 && p.marks[1].number <= p.acked {
		p.marks = p.marks[1:]
	}
	return full && !p.full()
}

func (p *attachedProcess) full() bool { return p.pushed-p.acked >= unackedMost }

// state is what pushes carry on from.
type state struct {
	whole, listed, endpoints bool
	inContact                bool
	change, version, table   uint64
	certificates             uint64
	senders                  int
	keepers                  uint64
}

func (p *attachedProcess) state() state {
	return state{p.whole, p.listed, p.endpoints, p.inContact, p.change, p.version, p.table, p.certificates, p.senders, p.keepers}
}

// behind tells whether a process lacks something. Without contact, nothing that the registers hold counts.
func (p *attachedProcess) behind(k *Keeper, inContact bool) bool {
	if !p.whole || p.inContact != inContact || p.senders != k.senders || p.keepers != k.keepersChange {
		return true
	}
	if p.endpoints && (p.change < k.table.Newest() || p.listed != k.pushedListening) {
		return true
	}
	return inContact && p.behindRegisters(k)
}

func (p *attachedProcess) behindRegisters(k *Keeper) bool {
	return p.version < k.config.version || p.certificates < k.certificates.version || k.parts != nil && p.table < k.parts.Number
}

// pushAll tells every attached process what it lacks. With contact, one that has just attached is told nothing before
// a majority has confirmed the registers for it; without contact, all are told of endpoints alone.
func (k *Keeper) pushAll() {
	k.dirty = false
	now := time.Now()
	inContact := k.contact.Holds(k.since(now))
	k.pushedListening, k.pushedChange = k.table.Listening(k.since(now)), k.table.Newest()
	made := map[state]pushMessage{} // most lack the same
	for c, p := range k.attached {
		if inContact && !k.contact.MayHandOut(k.since(now), c) {
			continue
		}
		if !p.behind(k, inContact) || p.full() {
			continue
		}
		m, there := made[p.state()]
		if !there {
			u, change := k.update(p, now, inContact)
			m = pushMessage{u.Encode(), change}
			made[p.state()] = m
		}
		k.push(p, m, inContact)
	}
}

// pushMessage is an update as it is sent, and the change of the list that a process then has.
type pushMessage struct {
	body   []byte
	change uint64
}

// push sends an update to a process, and takes note of what it then has.
func (k *Keeper) push(p *attachedProcess, m pushMessage, inContact bool) {
	p.pushed++
	controlclient.Renumber(m.body, p.pushed)
	p.whole, p.inContact, p.listed, p.senders, p.keepers = true, inContact, k.pushedListening, k.senders, k.keepersChange
	p.change = m.change
	if inContact {
		p.version, p.certificates = k.config.version, k.certificates.version
		if k.parts != nil {
			p.table = k.parts.Number
		}
	}
	p.marks = append(p.marks, mark{p.pushed, p.version, p.change, p.table, p.certificates})
	if err := p.conn.Send(controlclient.Push, m.body); err != nil {
		k.log.Warn("push not sent", "node", p.node.Name, "err", err)
		p.conn.Close() // it attaches anew, and is told all
	}
}

// update is what a process lacks, and the change of the list that it then has.
func (k *Keeper) update(p *attachedProcess, now time.Time, inContact bool) (u *controlclient.Update, change uint64) {
	u = &controlclient.Update{InContact: inContact, Listed: k.pushedListening, Senders: k.senders, CertificatesVersion: p.certificates}
	if inContact {
		k.addRegisters(u, p)
	}
	if p.keepers != k.keepersChange {
		u.Keepers = k.keeperNodes()
	}
	if p.endpoints {
		u.Entries, change, u.Whole = k.table.Changes(k.since(now), p.change)
	} else {
		u.Whole = !p.whole
	}
	return u, change
}

// addRegisters puts what a process lacks of the registers into an update.
func (k *Keeper) addRegisters(u *controlclient.Update, p *attachedProcess) {
	u.CertificatesVersion = k.certificates.version
	if p.certificates < k.certificates.version {
		u.Certificates = k.certificates.raw
	}
	if p.version < k.config.version {
		u.Config, u.Version = k.config.raw, k.config.version
	}
	if k.parts != nil && p.table < k.parts.Number {
		u.Table = k.parts
	}
}
