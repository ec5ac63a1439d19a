package batch

import (
	"bytes"
	"fmt"
	"testing"

	"dunetide/internal/platform/link"
)

// Sizes of a job whose results together don't fit into a message.
const (
	largeJobItems = 24
	largeText     = 1 << 20 // bytes
)

// useLargeTexts makes the results of the items of rigs long.
func useLargeTexts(t *testing.T) {
	t.Helper()
	text := rigText
	t.Cleanup(func() { rigText = text })
	rigText = bytes.Repeat([]byte("t"), largeText)
}

// disconnect closes the connections between a store and the others.
func (g *storeRig) disconnect(c *core) {
	for _, d := range g.cores {
		if d == c {
			continue
		}
		for _, end := range []struct{ from, to *core }{{c, d}, {d, c}} {
			pipe := end.from.peers[end.to.self].(*rigPipe)
			pipe.closed, pipe.peer.closed = true, true
			end.from.peerDisconnected(end.to.self, pipe)
			end.to.connectionClosed(pipe.peer)
		}
	}
}

// reconnect opens the connections between a store and the others again.
func (g *storeRig) reconnect(c *core) {
	for _, d := range g.cores {
		if d == c {
			continue
		}
		c.peerConnected(d.self, g.connect(receiverOf(c), receiverOf(d)))
		d.peerConnected(c.self, g.connect(receiverOf(d), receiverOf(c)))
	}
}

// giveLead publishes a table in which another store leads a partition.
func (g *storeRig) giveLead(index int, to *core) {
	next := cloneTable(g.cores[0].table)
	next.Partitions[index].Epoch++
	next.Partitions[index].Primary = to.self
	for _, c := range g.cores {
		c.setTable(next)
	}
}

// readAll reads the results of a job from its primary, page by page, and returns their number; -1 if a read is not
// answered with results.
func (g *storeRig) readAll(id string, items int) (read int) {
	c := g.primaryOf(id)
	for read < items {
		var answer []byte
		caller := callerFunc(func(b []byte) { answer = bytes.Clone(b) })
		c.handleMessage(nil, caller, kindReadResults, encodeReadResults(id, read, 0, Principal{}))
		g.step(confirmationWaitMs + 100)
		if len(answer) == 0 || answer[0] != codeOK {
			return -1
		}
		r := link.Reader{Buf: answer[1:]}
		r.U32() // total
		count := int(r.U32())
		if count == 0 {
			return read
		}
		read += count
	}
	return read
}

// TestReplicaGetsALargeJobBeforeItLeads guards against the loss of a partition when the lead moves to a store that was
// away while a job grew over the size of a message.
func TestReplicaGetsALargeJobBeforeItLeads(t *testing.T) {
	useLargeTexts(t)
	for _, when := range []string{"the store is behind when it is to lead", "the store has caught up before"} {
		t.Run(when, func(t *testing.T) {
			g := newStoreRig(3, 2, 2, 100)
			g.accept(t, "job", largeJobItems)
			primary, p := primaryOfJob(t, g)
			var away *core
			for _, c := range g.cores {
				if c != primary {
					away = c
				}
			}
			g.runAll(t, largeJobItems/3)
			g.disconnect(away)
			g.runAll(t, largeJobItems)
			behind := away.partition(p.index)
			if n := len(behind.jobs["job"].results); n >= largeJobItems {
				t.Fatalf("the store that was away has %d results", n)
			}
			g.reconnect(away)
			if when == "the store has caught up before" {
				g.step(2000)
				if replica := primary.partition(p.index).primary.progress[away.self]; replica == nil || !replica.upToDate {
					t.Fatalf("the replica is not up to date: %+v", replica)
				}
			}
			g.giveLead(p.index, away)
			g.step(3000)
			if behind.primary == nil || !behind.primary.serving {
				t.Fatal("the store that came back does not serve")
			}
			if n := len(behind.jobs["job"].results); n != largeJobItems {
				t.Errorf("it serves %d of %d results", n, largeJobItems)
			}
			if n := g.readAll("job", largeJobItems); n != largeJobItems {
				t.Errorf("%d of %d results can be read", n, largeJobItems)
			}
			if len(behind.staged) != 0 {
				t.Errorf("%d jobs are still staged", len(behind.staged))
			}
			for _, c := range g.cores {
				checkReplay(t, c)
			}
		})
	}
}

// TestLargeJobIsNotInstalledByHalf guards against a replica that gives up what it had of a job for parts of another
// state: if the transfer breaks off, a takeover must still find what was committed.
func TestLargeJobIsNotInstalledByHalf(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCore(2, &memoryDisk{})
			p := c.partition(3)
			c.transfers = transferLimits{wholeJobBytes: 1, partBytes: 700, inFlightBytes: 2000, messages: 2}
			c.appendRecord(append(encodeRecord(recordOperation, 3, 7, 1), encodeAcceptJob(encodedJob("job", 4, 0))...))
			c.appendRecord(append(encodeRecord(recordOperation, 3, 7, 2), encodeAddResult("job", 1, false, rigText)...))
			had := p.jobs["job"].digest()

			donor := newCore(1, &memoryDisk{})
			donor.transfers = c.transfers
			q := donor.partition(3)
			donor.appendRecord(append(encodeRecord(recordOperation, 3, 9, 1), encodeAcceptJob(encodedJob("job", 4, 0))...))
			for _, index := range []int{3, 1, 0} {
				result := encodeAddResult("job", index, false, bytes.Repeat([]byte{byte(index)}, 600))
				donor.appendRecord(append(encodeRecord(recordOperation, 3, 9, 2), result...))
			}
			parts := 0
			for at, last := (partPosition{}), false; !last; parts++ {
				var encoded []byte
				var err error
				if encoded, at, last, err = donor.encodeJobPart(q.jobs["job"], at, true); err != nil {
					t.Fatal(err)
				}
				if _, ok := c.acceptJobPart(p, encoded); !ok {
					t.Fatalf("part %d was not accepted", parts)
				}
				if !last && p.jobs["job"].digest() != had {
					t.Fatalf("after part %d the job is no longer what it was", parts)
				}
				if parts == int(seed) {
					c.discardAllStaged(p)
					checkReplay(t, c)
					if _, ok := c.acceptJobPart(p, encoded); ok && !last && at.results > 0 {
						t.Fatal("a part without its beginning was accepted")
					}
					return
				}
			}
			if parts < 4 || p.jobs["job"].digest() != q.jobs["job"].digest() {
				t.Fatalf("after %d parts the job is %+v", parts, p.jobs["job"])
			}
			checkReplay(t, c)
		})
	}
}

// TestStagedPartsOutliveTheirSegment guards against a transfer whose first parts are lost when the segment of the log
// that has them is removed, or when the job that they will replace is rewritten after them.
func TestStagedPartsOutliveTheirSegment(t *testing.T) {
	for _, hasJob := range []bool{false, true} {
		t.Run(fmt.Sprintf("the store has the job already: %v", hasJob), func(t *testing.T) {
			testStagedPartsOutliveTheirSegment(t, hasJob)
		})
	}
}

func testStagedPartsOutliveTheirSegment(t *testing.T, hasJob bool) {
	const index = 3
	limits := transferLimits{wholeJobBytes: 1, partBytes: 1500, inFlightBytes: 4000, messages: 2}
	donor, disk := newCore(1, &simDisk{}), &simDisk{}
	c := newCore(2, disk)
	c.transfers, donor.transfers = limits, limits
	c.fixedSegmentBytes = 1 // a new segment whenever space is reclaimed
	p, q := c.partition(index), donor.partition(index)
	accept := append(encodeRecord(recordOperation, index, 7, 1), encodeAcceptJob(encodedJob("job", 8, 0))...)
	donor.appendRecord(accept)
	if hasJob {
		c.appendRecord(accept)
		c.reclaimSpace() // the parts are in a later segment
	} else {
		c.appendRecord(encodeRecord(recordIdentity, 0, c.self))
	}
	for item := range 8 {
		result := encodeAddResult("job", item, false, rigText)
		donor.appendRecord(append(encodeRecord(recordOperation, index, 9, uint64(item+1)), result...))
	}
	for at, last := (partPosition{}), false; !last; {
		var encoded []byte
		var err error
		if encoded, at, last, err = donor.encodeJobPart(q.jobs["job"], at, true); err != nil {
			t.Fatal(err)
		}
		if _, ok := c.acceptJobPart(p, encoded); !ok {
			t.Fatalf("the part before result %d was not accepted", at.results)
		}
		c.reclaimSpace()
		oldest, _ := disk.Oldest()
		c.reclaimOldest(oldest)
		again := newCore(0, disk)
		if err := disk.replayInto(again); err != nil {
			t.Fatal(err)
		}
		for _, jobs := range [][2]map[string]*job{
			{again.partition(index).jobs, p.jobs},
			{again.partition(index).staged, p.staged},
		} {
			got, want := jobs[0]["job"], jobs[1]["job"]
			if (got == nil) != (want == nil) || got != nil && got.digest() != want.digest() {
				t.Fatalf("before result %d the log has %+v, want %+v", at.results, got, want)
			}
		}
	}
	if disk.droppedSegments == 0 {
		t.Error("no segment was removed")
	}
	if got, want := p.jobs["job"].digest(), q.jobs["job"].digest(); got != want {
		t.Errorf("the job arrived with digest %x, want %x", got, want)
	}
	if encoded, err := c.encodeJobWithResults(p.jobs["job"]); err != nil || validateJobWithResults(encoded) != nil {
		t.Errorf("the job can't be read: %v", err)
	}
}

// TestReplicaWithoutPartsGetsWholeJobs stands for a store of a version that knows no parts.
func TestReplicaWithoutPartsGetsWholeJobs(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 4)
	c, p := primaryOfJob(t, g)
	c.transfers.wholeJobBytes = 1
	pipe := &recordingPipe{}
	replica := &replicaProgress{pipe: pipe, session: 77, digests: map[string]uint64{}, acknowledged: -1, confirmedAt: never}
	p.primary.progress[99] = replica
	c.startCatchUp(p, replica)
	if len(pipe.kinds) != 1 || pipe.kinds[0] != kindInstallJob {
		t.Errorf("it was sent %v", pipe.kinds)
	}
	replica = &replicaProgress{pipe: pipe, session: 78, digests: map[string]uint64{}, acceptsParts: true, acknowledged: -1, confirmedAt: never}
	p.primary.progress[99] = replica
	pipe.kinds = nil
	c.startCatchUp(p, replica)
	if len(pipe.kinds) == 0 || pipe.kinds[0] != kindInstallJobPart || replica.upToDate {
		t.Errorf("a replica that accepts parts was sent %v", pipe.kinds)
	}
}

// TestTooLongResultIsAbandoned guards against an item without end because no message could hold its result.
func TestTooLongResultIsAbandoned(t *testing.T) {
	text := newEventText()
	text.addEvent("0", make([]byte, maxResultBytes))
	if text.tooLong {
		t.Fatal("the longest text is refused")
	}
	key := itemKey{3, "job", 0}
	if n := len(encodeItemResult(key, false, text.text)); n > link.MaxBody {
		t.Errorf("the message has %d bytes", n)
	}
	text.addEvent("1", []byte("x"))
	if !text.tooLong {
		t.Error("a longer text is kept")
	}
	g := newStoreRig(3, 1, 1, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	for _, w := range c.attachedWorkers {
		if len(w.assigned) == 1 {
			c.handleResult(p, w, itemKey{p.index, "job", 0}, false, make([]byte, maxResultBytes+1))
		}
	}
	g.step(100)
	if j := p.jobs["job"]; len(j.results) != 1 || !j.results[0].abandoned {
		t.Errorf("the results are %+v", j.results)
	}
}
