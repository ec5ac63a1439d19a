package node

import (
	"testing"
	"time"

	"dunetide/internal/deliverynode/journal"
)

// A member without a list reports revision -1, so that a joining member that then coordinates fetches the complete list.
func TestStateOfAMemberWithoutAList(t *testing.T) {
	j, _ := mustOpen(t, t.TempDir(), journal.MinDisk)
	l := &loop{journal: j}
	l.knownRevision.Store(-1)
	if s := l.memberState(); s.Revision != -1 || len(s.Members) > 0 {
		t.Errorf("%+v", s)
	}
	l.knownRevision.Store(7)
	if s := l.memberState(); s.Revision != 7 {
		t.Errorf("%+v", s)
	}
}

func TestStaleness(t *testing.T) {
	var s staleness
	for i := range 3 * maxAges {
		s.add("wait", time.Duration(i)*time.Microsecond)
	}
	s.add("list", time.Millisecond)
	got := s.show()
	if a := got["list"]; a.Count != 1 || a.Median != 1 || a.P99 != 1 || a.Max != 1 {
		t.Errorf("%+v", a)
	}
	// The percentiles are those of the last third.
	a := got["wait"]
	if a.Count != 3*maxAges || a.Max != float64(3*maxAges-1)/1000 || a.Median < 2.5*maxAges/1000-0.01 || a.Median > 2.5*maxAges/1000+0.01 || a.P99 <= a.Median {
		t.Errorf("%+v", a)
	}
	if n := len(s.all["wait"].last); n != maxAges {
		t.Errorf("%d ages are kept", n)
	}
}
