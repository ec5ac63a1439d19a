package outbox

import (
	"errors"
	"testing"
)

func TestNewestOfEachKey(t *testing.T) {
	q := New[int](2, 10)
	for _, put := range []struct {
		key     string
		v, size int
		full    bool
	}{{"a", 1, 4, false}, {"b", 2, 4, false}, {"c", 3, 1, true}, {"a", 4, 6, false}, {"b", 5, 5, true}} {
		if err := q.Put(put.key, put.v, put.size); errors.Is(err, ErrFull) != put.full {
			t.Errorf("%+v: %v", put, err)
		}
	}
	a, _ := q.First()
	if a.Key != "a" || a.Value != 4 {
		t.Errorf("first %+v", a)
	}
	if err := q.Put("a", 6, 6); err != nil { // while the first entry is being sent
		t.Error(err)
	}
	q.Done(a)
	b, _ := q.First()
	if b.Key != "b" || b.Value != 2 {
		t.Errorf("then %+v", b)
	}
	q.Done(b)
	q.Done(b) // a repeated call has no effect
	if last, ok := q.First(); !ok || last.Value != 6 {
		t.Errorf("last %+v", last)
	}
	if items, bytes, dropped := q.Len(); items != 1 || bytes != 6 || dropped != 2 {
		t.Error(items, bytes, dropped)
	}
}

func TestPushDropsTheOldest(t *testing.T) {
	q := New[int](2, 0)
	for i, key := range []string{"a", "b", "a", "c"} {
		q.Push(key, i, 0)
	}
	if e, _ := q.First(); e.Key != "b" {
		t.Errorf("first %+v", e)
	}
	if items, _, dropped := q.Len(); items != 2 || dropped != 1 {
		t.Error(items, dropped)
	}
}
