package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/lab/faults"
	"dunetide/internal/platform/vfs"
)

// world is a fleet for tests: Fleets over a network in memory.
type world struct {
	t     *testing.T
	net   *faults.Memory
	file  fleet.File
	nodes []*node
	log   *slog.Logger
	// patience is a pause in simulated time at the end of a test.
	patience time.Duration
}

type node struct {
	*fleet.Fleet
	name, dir string
	stop      context.CancelFunc
	leaves    atomic.Bool
	ended     chan struct{}
	mu        sync.Mutex
	changes   []fleet.Change
	at        []time.Time
}

func newWorld(t *testing.T, n, seeds int) *world {
	t.Helper()
	w := &world{t: t, net: faults.NewMemory(n, 1), log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if os.Getenv("FLEET_LOG") != "" {
		w.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	w.file.Fleet = "test"
	for i := range n {
		name := fmt.Sprintf("n%03d", i)
		w.file.Nodes = append(w.file.Nodes, fleet.Node{Name: name, Address: w.net.Address(i).String(), Seed: i < seeds})
		w.nodes = append(w.nodes, &node{name: name, dir: t.TempDir()})
	}
	t.Cleanup(func() {
		for i := range w.nodes {
			w.kill(i)
		}
		w.net.Close()
		time.Sleep(w.patience) // memberlist's last probes end by their timeouts
	})
	return w
}

// start starts node i, which may have been given another node's name and state directory.
func (w *world) start(i int, prepare ...func(*fleet.Fleet)) *node {
	n := w.nodes[i]
	origin := time.Now()
	f, err := fleet.New(fleet.Options{File: w.file, Name: n.name, Folder: vfs.Dir(n.dir), Listen: w.net.Listen,
		Clock: func() time.Duration { return time.Since(origin) }, Seed: uint64(i), Log: w.log.With("at", n.name)})
	if err != nil {
		w.t.Fatal(err)
	}
	n.Fleet, n.changes, n.at = f, nil, nil
	f.OnChange(func(c fleet.Change) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changes, n.at = append(n.changes, c), append(n.at, time.Now())
	})
	for _, p := range prepare {
		p(f)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop, n.ended = stop, make(chan struct{})
	n.leaves.Store(false)
	ended := n.ended
	go func() {
		f.Run(ctx, n.leaves.Load)
		close(ended)
	}()
	return n
}

func (w *world) startAll() {
	for i := range w.nodes {
		w.start(i)
	}
}

func (w *world) kill(i int) { w.end(i, false) }

func (w *world) end(i int, leaves bool) {
	n := w.nodes[i]
	if n.stop == nil {
		return
	}
	n.leaves.Store(leaves)
	n.stop()
	<-n.ended
	n.stop = nil
}

// stateSeen returns the state of node j in node i's table.
func (w *world) stateSeen(i, j int) fleet.State {
	for _, m := range w.nodes[i].Members() {
		if m.Name == w.nodes[j].name {
			return m.State
		}
	}
	return ""
}

// await polls until a condition holds and returns the time that took.
func (w *world) await(within time.Duration, what string, ok func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			w.t.Fatalf("not within %v: %s%s", within, what, w.describeDivergence())
		}
		time.Sleep(10 * time.Millisecond * time.Duration(1+len(w.nodes)/50))
	}
	return time.Since(began)
}

// describeDivergence lists the pairs of nodes of which one does not have the other's current incarnation as alive. The
// list ends after 4000 bytes.
func (w *world) describeDivergence() string {
	var all strings.Builder
	for i, n := range w.nodes {
		if n.Fleet == nil {
			continue
		}
		fmt.Fprintf(&all, "\n%s %s, counts %d:", n.name, n.Status().State, n.Count())
		at := map[string]fleet.Member{}
		for _, m := range n.Members() {
			at[m.Name] = m
		}
		for j, o := range w.nodes {
			if m := at[o.name]; o.Fleet != nil && i != j && (m.State != fleet.Alive || m.Incarnation != o.Self().Incarnation) {
				fmt.Fprintf(&all, " %s %q %d of %d,", o.name, m.State, m.Incarnation, o.Self().Incarnation)
			}
		}
		if all.Len() > 4000 {
			break
		}
	}
	return all.String()
}

// converged reports whether all of the given nodes have each other's current incarnations as alive.
func (w *world) converged(among ...int) bool {
	for _, i := range among {
		at := map[string]fleet.Member{}
		for _, m := range w.nodes[i].Members() {
			at[m.Name] = m
		}
		for _, j := range among {
			if m := at[w.nodes[j].name]; m.State != fleet.Alive || m.Incarnation != w.nodes[j].Self().Incarnation {
				return false
			}
		}
	}
	return true
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// convergenceTimeout bounds the time after the last fault until all nodes have converged: an attempt to rejoin
// follows after at most 5 s, and gossip spreads the result.
const convergenceTimeout = 20 * time.Second

// Runs complete lifecycles in real time, for the race detector: joins, requests, updates, kills and leaves.
func TestRepeatedJoinsMessagesAndKills(t *testing.T) {
	w := newWorld(t, 3, 2)
	serve := func(f *fleet.Fleet) {
		f.OnAsk("q", func(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) { return body, nil })
		f.OnUpdate("k", func(fleet.Peer, string, time.Duration, []byte) {})
	}
	for i := range 3 {
		w.start(i, serve)
	}
	for round := range 4 {
		w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(0, 1, 2) })
		var requests sync.WaitGroup
		for i := range 3 {
			for j := range 3 {
				if i == j {
					continue
				}
				requests.Go(func() {
					for k := range 20 {
						if err := w.nodes[i].Tell(w.nodes[j].name, "k", strconv.Itoa(k), nil); err != nil {
							t.Error(err)
						}
						if _, err := w.nodes[i].Ask(t.Context(), w.nodes[j].name, "q", []byte("x")); err != nil && !errors.Is(err, fleet.ErrOutcomeUnknown) {
							t.Error(err) // a link to the previous process may be breaking
						}
						_ = w.nodes[i].Status()
					}
				})
			}
		}
		requests.Wait()
		w.end(round%3, round%2 == 0)
		w.start(round%3, serve)
	}
	w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(0, 1, 2) })
}
