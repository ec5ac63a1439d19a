package engine

import (
	"slices"
	"testing"
	"time"
)

func options() Options {
	return Options{ID: "i-1", Service: "s", Address: "127.0.0.1:0", Capacity: 2, Queue: 1, CacheTokens: 1000, Stride: 10, Piece: 100,
		Step: time.Millisecond, StepGrowth: time.Millisecond, PrefillToken: 10 * time.Microsecond, Runs: &Runs{}}
}

func newJob(prompt []part, events int) *job {
	return &job{prompt: prompt, out: events * 10, next: 1, count: events, begin: func() {}, events: make(chan int, events)}
}

func (b *batch) once() time.Duration {
	took, done := b.step()
	done()
	return took
}

func drain(j *job) (out []int) {
	for len(j.events) > 0 {
		out = append(out, <-j.events)
	}
	return out
}

func TestBatchPrefillsInChunksBetweenTheTokensOfOthers(t *testing.T) {
	b := batch{options: options(), cache: newCache()}
	short, long := newJob([]part{{"a", 50}}, 8), newJob([]part{{"b", 250}}, 2)
	b.offer(short)
	b.once()
	b.offer(long)
	for range 2 { // 200 of the 250 tokens
		b.once()
	}
	if got := drain(long); len(got) != 0 {
		t.Errorf("events %v before the prompt was prefilled", got)
	}
	b.once()
	if got, want := drain(long), []int{1}; !slices.Equal(got, want) {
		t.Errorf("events of the long job are %v, want %v", got, want)
	}
	if got, want := drain(short), []int{1, 2, 3, 4}; !slices.Equal(got, want) {
		t.Errorf("events of the short job are %v, want %v", got, want)
	}
}

func TestStepTakesLongerWithMoreRunningJobs(t *testing.T) {
	b := batch{options: options(), cache: newCache()}
	b.offer(newJob([]part{{"a", 0}}, 5))
	one := b.once()
	b.offer(newJob([]part{{"b", 0}}, 5))
	if two := b.once(); one != 2*time.Millisecond || two != 3*time.Millisecond {
		t.Errorf("steps with one and two jobs take %v and %v, want 2ms and 3ms", one, two)
	}
}

func TestCachedPromptPartIsPrefilledOnce(t *testing.T) {
	b := batch{options: options(), cache: newCache()}
	shared := part{"m/s", 90}
	b.offer(newJob([]part{shared, {"m/s/1", 10}}, 1))
	b.once()
	b.offer(newJob([]part{shared, {"m/s/2", 10}}, 1))
	if took, want := b.once(), 2*time.Millisecond+100*time.Microsecond; took != want {
		t.Errorf("the second prompt takes %v, want %v: only its own 10 tokens need a prefill", took, want)
	}
	b.offer(newJob([]part{{"x/s", 90}}, 1))
	if took, want := b.once(), 2*time.Millisecond+900*time.Microsecond; took != want {
		t.Errorf("another prompt takes %v, want %v", took, want)
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := newCache()
	a, b, d := part{"a", 40}, part{"b", 40}, part{"d", 40}
	c.add([]part{a}, 100)
	c.add([]part{b}, 100)
	c.hit([]part{a})
	c.add([]part{d}, 100)
	if c.hit([]part{a}) != 40 || c.hit([]part{b}) != 0 || c.hit([]part{d}) != 40 || c.tokens != 80 {
		t.Errorf("a, b, d hit %d, %d, %d of %d tokens", c.hit([]part{a}), c.hit([]part{b}), c.hit([]part{d}), c.tokens)
	}
}

func TestBatchIsBoundedInSlotsQueueAndMemory(t *testing.T) {
	b := batch{options: options(), cache: newCache()}
	for i := range 3 {
		if !b.offer(newJob([]part{{"p", 10}}, 4)) {
			t.Fatalf("job %d of two slots and a queue of one was rejected", i)
		}
	}
	if b.offer(newJob([]part{{"p", 10}}, 4)) {
		t.Error("a fourth job was accepted")
	}
	b.once()
	if len(b.running) != 2 || len(b.waiting) != 1 {
		t.Errorf("%d run and %d wait", len(b.running), len(b.waiting))
	}
	b = batch{options: options(), cache: newCache()}
	if b.offer(newJob([]part{{"p", 1000}}, 1)) {
		t.Error("a job larger than the memory was accepted")
	}
	b.offer(newJob([]part{{"p", 600}}, 1))
	b.offer(newJob([]part{{"q", 600}}, 1))
	b.once()
	if len(b.running) != 1 {
		t.Errorf("%d jobs run in memory that suffices for one", len(b.running))
	}
	b.drop(b.running[0])
	b.once()
	if len(b.running) != 1 || b.used != 610 {
		t.Errorf("%d jobs run after the first was dropped, with %d tokens", len(b.running), b.used)
	}
}
