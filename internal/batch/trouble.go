package batch

import (
	"fmt"
	"sync/atomic"
	"time"
)

// stalledAfter is how long an operation of the disk takes before operators are told.
const stalledAfter = 2 * time.Second

// reasonFull is what operators are told of a store whose log has no room for more jobs.
const reasonFull = "the log has no room for more jobs"

// operation is what one goroutine waits for of the disk.
type operation struct{ began atomic.Int64 } // since the start of the store; 0: none is under way

func (o *operation) begin(now time.Duration) { o.began.Store(max(1, int64(now))) }
func (o *operation) end()                    { o.began.Store(0) }

// lasts is for how long an operation has been under way.
func (o *operation) lasts(now time.Duration) time.Duration {
	began := o.began.Load()
	if began == 0 {
		return 0
	}
	return now - time.Duration(began)
}

// Trouble is what keeps the store from its work, for operators; empty: nothing.
func (s *Store) Trouble() string {
	now := time.Since(s.start)
	if stalled := max(s.using.lasts(now), s.syncing.lasts(now)); stalled >= stalledAfter {
		return fmt.Sprintf("the disk has not answered for %v", stalled.Truncate(time.Second))
	}
	if s.full.Load() {
		return reasonFull
	}
	return ""
}
