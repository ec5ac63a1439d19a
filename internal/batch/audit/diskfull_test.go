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

// endedRun encodes a message with a run that has ended and the certificates that it refers to.
func endedRun(t *testing.T, number uint64) []byte {
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

// TestFullDiskIsRetried fills the disk at many different points, including during a rotation.
// Acknowledged entries remain, the chain is valid, and entries are accepted again as soon as there
// is space. The rejection is logged once.
func TestFullDiskIsRetried(t *testing.T) {
	const messages, fileBytes = 12, 1 << 10
	reference := vfstest.New()
	s, err := OpenStore(StoreOptions{Folder: reference, FileBytes: fileBytes})
	must(t, err)
	for n := range messages {
		must(t, s.appendNow(endedRun(t, uint64(n))))
	}
	s.Close()
	if s.file.number < 2 {
		t.Fatal("the file was never rotated")
	}
	for room := 1; room < reference.Used(); room += 23 {
		var log bytes.Buffer
		disk := vfstest.New()
		disk.Capacity = room
		s, err := OpenStore(StoreOptions{Folder: disk, FileBytes: fileBytes, Log: hclog.New(&hclog.LoggerOptions{Output: &log})})
		must(t, err)
		refused := 0
		for n := range messages {
			body := endedRun(t, uint64(n))
			if s.appendNow(body) == nil {
				continue
			}
			refused++
			if s.appendNow(body) == nil {
				t.Fatalf("room %d: accepted although the disk is still full", room)
			}
			disk.Capacity = 0
			if err := s.appendNow(body); err != nil {
				t.Fatalf("room %d: rejected although there is space: %v", room, err)
			}
		}
		s.Close()
		// The rotation may run out of space right after the last message.
		if said := strings.Count(log.String(), "audit store rejects entries"); refused > 1 || said > 1 || said < refused {
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

// TestStalledDiskDoesNotBlockClose closes a store during a write that does not return.
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
	s.Append(endedRun(t, 1), func(err error) { answer <- err })
	<-reached
	s.Close() // must return before the test's timeout
	select {
	case err := <-answer:
		t.Errorf("answered before the entry was written: %v", err)
	default:
	}
	close(release)
	must(t, <-answer)
}
