package main

import (
	"errors"
	"io/fs"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs"
)

const (
	// diskProbeInterval is how often a full disk is probed for free space.
	diskProbeInterval = 500 * time.Millisecond
	// diskProbeFile is the file that a probe writes and removes.
	diskProbeFile = "room.probe"
	// diskProbeBytes is the free space that is required before the disk is used again.
	diskProbeBytes = 1 << 20
	// diskFullReason is the condition that operators see for a full disk, in the log and in the
	// status of keepers.
	diskFullReason = "disk is full: out of service until there is room"
)

// runWithDiskSpace runs f. Each time f fails because the disk is full, it waits for free space and
// runs f again, so f must have released all its resources when it returns. If shutdown is requested
// during the wait, runWithDiskSpace returns nil.
func (p *process) runWithDiskSpace(folder vfs.Folder, f func() error) error {
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
		p.log.Info("disk has free space again")
	}
}

// awaitDiskSpace waits until a file of diskProbeBytes fits. It returns false if shutdown is requested
// first.
func (p *process) awaitDiskSpace(folder vfs.Folder) bool {
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

// probeDisk returns an error if a file of diskProbeBytes can't be written.
func probeDisk(folder vfs.Folder) error {
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
