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
	// handOverMost bounds how long a keeper that is told to end hands its votes over.
	handOverMost = 2 * time.Second
	// handOverRetry is the pause after a change of voters that could not be made.
	handOverRetry = 50 * time.Millisecond
	// releaseMost bounds how long the answers to releases of leases are awaited.
	releaseMost = 200 * time.Millisecond
)

// shutdown hands over what this keeper has before it ends: its leases, the processes that are attached to it, its votes.
// It goes on serving calls meanwhile, as what it confirms is on the disks of a majority with it or without it.
func (k *Keeper) shutdown() {
	released, running := ask(k, k.announceLeaving)
	if !running {
		return
	}
	deadline := time.Now().Add(handOverMost)
	var registers sync.WaitGroup
	for _, name := range registerNames {
		if state, _ := k.agree.state(name); state.Has(k.agree.id) {
			registers.Go(func() { k.handOver(name, deadline) })
		}
	}
	registers.Wait()
	k.awaitReleases(released)
}

// announceLeaving tells the other keepers that this one ends, gives its leases back, and has those who are attached go
// elsewhere. It returns where the answers to the releases come.
func (k *Keeper) announceLeaving() []<-chan link.Reply {
	k.leaving = true
	k.log.Info("keeper leaves")
	k.sendReports()
	released := k.releaseLease(dutyAssign, k.assigner.lease)
	released = append(released, k.releaseLease(dutyVoters, k.voterDuty.lease)...)
	for conn := range k.attached {
		conn.Close()
	}
	return released
}

// releaseLease gives a lease back to all who may have granted it.
func (k *Keeper) releaseLease(name string, lease *singleton.Candidate) []<-chan link.Reply {
	if !lease.Holds(k.since(time.Now())) {
		return nil
	}
	lease.Stop()
	return k.releaseGrants(name)
}

// awaitReleases waits until those who granted leases have taken them back, or for a moment.
func (k *Keeper) awaitReleases(answers []<-chan link.Reply) {
	timeout := time.After(releaseMost)
	for _, answer := range answers {
		select {
		case <-answer:
		case <-timeout:
			return
		case <-k.ended:
			return
		}
	}
}

// handOver changes the voters of a register until this keeper is none and a majority of the others has stored that, or
// no change is possible, or the deadline has passed.
func (k *Keeper) handOver(name string, deadline time.Time) {
	for time.Now().Before(deadline) {
		next, running := ask(k, func() handOverStep { return k.nextHandOverStep(name) })
		if !running {
			return
		}
		again := false
		switch next.step {
		case reconfigure.StepEnd:
			return
		case reconfigure.StepConfirm:
			if k.removalStored(name, deadline) {
				return
			}
		case reconfigure.StepChange:
			again = k.makeChange(name, next, deadline)
		}
		if again {
			continue
		}
		select {
		case <-time.After(handOverRetry):
		case <-k.ended:
			return
		}
	}
}

// handOverStep is what comes next for a register, and the voters by which that was decided.
type handOverStep struct {
	step       reconfigure.Step
	change     reconfigure.Change
	decidedFor []paxos.Voter
}

func (k *Keeper) nextHandOverStep(name string) handOverStep {
	state, _ := k.agree.state(name)
	step, change := reconfigure.HandOver(k.situation(time.Now(), name, state), k.agree.id)
	return handOverStep{step, change, state.Voters}
}

// makeChange makes a change of voters, and tells whether it was made.
func (k *Keeper) makeChange(name string, step handOverStep, deadline time.Time) bool {
	ended := make(chan error, 1)
	k.agree.changeVoters(name, time.Until(deadline), step.change, step.decidedFor, func(_ paxos.State, err error) { ended <- err })
	select {
	case err := <-ended:
		k.logChange(name, step.change, err)
		return err == nil
	case <-k.ended:
		return false
	}
}

// removalStored tells whether a majority of the voters has stored a state by which this keeper is none. Until then the
// state may be decided on this keeper's disk and too few others.
func (k *Keeper) removalStored(name string, deadline time.Time) bool {
	type result struct {
		state paxos.State
		err   error
	}
	results := make(chan result, 1)
	k.agree.read(name, time.Until(deadline), func(s paxos.State, err error) { results <- result{s, err} })
	select {
	case r := <-results:
		return r.err == nil && !r.state.Has(k.agree.id)
	case <-k.ended:
		return true
	}
}
