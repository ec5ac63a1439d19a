package registry

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Parts is the number of parts into which the table is divided for comparison between keepers.
const DigestBuckets = 16

// Bounds of an endpoint's fields.
const (
	maxField  = 256     // bytes of a text field
	maxModels = 64      // models of one endpoint
	maxNumber = 1 << 40 // a capacity, a model version, a time in ms
)

// leastModel is the encoded size of a model with an empty name, in bytes.
const leastModel = 12

// PartOf returns the part of the table that a service belongs to, from 0 to Parts-1.
func BucketOf(service string) int { return int(snapshot.Hash(service) % DigestBuckets) }

// Entry is what a keeper knows of one incarnation of an endpoint. Entries of one ID form a join semilattice under Join.
type Entry struct {
	// Endpoint is the content of the newest heartbeat, which CallCount numbers. State is Gone only if the
	// incarnation itself, or the one that took over its address, said so; that is final.
	snapshot.Endpoint
	// Alive is the highest call count that any keeper is known to have heard. Silent says that no heartbeat
	// followed it within the table's limit. A higher call count ends the silence.
	HeartbeatCount uint64
	TimedOut       bool
	// Age is the time since the last heartbeat or, if the incarnation is gone, since it went. Join takes the
	// smaller one; Age is not part of the semilattice.
	Age time.Duration
}

// Gone reports whether the incarnation must be left out of lists: it said that it is gone, or it is silent.
func (e *Entry) Dead() bool { return e.State == snapshot.Removed || e.TimedOut }

// Shown returns the endpoint as senders should see it: a silent one has the state Gone.
func (e *Entry) EffectiveEndpoint() snapshot.Endpoint {
	p := e.Endpoint
	if e.TimedOut {
		p.State = snapshot.Removed
	}
	return p
}

// Join returns the least upper bound of two entries of one ID: the higher state, the newest content and the newest
// sign of life. It is idempotent, commutative and associative.
func Join(a, b Entry) Entry {
	out := a
	if compareContent(&b, &a) > 0 {
		out.Endpoint = b.Endpoint
	}
	out.State = max(a.State, b.State)
	switch {
	case b.HeartbeatCount > a.HeartbeatCount:
		out.HeartbeatCount, out.TimedOut = b.HeartbeatCount, b.TimedOut
	case b.HeartbeatCount == a.HeartbeatCount:
		out.TimedOut = a.TimedOut || b.TimedOut
	}
	out.Age = min(a.Age, b.Age)
	return out
}

// compareContent orders entries by call count, and then by content. Each call count should have one content only, but
// an endpoint that violates this must not break the semilattice.
func compareContent(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.CallCount, b.CallCount),
		compareSaid(&a.Endpoint, &b.Endpoint),
		cmp.Compare(a.RemainingWarmupMs, b.RemainingWarmupMs))
}

// compareSaid orders endpoints by their content, without the state and the fields that change with each heartbeat.
func compareSaid(a, b *snapshot.Endpoint) int {
	return cmp.Or(
		strings.Compare(a.ID, b.ID),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Address, b.Address),
		strings.Compare(a.Zone, b.Zone),
		strings.Compare(a.Version, b.Version),
		cmp.Compare(a.Capacity, b.Capacity),
		slices.CompareFunc(a.Models, b.Models, func(x, y snapshot.Model) int {
			return cmp.Or(strings.Compare(x.Name, y.Name), cmp.Compare(x.Version, y.Version))
		}))
}

// Check returns an error that names the first field of an endpoint that is out of bounds.
func Validate(e *snapshot.Endpoint) error {
	if e.ID == "" {
		return errors.New("an endpoint without an id")
	}
	for _, s := range []string{e.ID, e.Service, e.Address, e.Zone, e.Version} {
		if len(s) > maxField {
			return fmt.Errorf("endpoint %.40q: a field is longer than %d bytes", e.ID, maxField)
		}
	}
	if e.State > snapshot.Removed {
		return fmt.Errorf("endpoint %q: state %d is unknown", e.ID, e.State)
	}
	if e.Capacity < 0 || e.Capacity > maxNumber || e.RemainingWarmupMs < 0 || e.RemainingWarmupMs > maxNumber {
		return fmt.Errorf("endpoint %q: capacity %d or cold_left_ms %d is out of bounds", e.ID, e.Capacity, e.RemainingWarmupMs)
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

// AppendEntry appends the encoding of an entry to a message.
func AppendEntry(w *link.Writer, e *Entry) {
	w.String(e.ID)
	w.String(e.Service)
	w.String(e.Address)
	w.String(e.Zone)
	w.String(e.Version)
	w.Int(e.Capacity)
	w.U8(uint8(e.State))
	w.Int(e.RemainingWarmupMs)
	w.U64(e.CallCount)
	w.U32(uint32(len(e.Models)))
	for _, m := range e.Models {
		w.String(m.Name)
		w.Int(m.Version)
	}
	w.U64(e.HeartbeatCount)
	w.Bool(e.TimedOut)
	appendAge(w, e.Age)
}

// ReadEntry decodes an entry from a message. It fails if the message is too short or the entry is out of bounds.
func ReadEntry(r *link.Reader) (Entry, error) {
	e := Entry{Endpoint: snapshot.Endpoint{ID: r.String(), Service: r.String(), Address: r.String(), Zone: r.String(), Version: r.String(),
		Capacity: r.Int(), State: snapshot.State(r.U8()), RemainingWarmupMs: r.Int(), CallCount: r.U64()}}
	for range r.Count(leastModel) {
		e.Models = append(e.Models, snapshot.Model{Name: r.String(), Version: r.Int()})
	}
	e.HeartbeatCount, e.TimedOut, e.Age = r.U64(), r.Bool(), readAge(r)
	if r.Err != nil {
		return Entry{}, r.Err
	}
	return e, Validate(&e.Endpoint)
}

// Heard is the last sign of life of one incarnation, exchanged between keepers in place of a whole Entry.
type Liveness struct {
	ID             string
	HeartbeatCount uint64        // the call count of the last heartbeat
	Age            time.Duration // since that heartbeat
}

// AppendHeard appends the encoding of a Heard to a message.
func AppendLiveness(w *link.Writer, h *Liveness) {
	w.String(h.ID)
	w.U64(h.HeartbeatCount)
	appendAge(w, h.Age)
}

// ReadHeard decodes a Heard from a message. It fails if the message is too short.
func ReadLiveness(r *link.Reader) (Liveness, error) {
	h := Liveness{ID: r.String(), HeartbeatCount: r.U64(), Age: readAge(r)}
	return h, r.Err
}

// appendAge appends an age in whole milliseconds, limited to the range of 32 bits.
func appendAge(w *link.Writer, age time.Duration) {
	w.U32(uint32(min(max(age.Milliseconds(), 0), math.MaxUint32)))
}

func readAge(r *link.Reader) time.Duration { return time.Duration(r.U32()) * time.Millisecond }
