// Package scenario reads the scenarios of the lab (scenarios/*.toml): ranges from which each seed draws the load and the faults of a
// run.
package scenario

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	network "dunetide/internal/lab/faults"
)

// Range is a minimum and a maximum; a day draws uniformly between them.
type Range [2]float64

// Scenario is the content of a scenario file. Times are in seconds or, where the key says so, milliseconds.
type Scenario struct {
	Name    string `toml:"name"`
	Page    string `toml:"page"` // document that the scenario follows
	About   string `toml:"about"`
	LengthS Range  `toml:"length_s"`

	Nodes     Nodes     `toml:"nodes"`
	Load      Load      `toml:"load"`
	Net       Net       `toml:"net"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Dest      Dest      `toml:"destinations"`
	Reports   Reports   `toml:"reports"`
	Kinds     []Kind    `toml:"kind"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Faults    []Fault   `toml:"fault"`
	Fleet     Fleet     `toml:"fleet"`
}

// Fleet joins the nodes into one fleet, with a relay for each direction between two nodes. It needs real processes.
type Fleet struct {
	Seeds  int          `toml:"seeds"` // number of seed nodes; 0: the nodes are independent
	Faults []FleetFault `toml:"fault"`
}

// FleetFault is a fault between nodes: a pattern of internal/lab/faults, or "remove", which tells the first of the named nodes that
// the second is gone.
type FleetFault struct {
	What     string  `toml:"what"`
	AtS      Range   `toml:"at_s"`
	ForS     Range   `toml:"for_s"`
	EachS    Range   `toml:"each_s"` // if positive, the fault is switched on and off, each for this long
	Parts    int     `toml:"parts"`
	Nodes    []int   `toml:"nodes"`
	Lose     float64 `toml:"lose"`
	Double   float64 `toml:"double"`
	Reorder  float64 `toml:"reorder"`
	Spoil    float64 `toml:"spoil"`
	DelayMs  float64 `toml:"delay_ms"`
	JitterMs float64 `toml:"jitter_ms"`
	Swallow  bool    `toml:"swallow"`
	Reset    int     `toml:"reset"`
	Trickle  int     `toml:"trickle"`
}

// RemoveMember is the fault in which an operator removes a node from the fleet.
const RemoveMember = "remove"

// Pattern returns the pattern that the fault applies between nodes.
func (f FleetFault) Pattern() network.Pattern {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return network.Pattern{What: f.What, Parts: f.Parts, Nodes: f.Nodes, Fault: network.Fault{Lose: f.Lose, Double: f.Double,
		Reorder: f.Reorder, Corrupt: f.Spoil, Delay: ms(f.DelayMs), Jitter: ms(f.JitterMs), Swallow: f.Swallow, Reset: f.Reset, Trickle: f.Trickle}}
}

// Nodes are the delivery nodes and their limits.
type Nodes struct {
	Count     int     `toml:"count"`
	Uneven    float64 `toml:"uneven"`     // the k-th node's share of the traffic is proportional to 1/k to this power; 0 is uniform
	SlotsRoom Range   `toml:"slots_room"` // factor on the slots that load 1 keeps busy
	Least     int     `toml:"least_slots"`
	HoldS     Range   `toml:"hold_s"` // capacity for held messages, in seconds of load 1
	LeastOpen int     `toml:"least_open"`
	MemoryMB  int     `toml:"memory_mb"`
	Sockets   int     `toml:"sockets"`
	DiskMB    float64 `toml:"disk_mb"`
	// Members is the number of processes that form one node. kill, term and stop each affect one of them, in turn. It needs real
	// processes.
	Members int `toml:"members"`
}

// Load is the clients' traffic; levels are relative to load 1.
type Load struct {
	Level      Range `toml:"level"`
	Clumps     Range `toml:"clumps"`  // share of messages that arrive in bursts
	ClumpS     Range `toml:"clump_s"` // size of a burst, in seconds of its destination's limit
	BodyBytes  Range `toml:"body_bytes"`
	AllowanceX Range `toml:"allowance"` // sum of the tenants' allowances, relative to load 1
}

// Net is the network between nodes and endpoints.
type Net struct {
	OneWayMs      Range `toml:"one_way_ms"`
	HandshakeRTTs Range `toml:"handshake_rtts"`
}

// Clients describes how clients retry after a refusal or a failed node.
type Clients struct {
	Retries   Range   `toml:"retries"`
	BackoffMs Range   `toml:"backoff_ms"`
	Honour    float64 `toml:"honour"` // share of clients that honor Retry-After
	AgainMs   Range   `toml:"again_ms"`
}

// Discovery describes how late nodes are notified of a change.
type Discovery struct {
	NoticeS Range `toml:"notice_s"`
}

// Rules are parameters of the protocol, as in the nodes' settings.
type Rules struct {
	DrainGraceMs   float64 `toml:"drain_grace_ms"`
	FallMultiple   float64 `toml:"fall_multiple"`
	FallMs         float64 `toml:"fall_ms"`
	ColdFrom       Range   `toml:"cold_from"`
	ColdS          Range   `toml:"cold_s"`
	MaxAttempts    int     `toml:"max_attempts"`
	ConnectMs      float64 `toml:"connect_timeout_ms"`
	IdleS          float64 `toml:"idle_s"`
	MaxRetryAfterS float64 `toml:"max_retry_after_s"`
	TickMs         float64 `toml:"tick_ms"`
}

// Dest describes how many destinations there are and how traffic is distributed over them.
type Dest struct {
	Count     Range `toml:"count"`
	Endpoints Range `toml:"endpoints"` // per destination; rounded, at least 1
	Rate      Range `toml:"rate"`      // mean messages per second per destination at load 1
	Zipf      Range `toml:"zipf"`
}

// Reports describes the limit reports in answers.
type Reports struct {
	PeriodMs Range `toml:"period_ms"`
	DelayMs  Range `toml:"delay_ms"`
	Noise    Range `toml:"noise"`
}

// Kind is one kind of destination.
type Kind struct {
	Name         string `toml:"name"`
	Share        int    `toml:"share"` // weight of this kind, relative to the sum of all shares
	Limit        string `toml:"limit"` // "window", "rate" or "none"
	WindowMs     int    `toml:"window_ms"`
	Headroom     Range  `toml:"headroom"` // limit relative to the calls at load 1
	LeastRate    Range  `toml:"least_rate"`
	Spare        Range  `toml:"spare"` // capacity relative to the limit
	DepthS       Range  `toml:"depth_s"`
	TellsWait    Range  `toml:"tells_wait"`
	WaitMs       Range  `toml:"wait_ms"`
	RefusedCount bool   `toml:"refused_count"`
	Speed        Range  `toml:"speed"`
	SlowCV       Range  `toml:"slow_cv"`
	ErrorRate    Range  `toml:"error_rate"`
	Refuses      Range  `toml:"refuses"` // share of calls refused below the limit, without a wait
	Conns        int    `toml:"conns"`   // maximum number of connections of an endpoint; 0: no limit
}

// Class is one class of message.
type Class struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	WorkMs    Range   `toml:"work_ms"`
	CV        float64 `toml:"cv"`
	AimMs     float64 `toml:"aim_ms"`
	DeadlineS float64 `toml:"deadline_s"`
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	Repeat    string  `toml:"repeat"` // "safe" or "never"
}

// Tenant owns a share of the destinations.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Fault is one fault.
//
// On endpoints: down, silent, hang, shut, errors, slow, pauses, drain, gone, lower (a limit), hot. On nodes: kill, term, stop,
// hangup.
type Fault struct {
	What  string `toml:"what"`
	AtS   Range  `toml:"at_s"`
	ForS  Range  `toml:"for_s"`
	Part  Range  `toml:"part"`   // share of the traffic, or of the nodes
	Size  Range  `toml:"size"`   // depends on the fault: error share, slowdown factor, new share of the limit, or length of a pause in ms
	EachS Range  `toml:"each_s"` // pauses: seconds between two pauses; kill and term: between two nodes
	Lost  bool   `toml:"lost"`   // kill: the node's data directory is lost too
}

// Read reads a scenario file and checks it.
func Read(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("reading a scenario: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse parses and checks the text of a scenario file. Missing settings are taken from Default.
func Parse(text []byte) (Scenario, error) {
	s := Default()
	kinds, classes, tenants := s.Kinds, s.Classes, s.Tenants
	s.Kinds, s.Classes, s.Tenants = nil, nil, nil
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			var all []error
			for _, e := range strict.Errors {
				row, _ := e.Position()
				all = append(all, fmt.Errorf("line %d: unknown key %q", row, strings.Join(e.Key(), ".")))
			}
			return Scenario{}, errors.Join(all...)
		case errors.As(err, &wrong):
			row, _ := wrong.Position()
			return Scenario{}, fmt.Errorf("line %d: %s: %w", row, strings.Join(wrong.Key(), "."), err)
		}
		return Scenario{}, err
	}
	if s.Kinds == nil {
		s.Kinds = kinds
	}
	if s.Classes == nil {
		s.Classes = classes
	}
	if s.Tenants == nil {
		s.Tenants = tenants
	}
	if err := s.check(newLines(text)); err != nil {
		return Scenario{}, err
	}
	return s, nil
}

// Default returns a quiet day of the deployment that BRIEF describes, small enough for a quick try.
func Default() Scenario {
	return Scenario{
		Name: "default", LengthS: Range{20, 20},
		Nodes: Nodes{Count: 2, SlotsRoom: Range{2, 2.4}, Least: 3, HoldS: Range{8.5, 12}, LeastOpen: 12,
			MemoryMB: 192, Sockets: 1024, DiskMB: 3},
		Load: Load{Level: Range{0.4, 0.5}, Clumps: Range{0.072, 0.17}, ClumpS: Range{1.6, 3.5},
			BodyBytes: Range{50, 400}, AllowanceX: Range{0.77, 0.94}},
		Net:       Net{OneWayMs: Range{5, 15}, HandshakeRTTs: Range{2, 3}},
		Clients:   Clients{Retries: Range{1, 2.99}, BackoffMs: Range{410, 1400}, Honour: 0.75, AgainMs: Range{680, 1900}},
		Discovery: Discovery{NoticeS: Range{1.7, 4.4}},
		Rules: Rules{DrainGraceMs: 2000, FallMultiple: 1.5, FallMs: 3000, ColdFrom: Range{0.29, 0.41}, ColdS: Range{11, 14},
			MaxAttempts: 6, ConnectMs: 1000, IdleS: 15, MaxRetryAfterS: 3, TickMs: 5},
		Dest:    Dest{Count: Range{10, 13}, Endpoints: Range{1.8, 2.2}, Rate: Range{3.7, 4.8}, Zipf: Range{0.72, 0.88}},
		Reports: Reports{PeriodMs: Range{110, 500}, DelayMs: Range{43, 280}, Noise: Range{0.036, 0.12}},
		Kinds: []Kind{
			{Name: "payment-houses", Share: 1, Limit: "window", WindowMs: 1000, Headroom: Range{1.2, 2.2}, LeastRate: Range{2.2, 4},
				Spare: Range{1.2, 1.5}, DepthS: Range{0.48, 0.85}, TellsWait: Range{0.54, 0.96}, WaitMs: Range{290, 910},
				RefusedCount: true, Speed: Range{0.59, 0.8}, SlowCV: Range{0.35, 0.85}, ErrorRate: Range{0, 0.005}},
			{Name: "small-clubs", Share: 2, Limit: "window", WindowMs: 2000, Headroom: Range{1.2, 2.5}, LeastRate: Range{2.2, 4.6},
				Spare: Range{1.2, 1.5}, DepthS: Range{0.37, 0.76}, TellsWait: Range{0.12, 0.43}, WaitMs: Range{480, 930},
				Speed: Range{0.85, 1.1}, SlowCV: Range{0.31, 0.71}, ErrorRate: Range{0, 0.002}},
		},
		Classes: []Class{
			{Name: "charge", Share: 0.73, WorkMs: Range{160, 280}, CV: 0.9, AimMs: 4000, DeadlineS: 24, Worth: 1, LateWorth: 0.3, Repeat: "never"},
			{Name: "status", Share: 0.27, WorkMs: Range{160, 280}, CV: 1, AimMs: 3000, DeadlineS: 20, Worth: 1, LateWorth: 0.3, Repeat: "safe"},
		},
		Tenants: []Tenant{{"circolo-tennis-etna", 0.36}, {"lido-azzurro", 0.25}, {"golf-valle-alcantara", 0.17},
			{"club-nautico-ortigia", 0.13}, {"palestra-centro", 0.09}},
	}
}

// faults lists the known faults: whether each needs a length or a size, and whether it affects nodes.
var faults = map[string]struct{ length, size, node bool }{
	"down": {length: true}, "silent": {length: true}, "hang": {length: true}, "shut": {length: true},
	"errors": {length: true, size: true}, "slow": {length: true, size: true}, "pauses": {length: true, size: true},
	"drain": {}, "gone": {}, "lower": {length: true, size: true}, "hot": {length: true, size: true},
	"kill": {node: true}, "term": {node: true}, "stop": {length: true, node: true}, "hangup": {node: true},
}

// check validates the scenario and reports all errors at once.
func (s *Scenario) check(at lines) error {
	var all []error
	bad := func(key, form string, args ...any) {
		all = append(all, fmt.Errorf("%s%s: %s", at.of(key), key, fmt.Sprintf(form, args...)))
	}
	within := func(key string, r Range, least, most float64) {
		switch {
		case math.IsNaN(r[0]) || math.IsNaN(r[1]) || r[0] > r[1]:
			bad(key, "range %v: the minimum exceeds the maximum", r)
		case r[0] < least || r[1] > most:
			bad(key, "range %v must lie between %v and %v", r, least, most)
		}
	}
	within("length_s", s.LengthS, 1, 7200)
	if s.Nodes.Count < 1 || s.Nodes.Count > 1000 {
		bad("nodes.count", "%d must lie between 1 and 1000", s.Nodes.Count)
	}
	if s.Nodes.Members < 0 || s.Nodes.Members > 8 {
		bad("nodes.members", "%d must lie between 0 and 8", s.Nodes.Members)
	}
	within("nodes.slots_room", s.Nodes.SlotsRoom, 0.1, 100)
	within("nodes.hold_s", s.Nodes.HoldS, 0.1, 1000)
	within("load.level", s.Load.Level, 0.001, 10)
	within("load.clumps", s.Load.Clumps, 0, 1)
	within("load.body_bytes", s.Load.BodyBytes, 0, 64<<10)
	within("net.one_way_ms", s.Net.OneWayMs, 0, 10000)
	within("discovery.notice_s", s.Discovery.NoticeS, 0, 6)
	within("destinations.count", s.Dest.Count, 1, 1000)
	within("destinations.endpoints", s.Dest.Endpoints, 1, 16)
	within("destinations.rate", s.Dest.Rate, 0.01, 100000)
	within("rules.cold_from", s.Rules.ColdFrom, 0.01, 1)
	within("reports.period_ms", s.Reports.PeriodMs, 10, 60000)
	for i, k := range s.Kinds {
		key := fmt.Sprintf("kind[%d]", i)
		if k.Share < 1 {
			bad(key+".share", "%d must be at least 1", k.Share)
		}
		if k.Limit != "window" && k.Limit != "rate" && k.Limit != "none" {
			bad(key+".limit", `%q must be "window", "rate" or "none"`, k.Limit)
		}
		if k.Limit == "window" && k.WindowMs < 10 {
			bad(key+".window_ms", "%d must be at least 10", k.WindowMs)
		}
		within(key+".refuses", k.Refuses, 0, 1)
		within(key+".speed", k.Speed, 0.001, 1000)
		within(key+".headroom", k.Headroom, 0.01, 100)
		within(key+".spare", k.Spare, 0.1, 100)
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		if c.Repeat != "safe" && c.Repeat != "never" {
			bad(key+".repeat", `%q must be "safe" or "never"`, c.Repeat)
		}
		if c.DeadlineS*1000 < c.AimMs {
			bad(key+".deadline_s", "the deadline is shorter than the aim")
		}
		within(key+".work_ms", c.WorkMs, 0.01, 600000)
	}
	if s.Fleet.Seeds < 0 || s.Fleet.Seeds > s.Nodes.Count {
		bad("fleet.seeds", "%d seeds, but only %d nodes", s.Fleet.Seeds, s.Nodes.Count)
	}
	if s.Fleet.Seeds > 0 && s.Nodes.Count > network.MaxRelays {
		bad("nodes.count", "%d nodes: a fleet supports at most %d", s.Nodes.Count, network.MaxRelays)
	}
	for i, f := range s.Fleet.Faults {
		key := fmt.Sprintf("fleet.fault[%d]", i)
		within(key+".at_s", f.AtS, 0, s.LengthS[1])
		within(key+".for_s", f.ForS, 0, 7200)
		within(key+".each_s", f.EachS, 0, 7200)
		if f.What == RemoveMember {
			if len(f.Nodes) != 2 || f.Nodes[0] == f.Nodes[1] || min(f.Nodes[0], f.Nodes[1]) < 0 || max(f.Nodes[0], f.Nodes[1]) >= s.Nodes.Count {
				bad(key+".nodes", "%v: needs two different nodes, the one that is notified and the one that is removed", f.Nodes)
			}
		} else if err := f.Pattern().Check(s.Nodes.Count); err != nil {
			bad(key+".what", "%v", err)
		}
	}
	for i, f := range s.Faults {
		key := fmt.Sprintf("fault[%d]", i)
		need, known := faults[f.What]
		if !known {
			bad(key+".what", "%q is not a known fault", f.What)
			continue
		}
		within(key+".at_s", f.AtS, 0, s.LengthS[1])
		if need.length {
			within(key+".for_s", f.ForS, 0.001, 7200)
		}
		if need.size {
			within(key+".size", f.Size, 0, 100000)
		}
		within(key+".part", f.Part, 0, 1)
	}
	return errors.Join(all...)
}

// OnNodes reports whether the fault affects nodes rather than endpoints.
func (f Fault) OnNodes() bool { return faults[f.What].node }
