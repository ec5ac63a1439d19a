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

// loneRegisters are the registers of a keeper that is the only voter, stepped by the test: a change has ended when it
// returns.
type loneRegisters struct {
	t         testing.TB
	disk      *vfstest.Disk
	registers *registerSet
	now       time.Duration
}

func openLone(t testing.TB, disk *vfstest.Disk) (*loneRegisters, error) {
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
	l := &loneRegisters{t: t, disk: disk, registers: k.registers}
	l.registers.bootstrap([]paxos.Voter{{ID: l.registers.id, Name: "k1"}})
	return l, nil
}

func mustOpen(t testing.TB, disk *vfstest.Disk) *loneRegisters {
	t.Helper()
	l, err := openLone(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// change makes a value the newest of a register; false: that wasn't acknowledged.
func (l *loneRegisters) change(name string, value []byte) bool {
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

// tickUntil lets time pass until an operation has ended: after a restart a proposal number that was promised before
// costs a second attempt.
func (l *loneRegisters) tickUntil(reg *paxos.Register, ended *bool) {
	for range 100 {
		if *ended {
			return
		}
		l.now += 50 * time.Millisecond
		reg.Tick(l.now)
	}
}

// value reads a register, which first completes what was accepted before a kill.
func (l *loneRegisters) value(name string) (value []byte) {
	reg, ended := l.registers.byName[name], false
	reg.Read(l.now, 2*time.Second, func(s paxos.State, err error) { value, ended = s.Value, true })
	l.tickUntil(reg, &ended)
	return value
}

func (l *loneRegisters) failed() bool { return l.registers.byName[configRegister].FatalError() != nil }

// numberedValue is a value of the given size with the number of its change.
func numberedValue(n, size int) []byte {
	b := make([]byte, size)
	copy(b, fmt.Sprintf("change %d ", n))
	return b
}

// logUsage is what changes cost.
type logUsage struct {
	peak, file, saved int
	restart           time.Duration
}

// replayChanges makes changes of the given size on a disk of 64 MB and starts again.
func replayChanges(t testing.TB, count, size int) (u logUsage) {
	t.Helper()
	disk := vfstest.New()
	disk.Room = diskMB << 20
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

// TestLogIsBounded makes hundreds of changes up to the largest that operators may send.
func TestLogIsBounded(t *testing.T) {
	for _, c := range []struct{ count, size int }{
		{50, 4 << 10}, {200, 4 << 10}, {changes, 4 << 10}, {changes, 64 << 10}, {50, 1 << 20}, {100, 1 << 20}, {40, maxConfigBody},
	} {
		u := replayChanges(t, c.count, c.size)
		t.Logf("%3d changes of %4d kB: file %6d kB, most on the disk %6d kB, restart %5.1f ms",
			c.count, c.size>>10, u.file>>10, u.peak>>10, float64(u.restart.Microseconds())/1000)
		state := c.size + 4<<10 // bytes; a change that is in progress has them twice
		if bound := max(minRewriteSize, 4*2*state) + 3*state; u.file > bound || u.peak > min(bound+2*state, diskMB<<20) {
			t.Errorf("%d changes of %d bytes: file %d, most on the disk %d, bound %d",
				c.count, c.size, u.file, u.peak, bound)
		}
	}
}

// logNearRewrite is a disk whose log is rewritten with one of the next changes, after hundreds of changes, and the
// number of the last one.
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

// diskFault is what happens at one operation of the disk.
type diskFault struct {
	name string
	hit  func(disk *vfstest.Disk, step int)
	// after is done once the process has ended.
	after func(disk *vfstest.Disk)
}

func diskFaults() []diskFault {
	kill := func(disk *vfstest.Disk, step int) { disk.FailAt, disk.Fails = step, 1<<30 }
	return []diskFault{
		{"kill", kill, func(*vfstest.Disk) {}},
		{"loss of power, nothing stays", kill, func(d *vfstest.Disk) { d.PowerLossEach(func(int) int { return 0 }) }},
		{"loss of power, all stays", kill, func(d *vfstest.Disk) { d.PowerLossEach(func(n int) int { return min(1, n-1) }) }},
		{"loss of power, names stay", kill, func(d *vfstest.Disk) { d.PowerLoss(func(n int) int { return n - 1 }) }},
		{"loss of power, some stays", kill, func(d *vfstest.Disk) { d.PowerLossEach(rand.IntN) }},
		{"one operation fails", func(d *vfstest.Disk, step int) { d.FailAt, d.Fails = step, 1 }, func(*vfstest.Disk) {}},
		{"three operations fail, then power is lost", func(d *vfstest.Disk, step int) { d.FailAt, d.Fails = step, 3 },
			func(d *vfstest.Disk) { d.PowerLossEach(rand.IntN) }},
	}
}

// TestRewriteWithFaultAtEachStep injects a kill, a loss of power or a failed disk at each operation around a rewrite
// after hundreds of changes: what was acknowledged of each register stays, and the log goes on.
func TestRewriteWithFaultAtEachStep(t *testing.T) {
	base, last := logNearRewrite(t)
	const more = 6
	whole := base.Copy()
	l := mustOpen(t, whole)
	first := whole.Ops + 1
	for n := 1; n <= more; n++ {
		l.change(configRegister, numberedValue(last+n, 4<<10))
	}
	if int(l.registers.log.Size()) > 100<<10 {
		t.Fatalf("not rewritten: %d bytes", l.registers.log.Size())
	}
	cases := 0
	for step := first; step <= whole.Ops; step++ {
		for _, trouble := range diskFaults() {
			cases++
			rewriteWithFault(t, base.Copy(), last, more, step, trouble)
		}
	}
	t.Log(cases, "cases")
}

func rewriteWithFault(t *testing.T, disk *vfstest.Disk, last, more, step int, trouble diskFault) {
	t.Helper()
	what := fmt.Sprintf("%s at operation %d", trouble.name, step)
	l := mustOpen(t, disk)
	trouble.hit(disk, step)
	acknowledged, proposed := last, last
	for n := last + 1; n <= last+more && !l.failed(); n++ {
		proposed = n
		if l.change(configRegister, numberedValue(n, 4<<10)) {
			acknowledged = n
		}
	}
	disk.FailAt = 0
	trouble.after(disk)
	again, err := openLone(t, disk)
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
		t.Fatalf("%s: change %d was acknowledged, and %.20q is there", what, acknowledged, again.value(configRegister))
	}
	if !bytes.Equal(again.value(partitionsRegister), numberedValue(last, 100)) {
		t.Fatalf("%s: the other register has %.20q", what, again.value(partitionsRegister))
	}
	if !again.change(configRegister, numberedValue(proposed+1, 4<<10)) {
		t.Fatalf("%s: no change after it", what)
	}
	if third := mustOpen(t, disk); !bytes.Equal(third.value(configRegister), numberedValue(proposed+1, 4<<10)) {
		t.Fatalf("%s: the change after it is lost", what)
	}
}

// TestRewriteWithoutSpace leaves space for a part of the rewritten log only: the process goes on, stores what fits, and
// rewrites the log once there is space.
func TestRewriteWithoutSpace(t *testing.T) {
	base, last := logNearRewrite(t)
	for room := 0; room < 12<<10; room += 500 {
		disk := base.Copy()
		l := mustOpen(t, disk)
		disk.Room = disk.Used() + 1 + room
		acknowledged := last
		for n := last + 1; n <= last+6; n++ {
			if l.change(configRegister, numberedValue(n, 4<<10)) {
				acknowledged = n
			}
		}
		if l.failed() {
			t.Fatalf("room for %d: it ended: %v", room, l.registers.byName[configRegister].FatalError())
		}
		if again := mustOpen(t, disk.Copy()); bytes.Compare(again.value(configRegister)[:20], numberedValue(acknowledged, 20)) < 0 {
			t.Fatalf("room for %d: change %d was acknowledged, and %.20q is there", room, acknowledged, again.value(configRegister))
		}
		disk.Room = 0
		l.registers.noRewriteBefore = time.Time{}
		if !l.change(configRegister, numberedValue(last+7, 4<<10)) {
			t.Fatalf("room for %d: not taken once there is room", room)
		}
		l.registers.rewriteIfDue()
		if l.registers.log.Size() > minRewriteSize {
			t.Fatalf("room for %d: not rewritten once there is room", room)
		}
	}
}

// BenchmarkRestart measures a keeper's start after many changes.
func BenchmarkRestart(b *testing.B) {
	for _, c := range []struct{ count, size int }{{100, 4 << 10}, {400, 4 << 10}, {400, 64 << 10}, {100, 1 << 20}, {24, maxConfigBody}} {
		b.Run(fmt.Sprintf("%dx%dkB", c.count, c.size>>10), func(b *testing.B) {
			disk := vfstest.New()
			disk.Room = diskMB << 20
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
