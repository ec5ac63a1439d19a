// Package settings reads the settings file of a process.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/zeebo/errs"
)

// Invalid is about a settings file that can't be used. It names the lines and what would be right.
var Invalid = errs.Class("settings")

// Settings are what a process is told at its start. What the file doesn't tell is zero, if nothing
// else is said.
type Settings struct {
	NodeName     string // always told
	Role         string
	MachineClass string
	Serves       []string
	IP           string // always told
	Zone         string
	Region       string
	Zones        map[string]string // zone to region

	// Addresses to listen on; empty: what they are for isn't served.
	FrontAddr, ReadyAddr, ControlAddr string

	FirstInternalPort, LastInternalPort int // ports between nodes; always told

	Seeds        []string // control addresses
	FirstStart   bool
	CountsLoss   bool
	Limits       Limits
	DataDir      string // empty: no disk
	BeatEveryMs  int    // 1,200 if not told
	RulesInForce []string

	SurviveMachines, SurviveZones, SurviveRegions int

	Bounds Bounds
}

// Limits are what the process may use. 0: not told.
type Limits struct {
	CPUShare    float64 // 1 if not told
	CPUCores    float64 // 1 if not told
	MemoryMB    int
	OpenFiles   int
	NetworkMbps float64
	DiskMB      int
}

// Bounds are the figures of the rules. Those that aren't told are as in the example of the platform.
type Bounds struct {
	ListLag, ReuseAfter, InTouch, Ack, CatchUp, Drain, Grace, LostSlack, Apply, RevertSlack, Stretch time.Duration

	Recovery, Pass, FinishBy, StatusEvery, Cancel, JobKnown time.Duration

	QuotaExcess float64
}

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	text, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads settings that stand under a name. Unknown fields are ignored.
func Parse(b []byte, name string) (*Settings, error) {
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadBytes(b)
	if err != nil {
		return nil, Invalid.New("%s: %w; write lines of the form a.b=value", name, err)
	}
	r := reader{p: p, name: name, lines: lines(b)}
	s := &Settings{
		NodeName:        r.required("node_name", "the node's name"),
		Role:            r.text("role"),
		MachineClass:    r.text("machine_class"),
		Serves:          r.list("serves"),
		IP:              r.required("ip", "the machine's address, such as 10.0.0.7"),
		Zone:            r.text("zone"),
		Region:          r.text("region"),
		Zones:           r.zones(),
		FrontAddr:       r.address("listen_on.front"),
		ReadyAddr:       r.address("listen_on.ready"),
		ControlAddr:     r.address("listen_on.control"),
		Seeds:           r.list("seeds"),
		FirstStart:      r.flag("first_start"),
		CountsLoss:      r.flag("counts_loss"),
		DataDir:         r.text("data_dir"),
		BeatEveryMs:     r.count("beat_every_ms", 1, 1200),
		RulesInForce:    r.list("rules_in_force"),
		SurviveMachines: r.count("survive.machines", 0, 0),
		SurviveZones:    r.count("survive.zones", 0, 0),
		SurviveRegions:  r.count("survive.regions", 0, 0),
		Limits: Limits{
			CPUShare:    r.positive("limits.cpu_share", 1),
			CPUCores:    r.positive("limits.cpu_cores", 1),
			MemoryMB:    r.count("limits.memory_mb", 0, 0),
			OpenFiles:   r.count("limits.open_files", 0, 0),
			NetworkMbps: r.number("limits.network_mbps", 0, 0),
			DiskMB:      r.count("limits.disk_mb", 0, 0),
		},
		Bounds: r.bounds(),
	}
	if _, err := netip.ParseAddr(s.IP); s.IP != "" && err != nil {
		r.wrong("ip", "an IP address, such as 10.0.0.7")
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.wrong("seeds", "addresses with ports, such as 10.0.0.7:8003, joined by commas")
			break
		}
	}
	s.FirstInternalPort, s.LastInternalPort = r.ports("internal_ports")
	if err := errors.Join(r.problems...); err != nil {
		return nil, Invalid.Wrap(err)
	}
	return s, nil
}

// reader reads fields and gathers what is wrong with them.
type reader struct {
	p        *properties.Properties
	name     string
	lines    map[string]int
	problems []error
}

// lines tells on which line each field stands; the last one counts.
func lines(b []byte) map[string]int {
	all := map[string]int{}
	n := 0
	for line := range strings.Lines(string(b)) {
		n++
		line = strings.TrimSpace(line)
		if i := strings.IndexAny(line, "=: \t\f"); i >= 0 {
			line = line[:i]
		}
		all[line] = n
	}
	return all
}

func (r *reader) text(field string) string { return strings.TrimSpace(r.p.GetString(field, "")) }

func (r *reader) required(field, what string) string {
	s := r.text(field)
	if s == "" {
		r.missing(field, what)
	}
	return s
}

func (r *reader) missing(field, what string) {
	if n := r.lines[field]; n > 0 {
		r.problems = append(r.problems, fmt.Errorf("%s, line %d: %s is empty; write %s behind it", r.name, n, field, what))
		return
	}
	r.problems = append(r.problems, fmt.Errorf("%s: %s is missing; add a line %s= with %s", r.name, field, field, what))
}

func (r *reader) wrong(field, right string) {
	r.problems = append(r.problems, fmt.Errorf("%s, line %d: %s=%s; write %s", r.name, r.lines[field], field, r.text(field), right))
}

func (r *reader) list(field string) (all []string) {
	for s := range strings.SplitSeq(r.text(field), ",") {
		if s = strings.TrimSpace(s); s != "" {
			all = append(all, s)
		}
	}
	return all
}

func (r *reader) zones() map[string]string {
	const prefix = "zones."
	all := map[string]string{}
	for _, field := range r.p.Keys() {
		zone, ok := strings.CutPrefix(field, prefix)
		if !ok || zone == "" {
			continue
		}
		if all[zone] = r.text(field); all[zone] == "" {
			r.missing(field, "the zone's region")
		}
	}
	return all
}

func (r *reader) address(field string) string {
	s := r.text(field)
	if _, err := netip.ParseAddrPort(s); s != "" && err != nil {
		r.wrong(field, "an address with a port, such as 10.0.0.7:8001")
	}
	return s
}

func (r *reader) ports(field string) (first, last int) {
	const right = "the first and the last port, such as 7000,7015"
	all := r.list(field)
	if len(all) == 0 {
		r.missing(field, right)
		return 0, 0
	}
	port := func(s string) int {
		n, _ := strconv.ParseUint(s, 10, 16)
		return int(n) // 0 if it is none
	}
	first = port(all[0])
	if len(all) == 2 {
		last = port(all[1])
	}
	if first < 1 || last < first {
		r.wrong(field, right)
	}
	return first, last
}

func (r *reader) flag(field string) bool {
	s := r.text(field)
	if s != "" && s != "true" && s != "false" {
		r.wrong(field, "true or false")
	}
	return s == "true"
}

// number is a number from least on; missing is what counts where it isn't told.
func (r *reader) number(field string, least, missing float64) float64 {
	s := r.text(field)
	if s == "" {
		return missing
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || f < least || f > math.MaxInt32 {
		r.wrong(field, fmt.Sprintf("a number from %v to %d", least, math.MaxInt32))
		return missing
	}
	return f
}

func (r *reader) positive(field string, missing float64) float64 {
	f := r.number(field, 0, missing)
	if f == 0 {
		r.wrong(field, "a number above 0")
	}
	return f
}

// count is number for whole numbers; fractions are rounded down.
func (r *reader) count(field string, least, missing int) int {
	return int(r.number(field, float64(least), float64(missing)))
}

func (r *reader) bounds() Bounds {
	const ms = time.Millisecond
	b := Bounds{QuotaExcess: r.number("bounds.quota_excess", 0, 0.1)}
	for _, f := range []struct {
		to      *time.Duration
		field   string
		missing time.Duration
	}{
		{&b.ListLag, "list_lag_s", 3 * time.Second},
		{&b.ReuseAfter, "reuse_after_s", 2 * time.Second},
		{&b.InTouch, "in_touch_ms", 3000 * ms},
		{&b.Ack, "ack_ms", 4000 * ms},
		{&b.CatchUp, "catch_up_s", 5 * time.Second},
		{&b.Drain, "drain_ms", 2000 * ms},
		{&b.Grace, "grace_s", 8 * time.Second},
		{&b.LostSlack, "lost_slack_ms", 200 * ms},
		{&b.Apply, "apply_ms", 2000 * ms},
		{&b.RevertSlack, "revert_slack_ms", 250 * ms},
		{&b.Stretch, "stretch_ms", 5000 * ms},
		{&b.Recovery, "recovery_s", 12 * time.Second},
		{&b.Pass, "pass_ms", 120 * ms},
		{&b.FinishBy, "finish_by_s", 10 * time.Second},
		{&b.StatusEvery, "status_every_s", 120 * time.Second},
		{&b.Cancel, "cancel_ms", 3000 * ms},
		{&b.JobKnown, "settle_ms", 1000 * ms},
	} {
		unit := ms
		if strings.HasSuffix(f.field, "_s") {
			unit = time.Second
		}
		told := r.number("bounds."+f.field, 0, float64(f.missing)/float64(unit))
		*f.to = time.Duration(math.Round(told * float64(unit)))
	}
	return b
}
