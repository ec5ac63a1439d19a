package batch

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
)

// waitCondition waits until the condition of a store begins with a prefix; if that is empty, until
// there is no condition.
func waitCondition(t *testing.T, s *Store, prefix string) {
	t.Helper()
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for began := time.Now(); ; <-pace.C {
		trouble := s.Condition()
		if prefix == "" && trouble == "" || prefix != "" && strings.HasPrefix(trouble, prefix) {
			return
		}
		if time.Since(began) > time.Minute {
			t.Fatalf("condition is %q, want prefix %q", trouble, prefix)
		}
	}
}

// TestConditionOfAStalledDisk: a store reports a disk that does not respond, until it does.
func TestConditionOfAStalledDisk(t *testing.T) {
	folder := stalledFolder{vfs.Dir(t.TempDir()), &atomic.Bool{}, make(chan struct{}), make(chan struct{})}
	s, err := NewStore(StoreOptions{Open: OpenIn(folder), Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { s.Close(); <-s.Stopped() }()
	waitCondition(t, s, "")
	folder.stalled.Store(true)
	s.enqueue(func() { s.core.appendRecord(encodeRecord(recordPromise, 3, 7)) })
	waitClosed(t, "the write", folder.reached)
	waitCondition(t, s, "the disk has not answered for ")
	folder.stalled.Store(false)
	close(folder.release)
	waitCondition(t, s, "")
}

// TestConditionOfAStalledSync: a sync that does not return is reported too.
func TestConditionOfAStalledSync(t *testing.T) {
	s := &Store{start: time.Now().Add(-time.Hour)}
	s.diskSync.begin(time.Hour - 10*stalledAfter)
	waitCondition(t, s, "the disk has not answered for ")
	s.diskSync.end()
	waitCondition(t, s, "")
}

// TestConditionOfAFullLog: a store that rejects jobs for lack of space reports that until it has
// space again.
func TestConditionOfAFullLog(t *testing.T) {
	s, err := NewStore(StoreOptions{Open: OpenIn(vfs.Dir(t.TempDir())), LogCapacityBytes: 1 << 20, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { s.Close(); <-s.Stopped() }()
	charge := func(bytes int64) {
		s.enqueue(func() { s.core.addLiveBytes(0, bytes); s.core.updateLogFull() })
	}
	charge(1 << 20)
	waitCondition(t, s, conditionLogFull)
	charge(-1 << 20)
	waitCondition(t, s, "")
}
