package keeper

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

const (
	logName = "keeper.log"
	// Records of the log.
	recordIdentity    = 1
	recordRegister    = 2
	recordFirstVoters = 3
	// rewriteAbove is the least size at which the log is rewritten.
	rewriteAbove = 1 << 20
	// rewriteAgain is how long after a failure, or after making room on a full disk, it is tried again.
	rewriteAgain = 5 * time.Second
	// votersMost bounds the voters of a register.
	votersMost = 9
)

var registerNames = []string{configRegister, tableRegister, certificatesRegister}

// agreement plays the registers. One goroutine owns them and their log.
type agreement struct {
	k        *Keeper
	id       uint64
	proposer uint64
	start    time.Time
	log      *recordlog.Log
	policy   rewritePolicy
	saved    map[string][][]byte
	first    []paxos.Voter // of the very first start, if this keeper was told them then
	commands chan func()
	ended    chan struct{}
	regs     map[string]*paxos.Register

	mu     sync.Mutex
	known  []paxos.Voter // of all registers
	states map[string]paxos.State

	booted  bool
	asked   map[string]time.Time // when another keeper was last asked for a register that is not known
	grown   int64                // size of the log after it was last rewritten
	later   time.Time            // before that it is not tried again
	stored  map[string]uint64    // newest decided slots that are on disk, with mu
	unsaved error                // why nothing can be saved at present, with mu
	failed  error                // for the owner of the rest, once ended is closed
}

// errBusy says that too much waits for the disk.
var errBusy = errors.New("too much waits for this keeper's disk: ask another keeper")

func openAgreement(k *Keeper) (*agreement, error) {
	a := &agreement{k: k, start: k.life, proposer: rand.Uint64() | 1, commands: make(chan func(), queueMost), ended: make(chan struct{}),
		regs: map[string]*paxos.Register{}, saved: map[string][][]byte{}, states: map[string]paxos.State{},
		asked: map[string]time.Time{}, stored: map[string]uint64{}}
	a.policy.diskBytes = int64(k.o.Settings.Limits.DiskMB) << 20
	if k.o.Folder != nil {
		log, err := recordlog.Open(k.o.Folder, logName, func(b []byte, _ int64) error { return a.replay(b) })
		if err != nil {
			return nil, err
		}
		a.log = log
		if a.id == 0 {
			var b [8]byte
			if _, err := crand.Read(b[:]); err != nil {
				return nil, err
			}
			a.id = binary.BigEndian.Uint64(b[:]) | 1
			if err := a.append(a.identity()); err != nil {
				return nil, errors.Join(err, log.Close())
			}
		}
	}
	for _, name := range registerNames {
		r, err := paxos.New(paxos.Options{Name: name, ID: a.id, Proposer: a.proposer, Rand: rand.Float64,
			Save: func(p []byte) error { return a.append(registerRecord(name, p)) },
			Send: func(to paxos.Voter, msg []byte) { a.send(name, to, msg) }, Decided: func(s paxos.State) { a.decided(name, s) }}, a.saved[name])
		if err != nil {
			return nil, err
		}
		a.regs[name] = r
		if s, ok := r.State(); ok {
			a.decided(name, s)
			a.booted = true
		}
	}
	a.saved = nil
	a.bootstrapRest()
	a.noteStored()
	return a, nil
}

func (a *agreement) now() time.Duration { return time.Since(a.start) }

// do queues a command, and waits while the queue is full. It is not for the keeper's own goroutine, which must
// not wait for a disk, and not for the registers' own.
func (a *agreement) do(f func()) {
	select {
	case a.commands <- f:
	case <-a.ended:
	}
}

// offer queues a command if there is room.
func (a *agreement) offer(f func()) bool {
	select {
	case a.commands <- f:
		return true
	default:
		return false
	}
}

func (a *agreement) run(ctx context.Context) {
	defer close(a.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-a.commands:
			f()
			drain(a.commands)
		case <-timer.C:
		case <-ctx.Done():
			if a.log != nil {
				_ = a.log.Close()
			}
			return
		}
		next := 200 * time.Millisecond
		for _, name := range registerNames {
			reg := a.regs[name]
			if now := a.now(); reg.Next() <= now {
				reg.Tick(now)
			}
			if a.failed = reg.Failed(); a.failed != nil {
				_ = a.log.Close() // what was saved decides when the process starts again
				return
			}
			a.askWhereUnknown(name)
			next = min(next, reg.Next()-a.now())
		}
		a.noteStored()
		a.rewriteWhenGrown()
		timer.Reset(max(next, 2*time.Millisecond))
	}
}

// send passes a message of agreement to a voter, or to oneself.
func (a *agreement) send(name string, to paxos.Voter, msg []byte) {
	b := a.envelope(name, msg)
	if to.ID == a.id && a.id != 0 {
		go a.receive(b)
		return
	}
	if conn := a.k.links().to(to); conn != nil {
		_ = conn.Send(controlclient.Agree, b)
	}
}

// envelope is a message of agreement on its way: the register, who sends, the message.
func (a *agreement) envelope(name string, msg []byte) []byte {
	w := link.Writer{}
	w.String(name)
	w.U64(a.id)
	w.String(a.k.self.Name)
	w.String(a.k.self.Addr)
	w.Bytes(msg)
	return w.B
}

func (a *agreement) receive(b []byte) {
	r := link.Reader{B: b}
	name := r.String()
	from := paxos.Voter{ID: r.U64(), Name: r.String(), Addr: r.String()}
	msg := r.Bytes()
	if r.Err != nil || a.regs[name] == nil {
		return
	}
	// One that finds no room is lost, as messages may be: a link must not wait for the disk.
	a.offer(func() { a.regs[name].Receive(a.now(), from, msg) })
}

func (a *agreement) learn(b []byte) {
	r := link.Reader{B: b}
	name := r.String()
	s := paxos.ReadState(&r)
	if r.Err != nil || a.regs[name] == nil {
		return
	}
	a.offer(func() { a.regs[name].Learn(a.now(), s) })
}

// decided takes a newer state to the owner of the rest. It is called from the registers.
func (a *agreement) decided(name string, s paxos.State) {
	a.mu.Lock()
	a.states[name] = s
	a.known = a.known[:0]
	for _, st := range a.states {
		a.known = append(a.known, st.Voters...)
	}
	a.mu.Unlock()
	a.k.post(func() { a.k.decided(name, s) })
}

// newest are the decided states, as messages.
func (a *agreement) newest() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out [][]byte
	for _, name := range registerNames {
		if s, ok := a.states[name]; ok {
			out = append(out, learnBody(name, s))
		}
	}
	return out
}

func learnBody(name string, s paxos.State) []byte {
	w := link.Writer{}
	w.String(name)
	s.Append(&w)
	return w.B
}

// propose changes a register. done is called once, also where the disk has stalled, and from any goroutine.
func (a *agreement) propose(name string, timeout time.Duration, change func(cur paxos.State) (paxos.State, error), done func(paxos.State, error)) {
	if name == configRegister {
		done = a.k.confirmedSince(done)
	}
	op := boundOperation(name, timeout, done)
	if !a.offer(func() {
		if op.start() {
			a.regs[name].Propose(a.now(), timeout, change, op.finish)
		}
	}) {
		op.finish(paxos.State{}, errBusy)
	}
}

// read reads a register, as propose changes it.
func (a *agreement) read(name string, timeout time.Duration, done func(paxos.State, error)) {
	if name == configRegister {
		done = a.k.confirmedSince(done)
	}
	op := boundOperation(name, timeout, done)
	if !a.offer(func() {
		if op.start() {
			a.regs[name].Read(a.now(), timeout, op.finish)
		}
	}) {
		op.finish(paxos.State{}, errBusy)
	}
}

// decided takes in a newer state of a register.
func (k *Keeper) decided(name string, s paxos.State) {
	switch name {
	case configRegister:
		v, err := readDocument(s.Value)
		if err != nil {
			k.log.Error("configuration's register unreadable", "slot", s.Slot, "err", err)
			return
		}
		k.decidedConfig.rise(name, s.Slot, v.version)
		if v.version > k.config.version {
			k.config = v
			k.dirty = true
			k.log.Info("configuration in force", "version", v.version, "slot", s.Slot)
		}
	case certificatesRegister:
		v, err := readDocument(s.Value)
		if err != nil {
			k.log.Error("certificates' register unreadable", "slot", s.Slot, "err", err)
			return
		}
		k.decidedCertificates.rise(name, s.Slot, v.version)
		if v.version > k.certificates.version {
			k.tellCertificates(v, s.Slot)
			k.certificates = v
			k.dirty = true
		}
	case tableRegister:
		r := link.Reader{B: s.Value}
		if len(s.Value) == 0 {
			return
		}
		t := controlclient.ReadTable(&r)
		if r.Err == nil && (k.parts == nil || t.Number > k.parts.Number) {
			k.parts = t
			k.dirty = true
			if k.log.IsDebug() { // their texts are long
				k.log.Debug("table in force", "number", t.Number, "parts", fmt.Sprint(t.Parts), "stores", fmt.Sprint(t.Stores))
			}
		}
	}
}
