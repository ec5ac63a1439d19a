package main

import (
	"errors"
	"io/fs"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/recordlog"
)

const (
	// roomEvery is how often a full disk is tried again.
	diskProbeInterval = 500 * time.Millisecond
	// roomFile is written for that, and removed.
	diskProbeFile = "room.probe"
	// roomBytes have to fit before the disk is used again.
	diskProbeBytes = 1 << 20
	// outOfService is what operators are told of a full disk, in the log and by the status of keepers.
	diskFullReason = "disk is full: out of service until there is room"
)

// whenRoom runs f, again once there is room wherever it ends because the disk is full. Nothing of f may be left when it
// returns. Told to stop, it ends with nil.
func (p *process) runWithDiskSpace(folder journal.Folder, f func() error) error {
	for {
		err := f()
		if !recordlog.IsDiskFull(err) && !batch.ErrDiskFull.Has(err) {
			return err
		}
		p.log.Error(diskFullReason, "err", err)
		p.condition.set(func() string { return diskFullReason })
		if !p.awaitDiskSpace(folder) {
			return nil
		}
		p.condition.clear()
		p.log.Info("disk has room again")
	}
}

// awaitRoom waits until a file of roomBytes fits; false: told to stop before.
func (p *process) awaitDiskSpace(folder journal.Folder) bool {
	tick := time.NewTicker(diskProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if probeDisk(folder) == nil {
				return true
			}
		case <-p.ctx.Done():
			return false
		}
	}
}

// probeRoom tries whether a disk takes bytes.
func probeDisk(folder journal.Folder) error {
	if err := folder.Remove(diskProbeFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := folder.Create(diskProbeFile)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, diskProbeBytes))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close(), folder.Remove(diskProbeFile))
}
