package journal

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

// goldenAt is the time of all records in testdata/golden.
var goldenAt = time.UnixMicro(1764600000123456)

// goldenMessage returns a message in which each field that is stored differs from zero.
func goldenMessage() *Message {
	return &Message{Seq: 300, ID: "message-1", Key: "key-2", Class: 3, Dest: 700, Deadline: goldenAt.Add(time.Minute), Body: []byte("the body"),
		Past:   Past{Attempts: 4, Settled: true, Out: true, MayRun: true, RanAt: goldenAt.Add(time.Second), RanZone: 5},
		Notice: NewNotice("message-1", true, 1500*time.Millisecond)}
}

// goldenRecordKinds returns one record of each kind.
func goldenRecordKinds() [][]byte {
	return [][]byte{
		acceptedRecord(goldenMessage()),
		acceptedRecord(&Message{Seq: 301, ID: "bare"}),
		attemptRecord(300, "endpoint-1", 6, goldenAt),
		outcomeRecord(300, policy.TimedOut, "endpoint-1", goldenAt.Add(2*time.Second)),
		appendNotice(record(recEnded, 301), NewNotice("bare", false, 0)),
		closedRecord(301, "endpoint-2", goldenAt.Add(3*time.Second)),
		orderRecord("endpoint-3", true, goldenAt.Add(4*time.Second)),
		orderRecord("endpoint-4", false, goldenAt.Add(5*time.Second)),
		endedIDsRecord([]string{"over-1", "over-2"}),
		record(recNextNumber, 900),
		record(recCheckpointEnd, 0),
	}
}

// goldenSegment returns a segment with one record of each kind but recCheckpointEnd, which only a checkpoint has.
func goldenSegment(f frame.Format) []byte {
	var b []byte
	if f.Keyed {
		b = f.Header()
	}
	kinds := goldenRecordKinds()
	for _, payload := range kinds[:len(kinds)-1] {
		b = f.AppendRecord(b, payload, int64(len(b)))
	}
	return b
}

// The encoding of each kind of record is the same as in an earlier version.
func TestGoldenRecords(t *testing.T) {
	var text bytes.Buffer
	for _, payload := range goldenRecordKinds() {
		fmt.Fprintf(&text, "%x\n", payload)
	}
	golden.Compare(t, "records", text.Bytes())
	golden.JSON[Notice](t, "notice.json")
	golden.JSON[Status](t, "status.json")
}

// Segments of all forms that an earlier version wrote are readable, and their encoding is unchanged.
func TestGoldenSegments(t *testing.T) {
	for name, f := range map[string]frame.Format{
		"plain":      {},
		"keyed":      {Keyed: true, Number: 1, Salt: 0x0102030405060708},
		"checkpoint": {Keyed: true, Checkpoint: true, Number: 1, Salt: 0x1112131415161718},
	} {
		t.Run(name, func(t *testing.T) {
			text := goldenSegment(f)
			if f.Checkpoint {
				text = f.AppendRecord(text, record(recCheckpointEnd, 0), int64(len(text)))
			}
			golden.Compare(t, filepath.Join(name, segmentPath(1)), text)
			read, _, err := frame.DetectFormat(golden.Read(t, filepath.Join(name, segmentPath(1))), 1)
			if err != nil || read.Keyed != f.Keyed || read.Checkpoint != f.Checkpoint || read.Salt != f.Salt {
				t.Errorf("read the format %+v, %v, want %+v", read, err, f)
			}
			j, err := Replay(Options{Folder: vfs.Dir(filepath.Join(golden.Dir, name)), Limit: MinDisk, Sync: f.Keyed})
			if err != nil {
				t.Fatal(err)
			}
			checkGoldenState(t, j)
		})
	}
}

// checkGoldenState compares the state after a replay of a golden segment with the state that was written.
func checkGoldenState(t *testing.T, j *Journal) {
	t.Helper()
	if problems := j.Problems(); len(problems) != 0 {
		t.Errorf("problems %v", problems)
	}
	want := goldenMessage()
	want.holder = j
	want.Past.attempt("endpoint-1", 6, goldenAt)
	want.Past.outcome(false)
	if got := j.Owed(); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("read %d messages, the first %+v, want %+v", len(got), got[0], want)
	}
	if got, want := j.EndedIDs(), []string{"bare", "over-1", "over-2"}; !reflect.DeepEqual(got, want) {
		t.Errorf("ended ids %v, want %v", got, want)
	}
	if !j.TakenOut("endpoint-3") || j.TakenOut("endpoint-4") || j.next != 901 {
		t.Errorf("orders %v, next number %d", j.orders, j.next)
	}
	memories := map[string]*Memory{
		"endpoint-1": {Sent: []time.Time{goldenAt}, Runs: []Run{{FailedAt: goldenAt.Add(2 * time.Second), Outcomes: []policy.Outcome{policy.TimedOut}}}},
	}
	if got := j.Memories["endpoint-1"]; !reflect.DeepEqual(got, memories["endpoint-1"]) {
		t.Errorf("memory %+v, want %+v", got, memories["endpoint-1"])
	}
}
