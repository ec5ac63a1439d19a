package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const requiredLines = "node_name=n\nip=10.0.0.7\ninternal_ports=7000,7015\n"

// TestKeys checks every key of the settings file: its default, how a value is parsed, and the error for an invalid
// value. Durations are in the unit of the key's suffix.
func TestKeys(t *testing.T) {
	const (
		required = "required" // see TestRequiredKeys
		anything = ""         // no value is invalid
		address  = "write an address with a port, such as 10.0.0.7:8001"
		flag     = "write true or false"
		count    = "write a number from 0 to 2147483647"
		positive = "write a number above 0"
	)
	type key struct {
		name    string
		absent  string // the value if the key is absent
		value   string // a valid value
		means   string // the parsed value
		invalid string // an invalid value
		remedy  string // the end of the error message
		get     func(*Settings) any
	}
	keys := []key{
		{"node_name", required, "x", "x", anything, "", func(s *Settings) any { return s.NodeName }},
		{"role", "", "proxy", "proxy", anything, "", func(s *Settings) any { return s.Role }},
		{"machine_class", "", "edge", "edge", anything, "", func(s *Settings) any { return s.MachineClass }},
		{"serves", "[]", "edge, control", "[edge control]", anything, "", func(s *Settings) any { return s.Serves }},
		{"ip", required, "10.0.0.8", "10.0.0.8", "x", "write an IP address, such as 10.0.0.7", func(s *Settings) any { return s.IP }},
		{"zone", "", "north", "north", anything, "", func(s *Settings) any { return s.Zone }},
		{"region", "", "east", "east", anything, "", func(s *Settings) any { return s.Region }},
		{"zones.north", "map[]", "east", "map[north:east]", anything, "", func(s *Settings) any { return s.Zones }},
		{"listen_on.front", "", "10.0.0.7:1", "10.0.0.7:1", "10.0.0.7", address, func(s *Settings) any { return s.FrontAddr }},
		{"listen_on.ready", "", "10.0.0.7:2", "10.0.0.7:2", "10.0.0.7", address, func(s *Settings) any { return s.ReadyAddr }},
		{"listen_on.control", "", "10.0.0.7:3", "10.0.0.7:3", "10.0.0.7", address, func(s *Settings) any { return s.ControlAddr }},
		{"internal_ports", required, "8000,8015", "[8000 8015]", "8015,8000", "write the first and the last port, such as 7000,7015",
			func(s *Settings) any { return []int{s.FirstInternalPort, s.LastInternalPort} }},
		{"seeds", "[]", "10.0.0.7:3,10.0.0.8:3", "[10.0.0.7:3 10.0.0.8:3]", "10.0.0.7", "write addresses with ports, such as 10.0.0.7:8003, joined by commas",
			func(s *Settings) any { return s.Seeds }},
		{"first_start", "false", "true", "true", "yes", flag, func(s *Settings) any { return s.FirstStart }},
		{"counts_loss", "false", "true", "true", "1", flag, func(s *Settings) any { return s.CountsLoss }},
		{"data_dir", "", "/data/x", "/data/x", anything, "", func(s *Settings) any { return s.DataDir }},
		{"beat_every_ms", "1200", "900", "900", "0", "write a number from 1 to 2147483647", func(s *Settings) any { return s.HeartbeatInterval.Milliseconds() }},
		{"rules_in_force", "[]", "base,drain", "[base drain]", anything, "", func(s *Settings) any { return s.RulesInForce }},
		{"survive.machines", "0", "2", "2", "-1", count, func(s *Settings) any { return s.SurviveMachines }},
		{"survive.zones", "0", "1", "1", "x", count, func(s *Settings) any { return s.SurviveZones }},
		{"survive.regions", "0", "1", "1", "NaN", count, func(s *Settings) any { return s.SurviveRegions }},
		{"limits.cpu_share", "1", "0.064", "0.064", "0", positive, func(s *Settings) any { return s.Limits.CPUShare }},
		{"limits.cpu_cores", "1", "2.5", "2.5", "0", positive, func(s *Settings) any { return s.Limits.CPUCores }},
		{"limits.memory_mb", "0", "97.9", "97", "-1", count, func(s *Settings) any { return s.Limits.MemoryMB }},
		{"limits.open_files", "0", "4000", "4000", "-1", count, func(s *Settings) any { return s.Limits.OpenFiles }},
		{"limits.network_mbps", "0", "12.5", "12.5", "-1", count, func(s *Settings) any { return s.Limits.NetworkMbps }},
		{"limits.disk_mb", "0", "63", "63", "-1", count, func(s *Settings) any { return s.Limits.DiskMB }},
		{"bounds.quota_excess", "0.1", "0.25", "0.25", "-1", count, func(s *Settings) any { return s.Bounds.QuotaExcess }},
		{"bounds.quota_slack", "0", "20", "20", "-1", count, func(s *Settings) any { return s.Bounds.QuotaSlack }},
		{"bounds.quota_window_s", "5s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.QuotaWindow }},
		{"bounds.list_lag_s", "3s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.ListLag }},
		{"bounds.reuse_after_s", "2s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.ReuseAfter }},
		{"bounds.in_touch_ms", "3s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.InTouch }},
		{"bounds.ack_ms", "4s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.Ack }},
		{"bounds.catch_up_s", "5s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.CatchUp }},
		{"bounds.drain_ms", "2s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.Drain }},
		{"bounds.grace_s", "8s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.Grace }},
		{"bounds.lost_slack_ms", "200ms", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.LostSlack }},
		{"bounds.apply_ms", "2s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.Apply }},
		{"bounds.revert_slack_ms", "250ms", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.RevertSlack }},
		{"bounds.stretch_ms", "5s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.Stretch }},
		{"bounds.recovery_s", "12s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.Recovery }},
		{"bounds.pass_ms", "120ms", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.Pass }},
		{"bounds.finish_by_s", "10s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.FinishBy }},
		{"bounds.status_every_s", "2m0s", "1.5", "1.5s", "-1", count, func(s *Settings) any { return s.Bounds.StatusEvery }},
		{"bounds.cancel_ms", "3s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.Cancel }},
		{"bounds.settle_ms", "1s", "1.5", "1.5ms", "-1", count, func(s *Settings) any { return s.Bounds.JobKnown }},
	}
	for _, k := range keys {
		t.Run(k.name, func(t *testing.T) {
			if k.absent != required {
				s, err := Parse([]byte(requiredLines), "boot.conf")
				if err != nil {
					t.Fatal(err)
				}
				if got := fmt.Sprint(k.get(s)); got != k.absent {
					t.Errorf("the default is %s, want %s", got, k.absent)
				}
			}
			s, err := Parse([]byte(requiredLines+k.name+"="+k.value), "boot.conf")
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(k.get(s)); got != k.means {
				t.Errorf("%s is parsed as %s, want %s", k.value, got, k.means)
			}
			if k.invalid == anything {
				return
			}
			_, err = Parse([]byte(requiredLines+k.name+"="+k.invalid), "boot.conf")
			want := fmt.Sprintf("settings: boot.conf, line 4: %s=%s; %s", k.name, k.invalid, k.remedy)
			if !Invalid.Has(err) || err.Error() != want {
				t.Errorf("%s: %v, want %s", k.invalid, err, want)
			}
		})
	}

	all := requiredLines
	for _, k := range keys {
		all += k.name + "=" + k.value + "\n"
	}
	checkEachFieldDiffers(t, all)
}

// checkEachFieldDiffers checks that a file with all keys gives each field another value than a file with only the
// required keys, so that no field is without a key.
func checkEachFieldDiffers(t *testing.T, all string) {
	t.Helper()
	least, err := Parse([]byte(requiredLines), "boot.conf")
	if err != nil {
		t.Fatal(err)
	}
	most, err := Parse([]byte(all), "boot.conf")
	if err != nil {
		t.Fatal(err)
	}
	var compare func(path string, a, b reflect.Value)
	compare = func(path string, a, b reflect.Value) {
		for i := range a.NumField() {
			name := path + a.Type().Field(i).Name
			if a.Field(i).Kind() == reflect.Struct {
				compare(name+".", a.Field(i), b.Field(i))
			} else if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
				t.Errorf("%s is %v in both files: no key of the table sets it", name, a.Field(i))
			}
		}
	}
	compare("", reflect.ValueOf(*least), reflect.ValueOf(*most))
}

// TestRequiredKeys checks the keys without which a process does not start.
func TestRequiredKeys(t *testing.T) {
	for key, remedy := range map[string]string{
		"node_name":      "the node's name",
		"ip":             "the machine's address, such as 10.0.0.7",
		"internal_ports": "the first and the last port, such as 7000,7015",
	} {
		var lines string
		for line := range strings.Lines(requiredLines) {
			if !strings.HasPrefix(line, key+"=") {
				lines += line
			}
		}
		_, err := Parse([]byte(lines), "boot.conf")
		if want := fmt.Sprintf("settings: boot.conf: %s is missing; add a line %s= with %s", key, key, remedy); !Invalid.Has(err) || err.Error() != want {
			t.Errorf("absent: %v, want %s", err, want)
		}
		_, err = Parse([]byte(lines+key+"=\n"), "boot.conf")
		if want := fmt.Sprintf("settings: boot.conf, line 3: %s is empty; write %s behind it", key, remedy); !Invalid.Has(err) || err.Error() != want {
			t.Errorf("empty: %v, want %s", err, want)
		}
	}
}

// TestEmptyRegionOfZone checks the only optional key that must not be empty if it is present.
func TestEmptyRegionOfZone(t *testing.T) {
	_, err := Parse([]byte(requiredLines+"zones.north=\n"), "boot.conf")
	if !Invalid.Has(err) || !strings.Contains(err.Error(), "boot.conf, line 4: zones.north is empty; write the zone's region behind it") {
		t.Error(err)
	}
}
