package journal

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// operatorOrders returns the endpoints that operators have taken out of service, sorted, without the records of SetLeaving.
func (j *Journal) operatorOrders() (out []string) {
	for _, name := range sorted(j.orders) {
		if !strings.HasPrefix(name, leavingPrefix) {
			out = append(out, name)
		}
	}
	return out
}

// orderReservedSize returns the bytes reserved for an order.
func orderReservedSize(endpoint string) int64 { return int64(len(endpoint)) + recordReserve }

// Order records that an operator takes an endpoint out of service or puts it back. An order that is already in force is not
// written again. It fails with ErrReleased or ErrFull.
func (j *Journal) Order(endpoint string, out bool, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.released {
		return ErrReleased
	}
	if _, known := j.orders[endpoint]; known == out {
		return nil
	}
	size := orderReservedSize(endpoint)
	if out && j.liveSize+size > j.limit-3*j.segSize {
		return ErrFull
	}
	if err := j.append(orderRecord(endpoint, out, at), nil); err != nil {
		return err
	}
	j.noteOrder(endpoint, out, at)
	if out {
		j.orders[endpoint] = j.segments[len(j.segments)-1].number
		j.liveSize += size
	} else {
		delete(j.orders, endpoint)
		j.liveSize -= size
	}
	if j.watcher != nil && !strings.HasPrefix(endpoint, leavingPrefix) {
		j.watcher.Ordered(j.operatorOrders())
	}
	return nil
}

// Orders returns the names of all orders in force, sorted, including the records of SetLeaving.
func (j *Journal) Orders() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.orders))
}

// TakenOut reports whether an operator has taken an endpoint out of service.
func (j *Journal) TakenOut(endpoint string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, out := j.orders[endpoint]
	return out
}

// leavingPrefix is the prefix of an endpoint's name in a record of SetLeaving. No endpoint name begins with it.
const leavingPrefix = "\x00"

// maxOrdersForLeaves is the number of orders at which SetLeaving stops adding records.
const maxOrdersForLeaves = 256

// SetLeaving records whether the last discovery list had an endpoint as draining or gone, because the list with which the next
// process starts may be older.
func (j *Journal) SetLeaving(endpoint string, leaves bool, at time.Time) error {
	j.mu.Lock()
	full := len(j.orders) >= maxOrdersForLeaves
	j.mu.Unlock()
	if leaves && full {
		return nil
	}
	return j.Order(leavingPrefix+endpoint, leaves, at)
}

// IsLeaving reports whether the last discovery list had an endpoint as draining or gone.
func (j *Journal) IsLeaving(endpoint string) bool { return j.TakenOut(leavingPrefix + endpoint) }
