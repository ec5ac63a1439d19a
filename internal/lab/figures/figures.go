// Package figures computes the statistics of a run from its trace: what was served, how late, and at what cost.
package figures

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunetide/internal/lab/trace"
)

// Class defines what messages of a class are worth.
type Class struct {
	Name          string
	Aim, Deadline time.Duration
	Worth, Late   float64
}

// Goal holds the weights of the parts of the service.
type Goal struct{ Whole, Window, Class, Tenant float64 }

// Figures are the statistics of a run. Shares are relative to the requested worth.
type Figures struct {
	Served    float64   `json:"served"` // sum of whole, worst_10s, worst_class and worst_tenant, weighted by the goal
	Whole     float64   `json:"whole"`
	Worst10s  float64   `json:"worst_10s"`
	WorstFrom float64   `json:"worst_10s_from"`
	Class     float64   `json:"worst_class"`
	Tenant    float64   `json:"worst_tenant"`
	Classes   []float64 `json:"classes"`
	Tenants   []float64 `json:"tenants"`

	Messages  int     `json:"messages"`
	Tries     int     `json:"tries"`
	Delivered int     `json:"delivered"`
	P50       float64 `json:"p50_ms"` // from submission by the client to delivery
	P99       float64 `json:"p99_ms"`
	Max       float64 `json:"max_ms"`

	Calls    int            `json:"calls"`
	PerMsg   float64        `json:"calls_a_message"`
	Ends     map[string]int `json:"ends"`
	Refused  float64        `json:"refused_share"` // of the calls
	Conns    int            `json:"connections"`
	NoConns  int            `json:"failed_connections"`
	Asked    int            `json:"list_lines"`
	Restarts int            `json:"restarts"`
	// InWindow is the maximum number of calls from one node to one destination within two seconds, relative to the node's even share
	// of the limit.
	InWindow  float64    `json:"most_in_window"`
	LateSends int        `json:"late_sends"` // messages that the lab itself submitted late
	Windows   []Window   `json:"windows"`
	Recovery  []Recovery `json:"recovery,omitempty"`
}

// Window is one second of the run.
type Window struct {
	From    float64 `json:"from"`
	Asked   float64 `json:"asked"`
	Worth   float64 `json:"worth"` // served worth, of what was requested in this second
	Calls   int     `json:"calls"`
	Refused int     `json:"refused"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	times   *hdrhistogram.Histogram
}

// Recovery is the time from the end of a fault until the service has recovered.
type Recovery struct {
	Fault string  `json:"fault"`
	At    float64 `json:"at"`
	Took  float64 `json:"took"` // seconds; negative: it did not recover
}

type origin struct {
	at    time.Duration
	worth float64
	class int
	got   float64
	ten   int
}

// Counter computes statistics from a trace.
type Counter struct {
	classes    []Class
	tenants    int
	goal       Goal
	length     time.Duration
	msgs       map[string]*origin
	order      []*origin
	tries      map[string]*origin
	taken      map[string]bool
	early      map[string]time.Duration // delivered before the client received the acceptance
	windows    []Window
	all        *hdrhistogram.Histogram
	faults     []Recovery
	evenShares []float64                  // by destination: one node's even share of the limit, in calls per second
	late       map[[2]int][]time.Duration // calls of the last window, by node and destination
	figures    Figures
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)
}

// New returns a Counter for a run of the given length.
func New(classes []Class, tenants int, goal Goal, length time.Duration, evenShares []float64) *Counter {
	c := &Counter{evenShares: evenShares, late: map[[2]int][]time.Duration{}, classes: classes, tenants: tenants, goal: goal, length: length, msgs: map[string]*origin{},
		tries: map[string]*origin{}, taken: map[string]bool{}, early: map[string]time.Duration{}, all: histogram()}
	c.figures.Ends = map[string]int{}
	for i := range int(math.Ceil(length.Seconds())) {
		c.windows = append(c.windows, Window{From: float64(i), times: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 2)})
	}
	return c
}

func (c *Counter) window(at time.Duration) *Window {
	i := int(at / time.Second)
	if i < 0 || i >= len(c.windows) {
		return nil
	}
	return &c.windows[i]
}

// Observe processes one record.
func (c *Counter) Observe(r trace.Record) {
	switch r.What {
	case trace.Submitted:
		c.figures.Tries++
		o := c.msgs[r.Origin]
		if o == nil {
			o = &origin{at: r.At, worth: c.classes[r.Class].Worth * r.Share, class: r.Class, ten: r.Tenant}
			c.msgs[r.Origin] = o
			c.order = append(c.order, o)
			if w := c.window(r.At); w != nil {
				w.Asked += o.worth
			}
		}
		c.tries[r.ID] = o
	case trace.Accepted:
		c.taken[r.ID] = true
		if at, ok := c.early[r.ID]; ok {
			delete(c.early, r.ID)
			c.delivered(r.ID, at)
		}
	case trace.Call:
		c.figures.Calls++
		c.countInWindow(r)
		if w := c.window(r.At); w != nil {
			w.Calls++
		}
	case trace.End:
		c.ended(r)
	case trace.Conn:
		c.figures.Conns++
	case trace.NoConn:
		c.figures.NoConns++
	case trace.ListRequested:
		c.figures.Asked += r.Lines
	case trace.Start:
		c.figures.Restarts++
	case trace.LateSubmission:
		c.figures.LateSends++
	case trace.Fault:
		if r.Until > 0 && r.Until < c.length {
			for _, o := range c.faults {
				if o.Fault == r.Result && o.At == r.Until.Seconds() {
					return
				}
			}
			c.faults = append(c.faults, Recovery{Fault: r.Result, At: r.Until.Seconds(), Took: -1})
		}
	}
}

// shareWindow is the window in which calls are compared with a node's share of the limit; minShareCalls is the minimum number of calls
// that this share must allow for the comparison to be meaningful.
const (
	shareWindow   = 2 * time.Second
	minShareCalls = 4
)

func (c *Counter) countInWindow(r trace.Record) {
	if r.Dest >= len(c.evenShares) || c.evenShares[r.Dest]*shareWindow.Seconds() < minShareCalls {
		return
	}
	key := [2]int{r.Node, r.Dest}
	times := append(c.late[key], r.At)
	for times[0] <= r.At-shareWindow {
		times = times[1:]
	}
	c.late[key] = times
	c.figures.InWindow = max(c.figures.InWindow, float64(len(times))/(c.evenShares[r.Dest]*shareWindow.Seconds()))
}

func (c *Counter) ended(r trace.Record) {
	switch {
	case r.Status == 200:
		c.figures.Ends["200"]++
		if !c.taken[r.ID] {
			c.early[r.ID] = r.At
			return
		}
		c.delivered(r.ID, r.At)
	case r.Status == 429 || r.Status == 503:
		c.figures.Ends["full"]++
		if w := c.window(r.At); w != nil {
			w.Refused++
		}
	case r.Status != 0:
		c.figures.Ends["error"]++
	default:
		c.figures.Ends[r.Result]++
	}
}

// delivered counts the first delivery of a message, by any of its tries.
func (c *Counter) delivered(id string, at time.Duration) {
	o := c.tries[id]
	if o == nil || o.got > 0 {
		return
	}
	k := c.classes[o.class]
	age := at - o.at
	if age > k.Deadline {
		return
	}
	c.figures.Delivered++
	share := 1.0
	if age > k.Aim {
		share = 1 - (1-k.Late)*float64(age-k.Aim)/float64(max(1, k.Deadline-k.Aim))
	}
	o.got = o.worth * share
	_ = c.all.RecordValue(max(1, age.Microseconds())) // within the deadline, so within the histogram's range
	if w := c.window(o.at); w != nil {
		w.Worth += o.got
		_ = w.times.RecordValue(max(1, age.Microseconds()))
	}
}

// Finish returns the statistics.
func (c *Counter) Finish() Figures {
	f := &c.figures
	classes, tenants := make([][2]float64, len(c.classes)), make([][2]float64, max(1, c.tenants))
	var whole [2]float64
	add := func(to *[2]float64, o *origin) {
		to[0] += o.worth
		to[1] += o.got
	}
	for _, o := range c.order {
		if o.at < time.Second {
			continue // messages count from second 1 on
		}
		add(&whole, o)
		add(&classes[o.class], o)
		if o.worth >= c.classes[o.class].Worth { // within its tenant's share
			add(&tenants[o.ten], o)
		}
	}
	f.Messages = len(c.order)
	f.Whole = share(whole)
	f.Class, f.Classes = least(classes)
	f.Tenant, f.Tenants = least(tenants)
	f.Worst10s = 1
	for i := 1; i < len(c.windows); i++ {
		var sum [2]float64
		for _, w := range c.windows[i:min(i+10, len(c.windows))] {
			sum[0] += w.Asked
			sum[1] += w.Worth
		}
		if s := share(sum); s < f.Worst10s && (i+10 <= len(c.windows) || i == 1) {
			f.Worst10s, f.WorstFrom = s, float64(i)
		}
	}
	f.Served = c.goal.Whole*f.Whole + c.goal.Window*f.Worst10s + c.goal.Class*f.Class + c.goal.Tenant*f.Tenant
	f.P50, f.P99, f.Max = quantile(c.all, 50), quantile(c.all, 99), quantile(c.all, 100)
	if f.Messages > 0 {
		f.PerMsg = float64(f.Calls) / float64(f.Messages)
	}
	if f.Calls > 0 {
		f.Refused = float64(f.Ends["full"]) / float64(f.Calls)
	}
	for i := range c.windows {
		w := &c.windows[i]
		w.P50, w.P99 = quantile(w.times, 50), quantile(w.times, 99)
	}
	f.Windows = c.windows
	f.Recovery = c.recovered()
	return *f
}

// recovered finds, for each end of a fault, the first of three consecutive seconds that were each served to at least 90%.
func (c *Counter) recovered() []Recovery {
	good := func(i int) bool {
		w := c.windows[i]
		return w.Asked == 0 || w.Worth >= 0.9*w.Asked
	}
	for n := range c.faults {
		for i := int(c.faults[n].At); i+3 <= len(c.windows); i++ {
			if good(i) && good(i+1) && good(i+2) {
				c.faults[n].Took = max(0, float64(i)-c.faults[n].At)
				break
			}
		}
	}
	return c.faults
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func share(s [2]float64) float64 {
	if s[0] == 0 {
		return 1
	}
	return s[1] / s[0]
}

func least(of [][2]float64) (float64, []float64) {
	worst, all := 1.0, make([]float64, len(of))
	for i, s := range of {
		all[i] = share(s)
		worst = min(worst, all[i])
	}
	return worst, all
}
