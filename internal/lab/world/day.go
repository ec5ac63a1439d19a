// Package world models the environment of delivery nodes in the lab: destinations with their endpoints and limits, discovery,
// clients, and faults. It uses no clock, sockets or goroutines: internal/lab/insim steps it in simulated time, internal/lab/live in
// real time.
package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/lab/scenario"
)

// Day is one random draw from a scenario: everything that is fixed before the run starts.
type Day struct {
	Seed      uint64
	Length    time.Duration
	Scenario  scenario.Scenario
	Dests     []Dest
	Endpoints []Endpoint
	Nodes     []Node
	Slots     int // of each node
	MaxOpen   int
	ColdFrom  float64
	WarmUp    time.Duration
	OneWay    time.Duration
	Handshake time.Duration
	Retries   int
	Messages  []Message // first tries, by time
	Troubles  []Fault   // by time

	ReportEvery, ReportDelay time.Duration
	ReportNoise              float64
}

// Node is a delivery node's share of the traffic.
type Node struct{ Share float64 }

// Dest is a destination.
type Dest struct {
	Kind         int
	Tenant       int
	Share        float64 // of all messages
	Limit        float64 // calls per second; 0 for none
	Window       time.Duration
	Phase        time.Duration // when its first limit window begins
	Capacity     float64
	TellsWait    float64
	RefusedCount bool
	Endpoints    []int
}

// Endpoint is one machine of a destination.
type Endpoint struct {
	Dest      int
	Cores     int // number of calls served concurrently
	Depth     int // length of the queue
	Conns     int // maximum number of connections; 0 for no limit
	Pace      float64
	ErrorRate float64
	Refuses   float64
}

// Message is a message of a client, with its first try.
type Message struct {
	At     time.Duration
	Dest   int
	Class  int
	Tenant int
	Node   int
	Work   time.Duration // at pace 1
	Body   int
	Inside bool // within its tenant's share
}

// Fault is a fault whose start, end and targets have been drawn.
type Fault struct {
	What        string
	From, Until time.Duration
	Targets     []int // endpoints, destinations (lower, hot) or nodes
	Size        float64
	Each        time.Duration
	Lost        bool
	OnNodes     bool
}

// ID returns the id of one try of a message.
func ID(message, try int) string { return fmt.Sprintf("%012x%04x", message+1, try) }

// Random returns a random source for one purpose only, so that its draws do not depend on other purposes.
func Random(seed uint64, purpose string, n ...uint64) *rand.Rand {
	h := uint64(14695981039346656037)
	mix := func(v uint64) {
		h = (h ^ v) * 1099511628211
		h ^= h >> 29
	}
	for _, b := range []byte(purpose) {
		mix(uint64(b))
	}
	for _, v := range n {
		mix(v)
		mix(v >> 32)
	}
	return rand.New(rand.NewPCG(seed, h))
}

func draw(r *rand.Rand, of scenario.Range) float64 { return of[0] + (of[1]-of[0])*r.Float64() }

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
func millis(v float64) time.Duration  { return time.Duration(v * float64(time.Millisecond)) }

// spread draws from a log-normal distribution with mean 1 and the given coefficient of variation.
func spread(r *rand.Rand, cv float64) float64 {
	sigma2 := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(sigma2)*r.NormFloat64() - sigma2/2)
}

// Draw draws a day from a scenario. The same seed yields the same day on any machine.
func Draw(s scenario.Scenario, seed uint64) Day {
	r := Random(seed, "day")
	d := Day{Seed: seed, Scenario: s, Length: seconds(draw(r, s.LengthS)), OneWay: millis(draw(r, s.Net.OneWayMs)),
		ColdFrom: draw(r, s.Rules.ColdFrom), WarmUp: seconds(draw(r, s.Rules.ColdS)),
		ReportEvery: millis(draw(r, s.Reports.PeriodMs)), ReportDelay: millis(draw(r, s.Reports.DelayMs)),
		ReportNoise: draw(r, s.Reports.Noise), Retries: int(draw(r, s.Clients.Retries))}
	d.Handshake = time.Duration(draw(r, s.Net.HandshakeRTTs) * 2 * float64(d.OneWay))
	total := d.drawDests(r)
	d.drawNodes(r, total)
	d.drawMessages(total)
	d.drawFaults()
	d.redirectToHot()
	return d
}

// drawDests draws the destinations and their endpoints, and returns the rate of all messages at load 1.
func (d *Day) drawDests(r *rand.Rand) float64 {
	s := &d.Scenario
	n := max(1, int(math.Round(draw(r, s.Dest.Count))))
	zipf, mean := draw(r, s.Dest.Zipf), draw(r, s.Dest.Rate)
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), zipf)
	}
	total := mean * float64(n)
	kinds, tenants := 0, 0.0
	for _, k := range s.Kinds {
		kinds += k.Share
	}
	for _, t := range s.Tenants {
		tenants += t.Share
	}
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * (c.WorkMs[0] + c.WorkMs[1]) / 2000
	}
	for i := range n {
		share := 1 / math.Pow(float64(i+1), zipf) / sum
		at, kind := r.IntN(kinds), 0
		for at >= s.Kinds[kind].Share {
			at -= s.Kinds[kind].Share
			kind++
		}
		k := s.Kinds[kind]
		dest := Dest{Kind: kind, Share: share, Window: time.Duration(k.WindowMs) * time.Millisecond,
			TellsWait: draw(r, k.TellsWait), RefusedCount: k.RefusedCount}
		if len(s.Tenants) > 0 {
			u := r.Float64() * tenants
			for dest.Tenant < len(s.Tenants)-1 && u >= s.Tenants[dest.Tenant].Share {
				u -= s.Tenants[dest.Tenant].Share
				dest.Tenant++
			}
		}
		limit := max(draw(r, k.LeastRate), draw(r, k.Headroom)*total*share)
		if k.Limit != "none" {
			dest.Limit = limit
		}
		if dest.Window > 0 {
			dest.Phase = time.Duration(r.Int64N(int64(dest.Window)))
		}
		capacity := draw(r, k.Spare) * limit
		pace := draw(r, k.Speed) / spread(r, draw(r, k.SlowCV))
		count := max(1, int(math.Round(draw(r, s.Dest.Endpoints))))
		for range count {
			cores := max(1, int(math.Round(capacity*work/pace/float64(count))))
			ep := Endpoint{Dest: i, Cores: cores, Pace: pace, ErrorRate: draw(r, k.ErrorRate), Conns: k.Conns,
				Depth: max(1, int(draw(r, k.DepthS)*capacity/float64(count)))}
			if k.Refuses[1] > 0 { // a separate random source, so that days without refusals do not change
				ep.Refuses = draw(Random(d.Seed, "refuses", uint64(len(d.Endpoints))), k.Refuses)
			}
			dest.Capacity += float64(cores) * pace / work
			dest.Endpoints = append(dest.Endpoints, len(d.Endpoints))
			d.Endpoints = append(d.Endpoints, ep)
		}
		d.Dests = append(d.Dests, dest)
	}
	return total
}

func (d *Day) drawNodes(r *rand.Rand, total float64) {
	s := &d.Scenario
	busy := 0.0 // calls in flight at load 1
	for i, dest := range d.Dests {
		work := 0.0
		for _, c := range s.Classes {
			work += c.Share * (c.WorkMs[0] + c.WorkMs[1]) / 2000
		}
		busy += total * d.Dests[i].Share * work / d.Endpoints[dest.Endpoints[0]].Pace
	}
	n := float64(s.Nodes.Count)
	d.Slots = max(s.Nodes.Least, int(math.Ceil(draw(r, s.Nodes.SlotsRoom)*busy/n)))
	d.MaxOpen = max(s.Nodes.LeastOpen, int(math.Ceil(draw(r, s.Nodes.HoldS)*total/n)))
	sum := 0.0
	for i := range s.Nodes.Count {
		d.Nodes = append(d.Nodes, Node{Share: 1 / math.Pow(float64(i+1), s.Nodes.Uneven)})
		sum += d.Nodes[i].Share
	}
	for i := range d.Nodes {
		d.Nodes[i].Share /= sum
	}
}

// pick returns the index of the share that contains u, which is between 0 and 1.
func pick(n int, share func(int) float64, u float64) int {
	for i := range n - 1 {
		if u -= share(i); u < 0 {
			return i
		}
	}
	return n - 1
}

func (d *Day) drawMessages(total float64) {
	s := &d.Scenario
	r := Random(d.Seed, "messages")
	rate := draw(r, s.Load.Level) * total
	clumps := draw(r, s.Load.Clumps)
	one := func(at time.Duration, dest int) {
		class := pick(len(s.Classes), func(i int) float64 { return s.Classes[i].Share }, r.Float64())
		c := s.Classes[class]
		m := Message{At: at, Dest: dest, Class: class, Tenant: d.Dests[dest].Tenant,
			Work: millis(draw(r, c.WorkMs) * spread(r, c.CV)), Body: int(draw(r, s.Load.BodyBytes))}
		m.Node = pick(len(d.Nodes), func(i int) float64 { return d.Nodes[i].Share }, r.Float64())
		d.Messages = append(d.Messages, m)
	}
	anyDest := func() int {
		return pick(len(d.Dests), func(i int) float64 { return d.Dests[i].Share }, r.Float64())
	}
	gap := func(rate float64) time.Duration { return seconds(r.ExpFloat64() / rate) }
	for at := gap(rate * (1 - clumps)); clumps < 1 && at < d.Length; at += gap(rate * (1 - clumps)) {
		one(at, anyDest())
	}
	for at := time.Duration(0); clumps > 0; {
		dest := anyDest()
		per := d.Dests[dest].Limit
		if per == 0 {
			per = d.Dests[dest].Capacity
		}
		size := max(1, int(draw(r, s.Load.ClumpS)*per))
		if at += time.Duration(float64(size) * float64(gap(rate*clumps))); at >= d.Length {
			break
		}
		for range size {
			one(at+time.Duration(r.Int64N(int64(100*time.Millisecond))), dest)
		}
	}
	slices.SortStableFunc(d.Messages, func(a, b Message) int { return int(a.At - b.At) })
	d.markShares(total * draw(r, s.Load.AllowanceX))
}

// markShares marks the messages that lie within their tenant's share of the allowance, given in messages per second: a token bucket that
// holds two seconds' worth.
func (d *Day) markShares(all float64) {
	s := &d.Scenario
	if len(s.Tenants) == 0 {
		for i := range d.Messages {
			d.Messages[i].Inside = true
		}
		return
	}
	left := make([]float64, len(s.Tenants))
	last := make([]time.Duration, len(s.Tenants))
	rate := make([]float64, len(s.Tenants))
	for i, t := range s.Tenants {
		rate[i] = t.Share * all
		left[i] = 2 * rate[i]
	}
	for i := range d.Messages {
		m := &d.Messages[i]
		left[m.Tenant] = min(2*rate[m.Tenant], left[m.Tenant]+(m.At-last[m.Tenant]).Seconds()*rate[m.Tenant])
		last[m.Tenant] = m.At
		if m.Inside = left[m.Tenant] >= 1; m.Inside {
			left[m.Tenant]--
		}
	}
}

func (d *Day) drawFaults() {
	struck := map[int]bool{} // destinations that already have an outage; each gets at most one
	for i, f := range d.Scenario.Faults {
		r := Random(d.Seed, "fault", uint64(i))
		t := Fault{What: f.What, From: seconds(draw(r, f.AtS)), Size: draw(r, f.Size), Each: seconds(draw(r, f.EachS)),
			Lost: f.Lost, OnNodes: f.OnNodes()}
		t.Until = t.From + seconds(draw(r, f.ForS))
		part := draw(r, f.Part)
		if t.OnNodes {
			order := r.Perm(len(d.Nodes))
			t.Targets = order[:min(len(order), max(1, int(math.Round(part*float64(len(order))))))]
			d.Troubles = append(d.Troubles, t)
			continue
		}
		order := r.Perm(len(d.Dests))
		if f.What == "hot" {
			slices.Sort(order) // the largest destinations become hot
		}
		reached := 0.0
		for _, dest := range order {
			if reached >= part && len(t.Targets) > 0 {
				break
			}
			if struck[dest] && f.What != "lower" && f.What != "hot" {
				continue
			}
			struck[dest] = struck[dest] || f.What != "lower" && f.What != "hot"
			reached += d.Dests[dest].Share
			switch f.What {
			case "lower", "hot":
				t.Targets = append(t.Targets, dest)
			case "drain", "gone": // one endpoint of each destination, so that the others remain
				t.Targets = append(t.Targets, d.Dests[dest].Endpoints[0])
			default:
				t.Targets = append(t.Targets, d.Dests[dest].Endpoints...)
			}
		}
		d.Troubles = append(d.Troubles, t)
	}
	slices.SortStableFunc(d.Troubles, func(a, b Fault) int { return int(a.From - b.From) })
}

// redirectToHot redirects messages to hot destinations.
func (d *Day) redirectToHot() {
	for n, t := range d.Troubles {
		if t.What != "hot" {
			continue
		}
		hot := t.Targets[:min(len(t.Targets), 3)]
		r := Random(d.Seed, "hot", uint64(n))
		for i := range d.Messages {
			m := &d.Messages[i]
			if m.At >= t.From && m.At < t.Until && r.Float64() < t.Size {
				m.Dest = hot[r.IntN(len(hot))]
				m.Tenant = d.Dests[m.Dest].Tenant
			}
		}
	}
}
