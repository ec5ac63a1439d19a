package settings

import "reflect"

// Effect is when a changed field of the settings file takes effect.
type Effect int

const (
	// Reloadable fields take effect in a running process.
	Reloadable Effect = iota
	// NeedsRestart fields take effect at the next start of the process.
	NeedsRestart
)

// Change is a field of the settings file whose value has changed.
type Change struct {
	Field  string // its key, or the common prefix of the keys of a group
	Effect Effect
}

// field is a field, or a group of fields, of the settings file.
type field struct {
	name   string
	effect Effect
	value  func(*Settings) any
}

// fields are all fields that are compared. first_start is not among them: it concerns only the start of the process,
// and the platform changes it while the process runs.
var fields = []field{
	{"seeds", Reloadable, func(s *Settings) any { return s.Seeds }},
	{"limits.memory_mb", Reloadable, func(s *Settings) any { return s.Limits.MemoryMB }},
	{"node_name", NeedsRestart, func(s *Settings) any { return s.NodeName }},
	{"role", NeedsRestart, func(s *Settings) any { return s.Role }},
	{"machine_class", NeedsRestart, func(s *Settings) any { return s.MachineClass }},
	{"serves", NeedsRestart, func(s *Settings) any { return s.Serves }},
	{"ip", NeedsRestart, func(s *Settings) any { return s.IP }},
	{"zone", NeedsRestart, func(s *Settings) any { return s.Zone }},
	{"region", NeedsRestart, func(s *Settings) any { return s.Region }},
	{"zones", NeedsRestart, func(s *Settings) any { return s.Zones }},
	{"listen_on.front", NeedsRestart, func(s *Settings) any { return s.FrontAddr }},
	{"listen_on.ready", NeedsRestart, func(s *Settings) any { return s.ReadyAddr }},
	{"listen_on.control", NeedsRestart, func(s *Settings) any { return s.ControlAddr }},
	{"internal_ports", NeedsRestart, func(s *Settings) any { return [2]int{s.FirstInternalPort, s.LastInternalPort} }},
	{"counts_loss", NeedsRestart, func(s *Settings) any { return s.CountsLoss }},
	{"data_dir", NeedsRestart, func(s *Settings) any { return s.DataDir }},
	{"beat_every_ms", NeedsRestart, func(s *Settings) any { return s.HeartbeatInterval }},
	{"rules_in_force", NeedsRestart, func(s *Settings) any { return s.RulesInForce }},
	{"survive", NeedsRestart, func(s *Settings) any {
		return [3]int{s.SurviveMachines, s.SurviveZones, s.SurviveRegions}
	}},
	{"limits", NeedsRestart, func(s *Settings) any {
		limits := s.Limits
		limits.MemoryMB = 0
		return limits
	}},
	{"bounds", NeedsRestart, func(s *Settings) any { return s.Bounds }},
}

// Diff returns the fields whose values differ, in the order of the table fields.
func Diff(before, after *Settings) []Change {
	var changes []Change
	for _, f := range fields {
		if !reflect.DeepEqual(f.value(before), f.value(after)) {
			changes = append(changes, Change{f.name, f.effect})
		}
	}
	return changes
}

// applyReloadable returns the settings in force with the Reloadable fields replaced by those of a newer file.
func applyReloadable(inForce, newer *Settings) *Settings {
	merged := *inForce
	merged.Seeds = newer.Seeds
	merged.Limits.MemoryMB = newer.Limits.MemoryMB
	return &merged
}
