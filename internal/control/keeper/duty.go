package keeper

import (
	"sort"
	"strconv"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	dutyAssign = "assign"
	// storeLost is how long a store is attached nowhere before its parts go elsewhere.
	storeLost = 300 * time.Millisecond
	partCount = 16
	// settle is how long one that has taken the duty over hears from all stores before it acts.
	settle = time.Second
)

func (k *Keeper) leaseAsked(now time.Time, m *link.Message) {
	r := link.Reader{B: m.Body}
	name, holder, release := r.String(), r.String(), r.Bool()
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	var holderID uint64
	if l := k.conns[m.Conn]; l != nil && l.peer.node.Name == holder {
		holderID = l.peer.node.ID
	}
	if release {
		k.lease.Release(name, holder)
		m.Reply(nil)
		return
	}
	w := link.Writer{}
	w.Bool(k.grantLease(now, name, holder, holderID))
	m.Reply(w.B)
}

// grantLease grants a lease to another keeper, if this one may and nobody else has it.
func (k *Keeper) grantLease(now time.Time, name, holder string, holderID uint64) bool {
	return k.contact.Holds(k.since(now)) && k.mayGrant(now, holderID) && k.lease.Ask(k.since(now), name, holder)
}

// assigner is the duty of placing the batch parts on stores.
type assigner struct {
	lease    *singleton.Candidate
	held     bool
	running  bool
	seen     map[uint64]time.Time // stores, when last attached anywhere
	proposed time.Time
}

// assign keeps the lease and, while it is held, proposes better tables.
func (k *Keeper) assign(now time.Time) {
	a := &k.assigner
	if a.seen == nil {
		a.seen = map[uint64]time.Time{}
	}
	stores := k.stores()
	for id := range stores {
		a.seen[id] = now
	}
	if k.contact.Holds(k.since(now)) {
		k.askLease(now, dutyAssign, k.assigner.lease)
	}
	if held := a.lease.Holds(k.since(now)); held != a.held {
		a.held = held
		k.log.Info("duty", "name", dutyAssign, "held", held)
	}
	if a.lease.Held(k.since(now)) < settle || a.running || now.Sub(a.proposed) < 100*time.Millisecond {
		return
	}
	k.proposeTable(now, stores)
}

func (k *Keeper) proposeTable(now time.Time, stores map[uint64]snapshot.Store) {
	a := &k.assigner
	alive, isLost := k.storesAt(now, stores)
	var assign tableStep = func(cur *snapshot.Table) (*snapshot.Table, bool) {
		return batch.Assign(cur, alive, isLost, partCount, k.o.Settings.SurviveMachines)
	}
	if _, changed := assign(k.parts); !changed {
		return
	}
	a.running, a.proposed = true, now
	k.changeTable(assign.orUnchanged, func(err error) {
		k.post(func() { a.running = false })
		k.log.Info("table proposed", "err", err)
		if err != nil && err != paxos.ErrUnchanged {
			k.log.Warn("table not changed", "err", err)
		}
	})
}

// askLease asks the voters for the lease of a duty when it is due.
func (k *Keeper) askLease(now time.Time, name string, lease *singleton.Candidate) {
	voters := k.leaseVoters()
	if k.leaving || !voters[k.agree.id] {
		return
	}
	ask, release, round := lease.Step(k.since(now), len(voters))
	if !ask && !release {
		return
	}
	if release {
		k.releaseGrants(name)
		return
	}
	k.requestGrants(now, name, lease, round, voters)
}

// requestGrants asks all voters for a lease; those that are not connected count as refusing. A round that can't be
// granted any more is released at once, as another keeper may be asking.
func (k *Keeper) requestGrants(now time.Time, name string, lease *singleton.Candidate, round uint64, voters map[uint64]bool) {
	answered := func(voter uint64, granted bool) {
		at, key := k.since(time.Now()), strconv.FormatUint(voter, 16)
		if granted {
			lease.Granted(at, round, key)
		} else if lease.Refused(at, round, key) {
			k.releaseGrants(name)
		}
	}
	body := leaseBody(name, k.self.Name, false)
	asked := map[uint64]bool{k.agree.id: true}
	answered(k.agree.id, k.mayGrant(now, k.agree.id) && k.lease.Ask(k.since(now), name, k.self.Name))
	for _, p := range k.peers {
		voter := p.node.ID
		if p.conn == nil || !voters[voter] {
			continue
		}
		asked[voter] = true
		reply := p.conn.Go(controlclient.Lease, body)
		go func() {
			answer := <-reply
			r := link.Reader{B: answer.Body}
			granted := r.Bool() && answer.Err == nil && r.Err == nil
			k.do(func() { answered(voter, granted) })
		}()
	}
	for voter := range voters {
		if !asked[voter] {
			answered(voter, false)
		}
	}
}

// releaseGrants gives back what was granted of a lease, and returns where the others' answers come.
func (k *Keeper) releaseGrants(name string) (answers []<-chan link.Reply) {
	k.lease.Release(name, k.self.Name)
	body := leaseBody(name, k.self.Name, true)
	for _, p := range k.peers {
		if p.conn != nil {
			answers = append(answers, p.conn.Go(controlclient.Lease, body))
		}
	}
	return answers
}

// leaseBody is a request for a grant, or its release.
func leaseBody(name, holder string, release bool) []byte {
	w := link.Writer{}
	w.String(name)
	w.String(holder)
	w.Bool(release)
	return w.B
}

// storesAt are the stores that are attached, and whether one has been away for too long.
func (k *Keeper) storesAt(now time.Time, stores map[uint64]snapshot.Store) ([]snapshot.Store, func(uint64) bool) {
	lost := map[uint64]bool{}
	if k.parts != nil {
		for id := range k.parts.Stores {
			lost[id] = now.Sub(k.assigner.seen[id]) > storeLost
		}
	}
	var alive []snapshot.Store
	for _, s := range stores {
		alive = append(alive, s)
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].ID < alive[j].ID })
	return alive, func(id uint64) bool { return lost[id] }
}

// storesNow is storesAt for other goroutines. Not ok: this keeper ends, or has not been in
// contact for long enough to have heard of all.
func (k *Keeper) storesNow() (alive []snapshot.Store, lost func(uint64) bool, ok bool) {
	type result struct {
		alive []snapshot.Store
		lost  func(uint64) bool
	}
	res, ok := ask(k, func() result {
		now := time.Now()
		if k.contact.HeldFor(k.since(now)) < settle {
			return result{}
		}
		alive, lost := k.storesAt(now, k.stores())
		return result{alive, lost}
	})
	return res.alive, res.lost, ok && res.lost != nil
}
