package settings

import (
	"time"

	"github.com/zeebo/errs"
)

// Invalid is the class of errors about an invalid settings file. They name the lines and what to write instead.
var Invalid = errs.Class("settings")

// Settings are the parameters of a process. The comments begin with the keys of the file. A key that is absent is
// empty, 0 or false unless another default is given. Lists are separated by commas. Keys whose comments end in
// "unused" are only validated.
type Settings struct {
	NodeName     string            // node_name: the node's name; required
	Role         string            // role: the role of the process; only printed by dunetide check
	MachineClass string            // machine_class: kind of machine, such as edge; unused
	Serves       []string          // serves: list, such as edge or control; only printed by dunetide check
	IP           string            // ip: the machine's address, such as 10.0.0.7; required
	Zone         string            // zone: the machine's failure domain
	Region       string            // region: of the zone; unused
	Zones        map[string]string // zones.ZONE: the region of each zone; unused

	FrontAddr   string // listen_on.front: ip:port for clients; empty: no clients are served
	ReadyAddr   string // listen_on.ready: ip:port for the platform's readiness check
	ControlAddr string // listen_on.control: ip:port for endpoints and operators, at a keeper

	// internal_ports: the first and the last port for traffic between nodes, such as 7000,7015; required.
	FirstInternalPort, LastInternalPort int

	Seeds             []string      // seeds: list of control addresses of keepers (ip:port)
	FirstStart        bool          // first_start: true only when the whole tier starts for the first time
	CountsLoss        bool          // counts_loss: the machine counts towards survive.machines; unused
	Limits            Limits        // limits.*
	DataDir           string        // data_dir: the folder for durable state; empty: the machine has no disk
	HeartbeatInterval time.Duration // beat_every_ms: interval between heartbeats of an endpoint, whole ms from 1; default 1,200
	RulesInForce      []string      // rules_in_force: list of the platform's rules that apply; unused

	// How many failures at the same time the tier's guarantees withstand.

	SurviveMachines int // survive.machines: machines with counts_loss
	SurviveZones    int // survive.zones: whole zones; unused
	SurviveRegions  int // survive.regions: whole regions; unused

	Bounds Bounds // bounds.*
}

// Limits are the resource limits of the process. 0 means that no limit is known.
type Limits struct {
	CPUShare    float64 // limits.cpu_share: of a core, above 0; default 1; unused
	CPUCores    float64 // limits.cpu_cores: speed of that core, relative and above 0; default 1; unused
	MemoryMB    int     // limits.memory_mb: MiB; fractions are rounded down
	OpenFiles   int     // limits.open_files: file descriptors
	NetworkMbps float64 // limits.network_mbps: of the machine's link, in Mbit/s; unused
	DiskMB      int     // limits.disk_mb: of data_dir, in MiB; fractions are rounded down
}

// Bounds are the bounds of the platform's rules, by which the platform judges the tier. Their keys begin with bounds,
// as in bounds.list_lag_s. A key that ends in _ms or _s is a duration in that unit and may have a fraction; the
// comments give the key, the default and the meaning. The process uses CatchUp, Drain, Grace, StatusEvery and the
// three of quotas; the others are unused.
type Bounds struct {
	ListLag     time.Duration // list_lag_s: 3 s; lag of the operator's list of control addresses
	ReuseAfter  time.Duration // reuse_after_s: 2 s; until the address of a terminated endpoint may be reused
	InTouch     time.Duration // in_touch_ms: 3,000 ms; from the last fault until time bounds hold again
	Ack         time.Duration // ack_ms: 4,000 ms; for an acknowledgement
	CatchUp     time.Duration // catch_up_s: 5 s; for repair after a loss; keepers replace a voter that is lost for half of it
	Drain       time.Duration // drain_ms: 2,000 ms; for an endpoint to start draining; unconfirmed certificates are stale by then
	Grace       time.Duration // grace_s: 8 s; from SIGTERM to SIGKILL; graceful shutdown ends within it
	LostSlack   time.Duration // lost_slack_ms: 200 ms; for a request whose connection ends around planned work
	Apply       time.Duration // apply_ms: 2,000 ms; from a configuration's acknowledgement until it is in force
	RevertSlack time.Duration // revert_slack_ms: 250 ms; for requests under a configuration older than the one in force
	Stretch     time.Duration // stretch_ms: 5,000 ms; added to apply_ms while part of the machines is faulty
	Recovery    time.Duration // recovery_s: 12 s; from the return of lost machines until requests are served
	Pass        time.Duration // pass_ms: 120 ms; for an event of a stream on its way through the tier
	FinishBy    time.Duration // finish_by_s: 10 s; for batch jobs after the end of traffic
	StatusEvery time.Duration // status_every_s: 120 s; stores keep a batch job that long after it was submitted
	Cancel      time.Duration // cancel_ms: 3,000 ms; from a batch job's acknowledged end until no item of it starts
	JobKnown    time.Duration // settle_ms: 1,000 ms; from a batch job's 202 until the job is visible on all machines

	QuotaExcess float64       // quota_excess: 0.1; the share by which a quota may be exceeded
	QuotaSlack  float64       // quota_slack: 0; requests of a tenant that may run in a window beyond its limit and QuotaExcess
	QuotaWindow time.Duration // quota_window_s: 5 s; the window in which the requests of a tenant are counted
}
