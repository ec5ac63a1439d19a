// Package settings thin, until the checked one lands.
package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

type Bounds struct {
	Grace, StatusEvery, Drain time.Duration
}
type Settings struct {
	NodeName, Role, MachineClass, IP, Zone, Region string
	Serves, Seeds                                  []string
	Front, Ready, Control, DataDir                 string
	InternalFirst, InternalLast                    int
	FirstStart                                     bool
	MemoryMB, DiskMB, BeatEveryMs, SurviveMachines int
	Bounds                                         Bounds
}

func Read(path string) (*Settings, error) {
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadFile(path)
	if err != nil {
		return nil, err
	}
	g := func(k string) string { return p.GetString(k, "") }
	n := func(k string) int { f, _ := strconv.ParseFloat(g(k), 64); return int(f) }
	a, b, _ := strings.Cut(g("internal_ports"), ",")
	first, _ := strconv.Atoi(a)
	last, _ := strconv.Atoi(b)
	return &Settings{NodeName: g("node_name"), Role: g("role"), IP: g("ip"), Zone: g("zone"), Seeds: strings.Split(g("seeds"), ","),
		Serves: strings.Split(g("serves"), ","), Front: g("listen_on.front"), Ready: g("listen_on.ready"), Control: g("listen_on.control"),
		DataDir: g("data_dir"), InternalFirst: first, InternalLast: last, FirstStart: g("first_start") == "true", MemoryMB: n("limits.memory_mb"),
		DiskMB: n("limits.disk_mb"), BeatEveryMs: n("beat_every_ms"), SurviveMachines: n("survive.machines"),
		Bounds: Bounds{Grace: time.Duration(n("bounds.grace_s")) * time.Second, StatusEvery: time.Duration(n("bounds.status_every_s")) * time.Second}}, nil
}
