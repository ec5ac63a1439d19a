package live

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

const (
	// maxLogBytes is how much of a node's log is kept; the rest is only counted.
	maxLogBytes  = 16 << 20
	pollInterval = 20 * time.Millisecond
	// sampleInterval is the interval at which a process's memory, descriptors and disk usage are sampled.
	sampleInterval = 250 * time.Millisecond
	quitTimeout    = 4500 * time.Millisecond
)

// node is one delivery node with its resources.
type node struct {
	run           *run
	me            int
	dir           string
	listen        string
	console       string
	endpoints     []*endpoint
	agent         *agent
	attempts      map[string]int // number of calls per message so far
	log           *cappedLog
	procs         []*process // one, or the members of a group
	faultsApplied int        // number of faults applied to members so far
	mu            sync.Mutex // guards use, which the samplers write
	use           Use
}

// process is one process of a node. The following fields belong to the event loop; quit reads cmd and exited after the loop has
// ended.
type process struct {
	node       *node
	me         int
	cmd        *exec.Cmd
	exited     chan struct{} // of cmd
	up         bool
	planned    bool // it was told to stop, or killed
	lost       bool // the data directory is lost with it
	generation int
}

// up reports whether any process accepts clients.
func (n *node) up() bool {
	return slices.ContainsFunc(n.procs, func(p *process) bool { return p.up })
}

// ready reports whether all processes accept clients.
func (n *node) ready() bool {
	return !slices.ContainsFunc(n.procs, func(p *process) bool { return !p.up })
}

func (n *node) grouped() bool { return len(n.procs) > 1 }

func (n *node) open(runCtx context.Context) error {
	n.attempts = map[string]int{}
	for i := range max(1, n.run.options.Day.Scenario.Nodes.Members) {
		n.procs = append(n.procs, &process{node: n, me: i})
	}
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	if err := n.freshState(); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(n.dir, "log"))
	if err != nil {
		return err
	}
	n.log = &cappedLog{file: f, left: maxLogBytes}
	host := fmt.Sprintf("127.0.%d.%d", 64+n.me/250, 1+n.me%250)
	for ep := range n.run.options.Day.Endpoints {
		d := &endpoint{run: n.run, node: n.me, ep: ep}
		n.endpoints = append(n.endpoints, d)
		if err := d.open(runCtx, host); err != nil {
			return err
		}
	}
	if n.agent, err = newAgent(n.run, n.me, host); err != nil {
		return err
	}
	if n.listen, err = freePort(host); err != nil {
		return err
	}
	if n.console, err = freePort(host); err != nil {
		return err
	}
	return n.configure()
}

func (n *node) state() string { return filepath.Join(n.dir, "state") }

func (n *node) freshState() error {
	if err := os.RemoveAll(n.state()); err != nil {
		return err
	}
	return os.MkdirAll(n.state(), 0o755)
}

// configure writes the node's configuration file atomically.
func (n *node) configure() error {
	s := n.run.options.Day.Scenario.Nodes
	text, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", n.me), "listen": n.listen, "console": n.console, "discovery": n.agent.addr(),
		"seed":     fmt.Sprintf("%016x", world.Random(n.run.options.Day.Seed, "node", uint64(n.me), uint64(n.starts())).Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets, "disk_mb": s.DiskMB},
		"known":    n.agent.known(),
		"settings": n.run.options.Day.Settings(n.me),
	}, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (n *node) starts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.use.Starts
}

// start starts a process. It runs in the event loop, or before it.
func (p *process) start() error {
	n := p.node
	p.generation++
	if err := n.configure(); err != nil {
		return err
	}
	flags := n.run.options.Flags
	if n.grouped() {
		flags = append(slices.Clone(flags), fmt.Sprintf("-group=%d", len(n.procs)))
	}
	if n.run.fleet != nil {
		flags = append(slices.Clone(flags), "-fleet="+n.run.fleet.file)
	}
	cmd := exec.Command(n.run.options.Node, flags...)
	tmp := filepath.Join(n.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	cmd.Env = []string{"PROXY_NAME=" + fmt.Sprintf("n%d", n.me), "PROXY_LISTEN=" + n.listen, "PROXY_CONSOLE=" + n.console,
		"PROXY_DISCOVERY=" + n.agent.addr(), "PROXY_STATE=" + n.state(), "PROXY_CONFIG=" + filepath.Join(n.dir, "config.json"), "TMPDIR=" + tmp}
	for _, keep := range []string{"DELIVERYNODE_DEBUG", "WINGMOUNT_DEBUG", "GOCOVERDIR"} {
		if v := os.Getenv(keep); v != "" {
			cmd.Env = append(cmd.Env, keep+"="+v)
		}
	}
	began, generation := time.Now(), p.generation
	out := &readyLog{to: n.log, ready: func() { n.run.post(func() { p.handleReady(generation, time.Since(began)) }) }}
	cmd.Stdout, cmd.Stderr = out, out
	if f := n.run.fleet; f != nil {
		all := &fleetLog{to: out, read: func(line []byte) { f.parseMemberLine(n.me, line) }}
		cmd.Stdout, cmd.Stderr = all, all
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process is killed when the lab ends, however that happens
	p.planned = false
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", n.run.options.Node, err)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	n.mu.Lock()
	n.use.Starts++
	n.mu.Unlock()
	if p.generation > 1 && !n.grouped() {
		n.run.note(trace.Record{At: n.run.now(), What: trace.Start, Node: n.me})
	}
	exited := p.exited
	n.run.wg.Go(func() {
		err := cmd.Wait()
		n.mu.Lock()
		if s := cmd.ProcessState; s != nil {
			n.use.CPU += s.UserTime() + s.SystemTime()
		}
		n.mu.Unlock()
		close(exited)
		n.run.post(func() { p.handleExit(generation, err) })
	})
	n.run.wg.Go(func() { n.sample(cmd.Process.Pid, exited) })
	if !n.grouped() { // in a group, any member may answer
		n.run.wg.Go(func() { p.awaitReady(began, exited, generation) })
	}
	return nil
}

// awaitReady polls until the node accepts clients.
func (p *process) awaitReady(began time.Time, exited <-chan struct{}, generation int) {
	n := p.node
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if resp, err := client.Get("http://" + n.listen + "/healthz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-exited:
			return
		case <-n.run.ended:
			return
		case <-time.After(pollInterval):
		}
	}
	took := time.Since(began)
	n.run.post(func() { p.handleReady(generation, took) })
}

func (p *process) handleReady(generation int, took time.Duration) {
	n := p.node
	if p.generation != generation || p.planned || p.up {
		return
	}
	n.mu.Lock()
	n.use.SlowestStart = max(n.use.SlowestStart, took)
	n.mu.Unlock()
	first := !n.up()
	p.up = true
	if first || !n.grouped() {
		n.run.note(trace.Record{At: n.run.now(), What: trace.Ready, Node: n.me})
	}
}

// handleExit is called when a process has exited.
func (p *process) handleExit(generation int, err error) {
	n := p.node
	if p.generation != generation {
		return
	}
	p.up = false
	if p.planned {
		return
	}
	n.mu.Lock()
	n.use.UnplannedExits++
	starts, exits := n.use.Starts, n.use.UnplannedExits
	n.mu.Unlock()
	why := "it exited"
	if err != nil {
		why = err.Error()
	}
	n.run.note(trace.Record{At: n.run.now(), What: trace.Stop, Node: n.me, Result: "crash"})
	n.run.note(trace.Record{At: n.run.now(), What: trace.ProtocolError, Node: n.me, Result: "the node's process ended: " + why})
	if exits > 3 || starts <= len(n.procs) && !n.run.playing {
		n.run.fatal = fmt.Errorf("node %d ended by itself: %s; see its log %s", n.me, why, filepath.Join(n.dir, "log"))
		return
	}
	p.restartAfter(startAfter)
}

// applyFault applies a fault, to the next process in turn if there are several.
func (n *node) applyFault(now time.Duration, t world.Fault) {
	p := n.procs[n.faultsApplied%len(n.procs)]
	n.faultsApplied++
	if !p.up && t.What != "hangup" {
		return
	}
	switch t.What {
	case "kill":
		p.down("SIGKILL", t.Lost)
		p.signal(syscall.SIGKILL)
		p.restartAfter(startAfter)
	case "term":
		p.down("SIGTERM", t.Lost)
		p.signal(syscall.SIGTERM)
		generation := p.generation
		n.run.after(killAfter, func() {
			if p.generation == generation {
				p.signal(syscall.SIGKILL)
				p.restartAfter(startAfter)
			}
		})
	case "stop":
		p.signal(syscall.SIGSTOP)
		if n.grouped() {
			n.run.note(trace.Record{At: now, What: trace.Stop, Node: n.me, Result: "member"})
		}
		generation := p.generation
		n.run.after(t.Until-now, func() {
			if p.generation == generation {
				p.signal(syscall.SIGCONT)
			}
		})
	case "hangup":
		if err := n.agent.move(); err != nil {
			n.run.fatal = err
			return
		}
		if err := n.configure(); err != nil {
			n.run.fatal = err
			return
		}
		for _, p := range n.procs {
			if p.up {
				p.signal(syscall.SIGHUP)
			}
		}
	}
}

func (p *process) down(signal string, lost bool) {
	n := p.node
	p.planned, p.up, p.lost = true, false, lost && !n.grouped()
	switch {
	case n.up(): // another member continues
		signal = "member"
	case p.lost:
		signal = "lost"
		n.run.clients.resubmitOrphans(n.me)
	}
	n.run.note(trace.Record{At: n.run.now(), What: trace.Stop, Node: n.me, Result: signal})
}

// restartAfter starts the next process once this one has exited.
func (p *process) restartAfter(after time.Duration) {
	n := p.node
	p.planned = true
	n.run.after(after, func() {
		select {
		case <-p.exited:
		default: // it has not exited yet
			p.restartAfter(pollInterval)
			return
		}
		if p.lost {
			p.lost = false
			if err := n.freshState(); err != nil {
				n.run.fatal = err
				return
			}
		}
		if err := p.start(); err != nil {
			n.run.fatal = err
		}
	})
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.node.run.fatal = fmt.Errorf("node %d: %v: %w", p.node.me, s, err)
	}
}

// saveView stores what the members of a group report at the end of the day, in the node's directory: several answers, as each
// request reaches an arbitrary member.
func (n *node) saveView() {
	if !n.grouped() || !n.up() {
		return
	}
	f, err := os.Create(filepath.Join(n.dir, "group.json"))
	if err != nil {
		return // only diagnostics: the run is valid without it
	}
	defer func() { _ = f.Close() }() // only diagnostics: the run is valid without it
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 4 * len(n.procs) {
		if resp, err := client.Get("http://" + n.console + "/ops/group"); err == nil {
			_, _ = io.Copy(f, io.LimitReader(resp.Body, 64<<10))
			_ = resp.Body.Close()
		}
	}
}

// quit stops the processes, and kills them after quitTimeout.
func (n *node) quit() {
	for _, p := range n.procs {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have exited
		exited, process := p.exited, p.cmd.Process
		n.run.wg.Go(func() {
			select {
			case <-exited:
			case <-time.After(quitTimeout):
				_ = process.Kill()
			}
		})
	}
}

// close waits for the processes and releases all other resources.
func (n *node) close() {
	for _, p := range n.procs {
		if p.exited != nil {
			<-p.exited
		}
	}
	for _, d := range n.endpoints {
		d.close()
	}
	if n.agent != nil {
		n.agent.close()
	}
	if n.log != nil {
		n.use.LogBytesLost = n.log.close()
	}
}

// sample samples the resource usage of a process until it exits.
func (n *node) sample(pid int, exited <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	proc := filepath.Join("/proc", strconv.Itoa(pid))
	for {
		rss := peakMemory(proc)
		files, _ := os.ReadDir(filepath.Join(proc, "fd")) // the process may have exited
		disk := size(n.state())
		n.mu.Lock()
		n.use.RSS, n.use.Files, n.use.Disk = max(n.use.RSS, rss), max(n.use.Files, len(files)), max(n.use.Disk, disk)
		n.mu.Unlock()
		select {
		case <-exited:
			return
		case <-tick.C:
		}
	}
}

// peakMemory returns the peak resident memory of a process in bytes, or 0 if it is unknown.
func peakMemory(proc string) int64 {
	text, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			v, _ := strconv.ParseInt(strings.Fields(kb)[0], 10, 64)
			return v << 10
		}
	}
	return 0
}

// size returns the size of a directory, with each file rounded up to 512 bytes.
func size(dir string) (sum int64) {
	_ = filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil {
			return nil // removed meanwhile
		}
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			sum += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return sum
}

// readyLog passes a process's log on and watches for the line that reports readiness.
type readyLog struct {
	to    *cappedLog
	ready func()
	found bool
	line  []byte
}

// Write writes to the node's log, and calls ready once the log reports that the node is ready.
func (l *readyLog) Write(p []byte) (int, error) {
	if !l.found {
		l.line = append(l.line, p...)
		if bytes.Contains(l.line, []byte("msg=ready ")) {
			l.found, l.line = true, nil
			l.ready()
		} else if cut := bytes.LastIndexByte(l.line, '\n'); cut >= 0 {
			l.line = append(l.line[:0], l.line[cut+1:]...)
		}
		if len(l.line) > 1<<16 {
			l.line = l.line[:0]
		}
	}
	return l.to.Write(p)
}

// cappedLog keeps the beginning of a log.
type cappedLog struct {
	mu   sync.Mutex
	file *os.File
	left int
	lost int64
}

// Write writes until the file reaches its size limit, and discards the rest.
func (l *cappedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := p[:min(len(p), l.left)]
	l.left -= len(keep)
	l.lost += int64(len(p) - len(keep))
	if len(keep) > 0 {
		if _, err := l.file.Write(keep); err != nil {
			l.left = 0 // the disk is full: the node must keep running
		}
	}
	return len(p), nil
}

func (l *cappedLog) close() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.file.Close()
	return l.lost
}
