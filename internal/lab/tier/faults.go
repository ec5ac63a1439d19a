package tier

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
)

const (
	backAfter    = time.Second // until a killed process or crashed endpoint is started again
	corruptEvery = 100 * time.Millisecond
	frozenFor    = 3 * time.Second
)

// injectors has a function for each fault by its name. It injects the fault and returns when the fault has ended.
var injectors = map[string]func(*rig) error{
	"store":         func(r *rig) error { return r.kill(r.cluster.Find(cluster.Store, 0), false) },
	"keeper":        func(r *rig) error { return r.kill(r.cluster.Find(cluster.Keeper, 0), false) },
	"proxy":         func(r *rig) error { return r.kill(r.cluster.Find(cluster.Proxy, 0), false) },
	"engine":        (*rig).crash,
	"store-disk":    func(r *rig) error { return r.kill(r.cluster.Find(cluster.Store, 1), true) },
	"keeper-disk":   func(r *rig) error { return r.kill(r.cluster.Find(cluster.Keeper, 1), true) },
	"freeze-store":  func(r *rig) error { return r.freeze(r.cluster.Find(cluster.Store, 2)) },
	"freeze-keeper": func(r *rig) error { return r.freeze(r.cluster.Find(cluster.Keeper, 2)) },
	"kill-all":      (*rig).killAll,
	"dark":          (*rig).stall,
	"leave":         (*rig).leave,
}

// Faults returns the names of all faults.
func Faults() []string { return slices.Sorted(maps.Keys(injectors)) }

// faults injects the faults named in the options one after another, spread over the length of the run.
func (r *rig) faults(ctx context.Context) error {
	began := time.Now()
	for i, name := range r.options.Faults {
		at := time.Duration(float64(r.options.Length) * (0.3 + 0.5*float64(i)/float64(len(r.options.Faults))))
		t := time.NewTimer(time.Until(began.Add(at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
		r.options.Logf("%4.1f s  %s", time.Since(began).Seconds(), name)
		if err := injectors[name](r); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// kill kills a process, wipes its disk if asked to, and starts it again after backAfter.
func (r *rig) kill(p *cluster.Process, wipe bool) error {
	if err := p.Kill(); err != nil {
		return err
	}
	if wipe {
		if err := p.Wipe(); err != nil {
			return err
		}
	}
	time.Sleep(backAfter)
	return p.Start()
}

// killAll kills all processes at once and starts them again after backAfter.
func (r *rig) killAll() error {
	all := r.cluster.Processes()
	for _, p := range all {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	time.Sleep(backAfter)
	for _, p := range all {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// freeze stops a process with SIGSTOP for frozenFor.
func (r *rig) freeze(p *cluster.Process) error {
	if err := p.Freeze(); err != nil {
		return err
	}
	time.Sleep(frozenFor)
	return p.Resume()
}

// victim returns the running engine that faults are applied to.
func (r *rig) victim() *engine.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordered()[0]
}

// ordered returns all endpoints in the order in which they started, the plain ones last.
func (r *rig) ordered() []*engine.Endpoint {
	return slices.SortedFunc(maps.Keys(r.all), func(a, b *engine.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Service(), b.Service()), cmp.Compare(a.ID(), b.ID()))
	})
}

// replace starts a new incarnation of a stopped engine at its address.
func (r *rig) replace(e *engine.Endpoint) error {
	r.mu.Lock()
	delete(r.all, e)
	r.mu.Unlock()
	time.Sleep(backAfter)
	err := r.startEndpoint(gen, e.Address(), 0)
	return err
}

// crash stops an engine abruptly and starts another at its address.
func (r *rig) crash() error {
	e := r.victim()
	e.Crash()
	return r.replace(e)
}

// leave shuts an engine down as planned.
func (r *rig) leave() error {
	e := r.victim()
	if e.Leave(context.Background()).IsZero() {
		r.options.Logf("no keeper acknowledged the drain of %s", e.ID())
	}
	return r.replace(e)
}

// stall stalls all reads and writes on an engine's connections for frozenFor.
func (r *rig) stall() error {
	e := r.victim()
	e.SetStalled(true)
	time.Sleep(frozenFor)
	e.SetStalled(false)
	return nil
}

// corrupt makes endpoints send corrupt answers in turn.
func (r *rig) corrupt(ctx context.Context) {
	tick := time.NewTicker(corruptEvery)
	defer tick.Stop()
	kinds := []engine.Fault{engine.Garble, engine.Surplus, engine.Lost, engine.Broken}
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		all := r.ordered()
		r.mu.Unlock()
		all[n%len(all)].InjectFault(kinds[n/len(all)%len(kinds)])
	}
}
