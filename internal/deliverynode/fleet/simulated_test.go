//go:build !race

// In simulated time the runtime's own timers occasionally crash under the race detector (a due tick
// of a ticker is run by the goroutine that selects on it). The race detector covers the code of these tests
// in TestRepeatedJoinsMessagesAndKills and in the real processes of cmd/deliverynode.

package fleet_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/lab/faults"
)

// simulated returns a world for a synctest bubble.
func simulated(t *testing.T, n, seeds int) *world {
	t.Helper()
	w := newWorld(t, n, seeds)
	w.patience = time.Minute
	return w
}

// Each half of a partition removes the other. After the partition all nodes rejoin under new
// incarnations, and the handlers of changes are notified of their own node's removal.
func TestPartitionWithEachSideRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 6, 2)
		w.startAll()
		w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(upTo(6)...) })
		before := w.nodes[0].Self().Incarnation
		w.net.Apply(faults.Pattern{What: faults.Split})
		w.await(60*time.Second, "suspicion", func() bool { return w.stateSeen(0, 3) == fleet.Suspect && w.stateSeen(5, 0) == fleet.Suspect })
		for j := range 3 {
			if err := errors.Join(w.nodes[0].Remove(w.nodes[3+j].name), w.nodes[5].Remove(w.nodes[j].name)); err != nil {
				t.Fatal(err)
			}
		}
		w.await(10*time.Second, "removed on both sides", func() bool { return w.stateSeen(1, 4) == fleet.Removed && w.stateSeen(4, 1) == fleet.Removed })
		time.Sleep(30 * time.Second)
		w.net.Heal()
		w.await(convergenceTimeout, "all joined again", func() bool { return w.converged(upTo(6)...) })
		n := w.nodes[0]
		if now := n.Self().Incarnation; now <= before {
			t.Errorf("incarnation %d after %d", now, before)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if !slices.ContainsFunc(n.changes, func(c fleet.Change) bool {
			return c.Name == n.name && c.To == fleet.Removed && c.Incarnation == before
		}) {
			t.Errorf("no notification of the node's own removal: %v", n.changes)
		}
	})
}

// A node that starts with a stale or an empty state directory takes a later incarnation. One that starts with a copy
// of another node's directory stays outside until that node has ended.
func TestOneProcessPerName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 5, 2)
		for i := range 4 {
			w.start(i)
		}
		old := t.TempDir()
		w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(0, 1, 2, 3) })
		if err := os.CopyFS(old, os.DirFS(w.nodes[3].dir)); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			w.kill(3)
			w.start(3)
			w.await(convergenceTimeout, "the node is back", func() bool { return w.converged(0, 1, 2, 3) })
		}
		was := w.nodes[3].Self().Incarnation
		for _, dir := range []string{old, t.TempDir()} {
			w.kill(3)
			w.nodes[3].dir = dir
			w.start(3)
			w.await(convergenceTimeout, "the node is back under a later incarnation", func() bool {
				return w.converged(0, 1, 2, 3) && w.nodes[3].Self().Incarnation > was
			})
			was = w.nodes[3].Self().Incarnation
		}

		// A copy at another address while the original runs: the copy stays outside and the original is
		// unaffected. The copy joins after the original has ended.
		at4 := w.file.Nodes[4].Address
		w.file.Nodes = slices.Clone(w.file.Nodes[:4])
		at3 := w.file.Nodes[3].Address
		w.file.Nodes[3].Address = at4
		w.nodes[4].name, w.nodes[4].dir = w.nodes[3].name, t.TempDir()
		if err := os.CopyFS(w.nodes[4].dir, os.DirFS(w.nodes[3].dir)); err != nil {
			t.Fatal(err)
		}
		w.start(4)
		w.await(convergenceTimeout, "the copy is outside", func() bool { return w.nodes[4].Status().State == fleet.Outside })
		time.Sleep(time.Minute)
		if s := w.nodes[3].Status(); s.State != fleet.Joined || s.Incarnation != was || !w.converged(0, 1, 2, 3) {
			t.Errorf("the original is affected: %+v", s)
		}
		if s := w.nodes[4].Status(); s.State != fleet.Outside || !strings.Contains(s.Why, at3) {
			t.Errorf("the copy: %+v", s)
		}
		w.kill(3)
		w.await(time.Minute, "the copy has joined", func() bool { return w.nodes[4].Status().State == fleet.Joined && w.converged(0, 1, 2, 4) })
	})
}

// Two processes of one name that have joined in the two halves of a partition both leave the fleet when it heals.
// Each joins again after the other has ended.
func TestTwoProcessesOfOneNameAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 6, 3)
		// Nodes 0 to 2 and 3 to 5; 5 has the name of 2, and each half has a seed.
		w.file.Nodes[1].Seed, w.file.Nodes[2].Seed, w.file.Nodes[3].Seed = false, false, true
		w.net.Apply(faults.Pattern{What: faults.Split})
		for i := range 5 {
			w.start(i)
		}
		w.file.Nodes = slices.Clone(w.file.Nodes[:5])
		w.file.Nodes[2].Address = w.net.Address(5).String()
		w.nodes[5].name = w.nodes[2].name
		w.start(5)
		w.await(convergenceTimeout, "two halves", func() bool { return w.converged(0, 1, 2) && w.converged(3, 4, 5) })
		was := w.nodes[2].Self().Incarnation
		if err := w.nodes[3].Remove(w.nodes[5].name); err != nil { // the removal also applies to the first process
			t.Fatal(err)
		}
		w.await(convergenceTimeout, "the other process has rejoined", func() bool { return w.converged(3, 4, 5) && w.nodes[5].Self().Incarnation > was })
		w.net.Heal()
		w.await(time.Minute, "both outside", func() bool {
			return w.nodes[2].Status().State == fleet.Outside && w.nodes[5].Status().State == fleet.Outside
		})
		w.await(convergenceTimeout, "the others are one", func() bool { return w.converged(0, 1, 3, 4) })
		if s := w.stateSeen(0, 2); s.Departed() {
			t.Errorf("the name is %s without having left or been removed", s)
		}
		w.kill(5)
		w.await(2*time.Minute, "the first process has joined", func() bool { return w.converged(0, 1, 2, 3, 4) })
		n := w.nodes[2]
		n.mu.Lock()
		defer n.mu.Unlock()
		if !slices.ContainsFunc(n.changes, func(c fleet.Change) bool { return c.Name == n.name && c.To == fleet.Removed }) {
			t.Errorf("no notification of the removal while outside: %v", n.changes)
		}
	})
}

// A node whose name is removed while it is outside notifies its handlers before the functions of RunWhileJoined start again.
func TestRemovedWhileOutside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 4, 1)
		// Nodes 0 and 1, 2 and 3: each half has a seed, and 3 has the name of 1.
		w.file.Nodes[2].Seed = true
		w.net.Apply(faults.Pattern{What: faults.Split})
		var toldAtStart atomic.Bool
		n := w.nodes[1]
		w.start(0)
		w.start(1, func(f *fleet.Fleet) {
			f.RunWhileJoined(func(ctx context.Context) {
				n.mu.Lock()
				toldAtStart.Store(slices.ContainsFunc(n.changes, func(c fleet.Change) bool { return c.Name == n.name && c.To == fleet.Removed }))
				n.mu.Unlock()
				<-ctx.Done()
			})
		})
		w.start(2)
		w.file.Nodes = slices.Clone(w.file.Nodes[:3])
		w.file.Nodes[1].Address = w.net.Address(3).String()
		w.nodes[3].name = n.name
		w.start(3)
		w.await(convergenceTimeout, "two halves", func() bool { return w.converged(0, 1) && w.converged(2, 3) })
		w.net.Heal()
		w.await(time.Minute, "both outside", func() bool {
			return n.Status().State == fleet.Outside && w.nodes[3].Status().State == fleet.Outside
		})
		w.await(convergenceTimeout, "the others are one", func() bool { return w.converged(0, 2) })
		if err := w.nodes[2].Remove(n.name); err != nil {
			t.Fatal(err)
		}
		w.kill(3)
		w.await(2*time.Minute, "the node has joined", func() bool { return w.converged(0, 1, 2) })
		if !toldAtStart.Load() {
			n.mu.Lock()
			defer n.mu.Unlock()
			t.Errorf("the node's functions started before the notification of its removal: %v", n.changes)
		}
	})
}

// A seed that is down permanently does not prevent the others from joining. A node that one other cannot receive
// from, for longer than all timeouts, remains a member.
func TestOneWayCutAndSeedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 5, 2)
		for i := 1; i < 5; i++ {
			w.start(i)
		}
		w.await(convergenceTimeout, "a fleet without its first seed", func() bool { return w.converged(1, 2, 3, 4) })
		w.net.Set(3, 4, faults.Fault{Cut: true})
		for range 120 {
			time.Sleep(time.Second)
			for _, i := range []int{1, 2, 3, 4} {
				for _, j := range []int{1, 2, 3, 4} {
					if w.stateSeen(i, j).Departed() {
						t.Fatalf("%d sees %d as departed", i, j)
					}
				}
			}
		}
		w.net.Heal()
		w.await(convergenceTimeout, "all again", func() bool { return w.converged(1, 2, 3, 4) })
		if n := w.nodes[1].Count(); n != 4 {
			t.Errorf("counted %d", n)
		}
	})
}

// Each part of a partitioned fleet keeps counting all members, and so does a node that joins a part meanwhile.
func TestPartitionDoesNotReduceTheCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 9, 3)
		w.file.Nodes[6].Seed = true
		for i := range 8 {
			w.start(i)
		}
		w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(upTo(8)...) })
		w.net.Apply(faults.Pattern{What: faults.Split, Parts: 3})
		time.Sleep(10 * time.Minute)
		w.start(8)
		w.await(convergenceTimeout, "another node, in the last part", func() bool { return w.stateSeen(7, 8) == fleet.Alive })
		for i, want := range map[int]int{0: 8, 4: 8, 7: 9, 8: 9} {
			if n := w.nodes[i].Count(); n != want {
				t.Errorf("%d counts %d, want %d", i, n, want)
			}
		}
		w.net.Heal()
		w.await(convergenceTimeout, "all", func() bool { return w.converged(upTo(9)...) })
	})
}

// Flapping partitions: no member counts as departed, and the fleet converges when the flapping ends.
func TestFlappingLinksRemoveNobody(t *testing.T) {
	for _, period := range []time.Duration{300 * time.Millisecond, 1100 * time.Millisecond, 5 * time.Second, 9 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := simulated(t, 6, 2)
				w.startAll()
				w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(upTo(6)...) })
				for began := time.Now(); time.Since(began) < 2*time.Minute; {
					w.net.Apply(faults.Pattern{What: faults.Split})
					time.Sleep(period)
					w.net.Heal()
					time.Sleep(period)
					if s := w.stateSeen(0, 5); s.Departed() {
						t.Fatal(s)
					}
				}
				w.await(convergenceTimeout, "all", func() bool { return w.converged(upTo(6)...) })
			})
		})
	}
}

func TestFiftyRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 4, 2)
		w.startAll()
		w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(upTo(4)...) })
		for range 50 { // all within the time before a suspicion is confirmed
			w.kill(3)
			w.start(3)
			time.Sleep(50 * time.Millisecond)
		}
		w.await(convergenceTimeout, "all", func() bool { return w.converged(upTo(4)...) })
		if inc := w.nodes[3].Self().Incarnation; inc < 51 {
			t.Errorf("incarnation %d", inc)
		}
	})
}

// Requests and updates over links with each kind of fault: the outcome reported for a request is correct, and the
// newest update arrives.
func TestFaultyLinks(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault faults.Fault
	}{
		{"no fault", faults.Fault{}}, {"slow", faults.Fault{Delay: 100 * time.Millisecond, Jitter: 100 * time.Millisecond}},
		{"cut", faults.Fault{Cut: true}}, {"dropped silently", faults.Fault{Swallow: true}}, {"reset in a frame", faults.Fault{Reset: 300}},
		{"corrupted", faults.Fault{Corrupt: 0.2}}, {"a byte at a time", faults.Fault{Trickle: 1}}, {"lossy", faults.Fault{Lose: 0.2}},
	} {
		for _, way := range []string{"there", "back"} {
			t.Run(c.name+" "+way, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := simulated(t, 2, 1)
					var handled sync.Map
					var received atomic.Int64
					w.start(0)
					w.start(1, func(f *fleet.Fleet) {
						f.OnAsk("q", func(_ context.Context, from fleet.Peer, body []byte) ([]byte, error) {
							n, _ := handled.LoadOrStore(string(body), new(atomic.Int64))
							n.(*atomic.Int64).Add(1)
							if from.Name != "n000" {
								return nil, errors.New("unexpected sender")
							}
							return append([]byte("re "), body...), nil
						})
						f.OnUpdate("k", func(_ fleet.Peer, _ string, _ time.Duration, body []byte) {
							v, _ := strconv.ParseInt(string(body), 10, 64)
							received.Store(v)
						})
					})
					w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(0, 1) })
					from, to := 0, 1
					if way == "back" {
						from, to = 1, 0
					}
					f := w.nodes[0]
					if _, err := f.Ask(t.Context(), "n001", "q", []byte("first")); err != nil {
						t.Fatal(err)
					}
					w.net.Set(from, to, c.fault)
					var requests sync.WaitGroup
					var mu sync.Mutex
					outcomes := map[string]int{}
					for i := range 60 {
						if err := f.Tell("n001", "k", "x", []byte(strconv.Itoa(i))); err != nil {
							t.Error(err)
						}
						requests.Go(func() {
							ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
							defer cancel()
							id := strconv.Itoa(i)
							began := time.Now()
							answer, err := f.Ask(ctx, "n001", "q", []byte(id))
							if took := time.Since(began); took > time.Second {
								t.Errorf("a request took %v", took)
							}
							n := int64(0)
							if v, ok := handled.Load(id); ok {
								n = v.(*atomic.Int64).Load()
							}
							outcome := ""
							switch {
							case err == nil:
								outcome = "answered"
								if string(answer) != "re "+id || n != 1 {
									t.Errorf("%s: answered %q, handled %d times", id, answer, n)
								}
							case errors.Is(err, fleet.ErrNotSent):
								outcome = "not sent"
								if n != 0 {
									t.Errorf("%s: reported as not sent, but handled %d times", id, n)
								}
							case errors.Is(err, fleet.ErrOutcomeUnknown):
								outcome = "maybe"
								if n > 1 {
									t.Errorf("%s: handled %d times", id, n)
								}
							default:
								t.Error(err)
							}
							mu.Lock()
							defer mu.Unlock()
							outcomes[outcome]++
						})
						time.Sleep(200 * time.Millisecond)
					}
					requests.Wait()
					t.Log(outcomes)
					w.net.Heal()
					w.await(convergenceTimeout, "the last update", func() bool { return received.Load() == 59 })
					handled.Range(func(id, n any) bool {
						if n := n.(*atomic.Int64).Load(); n > 1 {
							t.Errorf("%s was handled %d times", id, n)
						}
						return true
					})
				})
			})
		}
	}
}

// Two nodes that dial each other at the same time end up with one connection, and lose no request.
func TestSimultaneousDial(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w := simulated(t, 2, 1)
			for i := range 2 {
				w.start(i, func(f *fleet.Fleet) {
					f.OnAsk("q", func(context.Context, fleet.Peer, []byte) ([]byte, error) { return []byte("a"), nil })
				})
			}
			w.await(convergenceTimeout, "a fleet", func() bool { return w.converged(0, 1) })
			w.net.Apply(faults.Pattern{What: faults.All, Fault: faults.Fault{Delay: delay}})
			var requests sync.WaitGroup
			for i := range 2 {
				for range 20 {
					requests.Go(func() {
						if _, err := w.nodes[i].Ask(t.Context(), w.nodes[1-i].name, "q", nil); err != nil {
							t.Error(err)
						}
					})
				}
			}
			requests.Wait()
			// Well before an idle link is closed. Gossip opens further connections occasionally.
			w.await(convergenceTimeout, "one connection", func() bool {
				return w.nodes[0].Status().Traffic.Connections == 1 && w.nodes[1].Status().Traffic.Connections == 1
			})
		})
	}
}

// A thousand joins and leaves leak no goroutines or connections.
func TestJoinsAndLeavesLeakNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, 3, 2)
		w.start(0)
		w.start(1)
		w.await(convergenceTimeout, "two", func() bool { return w.converged(0, 1) })
		time.Sleep(2 * time.Minute) // idle links are closed
		synctest.Wait()
		goroutines := runtime.NumGoroutine()
		for i := range 1000 {
			n := w.start(2)
			w.await(convergenceTimeout, "joined", func() bool { return n.Status().State == fleet.Joined && w.stateSeen(0, 2) == fleet.Alive })
			if _, err := n.Ask(t.Context(), "n000", "q", nil); !errors.As(err, new(fleet.AnswerError)) {
				t.Fatal(err)
			}
			w.end(2, i%2 == 0)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if after := runtime.NumGoroutine(); after > goroutines {
			buf := make([]byte, 1<<20)
			t.Errorf("%d goroutines, %d before:\n%s", after, goroutines, buf[:runtime.Stack(buf, true)])
		}
		for i := range 2 {
			if s := w.nodes[i].Status(); s.Traffic.Connections != 0 || len(s.Members) != 3 {
				t.Errorf("%+v", s)
			}
		}
	})
}

// Logs how long a join, a leave and a failure take to reach all nodes, and the traffic. FLEET_NODES and FLEET_LOSS
// (a number and a share, for example 300 and 0.05) set the size of the measurement.
func TestTimeUntilAllNodesSeeAChange(t *testing.T) {
	n, loss, rounds := 8, 0.05, 3
	if v, err := strconv.Atoi(os.Getenv("FLEET_NODES")); err == nil {
		n, rounds = v, 5
	}
	if v, err := strconv.ParseFloat(os.Getenv("FLEET_LOSS"), 64); err == nil {
		loss = v
	}
	synctest.Test(t, func(t *testing.T) {
		w := simulated(t, n, 3)
		w.net.Apply(faults.Pattern{What: faults.All, Fault: faults.Fault{Lose: loss, Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond}})
		began := time.Now()
		w.startAll()
		took := w.await(2*time.Minute, "a fleet", func() bool { return w.converged(upTo(n)...) })
		t.Logf("%d nodes, loss %v: all nodes see each other %v after a simultaneous start", n, loss, took)
		time.Sleep(30 * time.Second)
		traffic := func() (bytes, packets int64) {
			for _, n := range w.nodes {
				s := n.Status().Traffic
				bytes, packets = bytes+s.BytesOut, packets+s.PacketsOut
			}
			return bytes, packets
		}
		false0 := w.falseSuspicions(began)
		b0, p0 := traffic()
		rest := 60 * time.Second
		restFrom := time.Now()
		time.Sleep(rest)
		b1, p1 := traffic()
		t.Logf("idle, per node and second: %.0f bytes, %.1f datagrams sent; false suspicions: %d at the start, %d in %v", float64(b1-b0)/rest.Seconds()/float64(n),
			float64(p1-p0)/rest.Seconds()/float64(n), false0, w.falseSuspicions(restFrom), rest)
		r := rand.New(rand.NewPCG(1, 2))
		for _, what := range []string{"death", "join", "leave"} {
			var all []time.Duration
			for range rounds {
				j := r.IntN(n)
				switch what {
				case "join":
					w.kill(j)
					w.await(3*time.Minute, "suspected", func() bool { return w.allSee(j, fleet.Suspect) })
				}
				at := time.Now()
				switch what {
				case "death":
					w.kill(j)
					w.await(3*time.Minute, "death", func() bool { return w.allSee(j, fleet.Suspect) })
				case "join":
					w.start(j)
					w.await(3*time.Minute, "join", func() bool { return w.allSee(j, fleet.Alive) })
				case "leave":
					w.end(j, true)
					w.await(3*time.Minute, "leaving", func() bool { return w.allSee(j, fleet.Left) })
				}
				all = append(all, w.changeDelays(j, at)...)
				if what != "join" {
					w.start(j)
					w.await(3*time.Minute, "back", func() bool { return w.converged(upTo(n)...) })
				}
			}
			slices.Sort(all)
			if len(all) == 0 {
				t.Fatal("no node has seen a", what)
			}
			t.Logf("%s: seen after median %v, 99th percentile %v, maximum %v (%d)", what, all[len(all)/2].Round(time.Millisecond),
				all[len(all)*99/100].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond), len(all))
		}
	})
}

func (w *world) allSee(j int, s fleet.State) bool {
	for i, n := range w.nodes {
		if i != j && n.stop != nil && w.stateSeen(i, j) != s {
			return false
		}
	}
	return true
}

// changeDelays returns, for each other node, the time from since to its last change of node j.
func (w *world) changeDelays(j int, since time.Time) (all []time.Duration) {
	for i, n := range w.nodes {
		if i == j {
			continue
		}
		n.mu.Lock()
		for k := len(n.changes) - 1; k >= 0 && !n.at[k].Before(since); k-- {
			if n.changes[k].Name == w.nodes[j].name {
				all = append(all, n.at[k].Sub(since))
				break
			}
		}
		n.mu.Unlock()
	}
	return all
}

// falseSuspicions counts the changes from alive to suspect since a time after which no node was killed.
func (w *world) falseSuspicions(since time.Time) (count int) {
	for _, n := range w.nodes {
		n.mu.Lock()
		for k, c := range n.changes {
			if c.To == fleet.Suspect && c.From == fleet.Alive && !n.at[k].Before(since) {
				count++
			}
		}
		n.mu.Unlock()
	}
	return count
}
