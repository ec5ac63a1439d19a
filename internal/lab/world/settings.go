package world

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"dunetide/internal/lab/trace"
)

// Settings returns the settings of a node, in the platform's JSON format.
func (d *Day) Settings(me int) json.RawMessage {
	s := &d.Scenario
	us := func(ms float64) int64 { return int64(ms * 1000) }
	type object = map[string]any
	var classes, tenants []object
	for _, c := range s.Classes {
		repeat := "idempotent"
		if c.Repeat == "never" {
			repeat = "at_most_once"
		}
		classes = append(classes, object{"Name": c.Name, "AimUs": us(c.AimMs), "DeadlineUs": us(c.DeadlineS * 1000),
			"Idempotency": repeat, "Worth": c.Worth, "LateWorth": c.LateWorth, "Group": "all", "WindowUs": 5000000})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"Name": t.Name, "Share": t.Share})
	}
	var kinds []string
	var bundles []int
	var apart []bool
	for _, k := range s.Kinds {
		kinds, bundles, apart = append(kinds, k.Name), append(bundles, 1), append(apart, false)
	}
	text, err := json.Marshal(object{
		"NInstances": len(d.Nodes), "Me": me, "TickUs": us(s.Rules.TickMs), "WeightSource": "nominal", "Discovery": "automatic",
		"Classes": classes, "Tenants": tenants, "MachineTypes": kinds, "FailureDomains": []string{"lab"},
		"Report": object{"Fields": []string{"x0", "x1"}, "How": "piggyback"},
		"Extra":  object{"BundleMax": bundles, "RoutesApart": apart, "FeeByZone": []float64{0}, "Late": "even", "MaxCalls": d.Slots},
		"PolicyLimits": object{"MaxAttempts": s.Rules.MaxAttempts, "MaxOpen": d.MaxOpen, "RetryAfter": true, "MayTell": false,
			"MaxRetryAfterUs": us(s.Rules.MaxRetryAfterS * 1000), "ConnectTimeoutUs": us(s.Rules.ConnectMs),
			"IdleCloseUs": us(s.Rules.IdleS * 1000)},
		"Obligations": object{"DrainGraceUs": us(s.Rules.DrainGraceMs), "WarmUpUs": d.WarmUp.Microseconds(), "FallUs": us(s.Rules.FallMs),
			"ColdFrom": d.ColdFrom, "FallMultiple": s.Rules.FallMultiple, "AnswerSlackUs": 20000},
	})
	if err != nil {
		panic(err) // numbers that no valid scenario contains
	}
	return text
}

// Member is an endpoint in the JSON format of discovery.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    Phase   `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Member returns an endpoint as a node's agent reports it.
func (w *World) Member(node, ep int, hostPort string) Member {
	d := w.Day.Endpoints[ep].Dest
	rate := w.Day.Dests[d].Limit
	if rate == 0 {
		rate = w.Day.Dests[d].Capacity
	}
	return Member{ID: fmt.Sprintf("s-%08x", ep+1), HostPort: hostPort, Locality: "lab",
		Flavor: w.Day.Scenario.Kinds[w.Day.Dests[d].Kind].Name, Cell: d, Phase: w.reported[node][ep], Size: rate}
}

// Try is a client's attempt to submit a message.
type Try struct {
	Message int
	Number  int // 0 for the first
	At      time.Duration
	Node    int
	Again   bool // an earlier node accepted it and failed
}

// ID returns the id of the try.
func (t Try) ID() string { return ID(t.Message, t.Number) }

// Until returns the deadline of the message, which counts from its first try.
func (d *Day) Until(t Try) time.Duration {
	m := d.Messages[t.Message]
	return m.At + seconds(d.Scenario.Classes[m.Class].DeadlineS)
}

// Submitted returns the record of a client's new try.
func (d *Day) Submitted(t Try) trace.Record {
	m := d.Messages[t.Message]
	r := trace.Record{At: t.At, What: trace.Submitted, ID: t.ID(), Origin: ID(t.Message, 0), Node: t.Node, Dest: m.Dest, Class: m.Class,
		Tenant: m.Tenant, Until: d.Until(t), Share: 1}
	if !m.Inside {
		r.Share = 0.1
	}
	return r
}

// RetryAfterRefusal returns the client's next try after a refusal, and whether there is one. wait is the wait named by the refusal, or 0. The
// next try goes to a random node.
func (d *Day) RetryAfterRefusal(t Try, now, wait time.Duration) (Try, bool) {
	if t.Number >= d.Retries {
		return Try{}, false
	}
	r := Random(d.Seed, "again", uint64(t.Message), uint64(t.Number))
	pause := millis(draw(r, d.Scenario.Clients.BackoffMs)) * time.Duration(math.Exp2(float64(t.Number)))
	if heeds := r.Float64() < d.Scenario.Clients.Honour; heeds && wait > 0 {
		pause = min(wait, seconds(d.Scenario.Rules.MaxRetryAfterS))
	}
	next := Try{Message: t.Message, Number: t.Number + 1, At: now + pause, Node: r.IntN(len(d.Nodes)), Again: t.Again}
	return next, next.At < d.Until(t)
}

// RetryAfterFailure returns the client's next try after its node failed or did not answer, and whether there is one.
func (d *Day) RetryAfterFailure(t Try, now time.Duration) (Try, bool) {
	r := Random(d.Seed, "died", uint64(t.Message), uint64(t.Number))
	next := Try{Message: t.Message, Number: t.Number + 1, At: now + millis(draw(r, d.Scenario.Clients.AgainMs)),
		Node: r.IntN(len(d.Nodes)), Again: true}
	return next, t.Number < 8 && next.At < d.Until(t)
}
