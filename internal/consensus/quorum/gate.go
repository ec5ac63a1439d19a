package quorum

import "time"

// AttachReadInterval is how far apart reads for processes that attach begin at least.
const AttachReadInterval = 20 * time.Millisecond

// Gate decides what a keeper may answer to callers, and push to processes that attach to it, which are its keys.
// Nothing may be acknowledged, refused by what is known, granted or pushed of registers unless InContact.
//
// A process that attaches has no value of the registers that the keeper could compare with, so nothing is pushed to it
// before a read that began after it attached. From then on versions only grow for it, and contact is enough.
type Gate[K comparable] struct {
	Tracker
	reads     *ReadBarrier[K]
	confirmed map[K]bool // attached keys, and whether a read that began later has succeeded
}

// NewGate returns a gate without contact.
func NewGate[K comparable]() *Gate[K] {
	return &Gate[K]{reads: NewReadBarrier[K](AttachReadInterval), confirmed: map[K]bool{}}
}

// Attach has a process wait for a read.
func (g *Gate[K]) Attach(key K) {
	g.confirmed[key] = false
	g.reads.Add(key)
}

// Detach forgets a process.
func (g *Gate[K]) Detach(key K) { delete(g.confirmed, key) }

// MayPush reports whether a process may be pushed what the registers hold.
func (g *Gate[K]) MayPush(now time.Duration, key K) bool {
	return g.InContact(now) && g.confirmed[key]
}

// ReadDelay is how long it takes until the next read for those who have attached; not ok: none is needed.
func (g *Gate[K]) ReadDelay(now time.Duration) (delay time.Duration, ok bool) {
	return g.reads.Delay(now)
}

// BeginRead is called right before a read of all registers. False: none may begin now.
func (g *Gate[K]) BeginRead(now time.Duration) bool { return g.reads.Begin(now) }

// EndRead ends the read. Where it failed, those it was for wait for the next one.
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
