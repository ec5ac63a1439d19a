package quota

// The history of a bucket is divided into slots. Tokens can be refunded for as long as the history reaches back.
const (
	slotMs       = 40
	historySlots = 64 // together 2.56 s
)

// history has the tokens that a bucket granted lately, less those that were refunded. With it a bucket can be computed
// anew as if refunded tokens had never been granted.
type history struct {
	baseLevel microTokens // at baseMs; at most the level that the tokens which were not refunded would have left
	baseMs    int64
	taken     [historySlots]uint32 // in each slot since baseMs; slots follow each other around the array
	// refundableMs is the first time whose grants can be refunded.
	refundableMs int64
}

// forget forgets all grants until now, those of this very ms too: they can't be told from later ones of that ms.
func (h *history) forget(nowMs int64, level microTokens) {
	h.restart(nowMs, level)
	h.refundableMs = nowMs + 1
}

func slotOf(ms int64) int64 { return ms / slotMs }

// restart forgets all grants before now. Their tokens can no longer be refunded.
func (h *history) restart(nowMs int64, level microTokens) {
	*h = history{baseLevel: level, baseMs: nowMs}
}

// advance makes place for the slot of now. Level is that of the bucket.
func (h *history) advance(p *pace, nowMs int64, level microTokens) {
	if slotOf(nowMs)-slotOf(h.baseMs) >= 2*historySlots {
		h.restart(nowMs, level)
		return
	}
	for slotOf(nowMs)-slotOf(h.baseMs) >= historySlots {
		slot := &h.taken[slotOf(h.baseMs)%historySlots]
		h.baseLevel, h.baseMs = p.afterSlot(h.baseLevel, h.baseMs, nowMs, *slot)
		*slot = 0
	}
}

// add records a grant.
func (h *history) add(nowMs int64, tokens uint32) { h.taken[slotOf(nowMs)%historySlots] += tokens }

// remove removes refunded tokens of a grant. It reports whether there were any.
func (h *history) remove(grantedMs, nowMs int64, tokens uint32) bool {
	if grantedMs < max(h.baseMs, h.refundableMs) || grantedMs > nowMs {
		return false
	}
	slot := &h.taken[slotOf(grantedMs)%historySlots]
	removed := min(tokens, *slot)
	*slot -= removed
	return removed > 0
}

// level computes the level of the bucket from the history. It is at most the level of a bucket that has granted only
// the tokens that were not refunded.
func (h *history) level(p *pace, nowMs int64) microTokens {
	level, at := h.baseLevel, h.baseMs
	for slotOf(at) < slotOf(nowMs) {
		level, at = p.afterSlot(level, at, nowMs, h.taken[slotOf(at)%historySlots])
	}
	level, _ = p.afterSlot(level, at, nowMs, h.taken[slotOf(nowMs)%historySlots])
	return level
}

// afterSlot returns a level at the end of the slot that contains a time, or now if that is earlier. The tokens that
// were taken in the slot are subtracted at its end: taken earlier, they would leave room for more of the refill.
func (p *pace) afterSlot(level microTokens, atMs, nowMs int64, taken uint32) (after microTokens, endMs int64) {
	endMs = min((slotOf(atMs)+1)*slotMs, nowMs)
	gained, _ := p.refill(level, endMs-atMs, 0)
	return level + gained - microTokens(taken)*token, endMs
}
