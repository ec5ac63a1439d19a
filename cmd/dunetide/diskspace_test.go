package main

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/batch"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

func TestRunWithDiskSpace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{log: hclog.NewNullLogger(), ctx: ctx}
	disk := vfstest.New()
	calls := 0
	other := errors.New("other")
	err := p.runWithDiskSpace(disk, func() error {
		if calls++; calls == 1 {
			return batch.ErrDiskFull.New("full")
		}
		return other
	})
	if err != other || calls != 2 { //nolint:errorlint // this very error, not one that wraps it
		t.Errorf("%v after %d calls", err, calls)
	}
	// While the disk stays full, it returns when shutdown is requested.
	disk.Capacity = diskProbeBytes / 2
	probed := &atomic.Int32{}
	err = p.runWithDiskSpace(countedFolder{disk, func() {
		if probed.Add(1) == 2 {
			cancel()
		}
	}}, func() error { return syscall.ENOSPC })
	if err != nil || probed.Load() < 2 {
		t.Errorf("%v after %d probes", err, probed.Load())
	}
	if files, _ := disk.List(); len(files) != 0 {
		t.Errorf("left over: %v", files)
	}
}

// countedFolder calls a function for each file that is created.
type countedFolder struct {
	vfs.Folder
	created func()
}

func (f countedFolder) Create(name string) (vfs.File, error) {
	f.created()
	return f.Folder.Create(name)
}
