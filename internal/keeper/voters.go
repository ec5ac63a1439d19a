package keeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/agree"
	"dunetide/internal/control"
)

func (a *agreement) voters() []agree.Voter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]agree.Voter(nil), a.known...)
}

// votes tells whether this keeper is a voter of all registers.
func (a *agreement) votes() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range registerNames {
		if !slices.ContainsFunc(a.states[name].Voters, func(v agree.Voter) bool { return v.ID == a.id }) {
			return false
		}
	}
	return true
}

// met looks whether the first voters can be told: at the very first start they are the seeds that have a disk.
func (a *agreement) met() {
	s := a.k.o.Settings
	if !s.FirstStart || a.id == 0 {
		return
	}
	var voters []agree.Voter
	in := false
	for _, addr := range control.SeedLinks(s.Seeds, s.InternalFirst) {
		if addr == a.k.self.Addr {
			voters = append(voters, agree.Voter{ID: a.id, Name: a.k.self.Name, Addr: addr})
			in = true
			continue
		}
		var node *control.Node
		for _, p := range a.k.peers {
			if p.node.Addr == addr {
				node = &p.node
			}
		}
		if node == nil {
			return
		}
		if node.ID != 0 {
			voters = append(voters, agree.Voter{ID: node.ID, Name: node.Name, Addr: addr})
		}
	}
	if !in {
		return
	}
	a.offer(func() { a.bootstrap(voters) }) // else at the next meeting
}

func (a *agreement) bootstrap(voters []agree.Voter) {
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

// join proposes this keeper as a voter where it is none, and asks others where it knows nothing.
func (a *agreement) join(name string) {
	if a.joining[name] || time.Since(a.tried[name]) < 300*time.Millisecond {
		return
	}
	s, ok := a.regs[name].State()
	if !ok { // it met the others before they knew anything
		a.tried[name] = time.Now()
		if whom, there := a.k.links().any(); there {
			a.regs[name].Ask(a.now(), agree.Voter{ID: whom.ID, Name: whom.Name, Addr: whom.Addr})
		}
		return
	}
	if a.id == 0 {
		return
	}
	for _, v := range s.Voters {
		if v.ID == a.id {
			return
		}
	}
	a.tried[name] = time.Now().Add(rand.N(300 * time.Millisecond))
	met := a.k.links().metIDs(a.id, time.Now())
	alive := 0
	for _, v := range s.Voters {
		if met[v.ID] {
			alive++
		}
	}
	if alive <= len(s.Voters)/2 || a.now() < deadAfter {
		return
	}
	a.joining[name] = true
	me := agree.Voter{ID: a.id, Name: a.k.self.Name, Addr: a.k.self.Addr}
	a.regs[name].Propose(a.now(), 2*time.Second, func(cur agree.State) (agree.State, error) {
		next, changed := agree.Admit(cur, me, func(v agree.Voter) bool { return !met[v.ID] }, votersMost)
		if !changed {
			return cur, agree.ErrUnchanged
		}
		return next, nil
	}, func(_ agree.State, err error) {
		a.joining[name] = false
		a.k.log.Info("voter joins", "register", name, "err", err)
	})
}
