package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// maxDescriptors is limits.open_files of the process. idleClients is the number of connections that send nothing; it exceeds
	// that limit.
	maxDescriptors = 400
	idleClients    = 600
	// observationTime is how long the number of descriptors must stay within the bound.
	observationTime = time.Second
)

// TestIdleClientsLeaveDescriptors guards against clients that open connections, send nothing and exhaust the descriptors that a
// process needs for its own work: links to keepers, connections to endpoints, files.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	program := buildProgram(t)
	for _, role := range []string{"proxy", "keeper"} {
		t.Run(role, func(t *testing.T) {
			dir := t.TempDir()
			ip, port := freeAddress(t)
			file := filepath.Join(dir, "boot.conf")
			called := net.JoinHostPort(ip, strconv.Itoa(port+8))
			text := fmt.Sprintf("node_name=n\nip=%s\ninternal_ports=%d,%d\nlisten_on.front=%s\nlisten_on.ready=%s:%d\nlisten_on.control=%s\ndata_dir=%s\n"+
				"limits.open_files=%d\nseeds=%s:%d\nfirst_start=true\n", ip, port, port+7, called, ip, port+9, called, dir, maxDescriptors, ip, port+8)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(program, role)
			cmd.Env = []string{"DUNETIDE_CONFIG=" + file}
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
			eventually(t, "the process listens", func() bool { return listens(called) })
			for range idleClients {
				conn, err := net.DialTimeout("tcp4", called, time.Second)
				if err != nil {
					break // the listen backlog is full
				}
				defer conn.Close()
			}
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for until := time.Now().Add(observationTime); time.Now().Before(until); <-tick.C {
				if open := openDescriptors(t, cmd.Process.Pid); open > maxDescriptors*3/4 {
					t.Fatalf("%d descriptors are open, of %d, with %d idle clients", open, maxDescriptors, idleClients)
				}
			}
		})
	}
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	sockets := 0
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), ".") {
			sockets++
		}
	}
	return sockets
}
