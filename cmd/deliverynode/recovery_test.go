package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/deliverynode/node"
)

// chargeSettings have one class that must not be repeated and one that may be.
var chargeSettings = strings.NewReplacer(`"Name":"meter-message"`, `"Name":"charge"`, `"Idempotency":"deduplicated"`, `"Idempotency":"at_most_once"`,
	`"Worth":1,"LateWorth":0.5}],`, `"Worth":1,"LateWorth":0.5},{"Name":"status","AimUs":3000000,"DeadlineUs":28000000,`+
		`"Idempotency":"idempotent","Worth":1,"LateWorth":0.5}],`, `"MaxOpen":4`, `"MaxOpen":200`).Replace(settings)

// submit submits a message and returns the status, or 0 if there is no response.
func (p *platform) submit(class, id string) int {
	req := p.request(id, 4*time.Second)
	req.URL.Path = "/" + class
	req.Header.Set("X-Priority-Class", class)
	req.Header.Del("Idempotency-Key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// The node is killed repeatedly while a client submits messages and the endpoint answers some of them with errors. In the end
// each accepted message was delivered or has a notice, and no charge ran twice.
func TestEachMessageIsAccountedForThroughKills(t *testing.T) {
	for _, flags := range [][]string{nil, {"-sync"}} {
		t.Run(fmt.Sprint(flags), func(t *testing.T) {
			p := newPlatform(t)
			p.settings, p.flags = chargeSettings, flags
			rng, kills := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4)) // rng is used under the platform's lock
			delivered, ran := map[string]bool{}, map[string]int{}
			p.answer = func(id string) int {
				answer := rng.IntN(80)
				if answer == 0 {
					return http.StatusServiceUnavailable
				}
				if ran[id]++; answer == 1 {
					return http.StatusInternalServerError
				}
				delivered[id] = true
				return http.StatusOK
			}
			accepted := map[string]bool{}
			moments := make(chan struct{}) // one for each message that has been submitted
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for i := 0; ; i++ {
					class := []string{"charge", "status"}[i%2]
					id := fmt.Sprint(class, i)
					if p.submit(class, id) == http.StatusAccepted {
						p.set(func() { accepted[id] = true })
					}
					select {
					case moments <- struct{}{}:
					case <-stop:
						return
					}
				}
			}()
			n := p.start()
			for range 24 {
				for range 1 + kills.IntN(20) {
					<-moments
				}
				must(t, n.cmd.Process.Signal(syscall.SIGKILL))
				_ = n.wait(t) // killed
				drained := make(chan struct{})
				go func() { // messages keep arriving while the node starts
					for {
						select {
						case <-moments:
						case <-drained:
							return
						}
					}
				}()
				n = p.start()
				close(drained)
			}
			close(stop)
			<-stopped
			p.eventually("the end of each message", func() bool {
				for id := range accepted {
					if !delivered[id] && p.finals[id] == "" {
						return false
					}
				}
				return true
			})
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, n := range ran {
				if strings.HasPrefix(id, "charge") && n > 1 {
					t.Errorf("%s ran %d times", id, n)
				}
			}
			if len(accepted) < 100 {
				t.Errorf("only %d messages were accepted", len(accepted))
			}
			t.Logf("%d messages accepted, %d delivered, %d notices", len(accepted), len(delivered), len(p.finals))
		})
	}
}

// On a damaged folder, check reports the damage and its position, and a start continues, does not resend messages in doubt, and
// logs the damage. check distinguishes a folder in use and a folder that does not exist.
func TestCheckAndStartOnADamagedFolder(t *testing.T) {
	p := newPlatform(t)
	p.settings, p.flags = chargeSettings, []string{"-sync"}
	p.answer = func(string) int { return 0 }
	n := p.start()
	for _, id := range []string{"charge0", "charge1"} {
		if status := p.submit("charge", id); status != http.StatusAccepted {
			t.Fatalf("%s: %d", id, status)
		}
	}
	p.eventually("both calls", func() bool { return p.calls["charge0"]+p.calls["charge1"] == 2 })
	if out, code := runCheck(t, p.dir); code != 0 || !strings.Contains(out, "in use") {
		t.Errorf("in use: exit %d, %s", code, out)
	}
	must(t, n.cmd.Process.Signal(syscall.SIGKILL))
	_ = n.wait(t)
	if out, code := runCheck(t, p.dir); code != 0 || !strings.HasSuffix(out, "sound\n") || !strings.Contains(out, "2 messages owed") {
		t.Errorf("sound: exit %d, %s", code, out)
	}
	path := filepath.Join(p.dir, "journal-0000000000000001")
	data, err := os.ReadFile(path)
	must(t, err)
	at := bytes.LastIndex(data, []byte("s1")) // the endpoint's name in the last attempt
	data[at] ^= 1
	must(t, os.WriteFile(path, data, 0o600))
	out, code := runCheck(t, p.dir)
	if code != 1 || !strings.Contains(out, "journal-0000000000000001 at byte") || !strings.Contains(out, "possibly run: charge1") {
		t.Errorf("damaged: exit %d, %s", code, out)
	}
	p.set(func() { p.answer = func(string) int { return http.StatusOK } })
	n = p.start()
	p.eventually("both notices", func() bool { return p.finals["charge0"] == "given_up" && p.finals["charge1"] == "given_up" })
	must(t, n.cmd.Process.Signal(syscall.SIGTERM))
	must(t, n.wait(t))
	if log := n.log.String(); !strings.Contains(log, "journal: damaged") || !strings.Contains(log, "journal: recovered") {
		t.Errorf("the log does not report the damage: %s", log)
	}
	p.set(func() {
		if p.calls["charge0"]+p.calls["charge1"] != 2 {
			t.Errorf("calls %v: a charge was sent again", p.calls)
		}
	})
	if out, code := runCheck(t, p.dir); code != 0 {
		t.Errorf("repaired: exit %d, %s", code, out)
	}
	if out, code := runCheck(t, filepath.Join(p.dir, "none")); code != 2 || !strings.Contains(out, "not usable") {
		t.Errorf("none: exit %d, %s", code, out)
	}
}

func runCheck(t *testing.T, dir string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "check", dir)
	cmd.Env = append(os.Environ(), "DELIVERYNODE_TEST_NODE=1")
	out, _ := cmd.CombinedOutput() // the exit status is checked by the caller
	return string(out), cmd.ProcessState.ExitCode()
}

// A second process on the same folder, and an invalid command line, make the start fail with a message.
func TestStartsThatAreRefused(t *testing.T) {
	p := newPlatform(t)
	p.start()
	second := p.launch(nil)
	if err := second.wait(t); err == nil || !strings.Contains(second.log.String(), "in use by another process") {
		t.Errorf("%v, %s", err, second.log.String())
	}
	for _, flags := range [][]string{{"-unknown"}, {"serve"}, {"check"}, {"check", "a", "b"}, {"-sync", "check", "a"}} {
		p.flags = flags
		n := p.launch(nil)
		if err := n.wait(t); err == nil || len(n.log.String()) == 0 {
			t.Errorf("%q: %v, %s", flags, err, n.log.String())
		}
	}
}

// The console shows the state of a journal with syncs.
func TestJournalIsShown(t *testing.T) {
	u := newUpgrades(t)
	u.flags = []string{"-sync"}
	n, console := u.begin()
	u.awaitReady(n, console)
	if status, _ := u.submitOn(u.connect(), "a"); status != http.StatusAccepted {
		t.Fatalf("answered %d", status)
	}
	u.awaitOneCallEach("a")
	resp, err := http.Get("http://" + console + "/ops/journal")
	must(t, err)
	defer resp.Body.Close()
	var got struct {
		Bytes, Limit, Segments, Syncs int64
		Sync                          bool
		Recovery                      struct{ Problems []string } `json:"last_recovery"`
	}
	must(t, json.NewDecoder(resp.Body).Decode(&got))
	if got.Bytes == 0 || got.Limit != 3e6 || got.Segments != 1 || got.Syncs == 0 || !got.Sync || got.Recovery.Problems == nil {
		t.Errorf("%+v", got)
	}
	if status := call(t, console, "PUT", "/ops/journal", ""); status != http.StatusMethodNotAllowed {
		t.Errorf("PUT: answered %d", status)
	}
}

// The example configuration that the README refers to is valid.
func TestExampleConfiguration(t *testing.T) {
	c, err := node.LoadConfig(func(name string) string {
		return map[string]string{"PROXY_CONFIG": "../../docs/example-config.json", "PROXY_STATE": t.TempDir()}[name]
	})
	must(t, err)
	if c.Listen != "127.0.0.1:5000" || len(c.Settings.Classes) != 2 || len(c.Known.Members) != 1 {
		t.Errorf("%+v", c)
	}
}
