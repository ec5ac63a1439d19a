package lease_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/lease"
	"dunetide/internal/lab/faults"
	"dunetide/internal/platform/vfs"
)

const (
	processLease = 1500 * time.Millisecond
	actTime      = 60 * time.Millisecond
	nodeEnv      = "LEASE_TEST_NODE"
)

// TestMain runs a node of the tests below if the environment requests it.
func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		if err := actor(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// actor runs a process with the production code of fleet and leases. It requests the lease "task", and while it holds the
// lease it reports to the witness: one line for each step of its operations.
func actor() error {
	name := os.Getenv(nodeEnv)
	l, err := actorLeases(name)
	if err != nil {
		return err
	}
	witness, err := net.Dial("tcp", os.Getenv("WITNESS"))
	if err != nil {
		return err
	}
	tell := func(token uint64) error {
		_, err := fmt.Fprintf(witness, "%s %d %d\n", name, os.Getpid(), token)
		return err
	}
	for {
		task, err := l.Want("task", processLease)
		if err != nil {
			return err
		}
		for range 25 {
			if err := actOnce(task, tell); err != nil {
				return err
			}
		}
		task.Release(context.Background())
	}
}

// actorLeases joins the fleet that the environment names, and returns its leases.
func actorLeases(name string) (*lease.Leases, error) {
	var file fleet.File
	text, err := os.ReadFile(os.Getenv("FLEET_FILE"))
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		return nil, err
	}
	dir := os.Getenv("FOLDER")
	rate, err := strconv.ParseFloat(os.Getenv("RATE"), 64)
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	began := time.Now()
	clock := func() time.Duration { return time.Duration(rate * float64(time.Since(began))) }
	f, err := fleet.New(fleet.Options{File: file, Name: name, Folder: vfs.Dir(dir), Listen: fleet.Sockets, Clock: clock,
		Seed: uint64(os.Getpid()), Log: log})
	if err != nil {
		return nil, err
	}
	l := lease.New(lease.Options{Net: f, Folder: vfs.Dir(dir), Name: name, Voters: file.Leases.Voters, Longest: file.Leases.Longest(),
		Most: 100, Clock: clock, Above: func() uint64 { return uint64(time.Now().Unix()) << 20 }, Seed: uint64(os.Getpid()), Log: log})
	f.OnStaleFolder(l.Overtaken)
	f.RunWhileJoined(l.Run)
	if err := f.Prepare(); err != nil {
		return nil, err
	}
	go f.Run(context.Background(), func() bool { return false })
	return l, nil
}

// actOnce waits for the lease and performs one operation, if enough of the lease is left.
func actOnce(task *lease.Lease, tell func(token uint64) error) error {
	if _, err := task.Wait(context.Background()); err != nil {
		return err
	}
	act, err := task.Begin(context.Background(), actTime)
	if errors.Is(err, lease.ErrNotHeld) {
		time.Sleep(5 * time.Millisecond) // too little of the lease is left
		return nil
	}
	for range 4 { // the operation ends well before its time limit, unless this process is suspended
		if act.Context.Err() != nil {
			break
		}
		if err := tell(act.Token); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	act.End()
	return nil
}

// court is the witness: it receives each step of each operation, in the order of arrival.
type court struct {
	mu      sync.Mutex
	fence   *lease.Fence
	holder  map[uint64]string // of a token
	refused map[string]int    // by process
	last    string            // the node of the last operation, and when it was
	token   uint64
	at      time.Time
	tokens  int
	bad     []string
}

func (c *court) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for lines := bufio.NewScanner(conn); lines.Scan(); {
				var name string
				var pid int
				var token uint64
				if _, err := fmt.Sscan(lines.Text(), &name, &pid, &token); err == nil {
					c.hear(name, fmt.Sprint(name, " ", pid), token)
				}
			}
		}()
	}
}

func (c *court) hear(name, process string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if was := c.holder[token]; was != "" && was != process {
		c.bad = append(c.bad, fmt.Sprintf("token %d is held by %s and by %s", token, was, process))
	}
	c.holder[token] = process
	if err := c.fence.Pass("task", token); err != nil {
		c.refused[process]++
		return
	}
	if token != c.token {
		c.tokens++
	}
	c.last, c.token, c.at = name, token, time.Now()
}

// bench is the fleet of processes.
type bench struct {
	t     *testing.T
	net   *faults.Relays
	file  string
	dirs  []string
	procs []*exec.Cmd
	logs  []*os.File
	court *court
	where string
	names []string
}

func newBench(t *testing.T, n, voters int) *bench {
	t.Helper()
	if testing.Short() {
		t.Skip("takes 30 s")
	}
	net2, err := faults.NewRelays(n, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, net: net2, file: filepath.Join(t.TempDir(), "fleet.json"), procs: make([]*exec.Cmd, n), logs: make([]*os.File, n)}
	f := fleet.File{Fleet: "court", Leases: &fleet.Leases{LongestS: processLease.Seconds()}}
	for i := range n {
		name := fmt.Sprint("n", i)
		b.names, b.dirs = append(b.names, name), append(b.dirs, t.TempDir())
		f.Nodes = append(f.Nodes, fleet.Node{Name: name, Address: net2.Address(i).String(), Listen: net2.Listen(i).String(), Seed: true})
		if i < voters {
			f.Leases.Voters = append(f.Leases.Voters, name)
		}
	}
	text, err := json.Marshal(f)
	if err == nil {
		err = os.WriteFile(b.file, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	fence, err := lease.OpenFence(nil, "")
	if err != nil {
		t.Fatal(err)
	}
	b.court = &court{fence: fence, holder: map[uint64]string{}, refused: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go b.court.serve(listener)
	b.where = listener.Addr().String()
	t.Cleanup(func() {
		for i := range b.procs {
			b.kill(i)
		}
		_ = listener.Close()
		_ = net2.Close()
	})
	for i := range n {
		b.start(i)
	}
	return b
}

func (b *bench) start(i int) {
	b.t.Helper()
	log, err := os.CreateTemp(b.t.TempDir(), "log")
	if err != nil {
		b.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), nodeEnv+"="+b.names[i], "FLEET_FILE="+b.file, "FOLDER="+b.dirs[i], "WITNESS="+b.where,
		fmt.Sprint("RATE=", []float64{0.99, 1.01, 1}[i%3]))
	if err := cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.procs[i], b.logs[i] = cmd, log
}

func (b *bench) kill(i int) {
	if cmd := b.procs[i]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		b.procs[i] = nil
	}
}

func (b *bench) signal(i int, s syscall.Signal) {
	if err := b.procs[i].Process.Signal(s); err != nil {
		b.t.Error(err)
	}
}

// await waits until a condition on the witness or a log holds.
func (b *bench) await(what string, within time.Duration, ok func() bool) time.Duration {
	b.t.Helper()
	for began := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		if ok() {
			return time.Since(began)
		}
		if time.Since(began) > within {
			for i, log := range b.logs {
				text, _ := os.ReadFile(log.Name())
				b.t.Logf("%s:\n%s", b.names[i], text[max(0, len(text)-3000):])
			}
			b.t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// acts waits for the next operation under a token that is later than all before.
func (b *bench) acts(what string, within time.Duration) time.Duration {
	b.t.Helper()
	b.court.mu.Lock()
	was := b.court.token
	b.court.mu.Unlock()
	return b.await(what, within, func() bool {
		b.court.mu.Lock()
		defer b.court.mu.Unlock()
		return b.court.token > was
	})
}

// holder returns the node that performed the last operation.
func (b *bench) holder() int {
	b.court.mu.Lock()
	defer b.court.mu.Unlock()
	return slices.Index(b.names, b.court.last)
}

// leader returns the node that was the last to log that it leads, or -1 if there is none.
func (b *bench) leader() int {
	for i, log := range b.logs {
		text, err := os.ReadFile(log.Name())
		if err != nil || b.procs[i] == nil {
			continue
		}
		lines := strings.Split(string(text), "\n")
		for k := len(lines) - 1; k >= 0; k-- {
			if strings.Contains(lines[k], `msg="leases: leader"`) {
				if strings.HasSuffix(lines[k], "StateLeader") {
					return i
				}
				break
			}
		}
	}
	return -1
}

// verdict checks the observations of the witness: only operations of suspended processes may have been refused.
func (b *bench) verdict(stopped map[string]bool) {
	b.t.Helper()
	b.court.mu.Lock()
	defer b.court.mu.Unlock()
	for _, bad := range b.court.bad {
		b.t.Error(bad)
	}
	for process, n := range b.court.refused {
		if !stopped[process] {
			b.t.Errorf("%s was refused %d times, and was never stopped", process, n)
		}
	}
	if b.net.Stray.Load() != 0 {
		b.t.Errorf("%d messages came from unknown sources", b.net.Stray.Load())
	}
	b.t.Logf("%d tokens acted under, refused: %v", b.court.tokens, b.court.refused)
}

const patience = 60 * time.Second

// Five processes, three of which are voters, run under faults; a witness sees what each does under the lease. No operation
// arrives after one of a later holder, except from a process that was suspended in between, and that one is refused. After
// the faults the lease is granted again.
func TestProcessesUnderAWitness(t *testing.T) {
	b := newBench(t, 5, 3)
	stopped := map[string]bool{}
	b.await("all three vote", patience, func() bool {
		text, _ := os.ReadFile(b.logs[0].Name())
		return strings.Count(string(text), "change=ConfChangeAddNode") == 2
	})
	b.acts("the first operation", patience)
	old := b.t.TempDir() // a copy of a voter's present folder
	b.kill(2)
	if err := os.CopyFS(old, os.DirFS(b.dirs[2])); err != nil {
		t.Fatal(err)
	}
	b.start(2)
	for range 2 { // the leader is killed
		var leader int
		b.await("a leader", patience, func() bool { leader = b.leader(); return leader >= 0 })
		b.kill(leader)
		b.acts("an operation after the leader was killed", patience)
		b.start(leader)
		b.acts("an operation with it back", patience)
	}
	for _, p := range []faults.Pattern{{What: faults.Split}, {What: faults.Deaf, Nodes: []int{0}}, {What: faults.Dumb, Nodes: []int{1}}, {What: faults.All, Fault: faults.Fault{Cut: true}}} {
		b.net.Apply(p)
		time.Sleep(2 * processLease) // a lease and more passes under it
		b.net.Heal()
		b.acts("an operation after "+p.What, patience)
	}
	for range 3 { // the holder is suspended at any point for longer than the lease
		i := b.holder()
		stopped[fmt.Sprint(b.names[i], " ", b.procs[i].Process.Pid)] = true
		b.signal(i, syscall.SIGSTOP)
		b.acts("an operation of a successor", patience)
		b.signal(i, syscall.SIGCONT)
		b.acts("an operation after that", patience)
	}
	b.replaceVoters(old)
	b.kill(0) // so that a majority needs the new voter
	b.acts("an operation with a majority that includes the new voter", patience)
	b.start(0)
	b.killHolders()
	b.verdict(stopped)
}

// replaceVoters loses a voter's folder, then replaces another's by an old copy: each of these nodes rejoins as a learner and
// replaces its old raft id.
func (b *bench) replaceVoters(old string) {
	for _, c := range []struct {
		voter  int
		others [2]int
		folder string
	}{{1, [2]int{0, 2}, b.t.TempDir()}, {2, [2]int{0, 1}, old}} {
		promoted := func() (n int) { // by the logs of the other voters
			for _, i := range c.others {
				text, _ := os.ReadFile(b.logs[i].Name())
				n += strings.Count(string(text), "change=ConfChangeAddNode voter="+b.names[c.voter])
			}
			return n
		}
		before := promoted()
		b.kill(c.voter)
		b.dirs[c.voter] = c.folder
		b.start(c.voter)
		b.await("a new voter for "+b.names[c.voter], patience, func() bool { return promoted() == before+2 })
	}
}

// killHolders kills holders: each time there is a successor within the lease, the clock error and an election.
func (b *bench) killHolders() {
	var took []time.Duration
	deaths := 6
	if n, err := strconv.Atoi(os.Getenv("LEASE_DEATHS")); err == nil {
		deaths = n
	}
	for range deaths {
		i := b.holder()
		b.kill(i)
		took = append(took, b.acts("a successor", patience))
		b.start(i)
		b.acts("an operation with it back", patience)
	}
	slices.Sort(took)
	b.t.Logf("a successor's first act after %v (median), %v (99th percentile), %v (most) of %d deaths; a lease is %v",
		took[len(took)/2], took[len(took)*99/100], took[len(took)-1], len(took), processLease)
}
