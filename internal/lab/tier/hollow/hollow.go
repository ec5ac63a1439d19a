// Package hollow measures how the cost of the control plane grows with the size of the tier. It runs real keepers and stores,
// and many hollow proxies and endpoints within the lab's process. The term comes from Kubernetes' kubemark, whose hollow nodes
// run the control side of a node without its workload. A hollow proxy is attached to keepers, holds a snapshot and is a member
// of the cluster, but has no clients; a hollow endpoint only sends heartbeats.
package hollow

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/operator"
	"dunetide/internal/lab/wait"
)

const (
	maxConverge = 60 * time.Second // until all endpoints and proxies are known
	maxInForce  = 12 * time.Second // until a configuration is in force at all proxies
	maxDrain    = 5 * time.Second  // until all proxies know that an endpoint drains
	maxAttach   = 30 * time.Second // until all proxies are attached twice again after the loss of a keeper
	maxPut      = 10 * time.Second // until a configuration is acknowledged
	drains      = 4                // endpoints that drain
	pollEvery   = 10 * time.Millisecond
	settle      = 2 * time.Second // pause between phases
	grace       = 3 * time.Second
)

// Size is the number of hollow proxies and endpoints.
type Size struct{ Proxies, Endpoints int }

// Options configure a measurement.
type Options struct {
	Program           string
	Dir               string
	Sizes             []Size
	Zones             int
	Keepers           int // per zone; each shares its machine with a real proxy
	Stores            int
	HeartbeatInterval time.Duration
	Quiet             time.Duration // length of the measurement without changes
	Changes           int           // number of configuration changes
	ChangeEvery       time.Duration
	Tenants           int
	Models            int
	Logf              func(format string, args ...any)
}

// Figure is one measured value at one size.
type Figure struct {
	Name  string
	Unit  string
	Value float64
}

// Report is the result of a measurement. The figures of all sizes have the same names in the same order.
type Report struct {
	Sizes   []Size
	Figures [][]Figure // by size
	Config  int        // size of a configuration in bytes
	Load    string     // load average of the machine before the first size
}

// Run measures each size with its own processes. Sizes that fail are omitted from the report and named in the error.
func Run(ctx context.Context, o Options) (Report, error) {
	var out Report
	out.Config = len(configuration(1, o.Tenants, o.Models))
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return out, err
	}
	out.Load = strings.TrimSpace(string(load))
	var failed error
	for _, size := range o.Sizes {
		o.Logf("%d proxies, %d endpoints", size.Proxies, size.Endpoints)
		figures, err := measure(ctx, o, size)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%d proxies and %d endpoints: %w", size.Proxies, size.Endpoints, err))
			continue
		}
		out.Sizes, out.Figures = append(out.Sizes, size), append(out.Figures, figures)
	}
	return out, failed
}

// rig is the state of the measurement of one size.
type rig struct {
	options   Options
	cluster   *cluster.Cluster
	proxies   *proxies
	endpoints *endpoints
	op        *operator.Operator
	version   uint64
	figures   []Figure
}

// add adds a figure. All sizes must add the same names in the same order.
func (r *rig) add(name, unit string, value float64) {
	r.figures = append(r.figures, Figure{name, unit, value})
}

// measure measures one size with its own processes.
func measure(ctx context.Context, o Options, size Size) ([]Figure, error) {
	c, err := cluster.New(cluster.Options{
		Program:           o.Program,
		Dir:               filepath.Join(o.Dir, fmt.Sprintf("%dx%d", size.Proxies, size.Endpoints)),
		Zones:             o.Zones,
		Edges:             o.Keepers,
		Keepers:           o.Keepers,
		Stores:            o.Stores,
		HeartbeatInterval: o.HeartbeatInterval,
		Grace:             grace,
		Rules:             "base,drain,config,cost,recover,batch,stream,engine",
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r := &rig{options: o, cluster: c, op: operator.New(c.Controls)}
	if err := c.Start(); err != nil {
		return nil, err
	}
	if _, _, err := r.put(ctx); err != nil {
		return nil, err
	}
	if err := r.startParticipants(ctx, size); err != nil {
		return nil, err
	}
	defer r.close()
	for _, phase := range []func(context.Context) error{r.quiet, r.changes, r.drains, r.loseKeeper} {
		if err := phase(ctx); err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return r.figures, ended(c)
}

// startParticipants starts the endpoints, then the proxies, and waits until all proxies know all endpoints. On an error it
// stops those that it started.
func (r *rig) startParticipants(ctx context.Context, size Size) (err error) {
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	c, o := r.cluster, r.options
	r.endpoints = startEndpoints(size.Endpoints, o.Models, o.HeartbeatInterval, c.Zones(), c.Controls)
	if !await(ctx, maxConverge, func() bool { return r.endpoints.known.Load() == int64(size.Endpoints) }) {
		return errors.Join(ctx.Err(), errors.New("keepers have not accepted all endpoints"), ended(c))
	}
	wait.For(ctx, settle)
	before := heap()
	began := time.Now()
	r.proxies, err = startProxies(size.Proxies, c.Zones(), controlclient.SeedLinkAddrs(c.Seeds(), c.InternalFirst()))
	if err != nil {
		return err
	}
	if !await(ctx, maxConverge, func() bool { return r.proxies.converged(size.Endpoints) }) {
		return errors.Join(ctx.Err(), errors.New("not all proxies are attached twice and have the complete endpoint list"), ended(c))
	}
	r.add("attached and listed after", "s", time.Since(began).Seconds())
	wait.For(ctx, settle)
	r.add("hollow proxy: heap", "KB", max(0, heap()-before)/1e3/float64(size.Proxies))
	return nil
}

// close stops the hollow proxies, then the endpoints.
func (r *rig) close() {
	if r.proxies != nil {
		r.proxies.close()
	}
	if r.endpoints != nil {
		r.endpoints.close()
	}
}

// ended returns an error if processes exited unexpectedly.
func ended(c *cluster.Cluster) error {
	if ends := c.Ends(); len(ends) > 0 {
		return errors.New(strings.Join(ends, "\n"))
	}
	return nil
}

// heap returns the bytes of heap and stack memory in use after a garbage collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// await polls done until it returns true, at most for limit, and reports whether it did.
func await(ctx context.Context, limit time.Duration, done func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && ctx.Err() == nil {
		if done() {
			return true
		}
		time.Sleep(pollEvery)
	}
	return false
}

// reading is the cumulative resource usage of all processes at one time.
type reading struct {
	at             time.Time
	roles          map[cluster.Role][]usage
	disks          map[cluster.Role][]int64
	self           usage // of the lab's process, which contains the hollow proxies and endpoints
	heartbeats     usage // the part of self that is due to heartbeats; bytes and calls only
	heartbeatCount int64
	views          int64
	datagrams      uint64
	dataBytes      uint64
}

// read returns the resource usage of all processes so far. It fails if they use over half of the machine's memory.
func (r *rig) read() (reading, error) {
	out := reading{at: time.Now(), roles: map[cluster.Role][]usage{}, disks: map[cluster.Role][]int64{}}
	var total int64
	for _, p := range r.cluster.Processes() {
		u, err := usageOf(p.PID())
		if err != nil {
			return out, fmt.Errorf("%v: %w", p, err)
		}
		disk, err := p.Disk()
		if err != nil {
			return out, err
		}
		out.roles[p.Role], out.disks[p.Role] = append(out.roles[p.Role], u), append(out.disks[p.Role], disk)
		total += u.rss
	}
	var err error
	if out.self, err = usageOf(os.Getpid()); err != nil {
		return out, err
	}
	if limit := memory() / 2; limit > 0 && total+out.self.rss > limit {
		return out, fmt.Errorf("%d MB of memory are in use, over half of the machine's", (total+out.self.rss)>>20)
	}
	e := r.endpoints
	out.heartbeats = usage{read: e.read.Load(), written: e.written.Load(), writes: e.writes.Load()}
	out.heartbeatCount, out.views = e.heartbeats.Load(), r.proxies.views.Load()
	out.datagrams, out.dataBytes = r.proxies.datagrams()
	return out, nil
}

// memory returns the machine's memory in bytes, or 0 if it is unknown.
func memory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kb int64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kb); err != nil {
		return 0
	}
	return kb << 10
}

// usageBetween returns the mean resource usage of the processes of a role between two readings, and the maximum CPU time. The memory is
// the maximum instead of the mean.
func usageBetween(a, b reading, role cluster.Role) (mean usage, busiest time.Duration) {
	n := int64(len(a.roles[role]))
	if n == 0 {
		return mean, 0
	}
	for i, before := range a.roles[role] {
		u := b.roles[role][i].sub(before)
		u.written -= b.disks[role][i] - a.disks[role][i] // written includes write(2) to files, which is not traffic
		mean.cpu += u.cpu
		mean.read += u.read
		mean.written += u.written
		mean.writes += u.writes
		mean.rss = max(mean.rss, u.rss)
		busiest = max(busiest, u.cpu)
	}
	mean.cpu, mean.read, mean.written, mean.writes = mean.cpu/time.Duration(n), mean.read/n, mean.written/n, mean.writes/n
	return mean, busiest
}

// quiet measures the costs while nothing changes.
func (r *rig) quiet(ctx context.Context) error {
	a, err := r.read()
	if err != nil {
		return err
	}
	wait.For(ctx, r.options.Quiet)
	b, err := r.read()
	if err != nil {
		return err
	}
	s := b.at.Sub(a.at).Seconds()
	n := float64(len(r.proxies.all))
	for _, role := range []cluster.Role{cluster.Keeper, cluster.Proxy, cluster.Store} {
		u, busiest := usageBetween(a, b, role)
		name := string(role) + ": "
		r.add(name+"processor, mean", "ms/s", u.cpu.Seconds()*1e3/s)
		r.add(name+"processor, the busiest", "ms/s", busiest.Seconds()*1e3/s)
		r.add(name+"resident, the largest", "MB", float64(u.rss)/1e6)
		r.add(name+"received", "KB/s", float64(u.read)/1e3/s)
		r.add(name+"sent", "KB/s", float64(u.written)/1e3/s)
		r.add(name+"writes", "1/s", float64(u.writes)/s)
	}
	self, beats := b.self.sub(a.self), b.heartbeats.sub(a.heartbeats)
	r.add("lab: processor, proxies and endpoints", "ms/s", self.cpu.Seconds()*1e3/s)
	r.add("lab: resident", "MB", float64(self.rss)/1e6)
	r.add("hollow proxy: processor, heartbeats counted in", "ms/s", self.cpu.Seconds()*1e3/s/n)
	r.add("hollow proxy: received on links", "KB/s", float64(self.read-beats.read)/1e3/s/n)
	r.add("hollow proxy: sent on links", "KB/s", float64(self.written-beats.written)/1e3/s/n)
	r.add("hollow proxy: writes", "1/s", float64(self.writes-beats.writes)/s/n)
	r.add("hollow proxy: new views", "1/s", float64(b.views-a.views)/s/n)
	r.add("hollow proxy: datagrams sent", "1/s", float64(b.datagrams-a.datagrams)/s/n)
	r.add("hollow proxy: datagrams sent", "KB/s", float64(b.dataBytes-a.dataBytes)/1e3/s/n)
	r.add("heartbeats taken", "1/s", float64(b.heartbeatCount-a.heartbeatCount)/s)
	count := max(1, float64(b.heartbeatCount-a.heartbeatCount))
	r.add("a heartbeat on the wire, both ways", "B", float64(beats.read+beats.written)/count)
	return nil
}

// put sends the next configuration and returns how long its acknowledgement took and when it came.
func (r *rig) put(ctx context.Context) (took time.Duration, acked time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxPut)
	defer cancel()
	text := configuration(r.version+1, r.options.Tenants, r.options.Models)
	began := time.Now()
	if err := r.op.Put(ctx, r.version, text); err != nil {
		return 0, acked, fmt.Errorf("configuration %d: %w", r.version+1, errors.Join(err, ended(r.cluster)))
	}
	r.version++
	acked = time.Now()
	return acked.Sub(began), acked, nil
}

// discard discards pending observations.
func (f *proxies) discard() {
	for len(f.observations) > 0 {
		<-f.observations
	}
}

// await waits until all proxies have made a matching observation, at most for limit, and returns when each one did. Proxies
// that did not are missing.
func (f *proxies) await(ctx context.Context, limit time.Duration, matches func(observation) bool) (at []time.Time) {
	t := time.NewTimer(limit)
	defer t.Stop()
	for len(at) < len(f.all) {
		select {
		case s := <-f.observations:
			if matches(s) {
				at = append(at, s.at)
			}
		case <-t.C:
			return at
		case <-ctx.Done():
			return at
		}
	}
	return at
}

// delays returns the times after from in milliseconds, 0 for earlier ones.
func delays(from time.Time, at []time.Time) (out []float64) {
	for _, t := range at {
		out = append(out, max(0, t.Sub(from).Seconds()*1e3))
	}
	return out
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}

func worst(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return slices.Max(v)
}

// changes changes the configuration repeatedly, and adds figures for when each change is in force and what a change costs.
func (r *rig) changes(ctx context.Context) error {
	quiet, err := r.read()
	if err != nil {
		return err
	}
	wait.For(ctx, settle)
	before, err := r.read()
	if err != nil {
		return err
	}
	if err := r.change(ctx); err != nil {
		return err
	}
	wait.For(ctx, settle/2) // includes the work that follows the last change
	after, err := r.read()
	if err != nil {
		return err
	}
	r.addCosts(quiet, before, after)
	return nil
}

// change changes the configuration every ChangeEvery, and adds figures for when each change was acknowledged and in force.
func (r *rig) change(ctx context.Context) error {
	r.proxies.discard()
	var acks, after, total []float64
	missing := 0
	for range r.options.Changes {
		began := time.Now()
		took, acked, err := r.put(ctx)
		if err != nil {
			return err
		}
		version := r.version
		at := r.proxies.await(ctx, maxInForce, func(s observation) bool { return s.version == version })
		missing += len(r.proxies.all) - len(at)
		acks = append(acks, took.Seconds()*1e3)
		after = append(after, delays(acked, at)...)
		total = append(total, worst(delays(began, at)))
		wait.For(ctx, time.Until(began.Add(r.options.ChangeEvery)))
	}
	r.add("change: acknowledged after, median", "ms", median(acks))
	r.add("change: acknowledged after, worst", "ms", worst(acks))
	r.add("change: in force after the 200, median", "ms", median(after))
	r.add("change: in force after the 200, worst", "ms", worst(after))
	r.add("change: in force at all after it was sent, worst", "ms", worst(total))
	r.add("change: not seen in force", "", float64(missing))
	return nil
}

// addCosts adds figures for the cost of one change. It takes the usage between the readings before and after and subtracts the
// usage of the same time without changes, which it extrapolates from the readings quiet and before.
func (r *rig) addCosts(quiet, before, after reading) {
	cost := func(used func(from, to reading) float64) float64 {
		baseline := used(quiet, before) * after.at.Sub(before.at).Seconds() / before.at.Sub(quiet.at).Seconds()
		return max(0, used(before, after)-baseline) / float64(r.options.Changes)
	}
	for _, role := range []cluster.Role{cluster.Keeper, cluster.Proxy, cluster.Store} {
		mean := func(value func(usage) float64) float64 {
			return cost(func(from, to reading) float64 {
				used, _ := usageBetween(from, to, role)
				return value(used)
			})
		}
		name := "change: a " + string(role) + "'s "
		r.add(name+"processor", "ms", mean(func(u usage) float64 { return u.cpu.Seconds() * 1e3 }))
		r.add(name+"received", "KB", mean(func(u usage) float64 { return float64(u.read) / 1e3 }))
		r.add(name+"sent", "KB", mean(func(u usage) float64 { return float64(u.written) / 1e3 }))
	}
	keeper, _ := usageBetween(before, after, cluster.Keeper)
	r.add("change: a keeper's resident, the largest", "MB", float64(keeper.rss)/1e6)
	n := float64(len(r.proxies.all))
	r.add("change: a hollow proxy's processor", "ms", cost(func(from, to reading) float64 {
		return to.self.sub(from.self).cpu.Seconds() * 1e3
	})/n)
	r.add("change: a hollow proxy's received", "KB", cost(func(from, to reading) float64 {
		return float64(to.self.sub(from.self).read-to.heartbeats.sub(from.heartbeats).read) / 1e3
	})/n)
}

// drains measures how long after its acknowledgement all proxies know that an endpoint drains.
func (r *rig) drains(ctx context.Context) error {
	var after []float64
	missing := 0
	for i := range min(drains, len(r.endpoints.all)) {
		e := r.endpoints.all[i*len(r.endpoints.all)/drains]
		r.proxies.watch.Store(&leaving{e.service, e.id})
		r.proxies.discard()
		acked, err := r.endpoints.drain(ctx, e)
		if err != nil {
			return err
		}
		at := r.proxies.await(ctx, maxDrain, func(s observation) bool { return s.left == e.id })
		missing += len(r.proxies.all) - len(at)
		after = append(after, delays(acked, at)...)
		wait.For(ctx, settle/4)
	}
	r.proxies.watch.Store(nil)
	r.add("drain: known after its acknowledgement, median", "ms", median(after))
	r.add("drain: known after its acknowledgement, worst", "ms", worst(after))
	r.add("drain: not known", "", float64(missing))
	return nil
}

// loseKeeper kills a keeper and measures how long it takes until all proxies are attached twice again.
func (r *rig) loseKeeper(ctx context.Context) error {
	if err := r.cluster.Find(cluster.Keeper, 0).Kill(); err != nil {
		return err
	}
	began := time.Now()
	all := len(r.proxies.all)
	await(ctx, settle, func() bool { return r.proxies.attachedTwice() < all })
	if !await(ctx, maxAttach, func() bool { return r.proxies.attachedTwice() == all }) {
		r.options.Logf("%d of %d proxies are attached twice %v after the loss of a keeper", r.proxies.attachedTwice(), all, maxAttach)
	}
	r.add("keeper lost: all attached twice after", "s", time.Since(began).Seconds())
	r.add("heartbeats that nobody took", "", float64(r.endpoints.rejected.Load()))
	return nil
}

// Print writes a human-readable table of the figures and their slopes.
func (r Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "configuration size %d bytes; load average before the measurement: %s\n\n", r.Config, r.Load)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range r.rows() {
		fmt.Fprintln(t, strings.Join(row, "\t")+"\t")
	}
	return t.Flush()
}

// CSV writes the same table as comma-separated values.
func (r Report) CSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.WriteAll(r.rows()); err != nil {
		return err
	}
	return out.Error()
}

// rows returns the table of the figures: a header, then one row per figure.
func (r Report) rows() (rows [][]string) {
	head := []string{"figure", "unit"}
	for _, s := range r.Sizes {
		head = append(head, fmt.Sprintf("%dx%d", s.Proxies, s.Endpoints))
	}
	rows = append(rows, append(head, "at nothing", "a proxy", "an endpoint"))
	if len(r.Figures) == 0 {
		return rows
	}
	short := func(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
	for i, f := range r.Figures[0] {
		row, values := []string{f.Name, f.Unit}, []float64{}
		for _, figures := range r.Figures {
			row, values = append(row, short(figures[i].Value)), append(values, figures[i].Value)
		}
		if fit, ok := fitOf(r.Sizes, values); ok {
			row = append(row, short(fit.Base), short(fit.Proxy), short(fit.Endpoint))
		} else {
			row = append(row, "", "", "")
		}
		rows = append(rows, row)
	}
	return rows
}
