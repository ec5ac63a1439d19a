package main

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/batch"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs/vfstest"
)

// conditionListener is a fake keeper that receives the reported conditions.
type conditionListener chan string

func (l conditionListener) Message(m *link.Message) {
	condition, err := controlclient.ReadCondition(m.Body)
	if m.Kind != controlclient.KindCondition || err != nil {
		m.Fail("kind %d, %v", m.Kind, err)
		return
	}
	l <- condition.Node.Name + ": " + condition.Reason
	m.Reply(nil)
}

func (l conditionListener) Closed(*link.Conn) {}

func (l conditionListener) await(t *testing.T, want string) {
	t.Helper()
	timeout := time.After(time.Minute)
	for last := ""; ; {
		select {
		case last = <-l:
			if last == want {
				return
			}
		case <-timeout:
			t.Fatalf("the last report to keepers is %q, want %q", last, want)
		}
	}
}

// TestFullDiskIsReportedToKeepers checks that a process that is out of service because its disk is full reports this to
// keepers, skipping one that does not answer, and reports when the condition has cleared.
func TestFullDiskIsReportedToKeepers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	none, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	none.Close() // so that nothing listens there
	reports := make(conditionListener, 1000)
	go func() { _ = link.Serve(listener, reports, link.DefaultOptions) }()
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{log: hclog.NewNullLogger(), ctx: ctx}
	disk := vfstest.New()
	disk.Capacity = diskProbeBytes / 2
	ended, reported := make(chan error, 1), make(chan struct{})
	go func() {
		p.reportConditions(controlclient.Node{Name: "s1", Role: controlclient.RoleStore}, func() []string {
			return []string{none.Addr().String(), listener.Addr().String()}
		})
		close(reported)
	}()
	var makeRoom atomic.Bool
	folder := countedFolder{disk, func() { // on the goroutine that writes to the disk
		if makeRoom.Load() {
			disk.Capacity = 0
		}
	}}
	calls, other := 0, errors.New("other")
	go func() {
		ended <- p.runWithDiskSpace(folder, func() error {
			if calls++; calls == 1 {
				return batch.ErrDiskFull.New("full")
			}
			return other
		})
	}()
	reports.await(t, "s1: "+diskFullReason)
	makeRoom.Store(true)
	reports.await(t, "s1: ")
	if err := <-ended; err != other { //nolint:errorlint // this very error, not one that wraps it
		t.Error(err)
	}
	cancel()
	<-reported
}
