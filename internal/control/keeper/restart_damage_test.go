package keeper

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs/vfstest"
)

// damagedDisk is a change of a disk while its keeper is down. damage returns the disk on which the keeper restarts,
// given its current disk and an old copy of it. refusesStart means that a keeper doesn't start on the disk until an
// operator has emptied it.
type damagedDisk struct {
	name         string
	refusesStart bool
	keepsVote    bool // whether the keeper is still a voter, under its former identity
	damage       func(disk, longAgo *vfstest.Disk) *vfstest.Disk
}

func damagedDisks() []damagedDisk {
	same := func(disk, _ *vfstest.Disk) *vfstest.Disk { return disk }
	return []damagedDisk{
		{name: "unchanged", keepsVote: true, damage: same},
		{name: "torn tail", keepsVote: true, damage: func(disk, _ *vfstest.Disk) *vfstest.Disk {
			log := disk.File(logName)
			disk.Put(logName, bytes.Clone(log[:len(log)-3]))
			return disk
		}},
		{name: "flipped byte", refusesStart: true, damage: func(disk, _ *vfstest.Disk) *vfstest.Disk {
			log := disk.File(logName)
			log[len(log)/2] ^= 1 << 3
			return disk
		}},
		{name: "empty", damage: func(_, _ *vfstest.Disk) *vfstest.Disk { return vfstest.New() }},
		{name: "old copy", keepsVote: true, damage: func(_, longAgo *vfstest.Disk) *vfstest.Disk { return longAgo }},
	}
}

// missedChanges is how many changes the keeper misses.
const missedChanges = 20

// TestRestartOnDamagedDisk kills the lease holder of the voters role while it proposes a put, and restarts it on each
// of the damaged disks. Until it is connected to the others, it pushes nothing, doesn't vote and grants no lease;
// afterwards it has the same state as they have.
func TestRestartOnDamagedDisk(t *testing.T) {
	for _, disk := range damagedDisks() {
		t.Run(disk.name, func(t *testing.T) {
			t.Parallel()
			testRestartOnDamagedDisk(t, disk)
		})
	}
}

func testRestartOnDamagedDisk(t *testing.T, damaged damagedDisk) {
	r := newRig(t, 3)
	links := r.startRelays()
	r.startAll()
	r.untilConnected(0, 1, 2)
	o := &configWriter{rig: r}
	o.put(0)
	if a := r.putCertificates(0, "0", certificatesBody(t, 1, "e1")); a.status != 200 {
		t.Fatal(a)
	}
	victim := r.untilVoterLeaseHeld()
	other, third := (victim+1)%3, (victim+2)%3
	var longAgo *vfstest.Disk
	r.withDisk(victim, func() { longAgo = r.disks[victim].Copy() })
	for range missedChanges {
		o.put(victim)
	}
	r.killWhileProposing(victim, o)
	for range missedChanges {
		o.put(other)
	}
	r.disks[victim] = damaged.damage(r.disks[victim], longAgo)
	if damaged.refusesStart {
		r.checkRefusesToStart(victim)
		r.disks[victim] = vfstest.New()
	}
	links.cutOff(victim, true, true)
	r.start(victim)
	r.checkPassive(victim, other)

	if damaged.keepsVote {
		r.kill(third)
	}
	links.heal()
	if damaged.keepsVote {
		o.put(other) // its vote is needed
	} else {
		r.untilReplacedIdentity(victim, other)
		r.kill(third)
		o.put(other)
	}
	o.checkReadable(victim)
	attached := r.attachManually(victim, "attached after")
	eventually(t, "the newest is pushed", func() bool { return receive(t, attached.pushes, "a push").ConfigVersion == o.version })
}

// untilVoterLeaseHeld waits until a keeper holds the lease of the voters role.
func (r *rig) untilVoterLeaseHeld() (holder int) {
	r.t.Helper()
	eventually(r.t, "a keeper holds the voters lease", func() bool {
		for i := range r.running {
			if r.holdsVoterLease(i) {
				holder = i
				return true
			}
		}
		return false
	})
	return holder
}

func (r *rig) holdsVoterLease(i int) bool {
	k := r.running[i].keeper
	holds, _ := query(k, func() bool { return k.voterManager.lease.HasLease(k.sinceStart(time.Now())) })
	return holds
}

// maxProposalWrites bounds how many writes and syncs the proposer of a put makes before it is killed.
const maxProposalWrites = 6

// killWhileProposing kills a keeper while it processes a put, repeats the put at another keeper, and checks that it is
// in force.
func (r *rig) killWhileProposing(i int, o *configWriter) {
	r.t.Helper()
	body := configBody(o.version+1, "in progress")
	ended, written := make(chan struct{}), make(chan struct{}, maxProposalWrites)
	left := 1 + rand.IntN(maxProposalWrites)
	r.withDisk(i, func() {
		r.disks[i].Stall = func() {
			if left--; left == 0 {
				written <- struct{}{}
			}
		}
	})
	go func() { r.putConfig(i, o.version+1, o.version, "in progress"); close(ended) }()
	select {
	case <-written:
	case <-ended: // the put needed fewer writes
	}
	r.kill(i)
	receive(r.t, ended, "the end of the call")
	r.disks[i].Stall = nil
	r.untilCode(200, func() response { return r.putConfig((i+1)%len(r.running), o.version+1, o.version, "in progress") })
	o.version++
	if got := r.untilCode(200, func() response { return r.call((i+1)%len(r.running), "GET", "/config", "", nil) }); got.body != string(body) {
		r.t.Fatalf("another put is in force: %v", got)
	}
}

// checkRefusesToStart checks that the start of a keeper on a damaged log fails with recordlog.ErrDamaged.
func (r *rig) checkRefusesToStart(i int) {
	r.t.Helper()
	if _, err := New(Options{Settings: r.settings(i), Folder: r.disks[i], Log: hclog.NewNullLogger()}); !recordlog.ErrDamaged.Has(err) {
		r.t.Fatalf("started on a damaged log: %v", err)
	}
}

// checkPassive checks that a keeper that hasn't been connected since its start pushes nothing, doesn't vote and
// grants no lease.
func (r *rig) checkPassive(victim, other int) {
	r.t.Helper()
	refused := map[string]func() response{
		"the configuration": func() response { return r.call(victim, "GET", "/config", "", nil) },
		"the certificates":  func() response { return r.call(victim, "GET", certificatesPath, "", nil) },
		"a new put":         func() response { return r.putConfig(victim, 1000, 1, "x") },
		"an accepted put":   func() response { return r.putConfig(victim, 1, 0, "version 1") },
		"certificates":      func() response { return r.putCertificates(victim, "1", certificatesBody(r.t, 2, "e1")) },
		"a heartbeat":       func() response { return r.heartbeat(victim, "1", "ready", 1) },
	}
	eventually(r.t, "the keeper answers", func() bool { return r.call(victim, "GET", "/status", "", nil).status == 200 })
	var calls sync.WaitGroup
	for what, call := range refused {
		calls.Go(func() {
			if a := call(); a.status != 503 {
				r.t.Errorf("%s: %v", what, a)
			}
		})
	}
	calls.Wait()
	attached := r.attachManually(victim, "attached before")
	if _, err := attached.call(r.t, controlclient.KindConfirm, nil); err == nil {
		r.t.Error("certificates are confirmed")
	}
	as, _ := r.running[other].keeper.registers.state(configRegister)
	voter := voterOf(r.running[other].keeper.self)
	p := r.impersonate(victim, voter, as)
	for _, role := range []string{assignRole, votersRole} {
		if p.requestLease(role) {
			r.t.Errorf("the lease %q is granted", role)
		}
	}
	p.requestVotes()
	for _, role := range []string{assignRole, votersRole} {
		if p.requestLease(role) {
			r.t.Errorf("the lease %q is granted after requests for votes", role)
		}
	}
	checkNoConfigPushed(r.t, attached)
	if s := r.status(victim); s.InContact || s.AssignsPartitions || r.holdsVoterLease(victim) {
		r.t.Errorf("in contact %v, holds the leases %v and %v", s.InContact, s.AssignsPartitions, r.holdsVoterLease(victim))
	}
	p.conn.Close()
}

// untilReplacedIdentity waits until the new identity of a keeper that lost its disk has replaced the old one as a voter
// of all registers.
func (r *rig) untilReplacedIdentity(victim, other int) {
	r.t.Helper()
	eventually(r.t, "the new identity votes", func() bool {
		for _, name := range registerNames {
			state, _ := r.running[other].keeper.registers.state(name)
			if len(state.Voters) != len(r.running) || !state.HasVoter(r.running[victim].keeper.registers.id) {
				return false
			}
		}
		return true
	})
}
