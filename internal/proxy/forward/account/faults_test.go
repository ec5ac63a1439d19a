package account

import (
	"io"
	"strings"
	"time"
)

// earlyFault is what an endpoint does before it runs a call.
type earlyFault int

const (
	noEarlyFault earlyFault = iota
	resetInHead
	resetBeforeBody
	turnAway
)

// fault is what an endpoint does to one call: early, or in place of the answer. The answer's function tells whether the connection goes on.
type fault struct {
	name   string
	early  earlyFault
	answer func(c *endpointCall) bool
}

const (
	mostLate    = 300 * time.Millisecond
	mostSurplus = 5 * time.Millisecond
)

var faults = []fault{
	{name: "reset in the head", early: resetInHead},
	{name: "reset before the body", early: resetBeforeBody},
	{name: "turned away", early: turnAway},
	{name: "lost by a reset", answer: func(c *endpointCall) bool { return c.reset() }},
	{name: "lost by a close", answer: func(*endpointCall) bool { return false }},
	{name: "lost by a half-close", answer: halfClose},
	{name: "never answered", answer: stayed},
	{name: "reset in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return c.reset() }},
	{name: "closed in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return false }},
	{name: "half-closed in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return halfClose(c) }},
	{name: "stalled in the answer", answer: func(c *endpointCall) bool { c.writePart(c.rightAnswer()); return stayed(c) }},
	{name: "late", answer: func(c *endpointCall) bool { c.wait(mostLate); return c.write(c.rightAnswer()) }},
	{name: "in pieces", answer: inPieces},
	{name: "doubled", answer: func(c *endpointCall) bool { answer := c.rightAnswer(); return c.write(answer + answer) }},
	{name: "doubled late", answer: func(c *endpointCall) bool {
		answer := c.rightAnswer()
		if !c.write(answer) {
			return false
		}
		c.wait(mostSurplus)
		return c.write(answer)
	}},
	{name: "behind an older one", answer: func(c *endpointCall) bool { older := c.olderAnswer(); return c.write(older + c.rightAnswer()) }},
	{name: "an older one only", answer: func(c *endpointCall) bool { return c.write(c.olderAnswer()) }},
	{name: "an older one, and silence", answer: func(c *endpointCall) bool { c.write(c.olderAnswer()); return stayed(c) }},
	{name: "behind a part of an older one", answer: func(c *endpointCall) bool {
		c.writePart(c.olderAnswer())
		return c.write(c.rightAnswer())
	}},
	{name: "an older one behind", answer: func(c *endpointCall) bool { older := c.olderAnswer(); return c.write(c.rightAnswer() + older) }},
	{name: "without its id", answer: func(c *endpointCall) bool {
		return c.write(strings.Replace(c.rightAnswer(), headerID+": "+c.id+"\r\n", "", 1))
	}},
	{name: "with two ids", answer: func(c *endpointCall) bool {
		return c.write(strings.Replace(c.rightAnswer(), headerID, headerID+": other\r\n"+headerID, 1))
	}},
	{name: "without a seal", answer: func(c *endpointCall) bool {
		return c.write(strings.Replace(c.rightAnswer(), headerSeal, "X-None", 1))
	}},
	{name: "no answer at all", answer: func(c *endpointCall) bool { return c.write("these bytes are none\r\n\r\n") }},
	{name: "failed", answer: func(c *endpointCall) bool { return c.write(c.plainAnswer("500 Failed", c.failure())) }},
	{name: "out of time", answer: func(c *endpointCall) bool { return c.write(c.plainAnswer("504 Late", c.failure())) }},
	{name: "refused without proof", answer: func(c *endpointCall) bool { return c.write(c.plainAnswer("503 Busy", "")) }},
}

// failure is the body of a failed call's answer.
func (c *endpointCall) failure() string { return digest("failed", c.id) }

// writePart writes a part of a text: any number of its bytes, but not all.
func (c *endpointCall) writePart(text string) {
	if len(text) > 0 {
		c.write(text[:c.draw(len(text))])
	}
}

func (c *endpointCall) wait(most time.Duration) { time.Sleep(time.Duration(c.draw(int(most)))) }

// stayed keeps the connection until the other side ends it.
func stayed(c *endpointCall) bool {
	_, _ = io.Copy(io.Discard, c.conn)
	return false
}

func halfClose(c *endpointCall) bool {
	_ = c.conn.CloseWrite()
	return stayed(c)
}

// inPieces writes the answer in three pieces, parted by pauses.
func inPieces(c *endpointCall) bool {
	answer := c.rightAnswer()
	for range 2 {
		n := c.draw(len(answer) + 1)
		if !c.write(answer[:n]) {
			return false
		}
		answer = answer[n:]
		c.wait(mostSurplus)
	}
	return c.write(answer)
}
