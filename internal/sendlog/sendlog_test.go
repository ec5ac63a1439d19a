package sendlog

import (
	"testing"
	"time"
)

func TestForgetTakesOneOut(t *testing.T) {
	l := Log{Window: 5 * time.Second}
	for _, at := range []Time{1, 2, 2, 3} {
		l.Record(at)
	}
	l.Forget(2)
	l.Forget(9)
	if n := l.Count(4); n != 3 {
		t.Errorf("%d entries are left, want 3", n)
	}
}

func TestCountDropsWhatIsAWindowOld(t *testing.T) {
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
