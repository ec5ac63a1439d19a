package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// maxUnackedPushes bounds the unacknowledged pushes to a process. While the bound is reached, changes accumulate and
// are then sent in one push.
const maxUnackedPushes = 64

// pushMark records the versions in force at a process once it has acknowledged the push with that number.
type pushMark struct {
	number              uint64
	configVersion       uint64
	listRevision        uint64
	tableNumber         uint64
	certificatesVersion uint64
}

// acknowledged returns what is in force at the process.
func (p *attachedProcess) acknowledged() pushMark {
	if len(p.pushMarks) > 0 && p.pushMarks[0].number <= p.ackedNumber {
		return p.pushMarks[0]
	}
	return pushMark{}
}

// acknowledge applies the acknowledgement of a push and all earlier ones. It reports whether that made space in a full
// backlog, so that pushes can resume.
func (p *attachedProcess) acknowledge(number uint64) (again bool) {
	full := p.backlogFull()
	p.ackedNumber = min(max(p.ackedNumber, number), p.pushedNumber)
	for len(p.pushMarks) > 1 && p.pushMarks[1].number <= p.ackedNumber {
		p.pushMarks = p.pushMarks[1:]
	}
	return full && !p.backlogFull()
}

func (p *attachedProcess) backlogFull() bool {
	return p.pushedNumber-p.ackedNumber >= maxUnackedPushes
}

// handleAck handles the acknowledgement of a push.
func (k *Keeper) handleAck(now time.Time, m *link.Message) {
	process := k.attached[m.Conn]
	if process == nil {
		return
	}
	r := link.Reader{Buf: m.Body}
	number := r.U64()
	if r.Err != nil {
		return
	}
	if process.acknowledge(number) {
		k.pushNeeded = true
	}
	k.completeWaiters(now)
}

// pushState identifies the state of a process: processes with the same state are pushed the same update.
type pushState struct {
	fullListSent, listComplete, wantsEndpoints bool
	inContact                                  bool
	listRevision, configVersion, tableNumber   uint64
	certificatesVersion                        uint64
	proxyCount                                 int
	keepersRevision                            uint64
}

func (p *attachedProcess) pushState() pushState {
	return pushState{
		fullListSent:        p.fullListSent,
		listComplete:        p.listComplete,
		wantsEndpoints:      p.wantsEndpoints,
		inContact:           p.inContact,
		listRevision:        p.listRevision,
		configVersion:       p.configVersion,
		tableNumber:         p.tableNumber,
		certificatesVersion: p.certificatesVersion,
		proxyCount:          p.proxyCount,
		keepersRevision:     p.keepersRevision,
	}
}

// lacksUpdate reports whether a process lacks an update. Without contact, the contents of the registers are ignored, as
// they aren't pushed.
func (k *Keeper) lacksUpdate(p *attachedProcess, inContact bool) bool {
	if !p.fullListSent || p.inContact != inContact || p.proxyCount != k.proxyCount ||
		p.keepersRevision != k.keepersRevision {
		return true
	}
	if p.wantsEndpoints && (p.listRevision < k.endpoints.LastChange() || p.listComplete != k.pushedListComplete) {
		return true
	}
	return inContact && k.lacksRegisters(p)
}

func (k *Keeper) lacksRegisters(p *attachedProcess) bool {
	return p.configVersion < k.config.version || p.certificatesVersion < k.certificates.version ||
		k.partitions != nil && p.tableNumber < k.partitions.Version
}

// pushAll pushes to every attached process what it lacks. With contact, a newly attached process is pushed nothing
// until a majority has confirmed the registers for it. Without contact, no process is pushed contents of the registers.
func (k *Keeper) pushAll() {
	k.pushNeeded = false
	now := time.Now()
	inContact := k.contact.InContact(k.sinceStart(now))
	k.pushedListComplete, k.pushedListRevision = k.endpoints.Listening(k.sinceStart(now)), k.endpoints.LastChange()
	encoded := map[pushState]encodedUpdate{} // most processes need the same update
	for conn, p := range k.attached {
		if inContact && !k.contact.MayPush(k.sinceStart(now), conn) {
			continue
		}
		if !k.lacksUpdate(p, inContact) || p.backlogFull() {
			continue
		}
		state := p.pushState()
		update, found := encoded[state]
		if !found {
			update = k.encodeUpdate(p, now, inContact)
			encoded[state] = update
		}
		k.push(p, update, inContact)
	}
}

// encodedUpdate is an encoded update, and the revision of the endpoint list that it brings a process to.
type encodedUpdate struct {
	body         []byte
	listRevision uint64
}

func (k *Keeper) encodeUpdate(p *attachedProcess, now time.Time, inContact bool) encodedUpdate {
	update, listRevision := k.buildUpdate(p, now, inContact)
	return encodedUpdate{update.Encode(), listRevision}
}

// push sends an update to a process, and records the resulting state of the process.
func (k *Keeper) push(p *attachedProcess, update encodedUpdate, inContact bool) {
	p.pushedNumber++
	controlclient.SetSequence(update.body, p.pushedNumber)
	p.fullListSent, p.listComplete, p.listRevision = true, k.pushedListComplete, update.listRevision
	p.inContact, p.proxyCount, p.keepersRevision = inContact, k.proxyCount, k.keepersRevision
	if inContact {
		p.configVersion, p.certificatesVersion = k.config.version, k.certificates.version
		if k.partitions != nil {
			p.tableNumber = k.partitions.Version
		}
	}
	p.pushMarks = append(p.pushMarks, pushMark{
		number:              p.pushedNumber,
		configVersion:       p.configVersion,
		listRevision:        p.listRevision,
		tableNumber:         p.tableNumber,
		certificatesVersion: p.certificatesVersion,
	})
	if err := p.conn.Send(controlclient.KindUpdate, update.body); err != nil {
		k.log.Warn("push failed", "node", p.node.Name, "err", err)
		p.conn.Close() // the process attaches again, and is pushed the full state
	}
}

// buildUpdate returns what a process lacks, and the revision of the endpoint list that the update brings it to.
func (k *Keeper) buildUpdate(
	p *attachedProcess, now time.Time, inContact bool,
) (u *controlclient.Update, listRevision uint64) {
	u = &controlclient.Update{
		InContact:           inContact,
		EndpointsComplete:   k.pushedListComplete,
		Proxies:             k.proxyCount,
		CertificatesVersion: p.certificatesVersion,
	}
	if inContact {
		k.addRegisters(u, p)
	}
	if p.keepersRevision != k.keepersRevision {
		u.Keepers = k.reachableKeepers()
	}
	if p.wantsEndpoints {
		u.Entries, listRevision, u.FullSync = k.endpoints.Changes(k.sinceStart(now), p.listRevision)
	} else {
		u.FullSync = !p.fullListSent
	}
	return u, listRevision
}

// addRegisters adds the contents of the registers that a process lacks to an update.
func (k *Keeper) addRegisters(u *controlclient.Update, p *attachedProcess) {
	u.CertificatesVersion = k.certificates.version
	if p.certificatesVersion < k.certificates.version {
		u.Certificates = k.certificates.raw
	}
	if p.configVersion < k.config.version {
		u.Config, u.ConfigVersion = k.config.raw, k.config.version
	}
	if k.partitions != nil && p.tableNumber < k.partitions.Version {
		u.Table = k.partitions
	}
}
