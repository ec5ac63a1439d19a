package batch

import (
	"bytes"
	"context"
	"net"
	"slices"
	"testing"

	"dunetide/internal/deliverynode/journal/disktest"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

// sentPipe notes what is sent.
type sentPipe struct{ kinds []link.Kind }

func (p *sentPipe) Send(kind link.Kind, _ []byte) error {
	p.kinds = append(p.kinds, kind)
	return nil
}

func numbers(part int, nums ...uint64) []byte {
	var w link.Writer
	w.U32(uint32(part))
	for _, n := range nums {
		w.U64(n)
	}
	return w.B
}

// replacedPrimary is a rig in which the lead of a job's part has moved on, and the old primary has not heard of it.
func replacedPrimary(t *testing.T) (g *scaleRig, part int, old, successor, third *core) {
	t.Helper()
	g = newScaleRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	next := cloneTable(g.cores[0].table)
	part = next.PartitionOf("job")
	row := &next.Partitions[part]
	old = g.cores[row.Primary-1]
	for _, c := range g.cores {
		switch {
		case c == old:
		case successor == nil:
			successor = c
		default:
			third = c
		}
	}
	row.Epoch++
	row.Primary = successor.self
	successor.setTable(next)
	third.setTable(next)
	return g, part, old, successor, third
}

// TestCopiesRefuseAReplacedPrimary: whatever a primary sends under a ballot that is known to be over changes nothing at a
// copy and is not acknowledged; the answer tells of the newer ballot.
func TestCopiesRefuseAReplacedPrimary(t *testing.T) {
	g, part, old, successor, third := replacedPrimary(t)
	ballot := old.part(part).lead.ballot
	g.step(1000)
	if successor.part(part).lead == nil || !successor.part(part).lead.active {
		t.Fatal("the successor does not lead")
	}
	p := third.part(part)
	for kind, body := range map[link.Kind][]byte{
		kAsk:     numbers(part, ballot, 7),
		kPut:     append(numbers(part, ballot, p.session), 1, 2, 3),
		kMark:    numbers(part, ballot, p.session, 99),
		kOp:      append(numbers(part, ballot, p.session, p.claimS+1), encodeNamed(opEnd, "job")...),
		kFetch:   append(numbers(part, ballot), 0, 0, 0, 0),
		kConfirm: numbers(part, ballot, 1),
	} {
		pipe := &sentPipe{}
		claimB, claimS, promised, appended := p.claimB, p.claimS, p.promised, third.appended
		third.storeMessage(pipe, kind, body)
		third.synced(third.appended)
		if p.claimB != claimB || p.claimS != claimS || p.promised != promised || third.appended != appended || p.jobs["job"].ended {
			t.Errorf("kind %d of an old ballot changed a copy", kind)
		}
		if !slices.Equal(pipe.kinds, []link.Kind{kStale}) {
			t.Errorf("kind %d of an old ballot was answered with %v", kind, pipe.kinds)
		}
	}
}

// TestAReplacedPrimaryPromisesNothing: it wakes and finds out at its first message; what it orders then is not committed,
// and it is not sure of anything.
func TestAReplacedPrimaryPromisesNothing(t *testing.T) {
	g, part, old, successor, _ := replacedPrimary(t)
	g.step(1000)
	if l := old.part(part).lead; l != nil && old.sure(l) {
		t.Error("it is sure to lead")
	}
	for kind, body := range map[link.Kind][]byte{
		kAccept: scaleLot("job", 2, 0), kEnd: encodeNamed(0, "job")[1:],
		kRead: func() []byte { var w link.Writer; w.String("job"); w.Int(0); w.Int(0); return w.B }(),
	} {
		var code uint8
		old.message(nil, replied(func(b []byte) { code = b[0] }), kind, body)
		g.step(1500)
		if code != codeUnavailable {
			t.Errorf("kind %d: answered %d", kind, code)
		}
	}
	if successor.part(part).jobs["job"].ended {
		t.Error("an end that a replaced primary ordered is in force")
	}
}

// TestQuotaOwnersAreFenced: grants of an owner older than the one that counted last are not used, and what an earlier life
// of a primary reports or asks for changes nothing at the owner.
func TestQuotaOwnersAreFenced(t *testing.T) {
	g := newScaleRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	no, store := g.cores[0].quotaOwner("b")
	owner := g.cores[store-1]
	account := owner.part(no).lead.accts["b"]
	part := g.cores[0].table.PartitionOf("job")
	c := g.cores[g.cores[0].table.Partitions[part].Primary-1]
	p := c.part(part)
	share := account.shares[part]
	before, grants := *share, len(share.grants)

	usage := func(life uint64) []byte {
		var w link.Writer
		w.String("b")
		w.U32(uint32(part))
		for _, n := range []uint64{life, 1, 1 << 40} {
			w.U64(n)
		}
		w.Int(0)
		w.U64(1 << 40)
		return w.B
	}
	owner.storeMessage(&sentPipe{}, kUsage, usage(p.lead.life-1))
	if now := account.shares[part]; now.life != before.life || now.tokens != before.tokens {
		t.Errorf("a report of an old life counts: %+v, before %+v", now, before)
	}
	var ask link.Writer
	ask.String("b")
	ask.U32(uint32(part))
	ask.U64(p.lead.life - 1)
	ask.U64(1 << 30)
	ask.Int(5)
	ask.Int(1 << 30)
	pipe := &sentPipe{}
	owner.storeMessage(pipe, kReserve, ask.B)
	if len(pipe.kinds) != 0 || len(account.shares[part].grants) != grants {
		t.Errorf("a reservation of an old life was answered: %v", pipe.kinds)
	}

	in := &incoming{id: "new", route: "b", tokens: 1, most: 10, enc: scaleLot("new", 1, 0)}
	p.lead.incoming["new"] = in
	p.lead.reserves[77] = &reserve{route: "b", number: 77, in: in, deadline: c.now + 10_000, sent: true}
	var grant link.Writer
	grant.String("b")
	grant.U32(uint32(part))
	grant.U64(p.lead.life)
	grant.U64(77)
	grant.U8(codeOK)
	grant.U64(p.ownerB["b"] - 1)
	c.storeMessage(&sentPipe{}, kGrant, grant.B)
	if p.jobs["new"] != nil || p.lead.reserves[77] == nil {
		t.Error("a grant of an old owner was used")
	}
}

// TestHalfATransferIsNoCopy: jobs that a primary has sent, without the mark behind them, raise no claim: the copy is asked
// for its old one, also after a restart, and a more complete one is preferred.
func TestHalfATransferIsNoCopy(t *testing.T) {
	log := &simDisk{}
	c := newCore(9, log)
	c.append(encodeRec(recID, 0, 9))
	c.append(encodeRec(recMark, 3, ballotOf(1)+1, 4))
	primary := &sentPipe{}
	c.storeMessage(primary, kAsk, numbers(3, ballotOf(2)+1, 5))
	c.synced(c.appended)
	donor := newCore(1, &simDisk{})
	donor.append(append(encodeRec(recOp, 3, ballotOf(1)+1, 1), append([]byte{opAccept}, scaleLot("job", 1, 0)...)...))
	whole, err := donor.whole(donor.part(3).jobs["job"])
	if err != nil {
		t.Fatal(err)
	}
	c.storeMessage(primary, kPut, append(numbers(3, ballotOf(2)+1, 5), whole...))
	for _, what := range []string{"while it comes", "after a restart"} {
		p := c.part(3)
		if p.claimB != ballotOf(1)+1 || p.claimS != 4 {
			t.Errorf("%s: the claim is (%x, %d)", what, p.claimB, p.claimS)
		}
		if p.lead != nil {
			t.Errorf("%s: it leads", what)
		}
		again := newCore(0, log)
		for _, r := range log.recs {
			b, err := log.ReadRaw(r.at, r.n)
			if err != nil {
				t.Fatal(err)
			}
			if err := again.replay(b, r.at); err != nil {
				t.Fatal(err)
			}
		}
		c = again
	}
}

// TestARejoiningStoreServesNothing: a store that comes back, whatever its disk has, answers no call and hands out nothing
// before the table and enough copies have made it the primary; one with another identity is not in the table at all.
func TestARejoiningStoreServesNothing(t *testing.T) {
	g, part, old, _, _ := replacedPrimary(t)
	g.step(1000)
	oldTable := old.table
	for name, id := range map[string]uint64{"an old disk": old.self, "an empty disk": 99} {
		c := newCore(id, &simDisk{})
		if id == old.self {
			c.append(encodeRec(recPromise, part, old.part(part).promised))
			c.append(append(encodeRec(recOp, part, ballotOf(1)+1, 1), append([]byte{opAccept}, scaleLot("job", 2, 0)...)...))
		}
		c.now = 10_000
		c.setTable(oldTable) // a keeper that lags may hand out an old table
		c.synced(c.appended)
		worker := &sentPipe{}
		var attach link.Writer
		attach.String("w")
		attach.String("z0")
		attach.Int(5)
		c.message(worker, nil, kAttach, attach.B)
		for range 100 {
			c.now += 25
			c.tick()
		}
		if p := c.part(part); p.lead != nil && p.lead.active {
			t.Errorf("%s: it leads alone", name)
		}
		var code uint8
		c.message(nil, replied(func(b []byte) { code = b[0] }), kAccept, scaleLot("job", 2, 0))
		if code != codeUnavailable || slices.Contains(worker.kinds, kGive) {
			t.Errorf("%s: answered %d, sent %v", name, code, worker.kinds)
		}
	}
}

// TestDamagedDisksAreNotUsed: a store does not start on a log with a flipped byte in what was synced; a torn tail is cut
// off, and what was synced is there.
func TestDamagedDisksAreNotUsed(t *testing.T) {
	build := func() *disktest.Disk {
		d := disktest.New()
		log, err := openSegments(d)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			at, err := log.Append(encodeRec(recPromise, 1, 5))
			if err == nil {
				err = log.SyncTo(at)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		return d
	}
	open := func(d *disktest.Disk) error {
		s, err := NewStore(StoreOptions{Open: func(replay func([]byte, int64) error) (Log, error) { return OpenLog(d, "t.log", replay) }})
		if err == nil {
			s.Close()
		}
		return err
	}
	d := build()
	flipped := bytes.Clone(d.File("t.log"))
	flipped[len(flipped)/2] ^= 4
	d.Put("t.log", flipped)
	if err := open(d); !recordlog.ErrDamaged.Has(err) {
		t.Errorf("a flipped byte: %v", err)
	}
	d = build()
	d.Put("t.log", append(bytes.Clone(d.File("t.log")), 1, 2, 3, 4, 5, 6, 7))
	if err := open(d); err != nil {
		t.Errorf("a torn tail: %v", err)
	}
}

// kindsHandler passes on the kinds of messages that come over links.
type kindsHandler chan link.Kind

func (h kindsHandler) Message(m *link.Message) { h <- m.Kind }
func (h kindsHandler) Closed(*link.Conn)       {}

// TestWorkersRefuseAReplacedPrimary: an item that a replaced primary hands out is put back, and its word that a job has
// ended or that it is not sure counts for nothing.
func TestWorkersRefuseAReplacedPrimary(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sent := make(kindsHandler, 10)
	go func() { _ = link.Serve(listener, sent, link.DefaultOptions) }()
	dial := func() *link.Conn {
		c, err := link.Dial(context.Background(), listener.Addr().String(), make(kindsHandler, 10), link.DefaultOptions)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	old, successor := dial(), dial()
	w := newWorkerSide(&Edge{})
	inHand := &running{key: itemKey{0, "job", 0}, item: &Item{}, cancel: func() { t.Error("an item in hand was given up") }}
	w.jobs[inHand.key] = inHand
	w.parts[0] = &holding{conn: successor, epoch: 2, noted: true}

	var give link.Writer
	give.U32(0)
	give.U64(1)
	give.String("job")
	give.U32(1)
	give.Int(0)
	give.Int(1)
	for range 3 {
		give.String("x")
	}
	give.Int(1)
	give.Bytes(encodeSegment("/b/x", nil, nil))
	var cancel link.Writer
	cancel.U32(0)
	cancel.String("job")
	w.message(0, &link.Message{Conn: old, Kind: kCancel, Body: cancel.B})
	w.message(0, &link.Message{Conn: old, Kind: kUnsure, Body: numbers(0)})
	w.message(0, &link.Message{Conn: old, Kind: kGive, Body: give.B})
	if got := <-sent; got != kPutBack {
		t.Errorf("answered with kind %d", got)
	}
	if len(w.jobs) != 1 || w.parts[0].unsure || w.parts[0].conn != successor {
		t.Errorf("it holds %d items, is held back: %v", len(w.jobs), w.parts[0].unsure)
	}
}
