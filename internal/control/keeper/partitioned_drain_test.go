package keeper

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// drainBound is bounds.drain_ms of the deployments: the time after an acknowledgement from which on no request may
// reach the endpoint.
const drainBound = 2 * time.Second

// TestDrainAtJustPartitionedKeeper: a keeper that has just been partitioned counts as in contact until the last answer
// of a majority expires. In that time it must not acknowledge the drain or removal of an endpoint: the machines of the
// majority would continue to send to the endpoint, which doesn't repeat its call once it is acknowledged.
func TestDrainAtJustPartitionedKeeper(t *testing.T) {
	changes := map[string]func(r *rig) response{
		"drain":   func(r *rig) response { return r.heartbeat(0, "1", "draining", 2) },
		"removal": func(r *rig) response { return r.call(0, "DELETE", "/instances/1", "", nil) },
	}
	cuts := map[string]struct{ from, to bool }{
		"both directions": {true, true}, "outgoing messages lost": {true, false}, "incoming messages lost": {false, true},
	}
	for what, change := range changes {
		for direction, cut := range cuts {
			t.Run(what+", "+direction, func(t *testing.T) {
				r := newRig(t, 3)
				relays := r.startRelays()
				r.startAll()
				r.untilConnected(0, 1, 2)
				other := r.attachAcknowledging(1, "other")
				r.untilCode(200, func() response { return r.heartbeat(0, "1", "ready", 1) })
				eventually(t, "the endpoint is known to the majority", func() bool { return other.state("1") == snapshot.Ready })

				relays.cutOff(0, cut.from, cut.to)
				answer := change(r)
				acknowledged := time.Now()
				switch answer.status {
				case 503:
					return
				case 200:
				default:
					t.Fatalf("the answer is %v", answer)
				}
				pace := time.NewTicker(10 * time.Millisecond)
				defer pace.Stop()
				for ; other.state("1") == snapshot.Ready; <-pace.C {
					if time.Since(acknowledged) > drainBound {
						t.Fatalf("acknowledged, but not known to the majority %v later", drainBound)
					}
				}
			})
		}
	}
}
