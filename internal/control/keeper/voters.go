package keeper

import (
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
)

// askStateEvery is how often another keeper is asked for a register of which nothing is known.
const askStateEvery = 300 * time.Millisecond

func (a *agreement) voters() []paxos.Voter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]paxos.Voter(nil), a.known...)
}

// votes tells whether this keeper is a voter of all registers.
func (a *agreement) votes() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range registerNames {
		if !slices.ContainsFunc(a.states[name].Voters, func(v paxos.Voter) bool { return v.ID == a.id }) {
			return false
		}
	}
	return true
}

// bootstrapFromSeeds makes the first voters at the very first start, once all seeds are connected: they are the seeds
// that have a disk.
func (a *agreement) bootstrapFromSeeds() {
	s := a.k.o.Settings
	if !s.FirstStart || a.id == 0 {
		return
	}
	var voters []paxos.Voter
	in := false
	for _, addr := range controlclient.SeedLinks(s.Seeds, s.InternalFirst) {
		if addr == a.k.self.Addr {
			voters = append(voters, paxos.Voter{ID: a.id, Name: a.k.self.Name, Addr: addr})
			in = true
			continue
		}
		var node *controlclient.Node
		for _, p := range a.k.peers {
			if p.node.Addr == addr {
				node = &p.node
			}
		}
		if node == nil {
			return
		}
		if node.ID != 0 {
			voters = append(voters, paxos.Voter{ID: node.ID, Name: node.Name, Addr: addr})
		}
	}
	if !in {
		return
	}
	a.offer(func() { a.bootstrap(voters) }) // else when the next keeper is connected
}

func (a *agreement) bootstrap(voters []paxos.Voter) {
	if a.booted {
		return
	}
	a.booted = true
	if err := a.append(firstVoters(voters)); err != nil {
		a.k.log.Error("first voters not saved", "err", err) // the registers are tried all the same
	}
	for _, name := range registerNames {
		if _, ok := a.regs[name].State(); !ok {
			a.regs[name].Bootstrap(voters, nil)
		}
	}
	a.k.log.Info("first voters", "count", len(voters))
}

// askWhereUnknown asks another keeper for a register of which nothing is known here. It proposes nothing: who votes is
// decided by the holder of the duty and by keepers that leave.
func (a *agreement) askWhereUnknown(name string) {
	if _, known := a.regs[name].State(); known || time.Since(a.asked[name]) < askStateEvery {
		return
	}
	a.asked[name] = time.Now()
	if node, connected := a.k.links().any(); connected {
		a.regs[name].Ask(a.now(), voterOf(node))
	}
}

// askPeer asks a keeper for what it has of a register beyond what is known here.
func (a *agreement) askPeer(name string, node controlclient.Node) {
	a.offer(func() { a.regs[name].Ask(a.now(), voterOf(node)) }) // else at its next report
}

// voterOf gives a keeper as a voter.
func voterOf(node controlclient.Node) paxos.Voter {
	return paxos.Voter{ID: node.ID, Name: node.Name, Addr: node.Addr}
}

// state gives the newest decided state of a register that is known and stored here; false: nothing is known.
func (a *agreement) state(name string) (paxos.State, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, known := a.states[name]
	return s, known
}
