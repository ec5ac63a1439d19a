package node

import (
	"slices"
	"sync"
	"time"
)

// staleness records the age of notifications on arrival, by their kind.
type staleness struct {
	mu  sync.Mutex
	all map[string]*age
}

type age struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_ms"` // of the last maxAges, as the 99th percentile
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
	last   []float64
}

// maxAges is how many of the last ages of each kind are kept for the percentiles.
const maxAges = 1024

func (s *staleness) add(kind string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[string]*age{}
	}
	a := s.all[kind]
	if a == nil {
		a = &age{}
		s.all[kind] = a
	}
	ms := float64(d.Microseconds()) / 1000
	a.Max = max(a.Max, ms)
	if len(a.last) < maxAges {
		a.last = append(a.last, ms)
	} else {
		a.last[a.Count%maxAges] = ms
	}
	a.Count++
}

func (s *staleness) show() map[string]age {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]age{}
	for k, a := range s.all {
		sorted := slices.Sorted(slices.Values(a.last))
		at := func(share float64) float64 { return sorted[int(share*float64(len(sorted)-1))] }
		out[k] = age{Count: a.Count, Median: at(0.5), P99: at(0.99), Max: a.Max}
	}
	return out
}
