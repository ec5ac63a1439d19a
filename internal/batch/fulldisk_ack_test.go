package batch

import (
	"math"
	"slices"
	"testing"

	"dunetide/internal/platform/link"
)

// newBoundedRig returns a rig of three stores with an accepted job, and their disks, which have space.
func newBoundedRig(t *testing.T) (*storeRig, []*boundedDisk) {
	t.Helper()
	var disks []*boundedDisk
	g := newStoreRigOn(3, 2, 2, 1000, func() disk {
		d := &boundedDisk{simDisk: &simDisk{}, bytes: math.MaxInt64}
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
	g, disks := newBoundedRig(t)
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
		disks[i].bytes = 0
		replica.handleStoreMessage(pipe, kindOperation, append(
			encodeNumbers(p.index, p.primary.term, followed.session, followed.position.sequence+1),
			encodeJobOperation(opEndJob, "job")...))
		if slices.ContainsFunc(pipe.kinds, func(kind link.Kind) bool { return kind == kindOperationAck }) {
			t.Errorf("store %d acknowledged an operation that is not on its disk", replica.self)
		}
	}
	disks[primary.self-1].bytes = 0
	before := p.primary.selfSynced
	primary.replicate(p, encodeJobOperation(opEndJob, "job"), func(bool) {})
	if p.primary.selfSynced != before {
		t.Error("the primary counts an operation as durable that is not on its disk")
	}
}

// TestFullDiskPromisesNothing guards against a promise to follow a newer term that a restart forgets: its record did not
// fit on the disk.
func TestFullDiskPromisesNothing(t *testing.T) {
	g, disks := newBoundedRig(t)
	primary, p := primaryOfJob(t, g)
	i := slices.IndexFunc(g.cores, func(c *core) bool { return c != primary })
	replica, pipe := g.cores[i], &recordingPipe{}
	disks[i].bytes = 0
	replica.handleStoreMessage(pipe, kindPrepare, encodeNumbers(p.index, p.primary.term+1, 7))
	if len(pipe.kinds) > 0 {
		t.Errorf("answered with %v", pipe.kinds)
	}
}
