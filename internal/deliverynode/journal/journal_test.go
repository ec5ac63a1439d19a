package journal

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func mustOpen(t *testing.T, dir string, limit int64) (*Journal, []*Message) {
	t.Helper()
	j, owed, err := Open(Options{Folder: vfs.Dir(dir), Limit: limit, Log: quietLog()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, owed
}

func newMessage(id string, size int) *Message {
	return &Message{ID: id, Key: "k-" + id, Dest: 7, Deadline: time.Now().Add(20 * time.Second), Body: make([]byte, size)}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// dirSize returns the disk usage of a folder as the platform counts it.
func dirSize(t *testing.T, dir string) int64 {
	t.Helper()
	files, err := os.ReadDir(dir)
	must(t, err)
	sum := int64(0)
	for _, f := range files {
		info, err := f.Info()
		must(t, err)
		sum += diskUsage(info.Size())
	}
	return sum
}

// A restart restores the accepted messages, the history of their attempts, and the notices that are not delivered yet.
func TestJournalRestoresLiveMessages(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, MinDisk)
	at := time.Now().Add(-3 * time.Second).Truncate(time.Microsecond)
	fresh, tried, out, turned, over, done := newMessage("fresh", 10), newMessage("tried", 0), newMessage("out", 3),
		newMessage("turned", 3), newMessage("over", 5), newMessage("done", 5)
	fresh.Body = []byte("0123456\r\n9")
	for _, m := range []*Message{fresh, tried, out, turned, over, done} {
		must(t, j.Accept(m))
	}
	must(t, j.Attempt(tried, "e1", 1, at))
	must(t, j.Outcome(tried, policy.TimedOut, "e1", at))
	must(t, j.Attempt(tried, "e1", 1, at.Add(time.Second)))
	must(t, j.Outcome(tried, policy.Full, "e1", at.Add(time.Second)))
	must(t, j.Attempt(out, "e2", 1, at))
	must(t, j.Attempt(turned, "e2", 1, at))
	must(t, j.Outcome(turned, policy.Full, "e2", at))
	must(t, j.Ended(over, NewNotice("over", true, 500*time.Millisecond)))
	must(t, j.Attempt(done, "e3", 0, at))
	must(t, j.Closed(done, "e3", at))
	must(t, j.Close())

	reopened, owed := mustOpen(t, dir, MinDisk)
	got := map[string]*Message{}
	for _, m := range owed {
		got[m.ID] = m
	}
	if len(got) != 5 || got["done"] != nil {
		t.Fatalf("live messages %v, want all but done", got)
	}
	m := got["fresh"]
	if string(m.Body) != string(fresh.Body) || m.Key != "k-fresh" || m.Dest != 7 || m.Past != (Past{}) ||
		m.Deadline.UnixMicro() != fresh.Deadline.UnixMicro() {
		t.Errorf("fresh was restored as %+v", m)
	}
	if p := got["tried"].Past; p.Attempts != 2 || !p.MayRun || !p.Settled || p.RanZone != 1 || !p.RanAt.Equal(at) {
		t.Errorf("tried was restored with %+v", p)
	}
	if p := got["out"].Past; p.Attempts != 1 || !p.MayRun || !p.Settled || p.Out {
		t.Errorf("out was restored with %+v: an attempt without an outcome may have run", p)
	}
	if p := got["turned"].Past; p.Attempts != 1 || p.MayRun {
		t.Errorf("turned was restored with %+v: it never ran", p)
	}
	if n := got["over"].Notice; n == nil || !n.HandedBack() || n.RetryInMs != 500 {
		t.Errorf("over was restored with notice %+v", n)
	}
	if e := reopened.Memories["e1"]; e == nil || len(e.Sent) != 2 || len(e.Runs) != 1 || !e.Runs[0].FailedAt.Equal(at) || !e.Runs[0].BackAt.IsZero() {
		t.Errorf("memory of e1: %+v", e)
	}
	next := newMessage("next", 1)
	must(t, reopened.Accept(next))
	if next.Seq <= done.Seq {
		t.Errorf("number %d was assigned before", next.Seq)
	}
}

// A killed process may leave a partial record, and a disk may corrupt one.
func TestJournalSurvivesATornTail(t *testing.T) {
	for name, corrupt := range map[string]func([]byte) []byte{
		"torn":    func(b []byte) []byte { return b[:len(b)-5] },
		"head":    func(b []byte) []byte { return append(b, 9, 9, 9) },
		"length":  func(b []byte) []byte { return append(b, 255, 255, 255, 255, 0, 0, 0, 0) },
		"changed": func(b []byte) []byte { b[len(b)-3] ^= 1; return b },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			j, _ := mustOpen(t, dir, MinDisk)
			must(t, j.Accept(newMessage("a", 100)))
			must(t, j.Accept(newMessage("b", 100)))
			must(t, j.Close())
			path := filepath.Join(dir, segmentPath(1))
			data, err := os.ReadFile(path)
			must(t, err)
			must(t, os.WriteFile(path, corrupt(data), 0o600))
			j, owed := mustOpen(t, dir, MinDisk)
			if len(owed) == 0 || owed[0].ID != "a" {
				t.Fatalf("live messages %v, want at least a", owed)
			}
			must(t, j.Accept(newMessage("c", 100)))
			must(t, j.Close())
			_, owed = mustOpen(t, dir, MinDisk)
			if last := owed[len(owed)-1]; last.ID != "c" {
				t.Errorf("the record written after the torn tail is lost: last is %q", last.ID)
			}
		})
	}
}

// The folder stays within its limit at all times, messages are refused before it overflows, and compaction loses no live
// message.
func TestJournalKeepsItsLimit(t *testing.T) {
	dir := t.TempDir()
	const limit = 1 << 20
	j, _ := mustOpen(t, dir, limit)
	var open []*Message
	refused := 0
	for i := range 600 {
		m := newMessage(fmt.Sprint("m", i), MaxBody-i%3*30000)
		switch err := j.Accept(m); {
		case errors.Is(err, ErrFull):
			refused++
			if len(open) == 0 {
				t.Fatal("refused with no live message")
			}
			for range 3 { // the newest end, so that compaction has to copy old ones
				last := open[len(open)-1]
				open = open[:len(open)-1]
				must(t, j.Ended(last, NewNotice(last.ID, false, 0)))
				must(t, j.Closed(last, "", time.Now()))
			}
		case err != nil:
			t.Fatal(err)
		default:
			open = append(open, m)
			for range 6 {
				must(t, j.Attempt(m, "endpoint", 1, time.Now()))
				must(t, j.Outcome(m, policy.Full, "endpoint", time.Now()))
			}
		}
		if size := dirSize(t, dir); size > limit {
			t.Fatalf("%d bytes in the folder after message %d, over %d", size, i, limit)
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused")
	}
	must(t, j.Close())
	_, owed := mustOpen(t, dir, limit)
	if size := dirSize(t, dir); size > limit {
		t.Errorf("%d bytes in the folder after the next start", size)
	}
	if len(owed) != len(open) {
		t.Fatalf("%d messages were restored, want %d", len(owed), len(open))
	}
	for i, m := range owed {
		if m.ID != open[i].ID || len(m.Body) != len(open[i].Body) || m.Past.Attempts != 6 {
			t.Errorf("message %d was restored as %s with %d bytes and %d attempts", i, m.ID, len(m.Body), m.Past.Attempts)
		}
	}
}

// A failed write refuses the message; later writes succeed once the disk accepts them again.
func TestJournalRefusesOnAFailedWrite(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, MinDisk)
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip("/dev/full does not exist")
	}
	good := j.file
	j.file = full
	if err := j.Accept(newMessage("a", 10)); err == nil || errors.Is(err, ErrFull) {
		t.Fatalf("Accept on a full disk: %v", err)
	}
	j.file = good
	must(t, full.Close())
	must(t, j.Accept(newMessage("b", 10)))
	must(t, j.Close())
	must(t, os.WriteFile(filepath.Join(dir, "stranger"), []byte("x"), 0o600))
	_, owed := mustOpen(t, dir, MinDisk)
	if len(owed) != 1 || owed[0].ID != "b" {
		t.Errorf("live messages %v, want b", owed)
	}
}

// A journal that refuses new messages still has space for all records of the live messages until they are closed.
func TestFullJournalCompletesItsMessages(t *testing.T) {
	for _, size := range []int{0, 900, MaxBody} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			dir := t.TempDir()
			j, _ := mustOpen(t, dir, MinDisk)
			var open []*Message
			for {
				m := newMessage(fmt.Sprint("m", len(open)), size)
				err := j.Accept(m)
				if errors.Is(err, ErrFull) {
					break
				}
				must(t, err)
				open = append(open, m)
			}
			for range 6 {
				for _, m := range open {
					must(t, j.Attempt(m, "an-endpoint-with-a-long-name", 1, time.Now()))
					must(t, j.Outcome(m, policy.TimedOut, "an-endpoint-with-a-long-name", time.Now()))
				}
			}
			for _, m := range open {
				must(t, j.Ended(m, NewNotice(m.ID, false, 0)))
			}
			if n := dirSize(t, dir); n > MinDisk {
				t.Errorf("%d bytes in the folder, over %d", n, MinDisk)
			}
			for _, m := range open {
				must(t, j.Closed(m, "", time.Now()))
			}
			must(t, j.Accept(newMessage("next", size)))
		})
	}
}

// Operators' orders survive the compaction of their segment until they are revoked, and an endpoint that returns counts as
// just restarted.
func TestJournalKeepsOrders(t *testing.T) {
	dir := t.TempDir()
	const limit = 1 << 20
	j, _ := mustOpen(t, dir, limit)
	for _, name := range []string{"out", "back"} {
		must(t, j.Order(name, true, time.Now()))
		must(t, j.Order(name, true, time.Now()))
	}
	first := j.segments[0].number
	for i := 0; j.segments[0].number < first+30; i++ {
		m := newMessage(fmt.Sprint("m", i), 20000)
		must(t, j.Accept(m))
		must(t, j.Closed(m, "", time.Now()))
	}
	must(t, j.Order("back", false, time.Now()))
	must(t, j.Close())
	reopened, _ := mustOpen(t, dir, limit)
	if !reopened.TakenOut("out") || reopened.TakenOut("back") || reopened.TakenOut("other") {
		t.Errorf("orders %v, want only that for out", reopened.orders)
	}
	if m := reopened.Memories["back"]; m == nil || len(m.Runs) != 1 || m.Runs[0].BackAt.IsZero() {
		t.Errorf("memory of back: %+v, want one run that has ended", m)
	}
	if reopened.liveSize != orderReservedSize("out") {
		t.Errorf("%d bytes reserved, want those of one order", reopened.liveSize)
	}
}

// After Release this process writes nothing until Reclaim.
func TestReleasedJournalIsNotWritten(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, MinDisk)
	held, out := newMessage("held", 10), newMessage("out", 10)
	must(t, j.Accept(held))
	must(t, j.Accept(out))
	at := time.Now()
	must(t, j.Attempt(out, "e1", 1, at))
	size := dirSize(t, dir)
	if given := j.Release(); len(given) != 1 || given[0] != (AttemptOut{Message: out.Seq, Endpoint: "e1", At: at}) {
		t.Errorf("released with the attempts %+v, want the one in flight", given)
	}
	for name, err := range map[string]error{
		"accept": j.Accept(newMessage("new", 1)), "attempt": j.Attempt(held, "e1", 1, at), "closed": j.Closed(held, "", at),
		"outcome": j.Outcome(out, policy.Full, "e1", at), "ended": j.Ended(held, NewNotice("held", true, 0)),
		"order": j.Order("e1", true, at),
	} {
		if !errors.Is(err, ErrReleased) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if dirSize(t, dir) != size || held.Notice != nil || !out.Past.Out || !out.Past.MayRun {
		t.Error("something changed although the journal was released")
	}
	j.Reclaim()
	must(t, j.Outcome(out, policy.Full, "e1", at))
	if out.Past.Out || out.Past.MayRun {
		t.Errorf("after Reclaim: %+v", out.Past)
	}
}
