package keeper

import (
	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
)

// bootstrapFromSeeds makes the seeds that have a disk the initial voters, on the first start of the deployment once all
// seeds are connected. The owner goroutine calls it after each new connection.
func (rs *registerSet) bootstrapFromSeeds() {
	settings := rs.keeper.options.Settings
	if !settings.FirstStart || rs.id == 0 {
		return
	}
	voters, complete := rs.seedVoters(controlclient.SeedLinkAddrs(settings.Seeds, settings.FirstInternalPort))
	if complete {
		rs.trySubmit(func() { rs.bootstrap(voters) }) // if the queue is full, the next connection retries
	}
}

// seedVoters returns the seeds that have a disk, as voters. complete reports whether all seeds are known and this
// keeper is a seed.
func (rs *registerSet) seedVoters(seedAddrs []string) (voters []paxos.Voter, complete bool) {
	selfIsSeed := false
	for _, addr := range seedAddrs {
		if addr == rs.keeper.self.Addr {
			voters = append(voters, paxos.Voter{ID: rs.id, Name: rs.keeper.self.Name, Addr: addr})
			selfIsSeed = true
			continue
		}
		seed := rs.keeper.peerAt(addr)
		if seed == nil {
			return nil, false
		}
		if seed.node.ID != 0 {
			voters = append(voters, paxos.Voter{ID: seed.node.ID, Name: seed.node.Name, Addr: addr})
		}
	}
	return voters, selfIsSeed
}

// peerAt returns the keeper that serves links at an address; nil: it has never connected.
func (k *Keeper) peerAt(addr string) (found *peer) {
	for _, p := range k.peers {
		if p.node.Addr == addr {
			found = p
		}
	}
	return found
}

// bootstrap decides slot 0 of each register. Each register is saved in a record of its own; the voters are saved first,
// so that a process that crashes between two of these records can resume.
func (rs *registerSet) bootstrap(voters []paxos.Voter) {
	if rs.bootstrapped {
		return
	}
	rs.bootstrapped = true
	if err := rs.appendRecord(encodeFirstVotersRecord(voters)); err != nil {
		rs.keeper.log.Error("initial voters not saved", "err", err) // the registers are bootstrapped nevertheless
	}
	for _, name := range registerNames {
		if _, known := rs.byName[name].State(); !known {
			rs.byName[name].Bootstrap(voters, nil)
		}
	}
	rs.keeper.log.Info("registers bootstrapped with initial voters", "count", len(voters))
}

// resumeBootstrap bootstraps the registers that an interrupted bootstrap left out.
func (rs *registerSet) resumeBootstrap() {
	if len(rs.firstVoters) == 0 {
		return
	}
	for _, name := range registerNames {
		rs.byName[name].Bootstrap(rs.firstVoters, nil)
	}
	rs.bootstrapped = true
}
