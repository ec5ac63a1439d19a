package batch

import (
	"slices"
	"syscall"
	"testing"

	"dunetide/internal/platform/link"
)

// fullableDisk is a disk in memory whose appends fail once it is full.
type fullableDisk struct {
	memoryDisk
	full bool
}

func (d *fullableDisk) Append(b []byte) (int64, error) {
	if d.full {
		return 0, syscall.ENOSPC
	}
	return d.memoryDisk.Append(b)
}

// newFullableRig returns a rig of three stores with an accepted job, and their disks.
func newFullableRig(t *testing.T) (*storeRig, []*fullableDisk) {
	t.Helper()
	var disks []*fullableDisk
	g := newStoreRigOn(3, 2, 2, 1000, func() disk {
		d := &fullableDisk{}
		disks = append(disks, d)
		return d
	})
	g.accept(t, "job", 2)
	g.step(1000)
	return g, disks
}

// TestFullDiskAcknowledgesNothing guards against an operation that counts as durable at a store whose disk was full when
// it was to be appended: a commit may then rest on one disk fewer than it must survive.
func TestFullDiskAcknowledgesNothing(t *testing.T) {
	g, disks := newFullableRig(t)
	primary, p := primaryOfJob(t, g)
	for i, replica := range g.cores {
		if replica == primary {
			continue
		}
		followed := replica.partition(p.index)
		if followed.followedPrimary == nil || replica.syncedRecords < replica.appendedRecords {
			t.Fatalf("store %d follows no primary, or has not synced", replica.self)
		}
		pipe := &recordingPipe{}
		followed.followedPrimary = pipe
		disks[i].full = true
		replica.handleStoreMessage(pipe, kindOperation, append(
			encodeNumbers(p.index, p.primary.term, followed.session, followed.position.sequence+1),
			encodeJobOperation(opEndJob, "job")...))
		if slices.ContainsFunc(pipe.kinds, func(kind link.Kind) bool { return kind == kindOperationAck }) {
			t.Errorf("store %d acknowledged an operation that is not on its disk", replica.self)
		}
	}
	disks[primary.self-1].full = true
	before := p.primary.selfSynced
	primary.replicate(p, encodeJobOperation(opEndJob, "job"), func(bool) {})
	if p.primary.selfSynced != before {
		t.Error("the primary counts an operation as durable that is not on its disk")
	}
}

// TestFullDiskPromisesNothing guards against a promise to follow a newer term that a restart forgets: its record did not
// fit on the disk.
func TestFullDiskPromisesNothing(t *testing.T) {
	g, disks := newFullableRig(t)
	primary, p := primaryOfJob(t, g)
	i := slices.IndexFunc(g.cores, func(c *core) bool { return c != primary })
	replica, pipe := g.cores[i], &recordingPipe{}
	disks[i].full = true
	replica.handleStoreMessage(pipe, kindPrepare, encodeNumbers(p.index, p.primary.term+1, 7))
	if len(pipe.kinds) > 0 {
		t.Errorf("answered with %v", pipe.kinds)
	}
}
