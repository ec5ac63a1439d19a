package keeper

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"dunetide/internal/consensus/paxos"
)

// TestQueuesDoNotBlockEachOther: the owner goroutine and the registers' each have a queue, and neither waits for the
// other's.
func TestQueuesDoNotBlockEachOther(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	for range maxQueuedCommands {
		k.commands <- func() {}
		k.registers.commands <- func() {}
	}
	done := make(chan struct{})
	go func() { // the registers' goroutine
		defer close(done)
		k.registers.publishDecided(configRegister, paxos.State{Slot: 1, Voters: []paxos.Voter{{ID: 9, Name: "k2"}}})
		k.registers.send(configRegister, paxos.Voter{ID: 9, Name: "k2"}, nil)
		k.registers.queryIfUnknown(configRegister)
		k.broadcastDecided(configRegister, paxos.State{})
	}()
	receive(t, done, "the end of the registers' goroutine")
	failed := make(chan error, 1)
	go k.changeTable(nil, func(err error) { failed <- err }) // the owner goroutine
	if err := receive(t, failed, "the refusal"); !errors.Is(err, errBusy) {
		t.Fatal(err)
	}
}

// TestBusyQueue: a queue that is never empty delays neither pushes nor ticks.
func TestBusyQueue(t *testing.T) {
	r := newRig(t, 1)
	r.startAll()
	r.untilConnected(0)
	k := r.running[0].keeper
	var again func()
	again = func() {
		select {
		case k.commands <- again:
		default:
		}
	}
	k.submit(again)
	receive(t, r.attachManually(0, "p").pushes, "a push")
}

// TestEndedKeeperAcknowledgesNothing: calls to a keeper that has ended are answered 503.
func TestEndedKeeperAcknowledgesNothing(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	close(k.ended)
	for range maxQueuedCommands { // no goroutine runs commands any more
		k.commands <- func() {}
	}
	body := `{"service":"s","address":"a:1","state":"ready","call_count":1}`
	for _, c := range [][3]string{{"PUT", "/instances/1", body}, {"DELETE", "/instances/1", ""}, {"GET", "/status", ""}, {"GET", "/config", ""},
		{"POST", "/retire/x", ""}, {"GET", "/retire/x", ""}} {
		w := httptest.NewRecorder()
		k.httpHandler().ServeHTTP(w, httptest.NewRequest(c[0], c[1], strings.NewReader(c[2])))
		if w.Code != 503 {
			t.Fatalf("%s %s: %d", c[0], c[1], w.Code)
		}
	}
}

// TestEndWithCallsInFlight: waiting calls don't delay the end of a keeper.
func TestEndWithCallsInFlight(t *testing.T) {
	r := newRig(t, 1)
	r.pushWait = 2 * testTimeout
	r.startAll()
	r.untilConnected(0)
	r.attachManually(0, "p")
	answers := make(chan response, 1)
	go func() { answers <- r.heartbeat(0, "1", "draining", 1) }()
	eventually(t, "the call waits", func() bool {
		waits, _ := query(r.running[0].keeper, func() bool { return len(r.running[0].keeper.waiters) > 0 })
		return waits
	})
	r.kill(0)
	if a := receive(t, answers, "the answer"); a.status != 503 {
		t.Fatal(a)
	}
}
