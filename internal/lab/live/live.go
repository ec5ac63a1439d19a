// Package live runs a scenario against real delivery nodes: processes of the built program, with the lab's world behind sockets on
// the loopback interface.
package live

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

const (
	// lateSend is how late the lab may submit a message before it counts as a fault of the lab.
	lateSend = 50 * time.Millisecond
	// startTimeout is the time limit for all nodes to become ready.
	startTimeout = 30 * time.Second
	// killAfter and startAfter are the delays of a planned restart on the platform.
	killAfter  = 3700 * time.Millisecond
	startAfter = 600 * time.Millisecond
	// events is the capacity of the queue of the event loop.
	events = 1 << 14
)

// Options configure a run.
type Options struct {
	Node  string   // path of the node's program
	Flags []string // its flags
	Dir   string   // for the nodes' directories and logs
	Day   world.Day
	Note  func(trace.Record)
	// Progress is called about once a second with the current time and the end of the run.
	Progress func(now, end time.Duration)
}

// Use is the resource usage of one node's processes.
type Use struct {
	CPU            time.Duration
	RSS            int64 // bytes, peak
	Files          int
	Disk           int64
	Starts         int
	SlowestStart   time.Duration
	LogBytesLost   int64
	UnplannedExits int
}

// run is one run. All of its state belongs to the event loop; other goroutines post functions to it.
type run struct {
	options    Options
	world      *world.World
	origin     time.Time
	do         chan func()
	ended      chan struct{}
	nodes      []*node
	clients    *clients
	calls      map[uint64]*conn // calls that wait for their answer
	unfinished map[string]bool  // ids of accepted messages without an end
	endedEarly map[string]bool  // ids of messages with an end whose client has not received the acceptance yet
	pending    int              // tries that are scheduled or in flight
	tries      map[string]world.Try
	wg         sync.WaitGroup
	playing    bool
	fatal      error
	fleet      *fleet // nil if the nodes are independent
}

// Run runs the day until all accepted messages have ended, or until the deadline of the last message.
func Run(ctx context.Context, o Options) ([]Use, error) {
	r := &run{options: o, do: make(chan func(), events), ended: make(chan struct{}), calls: map[uint64]*conn{},
		unfinished: map[string]bool{}, endedEarly: map[string]bool{}, tries: map[string]world.Try{}}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	r.origin = time.Now() // until the day begins
	r.world = world.New(o.Day, r, r.note)
	r.clients = newClients(r)
	err := r.open(runCtx)
	if err == nil {
		err = r.ready(ctx)
	}
	if err == nil {
		err = r.play(ctx)
	}
	for _, n := range r.nodes {
		n.saveView()
	}
	close(r.ended)
	for _, n := range r.nodes {
		n.quit()
	}
	stop()
	for _, n := range r.nodes {
		n.close()
	}
	r.clients.close()
	r.wg.Wait()
	err = errors.Join(err, r.fleet.close())
	var uses []Use
	for _, n := range r.nodes {
		uses = append(uses, n.use)
	}
	return uses, err
}

// note passes a record on; events before the start of the day are not recorded.
func (r *run) note(rec trace.Record) {
	if r.playing {
		r.options.Note(rec)
	}
}

func (r *run) now() time.Duration { return time.Since(r.origin) }

// post queues a function for the event loop; it returns false if the run is over.
func (r *run) post(f func()) bool {
	select {
	case r.do <- f:
		return true
	case <-r.ended:
		return false
	}
}

// after posts a function to the event loop after a delay, unless the run is over by then.
func (r *run) after(d time.Duration, f func()) {
	r.wg.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			r.post(f)
		case <-r.ended:
		}
	})
}

// ask posts a function to the event loop and waits until it has run.
func (r *run) ask(f func()) bool {
	done := make(chan struct{})
	if !r.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-r.ended:
		return false
	}
}

// open opens the listeners of all nodes and starts the nodes.
func (r *run) open(runCtx context.Context) error {
	if err := os.MkdirAll(r.options.Dir, 0o755); err != nil {
		return fmt.Errorf("creating the nodes' directory: %w", err)
	}
	if err := r.openFleet(); err != nil {
		return fmt.Errorf("opening the fleet: %w", err)
	}
	for i := range r.options.Day.Nodes {
		n := &node{run: r, me: i, dir: filepath.Join(r.options.Dir, fmt.Sprintf("n%d", i))}
		r.nodes = append(r.nodes, n)
		if err := n.open(runCtx); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
	}
	for _, n := range r.nodes {
		for _, p := range n.procs {
			if err := p.start(); err != nil {
				return fmt.Errorf("node %d: %w", n.me, err)
			}
		}
	}
	return nil
}

// ready waits until all nodes accept clients; the day starts only then.
func (r *run) ready(ctx context.Context) error {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	for {
		up := 0
		for _, n := range r.nodes {
			if n.ready() {
				up++
			}
		}
		if up == len(r.nodes) {
			return nil
		}
		select {
		case f := <-r.do:
			f()
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return fmt.Errorf("%d of %d nodes were ready after %v; their logs are in %s", up, len(r.nodes), startTimeout, r.options.Dir)
		}
		if r.fatal != nil {
			return r.fatal
		}
	}
}

// play runs the event loop.
func (r *run) play(ctx context.Context) error {
	r.origin, r.playing = time.Now(), true
	for _, n := range r.nodes {
		r.note(trace.Record{What: trace.Ready, Node: n.me})
	}
	r.fleet.begin()
	day := &r.options.Day
	end := day.Length
	r.pending = len(day.Messages)
	for i, m := range day.Messages {
		t := world.Try{Message: i, At: m.At, Node: m.Node}
		end = max(end, day.Until(t))
	}
	end += time.Second
	r.wg.Go(r.clients.submitFirstTries)
	timer := time.NewTimer(0)
	defer timer.Stop()
	told := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return errors.New("stopped before its end")
		case f := <-r.do:
			f()
		case <-timer.C:
		}
		for more := true; more; {
			select {
			case f := <-r.do:
				f()
			default:
				more = false
			}
		}
		now := r.now()
		r.world.Advance(now)
		if r.fatal != nil {
			return r.fatal
		}
		if now > end || now > day.Length && r.pending == 0 && len(r.unfinished) == 0 {
			r.fleet.reportStray()
			r.note(trace.Record{At: now, What: trace.RunEnded})
			return nil
		}
		if r.options.Progress != nil && now-told >= time.Second {
			told = now
			r.options.Progress(now, end)
		}
		wake := 100 * time.Millisecond
		if at, ok := r.world.Next(); ok {
			wake = min(wake, max(0, at-r.now()))
		}
		timer.Reset(wake)
	}
}

// Answer implements world.Host.
func (r *run) Answer(now time.Duration, a world.Answer) {
	c := r.calls[a.Call]
	delete(r.calls, a.Call)
	if c == nil {
		return
	}
	c.call = 0
	c.answer(a)
	if a.Status == 200 {
		r.end(a.ID)
	}
}

// end marks a message as ended.
func (r *run) end(id string) {
	if !r.unfinished[id] {
		if _, waits := r.tries[id]; waits {
			r.endedEarly[id] = true
		}
	}
	delete(r.unfinished, id)
}

// Listed implements world.Host.
func (r *run) Listed(_ time.Duration, me int, eps []int) { r.nodes[me].agent.addChanges(eps) }

// DialResultChanged implements world.Host.
func (r *run) DialResultChanged(_ time.Duration, ep int, as world.DialResult) {
	for _, n := range r.nodes {
		if err := n.endpoints[ep].set(as); err != nil && r.fatal == nil {
			r.fatal = fmt.Errorf("endpoint %d: %w", ep, err)
		}
	}
}

// ApplyNodeFault implements world.Host.
func (r *run) ApplyNodeFault(now time.Duration, t world.Fault, me int) {
	r.nodes[me].applyFault(now, t)
}

// freePort returns a currently unused address.
func freePort(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
