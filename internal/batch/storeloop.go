package batch

import (
	"fmt"
	"time"
)

// Intervals between ticks of the core.
const (
	firstTickDelay = 200 * time.Millisecond
	slowTick       = 250 * time.Millisecond
	fastTick       = 25 * time.Millisecond
)

// enqueue makes run call a function soon, with the clock set. It does nothing after the store has
// stopped.
func (s *Store) enqueue(event func()) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.queue = append(s.queue, event)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the only goroutine that uses the core. It returns when the store stops.
func (s *Store) run() {
	timer := time.NewTimer(firstTickDelay)
	defer timer.Stop()
	nextTick := time.Now()
	for {
		select {
		case <-s.wake:
		case <-timer.C:
		case <-s.done:
			return
		}
		for _, event := range s.swapQueue() {
			s.setClock()
			event()
		}
		s.setClock()
		interval := slowTick
		if s.core.needsFastTicks() {
			interval = fastTick
		}
		if now := time.Now(); !now.Before(nextTick) || now.Add(interval).Before(nextTick) {
			s.core.tick()
			nextTick = now.Add(interval)
			timer.Reset(interval)
		}
		s.logFull.Store(s.core.logFull)
		s.publishLeads()
	}
}

// swapQueue returns the queued events, and empties the queue.
func (s *Store) swapQueue() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.queue
	s.queue = nil
	return events
}

func (s *Store) setClock() {
	s.core.nowMs = time.Since(s.start).Milliseconds() + 1
}

// syncLoop makes appended records durable, with one sync for all that are pending. It returns when
// the store stops.
func (s *Store) syncLoop() {
	var syncedRecords uint64
	for {
		select {
		case <-s.syncWake:
		case <-s.done:
			return
		}
		s.syncMu.Lock()
		records, end := s.appendedRecords, s.appendedEnd
		s.syncMu.Unlock()
		if records == syncedRecords {
			continue
		}
		syncedRecords = records
		s.diskSync.begin(time.Since(s.start))
		err := s.log.SyncTo(end)
		s.diskSync.end()
		if err != nil {
			s.end(fmt.Errorf("syncing the log of batch jobs: %w", err))
			return
		}
		s.enqueue(func() {
			s.core.recordsSynced(records)
			s.core.dispatchItems()
		})
	}
}
