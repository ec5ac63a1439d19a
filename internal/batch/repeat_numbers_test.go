package batch

import (
	"slices"
	"testing"

	"dunetide/internal/platform/link"
)

// leaderOf is the store of a rig that leads a job's part.
func leaderOf(t *testing.T, g *scaleRig, job string) (*core, *partition) {
	t.Helper()
	no := g.cores[0].table.PartitionOf(job)
	for _, c := range g.cores {
		if p := c.partition(no); p.primary != nil && p.primary.serving {
			return c, p
		}
	}
	t.Fatalf("nobody leads the part of %s", job)
	return nil, nil
}

// answerCode calls a store and gives the code of its answer, after which the rig has settled; 0: there was none.
func answerCode(g *scaleRig, c *core, kind link.Kind, body []byte) (code uint8) {
	c.handleMessage(nil, replied(func(b []byte) { code = b[0] }), kind, body)
	for range 40 {
		if code != 0 {
			break
		}
		g.now += 25_000
		g.settle()
	}
	return code
}

// waitingTokens are the tokens that the owner of the quota of route "b" counts: those told, and those granted since.
func waitingTokens(g *scaleRig) (sum int64) {
	no, store := g.cores[0].quotaOwner("b")
	for _, s := range g.cores[store-1].partition(no).primary.accounts["b"].usage {
		sum += s.tokens
		for _, grant := range s.grants {
			sum += grant.tokens
		}
	}
	return sum
}

// A job that is handed in again, while the first hand-in is under way and after it, is kept once and counts once against the quota.
func TestHandInSentAgainIsTakenOnce(t *testing.T) {
	g := newScaleRig(3, 1, 0, 1000)
	no := g.cores[0].table.PartitionOf("job")
	c := g.cores[g.cores[0].table.Partitions[no].Primary-1]
	var codes []uint8
	for range 3 {
		c.handleMessage(nil, replied(func(b []byte) { codes = append(codes, b[0]) }), kindAcceptJob, scaleLot("job", 2, 0))
	}
	for range 40 {
		g.now += 25_000
		g.settle()
	}
	codes = append(codes, answerCode(g, c, kindAcceptJob, scaleLot("job", 2, 0)))
	if !slices.Equal(codes, []uint8{codeOK, codeOK, codeOK, codeOK}) {
		t.Errorf("answered %v", codes)
	}
	g.now += 200_000
	g.settle()
	if sum := waitingTokens(g); len(c.partition(no).jobs) != 1 || sum != 200 {
		t.Errorf("%d jobs are kept, and %d tokens counted, want 1 and 200", len(c.partition(no).jobs), sum)
	}
}

// An end that is sent again is answered again, and gives the quota its tokens back once.
func TestEndSentAgainCountsOnce(t *testing.T) {
	g := newScaleRig(3, 1, 0, 1000)
	g.accept(t, "other", 3)
	g.accept(t, "job", 2)
	c, p := leaderOf(t, g, "job")
	for n := range 3 {
		if code := answerCode(g, c, kindEndJob, encodeJobOperation(0, "job")[1:]); code != codeOK {
			t.Errorf("end %d: answered %d", n, code)
		}
	}
	g.now += 200_000
	g.settle()
	if sum := waitingTokens(g); sum != 300 || !p.jobs["job"].ended {
		t.Errorf("%d tokens are counted, want 300", sum)
	}
}

// resultOf is a worker's message of an item's text.
func resultOf(part int, job string, item int, text string) []byte {
	var w link.Writer
	w.U32(uint32(part))
	w.String(job)
	w.U32(uint32(item))
	w.Bool(false)
	w.Bytes([]byte(text))
	return w.Buf
}

// A result that is delivered again, over the same link, over a newer one of its worker, or by another worker that had the item in an
// older life of the part, is acknowledged and changes nothing: the first one counts.
func TestResultDeliveredAgainIsListedOnce(t *testing.T) {
	g := newScaleRig(3, 1, 4, 1000)
	g.accept(t, "job", 1)
	c, p := leaderOf(t, g, "job")
	first := p.jobs["job"].items[0].worker
	if first == nil {
		t.Fatal("the item is not handed out")
	}
	newer, other := &sentPipe{}, &sentPipe{}
	for name, pipe := range map[string]*sentPipe{"w0": newer, "w9": other} {
		var attach link.Writer
		attach.String(name)
		attach.String("z0")
		attach.Int(4)
		c.handleMessage(pipe, nil, kindAttachWorker, attach.Buf)
	}
	before := g.listed
	for _, pipe := range []Pipe{first.pipe, first.pipe, newer, other} {
		c.handleMessage(pipe, nil, kindItemResult, resultOf(p.index, "job", 0, "the first text"))
		c.handleMessage(pipe, nil, kindItemResult, resultOf(p.index, "job", 0, "another text"))
		g.settle()
	}
	j := p.jobs["job"]
	if len(j.results) != 1 || j.readableResults != 1 {
		t.Fatalf("%d results, %d may be read", len(j.results), j.readableResults)
	}
	if text, err := c.resultText(j.results[0]); err != nil || string(text) != "the first text" {
		t.Errorf("%q, %v", text, err)
	}
	acknowledged := func(p *sentPipe) (n int) {
		for _, kind := range p.kinds {
			if kind == kindResultStored {
				n++
			}
		}
		return n
	}
	if g.listed-before != 4 || acknowledged(newer) != 2 || acknowledged(other) != 2 {
		t.Errorf("acknowledged %d, %d and %d times, want 4, 2 and 2", g.listed-before, acknowledged(newer), acknowledged(other))
	}
}

// reservation asks for tokens of route "b".
func reservationOf(part int, life, number uint64, tokens, most int) []byte {
	var w link.Writer
	w.String("b")
	w.U32(uint32(part))
	w.U64(life)
	w.U64(number)
	w.Int(tokens)
	w.Int(most)
	return w.Buf
}

// A reservation that is sent again is granted again and counted once; one that is decided is not answered any more.
func TestReservationSentAgainIsCountedOnce(t *testing.T) {
	g := newScaleRig(3, 1, 0, 1000)
	g.accept(t, "job", 2)
	g.now += 200_000
	g.settle()
	no, store := g.cores[0].quotaOwner("b")
	owner := g.cores[store-1]
	_, p := leaderOf(t, g, "job")
	settled := owner.partition(no).primary.accounts["b"].usage[p.index].resolvedReservations
	before := waitingTokens(g)
	const asked = 5
	pipe := &sentPipe{}
	for range 3 {
		owner.handleStoreMessage(pipe, kindReserveTokens, reservationOf(p.index, p.primary.incarnation, settled+1, asked, 1<<30))
	}
	if got := waitingTokens(g) - before; got != asked {
		t.Errorf("%d tokens are counted, want %d", got, asked)
	}
	if !slices.Equal(pipe.kinds, []link.Kind{kindReservationReply, kindReservationReply, kindReservationReply}) {
		t.Errorf("answered with %v", pipe.kinds)
	}
	decided := &sentPipe{}
	owner.handleStoreMessage(decided, kindReserveTokens, reservationOf(p.index, p.primary.incarnation, settled, asked, 1<<30))
	if got := waitingTokens(g) - before; got != asked || len(decided.kinds) != 0 {
		t.Errorf("one that is decided: %d tokens, answered with %v", got, decided.kinds)
	}
}

// A report of what waits in a part that comes again, or after a newer one of the same life, changes nothing at the owner.
func TestUsageSentAgainChangesNothing(t *testing.T) {
	g := newScaleRig(3, 1, 0, 1000)
	g.accept(t, "job", 2)
	g.now += 200_000
	g.settle()
	no, store := g.cores[0].quotaOwner("b")
	owner := g.cores[store-1]
	_, p := leaderOf(t, g, "job")
	known := owner.partition(no).primary.accounts["b"].usage[p.index]
	if known.version == 0 {
		t.Fatal("nothing was reported")
	}
	report := func(version uint64, tokens int) {
		var w link.Writer
		w.String("b")
		w.U32(uint32(p.index))
		w.U64(known.incarnation)
		w.U64(known.epoch)
		w.U64(version)
		w.Int(tokens)
		w.U64(known.resolvedReservations)
		owner.handleStoreMessage(&sentPipe{}, kindUsageReport, w.Buf)
	}
	tokens, version := known.tokens, known.version
	report(version, 7)
	report(version-1, 8)
	if now := owner.partition(no).primary.accounts["b"].usage[p.index]; now.tokens != tokens || now.version != version {
		t.Errorf("%d tokens at version %d, want %d at %d", now.tokens, now.version, tokens, version)
	}
	report(version+1, 9)
	if now := owner.partition(no).primary.accounts["b"].usage[p.index]; now.tokens != 9 || now.version != version+1 {
		t.Errorf("a newer report does not count: %+v", now)
	}
}

// grantOf is an owner's answer to a reservation.
func grantOf(part int, life, number uint64, code uint8, owner uint64) []byte {
	var w link.Writer
	w.String("b")
	w.U32(uint32(part))
	w.U64(life)
	w.U64(number)
	w.U8(code)
	w.U64(owner)
	return w.Buf
}

// An answer to a reservation ends that one alone: one that was made by an older life of the primary under the same number, or an
// answer that comes twice, ends no other.
func TestGrantOfAnOlderLifeEndsNoNewerReservation(t *testing.T) {
	for name, code := range map[string]uint8{"granted": codeOK, "full": codeQuotaFull, "unavailable": codeUnavailable} {
		t.Run(name, func(t *testing.T) {
			g := newScaleRig(3, 1, 0, 1000)
			g.accept(t, "job", 1)
			c, p := leaderOf(t, g, "job")
			l := p.primary
			l.lastReservation++
			number := l.lastReservation
			answered := 0
			in := &incomingJob{id: "new", route: "b", tokens: 1, maxTokens: 1 << 30, encoded: scaleLot("new", 1, 0), callers: []Caller{replied(func([]byte) { answered++ })}}
			l.incomingJobs["new"] = in
			l.reservations[number] = &reservation{route: "b", number: number, job: in, deadline: c.nowMs + 10_000, sent: true}
			owner := p.quotaOwnerIncarnations["b"]
			for what, body := range map[string][]byte{
				"of an older life": grantOf(p.index, l.incarnation-1, number, code, owner),
				"of another one":   grantOf(p.index, l.incarnation, number-1, code, owner),
				"of a later one":   grantOf(p.index, l.incarnation, number+1, code, owner),
				"of another part":  grantOf((p.index+1)%len(c.table.Partitions), l.incarnation, number, code, owner),
			} {
				c.handleStoreMessage(&sentPipe{}, kindReservationReply, body)
				if r := l.reservations[number]; r == nil || !r.sent || p.jobs["new"] != nil || answered != 0 {
					t.Errorf("an answer %s counts", what)
				}
			}
			for range 2 { // its own, twice
				c.handleStoreMessage(&sentPipe{}, kindReservationReply, grantOf(p.index, l.incarnation, number, codeOK, owner))
			}
			g.settle()
			if j := p.jobs["new"]; j == nil || !j.committed || answered != 1 || l.reservations[number] != nil {
				t.Errorf("its own answer: answered %d times", answered)
			}
		})
	}
}

// What copies acknowledge and confirm under an older ballot counts for nothing under the newer one.
func TestAcknowledgementOfAnOlderBallotCountsForNothing(t *testing.T) {
	g := newScaleRig(3, 1, 0, 1000)
	g.accept(t, "job", 1)
	c, p := leaderOf(t, g, "job")
	l := p.primary
	if len(l.progress) == 0 {
		t.Fatal("it has no copies")
	}
	for _, q := range l.progress {
		acked, stamp := q.acknowledged, q.confirmedAt
		var ack, confirmed link.Writer
		ack.Buf, confirmed.Buf = numbers(p.index, l.term-1, 1<<40), numbers(p.index, l.term-1, 1<<40)
		ack.Bool(true)
		confirmed.Bool(true)
		c.handleStoreMessage(q.pipe, kindOperationAck, ack.Buf)
		c.handleStoreMessage(q.pipe, kindConfirmed, confirmed.Buf)
		if q.acknowledged != acked || q.confirmedAt != stamp || q.logFull {
			t.Errorf("it counts: %d, %d before, stamp %d, %d before", q.acknowledged, acked, q.confirmedAt, stamp)
		}
		var again link.Writer // its own, again and older than the newest
		again.Buf = numbers(p.index, l.term, 0)
		again.Bool(false)
		c.handleStoreMessage(q.pipe, kindOperationAck, again.Buf)
		if q.acknowledged != acked {
			t.Errorf("an older acknowledgement takes back: %d, %d before", q.acknowledged, acked)
		}
	}
}

// Operations that come again, or out of their order, change nothing at a copy.
func TestOperationSentAgainChangesNothing(t *testing.T) {
	g := newScaleRig(3, 1, 0, 1000)
	g.accept(t, "job", 2)
	leader, led := leaderOf(t, g, "job")
	copies := 0
	for _, c := range g.cores {
		p := c.partition(led.index)
		if c == leader || p.position.term != led.primary.term {
			continue
		}
		copies++
		before, digest := p.position.sequence, p.jobs["job"].digest()
		appended := c.appendedRecords
		for _, seq := range []uint64{before, before + 2, 1} {
			body := append(numbers(p.index, led.primary.term, p.session, seq), encodeAddResult("job", 0, false, []byte("x"))...)
			c.handleStoreMessage(p.followedPrimary, kindOperation, body)
		}
		if p.position.sequence != before || p.jobs["job"].digest() != digest || c.appendedRecords != appended {
			t.Errorf("an operation that does not follow counts: up to %d, %d before", p.position.sequence, before)
		}
		for _, session := range []uint64{p.session - 1, p.session + 1} {
			c.handleStoreMessage(p.followedPrimary, kindOperation, append(numbers(p.index, led.primary.term, session, before+1), encodeAddResult("job", 0, false, []byte("x"))...))
		}
		c.handleStoreMessage(&sentPipe{}, kindOperation, append(numbers(p.index, led.primary.term, p.session, before+1), encodeAddResult("job", 0, false, []byte("x"))...))
		if p.position.sequence != before || p.jobs["job"].digest() != digest || c.appendedRecords != appended {
			t.Errorf("an operation of another session or link counts: up to %d, %d before", p.position.sequence, before)
		}
	}
	if copies == 0 {
		t.Error("it has no copies")
	}
}
