package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/lab/faults"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/wait"
)

const (
	backAfter    = 500 * time.Millisecond
	corruptEvery = 60 * time.Millisecond
	rollPause    = 300 * time.Millisecond
	twinWait     = 3 * time.Second
	secondTerm   = 150 * time.Millisecond
	lureDelay    = 200 * time.Millisecond
	stallEvery   = 40 * time.Millisecond
	maxStalled   = 60
)

// playFaults plays all troubles of the plan at their times, side by side, and returns when the last one has ended.
func (p *play) playFaults(ctx context.Context) {
	var all sync.WaitGroup
	for _, t := range p.plan.Faults {
		all.Go(func() {
			if !wait.For(ctx, time.Until(p.began.Add(t.At))) {
				return
			}
			p.options.Logf("%5.1f s  %v", time.Since(p.began).Seconds(), t)
			if err := p.playFault(ctx, t); err != nil {
				p.options.Logf("%5.1f s  trouble %d: %v", time.Since(p.began).Seconds(), t.Number, err)
			}
		})
	}
	all.Wait()
	wait.For(ctx, time.Until(p.began.Add(p.plan.Length)))
}

// playFault plays one.
func (p *play) playFault(ctx context.Context, t Fault) error {
	role, variant, _ := strings.Cut(t.How, " ")
	switch t.Kind {
	case Kill:
		return p.down(ctx, t, p.processes(t, cluster.Role(role), 1), (*cluster.Process).Kill, nil)
	case WipeDisk:
		return p.down(ctx, t, p.processes(t, cluster.Role(role), 1), (*cluster.Process).Kill, (*cluster.Process).Wipe)
	case KillKeepers:
		return p.down(ctx, t, p.keepers(), (*cluster.Process).Kill, nil)
	case Term:
		return p.down(ctx, t, p.processes(t, cluster.Role(role), 1), func(process *cluster.Process) error { return terminate(process, variant) }, nil)
	case TermStores:
		return p.down(ctx, t, p.ofRole(cluster.Store), (*cluster.Process).Term, nil)
	case RollProxies:
		return p.rollProxies(ctx, t)
	case Freeze:
		return p.freeze(ctx, t, p.processes(t, cluster.Role(role), 2))
	case Hangup:
		return p.hangup(t)
	case CutOff, CutOneWay:
		return p.cut(ctx, t, addressesOf(p.processes(t, cluster.Role(role), 1)), t.Kind == CutOneWay)
	case LoseAnswers:
		machines := addressesOf(p.processes(t, cluster.Role(role), 2))
		return p.separate(ctx, t, machines, []string{faults.Outside}, true, machines)
	case Halves:
		return p.halves(ctx, t)
	case Leave:
		return p.leave(ctx, t)
	case CrashServer:
		return p.crashEndpoint(ctx, t)
	case DarkServer:
		return p.darkEndpoint(ctx, t)
	case CorruptAnswers:
		return p.corrupt(ctx, t)
	case Misbehave:
		return p.misbehave(ctx, t)
	case Race:
		p.orders.race(t.For)
		return nil
	case Twin:
		return p.processes(t, cluster.Role(role), 1)[0].StartTwin(twinWait)
	}
	return fmt.Errorf("no trouble is of kind %q", t.Kind)
}

// processes are those of a role that the targets choose, up to so many.
func (p *play) processes(t Fault, role cluster.Role, most int) (chosen []*cluster.Process) {
	all := p.ofRole(role)
	for _, target := range t.Targets[:min(most, len(t.Targets))] {
		if process := all[target%len(all)]; !slices.Contains(chosen, process) {
			chosen = append(chosen, process)
		}
	}
	return chosen
}

// down ends processes in the way that is named, and starts them again after a while. A process that another trouble has down is left
// alone.
func (p *play) down(ctx context.Context, t Fault, processes []*cluster.Process, end, then func(*cluster.Process) error) error {
	failed := make([]error, len(processes))
	var all sync.WaitGroup
	for i, process := range processes {
		all.Go(func() {
			lock, _ := p.busy.LoadOrStore(process, &sync.Mutex{})
			if !lock.(*sync.Mutex).TryLock() {
				return
			}
			defer lock.(*sync.Mutex).Unlock()
			defer p.timeline.begin(string(t.Kind), process)()
			failed[i] = end(process)
			if then != nil {
				failed[i] = errors.Join(failed[i], then(process))
			}
			wait.For(ctx, min(t.For, backAfter+t.For/2))
			failed[i] = errors.Join(failed[i], process.Start())
		})
	}
	all.Wait()
	return errors.Join(failed...)
}

// terminate is SIGTERM, or two of them.
func terminate(process *cluster.Process, variant string) error {
	if variant == "twice" {
		time.AfterFunc(secondTerm, func() { _ = process.SecondTerm() })
	}
	return process.Term()
}

func (p *play) rollProxies(ctx context.Context, t Fault) error {
	var failed error
	for _, process := range p.ofRole(cluster.Proxy) {
		failed = errors.Join(failed, p.down(ctx, Fault{Kind: t.Kind, For: rollPause}, []*cluster.Process{process}, (*cluster.Process).Term, nil))
		if !wait.For(ctx, rollPause) {
			break
		}
	}
	return failed
}

func (p *play) freeze(ctx context.Context, t Fault, processes []*cluster.Process) error {
	var failed error
	for _, process := range processes {
		defer p.timeline.begin(string(t.Kind), process)()
		failed = errors.Join(failed, process.Freeze())
	}
	wait.For(ctx, t.For)
	for _, process := range processes {
		failed = errors.Join(failed, process.Thaw())
	}
	return failed
}

// hangup has all processes read their settings anew, of which the seeds have another order.
func (p *play) hangup(t Fault) error {
	var failed error
	for _, process := range p.cluster.Processes() {
		defer p.timeline.touch(string(t.Kind), process)
		failed = errors.Join(failed, process.Rewrite(t.Targets[0]), process.Hangup())
	}
	if t.How == "stopping" {
		process := p.cluster.Processes()[t.Targets[0]%len(p.cluster.Processes())]
		return errors.Join(failed, p.down(context.Background(), Fault{Kind: Term, For: backAfter}, []*cluster.Process{process}, (*cluster.Process).Term, nil))
	}
	return failed
}

// cut keeps machines from all others for a while. Clients, operators and endpoints reach all.
func (p *play) cut(ctx context.Context, t Fault, machines []string, oneWay bool) error {
	var others []string
	for _, address := range addressesOf(p.cluster.Processes()) {
		if !slices.Contains(machines, address) {
			others = append(others, address)
		}
	}
	return p.separate(ctx, t, machines, others, oneWay, machines)
}

// halves keeps one half of the machines with disks from the other one. Machines without disks reach both.
func (p *play) halves(ctx context.Context, t Fault) error {
	machines := addressesOf(p.keepers())
	machines = append(machines, addressesOf(p.ofRole(cluster.Store))...)
	rng := rand.New(rand.NewPCG(p.plan.Seed, uint64(t.Number)))
	rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return p.separate(ctx, t, machines[:len(machines)/2], machines[len(machines)/2:], false, machines)
}

func (p *play) separate(ctx context.Context, t Fault, from, to []string, oneWay bool, hurt []string) error {
	for _, address := range hurt {
		defer p.timeline.beginAt(string(t.Kind), address)()
	}
	heal, err := p.cluster.Separate(from, to, oneWay)
	if err != nil {
		return err
	}
	p.decoy.to(from)
	wait.For(ctx, t.For)
	p.decoy.to(nil)
	heal()
	return nil
}

// leave has an endpoint end, while another one takes its place elsewhere soon.
func (p *play) leave(ctx context.Context, t Fault) error {
	if strings.Contains(t.How, "lured") {
		wait.For(ctx, lureDelay)
	}
	e, at, there := p.removeEndpoint(t.Targets[0])
	if !there {
		return nil
	}
	if strings.Contains(t.How, "lured") {
		p.decoy.endpoint(true)
		defer p.decoy.endpoint(false)
	}
	end := e.Leave
	if strings.Contains(t.How, "silent") {
		end = e.Depart
	}
	p.drains.watch(e.ID(), end(ctx))
	return p.startEndpoint(at)
}

func (p *play) crashEndpoint(ctx context.Context, t Fault) error {
	e, at, there := p.removeEndpoint(t.Targets[0])
	if !there {
		return nil
	}
	e.Crash()
	wait.For(ctx, t.For/2)
	return p.startEndpoint(at)
}

func (p *play) darkEndpoint(ctx context.Context, t Fault) error {
	all := p.running()
	if len(all) == 0 {
		return nil
	}
	e := all[t.Targets[0]%len(all)]
	e.Dark(true)
	wait.For(ctx, t.For)
	e.Dark(false)
	return nil
}

// corrupt has endpoints spoil answers in turn.
func (p *play) corrupt(ctx context.Context, t Fault) error {
	kinds := []engine.Fault{engine.Garble, engine.Surplus, engine.Lost, engine.Broken}
	for n, until := 0, time.Now().Add(t.For); time.Now().Before(until) && wait.For(ctx, corruptEvery); n++ {
		if all := p.running(); len(all) > 0 {
			all[n%len(all)].Break(kinds[n/len(all)%len(kinds)])
		}
	}
	return nil
}

// misbehave opens connections that stall in the middle of a header or a body, or close there.
func (p *play) misbehave(ctx context.Context, t Fault) error {
	var stalled []net.Conn
	defer func() {
		for _, conn := range stalled {
			_ = conn.Close()
		}
	}()
	pieces := []string{
		"POST /talk/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\nContent-Le",
		"POST /save/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\nContent-Length: 100000\r\n\r\nhalf of it",
		"POST /bulk/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\nContent-Length: 100000\r\n\r\n{\"requests\":[",
		"POST /save/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nx",
	}
	fronts := p.ofRole(cluster.Proxy)
	for n, until := t.Targets[0], time.Now().Add(t.For); time.Now().Before(until) && wait.For(ctx, stallEvery); n++ {
		conn, err := net.DialTimeout("tcp", fronts[n%len(fronts)].ReachedFront(), time.Second)
		if err != nil {
			continue
		}
		_, _ = conn.Write([]byte(pieces[n%len(pieces)]))
		if n%3 == 0 || len(stalled) >= maxStalled {
			_ = conn.Close()
			continue
		}
		stalled = append(stalled, conn)
	}
	return nil
}

// playFinal plays what happens at the end, and tells when.
func (p *play) playFinal(ctx context.Context) time.Time {
	p.orders.awaitAcknowledged(ctx)
	at := time.Now()
	p.options.Logf("%5.1f s  final: %s", at.Sub(p.began).Seconds(), p.plan.Final)
	all := p.cluster.Processes()
	var lost []*cluster.Process
	end := (*cluster.Process).Kill
	switch p.plan.Final {
	case FinalNone:
		return time.Time{}
	case FinalRestart:
		end = (*cluster.Process).Term
	case FinalWipe:
		for n := range p.plan.Shape.Survive {
			holders := slices.Concat(p.keepers(), p.ofRole(cluster.Store))
			lost = append(lost, holders[(int(p.plan.Seed)+n*5)%len(holders)])
		}
	case FinalKillAll:
	}
	then := func(process *cluster.Process) error {
		if slices.Contains(lost, process) {
			return process.Wipe()
		}
		return nil
	}
	if err := p.down(ctx, Fault{Kind: Kind(p.plan.Final), For: time.Second}, all, end, then); err != nil {
		p.options.Logf("the final: %v", err)
	}
	return at
}

// addressesOf are the machines of processes, each once.
func addressesOf(processes []*cluster.Process) (all []string) {
	for _, process := range processes {
		if !slices.Contains(all, process.Address()) {
			all = append(all, process.Address())
		}
	}
	return all
}
