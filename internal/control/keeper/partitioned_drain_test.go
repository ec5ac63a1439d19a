package keeper

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// drainBound is bounds.drain_ms of the deployments: from then on after an acknowledgement nothing may reach the
// endpoint.
const drainBound = 2 * time.Second

// TestDrainAtJustPartitionedKeeper: a keeper that has just been partitioned counts as in contact until the last
// answer of a majority runs out. In that time it must not acknowledge that an endpoint drains or is removed: the
// machines of the majority would go on sending to the endpoint, which sends nothing more once it has its
// acknowledgement.
func TestDrainAtJustPartitionedKeeper(t *testing.T) {
	says := map[string]func(r *rig) response{
		"draining": func(r *rig) response { return r.heartbeat(0, "1", "draining", 2) },
		"gone":     func(r *rig) response { return r.call(0, "DELETE", "/instances/1", "", nil) },
	}
	cuts := map[string]struct{ from, to bool }{
		"both ways": {true, true}, "its words are lost": {true, false}, "it hears nothing": {false, true},
	}
	for what, say := range says {
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
				said := say(r)
				acknowledged := time.Now()
				switch said.status {
				case 503:
					return
				case 200:
				default:
					t.Fatalf("the answer is %v", said)
				}
				pace := time.NewTicker(10 * time.Millisecond)
				defer pace.Stop()
				for ; other.state("1") == snapshot.Ready; <-pace.C {
					if time.Since(acknowledged) > drainBound {
						t.Fatalf("acknowledged, and not known to the majority %v later", drainBound)
					}
				}
			})
		}
	}
}
