package controlclient

import (
	"context"

	"dunetide/internal/platform/link"
)

// Trouble is what keeps a process from its work. The process tells a keeper of it again and again while it lasts, and that
// keeper tells the others.
type Condition struct {
	Node   Node
	Reason string // for operators; empty: it is over
	// Relayed says that a keeper passes on what a process told it.
	Relayed bool
}

// Encode writes the message of a trouble.
func (t *Condition) Encode() []byte {
	w := link.Writer{}
	t.Node.Append(&w)
	w.String(t.Reason)
	w.Bool(t.Relayed)
	return w.Buf
}

// ReadTrouble reads the message of a trouble.
func ReadCondition(body []byte) (Condition, error) {
	r := link.Reader{Buf: body}
	t := Condition{Node: ReadNode(&r), Reason: r.String(), Relayed: r.Bool()}
	return t, r.Err
}

// callerOnly handles a link over which only replies are awaited.
type callerOnly struct{}

func (callerOnly) Message(m *link.Message) { m.Fail("no calls are taken on this link") }
func (callerOnly) Closed(*link.Conn)       {}

// ReportTrouble tells the keeper whose links are at an address. The process need not be attached to it.
func ReportCondition(ctx context.Context, addr string, t Condition) error {
	conn, err := link.Dial(ctx, addr, callerOnly{}, link.DefaultOptions)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Call(ctx, KindCondition, t.Encode())
	return err
}
