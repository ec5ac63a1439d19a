package live

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wingmount/internal/lab/trace"
	"wingmount/internal/lab/world"
)

const (
	// largestLog is how much of a node's log is kept; the rest is counted.
	largestLog = 16 << 20
	readyPause = 20 * time.Millisecond
	// sampleEvery is how often a process's memory, descriptors and disk are looked at.
	sampleEvery = 250 * time.Millisecond
	quitTime    = 4500 * time.Millisecond
)

// node is one delivery node with all that is set aside for it.
type node struct {
	run      *run
	me       int
	dir      string
	listen   string
	console  string
	doors    []*door
	agent    *agent
	attempts map[string]int // calls with a message so far
	log      *cappedLog

	// What follows belongs to the loop, but for what quit reads after it has ended.
	cmd     *exec.Cmd
	exited  chan struct{} // of cmd
	up      bool
	planned bool // it was told to end, or killed
	lost    bool // its folder goes with it
	life    int
	use     Use
	mu      sync.Mutex // over use, which the sampler writes
}

func (n *node) open(life context.Context) error {
	n.attempts = map[string]int{}
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
	n.log = &cappedLog{f: f, left: largestLog}
	host := fmt.Sprintf("127.0.%d.%d", 64+n.me/250, 1+n.me%250)
	for ep := range n.run.o.Day.Endpoints {
		d := &door{run: n.run, node: n.me, ep: ep}
		n.doors = append(n.doors, d)
		if err := d.open(life, host); err != nil {
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

// configure writes the node's configuration, whole or not at all.
func (n *node) configure() error {
	s := n.run.o.Day.Scenario.Nodes
	text, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", n.me), "listen": n.listen, "console": n.console, "discovery": n.agent.addr(),
		"seed":     fmt.Sprintf("%016x", world.Random(n.run.o.Day.Seed, "node", uint64(n.me), uint64(n.life)).Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets, "disk_mb": s.DiskMB},
		"known":    n.agent.known(),
		"settings": n.run.o.Day.Settings(n.me),
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

// start starts a process. It runs in the loop, or before it.
func (n *node) start() error {
	n.life++
	if err := n.configure(); err != nil {
		return err
	}
	cmd := exec.Command(n.run.o.Node, n.run.o.Flags...)
	tmp := filepath.Join(n.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	cmd.Env = []string{"PROXY_NAME=" + fmt.Sprintf("n%d", n.me), "PROXY_LISTEN=" + n.listen, "PROXY_CONSOLE=" + n.console,
		"PROXY_DISCOVERY=" + n.agent.addr(), "PROXY_STATE=" + n.state(), "PROXY_CONFIG=" + filepath.Join(n.dir, "config.json"), "TMPDIR=" + tmp}
	for _, keep := range []string{"WINGMOUNT_DEBUG", "GOCOVERDIR"} {
		if v := os.Getenv(keep); v != "" {
			cmd.Env = append(cmd.Env, keep+"="+v)
		}
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the lab, however that ends
	n.planned = false
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", n.run.o.Node, err)
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.mu.Lock()
	n.use.Starts++
	n.mu.Unlock()
	if n.life > 1 {
		n.run.note(trace.Record{At: n.run.now(), What: trace.Start, Node: n.me})
	}
	exited, life := n.exited, n.life
	n.run.wg.Go(func() {
		err := cmd.Wait()
		n.mu.Lock()
		if s := cmd.ProcessState; s != nil {
			n.use.CPU += s.UserTime() + s.SystemTime()
		}
		n.mu.Unlock()
		close(exited)
		n.run.post(func() { n.hasEnded(life, err) })
	})
	n.run.wg.Go(func() { n.sample(cmd.Process.Pid, exited) })
	began := time.Now()
	n.run.wg.Go(func() { n.await(began, exited, life) })
	return nil
}

// await asks until the node takes clients.
func (n *node) await(began time.Time, exited <-chan struct{}, life int) {
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
		case <-time.After(readyPause):
		}
	}
	took := time.Since(began)
	n.run.post(func() {
		if n.life != life || n.planned {
			return
		}
		n.mu.Lock()
		n.use.SlowestStart = max(n.use.SlowestStart, took)
		n.mu.Unlock()
		n.up = true
		n.run.note(trace.Record{At: n.run.now(), What: trace.Ready, Node: n.me})
	})
}

// hasEnded is told when a process has ended.
func (n *node) hasEnded(life int, err error) {
	if n.life != life {
		return
	}
	n.up = false
	if n.planned {
		return
	}
	n.mu.Lock()
	n.use.UnplannedExits++
	n.mu.Unlock()
	why := "it ended by itself"
	if err != nil {
		why = err.Error()
	}
	n.run.note(trace.Record{At: n.run.now(), What: trace.Stop, Node: n.me, Result: "crash"})
	n.run.note(trace.Record{At: n.run.now(), What: trace.Odd, Node: n.me, Result: "the node's process ended: " + why})
	if n.use.UnplannedExits > 3 || n.use.Starts == 1 && n.run.world.Open() == 0 && n.run.now() < time.Second {
		n.run.fatal = fmt.Errorf("node %d ended by itself (%s); its log is %s", n.me, why, filepath.Join(n.dir, "log"))
		return
	}
	n.again(startAfter)
}

// strike carries out a trouble.
func (n *node) strike(now time.Duration, t world.Trouble) {
	if !n.up || n.cmd == nil {
		return
	}
	switch t.What {
	case "kill":
		n.down("SIGKILL", t.Lost)
		n.signal(syscall.SIGKILL)
		n.again(startAfter)
	case "term":
		n.down("SIGTERM", t.Lost)
		n.signal(syscall.SIGTERM)
		life := n.life
		n.after(killAfter, func() {
			if n.life == life {
				n.signal(syscall.SIGKILL)
				n.again(startAfter)
			}
		})
	case "stop":
		n.signal(syscall.SIGSTOP)
		life := n.life
		n.after(t.Until-now, func() {
			if n.life == life {
				n.signal(syscall.SIGCONT)
			}
		})
	case "hangup":
		if err := n.agent.move(n.run.now()); err != nil {
			n.run.fatal = err
			return
		}
		if err := n.configure(); err != nil {
			n.run.fatal = err
			return
		}
		n.signal(syscall.SIGHUP)
	}
}

func (n *node) down(signal string, lost bool) {
	n.planned, n.up, n.lost = true, false, lost
	if lost {
		signal = "lost"
		n.run.clients.orphan(n.me)
	}
	n.run.note(trace.Record{At: n.run.now(), What: trace.Stop, Node: n.me, Result: signal})
}

// again starts the next process when this one has ended.
func (n *node) again(after time.Duration) {
	n.planned = true
	n.after(after, func() {
		select {
		case <-n.exited:
		default: // it takes long to die
			n.again(readyPause)
			return
		}
		if n.lost {
			n.lost = false
			if err := n.freshState(); err != nil {
				n.run.fatal = err
				return
			}
		}
		if err := n.start(); err != nil {
			n.run.fatal = err
		}
	})
}

func (n *node) after(d time.Duration, f func()) {
	n.run.wg.Go(func() {
		select {
		case <-time.After(d):
			n.run.post(f)
		case <-n.run.ended:
		}
	})
}

func (n *node) signal(s syscall.Signal) {
	if err := n.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.run.fatal = fmt.Errorf("node %d: %v: %w", n.me, s, err)
	}
}

// quit ends the process, at last by force.
func (n *node) quit() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	exited, process := n.exited, n.cmd.Process
	n.run.wg.Go(func() {
		select {
		case <-exited:
		case <-time.After(quitTime):
			_ = process.Kill()
		}
	})
}

// close waits for the process and lets go of the rest.
func (n *node) close() {
	if n.exited != nil {
		<-n.exited
	}
	for _, d := range n.doors {
		d.close()
	}
	if n.agent != nil {
		n.agent.close()
	}
	if n.log != nil {
		n.use.LogBytesLost = n.log.close()
	}
}

// sample looks at a process until it has ended.
func (n *node) sample(pid int, exited <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	proc := filepath.Join("/proc", strconv.Itoa(pid))
	for {
		rss := peakMemory(proc)
		files, _ := os.ReadDir(filepath.Join(proc, "fd")) // it may have ended
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

// peakMemory is the most that a process has had, or 0.
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

// size is what a folder counts for, each file in whole 512 bytes.
func size(dir string) (sum int64) {
	_ = filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil {
			return nil // it went meanwhile
		}
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			sum += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return sum
}

// cappedLog keeps the beginning of a log.
type cappedLog struct {
	mu   sync.Mutex
	f    *os.File
	left int
	lost int64
}

func (l *cappedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := p[:min(len(p), l.left)]
	l.left -= len(keep)
	l.lost += int64(len(p) - len(keep))
	if len(keep) > 0 {
		if _, err := l.f.Write(keep); err != nil {
			l.left = 0 // the disk is full: the node must not stop for that
		}
	}
	return len(p), nil
}

func (l *cappedLog) close() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.f.Close()
	return l.lost
}
