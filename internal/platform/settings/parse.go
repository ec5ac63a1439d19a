package settings

import (
	"errors"
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// defaultHeartbeatMs is the default of beat_every_ms.
const defaultHeartbeatMs = 1200

// Read reads a settings file. Its errors are of the class Invalid.
func Read(path string) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// readFile reads the file; its error names the remedy.
func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Invalid.New("%w; DUNETIDE_CONFIG must name the settings file", err)
	}
	return text, nil
}

// Parse parses the text of a settings file; errors contain its name. Unknown keys are ignored; if a key occurs more
// than once, the last line counts.
func Parse(text []byte, name string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	values, err := loader.LoadBytes(text)
	if err != nil {
		return nil, Invalid.New("%s: %w; write lines of the form a.b=value", name, err)
	}
	r := reader{values: values, name: name, lines: lineNumbers(text)}
	s := r.settings()
	r.checkIP(s.IP)
	r.checkSeeds(s.Seeds)
	s.FirstInternalPort, s.LastInternalPort = r.ports("internal_ports")
	if err := errors.Join(r.problems...); err != nil {
		return nil, Invalid.Wrap(err)
	}
	return s, nil
}

// settings reads all keys except internal_ports, as a table with one key per line.
func (r *reader) settings() *Settings {
	return &Settings{
		NodeName:          r.required("node_name", "the node's name"),
		Role:              r.text("role"),
		MachineClass:      r.text("machine_class"),
		Serves:            r.list("serves"),
		IP:                r.required("ip", "the machine's address, such as 10.0.0.7"),
		Zone:              r.text("zone"),
		Region:            r.text("region"),
		Zones:             r.zones(),
		FrontAddr:         r.address("listen_on.front"),
		ReadyAddr:         r.address("listen_on.ready"),
		ControlAddr:       r.address("listen_on.control"),
		Seeds:             r.list("seeds"),
		FirstStart:        r.flag("first_start"),
		CountsLoss:        r.flag("counts_loss"),
		DataDir:           r.text("data_dir"),
		HeartbeatInterval: time.Duration(r.count("beat_every_ms", 1, defaultHeartbeatMs)) * time.Millisecond,
		RulesInForce:      r.list("rules_in_force"),
		SurviveMachines:   r.count("survive.machines", 0, 0),
		SurviveZones:      r.count("survive.zones", 0, 0),
		SurviveRegions:    r.count("survive.regions", 0, 0),
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
}

func (r *reader) checkIP(ip string) {
	if _, err := netip.ParseAddr(ip); ip != "" && err != nil {
		r.invalid("ip", "an IP address, such as 10.0.0.7")
	}
}

func (r *reader) checkSeeds(seeds []string) {
	for _, seed := range seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			r.invalid("seeds", "addresses with ports, such as 10.0.0.7:8003, joined by commas")
			return
		}
	}
}

// zones reads the regions of the zones. The name of a zone is part of the key.
func (r *reader) zones() map[string]string {
	const prefix = "zones."
	regions := map[string]string{}
	for _, key := range r.values.Keys() {
		zone, ok := strings.CutPrefix(key, prefix)
		if !ok || zone == "" {
			continue
		}
		if regions[zone] = r.text(key); regions[zone] == "" {
			r.missing(key, "the zone's region")
		}
	}
	return regions
}

// bounds reads the bounds of the rules, from a table of keys and defaults.
func (r *reader) bounds() Bounds {
	const ms = time.Millisecond
	b := Bounds{
		QuotaExcess: r.number("bounds.quota_excess", 0, 0.1),
		QuotaSlack:  r.number("bounds.quota_slack", 0, 0),
	}
	for _, bound := range []struct {
		target       *time.Duration
		key          string
		defaultValue time.Duration
	}{
		{&b.ListLag, "bounds.list_lag_s", 3 * time.Second},
		{&b.ReuseAfter, "bounds.reuse_after_s", 2 * time.Second},
		{&b.InTouch, "bounds.in_touch_ms", 3000 * ms},
		{&b.Ack, "bounds.ack_ms", 4000 * ms},
		{&b.CatchUp, "bounds.catch_up_s", 5 * time.Second},
		{&b.Drain, "bounds.drain_ms", 2000 * ms},
		{&b.Grace, "bounds.grace_s", 8 * time.Second},
		{&b.LostSlack, "bounds.lost_slack_ms", 200 * ms},
		{&b.Apply, "bounds.apply_ms", 2000 * ms},
		{&b.RevertSlack, "bounds.revert_slack_ms", 250 * ms},
		{&b.Stretch, "bounds.stretch_ms", 5000 * ms},
		{&b.Recovery, "bounds.recovery_s", 12 * time.Second},
		{&b.Pass, "bounds.pass_ms", 120 * ms},
		{&b.FinishBy, "bounds.finish_by_s", 10 * time.Second},
		{&b.StatusEvery, "bounds.status_every_s", 120 * time.Second},
		{&b.QuotaWindow, "bounds.quota_window_s", 5 * time.Second},
		{&b.Cancel, "bounds.cancel_ms", 3000 * ms},
		{&b.JobKnown, "bounds.settle_ms", 1000 * ms},
	} {
		*bound.target = r.duration(bound.key, bound.defaultValue)
	}
	return b
}

// duration reads a duration whose unit is the suffix of its key: _ms or _s.
func (r *reader) duration(key string, defaultValue time.Duration) time.Duration {
	unit := time.Millisecond
	if strings.HasSuffix(key, "_s") {
		unit = time.Second
	}
	value := r.number(key, 0, float64(defaultValue)/float64(unit))
	return time.Duration(math.Round(value * float64(unit)))
}
