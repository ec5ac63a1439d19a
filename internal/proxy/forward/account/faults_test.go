package account

import (
	"io"
	"strings"
	"time"
)

// earlyFault is a fault that an endpoint injects before it runs a call.
type earlyFault int

const (
	noEarlyFault earlyFault = iota
	resetInHead
	resetBeforeBody
	rejectCall
)

// fault is a fault that an endpoint injects into one call: early, or in place of the answer. The function answer reports whether the
// connection stays open.
type fault struct {
	name   string
	early  earlyFault
	answer func(c *endpointCall) bool
}

const (
	maxDelay        = 300 * time.Millisecond
	maxSurplusDelay = 5 * time.Millisecond
)

var faults = []fault{
	{name: "reset in the head", early: resetInHead},
	{name: "reset before the body", early: resetBeforeBody},
	{name: "rejected", early: rejectCall},
	{name: "lost by a reset", answer: func(c *endpointCall) bool { return c.reset() }},
	{name: "lost by a close", answer: func(*endpointCall) bool { return false }},
	{name: "lost by a half-close", answer: halfClose},
	{name: "never answered", answer: holdOpen},
	{name: "reset in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return c.reset() }},
	{name: "closed in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return false }},
	{name: "half-closed in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return halfClose(c) }},
	{name: "stalled in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return holdOpen(c) }},
	{name: "delayed", answer: func(c *endpointCall) bool { c.wait(maxDelay); return c.write(c.rightAnswer()) }},
	{name: "in pieces", answer: inPieces},
	{name: "duplicated", answer: func(c *endpointCall) bool { answer := c.rightAnswer(); return c.write(answer + answer) }},
	{name: "duplicated late", answer: func(c *endpointCall) bool {
		answer := c.rightAnswer()
		if !c.write(answer) {
			return false
		}
		c.wait(maxSurplusDelay)
		return c.write(answer)
	}},
	{name: "after an older one", answer: func(c *endpointCall) bool { older := c.olderAnswer(); return c.write(older + c.rightAnswer()) }},
	{name: "an older one only", answer: func(c *endpointCall) bool { return c.write(c.olderAnswer()) }},
	{name: "an older one, then stalled", answer: func(c *endpointCall) bool { c.write(c.olderAnswer()); return holdOpen(c) }},
	{name: "after a part of an older one", answer: func(c *endpointCall) bool {
		c.writePart(c.olderAnswer())
		return c.write(c.rightAnswer())
	}},
	{name: "followed by an older one", answer: func(c *endpointCall) bool { older := c.olderAnswer(); return c.write(c.rightAnswer() + older) }},
	{name: "without its id", answer: func(c *endpointCall) bool {
		return c.write(strings.Replace(c.rightAnswer(), headerID+": "+c.id+"\r\n", "", 1))
	}},
	{name: "with two ids", answer: func(c *endpointCall) bool {
		return c.write(strings.Replace(c.rightAnswer(), headerID, headerID+": other\r\n"+headerID, 1))
	}},
	{name: "without a seal", answer: func(c *endpointCall) bool {
		return c.write(strings.Replace(c.rightAnswer(), headerSeal, "X-None", 1))
	}},
	{name: "not HTTP", answer: func(c *endpointCall) bool { return c.write("these bytes are none\r\n\r\n") }},
	{name: "failed", answer: func(c *endpointCall) bool { return c.write(c.plainAnswer("500 Failed", c.failure())) }},
	{name: "timed out", answer: func(c *endpointCall) bool { return c.write(c.plainAnswer("504 Late", c.failure())) }},
	{name: "refused without proof", answer: func(c *endpointCall) bool { return c.write(c.plainAnswer("503 Busy", "")) }},
}

// failure returns the body of a failed call's answer.
func (c *endpointCall) failure() string { return digest("failed", c.id) }

// writePart writes a random number of the first bytes of a text, but not all.
func (c *endpointCall) writePart(text string) {
	if len(text) > 0 {
		c.write(text[:c.randomN(len(text))])
	}
}

func (c *endpointCall) wait(limit time.Duration) { time.Sleep(time.Duration(c.randomN(int(limit)))) }

// holdOpen keeps the connection open until the other side closes it.
func holdOpen(c *endpointCall) bool {
	_, _ = io.Copy(io.Discard, c.conn)
	return false
}

func halfClose(c *endpointCall) bool {
	_ = c.conn.CloseWrite()
	return holdOpen(c)
}

// inPieces writes the answer in three pieces with pauses between them.
func inPieces(c *endpointCall) bool {
	answer := c.rightAnswer()
	for range 2 {
		n := c.randomN(len(answer) + 1)
		if !c.write(answer[:n]) {
			return false
		}
		answer = answer[n:]
		c.wait(maxSurplusDelay)
	}
	return c.write(answer)
}
