package keeper

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/journal/disktest"
	"dunetide/internal/platform/settings"
)

// syncTime is how long a sync of a measuredFolder takes.
const syncTime = 5 * time.Millisecond

// measuredFolder is a disk on which a sync takes its time, and which counts what is read.
type measuredFolder struct {
	*disktest.Disk
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

func (f *measuredFolder) Create(name string) (journal.File, error) {
	file, err := f.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	return slowSync{file}, nil
}

func (f *measuredFolder) Open(name string) (journal.OpenFile, error) {
	file, err := f.Disk.Open(name)
	if err != nil {
		return nil, err
	}
	return measuredFile{slowSync{file}, file, &f.read}, nil
}

// slowSync is a file whose syncs take their time.
type slowSync struct{ journal.File }

func (f slowSync) Sync() error {
	time.Sleep(syncTime)
	return f.File.Sync()
}

// measuredFile is a slowSync that is read, too.
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

// byteCounter relays links and counts what goes to one keeper.
type byteCounter struct {
	t      *testing.T
	to     string // the link address whose keeper is sent to
	sent   atomic.Int64
	mu     sync.Mutex
	relays map[[2]string]string // by who dials and who is dialled
}

// dial is where a keeper dials another one.
func (c *byteCounter) dial(from, target string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	pair := [2]string{from, target}
	if addr, there := c.relays[pair]; there {
		return addr
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.t.Error(err)
		return target
	}
	c.t.Cleanup(func() { _ = listener.Close() })
	c.relays[pair] = listener.Addr().String()
	go c.accept(listener, from, target)
	return c.relays[pair]
}

func (c *byteCounter) accept(listener net.Listener, from, target string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go c.carry(far, near, target)
		go c.carry(near, far, from)
	}
}

// carry passes on what goes to the keeper at an address.
func (c *byteCounter) carry(to, from net.Conn, address string) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if address == c.to {
			c.sent.Add(int64(n))
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// measuredRig is three keepers on disks of 64 MB, of which one is measured.
type measuredRig struct {
	*rig
	counter *byteCounter
	folders []*measuredFolder
}

const (
	measuredKeeper = 2
	needlessKeeper = 1 // the other voter besides keeper 0
)

func newMeasuredRig(t *testing.T) *measuredRig {
	m := &measuredRig{rig: newRig(t, 3)}
	m.counter = &byteCounter{t: t, to: m.linkAddress(measuredKeeper), relays: map[[2]string]string{}}
	m.folders = make([]*measuredFolder, len(m.running))
	for i := range m.running {
		m.startMeasured(i)
	}
	m.first = false
	m.untilMet(0, 1, 2)
	return m
}

func (m *measuredRig) linkAddress(i int) string { return fmt.Sprintf("%s:%d", m.ip(i), m.links) }

// startMeasured starts a keeper on its disk, with the limits that the disk has.
func (m *measuredRig) startMeasured(i int) {
	m.t.Helper()
	m.disks[i].Room = diskMB << 20
	m.folders[i] = &measuredFolder{Disk: m.disks[i]}
	s := m.settings(i)
	s.Limits = settings.Limits{DiskMB: diskMB}
	own := m.linkAddress(i)
	k, err := New(Options{Settings: s, Folder: m.folders[i], Log: m.log, DialAddress: func(addr string) string { return m.counter.dial(own, addr) }})
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &running{k, cancel, make(chan error, 1)}
	m.running[i] = run
	go func() { run.done <- k.Run(ctx) }()
}
