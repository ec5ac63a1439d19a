package journal

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// staffOrders are the endpoints that the staff have taken out, without those that leave by the list.
func (j *Journal) staffOrders() (out []string) {
	for _, name := range sorted(j.orders) {
		if !strings.HasPrefix(name, leavingMark) {
			out = append(out, name)
		}
	}
	return out
}

func orderCost(endpoint string) int64 { return int64(len(endpoint)) + ownShare }

// Order journals that the staff take an endpoint out or let it serve again.
func (j *Journal) Order(endpoint string, out bool, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.given {
		return ErrGiven
	}
	if _, known := j.orders[endpoint]; known == out {
		return nil
	}
	room := orderCost(endpoint)
	if out && j.liveSize+room > j.limit-3*j.segSize {
		return ErrNoRoom
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

// Orders are the names of all orders that hold, those for what leaves among them.
func (j *Journal) Orders() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.orders))
}

// Barred tells whether the staff have taken an endpoint out.
func (j *Journal) Barred(endpoint string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, out := j.orders[endpoint]
	return out
}

// leavingMark stands before the name of an endpoint in the record that it was told to
// leave. No endpoint has a name that begins so.
const leavingMark = "\x00"

// maxLeaving bounds these records in a long life.
const maxLeaving = 256

// Leaves journals whether an endpoint was last told to drain or to be gone: the list that
// the next life starts with may be older than that.
func (j *Journal) Leaves(endpoint string, leaves bool, at time.Time) error {
	j.mu.Lock()
	full := len(j.orders) >= maxLeaving
	j.mu.Unlock()
	if leaves && full {
		return nil
	}
	return j.Order(leavingMark+endpoint, leaves, at)
}

// Left tells whether an endpoint was last told to drain or to be gone.
func (j *Journal) Left(endpoint string) bool { return j.Barred(leavingMark + endpoint) }
