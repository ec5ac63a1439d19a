package keeper

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/recordlog"
)

// Names of the registers, as used on the wire and on disk.
const (
	configRegister = "config"
	// partitionsRegister holds the partition table of batch jobs, which were formerly called lots.
	partitionsRegister   = "lots"
	certificatesRegister = "certificates"
)

// registerNames lists the registers in the order used in reports and records.
var registerNames = []string{configRegister, partitionsRegister, certificatesRegister}

const (
	// maxVoters bounds the voters of a register.
	maxVoters = 9
	// maxRegisterIdle and minRegisterIdle bound the time between two steps of the registers.
	maxRegisterIdle = 200 * time.Millisecond
	minRegisterIdle = 2 * time.Millisecond
)

// errBusy refuses an operation before it is queued: nothing was written.
var errBusy = errors.New("too much waits for this keeper's disk: ask another keeper")

// registerSet runs this keeper's replicas of the registers. Its goroutine, run, owns them and their log, and is the
// only one that waits for the disk. It never waits for the keeper's owner goroutine.
type registerSet struct {
	keeper     *Keeper
	id         uint64 // this keeper's random identity as a voter, stored on its disk; 0: no disk
	proposerID uint64 // random; new on each start of the process
	startedAt  time.Time
	commands   chan func() // bounded by maxQueuedCommands
	ended      chan struct{}

	// Owned by the goroutine of run.

	byName          map[string]*paxos.Register
	queriedAt       map[string]time.Time      // when a peer was last queried for a register of unknown state
	log             *recordlog.Log            // nil: no disk
	replayed        map[string][][]byte       // payloads of the registers, while opening the log
	firstVoters     []paxos.Voter             // the initial voters, if the log has them
	ends            map[string]registry.Entry // draining and removed endpoints on disk, by ID
	logFailure      error                     // why the log is unusable, if writing ends found that
	bootstrapped    bool
	rewritePolicy   rewritePolicy
	rewrittenSize   int64     // of the log after its last rewrite, in bytes
	noRewriteBefore time.Time // set after a rewrite that failed, or one on a full disk

	mu          sync.Mutex // guards the fields below; held only for copies, never during I/O
	allVoters   []paxos.Voter
	states      map[string]paxos.State // the newest decided ones
	storedSlots map[string]uint64      // the newest decided slots on disk, plus one
	saveErr     error                  // why nothing can be saved currently; nil: the disk works

	failure error // of the log; valid once run has returned
}

// openRegisterSet opens the log and the registers. run hasn't started yet, so it may access all fields.
func openRegisterSet(k *Keeper) (*registerSet, error) {
	rs := &registerSet{
		keeper:        k,
		proposerID:    rand.Uint64() | 1, // not 0
		startedAt:     k.startedAt,
		commands:      make(chan func(), maxQueuedCommands),
		ended:         make(chan struct{}),
		byName:        map[string]*paxos.Register{},
		queriedAt:     map[string]time.Time{},
		replayed:      map[string][][]byte{},
		ends:          map[string]registry.Entry{},
		rewritePolicy: rewritePolicy{diskBytes: int64(k.options.Settings.Limits.DiskMB) << 20},
		states:        map[string]paxos.State{},
		storedSlots:   map[string]uint64{},
	}
	if k.options.Folder != nil {
		if err := rs.openLog(k.options.Folder); err != nil {
			return nil, err
		}
	}
	for _, name := range registerNames {
		if err := rs.openRegister(name); err != nil {
			return nil, err
		}
	}
	rs.replayed = nil
	rs.resumeBootstrap()
	rs.publishStored()
	return rs, nil
}

// openRegister opens a register from its payloads in the log.
func (rs *registerSet) openRegister(name string) error {
	register, err := paxos.New(paxos.Options{
		Name:       name,
		ID:         rs.id,
		ProposerID: rs.proposerID,
		Rand:       rand.Float64,
		Save:       func(payload []byte) error { return rs.appendRecord(encodeRegisterRecord(name, payload)) },
		Send:       func(to paxos.Voter, msg []byte) { rs.send(name, to, msg) },
		OnDecided:  func(s paxos.State) { rs.publishDecided(name, s) },
	}, rs.replayed[name])
	if err != nil {
		return err
	}
	rs.byName[name] = register
	if state, known := register.State(); known {
		rs.publishDecided(name, state)
		rs.bootstrapped = true
	}
	return nil
}

// newIdentity returns a random identity other than 0.
func newIdentity() (uint64, error) {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]) | 1, nil
}

// now returns the registers' clock: the monotonic time since this process started.
func (rs *registerSet) now() time.Duration { return time.Since(rs.startedAt) }

// submit queues a command for run, and blocks while the queue is full. Neither the keeper's owner goroutine, which must
// not wait for a disk, nor run itself may call it.
func (rs *registerSet) submit(command func()) {
	select {
	case rs.commands <- command:
	case <-rs.ended:
	}
}

// trySubmit queues a command for run unless the queue is full.
func (rs *registerSet) trySubmit(command func()) bool {
	select {
	case rs.commands <- command:
		return true
	default:
		return false
	}
}

// run is the registers' goroutine. It returns when the context is canceled, or with failure set when the log has
// failed.
func (rs *registerSet) run(ctx context.Context) {
	defer close(rs.ended)
	defer rs.closeLog()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case command := <-rs.commands:
			command()
			runQueued(rs.commands)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		next, err := rs.stepRegisters()
		if err != nil {
			rs.failure = err
			return
		}
		rs.publishStored()
		rs.rewriteIfDue()
		timer.Reset(max(next, minRegisterIdle))
	}
}

// stepRegisters runs the due work of each register, and returns the time until more is due. After an error the contents
// of the disk are unknown, so the process must restart and recover from it.
func (rs *registerSet) stepRegisters() (next time.Duration, err error) {
	if rs.logFailure != nil {
		return 0, rs.logFailure
	}
	next = maxRegisterIdle
	for _, name := range registerNames {
		register := rs.byName[name]
		if now := rs.now(); register.NextTick() <= now {
			register.Tick(now)
		}
		if err := register.FatalError(); err != nil {
			return 0, err
		}
		rs.queryIfUnknown(name)
		next = min(next, register.NextTick()-rs.now())
	}
	return next, nil
}

// propose changes a register. done is called exactly once, from any goroutine, even if the disk has stalled.
func (rs *registerSet) propose(
	name string, timeout time.Duration, change func(current paxos.State) (paxos.State, error), done resultFunc,
) {
	rs.operate(name, timeout, done, func(register *paxos.Register, finish resultFunc) {
		register.Propose(rs.now(), timeout, change, finish)
	})
}

// read reads a register from a majority. done is called as in propose.
func (rs *registerSet) read(name string, timeout time.Duration, done resultFunc) {
	rs.operate(name, timeout, done, func(register *paxos.Register, finish resultFunc) {
		register.Read(rs.now(), timeout, finish)
	})
}

// operate queues an operation on a register; begin starts it on the registers' goroutine.
func (rs *registerSet) operate(
	name string, timeout time.Duration, done resultFunc,
	begin func(register *paxos.Register, finish resultFunc),
) {
	if name == configRegister {
		done = rs.keeper.countingAsContact(done)
	}
	op := newBoundedOperation(name, timeout, done)
	queued := rs.trySubmit(func() {
		if op.start() {
			begin(rs.byName[name], op.finish)
		}
	})
	if !queued {
		op.finish(paxos.State{}, errBusy)
	}
}

// publishDecided publishes a newer decided state to the other goroutines. The registers' goroutine calls it.
func (rs *registerSet) publishDecided(name string, decided paxos.State) {
	rs.mu.Lock()
	rs.states[name] = decided
	rs.allVoters = rs.allVoters[:0]
	for _, state := range rs.states {
		rs.allVoters = append(rs.allVoters, state.Voters...)
	}
	rs.mu.Unlock()
	rs.keeper.post(func() {
		rs.keeper.observeDecided(name, decided)
		rs.keeper.applyDecided(name, decided)
	})
}

// publishStored publishes which slots are on disk, and logs when the disk starts to reject records and when it accepts
// them again.
func (rs *registerSet) publishStored() {
	var saveErr error
	rs.mu.Lock()
	for _, name := range registerNames {
		if slot, stored := rs.byName[name].StoredSlot(); stored {
			rs.storedSlots[name] = slot + 1
		}
		if err := rs.byName[name].SaveError(); err != nil {
			saveErr = err
		}
	}
	before := rs.saveErr
	rs.saveErr = saveErr
	rs.mu.Unlock()
	switch {
	case before == nil && saveErr != nil:
		rs.keeper.log.Error("disk rejects writes: no votes and no promises until it accepts them",
			"file", logName, "err", saveErr)
	case before != nil && saveErr == nil:
		rs.keeper.log.Info("disk accepts writes again", "file", logName)
	}
}

// state returns the newest known decided state of a register; false: none is known.
func (rs *registerSet) state(name string) (paxos.State, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	state, known := rs.states[name]
	return state, known
}

// voters returns the voters of all registers, with duplicates.
func (rs *registerSet) voters() []paxos.Voter {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return slices.Clone(rs.allVoters)
}

// registerVoters returns the voters of one register.
func (rs *registerSet) registerVoters(name string) []paxos.Voter {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.states[name].Voters
}

// votes reports whether this keeper is a voter of all registers.
func (rs *registerSet) votes() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, name := range registerNames {
		if !rs.states[name].HasVoter(rs.id) {
			return false
		}
	}
	return true
}

// storedSlotNumbers returns the newest decided slot on disk of each register, plus one, in the order of registerNames;
// 0: no slot is stored.
func (rs *registerSet) storedSlotNumbers() []uint64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	slots := make([]uint64, 0, len(registerNames))
	for _, name := range registerNames {
		slots = append(slots, rs.storedSlots[name])
	}
	return slots
}

// diskCondition returns why nothing can be saved currently; empty: the disk works.
func (rs *registerSet) diskCondition() string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.saveErr == nil {
		return ""
	}
	return rs.saveErr.Error()
}
