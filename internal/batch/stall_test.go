package batch

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/vfs"
)

// gatedFolder is a folder whose writes, syncs or both wait while their gate is locked.
type gatedFolder struct {
	vfs.Folder
	writes, syncs *sync.RWMutex
}

func newGatedFolder(t *testing.T) gatedFolder {
	t.Helper()
	return gatedFolder{vfs.Dir(t.TempDir()), &sync.RWMutex{}, &sync.RWMutex{}}
}

func (f gatedFolder) Open(name string) (vfs.OpenFile, error) {
	file, err := f.Folder.Open(name)
	return gatedFile{file, f}, err
}

type gatedFile struct {
	vfs.OpenFile
	folder gatedFolder
}

func (f gatedFile) Write(b []byte) (int, error) {
	f.folder.writes.RLock()
	defer f.folder.writes.RUnlock()
	return f.OpenFile.Write(b)
}

func (f gatedFile) Sync() error {
	f.folder.syncs.RLock()
	defer f.folder.syncs.RUnlock()
	return f.OpenFile.Sync()
}

// until waits until a condition of the group's table holds.
func (g *storeGroup) until(t *testing.T, what string, holds func(*snapshot.PartitionTable) bool) {
	t.Helper()
	g.await(t, what, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return holds(g.table)
	})
}

func (g *storeGroup) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for end := time.Now().Add(30 * time.Second); !holds(); <-pace.C {
		if time.Now().After(end) {
			t.Fatal("in vain: " + what)
		}
	}
}

// submit submits a job to a store, and returns whether it was accepted within a second.
func (g *storeGroup) submit(store int, id string) bool {
	answer := make(chan uint8, 1)
	s := g.stores[store]
	s.enqueue(func() {
		caller := callerFunc(func(b []byte) { answer <- b[0] })
		s.core.handleMessage(nil, caller, kindAcceptJob, encodedJob(id, 2, 0))
	})
	select {
	case code := <-answer:
		return code == codeOK
	case <-time.After(time.Second):
		return false
	}
}

// leads reports whether a store is the primary of any partition.
func (g *storeGroup) leads(table *snapshot.PartitionTable, store int) bool {
	for _, row := range table.Partitions {
		if row.Primary == g.all[store].ID {
			return true
		}
	}
	return false
}

// primaryOfID is the store that leads the partition of a job.
func (g *storeGroup) primaryOfID(id string) (store int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	row := g.table.Partitions[g.table.PartitionOf(id)]
	for i := range g.all {
		if g.all[i].ID == row.Primary {
			return i
		}
	}
	return -1
}

// jobsOf are IDs of jobs whose partitions a store leads.
func (g *storeGroup) jobsOf(store, count int) (ids []string) {
	for i := 0; len(ids) < count; i++ {
		if id := fmt.Sprint("job", i); g.primaryOfID(id) == store {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestStalledDiskGivesUpItsPrimaries: a store whose writes or syncs do not return leads nothing soon, what it had accepted
// is there at the new primaries, which accept more, and it leads again after its disk has answered for a while.
func TestStalledDiskGivesUpItsPrimaries(t *testing.T) {
	for name, gate := range map[string]func(f gatedFolder) *sync.RWMutex{
		"writes": func(f gatedFolder) *sync.RWMutex { return f.writes },
		"syncs":  func(f gatedFolder) *sync.RWMutex { return f.syncs },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folders := make([]gatedFolder, 3)
			g := newStoreGroupIn(t, storeGroupOptions{folder: func(i int) vfs.Folder {
				folders[i] = newGatedFolder(t)
				return folders[i]
			}})
			ids := g.jobsOf(0, 3)
			g.await(t, "a job accepted before", func() bool { return g.submit(0, ids[0]) })
			gate(folders[0]).Lock()
			stalled := time.Now()
			go g.submit(0, ids[1]) // the record that does not get to the disk
			g.until(t, "others lead", func(table *snapshot.PartitionTable) bool { return !g.leads(table, 0) })
			t.Logf("others lead %v after the stall", time.Since(stalled))
			g.await(t, "a job accepted by the new primary", func() bool { return g.submit(g.primaryOfID(ids[2]), ids[2]) })
			t.Logf("the first job was accepted %v after the stall", time.Since(stalled))
			g.await(t, "the job accepted before is there", func() bool { return g.submit(g.primaryOfID(ids[0]), ids[0]) })
			if g.submit(0, ids[2]) {
				t.Error("a store whose disk stalls has accepted a job")
			}
			gate(folders[0]).Unlock()
			g.until(t, "it may lead again", func(table *snapshot.PartitionTable) bool { return !table.Stopping[g.all[0].ID] })
			if answered := time.Since(stalled); answered < stallRecoveryMs*time.Millisecond {
				t.Errorf("it may lead again %v after the begin of the stall", answered)
			}
		})
	}
}

// TestShortStallsMoveNothing: operations that take less than the bound are no stall.
func TestShortStallsMoveNothing(t *testing.T) {
	folders := make([]gatedFolder, 3)
	g := newStoreGroupIn(t, storeGroupOptions{
		stallBound: time.Minute, // longer than any real disk of a busy machine takes
		folder: func(i int) vfs.Folder {
			folders[i] = newGatedFolder(t)
			return folders[i]
		},
	})
	ids := g.jobsOf(0, 4)
	before := diskStalls.Get()
	for i, id := range ids {
		folders[0].syncs.Lock()
		time.AfterFunc(100*time.Millisecond, folders[0].syncs.Unlock)
		g.await(t, fmt.Sprint("job ", i), func() bool { return g.submit(0, id) })
	}
	if n := diskStalls.Get() - before; n != 0 {
		t.Errorf("%d stalls are counted", n)
	}
}
