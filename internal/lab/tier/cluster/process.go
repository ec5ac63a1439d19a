package cluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	restartAfter = 500 * time.Millisecond
	maxEnds      = 3 // unexpected exits after which a process is not started again
	tailBytes    = 2000
	settingsName = "boot.conf"
	// exitMessage is in the last line that a process logs when it shuts down as planned.
	exitMessage = "process ends"
)

// Process is a process of one role on one machine.
type Process struct {
	Role    Role
	Machine string

	cluster *Cluster
	class   string
	serves  string
	zone    int
	ip      string
	disk    bool
	spare   bool // Cluster.Start does not start it
	dir     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // of cmd
	planned bool          // the lab has requested its end
	closed  bool
	started bool
	removed bool // permanently
	// seedRotation is the number of positions by which the order of the seeds in its settings is rotated.
	seedRotation int
	ended        []string // exits that were unexpected or failed
	overdue      []string // times that SIGTERM did not end the process within the grace period
	endTwin      func()   // ends the second process that StartTwin has started; nil: there is none
}

// String returns the role and the machine of the process.
func (p *Process) String() string { return fmt.Sprintf("%s on %s", p.Role, p.Machine) }

// at returns the address of the process with the given port offset.
func (p *Process) at(port int) string { return fmt.Sprintf("%s:%d", p.ip, p.cluster.port+port) }

func (p *Process) data() string { return filepath.Join(p.dir, "data") }

// Data returns the directory that is the disk of the process.
func (p *Process) Data() string { return p.data() }

// Start starts the process with its current settings. It does nothing if the process runs, was removed, or the cluster is
// closed. A second process of the machine, which could have taken the ports, is ended before.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.removed || p.exited != nil {
		return nil
	}
	if p.endTwin != nil {
		p.endTwin()
	}
	if err := os.MkdirAll(p.data(), 0o755); err != nil {
		return err
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	cmd, err := p.startProgram(context.Background())
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.planned, p.started = cmd, exited, false, true
	p.cluster.wg.Go(func() { p.wait(cmd, exited) })
	return nil
}

// environment returns the environment variables of the process.
func (p *Process) environment() []string {
	own := []string{
		"DUNETIDE_CONFIG=" + p.SettingsFile(),
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
	}
	return append(own, p.relayedEnvironment()...)
}

func (p *Process) log() string { return filepath.Join(p.dir, "log") }

// wait waits until a process exits, records an unexpected or failed exit, and restarts the process after an unexpected one.
func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.exited = nil
	close(exited)
	restart := !p.planned
	if p.planned && !endedAsRequested(cmd.ProcessState) {
		p.ended = append(p.ended, fmt.Sprintf("%v failed while shutting down: %v; end of %s:\n%s", p, err, p.log(), p.tail()))
	}
	if restart {
		p.ended = append(p.ended, fmt.Sprintf("%v exited unexpectedly (%v); end of %s:\n%s", p, err, p.log(), p.tail()))
		restart = len(p.ended) < maxEnds
	}
	p.mu.Unlock()
	if !restart {
		return
	}
	select {
	case <-time.After(restartAfter):
	case <-p.cluster.ctx.Done():
		return
	}
	if err := p.Start(); err != nil {
		p.mu.Lock()
		p.ended = append(p.ended, err.Error())
		p.mu.Unlock()
	}
}

// endedAsRequested reports whether a process exited with status 0, SIGKILL or SIGTERM.
func endedAsRequested(state *os.ProcessState) bool {
	if state.Success() {
		return true
	}
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && (status.Signal() == syscall.SIGKILL || status.Signal() == syscall.SIGTERM)
}

// tail returns the end of the log.
func (p *Process) tail() []byte {
	text, err := os.ReadFile(p.log())
	if err != nil {
		return []byte(err.Error())
	}
	return bytes.TrimSpace(text[max(0, len(text)-tailBytes):])
}

// ends describes the exits of the process that were unexpected or failed.
func (p *Process) ends() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.ended...)
}

// signal sends a signal to the process if it runs.
func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%v: %v: %w", p, s, err)
	}
	return nil
}

// PID returns the process ID, or 0 if the process does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Disk returns the number of bytes in the files of the process, including its log.
func (p *Process) Disk() (size int64, err error) {
	return size, filepath.WalkDir(p.dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		if err == nil {
			size += info.Size()
		}
		return err
	})
}

// Kill sends SIGKILL and waits until the process has exited. It stays down until Start.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL, 0) }

// Term sends SIGTERM, and SIGKILL after the grace period, and waits until the process has exited.
func (p *Process) Term() error { return p.end(syscall.SIGTERM, p.cluster.options.Grace) }

// Remove ends the process as Term does and removes its machine from the tier permanently.
func (p *Process) Remove() error {
	p.mu.Lock()
	p.removed = true
	p.mu.Unlock()
	return p.Term()
}

// absent reports whether the process is a spare that has not been started, or was removed.
func (p *Process) absent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spare && !p.started || p.removed
}

// end sends a signal and waits until the process has exited. If grace is not 0, it sends SIGKILL after that time.
func (p *Process) end(s syscall.Signal, grace time.Duration) error {
	p.mu.Lock()
	p.planned = true
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return nil
	}
	if err := p.signal(s); err != nil {
		return err
	}
	if grace > 0 {
		select {
		case <-exited:
		case <-time.After(grace):
			p.recordOverdue(grace)
			if err := p.signal(syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	<-exited
	return nil
}

// recordOverdue records that the process did not exit within the grace period. A process that has logged its exit is not
// overdue: on a busy machine, the lab may learn of the exit later.
func (p *Process) recordOverdue(grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.tail()
	if last := log[bytes.LastIndexByte(log, '\n')+1:]; !bytes.Contains(last, []byte(exitMessage)) {
		p.overdue = append(p.overdue, fmt.Sprintf("%v had not exited %v after SIGTERM; end of %s:\n%s", p, grace, p.log(), log))
	}
}

// Overdue describes each time that SIGTERM did not end the process within the grace period.
func (p *Process) Overdue() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.overdue...)
}

// HandlesHangup reports whether the process runs and catches or ignores SIGHUP, which would terminate it by default. A program
// cannot do so before its own code runs.
func (p *Process) HandlesHangup() bool {
	pid := p.PID()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if pid == 0 || err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		signals, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err == nil && signals>>(syscall.SIGHUP-1)&1 == 1 {
			return true
		}
	}
	return false
}

// Freeze stops the process with SIGSTOP until Resume.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Wipe empties the disk of the process, which must not be running.
func (p *Process) Wipe() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != nil {
		return fmt.Errorf("cannot wipe the disk of %v while it runs", p)
	}
	return os.RemoveAll(p.data())
}

// stop ends the process permanently.
func (p *Process) stop() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.signal(syscall.SIGCONT) // it may be frozen
	_ = p.Term()                  // it may have ended
}

// Hangup sends SIGHUP, which makes the process reload its settings.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// SettingsFile returns the path of the settings file.
func (p *Process) SettingsFile() string { return filepath.Join(p.dir, settingsName) }

// Log returns the log of the process so far.
func (p *Process) Log() (string, error) {
	text, err := os.ReadFile(p.log())
	return string(text), err
}

// Address returns the IP address of the process's machine.
func (p *Process) Address() string { return p.ip }

// HasDisk reports whether the process's machine has a disk.
func (p *Process) HasDisk() bool { return p.disk }

// Zone returns the zone of the process's machine.
func (p *Process) Zone() string { return p.cluster.zones[p.zone] }

// ReachedFront returns the address at which clients reach a proxy.
func (p *Process) ReachedFront() string { return p.reached(portFront) }

// ReachedControl returns the address at which operators and endpoints reach a keeper.
func (p *Process) ReachedControl() string { return p.reached(portControl) }

// SecondTerm sends another SIGTERM to a process that is shutting down.
func (p *Process) SecondTerm() error { return p.signal(syscall.SIGTERM) }

// Rewrite rewrites the settings file with the seeds rotated by the given number of positions.
func (p *Process) Rewrite(rotation int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seedRotation = rotation
	return p.writeSettings()
}

// writeSettings replaces the settings file in one step: a process that starts or reloads never reads a part of it.
func (p *Process) writeSettings() error {
	whole := p.SettingsFile() + ".new"
	if err := os.WriteFile(whole, []byte(p.settings()), 0o644); err != nil {
		return err
	}
	return os.Rename(whole, p.SettingsFile())
}

// StartTwin starts a second process of the same machine and role in addition to the running one and waits until it exits. The
// ports are in use, so it should exit; it is killed after limit, or when the first process is started again. It does nothing
// unless exactly one process runs.
func (p *Process) StartTwin(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	exited := make(chan struct{})
	twin, err := p.beginTwin(ctx, func() {
		cancel()
		<-exited
	})
	if twin == nil || err != nil {
		return err
	}
	_ = twin.Wait() // it is expected to fail
	close(exited)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endTwin = nil
	return nil
}

// beginTwin starts the second process, or returns nil if there is none to start. end kills it and waits until it has exited.
func (p *Process) beginTwin(ctx context.Context, end func()) (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil || p.endTwin != nil {
		return nil, nil
	}
	twin, err := p.startProgram(ctx)
	if err != nil {
		return nil, err
	}
	p.endTwin = end
	return twin, nil
}

// startProgram starts the program of the process with the settings in its file.
func (p *Process) startProgram(ctx context.Context) (*exec.Cmd, error) {
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.CommandContext(ctx, p.cluster.options.Program, string(p.Role))
	cmd.Env = p.environment()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process ends with the lab, even if the lab crashes
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %v: %w", p, err)
	}
	return cmd, nil
}
