package quorum

import "time"

// AttachReadEvery is how far apart reads for processes that attach begin at least.
const AttachReadEvery = 20 * time.Millisecond

// Gate decides what a keeper may say: to callers, and to processes that attach to it, which are its keys. Nothing may be
// acknowledged, refused for what is known, granted or pushed of registers unless contact Holds.
//
// A process that attaches has no value of the registers that the keeper could compare with, so it is handed none
// before a read that began after it attached. From then on versions only grow for it, and contact is enough.
type Gate[K comparable] struct {
	Tracker
	reads     *Barrier[K]
	confirmed map[K]bool // attached keys, and whether a read that began later has ended well
}

// NewGate returns a gate without contact.
func NewGate[K comparable]() *Gate[K] {
	return &Gate[K]{reads: NewBarrier[K](AttachReadEvery), confirmed: map[K]bool{}}
}

// Attach has a process wait for a read.
func (g *Gate[K]) Attach(key K) {
	g.confirmed[key] = false
	g.reads.Add(key)
}

// Detach forgets a process.
func (g *Gate[K]) Detach(key K) { delete(g.confirmed, key) }

// MayHandOut tells whether a process may be pushed what the registers hold.
func (g *Gate[K]) MayHandOut(now time.Duration, key K) bool {
	return g.Holds(now) && g.confirmed[key]
}

// ReadDelay is how long it takes until the next read for those who have attached; not ok: none is needed.
func (g *Gate[K]) ReadDelay(now time.Duration) (time.Duration, bool) { return g.reads.Delay(now) }

// BeginRead is called right before a read of all registers. False: none is to begin now.
func (g *Gate[K]) BeginRead(now time.Duration) bool { return g.reads.Begin(now) }

// ReadDone ends the read. Those it was for wait for the next one where it failed.
func (g *Gate[K]) ReadDone(ok bool) {
	for _, key := range g.reads.Done() {
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
