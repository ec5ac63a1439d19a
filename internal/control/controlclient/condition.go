package controlclient

import (
	"context"

	"dunetide/internal/platform/link"
)

// Condition is a fault that prevents a process from operating, such as a full disk. The process reports it to a keeper
// periodically while it lasts, and that keeper forwards the report to the other keepers.
type Condition struct {
	// Node is the affected process.
	Node Node
	// Reason is a message for operators; empty if the condition has ended.
	Reason string
	// Relayed is set if the report was forwarded by a keeper.
	Relayed bool
}

// Encode returns the encoding of a condition.
func (c *Condition) Encode() []byte {
	w := link.Writer{}
	c.Node.Append(&w)
	w.String(c.Reason)
	w.Bool(c.Relayed)
	return w.Buf
}

// ReadCondition decodes a condition. It fails with link.ErrTruncated.
func ReadCondition(body []byte) (Condition, error) {
	r := link.Reader{Buf: body}
	c := Condition{Node: ReadNode(&r), Reason: r.String(), Relayed: r.Bool()}
	return c, r.Err
}

// ReportCondition sends a condition to the keeper that accepts links at addr, over a separate link: the process need
// not be attached to that keeper. It fails if the keeper does not reply before the context ends.
func ReportCondition(ctx context.Context, addr string, condition Condition) error {
	conn, err := link.Dial(ctx, addr, callerOnly{}, link.DefaultOptions)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Call(ctx, KindCondition, condition.Encode())
	return err
}

// callerOnly is the handler of a link on which only replies are expected.
type callerOnly struct{}

// Message implements link.Handler.
func (callerOnly) Message(m *link.Message) { m.Fail("no calls are taken on this link") }

// Closed implements link.Handler.
func (callerOnly) Closed(*link.Conn) {}
