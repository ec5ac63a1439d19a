package lease

import (
	"log/slog"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/platform/vfs/vfstest"
)

// votesIn returns a voter on a disk that has created a log of which it is the only voter, and the log.
func votesIn(t *testing.T, d *vfstest.Disk) (*Voter, logID) {
	t.Helper()
	random := uint64(100)
	v, err := NewVoter(VoterOptions{
		Name:        "n0",
		Start:       7,
		Incarnation: func() uint64 { return 3 },
		Folder:      d,
		Voters:      []string{"n0"},
		Longest:     time.Second,
		Most:        8,
		Random:      func() uint64 { random += 2; return random },
		Above:       func() uint64 { return 0 },
		Log:         slog.New(slog.DiscardHandler),
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	v.Tick(queryEvery)
	if v.node == nil {
		t.Fatal("no log was created")
	}
	return v, v.self.Log
}

// A voter whose old log could not be set aside neither creates nor joins another one, and retries until it succeeds: a process
// that found the old log would vote with it again.
func TestOldLogThatCannotBeSetAside(t *testing.T) {
	d := vfstest.New()
	v, old := votesIn(t, d)
	before := d.File(logName)
	d.FailAt, d.Fails = d.Ops+1, 1<<20
	now := 2 * queryEvery
	next := logID{old.ID, old.Epoch + 1}
	invitation, err := encoding.Marshal(message{What: messageQuery, Log: next, Start: 9})
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Old(now); err == nil {
		t.Error("setting the log aside was reported as done")
	}
	for range 3 {
		now += queryEvery
		v.Tick(now)
		v.Receive(now, fleet.Peer{Name: "n1", Incarnation: 1}, invitation)
		if v.node != nil {
			t.Fatalf("the voter joined %v while its old log is in place", v.self.Log)
		}
	}
	if string(d.File(logName)) != string(before) {
		t.Error("the old log was changed")
	}
	d.FailAt = 0
	v.Tick(now + queryEvery/2)
	if d.File(logName) == nil {
		t.Error("retried too soon")
	}
	v.Tick(now + queryEvery)
	if string(d.File(logAside)) != string(before) {
		t.Error("the old log was not set aside once the disk worked again")
	}
	if v.node == nil || v.self.Log == old {
		t.Errorf("the voter has joined no other log after that: %v", v.self.Log)
	}
}
