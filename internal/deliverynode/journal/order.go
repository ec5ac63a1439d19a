package journal

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// staffOrders returns the endpoints that the staff have taken out, in order, without the records of Leaves.
func (j *Journal) staffOrders() (out []string) {
	for _, name := range sorted(j.orders) {
		if !strings.HasPrefix(name, leavingMark) {
			out = append(out, name)
		}
	}
	return out
}

// orderCost returns the bytes reserved for an order.
func orderCost(endpoint string) int64 { return int64(len(endpoint)) + recordReserve }

// Order records that the staff take an endpoint out or let it serve again. An order that holds already is not written.
// It fails with ErrGiven, or with ErrNoRoom.
func (j *Journal) Order(endpoint string, out bool, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.released {
		return ErrReleased
	}
	if _, known := j.orders[endpoint]; known == out {
		return nil
	}
	room := orderCost(endpoint)
	if out && j.liveSize+room > j.limit-3*j.segSize {
		return ErrFull
	}
	if err := j.append(orderRecord(endpoint, out, at), nil); err != nil {
		return err
	}
	j.noteOrder(endpoint, out, at)
	if out {
		j.orders[endpoint] = j.segments[len(j.segments)-1].number
		j.liveSize += room
	} else {
		delete(j.orders, endpoint)
		j.liveSize -= room
	}
	if j.watch != nil && !strings.HasPrefix(endpoint, leavingMark) {
		j.watch.Ordered(j.staffOrders())
	}
	return nil
}

// Orders returns the names of all orders that hold, in order, the records of Leaves included.
func (j *Journal) Orders() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.orders))
}

// TakenOut reports whether the staff have taken an endpoint out.
func (j *Journal) TakenOut(endpoint string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, out := j.orders[endpoint]
	return out
}

// leavingMark is the prefix of an endpoint's name in a record of Leaves. No endpoint has a name that begins with it.
const leavingMark = "\x00"

// maxLeaving is the number of orders from which on Leaves adds no further ones.
const maxLeaving = 256

// Leaves records whether the last list had an endpoint as draining or gone, because the list with which the next process
// starts may be older.
func (j *Journal) Leaves(endpoint string, leaves bool, at time.Time) error {
	j.mu.Lock()
	full := len(j.orders) >= maxLeaving
	j.mu.Unlock()
	if leaves && full {
		return nil
	}
	return j.Order(leavingMark+endpoint, leaves, at)
}

// Left reports whether the last list had an endpoint as draining or gone.
func (j *Journal) Left(endpoint string) bool { return j.TakenOut(leavingMark + endpoint) }
