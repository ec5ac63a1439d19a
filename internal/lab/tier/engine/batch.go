package engine

import (
	"container/list"
	"slices"
	"strconv"
	"strings"
	"time"
)

// part is a part of a prompt. Its key identifies the model, all preceding parts and the part itself.
type part struct {
	key    string
	tokens int
}

// parts parses the parts of a prompt, which have the form ID:TOKENS and are separated by commas.
func parts(model, header string) []part {
	var out []part
	key := model
	for field := range strings.SplitSeq(header, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil || tokens < 0 {
			return out
		}
		key += "/" + id
		out = append(out, part{key, tokens})
	}
	return out
}

// cache is an LRU cache of prompt parts.
type cache struct {
	tokens  int
	entries map[string]*list.Element
	order   *list.List // of part, the most recently used first
}

func newCache() *cache { return &cache{entries: map[string]*list.Element{}, order: list.New()} }

// hit returns how many tokens of a prompt are cached and need no prefill, and marks their parts as used.
func (c *cache) hit(prompt []part) (tokens int) {
	for _, p := range prompt {
		e := c.entries[p.key]
		if e == nil {
			break
		}
		c.order.MoveToFront(e)
		tokens += p.tokens
	}
	return tokens
}

// shrink evicts parts until at most limit tokens are cached.
func (c *cache) shrink(limit int) {
	for c.tokens > limit && c.order.Len() > 0 {
		p := c.order.Remove(c.order.Back()).(part)
		delete(c.entries, p.key)
		c.tokens -= p.tokens
	}
}

// add caches the parts of a prompt and evicts parts until at most limit tokens are cached.
func (c *cache) add(prompt []part, limit int) {
	for _, p := range slices.Backward(prompt) { // the first part is most recently used, because the others depend on it
		if e := c.entries[p.key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[p.key] = c.order.PushFront(p)
		c.tokens += p.tokens
	}
	c.shrink(limit)
}

// job is one request at a model endpoint.
type job struct {
	prompt   []part
	out      int    // tokens
	next     int    // the next event
	count    int    // events of the complete stream
	prefill  int    // tokens still to be prefilled
	reserved int    // tokens of memory reserved while it runs
	begin    func() // called at its first token
	begun    bool
	events   chan int // its capacity is the number of events; closed after the last one
	running  bool
}

// size returns the tokens of the prompt and of the output.
func (j *job) size() int {
	sum := j.out
	for _, p := range j.prompt {
		sum += p.tokens
	}
	return sum
}

// batch schedules the jobs of a model endpoint. It has no clock and no sockets.
type batch struct {
	options Options
	cache   *cache
	waiting []*job
	running []*job
	used    int // tokens reserved by running jobs, which cannot be evicted
}

// offer accepts a job. It returns false if the endpoint is full.
func (b *batch) offer(j *job) bool {
	if len(b.waiting) >= b.options.Queue+max(0, b.options.Capacity-len(b.running)) || j.size() > b.options.CacheTokens {
		return false
	}
	b.waiting = append(b.waiting, j)
	return true
}

// admit starts waiting jobs in order, as far as slots and memory allow.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.options.Capacity {
		j := b.waiting[0]
		prompt := j.size() - j.out
		hit := b.cache.hit(j.prompt)
		need := prompt - hit + j.out
		if b.used+need > b.options.CacheTokens {
			return
		}
		b.waiting = b.waiting[1:]
		j.prefill, j.reserved, j.running = prompt-hit, need, true
		b.used += need
		b.cache.shrink(b.options.CacheTokens - b.used)
		b.running = append(b.running, j)
	}
}

// step plans one step. It returns how long the step takes and a function to call after that time.
func (b *batch) step() (time.Duration, func()) {
	b.admit()
	budget := b.options.Piece
	took := b.options.Step + time.Duration(len(b.running))*b.options.StepGrowth
	var emit []*job
	for _, j := range b.running {
		prefilled := min(budget, j.prefill)
		budget -= prefilled
		j.prefill -= prefilled
		took += time.Duration(prefilled) * b.options.PrefillToken
		if j.prefill == 0 {
			emit = append(emit, j)
		}
	}
	return took, func() {
		for _, j := range emit {
			if j.running { // it may have been dropped meanwhile
				b.emit(j)
			}
		}
	}
}

// emit emits the next event of a job, and removes the job from the batch after the last one.
func (b *batch) emit(j *job) {
	if !j.begun {
		j.begun = true
		j.begin()
		b.cache.add(j.prompt, b.options.CacheTokens-b.used)
	}
	if j.next <= j.count {
		j.events <- j.next
		j.next++
	}
	if j.next > j.count {
		close(j.events)
		b.drop(j)
	}
}

// drop removes a job from the waiting or the running jobs.
func (b *batch) drop(j *job) {
	is := func(o *job) bool { return o == j }
	b.waiting = slices.DeleteFunc(b.waiting, is)
	if j.running {
		j.running = false
		b.running = slices.DeleteFunc(b.running, is)
		b.used -= j.reserved
	}
}
