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
	// descriptorsMost is limits.open_files of the process, idleClients are connections that send nothing, more than it may hold.
	descriptorsMost = 400
	idleClients     = 600
	// settleFor is how long the number of descriptors has to stay within the bound.
	settleFor = time.Second
)

// Clients that open connections and send nothing must leave a process the descriptors that its own work takes: links to keepers,
// connections to endpoints, files.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	program := buildProgram(t)
	for _, role := range []string{"proxy", "keeper"} {
		t.Run(role, func(t *testing.T) {
			dir := t.TempDir()
			ip, port := freeMachine(t)
			file := filepath.Join(dir, "boot.conf")
			called := net.JoinHostPort(ip, strconv.Itoa(port+8))
			text := fmt.Sprintf("node_name=n\nip=%s\ninternal_ports=%d,%d\nlisten_on.front=%s\nlisten_on.ready=%s:%d\nlisten_on.control=%s\ndata_dir=%s\n"+
				"limits.open_files=%d\nseeds=%s:%d\nfirst_start=true\n", ip, port, port+7, called, ip, port+9, called, dir, descriptorsMost, ip, port+8)
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
			eventually(t, "it listens", func() bool { return listens(called) })
			for range idleClients {
				conn, err := net.DialTimeout("tcp4", called, time.Second)
				if err != nil {
					break // its queue of new connections is full
				}
				defer conn.Close()
			}
			pace := time.NewTicker(20 * time.Millisecond)
			defer pace.Stop()
			for until := time.Now().Add(settleFor); time.Now().Before(until); <-pace.C {
				if open := openDescriptors(t, cmd.Process.Pid); open > descriptorsMost*3/4 {
					t.Fatalf("%d descriptors are open, of %d, with %d idle clients", open, descriptorsMost, idleClients)
				}
			}
		})
	}
}

// openDescriptors counts those of a process.
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
