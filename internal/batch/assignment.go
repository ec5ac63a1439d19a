package batch

import (
	"time"

	"dunetide/internal/platform/link"
)

// assignMessage is the body of kindAssignItem: an item that a store assigns to a worker.
type assignMessage struct {
	item        itemKey
	epoch       uint64
	dueMs       int64 // time of day at which the result is due, for workers of versions without remainingMs
	maxAttempts int
	route       string // name, for workers of versions that find the route by it
	host        string
	itemID      string
	tokens      int64
	request     []byte // see encodeRequest
	// remainingMs is the time from when the message is sent until the result is due. It takes
	// precedence over dueMs, as clocks may be stepped.
	remainingMs int64
	// hasRemaining is false in messages of versions without remainingMs.
	hasRemaining bool
	// pathPrefix is that of the route by which the job was submitted; empty in messages of versions that don't state it.
	pathPrefix string
}

func (m *assignMessage) encode() []byte {
	w := link.Writer{Buf: make([]byte, 0, len(m.request)+200)}
	w.U32(uint32(m.item.partition))
	w.U64(m.epoch)
	w.String(m.item.jobID)
	w.U32(uint32(m.item.index))
	w.Int(int(m.dueMs))
	w.Int(m.maxAttempts)
	w.String(m.route)
	w.String(m.host)
	w.String(m.itemID)
	w.Int(int(m.tokens))
	w.Bytes(m.request)
	w.Int(int(m.remainingMs))
	if m.pathPrefix != "" {
		w.String(m.pathPrefix)
	}
	return w.Buf
}

func decodeAssignMessage(body []byte) (assignMessage, error) {
	r := link.Reader{Buf: body}
	var m assignMessage
	m.item.partition = int(r.U32())
	m.epoch = r.U64()
	m.item.jobID = r.String()
	m.item.index = int(r.U32())
	m.dueMs = int64(r.Int())
	m.maxAttempts = r.Int()
	m.route = r.String()
	m.host = r.String()
	m.itemID = r.String()
	m.tokens = int64(r.Int())
	m.request = r.Bytes()
	if m.hasRemaining = len(r.Buf) > 0; m.hasRemaining {
		m.remainingMs = int64(r.Int())
	}
	if len(r.Buf) > 0 {
		m.pathPrefix = r.String()
	}
	return m, r.Err
}

// toItem returns the item for the worker to run, given that the message was received at now.
func (m *assignMessage) toItem(now time.Time) (*Item, error) {
	path, headers, body, err := decodeRequest(m.request)
	if err != nil {
		return nil, err
	}
	due := time.UnixMilli(m.dueMs)
	if m.hasRemaining {
		due = now.Add(time.Duration(m.remainingMs) * time.Millisecond)
	}
	return &Item{
		Job:     m.item.jobID,
		ID:      m.itemID,
		Host:    m.host,
		Path:    path,
		Headers: headers,
		Body:    body,
		Tokens:  m.tokens,
		Due:     due,

		PathPrefix: m.pathPrefix,
	}, nil
}
