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
	rollSteps    = 6
	twinWait     = 3 * time.Second
	secondTerm   = 150 * time.Millisecond
	cutFirst     = 200 * time.Millisecond // delay of an endpoint that reports to a machine, so that the machine is cut off before
	stallEvery   = 40 * time.Millisecond
	maxStalled   = 60
)

// injectFaults injects all faults of the plan concurrently at their times, and returns when the last one has ended.
func (p *soakRun) injectFaults(ctx context.Context) {
	var all sync.WaitGroup
	for _, fault := range p.plan.Faults {
		all.Go(func() {
			if !wait.For(ctx, time.Until(p.began.Add(fault.At))) {
				return
			}
			p.options.Logf("%5.1f s  %v", time.Since(p.began).Seconds(), fault)
			if err := p.injectFault(ctx, fault); err != nil {
				p.options.Logf("%5.1f s  fault %d: %v", time.Since(p.began).Seconds(), fault.Number, err)
			}
		})
	}
	all.Wait()
	wait.For(ctx, time.Until(p.began.Add(p.plan.Length)))
}

// injectFault injects one fault and returns when it has ended.
func (p *soakRun) injectFault(ctx context.Context, fault Fault) error {
	role, variant, _ := strings.Cut(fault.How, " ")
	switch fault.Kind {
	case Kill:
		return p.restart(ctx, fault, p.processes(fault, cluster.Role(role), 1), (*cluster.Process).Kill, nil)
	case WipeDisk:
		chosen := p.processes(fault, cluster.Role(role), 1)
		return p.restart(ctx, fault, chosen, (*cluster.Process).Kill, (*cluster.Process).Wipe)
	case KillKeepers:
		return p.restart(ctx, fault, p.keepers(), (*cluster.Process).Kill, nil)
	case Term:
		end := func(process *cluster.Process) error { return terminate(process, variant) }
		return p.restart(ctx, fault, p.processes(fault, cluster.Role(role), 1), end, nil)
	case TermStores:
		return p.restart(ctx, fault, p.ofRole(cluster.Store), (*cluster.Process).Term, nil)
	case RollProxies:
		return p.rollProxies(ctx, fault)
	case Freeze:
		return p.freeze(ctx, fault, p.processes(fault, cluster.Role(role), 2))
	case Hangup:
		return p.hangup(fault)
	case CutOff, CutOneWay:
		return p.cut(ctx, fault, addressesOf(p.processes(fault, cluster.Role(role), 1)), fault.Kind == CutOneWay)
	case LoseAnswers:
		machines := addressesOf(p.processes(fault, cluster.Role(role), 2))
		return p.separate(ctx, fault, machines, []string{faults.Outside}, true, machines)
	case Halves:
		return p.halves(ctx, fault)
	case Leave:
		return p.leave(ctx, fault)
	case CrashEndpoint:
		return p.crashEndpoint(ctx, fault)
	case StallEndpoint:
		return p.stallEndpoint(ctx, fault)
	case CorruptAnswers:
		return p.corrupt(ctx, fault)
	case Misbehave:
		return p.misbehave(ctx, fault)
	case Race:
		p.orders.race(fault.For)
		return nil
	case SignalSeries:
		return p.signalSeries(ctx, fault, p.processes(fault, cluster.Role(role), maxSeriesTargets))
	case RestartSeries:
		return p.restartSeries(ctx, fault, p.processes(fault, cluster.Role(role), maxSeriesTargets))
	case HangupSeries:
		return p.hangupSeries(ctx, fault)
	case Twin:
		return p.processes(fault, cluster.Role(role), 1)[0].StartTwin(twinWait)
	}
	return fmt.Errorf("unknown fault kind %q", fault.Kind)
}

// processes returns the processes of a role that the fault targets, at most limit.
func (p *soakRun) processes(fault Fault, role cluster.Role, limit int) (chosen []*cluster.Process) {
	all := p.ofRole(role)
	for _, target := range fault.Targets[:min(limit, len(fault.Targets))] {
		if process := all[target%len(all)]; !slices.Contains(chosen, process) {
			chosen = append(chosen, process)
		}
	}
	return chosen
}

// restart stops processes with end, calls then (if not nil) for each of them, and starts them again after a delay. It skips
// processes that another fault has reserved.
func (p *soakRun) restart(
	ctx context.Context, fault Fault, processes []*cluster.Process, end, then func(*cluster.Process) error,
) error {
	failures := make([]error, len(processes))
	var all sync.WaitGroup
	for i, process := range processes {
		all.Go(func() {
			unlock, free := p.reserve(process)
			if !free {
				return
			}
			defer unlock()
			defer p.timeline.begin(string(fault.Kind), process)()
			if !unplanned(fault) {
				p.timeline.recordTerm(process)
			}
			failures[i] = end(process)
			if then != nil {
				failures[i] = errors.Join(failures[i], then(process))
			}
			wait.For(ctx, min(fault.For, backAfter+fault.For/2))
			failures[i] = errors.Join(failures[i], process.Start())
		})
	}
	all.Wait()
	return errors.Join(failures...)
}

// reserve reserves a process for one fault. It reports false if another fault has reserved it.
func (p *soakRun) reserve(process *cluster.Process) (release func(), free bool) {
	lock, _ := p.reserved.LoadOrStore(process, &sync.Mutex{})
	mutex := lock.(*sync.Mutex)
	return mutex.Unlock, mutex.TryLock()
}

// terminate sends SIGTERM, twice in the variant "twice", and waits until the process has exited.
func terminate(process *cluster.Process, variant string) error {
	if variant == "twice" {
		time.AfterFunc(secondTerm, func() { _ = process.SecondTerm() })
	}
	return process.Term()
}

// rollProxies restarts all proxies with SIGTERM in at most rollSteps batches, each started again before the next one stops.
func (p *soakRun) rollProxies(ctx context.Context, fault Fault) error {
	var failed error
	for step := range slices.Chunk(p.ofRole(cluster.Proxy), p.plan.Shape.rolledAtOnce()) {
		one := Fault{Kind: fault.Kind, For: rollPause}
		failed = errors.Join(failed, p.restart(ctx, one, step, (*cluster.Process).Term, nil))
		if !wait.For(ctx, rollPause) {
			break
		}
	}
	return failed
}

// freeze stops processes with SIGSTOP for the length of the fault.
func (p *soakRun) freeze(ctx context.Context, fault Fault, processes []*cluster.Process) error {
	var failed error
	for _, process := range processes {
		defer p.timeline.begin(string(fault.Kind), process)()
		failed = errors.Join(failed, process.Freeze())
	}
	wait.For(ctx, fault.For)
	for _, process := range processes {
		failed = errors.Join(failed, process.Resume())
	}
	return failed
}

// hangup makes all processes reload settings that list the seeds in another order.
func (p *soakRun) hangup(fault Fault) error {
	var failed error
	for _, process := range p.cluster.Processes() {
		defer p.timeline.recordInstant(string(fault.Kind), process)
		failed = errors.Join(failed, process.Rewrite(fault.Targets[0]), process.Hangup())
	}
	if fault.How == "stopping" {
		process := p.cluster.Processes()[fault.Targets[0]%len(p.cluster.Processes())]
		term := Fault{Kind: Term, For: backAfter}
		stopped := p.restart(context.Background(), term, []*cluster.Process{process}, (*cluster.Process).Term, nil)
		return errors.Join(failed, stopped)
	}
	return failed
}

// cut disconnects machines from all others for the length of the fault. Clients, operators and endpoints still reach all
// machines.
func (p *soakRun) cut(ctx context.Context, fault Fault, machines []string, oneWay bool) error {
	var others []string
	for _, address := range addressesOf(p.cluster.Processes()) {
		if !slices.Contains(machines, address) {
			others = append(others, address)
		}
	}
	return p.separate(ctx, fault, machines, others, oneWay, machines)
}

// halves disconnects one half of the machines with disks from the other. Machines without disks reach both halves.
func (p *soakRun) halves(ctx context.Context, fault Fault) error {
	machines := addressesOf(p.keepers())
	machines = append(machines, addressesOf(p.ofRole(cluster.Store))...)
	rng := rand.New(rand.NewPCG(p.plan.Seed, uint64(fault.Number)))
	rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return p.separate(ctx, fault, machines[:len(machines)/2], machines[len(machines)/2:], false, machines)
}

// separate blocks all traffic from some machines to others, and the reverse unless oneWay, for the length of the fault. The
// machines in affected count as faulty meanwhile.
func (p *soakRun) separate(
	ctx context.Context, fault Fault, from, to []string, oneWay bool, affected []string,
) error {
	for _, address := range affected {
		defer p.timeline.beginAt(string(fault.Kind), address)()
	}
	heal, err := p.cluster.Separate(from, to, oneWay)
	if err != nil {
		return err
	}
	p.misdirect.to(from)
	wait.For(ctx, fault.For)
	p.misdirect.to(nil)
	heal()
	return nil
}

// leave shuts an endpoint down as planned, then starts a new incarnation at its address.
func (p *soakRun) leave(ctx context.Context, fault Fault) error {
	if strings.Contains(fault.How, "lured") {
		wait.For(ctx, cutFirst)
	}
	e, at, there := p.removeEndpoint(fault.Targets[0])
	if !there {
		return nil
	}
	if strings.Contains(fault.How, "lured") {
		p.misdirect.countEndpoint(true)
		defer p.misdirect.countEndpoint(false)
	}
	end := e.Leave
	if strings.Contains(fault.How, "silent") {
		end = e.LeaveSilently
	}
	p.drains.record(e.ID(), end(ctx))
	return p.startEndpoint(at)
}

// crashEndpoint stops an endpoint abruptly and starts a new incarnation at its address after a delay.
func (p *soakRun) crashEndpoint(ctx context.Context, fault Fault) error {
	e, at, there := p.removeEndpoint(fault.Targets[0])
	if !there {
		return nil
	}
	e.Crash()
	wait.For(ctx, fault.For/2)
	return p.startEndpoint(at)
}

// stallEndpoint stalls all reads and writes on the connections of an endpoint for the length of the fault.
func (p *soakRun) stallEndpoint(ctx context.Context, fault Fault) error {
	all := p.running()
	if len(all) == 0 {
		return nil
	}
	e := all[fault.Targets[0]%len(all)]
	e.SetStalled(true)
	wait.For(ctx, fault.For)
	e.SetStalled(false)
	return nil
}

// corrupt makes endpoints send corrupt answers in turn.
func (p *soakRun) corrupt(ctx context.Context, fault Fault) error {
	kinds := []engine.Fault{engine.Garble, engine.Surplus, engine.Lost, engine.Broken}
	for n, until := 0, time.Now().Add(fault.For); time.Now().Before(until) && wait.For(ctx, corruptEvery); n++ {
		if all := p.running(); len(all) > 0 {
			all[n%len(all)].InjectFault(kinds[n/len(all)%len(kinds)])
		}
	}
	return nil
}

// incompleteRequests are the first bytes of requests that stall within the header, a body or a chunk.
var incompleteRequests = []string{
	"POST /talk/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\nContent-Le",
	"POST /save/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\n" +
		"Content-Length: 100000\r\n\r\nhalf of it",
	"POST /bulk/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\n" +
		"Content-Length: 100000\r\n\r\n{\"requests\":[",
	"POST /save/1 HTTP/1.1\r\nHost: tier.example\r\nX-Dunetide-Request-Id: stalled\r\n" +
		"Transfer-Encoding: chunked\r\n\r\nff\r\nx",
}

// misbehave opens connections that stall or close within a header or a body.
func (p *soakRun) misbehave(ctx context.Context, fault Fault) error {
	var stalled []net.Conn
	defer func() {
		for _, conn := range stalled {
			_ = conn.Close()
		}
	}()
	fronts := p.ofRole(cluster.Proxy)
	until := time.Now().Add(fault.For)
	for n := fault.Targets[0]; time.Now().Before(until) && wait.For(ctx, stallEvery); n++ {
		conn, err := net.DialTimeout("tcp", fronts[n%len(fronts)].ReachedFront(), time.Second)
		if err != nil {
			continue
		}
		_, _ = conn.Write([]byte(incompleteRequests[n%len(incompleteRequests)]))
		if n%3 == 0 || len(stalled) >= maxStalled {
			_ = conn.Close()
			continue
		}
		stalled = append(stalled, conn)
	}
	return nil
}

// injectFinal triggers the final event and returns when it began, or the zero time if the plan has none.
func (p *soakRun) injectFinal(ctx context.Context) time.Time {
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
	if err := p.restart(ctx, Fault{Kind: Kind(p.plan.Final), For: time.Second}, all, end, then); err != nil {
		p.options.Logf("final event: %v", err)
	}
	return at
}

// addressesOf returns the machine addresses of processes without duplicates.
func addressesOf(processes []*cluster.Process) (all []string) {
	for _, process := range processes {
		if !slices.Contains(all, process.Address()) {
			all = append(all, process.Address())
		}
	}
	return all
}
