package quorum

import "time"

// AttachReadInterval is the minimum time between the starts of two reads for attaching processes.
const AttachReadInterval = 20 * time.Millisecond

// Gate decides what a keeper may answer to callers and push to attached processes; a key identifies such a process.
// Without contact, a keeper must not acknowledge, grant or push register contents, nor refuse a request because of
// them.
//
// The keeper knows no register version that a newly attached process already holds, so it pushes nothing to the process
// before a read that began after the process attached has succeeded. After that the process sees only increasing
// versions, and contact suffices.
type Gate[K comparable] struct {
	Tracker
	reads     *ReadBarrier[K]
	confirmed map[K]bool // by attached key: whether a read that began after the key attached has succeeded
}

// NewGate returns a gate without contact.
func NewGate[K comparable]() *Gate[K] {
	return &Gate[K]{reads: NewReadBarrier[K](AttachReadInterval), confirmed: map[K]bool{}}
}

// Attach registers a process, which waits for the next read.
func (g *Gate[K]) Attach(key K) {
	g.confirmed[key] = false
	g.reads.Add(key)
}

// Detach removes a process.
func (g *Gate[K]) Detach(key K) { delete(g.confirmed, key) }

// MayPush reports whether the contents of the registers may be pushed to a process now.
func (g *Gate[K]) MayPush(now time.Duration, key K) bool {
	return g.InContact(now) && g.confirmed[key]
}

// ReadDelay returns the time until the next read for attached processes may begin; false if no read is needed, or if
// one is in progress.
func (g *Gate[K]) ReadDelay(now time.Duration) (delay time.Duration, ok bool) {
	return g.reads.Delay(now)
}

// BeginRead must be called immediately before a read of all registers. It returns false if no read may begin now.
func (g *Gate[K]) BeginRead(now time.Duration) bool { return g.reads.Begin(now) }

// EndRead ends the read in progress. If it failed, the processes that it served wait for the next one.
func (g *Gate[K]) EndRead(ok bool) {
	for _, key := range g.reads.End() {
		confirmed, attached := g.confirmed[key]
		switch {
		case !attached || confirmed:
		case ok:
			g.confirmed[key] = true
		default:
			g.reads.Add(key)
		}
	}
}
