package batch

import (
	"fmt"
	"sync/atomic"
	"time"
)

// stalledAfter is how long a disk operation may take before Condition reports that the disk does
// not respond.
const stalledAfter = 2 * time.Second

// conditionLogFull is the condition of a store whose log has no space for more jobs.
const conditionLogFull = "the log has no room for more jobs"

// diskOperation tracks the disk operation that one goroutine waits for.
type diskOperation struct {
	startedAt atomic.Int64 // ns since the start of the store; 0: none in progress
}

func (o *diskOperation) begin(now time.Duration) { o.startedAt.Store(max(1, int64(now))) }
func (o *diskOperation) end()                    { o.startedAt.Store(0) }

// elapsed returns how long the current operation has been in progress; 0 if there is none.
func (o *diskOperation) elapsed(now time.Duration) time.Duration {
	startedAt := o.startedAt.Load()
	if startedAt == 0 {
		return 0
	}
	return now - time.Duration(startedAt)
}

// Condition describes for operators why the store can't do its work; it is empty if the store can.
func (s *Store) Condition() string {
	now := time.Since(s.start)
	if stalled := max(s.diskUse.elapsed(now), s.diskSync.elapsed(now)); stalled >= stalledAfter {
		return fmt.Sprintf("the disk has not answered for %v", stalled.Truncate(time.Second))
	}
	if s.logFull.Load() {
		return conditionLogFull
	}
	return ""
}
