package keeper

import (
	"sync"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/reconfigure"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/platform/link"
)

const (
	// transferTimeout bounds the transfer of votes during a shutdown.
	transferTimeout = 2 * time.Second
	// transferRetryDelay is the delay before a failed change of voters is retried.
	transferRetryDelay = 50 * time.Millisecond
	// releaseTimeout bounds the wait for replies to releases of leases.
	releaseTimeout = 200 * time.Millisecond
)

// shutdown transfers the leases, the attached processes and the votes of this keeper to others before it ends.
// Meanwhile the keeper continues to answer calls, as everything that it confirms is on the disks of a majority.
func (k *Keeper) shutdown() {
	releases, running := query(k, k.announceShutdown)
	if !running {
		return
	}
	deadline := time.Now().Add(transferTimeout)
	var transfers sync.WaitGroup
	for _, name := range registerNames {
		if state, _ := k.registers.state(name); state.HasVoter(k.registers.id) {
			transfers.Go(func() { k.transferVote(name, deadline) })
		}
	}
	transfers.Wait()
	k.awaitReleases(releases)
}

// announceShutdown reports the shutdown to the other keepers, releases the leases, and closes the links of the attached
// processes, which then attach to other keepers. It returns the channels of the replies to the releases.
func (k *Keeper) announceShutdown() []<-chan link.Reply {
	k.shuttingDown = true
	k.log.Info("keeper shutting down")
	k.broadcastReport()
	releases := k.relinquishLease(assignRole, k.assigner.lease)
	releases = append(releases, k.relinquishLease(votersRole, k.voterManager.lease)...)
	for conn := range k.attached {
		conn.Close()
	}
	return releases
}

// relinquishLease stops using a lease, and releases it at all keepers that may have granted it.
func (k *Keeper) relinquishLease(role string, lease *singleton.Candidate) []<-chan link.Reply {
	if !lease.HasLease(k.sinceStart(time.Now())) {
		return nil
	}
	lease.Stop()
	return k.releaseGrants(role)
}

// awaitReleases waits until the keepers that granted leases have released them, for releaseTimeout at most.
func (k *Keeper) awaitReleases(releases []<-chan link.Reply) {
	timeout := time.After(releaseTimeout)
	for _, release := range releases {
		select {
		case <-release:
		case <-timeout:
			return
		case <-k.ended:
			return
		}
	}
}

// transferVote changes the voters of a register until this keeper isn't a voter and a majority of the others has stored
// that, or no change is possible, or the deadline has passed.
func (k *Keeper) transferVote(name string, deadline time.Time) {
	for time.Now().Before(deadline) {
		next, running := query(k, func() transferStep { return k.nextTransferStep(name) })
		if !running {
			return
		}
		changed := false
		switch next.step {
		case reconfigure.LeaveStepEnd:
			return
		case reconfigure.LeaveStepConfirm:
			if k.removalStored(name, deadline) {
				return
			}
		case reconfigure.LeaveStepChange:
			changed = k.applyTransferStep(name, next, deadline)
		}
		if changed {
			continue
		}
		select {
		case <-time.After(transferRetryDelay):
		case <-k.ended:
			return
		}
	}
}

// transferStep is the next step of a register's vote transfer, and the voters for which it was determined.
type transferStep struct {
	step       reconfigure.LeaveStep
	change     reconfigure.Change
	decidedFor []paxos.Voter
}

func (k *Keeper) nextTransferStep(name string) transferStep {
	state, _ := k.registers.state(name)
	step, change := reconfigure.NextLeaveStep(k.voterSituation(time.Now(), name, state), k.registers.id)
	return transferStep{step, change, state.Voters}
}

// applyTransferStep proposes a change of voters. It reports whether the change was made.
func (k *Keeper) applyTransferStep(name string, next transferStep, deadline time.Time) bool {
	done := make(chan error, 1)
	k.registers.changeVoters(name, time.Until(deadline), next.change, next.decidedFor,
		func(_ paxos.State, err error) { done <- err })
	select {
	case err := <-done:
		k.logVoterChange(name, next.change, err)
		return err == nil
	case <-k.ended:
		return false
	}
}

// removalStored reports whether a majority of the voters has stored a state in which this keeper isn't a voter. Until
// then, the majority that decided that state may include this keeper's disk, and too few other disks have it.
func (k *Keeper) removalStored(name string, deadline time.Time) bool {
	type result struct {
		state paxos.State
		err   error
	}
	results := make(chan result, 1)
	k.registers.read(name, time.Until(deadline), func(s paxos.State, err error) { results <- result{s, err} })
	select {
	case r := <-results:
		return r.err == nil && !r.state.HasVoter(k.registers.id)
	case <-k.ended:
		return true
	}
}
