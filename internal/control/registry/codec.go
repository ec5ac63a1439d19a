package registry

import (
	"math"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// minModelBytes is the encoded size of a model with an empty name.
const minModelBytes = 12

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
	for _, model := range e.Models {
		w.String(model.Name)
		w.Int(model.Version)
	}
	w.U64(e.HeartbeatCount)
	w.Bool(e.TimedOut)
	appendAge(w, e.Age)
}

// ReadEntry decodes an entry from a message. It fails if the message is too short or the entry is out of bounds.
func ReadEntry(r *link.Reader) (Entry, error) {
	e := Entry{
		Endpoint: snapshot.Endpoint{
			ID:                r.String(),
			Service:           r.String(),
			Address:           r.String(),
			Zone:              r.String(),
			Version:           r.String(),
			Capacity:          r.Int(),
			State:             snapshot.State(r.U8()),
			RemainingWarmupMs: r.Int(),
			CallCount:         r.U64(),
		},
	}
	for range r.Count(minModelBytes) {
		e.Models = append(e.Models, snapshot.Model{Name: r.String(), Version: r.Int()})
	}
	e.HeartbeatCount, e.TimedOut, e.Age = r.U64(), r.Bool(), readAge(r)
	if r.Err != nil {
		return Entry{}, r.Err
	}
	return e, Validate(&e.Endpoint)
}

// AppendLiveness appends the encoding of a Liveness to a message.
func AppendLiveness(w *link.Writer, l *Liveness) {
	w.String(l.ID)
	w.U64(l.HeartbeatCount)
	appendAge(w, l.Age)
}

// ReadLiveness decodes a Liveness from a message. It fails if the message is too short.
func ReadLiveness(r *link.Reader) (Liveness, error) {
	l := Liveness{ID: r.String(), HeartbeatCount: r.U64(), Age: readAge(r)}
	return l, r.Err
}

// appendAge appends an age in whole milliseconds, clamped to 32 bits.
func appendAge(w *link.Writer, age time.Duration) {
	w.U32(uint32(min(max(age.Milliseconds(), 0), math.MaxUint32)))
}

func readAge(r *link.Reader) time.Duration { return time.Duration(r.U32()) * time.Millisecond }
