package keeper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs/vfstest"
)

const (
	diskMB  = 64
	changes = 400
)

// singleVoterRegisters holds the registers of a keeper that is the only voter. The test steps them, so that change is
// synchronous.
type singleVoterRegisters struct {
	t         testing.TB
	disk      *vfstest.Disk
	registers *registerSet
	now       time.Duration
}

func openSingleVoter(t testing.TB, disk *vfstest.Disk) (*singleVoterRegisters, error) {
	t.Helper()
	s := &settings.Settings{
		NodeName:          "k1",
		IP:                "127.0.0.1",
		FirstInternalPort: 1,
		HeartbeatInterval: 1200 * time.Millisecond,
		ControlAddr:       "127.0.0.1:2",
		Limits:            settings.Limits{DiskMB: diskMB},
	}
	k, err := New(Options{Settings: s, Folder: disk, Log: hclog.NewNullLogger()})
	if err != nil {
		return nil, err
	}
	l := &singleVoterRegisters{t: t, disk: disk, registers: k.registers}
	l.registers.bootstrap([]paxos.Voter{{ID: l.registers.id, Name: "k1"}})
	return l, nil
}

func mustOpen(t testing.TB, disk *vfstest.Disk) *singleVoterRegisters {
	t.Helper()
	l, err := openSingleVoter(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// change writes a value to a register; false: the write wasn't acknowledged.
func (l *singleVoterRegisters) change(name string, value []byte) bool {
	l.now += time.Second
	reg, ended, done := l.registers.byName[name], false, false
	reg.Propose(l.now, 2*time.Second, func(cur paxos.State) (paxos.State, error) {
		cur.Value = value
		return cur, nil
	}, func(_ paxos.State, err error) { ended, done = true, err == nil })
	l.tickUntil(reg, &ended)
	l.registers.rewriteIfDue()
	return done
}

// tickUntil advances the clock until an operation has ended: after a restart, a proposal number promised earlier may
// require a second attempt.
func (l *singleVoterRegisters) tickUntil(reg *paxos.Register, ended *bool) {
	for range 100 {
		if *ended {
			return
		}
		l.now += 50 * time.Millisecond
		reg.Tick(l.now)
	}
}

// value reads a register. The read first completes a proposal that was accepted before a kill.
func (l *singleVoterRegisters) value(name string) (value []byte) {
	reg, ended := l.registers.byName[name], false
	reg.Read(l.now, 2*time.Second, func(s paxos.State, err error) { value, ended = s.Value, true })
	l.tickUntil(reg, &ended)
	return value
}

func (l *singleVoterRegisters) failed() bool {
	return l.registers.byName[configRegister].FatalError() != nil
}

// numberedValue returns a value of the given size that contains the number of its change.
func numberedValue(n, size int) []byte {
	b := make([]byte, size)
	copy(b, fmt.Sprintf("change %d ", n))
	return b
}

// logUsage is the cost of changes.
type logUsage struct {
	peak, file, saved int // bytes: the most used on the disk, the log at the end, and all that was appended
	restart           time.Duration
}

// replayChanges makes changes of the given size on a disk of 64 MB, and restarts.
func replayChanges(t testing.TB, count, size int) (u logUsage) {
	t.Helper()
	disk := vfstest.New()
	disk.Capacity = diskMB << 20
	disk.Stall = func() { u.peak = max(u.peak, disk.Used()) }
	l := mustOpen(t, disk)
	for n := range count {
		before := int(l.registers.log.Size())
		if !l.change(configRegister, numberedValue(n, size)) {
			t.Fatalf("change %d of %d bytes is not acknowledged; %d bytes are used", n, size, disk.Used())
		}
		u.saved += max(0, int(l.registers.log.Size())-before)
	}
	u.file = int(l.registers.log.Size())
	began := time.Now()
	again := mustOpen(t, disk)
	u.restart = time.Since(began)
	if !bytes.Equal(again.value(configRegister), numberedValue(count-1, size)) {
		t.Fatalf("%d changes of %d bytes: another value after a restart", count, size)
	}
	return u
}

// TestLogIsBounded: hundreds of changes, up to the largest that operators may send, leave a log of bounded size.
func TestLogIsBounded(t *testing.T) {
	for _, c := range []struct{ count, size int }{
		{50, 4 << 10}, {200, 4 << 10}, {changes, 4 << 10}, {changes, 64 << 10}, {50, 1 << 20}, {100, 1 << 20}, {40, maxConfigBody},
	} {
		u := replayChanges(t, c.count, c.size)
		t.Logf("%3d changes of %4d kB: file %6d kB, peak on the disk %6d kB, restart %5.1f ms",
			c.count, c.size>>10, u.file>>10, u.peak>>10, float64(u.restart.Microseconds())/1000)
		state := c.size + 4<<10 // bytes; twice as much while a change is in progress
		if bound := max(minRewriteSize, 4*2*state) + 3*state; u.file > bound || u.peak > min(bound+2*state, diskMB<<20) {
			t.Errorf("%d changes of %d bytes: file %d, peak on the disk %d, bound %d",
				c.count, c.size, u.file, u.peak, bound)
		}
	}
}

// logNearRewrite returns a disk after hundreds of changes, whose log is rewritten within the next few ones, and the
// number of the last change.
func logNearRewrite(t *testing.T) (*vfstest.Disk, int) {
	t.Helper()
	disk := vfstest.New()
	l := mustOpen(t, disk)
	const size = 4 << 10
	rewritten, n := 0, 0
	for ; n < changes || l.registers.log.Size() < l.registers.rewritePolicy.rewriteSize(l.registers.rewrittenSize)-2*size; n++ {
		before := l.registers.log.Size()
		if !l.change(configRegister, numberedValue(n, size)) || !l.change(partitionsRegister, numberedValue(n, 100)) {
			t.Fatal("not acknowledged")
		}
		if l.registers.log.Size() < before {
			rewritten++
		}
	}
	if rewritten == 0 {
		t.Fatal("the log was never rewritten")
	}
	return disk, n - 1
}

// diskFault is a fault at one operation of the disk.
type diskFault struct {
	name   string
	inject func(disk *vfstest.Disk, step int)
	// after runs once the process has ended.
	after func(disk *vfstest.Disk)
}

func diskFaults() []diskFault {
	kill := func(disk *vfstest.Disk, step int) { disk.FailAt, disk.Fails = step, 1<<30 }
	return []diskFault{
		{"kill", kill, func(*vfstest.Disk) {}},
		{"loss of power, nothing persists", kill, func(d *vfstest.Disk) { d.PowerLossEach(func(int) int { return 0 }) }},
		{"loss of power, all persists", kill, func(d *vfstest.Disk) { d.PowerLossEach(func(n int) int { return min(1, n-1) }) }},
		{"loss of power, names persist", kill, func(d *vfstest.Disk) { d.PowerLoss(func(n int) int { return n - 1 }) }},
		{"loss of power, some persists", kill, func(d *vfstest.Disk) { d.PowerLossEach(rand.IntN) }},
		{"one operation fails", func(d *vfstest.Disk, step int) { d.FailAt, d.Fails = step, 1 }, func(*vfstest.Disk) {}},
		{"three operations fail, then power is lost", func(d *vfstest.Disk, step int) { d.FailAt, d.Fails = step, 3 },
			func(d *vfstest.Disk) { d.PowerLossEach(rand.IntN) }},
	}
}

// TestRewriteWithFaultAtEachStep injects a kill, a loss of power or a disk failure at each operation around a rewrite
// after hundreds of changes: the acknowledged values of all registers persist, and the log accepts further changes.
func TestRewriteWithFaultAtEachStep(t *testing.T) {
	base, last := logNearRewrite(t)
	const more = 6
	reference := base.Copy()
	l := mustOpen(t, reference)
	first := reference.Ops + 1
	for n := 1; n <= more; n++ {
		l.change(configRegister, numberedValue(last+n, 4<<10))
	}
	if int(l.registers.log.Size()) > 100<<10 {
		t.Fatalf("not rewritten: %d bytes", l.registers.log.Size())
	}
	cases := 0
	for step := first; step <= reference.Ops; step++ {
		for _, fault := range diskFaults() {
			cases++
			rewriteWithFault(t, base.Copy(), last, more, step, fault)
		}
	}
	t.Log(cases, "cases")
}

func rewriteWithFault(t *testing.T, disk *vfstest.Disk, last, more, step int, fault diskFault) {
	t.Helper()
	what := fmt.Sprintf("%s at operation %d", fault.name, step)
	l := mustOpen(t, disk)
	fault.inject(disk, step)
	acknowledged, proposed := last, last
	for n := last + 1; n <= last+more && !l.failed(); n++ {
		proposed = n
		if l.change(configRegister, numberedValue(n, 4<<10)) {
			acknowledged = n
		}
	}
	disk.FailAt = 0
	fault.after(disk)
	again, err := openSingleVoter(t, disk)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	found := -1
	for n := acknowledged; n <= proposed; n++ {
		if bytes.Equal(again.value(configRegister), numberedValue(n, 4<<10)) {
			found = n
		}
	}
	if found < 0 {
		t.Fatalf("%s: change %d was acknowledged, but the value is %.20q", what, acknowledged, again.value(configRegister))
	}
	if !bytes.Equal(again.value(partitionsRegister), numberedValue(last, 100)) {
		t.Fatalf("%s: the value of the other register is %.20q", what, again.value(partitionsRegister))
	}
	if !again.change(configRegister, numberedValue(proposed+1, 4<<10)) {
		t.Fatalf("%s: a later change is not acknowledged", what)
	}
	if third := mustOpen(t, disk); !bytes.Equal(third.value(configRegister), numberedValue(proposed+1, 4<<10)) {
		t.Fatalf("%s: a later change is lost", what)
	}
}

// TestRewriteWithoutSpace leaves too little space for the rewritten log: the process continues, stores what fits, and
// rewrites the log once there is space.
func TestRewriteWithoutSpace(t *testing.T) {
	base, last := logNearRewrite(t)
	for freeBytes := 0; freeBytes < 12<<10; freeBytes += 500 {
		disk := base.Copy()
		l := mustOpen(t, disk)
		disk.Capacity = disk.Used() + 1 + freeBytes
		acknowledged := last
		for n := last + 1; n <= last+6; n++ {
			if l.change(configRegister, numberedValue(n, 4<<10)) {
				acknowledged = n
			}
		}
		if l.failed() {
			t.Fatalf("%d bytes free: registers failed: %v", freeBytes, l.registers.byName[configRegister].FatalError())
		}
		if again := mustOpen(t, disk.Copy()); bytes.Compare(again.value(configRegister)[:20], numberedValue(acknowledged, 20)) < 0 {
			t.Fatalf("%d bytes free: change %d was acknowledged, but the value is %.20q", freeBytes, acknowledged, again.value(configRegister))
		}
		disk.Capacity = 0
		l.registers.noRewriteBefore = time.Time{}
		if !l.change(configRegister, numberedValue(last+7, 4<<10)) {
			t.Fatalf("%d bytes free: change not acknowledged once there is space", freeBytes)
		}
		l.registers.rewriteIfDue()
		if l.registers.log.Size() > minRewriteSize {
			t.Fatalf("%d bytes free: log not rewritten once there is space", freeBytes)
		}
	}
}

// BenchmarkRestart measures the start of a keeper after many changes.
func BenchmarkRestart(b *testing.B) {
	for _, c := range []struct{ count, size int }{{100, 4 << 10}, {400, 4 << 10}, {400, 64 << 10}, {100, 1 << 20}, {24, maxConfigBody}} {
		b.Run(fmt.Sprintf("%dx%dkB", c.count, c.size>>10), func(b *testing.B) {
			disk := vfstest.New()
			disk.Capacity = diskMB << 20
			l := mustOpen(b, disk)
			for n := range c.count {
				if !l.change(configRegister, numberedValue(n, c.size)) {
					b.Fatal("not acknowledged")
				}
			}
			for b.Loop() {
				mustOpen(b, disk)
			}
			b.ReportMetric(float64(l.registers.log.Size())/1024, "file-kB")
		})
	}
}
