package fleet

// unreachable is the name and address, as memberlist takes them, of one that should be met again: it
// is silent, or a seed that is not heard. One that was removed may be alive behind a split, where it has removed this one.
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
	for i := range f.seeds { // in service or not, they are where all meet
		at := (f.nextSeed + i) % len(f.seeds)
		s := f.seeds[at]
		if m, there := f.table.Member(s.Name); !there || !m.Heard {
			if len(seeds) == 0 {
				next = at + 1
			}
			seeds = append(seeds, s.Name+"/"+s.Address)
		}
	}
	if len(seeds) == 0 || len(silent) > 0 && f.rand.IntN(2) == 0 {
		return f.pickOne(silent)
	}
	f.nextSeed = next // each in its turn: whoever begins while most are cut off must come to the one that is not
	return seeds[0], true
}

// convergenceTarget is one to meet while news are fresh: gossip says a thing a few times, and whoever
// missed it would wait for memberlist's next round, which takes minutes in a large fleet.
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

// pickOne draws; f.mu is held.
func (f *Fleet) pickOne(all []string) (one string, ok bool) {
	if len(all) == 0 {
		return "", false
	}
	return all[f.rand.IntN(len(all))], true
}
