package sendlog

import (
	"testing"
	"time"
)

func TestRemoveRemovesOneSend(t *testing.T) {
	l := Log{Window: 5 * time.Second}
	for _, at := range []Time{1, 2, 2, 3} {
		l.Record(at)
	}
	l.Remove(2)
	l.Remove(9)
	if n := l.Count(4); n != 3 {
		t.Errorf("%d entries are left, want 3", n)
	}
}

func TestCountDropsExpiredSends(t *testing.T) {
	l := Log{Window: 5 * time.Second}
	for i := range 4 {
		l.Record(Time(i) * time.Second)
	}
	for _, c := range []struct {
		at   Time
		want int
	}{{3 * time.Second, 4}, {5*time.Second - 1, 4}, {5 * time.Second, 3}, {8 * time.Second, 0}} {
		if n := l.Count(c.at); n != c.want {
			t.Errorf("%d entries at %v, want %d", n, c.at, c.want)
		}
	}
}

func TestMaxEntriesBoundsTheLog(t *testing.T) {
	l := Log{Window: time.Minute, MaxEntries: 3}
	for i := range 10 {
		l.Record(Time(i))
	}
	if n := l.Count(10); n != 3 || l.Times[0] != 7 {
		t.Errorf("%d entries are left from %v on, want the last 3", n, l.Times[0])
	}
}

func TestAvailableAt(t *testing.T) {
	l := Log{Window: 5}
	if at := l.AvailableAt(1, 1); at != 1 {
		t.Errorf("an empty log is available at %v, want now", at)
	}
	for limit, want := range map[int]Time{0: 8, 1: 8, 2: 7, 3: 6, 4: 3} {
		l := Log{Window: 5, Times: []Time{1, 2, 3}}
		at := l.AvailableAt(3, limit)
		if at != want {
			t.Errorf("with limit %d available at %v, want %v", limit, at, want)
		}
		if limit < 4 && l.Count(at-1) < limit {
			t.Errorf("with limit %d it was available earlier", limit)
		}
	}
}
