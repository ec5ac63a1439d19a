package batch

import (
	"bytes"
	"context"
	"net"
	"slices"
	"testing"

	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs/vfstest"
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
	return w.Buf
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
	ballot := old.partition(part).primary.term
	g.step(1000)
	if successor.partition(part).primary == nil || !successor.partition(part).primary.serving {
		t.Fatal("the successor does not lead")
	}
	p := third.partition(part)
	for kind, body := range map[link.Kind][]byte{
		kindPrepare:    numbers(part, ballot, 7),
		kindInstallJob: append(numbers(part, ballot, p.session), 1, 2, 3),
		kindStartTerm:  numbers(part, ballot, p.session, 99),
		kindOperation:  append(numbers(part, ballot, p.session, p.position.sequence+1), encodeJobOperation(opEndJob, "job")...),
		kindFetchJob:   append(numbers(part, ballot), 0, 0, 0, 0),
		kindConfirm:    numbers(part, ballot, 1),
	} {
		pipe := &sentPipe{}
		claimB, claimS, promised, appended := p.position.term, p.position.sequence, p.promisedTerm, third.appendedRecords
		third.handleStoreMessage(pipe, kind, body)
		third.recordsSynced(third.appendedRecords)
		if p.position.term != claimB || p.position.sequence != claimS || p.promisedTerm != promised || third.appendedRecords != appended || p.jobs["job"].ended {
			t.Errorf("kind %d of an old ballot changed a copy", kind)
		}
		if !slices.Equal(pipe.kinds, []link.Kind{kindStaleTerm}) {
			t.Errorf("kind %d of an old ballot was answered with %v", kind, pipe.kinds)
		}
	}
}

// TestAReplacedPrimaryPromisesNothing: it wakes and finds out at its first message; what it orders then is not committed,
// and it is not sure of anything.
func TestAReplacedPrimaryPromisesNothing(t *testing.T) {
	g, part, old, successor, _ := replacedPrimary(t)
	g.step(1000)
	if l := old.partition(part).primary; l != nil && old.isConfirmed(l) {
		t.Error("it is sure to lead")
	}
	for kind, body := range map[link.Kind][]byte{
		kindAcceptJob: scaleLot("job", 2, 0), kindEndJob: encodeJobOperation(0, "job")[1:],
		kindReadResults: func() []byte { var w link.Writer; w.String("job"); w.Int(0); w.Int(0); return w.Buf }(),
	} {
		var code uint8
		old.handleMessage(nil, replied(func(b []byte) { code = b[0] }), kind, body)
		g.step(1500)
		if code != codeUnavailable {
			t.Errorf("kind %d: answered %d", kind, code)
		}
	}
	if successor.partition(part).jobs["job"].ended {
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
	account := owner.partition(no).primary.accounts["b"]
	part := g.cores[0].table.PartitionOf("job")
	c := g.cores[g.cores[0].table.Partitions[part].Primary-1]
	p := c.partition(part)
	share := account.usage[part]
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
		return w.Buf
	}
	owner.handleStoreMessage(&sentPipe{}, kindUsageReport, usage(p.primary.incarnation-1))
	if now := account.usage[part]; now.incarnation != before.incarnation || now.tokens != before.tokens {
		t.Errorf("a report of an old life counts: %+v, before %+v", now, before)
	}
	var ask link.Writer
	ask.String("b")
	ask.U32(uint32(part))
	ask.U64(p.primary.incarnation - 1)
	ask.U64(1 << 30)
	ask.Int(5)
	ask.Int(1 << 30)
	pipe := &sentPipe{}
	owner.handleStoreMessage(pipe, kindReserveTokens, ask.Buf)
	if len(pipe.kinds) != 0 || len(account.usage[part].grants) != grants {
		t.Errorf("a reservation of an old life was answered: %v", pipe.kinds)
	}

	in := &incomingJob{id: "new", route: "b", tokens: 1, maxTokens: 10, encoded: scaleLot("new", 1, 0)}
	p.primary.incomingJobs["new"] = in
	p.primary.reservations[77] = &reservation{route: "b", number: 77, job: in, deadline: c.nowMs + 10_000, sent: true}
	var grant link.Writer
	grant.String("b")
	grant.U32(uint32(part))
	grant.U64(p.primary.incarnation)
	grant.U64(77)
	grant.U8(codeOK)
	grant.U64(p.quotaOwnerIncarnations["b"] - 1)
	c.handleStoreMessage(&sentPipe{}, kindReservationReply, grant.Buf)
	if p.jobs["new"] != nil || p.primary.reservations[77] == nil {
		t.Error("a grant of an old owner was used")
	}
}

// TestHalfATransferIsNoCopy: jobs that a primary has sent, without the mark behind them, raise no claim: the copy is asked
// for its old one, also after a restart, and a more complete one is preferred.
func TestHalfATransferIsNoCopy(t *testing.T) {
	log := &simDisk{}
	c := newCore(9, log)
	c.appendRecord(encodeRecord(recordIdentity, 0, 9))
	c.appendRecord(encodeRecord(recordTermStart, 3, firstTerm(1)+1, 4))
	primary := &sentPipe{}
	c.handleStoreMessage(primary, kindPrepare, numbers(3, firstTerm(2)+1, 5))
	c.recordsSynced(c.appendedRecords)
	donor := newCore(1, &simDisk{})
	donor.appendRecord(append(encodeRecord(recordOperation, 3, firstTerm(1)+1, 1), append([]byte{opAcceptJob}, scaleLot("job", 1, 0)...)...))
	whole, err := donor.encodeWholeJob(donor.partition(3).jobs["job"])
	if err != nil {
		t.Fatal(err)
	}
	c.handleStoreMessage(primary, kindInstallJob, append(numbers(3, firstTerm(2)+1, 5), whole...))
	for _, what := range []string{"while it comes", "after a restart"} {
		p := c.partition(3)
		if p.position.term != firstTerm(1)+1 || p.position.sequence != 4 {
			t.Errorf("%s: the claim is (%x, %d)", what, p.position.term, p.position.sequence)
		}
		if p.primary != nil {
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
			c.appendRecord(encodeRecord(recordPromise, part, old.partition(part).promisedTerm))
			c.appendRecord(append(encodeRecord(recordOperation, part, firstTerm(1)+1, 1), append([]byte{opAcceptJob}, scaleLot("job", 2, 0)...)...))
		}
		c.nowMs = 10_000
		c.setTable(oldTable) // a keeper that lags may hand out an old table
		c.recordsSynced(c.appendedRecords)
		worker := &sentPipe{}
		var attach link.Writer
		attach.String("w")
		attach.String("z0")
		attach.Int(5)
		c.handleMessage(worker, nil, kindAttachWorker, attach.Buf)
		for range 100 {
			c.nowMs += 25
			c.tick()
		}
		if p := c.partition(part); p.primary != nil && p.primary.serving {
			t.Errorf("%s: it leads alone", name)
		}
		var code uint8
		c.handleMessage(nil, replied(func(b []byte) { code = b[0] }), kindAcceptJob, scaleLot("job", 2, 0))
		if code != codeUnavailable || slices.Contains(worker.kinds, kindAssignItem) {
			t.Errorf("%s: answered %d, sent %v", name, code, worker.kinds)
		}
	}
}

// TestDamagedDisksAreNotUsed: a store does not start on a log with a flipped byte in what was synced; a torn tail is cut
// off, and what was synced is there.
func TestDamagedDisksAreNotUsed(t *testing.T) {
	build := func() *vfstest.Disk {
		d := vfstest.New()
		log, err := openSegments(d)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			at, err := log.Append(encodeRecord(recordPromise, 1, 5))
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
	open := func(d *vfstest.Disk) error {
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
	w := newItemRunner(ProxyOptions{})
	inHand := &runningItem{key: itemKey{0, "job", 0}, item: &Item{}, cancel: func() { t.Error("an item in hand was given up") }}
	w.running[inHand.key] = inHand
	w.contacts[0] = &primaryContact{conn: successor, epoch: 2, runningNoted: true}

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
	give.Bytes(encodeRequest("/b/x", nil, nil))
	var cancel link.Writer
	cancel.U32(0)
	cancel.String("job")
	w.handleMessage(&link.Message{Conn: old, Kind: kindCancelJob, Body: cancel.Buf})
	w.handleMessage(&link.Message{Conn: old, Kind: kindPauseStarts, Body: numbers(0)})
	w.handleMessage(&link.Message{Conn: old, Kind: kindAssignItem, Body: give.Buf})
	if got := <-sent; got != kindReturnItem {
		t.Errorf("answered with kind %d", got)
	}
	if len(w.running) != 1 || w.contacts[0].startsPaused || w.contacts[0].conn != successor {
		t.Errorf("it holds %d items, is held back: %v", len(w.running), w.contacts[0].startsPaused)
	}
}
