// Package trace defines the trace of a run of the lab: one record for each event, in the order of time, as lines
// of JSON. internal/lab/rules checks it, internal/lab/figures counts it.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// What names what a record tells.
type What string

// What is recorded. The word in brackets says which fields are set beside the time.
const (
	Born   What = "born"   // a client has a message (id, origin, dest, class, tenant, until, share: of its worth)
	Taken  What = "taken"  // its client heard that it is taken on (id, node)
	Turned What = "turned" // its client heard a no, or nothing (id, node, status, wait)
	Call   What = "call"   // the last byte of a call came (id, node, ep, call, since: first byte)
	End    What = "end"    // a call ended (id, node, ep, call, status or "closed", wait)
	NoConn What = "noconn" // a connection was refused or never came up (node, ep)
	Conn   What = "conn"   // a connection came up (node, ep)
	Notice What = "notice" // a node told the platform of an end (id, node, result)
	Told   What = "told"   // a node was told of an endpoint (node, ep, result: the phase)
	Ask    What = "ask"    // a node asked for the list (node, lines)
	Fault  What = "fault"  // a trouble begins or ends (result, ep or node, until)
	Fell   What = "fell"   // a cold destination fell over (dest, share: of those who knew)
	Stop   What = "stop"   // a node's process is ended (node, result: the signal, or lost)
	Start  What = "start"  // a node's process is started (node)
	Ready  What = "ready"  // a node takes clients (node)
	Odd    What = "odd"    // something that no protocol allows (id, node, ep, result)
	Over   What = "over"   // the run ends
	Member What = "member" // a node sees another in a new state (node, ep: the other, result, call: its incarnation)
	Net    What = "net"    // a fault between nodes begins or ends (result, lines: 1 or -1)
	Word   What = "word"   // the staff told a node that another is gone (node, ep: the other)
	Late   What = "late"   // the lab itself fell behind (wait: by so much)
)

// Ends of calls that have no status.
const (
	Reset  = "reset"  // the connection broke after the last byte
	Closed = "closed" // the node gave up
)

// Record is one thing that was seen.
type Record struct {
	At     time.Duration `json:"t"`
	What   What          `json:"what"`
	ID     string        `json:"id,omitempty"`
	Origin string        `json:"origin,omitempty"` // the id of the client's first try
	Node   int           `json:"node,omitempty"`
	EP     int           `json:"ep,omitempty"`
	Dest   int           `json:"dest,omitempty"`
	Class  int           `json:"class,omitempty"`
	Tenant int           `json:"tenant,omitempty"`
	Call   uint64        `json:"call,omitempty"`
	Status int           `json:"status,omitempty"`
	Result string        `json:"result,omitempty"`
	Since  time.Duration `json:"since,omitempty"`
	Until  time.Duration `json:"until,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	Share  float64       `json:"share,omitempty"`
	Lines  int           `json:"lines,omitempty"`
}

// Writer writes records to a file. A file that is full ends the writing, not the run.
type Writer struct {
	out    *bufio.Writer
	enc    *json.Encoder
	failed error
	count  int
}

// NewWriter begins a trace.
func NewWriter(w io.Writer) *Writer {
	out := bufio.NewWriterSize(w, 1<<16)
	return &Writer{out: out, enc: json.NewEncoder(out)}
}

// Add writes one record; what can't be written is lost, and Close says so.
func (w *Writer) Add(r Record) {
	if w.failed != nil {
		return
	}
	w.count++
	w.failed = w.enc.Encode(r)
}

// Close writes what is left and tells of the first failure.
func (w *Writer) Close() error {
	if err := w.out.Flush(); w.failed == nil {
		w.failed = err
	}
	if w.failed != nil {
		return fmt.Errorf("the trace ends after %d records: %w", w.count, w.failed)
	}
	return nil
}

// Read hands each record of a trace to a function, with bounded memory.
func Read(r io.Reader, take func(Record)) error {
	dec := json.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	for n := 1; ; n++ {
		var rec Record
		if err := dec.Decode(&rec); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("record %d of the trace: %w", n, err)
		}
		take(rec)
	}
}
