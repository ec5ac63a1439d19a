package keeper

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs/vfstest"
)

// withDisk changes a running keeper's disk on the goroutine that owns the disk.
func (r *rig) withDisk(i int, change func()) {
	done := make(chan struct{})
	r.running[i].keeper.registers.submit(func() { change(); close(done) })
	receive(r.t, done, "the change of the disk")
}

// fillDisk leaves no free space on a keeper's disk; freeDisk reverts that.
func (r *rig) fillDisk(i int) { r.withDisk(i, func() { r.disks[i].Capacity = r.disks[i].Used() + 1 }) }
func (r *rig) freeDisk(i int) { r.withDisk(i, func() { r.disks[i].Capacity = 0 }) }

// storedSlot returns the newest slot of the configuration register on a keeper's disk.
func (r *rig) storedSlot(i int) uint64 {
	return r.running[i].keeper.registers.storedSlotNumbers()[0] - 1
}

// TestOneFullDisk: while the disk of one of three keepers is full, changes continue, and that keeper doesn't count as
// having stored them. It stores them automatically once there is free space.
func TestOneFullDisk(t *testing.T) {
	r := newRig(t, 3)
	log := &memoryLog{}
	r.log = hclog.New(&hclog.LoggerOptions{Output: log})
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(0, 1, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	stored := func() uint64 { return r.storedSlot(2) }
	eventually(t, "all have it", func() bool { return stored() == 1 })
	r.fillDisk(2)
	for version := uint64(2); version < 20; version++ {
		r.untilCode(200, func() response { return r.putConfig(int(version%2), version, version-1, "a") })
	}
	eventually(t, "it knows the newest", func() bool { return r.status(2).ConfigVersion == 19 })
	if s := r.status(2); !strings.Contains(s.DiskCondition, "the disk is full") || stored() != 1 {
		t.Errorf("disk %q, slot %d is stored", s.DiskCondition, stored())
	}
	if a := r.call(2, "GET", "/config", "", nil); a.status != 200 || !strings.Contains(a.body, `"version":19`) {
		t.Errorf("read at the keeper with the full disk: %v", a)
	}
	r.freeDisk(2)
	eventually(t, "it has stored the newest", func() bool { return stored() == 19 && r.status(2).DiskCondition == "" })
	if full, again := log.count("disk rejects writes"), log.count("disk accepts writes again"); full != 1 || again != 1 {
		t.Errorf("logged %d and %d times", full, again)
	}
	// Its vote counts again: without it there is no majority.
	r.kill(1)
	r.untilCode(200, func() response { return r.putConfig(0, 20, 19, "a") })
}

// TestMajorityOfFullDisks: while a majority of the disks is full, no put is confirmed. Puts resume with free space.
func TestMajorityOfFullDisks(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(0, 1, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	eventually(t, "all have it", func() bool {
		return r.storedSlot(1) == 1 && r.storedSlot(2) == 1
	})
	r.fillDisk(1)
	r.fillDisk(2)
	for i := range 3 {
		if a := r.putConfig(i, 2, 1, "a"); a.status != 503 {
			t.Errorf("keeper %d: %v", i+1, a)
		}
	}
	// A read needs no write.
	if a := r.call(1, "GET", "/config", "", nil); a.status != 200 && a.status != 503 {
		t.Error(a)
	}
	// Confirmed puts survive a loss of power on a full disk.
	r.kill(2)
	r.disks[2].PowerLoss(func(int) int { return 0 })
	r.disks[2].Capacity = r.disks[2].Used() + 1
	r.start(2)
	r.untilConnected(0, 1, 2)
	r.freeDisk(1)
	r.freeDisk(2)
	r.untilCode(200, func() response { return r.putConfig(0, 2, 1, "a") })
	for i := range 3 {
		eventually(t, "all have it", func() bool { return r.storedSlot(i) == 2 })
	}
}

// TestStalledDisk: if the writes of a keeper don't return, calls are answered within their timeouts, work that doesn't
// need the disk continues, and the keeper can be stopped.
func TestStalledDisk(t *testing.T) {
	r := newRig(t, 1)
	r.startAll()
	r.untilConnected(0)
	if a := r.putConfig(0, 1, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	release := make(chan struct{})
	var stalled atomic.Bool
	r.withDisk(0, func() { r.disks[0].Stall = func() { stalled.Store(true); <-release } })
	t.Cleanup(func() { close(release) })
	for range 3 {
		began := time.Now()
		if a := r.putConfig(0, 2, 1, "a"); a.status != 503 {
			t.Error(a)
		}
		if took := time.Since(began); took > promptAnswer {
			t.Errorf("a caller waited for %v", took)
		}
	}
	if !stalled.Load() {
		t.Error("nothing was written")
	}
	// A keeper that waits for its disk has no contact with a majority: endpoints switch to another keeper.
	if a := r.heartbeat(0, "1", "ready", 1); a.status != 503 {
		t.Error(a)
	}
	if a := r.call(0, "GET", "/config", "", nil); a.status != 503 {
		t.Error(a)
	}
	if s := r.status(0); s.ConfigVersion != 1 {
		t.Errorf("%+v", s)
	}
	run := r.running[0]
	r.running[0] = nil
	run.stop()
	if err := receive(t, run.done, "the end of the keeper"); err != nil {
		t.Error(err)
	}
}

// TestBoundedOperation: the caller is answered once, by the result or the timeout, whichever comes first.
func TestBoundedOperation(t *testing.T) {
	answers := make(chan error, 2)
	done := func(_ paxos.State, err error) { answers <- err }
	waiting := newBoundedOperation("r", time.Nanosecond, done)
	if err := receive(t, answers, "the answer"); !paxos.ErrNoQuorum.Has(err) || waiting.start() {
		t.Errorf("%v, and it may still be started", err)
	}
	started := newBoundedOperation("r", 50*time.Millisecond, done)
	if !started.start() {
		t.Error("not started")
	}
	if err := receive(t, answers, "the answer"); !paxos.ErrOutcomeUnknown.Has(err) {
		t.Error(err)
	}
	started.finish(paxos.State{}, nil)
	quick := newBoundedOperation("r", time.Hour, done)
	quick.start()
	want := errors.New("x")
	quick.finish(paxos.State{}, want)
	quick.expire("r")
	if err := receive(t, answers, "the answer"); err != want { //nolint:errorlint // this very error, not one that wraps it
		t.Error(err)
	}
	if len(answers) > 0 {
		t.Error("answered twice")
	}
}

func TestRewritePolicy(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct{ disk, rewritten, due int64 }{
		{0, 0, mb}, {0, 10 * mb, 40 * mb},
		{64 * mb, 0, mb}, {64 * mb, mb / 2, 2 * mb}, {64 * mb, 8 * mb, 32 * mb}, {64 * mb, 16 * mb, 32 * mb}, {64 * mb, 24 * mb, 30 * mb},
		{2 * mb, 1 * mb, 5 * mb / 4},
	} {
		if got := (rewritePolicy{c.disk}).rewriteSize(c.rewritten); got != c.due {
			t.Errorf("disk %d, rewritten %d: %d, want %d", c.disk, c.rewritten, got, c.due)
		}
	}
	// The log and its rewritten copy fit on the disk together as long as twice the state does.
	for kept := int64(0); kept <= 28*mb; kept += mb / 2 {
		if due := (rewritePolicy{64 * mb}).rewriteSize(kept); due+kept > 64*mb {
			t.Error(fmt.Sprint(kept, due))
		}
	}
}

// TestStartOnFullDisk starts a keeper with each amount of free space: either the start fails with a disk-full error, or
// the keeper has an identity, and retains it.
func TestStartOnFullDisk(t *testing.T) {
	started := false
	for freeBytes := 1; freeBytes < 200; freeBytes++ {
		disk := vfstest.New()
		disk.Capacity = freeBytes
		first, err := openSingleVoter(t, disk)
		if err != nil && (!recordlog.IsDiskFull(err) || started) {
			t.Fatalf("%d bytes free: %v", freeBytes, err)
		}
		started = started || err == nil
		disk.Capacity = 0
		again := mustOpen(t, disk)
		if again.registers.id == 0 || first != nil && again.registers.id != first.registers.id {
			t.Fatalf("%d bytes free: another identity", freeBytes)
		}
		if !again.change(configRegister, numberedValue(1, 100)) {
			t.Fatalf("%d bytes free: no change", freeBytes)
		}
	}
	if !started {
		t.Error("it never started")
	}
}

// TestInterruptedFirstStart kills a keeper at each disk operation of its first start: afterwards it knows all registers
// or none, as later starts don't get the initial voters.
func TestInterruptedFirstStart(t *testing.T) {
	reference := vfstest.New()
	mustOpen(t, reference)
	seen := map[int]bool{}
	for step := 1; step <= reference.Ops; step++ {
		for _, fault := range diskFaults()[:5] {
			disk := vfstest.New()
			fault.inject(disk, step)
			_, _ = openSingleVoter(t, disk) // may fail at the fault
			disk.FailAt = 0
			fault.after(disk)
			k, err := New(Options{Settings: &settings.Settings{
				NodeName:          "k1",
				IP:                "127.0.0.1",
				FirstInternalPort: 1,
				ControlAddr:       "127.0.0.1:2",
			},
				Folder: disk, Log: hclog.NewNullLogger()})
			if err != nil {
				t.Fatalf("%s at operation %d: %v", fault.name, step, err)
			}
			known := 0
			for _, reg := range k.registers.byName {
				if _, ok := reg.State(); ok {
					known++
				}
			}
			if seen[known] = true; known != 0 && known != len(registerNames) {
				t.Errorf("%s at operation %d: %d registers are known", fault.name, step, known)
			}
		}
	}
	if len(seen) != 2 {
		t.Errorf("numbers of known registers: %v", seen)
	}
}

// TestFailedDisk: a keeper whose disk fails ends, and is a voter again when it restarts on the same disk.
func TestFailedDisk(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(0, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	run, disk := r.running[0], r.disks[0]
	run.keeper.registers.submit(func() { disk.FailAt, disk.Fails = disk.Ops+1, 1<<30 })
	r.untilCode(200, func() response { return r.putConfig(1, 5, 3, "b") })
	if err := receive(t, run.done, "the end of the keeper"); !recordlog.ErrUnusable.Has(err) {
		t.Fatal(err)
	}
	r.running[0] = nil
	disk.FailAt = 0
	r.start(0)
	r.untilConnected(0, 1, 2)
	r.kill(1)
	r.untilCode(200, func() response { return r.putConfig(2, 8, 5, "c") })
}
