package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
)

// world is a fleet in simulated time: the production Keepers, leases, journals and copies of each node, on disks in memory and
// over a network that loses, duplicates and delays messages and has partitions. Nodes accept messages and send them; an
// account outside the nodes records what happens to each message.
type world struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand // under mu
	o      worldOptions
	nodes  []*wnode
	began  time.Time
	mu     sync.Mutex
	cuts   map[[2]int]bool // from, to
	loss   float64
	truth  map[string]*account
	next   int
	events []string
	lost   int // machines
	broken string
}

type worldOptions struct {
	nodes, copies int
	mode, short   string
	sync          bool
	leaseS        float64
	silenceS      float64
}

// account records what happened to one message.
type account struct {
	id       string
	once     bool
	owner    string
	acked    bool
	deadline time.Time
	out      int    // calls in flight
	ran      int    // attempts that may have run
	done     bool   // delivered
	finals   int    // number of notices
	back     bool   // its client was told to submit it again
	excused  bool   // it may be lost
	by       string // the node that sent it last
}

// wnode is a node: its disk, which persists, and its process, which may end.
type wnode struct {
	w           *world
	i           int
	name        string
	disk        *wdisk
	incarnation uint64 // the last incarnation
	proc        *wproc // nil while it is down
	removed     bool
	saved       *wdisk   // a copy of its disk
	held        []string // ids of the messages that its last process had
	whole       bool     // whether that process had as many copies as wanted
	old         bool     // its disk is an old copy, and the other nodes have detected that
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Float64() < p
}

func (w *world) log(form string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(form, args...))
}

func (w *world) breaks(form string, args ...any) {
	w.log("BROKEN: "+form, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken == "" {
		w.broken = fmt.Sprintf(form, args...)
	}
}

// reaches reports whether the network connects two nodes now.
func (w *world) reaches(a, b int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cuts[[2]int{a, b}] && w.rand.Float64() >= w.loss
}

func (w *world) named(name string) *wnode {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (n *wnode) alive() *wproc {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.proc
}

// start starts a process on the node's disk.
func (n *wnode) start() {
	w := n.w
	w.mu.Lock()
	n.incarnation++
	n.removed = false
	inc := n.incarnation
	seed := w.rand.Uint64()
	w.mu.Unlock()
	life, kill := context.WithCancel(context.Background())
	p := &wproc{n: n, incarnation: inc, start: time.Now(), life: life, kill: kill, news: map[string]fleet.UpdateFunc{}, asks: map[string]fleet.AskFunc{},
		seen: map[string]fleet.State{}, held: map[string]*wheld{}, over: map[string]bool{}, works: map[*journal.Journal]*Work{}, acts: map[*Work]bool{}}
	quiet := slog.New(slog.DiscardHandler)
	if os.Getenv("COPIES_LOG") != "" {
		quiet = slog.New(slog.NewTextHandler(&eventWriter{w, n.name}, nil))
	}
	j, owed, err := journal.Open(journal.Options{Folder: n.disk.Top(), Limit: 4 << 20, Sync: w.o.sync, Log: quiet})
	if err != nil {
		w.breaks("%s: its journal: %v", n.name, err)
		return
	}
	p.journal = j
	if err := p.open(j, seed, quiet); err != nil {
		w.breaks("%s: its copies: %v", n.name, err)
		return
	}
	p.mu.Lock()
	p.works[j] = p.keeper.Own()
	for _, id := range j.EndedIDs() {
		p.over[id] = true
	}
	for _, m := range owed {
		p.held[m.ID] = &wheld{m: m}
	}
	p.mu.Unlock()
	if n.old { // the fleet reports it before the node joins
		n.old = false
		if err := errors.Join(p.leases.Overtaken(), p.keeper.MarkStale()); err != nil {
			w.breaks("%s: its old folder: %v", n.name, err)
		}
	}
	p.keeper.Resume()
	w.mu.Lock()
	n.proc = p
	w.mu.Unlock()
	w.log("%s starts as %d, owes %d", n.name, inc, len(owed))
	p.running.Go(func() { p.leases.Run(life) })
	p.running.Go(func() { p.keeper.Run(life) })
	p.running.Go(p.gossip)
	p.running.Go(p.serve)
}

// open opens the leases and the copies of a process.
func (p *wproc) open(j *journal.Journal, seed uint64, log *slog.Logger) (err error) {
	n, w := p.n, p.n.w
	clock := func() time.Duration { return time.Since(w.began) }
	var voters []string
	for _, v := range w.nodes[:3] {
		voters = append(voters, v.name)
	}
	p.leases = lease.New(lease.Options{Net: p, Folder: n.disk.Top(), Name: n.name, Voters: voters, Longest: time.Duration(w.o.leaseS * float64(time.Second)),
		Most: 50, Clock: clock, Above: func() uint64 { return uint64(time.Now().Unix()) << 20 }, Seed: seed, Log: log})
	f := fleet.File{Leases: &fleet.Leases{Voters: voters}, Copies: &fleet.Copies{Mode: w.o.mode, Short: w.o.short, LeaseS: w.o.leaseS,
		SilenceS: w.o.silenceS, ScrubS: 5}}
	p.keeper, err = New(Options{Net: p, Leases: p.leases, Name: n.name, Copies: w.o.copies, Settings: f.CopiesOf(), Locality: func(string) string { return "" },
		Folders: n.disk, Limit: 2 << 20, Slots: 2*w.o.copies + 1, Sync: w.o.sync, Clock: clock, Now: time.Now, Seed: seed, Host: p, Log: log}, j)
	return err
}

type eventWriter struct {
	w    *world
	name string
}

func (e *eventWriter) Write(b []byte) (int, error) {
	_, line, _ := strings.Cut(strings.TrimSpace(string(b)), "level=")
	e.w.log("  %s: %s", e.name, line)
	return len(b), nil
}

// die ends a process as SIGKILL does: all of its writes are kept.
func (n *wnode) die() {
	w := n.w
	w.mu.Lock()
	p := n.proc
	n.proc = nil
	w.mu.Unlock()
	if p == nil {
		return
	}
	n.held, n.whole = nil, false
	for _, wk := range p.keeper.Status().Works {
		n.whole = n.whole || wk.Own && len(wk.Holders) >= w.o.copies
	}
	p.mu.Lock()
	for id := range p.held {
		n.held = append(n.held, id)
	}
	p.mu.Unlock()
	p.kill()
	p.journal.Release() // no further writes
	p.running.Wait()
	_ = errors.Join(p.keeper.Close(), p.journal.Close())
	w.mu.Lock()
	for _, a := range w.truth { // the calls of the process break
		if a.by == n.name && a.out > 0 {
			a.out = 0
		}
	}
	w.mu.Unlock()
}

// excuse marks the messages of a node as ones that may be lost: it had too few copies, or the holders of its copies may be
// unreachable for longer than it waits for them on an old folder.
func (n *wnode) excuse() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for _, id := range n.held {
		n.w.truth[id].excused = true
	}
}

// run runs one seed.
func (w *world) run(steps int) {
	w.began = time.Now()
	for i := range w.o.nodes {
		n := &wnode{w: w, i: i, name: fmt.Sprint("n", i), disk: newWdisk()}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	time.Sleep(time.Duration(w.o.leaseS*float64(time.Second)) + 5*time.Second)
	var clients sync.WaitGroup
	for range steps {
		time.Sleep(time.Duration(20+w.draw(400)) * time.Millisecond)
		w.fault()
		for range w.draw(4) {
			clients.Go(w.client)
		}
		if w.broken != "" {
			break
		}
	}
	clients.Wait()
	// All faults end; nodes that are permanently down stay down.
	w.mu.Lock()
	clear(w.cuts)
	w.loss = 0
	w.mu.Unlock()
	w.log("all faults end")
	for _, n := range w.nodes {
		if n.alive() == nil {
			n.start()
		}
	}
	time.Sleep(40*time.Second + 3*time.Duration((w.o.leaseS+w.o.silenceS)*float64(time.Second)))
	for _, n := range w.nodes {
		n.die()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.truth {
		if a.acked && !a.excused && !a.done && a.finals == 0 && w.broken == "" && w.o.mode == fleet.CopyBefore {
			w.broken = fmt.Sprintf("%s, accepted by %s, has not ended", a.id, a.owner)
			w.events = append(w.events, "BROKEN: "+w.broken)
		}
	}
}

func (w *world) client() {
	n := w.nodes[w.draw(len(w.nodes))]
	p := n.alive()
	if p == nil {
		return
	}
	w.mu.Lock()
	w.next++
	a := &account{id: fmt.Sprintf("m%04d", w.next), once: w.rand.IntN(2) == 0, owner: n.name}
	life := time.Duration(500+w.rand.IntN(25000)) * time.Millisecond
	a.deadline = time.Now().Add(life)
	w.truth[a.id] = a
	w.mu.Unlock()
	acked := p.handIn(a.id, a.once, life)
	w.mu.Lock()
	a.acked = acked
	w.mu.Unlock()
	w.log("%s submitted to %s, accepted: %v", a.id, n.name, acked)
}

// fault begins a random fault.
func (w *world) fault() {
	n := w.nodes[w.draw(len(w.nodes))]
	switch k := w.draw(300); {
	case k < 34:
		w.machineFault(n, k)
	case k < 54:
		w.networkFault(n, k)
	case k < 64: // a copy of the node's folder is made, which later replaces the folder
		n.saved = n.disk.clone()
	case k < 70:
		w.oldFolder(n)
	case k < 120:
		for _, n := range w.nodes {
			if n.alive() == nil && w.draw(3) == 0 {
				n.start()
			}
		}
	case k < 200:
	case k < 220:
		w.mu.Lock()
		clear(w.cuts)
		w.mu.Unlock()
	case k < 225:
		if n.alive() == nil {
			w.log("%s is removed", n.name)
			w.mu.Lock()
			n.removed = true
			w.mu.Unlock()
		}
	}
}

// machineFault kills or starts a node, or loses its disk or its power.
func (w *world) machineFault(n *wnode, k int) {
	switch {
	case k < 8:
		w.log("%s is killed", n.name)
		n.die()
	case k < 28:
		if n.alive() == nil {
			n.start()
		}
	case k < 31:
		if w.lost < w.o.copies && n.i >= 3 { // the loss of voters is tested in package lease
			w.lost++
			w.log("%s is lost with its disk", n.name)
			n.die()
			n.disk = newWdisk()
			if !n.whole {
				n.excuse()
			}
		}
	default:
		w.log("%s loses its power", n.name)
		n.die()
		if w.o.sync {
			n.disk.powerLoss(w.draw)
		} else {
			n.disk.elsewhere()
		}
	}
}

// networkFault disconnects nodes, loses messages, or ends all network faults.
func (w *world) networkFault(n *wnode, k int) {
	switch {
	case k < 40:
		i, j := w.draw(len(w.nodes)), w.draw(len(w.nodes))
		w.mu.Lock()
		if i != j {
			w.cuts[[2]int{i, j}] = true
		}
		w.mu.Unlock()
		w.log("cut from n%d to n%d", i, j)
	case k < 44:
		w.log("%s is cut off", n.name)
		w.mu.Lock()
		for j := range w.nodes {
			w.cuts[[2]int{n.i, j}], w.cuts[[2]int{j, n.i}] = true, true
		}
		w.mu.Unlock()
	case k < 52:
		w.log("healed")
		w.mu.Lock()
		clear(w.cuts)
		w.loss = 0
		w.mu.Unlock()
	default:
		w.mu.Lock()
		w.loss = 0.05
		w.mu.Unlock()
	}
}

// oldFolder replaces a node's folder by an old copy.
func (w *world) oldFolder(n *wnode) {
	if n.saved == nil || n.i < 3 { // voters on old folders are tested in package lease
		return
	}
	w.log("%s goes back to an old folder", n.name)
	n.die()
	n.disk, n.old = n.saved.clone(), true
	n.excuse()
	if w.draw(2) == 0 {
		n.disk.elsewhere()
	}
}

func testWorld(t *testing.T, seed uint64, o worldOptions, steps int) (w *world) {
	w = &world{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), o: o, cuts: map[[2]int]bool{}, truth: map[string]*account{}}
	synctest.Test(t, func(t *testing.T) { w.run(steps) })
	return w
}

func envInt(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}

// Under random orders of submitting and sending messages, partitions, kills, power failures, losses of machines and returns:
// no message that must not be repeated is sent twice, no message is sent by two nodes at once, and in the mode "before" no
// accepted message is lost when as many machines are lost as there are copies.
func TestEveryOrderDrawn(t *testing.T) {
	seeds, steps := envInt("COPIES_SEEDS", 6), envInt("COPIES_STEPS", 150)
	first := envInt("COPIES_SEED", 1)
	for s := range seeds {
		seed := uint64(first + s)
		o := worldOptions{nodes: 5, copies: 1 + int(seed%2), mode: fleet.CopyBefore, short: fleet.RefuseWork, sync: seed%3 != 0, leaseS: 3, silenceS: 1}
		if seed%4 == 3 {
			o.mode = fleet.CopyAfter
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := testWorld(t, seed, o, steps)
			acked, done, finals, lost := 0, 0, 0, 0
			for _, a := range w.truth {
				switch {
				case !a.acked:
				case a.done:
					acked, done = acked+1, done+1
				case a.finals > 0:
					acked, finals = acked+1, finals+1
				default:
					acked, lost = acked+1, lost+1
				}
			}
			t.Logf("%+v: %d messages, %d accepted: %d delivered, %d ended, %d lost", o, len(w.truth), acked, done, finals, lost)
			if w.broken != "" {
				t.Errorf("%s\n%s", w.broken, strings.Join(w.events[max(0, len(w.events)-envInt("COPIES_SHOW", 120)):], "\n"))
			}
			if acked == 0 {
				t.Error("no message was accepted")
			}
		})
	}
}
