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

var errPower = errors.New("the power is gone")

// disk is a folder that tells what is durable from what is not. Each write, sync,
// rename, removal and so on is one operation; from one of them on all fail. It is safe for
// concurrent use: a sync that the journal no longer waits for goes on beside the next write.
type disk struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	pending []nameOp // since the last sync of the names
	ops     int
	failAt  int   // the operation that fails, and all after it; 0 for none
	fail    error // errPower if nil
	once    bool  // that operation alone fails
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
		return nil, fmt.Errorf("%s is not there", name)
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
		return nil, fmt.Errorf("%s is not there", name)
	}
	return slices.Clone(f.data[:min(most, len(f.data))]), nil
}

func (d *disk) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[name] != nil {
		return nil, fmt.Errorf("%s is there", name)
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
		return nil, fmt.Errorf("%s is not there", name)
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

// The ways in which a loss of power leaves what was not durable.
const (
	kept      = iota
	dropped   // all of it
	cut       // in the middle of what was written last
	reordered // what was written first is lost, what came later is there
	losses
)

// after is the disk as the next start finds it.
func (d *disk) after(loss int) *disk {
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

// small makes segments short, so that a short script rolls, cleans and checks often.
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

// world is what the clients, endpoints and staff know.
type world struct {
	t      *testing.T
	taken  map[string]bool // answered as taken on
	done   map[string]bool // its end has been told, or it was delivered
	sent   map[string]int  // times that it was sent
	out    map[string]bool // orders that were answered yes
	orders map[string]bool // that were called, whatever came of it
}

func newWorld(t *testing.T) *world {
	t.Helper()
	return &world{t: t, taken: map[string]bool{}, done: map[string]bool{}, sent: map[string]int{}, out: map[string]bool{}, orders: map[string]bool{}}
}

// A message whose id begins with c is a charge.
func charge(id string) bool { return strings.HasPrefix(id, "c") }

// try makes one attempt as the node does. Sent is told at the moment of the first byte.
func (w *world) try(j *Journal, m *Message, at time.Time) error {
	if err := j.Attempt(m, "e1", 0, at); err != nil {
		return err
	}
	if charge(m.ID) {
		if err := j.Sync(); err != nil {
			return err
		}
	}
	w.sent[m.ID]++
	return nil
}

// play is how long a life is and how many messages are held at a time: with few, there
// are checkpoints; with many, the oldest segments are cleaned.
type play struct{ rounds, hold int }

var plays = map[string]play{"checkpoints": {60, 6}, "cleaning": {100, 25}}

// script is a life of the node: messages that are taken, tried, delivered, handed back,
// orders, and segments that come and go. It ends with the first error.
func (w *world) script(j *Journal, p play) error {
	at := time.UnixMicro(1764600000000000)
	var open []*Message
	for i := range p.rounds {
		m := scripted(i, at.Add(time.Hour))
		if err := j.Accept(m); err != nil {
			return err
		}
		w.taken[m.ID] = true
		if i > 3 { // the first ones stay, and have to be moved on
			open = append(open, m)
		}
		at = at.Add(time.Second)
		if i%5 != 4 {
			if err := w.try(j, m, at); err != nil {
				return err
			}
			if i%3 == 0 { // turned away: it has not run, and may be tried again
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

// end ends a message: as delivered if it may have run, else with a notice that its client may come again.
func (w *world) end(j *Journal, m *Message, at time.Time) error {
	if m.Past.MayRun {
		w.done[m.ID] = true // delivered; this is on record when it may
		return j.Closed(m, "e1", at)
	}
	if err := j.Ended(m, NewNotice(m.ID, true, 0)); err != nil {
		return err
	}
	if charge(m.ID) { // its client may hand it in again
		if err := j.Sync(); err != nil {
			return err
		}
	}
	w.done[m.ID] = true
	return j.Closed(m, "", at)
}

// order has the staff take an endpoint out or let it serve again.
func (w *world) order(j *Journal, round int, at time.Time) error {
	name, out := fmt.Sprintf("e%d", round%3), round%2 == 0
	w.orders[name] = true
	delete(w.out, name) // until it is settled, either may hold
	if err := j.Order(name, out, at); err != nil {
		return err
	}
	if err := j.Sync(); err != nil {
		return err
	}
	w.out[name] = out
	return nil
}

// owes checks what a start finds against what the world knows.
func (w *world) owes(j *Journal, owed []*Message, what string) {
	w.t.Helper()
	found := map[string]*Message{}
	for _, m := range owed {
		if found[m.ID] != nil {
			w.t.Errorf("%s: %s is owed twice", what, m.ID)
		}
		found[m.ID] = m
		if charge(m.ID) && !m.Past.MayRun && m.Notice == nil && w.sent[m.ID] > 0 {
			w.t.Errorf("%s: charge %s would be sent again: %+v", what, m.ID, m.Past)
		}
		if charge(m.ID) && !m.Past.MayRun && m.Notice == nil && w.done[m.ID] {
			w.t.Errorf("%s: charge %s is over and would be sent", what, m.ID)
		}
	}
	for id := range w.taken {
		if !w.done[id] && found[id] == nil {
			w.t.Errorf("%s: %s was taken on and is missing", what, id)
		}
	}
	for name, out := range w.out {
		if j.TakenOut(name) != out {
			w.t.Errorf("%s: %s is out: %v, want %v", what, name, !out, out)
		}
	}
}

// state tells all that a start found, to compare two of them.
func state(j *Journal, owed []*Message) string {
	var b strings.Builder
	for _, m := range owed {
		fmt.Fprintf(&b, "%s %d %v %v %d %v;", m.ID, len(m.Body), m.Past.MayRun, m.Past.Settled, m.Past.Attempts, m.Notice)
	}
	fmt.Fprint(&b, sorted(j.orders))
	return b.String()
}

// again starts on a disk twice: the second start finds the same and nothing to mend.
func (w *world) again(d *disk, what string) {
	w.t.Helper()
	j, owed, err := openSmall(d, true)
	if err != nil {
		w.t.Errorf("%s: %v", what, err)
		return
	}
	w.owes(j, owed, what)
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
		w.t.Errorf("%s: the second start finds\n%s and %v, the first one\n%s", what, second, j.recovery.report.Problems, first)
	}
}

// At every operation of a life the power goes, and what was not durable is kept, dropped,
// cut, or there without what came before it. Then it goes once more at every operation
// of the recovery.
func TestLossOfPowerAtEveryOperation(t *testing.T) {
	for name, p := range plays {
		t.Run(name, func(t *testing.T) { testLossOfPower(t, p) })
	}
}

func testLossOfPower(t *testing.T, p play) {
	d := newDisk()
	j, _, err := openSmall(d, true)
	must(t, err)
	must(t, newWorld(t).script(j, p))
	if j.segments[0].number < 3 || (j.checkpoint > 0) != (p == plays["checkpoints"]) {
		t.Fatalf("the script replaced no segment in the way that it should: checkpoint %d, %+v", j.checkpoint, j.segments)
	}
	ops := d.ops
	t.Logf("%d operations", ops)
	for at := 1; at <= ops; at++ {
		d, w := newDisk(), newWorld(t)
		d.failAt = at
		if j, _, err := openSmall(d, true); err == nil {
			if err := w.script(j, p); !errors.Is(err, errPower) && err != nil && !errors.Is(err, ErrFailed) {
				t.Fatalf("operation %d: %v", at, err)
			}
		}
		for loss := range losses {
			what := fmt.Sprintf("operation %d, loss %d", at, loss)
			w.again(d.after(loss), what)
			if at%31 != 7*loss { // at a part of them, for time's sake
				continue
			}
			for inner := 1; ; inner++ {
				once := d.after(loss)
				once.failAt = inner
				_, _, err := openSmall(once, true)
				for twice := range losses {
					w.again(once.after(twice), fmt.Sprintf("%s, operation %d of the recovery, loss %d", what, inner, twice))
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

// A process that dies loses nothing that was written, with or without syncs.
func TestProcessDeathAtEveryOperation(t *testing.T) {
	for _, sync := range []bool{false, true} {
		d := newDisk()
		j, _, err := openSmall(d, sync)
		must(t, err)
		must(t, newWorld(t).script(j, plays["checkpoints"]))
		for at := 1; at <= d.ops; at++ {
			d, w := newDisk(), newWorld(t)
			d.failAt = at
			if j, _, err := openSmall(d, sync); err == nil {
				_ = w.script(j, plays["checkpoints"]) // ends where the process does
			}
			d = d.after(kept)
			j, owed, err := openSmall(d, sync)
			must(t, err)
			w.owes(j, owed, fmt.Sprintf("sync %v, operation %d", sync, at))
			if j.recovery.report.Damaged() {
				t.Errorf("sync %v, operation %d: %+v", sync, at, j.recovery.report.Problems)
			}
		}
	}
}

// Each operation fails once, with a disk that is full or broken: the journal refuses, says
// so, or goes on, and the next start owes what it should.
func TestFailureOfEachOperation(t *testing.T) {
	whole := newDisk()
	j, _, err := openSmall(whole, true)
	must(t, err)
	must(t, newWorld(t).script(j, plays["checkpoints"]))
	for _, fail := range []error{errors.New("no space left on device"), errors.New("input/output error")} {
		for at := 1; at <= whole.ops; at++ {
			d, w := newDisk(), newWorld(t)
			d.failAt, d.fail, d.once = at, fail, true
			j, _, err := openSmall(d, true)
			if err == nil {
				err = w.script(j, plays["checkpoints"])
				if j.Failed() != nil { // nothing is taken, however sound the disk says it is now
					if err := j.Accept(&Message{ID: "late"}); !errors.Is(err, ErrFailed) {
						t.Errorf("operation %d: taken on a failed disk: %v", at, err)
					}
				}
			}
			for loss := range losses {
				w.again(d.after(loss), fmt.Sprintf("operation %d failed with %v (%v), loss %d", at, fail, err, loss))
			}
			if t.Failed() {
				return
			}
		}
	}
}
