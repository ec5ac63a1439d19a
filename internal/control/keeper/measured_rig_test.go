package keeper

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

// syncTime is how long a sync of a measuredFolder takes.
const syncTime = 5 * time.Millisecond

// measuredFolder is a disk on which each sync takes syncTime, and which counts the bytes read.
type measuredFolder struct {
	*vfstest.Disk
	read atomic.Int64
}

func (f *measuredFolder) Read(name string, most int64) ([]byte, error) {
	b, err := f.Disk.Read(name, most)
	f.read.Add(int64(len(b)))
	return b, err
}

func (f *measuredFolder) Head(name string, most int) ([]byte, error) {
	b, err := f.Disk.Head(name, most)
	f.read.Add(int64(len(b)))
	return b, err
}

func (f *measuredFolder) Create(name string) (vfs.File, error) {
	file, err := f.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	return slowSync{file}, nil
}

func (f *measuredFolder) Open(name string) (vfs.OpenFile, error) {
	file, err := f.Disk.Open(name)
	if err != nil {
		return nil, err
	}
	return measuredFile{slowSync{file}, file, &f.read}, nil
}

// slowSync is a file whose syncs take syncTime.
type slowSync struct{ vfs.File }

func (f slowSync) Sync() error {
	time.Sleep(syncTime)
	return f.File.Sync()
}

// measuredFile is a slowSync that also counts the bytes read.
type measuredFile struct {
	slowSync
	reader io.ReaderAt
	read   *atomic.Int64
}

func (f measuredFile) ReadAt(b []byte, at int64) (int, error) {
	n, err := f.reader.ReadAt(b, at)
	f.read.Add(int64(n))
	return n, err
}

// measuredRig runs three keepers on disks of 64 MB, one of which is measured.
type measuredRig struct {
	*rig
	folders []*measuredFolder
}

const (
	measuredKeeper = 2
	otherVoter     = 1 // the other voter besides keeper 0
)

func newMeasuredRig(t *testing.T) *measuredRig {
	t.Helper()
	m := &measuredRig{rig: newRig(t, 3)}
	m.startRelays()
	m.limits = settings.Limits{DiskMB: diskMB}
	m.folders = make([]*measuredFolder, len(m.running))
	m.folder = func(i int) vfs.Folder {
		m.disks[i].Capacity = diskMB << 20
		m.folders[i] = &measuredFolder{Disk: m.disks[i]}
		return m.folders[i]
	}
	m.startAll()
	m.untilConnected(0, 1, 2)
	return m
}
