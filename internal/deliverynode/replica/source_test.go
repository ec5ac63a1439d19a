package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

// pair is a log and its copies, without network or goroutines.
type pair struct {
	t      *testing.T
	s      *Source
	disks  map[string]*vfstest.Disk
	copies map[string]*Copy
	now    time.Duration
}

func newPair(t *testing.T, want int, names ...string) *pair {
	t.Helper()
	p := &pair{t: t, s: NewSource("a", 1, want, time.Minute), disks: map[string]*vfstest.Disk{}, copies: map[string]*Copy{}}
	for _, name := range names {
		p.disks[name] = vfstest.New()
		p.open(name)
	}
	return p
}

func (p *pair) options(name string) CopyOptions {
	return CopyOptions{Folder: p.disks[name], Place: "here", Limit: 4 << 20, Now: time.Now, Log: slog.New(slog.DiscardHandler)}
}

// open creates a copy, or opens the present one.
func (p *pair) open(name string) {
	p.t.Helper()
	c, err := OpenCopy(p.options(name), p.now)
	if errors.Is(err, errNoCopy) {
		c, err = NewCopy(p.options(name), "a", 1, p.now)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	p.copies[name] = c
}

func (p *pair) change(seq uint64, attempts int) {
	p.s.Change(Entry{Seq: seq, ID: fmt.Sprint("m", seq), Body: []byte{byte(seq)}, Tenures: []Tenure{{Attempts: attempts}}}, p.now)
}

// tell sends one batch to a copy, and returns false if there is none.
func (p *pair) tell(name string) bool {
	p.t.Helper()
	b := p.s.Next(name, p.now)
	if b == nil {
		return false
	}
	a, err := p.copies[name].Apply(*b, p.now)
	if err != nil {
		a = Ack{No: err.Error()}
	}
	p.s.Answer(name, b, a, p.now)
	return true
}

func (p *pair) tellAll() {
	p.t.Helper()
	for n := 0; ; n++ {
		told := false
		for name := range p.copies {
			told = p.tell(name) || told
		}
		if !told {
			return
		}
		if n > 1000 {
			p.t.Fatal("batches never end")
		}
	}
}

// settle notes the planned holders of the copies.
func (p *pair) settle() {
	p.tellAll()
	if holders, ok := p.s.Plan(p.now); ok {
		p.s.Note(holders, p.now)
	}
}

func (p *pair) same(name string) {
	p.t.Helper()
	c := p.copies[name]
	if wrong, extra := c.compare(p.s.digests()); len(wrong)+len(extra) > 0 {
		p.t.Errorf("%s: ranges %v differ, %d extra messages", name, wrong, len(extra))
	}
	if len(c.entries) != len(p.s.items) {
		p.t.Errorf("%s has %d of %d", name, len(c.entries), len(p.s.items))
	}
}

// A lease that expired only by its holder's clock is regained under the same token. The versions must continue, because a copy
// would take new versions for ones that it has.
func TestVersionsGoOnUnderARegainedToken(t *testing.T) {
	p := newPair(t, 1, "b")
	p.s.Choose([]string{"b"}, 0)
	p.s.Begin(7, 0)
	for seq := uint64(1); seq <= 5; seq++ {
		p.change(seq, 0)
	}
	p.settle()
	for seq := uint64(1); seq <= 5; seq++ {
		p.s.Over(seq, fmt.Sprint("m", seq), 0)
	}
	p.tellAll()
	p.s.Begin(7, 0)
	p.change(6, 1)
	if at, n := p.s.Copied(); n > 0 && at >= p.s.version {
		t.Error("a copy counts that has received nothing")
	}
	p.settle()
	p.same("b")
}

// Catching a copy up resumes in batches from wherever it was interrupted, and sends no body twice.
func TestCatchUpResumesWithoutResendingBodies(t *testing.T) {
	p := newPair(t, 1, "b")
	p.s.Choose([]string{"b"}, 0)
	p.s.Begin(1, 0)
	body := make([]byte, 10<<10)
	for seq := uint64(1); seq <= 100; seq++ {
		p.s.Change(Entry{Seq: seq, ID: fmt.Sprint("m", seq), Body: body, Tenures: []Tenure{{}}}, 0)
	}
	bodies := map[uint64]int{}
	for n := 0; n < 100 && !p.copies["b"].meta.Complete; n++ {
		b := p.s.Next("b", p.now)
		if b == nil {
			t.Fatal("no further batch is sent")
		}
		for _, e := range b.Items {
			if !e.Bare {
				bodies[e.Seq]++
			}
		}
		a, err := p.copies["b"].Apply(*b, p.now)
		if err != nil {
			t.Fatal(err)
		}
		if n%2 == 1 { // the answer is lost, and the copy's process ends
			p.s.NoAnswer("b", b, errNoCopy, p.now)
			p.now += holderPatience
			p.open("b")
			continue
		}
		p.s.Answer("b", b, a, p.now)
	}
	p.same("b")
	for seq, n := range bodies {
		if n != 1 {
			t.Errorf("the body of %d was sent %d times", seq, n)
		}
	}
	// The next holder of the log does not send the bodies again either.
	p.s.Begin(2, p.now)
	for b := p.s.Next("b", p.now); b != nil; b = p.s.Next("b", p.now) {
		for _, e := range b.Items {
			if !e.Bare {
				t.Fatalf("the body of %d was sent again", e.Seq)
			}
		}
		a, err := p.copies["b"].Apply(*b, p.now)
		if err != nil {
			t.Fatal(err)
		}
		p.s.Answer("b", b, a, p.now)
	}
	p.same("b")
}

// The next comparison detects any damage of a copy and repairs it. Until then the copy does not count.
func TestDamagedReplicaIsRepairedByComparison(t *testing.T) {
	for name, spoil := range map[string]func(p *pair, c *Copy){
		"a message is missing": func(_ *pair, c *Copy) { must0(t, c.drop(40)) },
		"a message is there that has ended": func(p *pair, c *Copy) {
			p.s.Over(41, "m41", p.now)
			p.s.followers["b"].at = p.s.version
			c.at = p.s.version
		},
		"an attempt is missing": func(_ *pair, c *Copy) {
			e := c.entries[42]
			e.Tenures = []Tenure{{Token: 1, Version: e.Tenures[0].Version}}
			must0(t, c.put(e))
		},
		"another body":                     func(_ *pair, c *Copy) { e := c.entries[43]; e.Body = []byte("x"); must0(t, c.put(e)) },
		"another message under its number": func(_ *pair, c *Copy) { e := c.entries[44]; e.ID = "other"; must0(t, c.put(e)) },
		"a whole range is missing": func(_ *pair, c *Copy) {
			for seq := uint64(32); seq < 64; seq++ {
				must0(t, c.drop(seq))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, 1, "b")
			p.s.Choose([]string{"b"}, 0)
			p.s.Begin(1, 0)
			for seq := uint64(1); seq <= 100; seq++ {
				p.change(seq, 1)
			}
			p.settle()
			p.same("b")
			spoil(p, p.copies["b"])
			p.now += time.Minute
			for p.copies["b"].meta.Complete { // until it is compared
				if !p.tell("b") {
					t.Fatal("the copy is not compared")
				}
			}
			if at, _ := p.s.Copied(); at != 0 {
				t.Error("a damaged copy counts")
			}
			p.tellAll()
			for _, e := range p.s.Found { // messages that only the copy has, have ended here
				p.s.Over(e.Seq, e.ID, p.now)
			}
			p.now += holderPatience
			p.tellAll()
			p.same("b")
			if !p.copies["b"].meta.Complete {
				t.Error("the repaired copy does not count")
			}
		})
	}
}

func must0(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A copy that lost acknowledged entries, by a power failure or with its folder, does not count until it has been compared; a
// copy that has more than its writer recorded keeps it.
func TestALostCopyDoesNotCount(t *testing.T) {
	p := newPair(t, 1, "b")
	p.s.Choose([]string{"b"}, 0)
	p.s.Begin(1, 0)
	for seq := uint64(1); seq <= 10; seq++ {
		p.change(seq, 0)
	}
	p.settle()
	if at, n := p.s.Copied(); n != 1 || at != p.s.version {
		t.Fatalf("%d at %d of %d", n, at, p.s.version)
	}
	p.disks["b"] = vfstest.New()
	p.open("b")
	p.change(11, 0)
	for p.tell("b") && p.copies["b"].meta.Complete {
	}
	if at, _ := p.s.Copied(); at >= p.s.version {
		t.Error("an empty copy counts")
	}
	p.now += holderPatience
	p.tellAll()
	p.same("b")
	// The next process runs in another place: the folder may lack entries that were acknowledged.
	o := p.options("b")
	o.Place = "elsewhere"
	c, err := OpenCopy(o, p.now)
	if err != nil || c.meta.Complete {
		t.Errorf("complete in another place: %v, %v", c.meta.Complete, err)
	}
}

// A copy follows the later of two holders of its log, also if batches of the earlier one arrive afterwards.
func TestReplicaFollowsTheLaterLeaseHolder(t *testing.T) {
	p := newPair(t, 1, "b")
	p.s.Choose([]string{"b"}, 0)
	p.s.Begin(5, 0)
	p.change(1, 0)
	old := p.s.Next("b", 0)
	next := NewSource("a", 1, 1, time.Minute)
	next.Choose([]string{"b"}, 0)
	next.Begin(6, 0)
	b := next.Next("b", 0)
	a, err := p.copies["b"].Apply(*b, 0)
	if err != nil {
		t.Fatal(err)
	}
	next.Answer("b", b, a, 0)
	a, err = p.copies["b"].Apply(*old, 0)
	if err != nil || a.Token != 6 {
		t.Fatalf("%+v, %v", a, err)
	}
	p.s.Answer("b", old, a, 0)
	if p.s.Fenced() != 6 || p.s.Next("b", time.Hour) != nil {
		t.Error("the earlier holder continues")
	}
	if _, ok := p.s.Plan(0); ok {
		t.Error("the fenced holder notes the holders of copies")
	}
	c, err := OpenCopy(p.options("b"), 0)
	if err != nil || c.meta.Token != 6 {
		t.Errorf("the reopened copy has token %d, %v", c.meta.Token, err)
	}
}

// Each operation of the copy's disk fails, and a power failure follows: acknowledged entries are still there, and the copy is
// caught up again.
func TestCopyDiskFails(t *testing.T) {
	for at := 1; ; at++ {
		p := newPair(t, 1, "b")
		disk := p.disks["b"]
		disk.FailAt, disk.Fails = disk.Ops+at, 1
		p.s.Choose([]string{"b"}, 0)
		p.s.Begin(1, 0)
		for seq := uint64(1); seq <= 6; seq++ {
			p.change(seq, 0)
			p.tell("b")
			if seq%2 == 0 {
				p.s.Over(seq, fmt.Sprint("m", seq), p.now)
			}
			p.tell("b")
		}
		failed := disk.Ops >= disk.FailAt
		disk.FailAt = 0
		p.now += 2 * holderPatience
		p.settle()
		p.now += 2 * holderPatience
		p.tellAll()
		p.same("b")
		p.open("b")
		p.now += time.Minute
		p.s.NoAnswer("b", p.s.Next("b", p.now), errNoCopy, p.now)
		p.now += holderPatience
		p.tellAll()
		p.same("b")
		if !failed {
			if at < 10 {
				t.Errorf("only %d operations", at)
			}
			return
		}
	}
}

// A copy remembers ended messages for as long as clients may submit them again, also after a restart, whether or not it ever
// had the message.
func TestReplicaRemembersEndedMessages(t *testing.T) {
	p := newPair(t, 1, "b")
	p.s.Choose([]string{"b"}, 0)
	p.s.Begin(1, 0)
	p.change(1, 0)
	p.tellAll()
	p.s.Over(1, "m1", 0)
	p.s.Over(0, "another", 0)
	p.tellAll()
	for life := range 2 {
		for _, id := range []string{"m1", "another"} {
			if !p.copies["b"].Knows(id) || !slices.Contains(p.copies["b"].page(0).Over, id) {
				t.Errorf("%s is forgotten after %d restarts", id, life)
			}
		}
		p.open("b")
	}
}

// A copy that does not answer is removed from those that count, and another replaces it; when it returns it is added again,
// and no copy is dropped before there are enough others.
func TestSilentCopyIsReplaced(t *testing.T) {
	p := newPair(t, 1, "b", "c")
	p.s.Choose([]string{"b", "c"}, 0)
	p.s.Begin(1, 0)
	p.change(1, 0)
	p.settle()
	if !slices.Equal(p.s.noted, []string{"b"}) {
		t.Fatalf("noted %v", p.s.noted)
	}
	p.change(2, 0)
	b := p.s.Next("b", p.now)
	p.now += holderPatience / 2
	if next, ok := p.s.Plan(p.now); ok {
		t.Errorf("%v is planned too soon", next)
	}
	p.now += holderPatience
	p.s.NoAnswer("b", b, errNoCopy, p.now)
	if next, ok := p.s.Plan(p.now); !ok || len(next) != 0 {
		t.Errorf("planned %v, though none answers", next)
	}
	p.s.Choose([]string{"c"}, p.now)
	for p.tell("c") {
		if next, _ := p.s.Plan(p.now); slices.Contains(next, "c") && !p.copies["c"].meta.Complete {
			t.Fatal("an incomplete copy is planned as a holder")
		}
	}
	next, ok := p.s.Plan(p.now)
	if !ok || !slices.Equal(next, []string{"c"}) {
		t.Fatalf("planned %v", next)
	}
	p.s.Note(next, p.now)
	if at, n := p.s.Copied(); n != 1 || at != p.s.version {
		t.Errorf("%d copies at %d of %d", n, at, p.s.version)
	}
	p.now += holderPatience
	if b := p.s.Next("b", p.now); b == nil || !b.Drop {
		t.Errorf("the copy that is not wanted gets %+v", b)
	}
	if b := p.s.Next("c", p.now); b != nil && b.Drop {
		t.Error("a copy that counts is dropped")
	}
}

// Rank spreads copies over localities and evenly over nodes, and a change of the members moves few of them.
func TestReplicasAreSpreadOverLocalities(t *testing.T) {
	var nodes []string
	for i := range 60 {
		nodes = append(nodes, fmt.Sprint("n", i))
	}
	place := func(name string) string { return string(name[len(name)-1]%3 + 'a') }
	load, moved := map[string]int{}, 0
	for i := range nodes {
		others := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == nodes[i] })
		first := Rank(nodes[i], 1, place, others)[:2]
		if places := []string{place(nodes[i]), place(first[0]), place(first[1])}; places[0] == places[1] || places[1] == places[2] || places[0] == places[2] {
			t.Errorf("%s and %v are at %v", nodes[i], first, places)
		}
		for _, name := range first {
			load[name]++
		}
		without := Rank(nodes[i], 1, place, slices.DeleteFunc(slices.Clone(others), func(n string) bool { return n == "n7" }))[:2]
		for _, name := range without {
			if !slices.Contains(first, name) {
				moved++
			}
		}
	}
	if moved != load["n7"] {
		t.Errorf("%d copies move where %d were lost", moved, load["n7"])
	}
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	if most > 8 {
		t.Errorf("one node holds %d copies of 120", most)
	}
}

var _ vfs.Folder = (*vfstest.Disk)(nil)
