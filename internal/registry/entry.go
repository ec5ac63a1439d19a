package registry

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunetide/internal/link"
	"dunetide/internal/view"
)

// Parts is the number of parts of the table.
const Parts = 16

const (
	maxField  = 256
	maxModels = 64
	maxNumber = 1 << 40 // of a capacity, a version, a time in ms
)

// PartOf returns the part that a service belongs to.
func PartOf(service string) int { return int(view.Hash(service) % Parts) }

// Entry is what is known of one incarnation. Entries of one ID form a join semilattice (Join).
type Entry struct {
	// Endpoint is what the incarnation last said of itself, under its CallCount. Its State is
	// Gone only where that was said, by itself or by the incarnation that took its address: final.
	view.Endpoint
	// Alive is the highest call count that any keeper is known to have heard, Silent that nothing
	// was heard after it for too long. A higher count ends the silence.
	Alive  uint64
	Silent bool
	// Age is the time since it was heard, or, when it is gone, since it went. It is no part of the
	// semilattice.
	Age time.Duration
}

// Gone says whether it is to be left out of lists, for either reason.
func (e *Entry) Gone() bool { return e.State == view.Gone || e.Silent }

// Shown returns the endpoint as those who send to it should see it: silent is gone.
func (e *Entry) Shown() view.Endpoint {
	p := e.Endpoint
	if e.Silent {
		p.State = view.Gone
	}
	return p
}

// Join returns the least entry that has what both know: states only grow, the newest content and
// the newest sign of life win. It is idempotent, commutative and associative.
func Join(a, b Entry) Entry {
	out := a
	if compareContent(&b, &a) > 0 {
		out.Endpoint = b.Endpoint
	}
	out.State = max(a.State, b.State)
	switch {
	case b.Alive > a.Alive:
		out.Alive, out.Silent = b.Alive, b.Silent
	case b.Alive == a.Alive:
		out.Silent = a.Silent || b.Silent
	}
	out.Age = min(a.Age, b.Age)
	return out
}

// compareContent orders by count. One count has one content, but what breaks that must not break
// the semilattice, so the rest decides.
func compareContent(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.CallCount, b.CallCount),
		compareSaid(&a.Endpoint, &b.Endpoint),
		cmp.Compare(a.ColdLeftMs, b.ColdLeftMs))
}

// compareSaid leaves out what changes with each heartbeat, and the state.
func compareSaid(a, b *view.Endpoint) int {
	return cmp.Or(
		strings.Compare(a.ID, b.ID),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Address, b.Address),
		strings.Compare(a.Zone, b.Zone),
		strings.Compare(a.Version, b.Version),
		cmp.Compare(a.Capacity, b.Capacity),
		slices.CompareFunc(a.Models, b.Models, func(x, y view.Model) int {
			return cmp.Or(strings.Compare(x.Name, y.Name), cmp.Compare(x.Version, y.Version))
		}))
}

// Check says what in an endpoint is over the bounds.
func Check(e *view.Endpoint) error {
	if e.ID == "" {
		return errors.New("an endpoint without an id")
	}
	for _, s := range []string{e.ID, e.Service, e.Address, e.Zone, e.Version} {
		if len(s) > maxField {
			return fmt.Errorf("endpoint %.40q: a field is longer than %d bytes", e.ID, maxField)
		}
	}
	if e.State > view.Gone {
		return fmt.Errorf("endpoint %q: state %d is unknown", e.ID, e.State)
	}
	if e.Capacity < 0 || e.Capacity > maxNumber || e.ColdLeftMs < 0 || e.ColdLeftMs > maxNumber {
		return fmt.Errorf("endpoint %q: capacity %d or cold_left_ms %d is out of bounds", e.ID, e.Capacity, e.ColdLeftMs)
	}
	if len(e.Models) > maxModels {
		return fmt.Errorf("endpoint %q: %d models, at most %d are taken", e.ID, len(e.Models), maxModels)
	}
	for _, m := range e.Models {
		if len(m.Name) > maxField || m.Version < -maxNumber || m.Version > maxNumber {
			return fmt.Errorf("endpoint %q: model %.40q is out of bounds", e.ID, m.Name)
		}
	}
	return nil
}

// AppendEntry appends an entry to a message.
func AppendEntry(w *link.Writer, e *Entry) {
	w.String(e.ID)
	w.String(e.Service)
	w.String(e.Address)
	w.String(e.Zone)
	w.String(e.Version)
	w.Int(e.Capacity)
	w.U8(uint8(e.State))
	w.Int(e.ColdLeftMs)
	w.U64(e.CallCount)
	w.U32(uint32(len(e.Models)))
	for _, m := range e.Models {
		w.String(m.Name)
		w.Int(m.Version)
	}
	w.U64(e.Alive)
	w.Bool(e.Silent)
	appendAge(w, e.Age)
}

// ReadEntry takes an entry off a message.
func ReadEntry(r *link.Reader) (Entry, error) {
	e := Entry{Endpoint: view.Endpoint{ID: r.String(), Service: r.String(), Address: r.String(), Zone: r.String(), Version: r.String(),
		Capacity: r.Int(), State: view.State(r.U8()), ColdLeftMs: r.Int(), CallCount: r.U64()}}
	for range r.Count(12) {
		e.Models = append(e.Models, view.Model{Name: r.String(), Version: r.Int()})
	}
	e.Alive, e.Silent, e.Age = r.U64(), r.Bool(), readAge(r)
	if r.Err != nil {
		return Entry{}, r.Err
	}
	return e, Check(&e.Endpoint)
}

// Heard tells that an incarnation was heard, and how long ago.
type Heard struct {
	ID    string
	Alive uint64
	Age   time.Duration
}

// AppendHeard appends a digest to a message.
func AppendHeard(w *link.Writer, h *Heard) {
	w.String(h.ID)
	w.U64(h.Alive)
	appendAge(w, h.Age)
}

// ReadHeard takes a digest off a message.
func ReadHeard(r *link.Reader) (Heard, error) {
	h := Heard{ID: r.String(), Alive: r.U64(), Age: readAge(r)}
	return h, r.Err
}

func appendAge(w *link.Writer, d time.Duration) {
	w.U32(uint32(min(max(d.Milliseconds(), 0), 1<<32-1)))
}

func readAge(r *link.Reader) time.Duration { return time.Duration(r.U32()) * time.Millisecond }
