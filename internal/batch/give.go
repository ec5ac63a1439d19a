package batch

import (
	"time"

	"dunetide/internal/platform/link"
)

// giveMessage is the body of a kGive: an item that a store hands to a worker.
type giveMessage struct {
	key   itemKey
	epoch uint64
	// dueMs is the time of day at which the result is due, for workers of the versions that do not know leftMs.
	dueMs   int64
	tries   int
	route   string
	host    string
	itemID  string
	tokens  int64
	segment []byte
	// leftMs is how long after the message was sent the result is due. It counts in place of dueMs, as clocks may be stepped.
	leftMs int64
	// hasLeft is false in messages of the versions that do not know leftMs.
	hasLeft bool
}

func (g *giveMessage) encode() []byte {
	w := link.Writer{B: make([]byte, 0, len(g.segment)+200)}
	w.U32(uint32(g.key.part))
	w.U64(g.epoch)
	w.String(g.key.job)
	w.U32(uint32(g.key.item))
	w.Int(int(g.dueMs))
	w.Int(g.tries)
	w.String(g.route)
	w.String(g.host)
	w.String(g.itemID)
	w.Int(int(g.tokens))
	w.Bytes(g.segment)
	w.Int(int(g.leftMs))
	return w.B
}

func decodeGive(body []byte) (giveMessage, error) {
	r := link.Reader{B: body}
	var g giveMessage
	g.key.part = int(r.U32())
	g.epoch = r.U64()
	g.key.job = r.String()
	g.key.item = int(r.U32())
	g.dueMs = int64(r.Int())
	g.tries = r.Int()
	g.route = r.String()
	g.host = r.String()
	g.itemID = r.String()
	g.tokens = int64(r.Int())
	g.segment = r.Bytes()
	if g.hasLeft = len(r.B) > 0; g.hasLeft {
		g.leftMs = int64(r.Int())
	}
	return g, r.Err
}

// item is what the worker is to run.
func (g *giveMessage) item(now time.Time) (*Item, error) {
	path, headers, body, err := decodeSegment(g.segment)
	if err != nil {
		return nil, err
	}
	due := time.UnixMilli(g.dueMs)
	if g.hasLeft {
		due = now.Add(time.Duration(g.leftMs) * time.Millisecond)
	}
	return &Item{Job: g.key.job, ID: g.itemID, Route: g.route, Host: g.host, Path: path, Headers: headers, Body: body,
		Tokens: g.tokens, Due: due}, nil
}
