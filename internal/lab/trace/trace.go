// Package trace defines the trace of a lab run: one JSON record per line for each event, in chronological order. internal/lab/rules
// checks it, internal/lab/figures computes statistics.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// What is the type of a record.
type What string

// The types of records. The names in parentheses are the fields that are set besides the time.
const (
	Submitted      What = "born"   // a client has a new message (id, origin, dest, class, tenant, until, share: factor on its worth)
	Accepted       What = "taken"  // the client got confirmation that its message is accepted (id, node)
	TurnedAway     What = "turned" // the client was refused or got no answer (id, node, status, wait)
	Call           What = "call"   // the last byte of a call arrived (id, node, ep, call, since: first byte)
	End            What = "end"    // a call ended (id, node, ep, call, status or "closed", wait)
	NoConn         What = "noconn" // a connection was refused or never established (node, ep)
	Conn           What = "conn"   // a connection was established (node, ep)
	Notice         What = "notice" // a node notified the platform of an end (id, node, result)
	PhaseReported  What = "told"   // discovery notified a node of an endpoint (node, ep, result: the phase)
	ListRequested  What = "ask"    // a node requested the endpoint list (node, lines)
	Fault          What = "fault"  // a fault begins or ends (result, ep or node, until)
	Collapsed      What = "fell"   // a cold destination collapsed under load (dest, share: of the calls from nodes that had seen it fail)
	Stop           What = "stop"   // a node's process is stopped (node, result: the signal, or lost)
	Start          What = "start"  // a node's process is started (node)
	Ready          What = "ready"  // a node accepts clients (node)
	ProtocolError  What = "odd"    // a protocol violation (id, node, ep, result)
	RunEnded       What = "over"   // the run ends
	Member         What = "member" // a node sees another in a new state (node, ep: the other, result, call: its incarnation)
	Net            What = "net"    // a fault between nodes begins or ends (result, lines: 1 or -1)
	Removal        What = "word"   // an operator removed a node at another one (node, ep: the removed node)
	LateSubmission What = "late"   // the lab itself was late (wait: by how much)
)

// Ends of calls that have no HTTP status.
const (
	Reset  = "reset"  // the connection broke after the last byte of the call
	Closed = "closed" // the node abandoned the call
)

// Record is one event of a trace.
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

// Writer writes records to a file. If a write fails, for instance because the disk is full, the rest of the trace is dropped, but
// the run continues.
type Writer struct {
	out    *bufio.Writer
	enc    *json.Encoder
	failed error
	count  int
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	out := bufio.NewWriterSize(w, 1<<16)
	return &Writer{out: out, enc: json.NewEncoder(out)}
}

// Add writes one record. Errors are reported by Close.
func (w *Writer) Add(r Record) {
	if w.failed != nil {
		return
	}
	w.count++
	w.failed = w.enc.Encode(r)
}

// Close flushes the trace and returns the first error of the Writer.
func (w *Writer) Close() error {
	if err := w.out.Flush(); w.failed == nil {
		w.failed = err
	}
	if w.failed != nil {
		return fmt.Errorf("the trace ends after %d records: %w", w.count, w.failed)
	}
	return nil
}

// Read calls take for each record of a trace, with bounded memory.
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
