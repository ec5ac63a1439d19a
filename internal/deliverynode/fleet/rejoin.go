package fleet

// unreachable returns the name and address, in memberlist's format, of a suspect member or an unreachable seed to exchange state
// with. A removed member may be alive on the other side of a network partition, where it has removed this node.
func (f *Fleet) unreachable() (address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	var silent, seeds []string
	next := 0
	for _, m := range f.table.Members() {
		if m.State == Suspect || m.State == Removed && !m.Heard && now-m.Since < removedRejoinPeriod {
			silent = append(silent, m.Name+"/"+m.Address)
		}
	}
	for i := range f.seeds { // also if they are not members: partitioned nodes find each other through the seeds
		at := (f.nextSeed + i) % len(f.seeds)
		s := f.seeds[at]
		if m, known := f.table.Member(s.Name); !known || !m.Heard {
			if len(seeds) == 0 {
				next = at + 1
			}
			seeds = append(seeds, s.Name+"/"+s.Address)
		}
	}
	if len(seeds) == 0 || len(silent) > 0 && f.rand.IntN(2) == 0 {
		return f.pickOne(silent)
	}
	f.nextSeed = next // in turn, so that a node that starts while most seeds are unreachable finds the reachable one
	return seeds[0], true
}

// convergenceTarget returns a random member to exchange state with for convergencePeriod after a change. Gossip repeats a
// message only a few times, and a node that missed it would have to wait for memberlist's next full exchange, which
// takes minutes in a large fleet.
func (f *Fleet) convergenceTarget() (address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Clock()-f.lastChange > convergencePeriod {
		return "", false
	}
	var all []string
	for _, m := range f.table.Members() {
		if m.State == Alive && m.Name != f.options.Name {
			all = append(all, m.Name+"/"+m.Address)
		}
	}
	return f.pickOne(all)
}

// pickOne returns a random element; f.mu is held.
func (f *Fleet) pickOne(all []string) (one string, ok bool) {
	if len(all) == 0 {
		return "", false
	}
	return all[f.rand.IntN(len(all))], true
}
