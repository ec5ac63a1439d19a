package audit

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs/vfstest"
)

// handOver is a message with a run that has ended and the document that it names.
func handOver(t *testing.T, number uint64) []byte {
	t.Helper()
	w := link.Writer{}
	w.U32(1)
	w.U64(1)
	w.Bytes(text(t, 1, "e1"))
	k := runKey{"p", 1, number}
	w.U32(2)
	w.Bytes(runStartedEntry(k, run(fmt.Sprint("id", number), "e1", 1, 0)))
	w.Bytes(runEndedEntry(k, at.Add(time.Second), Answered))
	return w.Buf
}

func (s *Store) appendNow(body []byte) error {
	answer := make(chan error, 1)
	s.Append(body, func(err error) { answer <- err })
	return <-answer
}

// TestFullDiskIsRetried fills the disk at each of many places, also in the middle of a change of files. What was
// acknowledged is there, the chain holds, and records are taken again as soon as there is room, which is logged once.
func TestFullDiskIsRetried(t *testing.T) {
	const messages, fileBytes = 12, 1 << 10
	whole := vfstest.New()
	s, err := OpenStore(StoreOptions{Folder: whole, FileBytes: fileBytes})
	must(t, err)
	for n := range messages {
		must(t, s.appendNow(handOver(t, uint64(n))))
	}
	s.Close()
	if s.file.number < 2 {
		t.Fatal("the file was never changed")
	}
	for room := 1; room < whole.Used(); room += 23 {
		var log bytes.Buffer
		disk := vfstest.New()
		disk.Room = room
		s, err := OpenStore(StoreOptions{Folder: disk, FileBytes: fileBytes, Log: hclog.New(&hclog.LoggerOptions{Output: &log})})
		must(t, err)
		refused := 0
		for n := range messages {
			body := handOver(t, uint64(n))
			if s.appendNow(body) == nil {
				continue
			}
			refused++
			if s.appendNow(body) == nil {
				t.Fatalf("room %d: taken though nothing has changed", room)
			}
			disk.Room = 0
			if err := s.appendNow(body); err != nil {
				t.Fatalf("room %d: not taken though there is room: %v", room, err)
			}
		}
		s.Close()
		// The change of files may find no room right behind the last message.
		if said := strings.Count(log.String(), "takes nothing"); refused > 1 || said > 1 || said < refused {
			t.Fatalf("room %d: refused %d times\n%s", room, refused, log.String())
		}
		var files []auditFile
		infos, err := disk.List()
		must(t, err)
		for _, info := range infos {
			files = append(files, auditFile{info.Name, disk.File(info.Name)})
		}
		report := check(files, CheckOptions{})
		if len(report.Runs) != messages || len(report.Problems) > 0 {
			t.Fatalf("room %d: %d runs, %v", room, len(report.Runs), report.Problems)
		}
	}
}

// TestStalledDiskDoesNotBlockClose stops a store of records in the middle of a write.
func TestStalledDiskDoesNotBlockClose(t *testing.T) {
	disk, reached, release := vfstest.New(), make(chan struct{}), make(chan struct{})
	s, err := OpenStore(StoreOptions{Folder: disk})
	must(t, err)
	disk.Stall = func() {
		disk.Stall = nil
		close(reached)
		<-release
	}
	answer := make(chan error, 1)
	s.Append(handOver(t, 1), func(err error) { answer <- err })
	<-reached
	s.Close() // or the test takes too long
	select {
	case err := <-answer:
		t.Errorf("answered before it was written: %v", err)
	default:
	}
	close(release)
	must(t, <-answer)
}
