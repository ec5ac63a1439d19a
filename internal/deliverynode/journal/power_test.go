package journal

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

var errPower = errors.New("power loss")

// disk is an in-memory folder that tracks which data and names are durable. Each write, sync, rename, removal and so on is one
// operation, and all operations from a chosen one on fail. It is safe for concurrent use: a sync that the journal no longer
// waits for may run concurrently with the next write.
type disk struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	pending []nameOp // changes of names since the last sync of the folder
	ops     int
	failAt  int   // the operation that fails, and all after it; 0 for none
	fail    error // errPower if nil
	once    bool  // only that operation fails
}

type nameOp struct{ do func(map[string]*inode) }

type inode struct {
	data    []byte
	durable []byte
	writes  [][2]int // ranges written since the last sync
}

func newDisk() *disk { return &disk{names: map[string]*inode{}, durable: map[string]*inode{}} }

func (d *disk) op() error {
	d.ops++
	if d.failAt > 0 && (d.ops == d.failAt || d.ops > d.failAt && !d.once) {
		if d.fail != nil {
			return d.fail
		}
		return errPower
	}
	return nil
}

func (d *disk) rename(do func(map[string]*inode)) {
	do(d.names)
	d.pending = append(d.pending, nameOp{do})
}

func (d *disk) List() ([]vfs.FileInfo, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var files []vfs.FileInfo
	for _, name := range sorted(d.names) {
		files = append(files, vfs.FileInfo{Name: name, Size: int64(len(d.names[name].data))})
	}
	return files, nil
}

func (d *disk) Read(name string, most int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[name]
	if f == nil {
		return nil, fmt.Errorf("%s does not exist", name)
	}
	if int64(len(f.data)) > most {
		return nil, vfs.ErrTooLarge
	}
	return slices.Clone(f.data), nil
}

func (d *disk) Head(name string, most int) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[name]
	if f == nil {
		return nil, fmt.Errorf("%s does not exist", name)
	}
	return slices.Clone(f.data[:min(most, len(f.data))]), nil
}

func (d *disk) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[name] != nil {
		return nil, fmt.Errorf("%s exists already", name)
	}
	if err := d.op(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.rename(func(names map[string]*inode) { names[name] = f })
	return &diskFile{d, f}, nil
}

func (d *disk) Open(name string) (vfs.OpenFile, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[name]
	if f == nil {
		return nil, fmt.Errorf("%s does not exist", name)
	}
	return &diskFile{d, f}, nil
}

func (w *diskFile) ReadAt(b []byte, at int64) (int, error) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	return bytes.NewReader(w.f.data).ReadAt(b, at)
}

func (d *disk) Cut(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op(); err != nil {
		return err
	}
	f := d.names[name]
	f.data = f.data[:size]
	f.sync()
	return nil
}

func (d *disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op(); err != nil {
		return err
	}
	d.rename(func(names map[string]*inode) {
		if f := names[from]; f != nil {
			names[to] = f
			delete(names, from)
		}
	})
	return nil
}

func (d *disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op(); err != nil {
		return err
	}
	d.rename(func(names map[string]*inode) { delete(names, name) })
	return nil
}

func (d *disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op(); err != nil {
		return err
	}
	d.durable, d.pending = maps.Clone(d.names), nil
	return nil
}

type diskFile struct {
	d *disk
	f *inode
}

func (w *diskFile) Write(b []byte) (int, error) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.op(); err != nil {
		return 0, err
	}
	w.f.writes = append(w.f.writes, [2]int{len(w.f.data), len(w.f.data) + len(b)})
	w.f.data = append(w.f.data, b...)
	return len(b), nil
}

func (w *diskFile) Truncate(size int64) error {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.op(); err != nil {
		return err
	}
	w.f.data = w.f.data[:size]
	return nil
}

func (w *diskFile) Sync() error {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.op(); err != nil {
		return err
	}
	w.f.sync()
	return nil
}

func (w *diskFile) Close() error { return nil }

func (f *inode) sync() { f.durable, f.writes = slices.Clone(f.data), nil }

// The possible effects of a power loss on data that is not durable.
const (
	kept      = iota
	dropped   // all of it is lost
	cut       // half of it is lost
	reordered // the first write is lost, later ones are kept
	losses
)

// afterLoss returns the disk as the next start finds it after a power loss.
func (d *disk) afterLoss(loss int) *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := maps.Clone(d.durable)
	for i, op := range d.pending {
		if loss == kept || loss == cut && i < (len(d.pending)+1)/2 || loss == reordered && i == len(d.pending)-1 {
			op.do(names)
		}
	}
	next := newDisk()
	for name, f := range names {
		data := slices.Clone(f.durable)
		switch loss {
		case kept:
			data = slices.Clone(f.data)
		case cut:
			if n := len(f.data); n > len(data) {
				data = slices.Clone(f.data[:(n+len(data))/2])
			}
		case reordered:
			if len(f.writes) > 1 {
				data = slices.Clone(f.data)
				clear(data[f.writes[0][0]:f.writes[0][1]])
			}
		}
		g := &inode{data: data, durable: slices.Clone(data)}
		next.names[name], next.durable[name] = g, g
	}
	return next
}

// smallSegment is a segment size at which a short script often starts segments, compacts and writes checkpoints.
const smallSegment = 1500

func openSmall(f vfs.Folder, sync bool) (*Journal, []*Message, error) {
	j, err := Replay(Options{Folder: f, Limit: 24 * smallSegment, Sync: sync})
	if err != nil {
		return nil, nil, err
	}
	j.segSize = smallSegment
	owed, err := j.Begin(nil)
	return j, owed, err
}

// observed is the state that clients, endpoints and operators have observed.
type observed struct {
	t        *testing.T
	accepted map[string]bool // the client got the confirmation
	ended    map[string]bool // its end was reported, or it was delivered
	sent     map[string]int  // number of times that the message was sent and may have run
	out      map[string]bool // confirmed orders: whether the endpoint is out of service
	orders   map[string]bool // endpoints with an attempted order, whatever its result
}

func newObserved(t *testing.T) *observed {
	t.Helper()
	return &observed{t: t, accepted: map[string]bool{}, ended: map[string]bool{}, sent: map[string]int{}, out: map[string]bool{}, orders: map[string]bool{}}
}

// isCharge reports whether a message is a charge, which must not be repeated: its id begins with c.
func isCharge(id string) bool { return strings.HasPrefix(id, "c") }

// attempt makes one attempt as the node does. It counts the message as sent where the node would send the first byte.
func (w *observed) attempt(j *Journal, m *Message, at time.Time) error {
	if err := j.Attempt(m, "e1", 0, at); err != nil {
		return err
	}
	if isCharge(m.ID) {
		if err := j.Sync(); err != nil {
			return err
		}
	}
	w.sent[m.ID]++
	return nil
}

// workload is the length of a script and the number of messages that are live at a time: with few live messages the journal
// writes checkpoints, with many it compacts the oldest segments.
type workload struct{ rounds, hold int }

var workloads = map[string]workload{"checkpoints": {60, 6}, "cleaning": {100, 25}}

// script runs the journal calls of a node: messages are accepted, attempted, delivered and handed back, there are orders, and
// segments are started and removed. It stops at the first error.
func (w *observed) script(j *Journal, p workload) error {
	at := time.UnixMicro(1764600000000000)
	var open []*Message
	for i := range p.rounds {
		m := scripted(i, at.Add(time.Hour))
		if err := j.Accept(m); err != nil {
			return err
		}
		w.accepted[m.ID] = true
		if i > 3 { // the first ones stay live, so that compaction has to copy them
			open = append(open, m)
		}
		at = at.Add(time.Second)
		if i%5 != 4 {
			if err := w.attempt(j, m, at); err != nil {
				return err
			}
			if i%3 == 0 { // rejected: the message has not run and may be retried
				if err := j.Outcome(m, policy.Full, "e1", at); err != nil {
					return err
				}
				w.sent[m.ID]--
			}
		}
		if len(open) > p.hold {
			if err := w.end(j, open[0], at); err != nil {
				return err
			}
			open = open[1:]
		}
		if i%7 == 3 {
			if err := w.order(j, i, at); err != nil {
				return err
			}
		}
	}
	return nil
}

// scripted returns the message of a round.
func scripted(round int, deadline time.Time) *Message {
	id := fmt.Sprintf("s%d", round)
	if round%2 == 1 {
		id = fmt.Sprintf("c%d", round)
	}
	m := &Message{ID: id, Deadline: deadline, Body: make([]byte, 20+round*37%400)}
	for k := range m.Body {
		m.Body[k] = byte(round + k)
	}
	return m
}

// end ends a message: as delivered if it may have run, otherwise with a notice that its client may retry.
func (w *observed) end(j *Journal, m *Message, at time.Time) error {
	if m.Past.MayRun {
		w.ended[m.ID] = true // delivered, whether or not the record becomes durable
		return j.Closed(m, "e1", at)
	}
	if err := j.Ended(m, NewNotice(m.ID, true, 0)); err != nil {
		return err
	}
	if isCharge(m.ID) { // its client may submit it again
		if err := j.Sync(); err != nil {
			return err
		}
	}
	w.ended[m.ID] = true
	return j.Closed(m, "", at)
}

// order has an operator take an endpoint out of service or put it back.
func (w *observed) order(j *Journal, round int, at time.Time) error {
	name, out := fmt.Sprintf("e%d", round%3), round%2 == 0
	w.orders[name] = true
	delete(w.out, name) // until the order is confirmed, either state is allowed
	if err := j.Order(name, out, at); err != nil {
		return err
	}
	if err := j.Sync(); err != nil {
		return err
	}
	w.out[name] = out
	return nil
}

// check compares the state after a start with what was observed.
func (w *observed) check(j *Journal, owed []*Message, what string) {
	w.t.Helper()
	found := map[string]*Message{}
	for _, m := range owed {
		if found[m.ID] != nil {
			w.t.Errorf("%s: %s was restored twice", what, m.ID)
		}
		found[m.ID] = m
		if isCharge(m.ID) && !m.Past.MayRun && m.Notice == nil && w.sent[m.ID] > 0 {
			w.t.Errorf("%s: charge %s would be sent again: %+v", what, m.ID, m.Past)
		}
		if isCharge(m.ID) && !m.Past.MayRun && m.Notice == nil && w.ended[m.ID] {
			w.t.Errorf("%s: charge %s has ended and would be sent", what, m.ID)
		}
	}
	for id := range w.accepted {
		if !w.ended[id] && found[id] == nil {
			w.t.Errorf("%s: %s was accepted and is missing", what, id)
		}
	}
	for name, out := range w.out {
		if j.TakenOut(name) != out {
			w.t.Errorf("%s: %s out of service: %v, want %v", what, name, !out, out)
		}
	}
}

// state describes the state after a start, to compare two starts.
func state(j *Journal, owed []*Message) string {
	var b strings.Builder
	for _, m := range owed {
		fmt.Fprintf(&b, "%s %d %v %v %d %v;", m.ID, len(m.Body), m.Past.MayRun, m.Past.Settled, m.Past.Attempts, m.Notice)
	}
	fmt.Fprint(&b, sorted(j.orders))
	return b.String()
}

// startTwice starts twice on a disk and checks that the second start finds the same state and nothing to repair.
func (w *observed) startTwice(d *disk, what string) {
	w.t.Helper()
	j, owed, err := openSmall(d, true)
	if err != nil {
		w.t.Errorf("%s: %v", what, err)
		return
	}
	w.check(j, owed, what)
	first := state(j, owed)
	if err := j.Close(); err != nil {
		w.t.Errorf("%s: %v", what, err)
	}
	j, owed, err = openSmall(d, true)
	if err != nil {
		w.t.Errorf("%s, again: %v", what, err)
		return
	}
	if second := state(j, owed); second != first || len(j.recovery.report.Problems) > 0 {
		w.t.Errorf("%s: the second start found\n%s and %v, the first\n%s", what, second, j.recovery.report.Problems, first)
	}
}

// The power fails at every operation of a script, and data that is not durable is kept, dropped, cut, or kept without the
// writes before it. Then the power fails again at every operation of the recovery.
func TestPowerLossAtEveryOperation(t *testing.T) {
	for name, p := range workloads {
		t.Run(name, func(t *testing.T) { testPowerLoss(t, p) })
	}
}

func testPowerLoss(t *testing.T, p workload) {
	d := newDisk()
	j, _, err := openSmall(d, true)
	must(t, err)
	must(t, newObserved(t).script(j, p))
	if j.segments[0].number < 3 || (j.checkpoint > 0) != (p == workloads["checkpoints"]) {
		t.Fatalf("the script did not replace segments by checkpoints or compaction as intended: checkpoint %d, %+v", j.checkpoint, j.segments)
	}
	ops := d.ops
	t.Logf("%d operations", ops)
	for at := 1; at <= ops; at++ {
		d, w := newDisk(), newObserved(t)
		d.failAt = at
		if j, _, err := openSmall(d, true); err == nil {
			if err := w.script(j, p); !errors.Is(err, errPower) && err != nil && !errors.Is(err, ErrFailed) {
				t.Fatalf("operation %d: %v", at, err)
			}
		}
		for loss := range losses {
			what := fmt.Sprintf("operation %d, loss %d", at, loss)
			w.startTwice(d.afterLoss(loss), what)
			if at%31 != 7*loss { // only at some operations, to limit the running time
				continue
			}
			for inner := 1; ; inner++ {
				once := d.afterLoss(loss)
				once.failAt = inner
				_, _, err := openSmall(once, true)
				for twice := range losses {
					w.startTwice(once.afterLoss(twice), fmt.Sprintf("%s, operation %d of the recovery, loss %d", what, inner, twice))
					if t.Failed() {
						return
					}
				}
				if err == nil {
					break
				}
			}
		}
		if t.Failed() {
			return
		}
	}
}

// A killed process loses nothing that it has written, with or without Options.Sync.
func TestProcessKillAtEveryOperation(t *testing.T) {
	for _, sync := range []bool{false, true} {
		d := newDisk()
		j, _, err := openSmall(d, sync)
		must(t, err)
		must(t, newObserved(t).script(j, workloads["checkpoints"]))
		for at := 1; at <= d.ops; at++ {
			d, w := newDisk(), newObserved(t)
			d.failAt = at
			if j, _, err := openSmall(d, sync); err == nil {
				_ = w.script(j, workloads["checkpoints"]) // stops where the process is killed
			}
			d = d.afterLoss(kept)
			j, owed, err := openSmall(d, sync)
			must(t, err)
			w.check(j, owed, fmt.Sprintf("sync %v, operation %d", sync, at))
			if j.recovery.report.Damaged() {
				t.Errorf("sync %v, operation %d: %+v", sync, at, j.recovery.report.Problems)
			}
		}
	}
}

// Each operation fails once, with the error of a full or a broken disk: the journal refuses messages, reports the failure, or
// continues, and the next start restores the right messages.
func TestFailureOfEachOperation(t *testing.T) {
	reference := newDisk()
	j, _, err := openSmall(reference, true)
	must(t, err)
	must(t, newObserved(t).script(j, workloads["checkpoints"]))
	for _, fail := range []error{errors.New("no space left on device"), errors.New("input/output error")} {
		for at := 1; at <= reference.ops; at++ {
			d, w := newDisk(), newObserved(t)
			d.failAt, d.fail, d.once = at, fail, true
			j, _, err := openSmall(d, true)
			if err == nil {
				err = w.script(j, workloads["checkpoints"])
				if j.Failed() != nil { // nothing is accepted, even if the disk now reports success
					if err := j.Accept(&Message{ID: "late"}); !errors.Is(err, ErrFailed) {
						t.Errorf("operation %d: accepted on a failed disk: %v", at, err)
					}
				}
			}
			for loss := range losses {
				w.startTwice(d.afterLoss(loss), fmt.Sprintf("operation %d failed with %v (%v), loss %d", at, fail, err, loss))
			}
			if t.Failed() {
				return
			}
		}
	}
}
