package registry

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// Bounds of an endpoint's fields.
const (
	maxFieldBytes = 256     // length of a text field
	maxModels     = 64      // models of one endpoint
	maxNumber     = 1 << 40 // a capacity, a model version, a time in ms
)

// Entry is a keeper's state of one incarnation of an endpoint. Entries of one ID form a join semilattice under Join.
type Entry struct {
	// Endpoint is the content of the newest heartbeat, whose sequence number is CallCount. State is Removed only if the
	// incarnation itself reported it, or its successor at its address did to a table that remembered all recent ends;
	// that is final.
	snapshot.Endpoint
	// HeartbeatCount is the highest call count that any keeper is known to have received. TimedOut reports that no
	// heartbeat followed it within the table's HeartbeatTimeout; a higher call count resets it.
	HeartbeatCount uint64
	TimedOut       bool
	// Age is the time since the last heartbeat or, for a dead incarnation, since it was marked dead. Join takes the
	// smaller one; Age is not part of the semilattice.
	Age time.Duration
}

// Dead reports whether the incarnation must be excluded from endpoint lists, because it is removed or its heartbeats
// have timed out.
func (e *Entry) Dead() bool { return e.State == snapshot.Removed || e.TimedOut }

// EffectiveEndpoint returns the endpoint as proxies should see it: one that has timed out is Removed.
func (e *Entry) EffectiveEndpoint() snapshot.Endpoint {
	endpoint := e.Endpoint
	if e.TimedOut {
		endpoint.State = snapshot.Removed
	}
	return endpoint
}

// Join returns the least upper bound of two entries of one ID: the higher state, the newest content and the newest
// heartbeat. It is idempotent, commutative and associative.
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

// compareContent orders entries by call count and then by content. A call count should have one content only, but an
// endpoint that violates this must not break the semilattice.
func compareContent(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.CallCount, b.CallCount),
		compareDescription(&a.Endpoint, &b.Endpoint),
		cmp.Compare(a.RemainingWarmupMs, b.RemainingWarmupMs))
}

// compareDescription orders endpoints by their content, without the state and the fields that change with each
// heartbeat.
func compareDescription(a, b *snapshot.Endpoint) int {
	return cmp.Or(
		strings.Compare(a.ID, b.ID),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Address, b.Address),
		strings.Compare(a.Zone, b.Zone),
		strings.Compare(a.Version, b.Version),
		cmp.Compare(a.Capacity, b.Capacity),
		slices.CompareFunc(a.Models, b.Models, compareModels))
}

func compareModels(a, b snapshot.Model) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}

// Validate returns an error that names the first field of an endpoint that is out of bounds.
func Validate(e *snapshot.Endpoint) error {
	if e.ID == "" {
		return errors.New("an endpoint without an id")
	}
	for _, field := range []string{e.ID, e.Service, e.Address, e.Zone, e.Version} {
		if len(field) > maxFieldBytes {
			return fmt.Errorf("endpoint %.40q: a field is longer than %d bytes", e.ID, maxFieldBytes)
		}
	}
	if e.State > snapshot.Removed {
		return fmt.Errorf("endpoint %q: state %d is unknown", e.ID, e.State)
	}
	if e.Capacity < 0 || e.Capacity > maxNumber || e.RemainingWarmupMs < 0 || e.RemainingWarmupMs > maxNumber {
		return fmt.Errorf("endpoint %q: capacity %d or cold_left_ms %d is out of bounds",
			e.ID, e.Capacity, e.RemainingWarmupMs)
	}
	if len(e.Models) > maxModels {
		return fmt.Errorf("endpoint %q: %d models, at most %d are taken", e.ID, len(e.Models), maxModels)
	}
	for _, model := range e.Models {
		if len(model.Name) > maxFieldBytes || model.Version < -maxNumber || model.Version > maxNumber {
			return fmt.Errorf("endpoint %q: model %.40q is out of bounds", e.ID, model.Name)
		}
	}
	return nil
}
