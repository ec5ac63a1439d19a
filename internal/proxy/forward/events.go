package forward

import (
	"bytes"
	"errors"
	"strconv"
)

var (
	errOutOfOrder   = errors.New("event id is not greater than the previous one")
	errEventTooLong = errors.New("event too long")
)

// eventStream parses a stream of server-sent events (WHATWG HTML, 9.2) only as far as needed to find
// the ends of complete events and their ids. Bytes are read into its buffer, scanned, forwarded and
// discarded.
type eventStream struct {
	buffer      []byte // bytes read and not yet discarded
	lineStart   int    // start of the line that is scanned next
	eventStart  int    // start of the event that this line belongs to
	completeEnd int    // end of the last complete event

	id      string // of the current event
	hasID   bool   // it has an id
	hasData bool   // it has data
	onEvent func(id string, event []byte) error
	lastID  string // of the last complete event that had one
	// lastUnnamed is true if an event with data but without an id followed it: the stream can't be
	// resumed from there.
	lastUnnamed bool
	minID       int64 // ids must be greater; -1: any
	err         error
}

// reset clears everything but the buffer's memory. If minID is not negative, the ids of events must
// be greater than it.
func (s *eventStream) reset(minID int64) {
	*s = eventStream{buffer: s.buffer[:0], minID: minID}
}

// scan scans the bytes read since the last call and returns how many bytes of the buffer belong to
// complete events.
func (s *eventStream) scan() (int, error) {
	for s.err == nil {
		length := bytes.IndexByte(s.buffer[s.lineStart:], '\n')
		if length < 0 {
			break
		}
		line := s.buffer[s.lineStart : s.lineStart+length]
		s.lineStart += length + 1
		if len(line) > 0 && line[len(line)-1] == '\r' {
			line = line[:len(line)-1]
		}
		if len(line) == 0 {
			s.endEvent()
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			s.id, s.hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		case "data":
			s.hasData = true
		}
	}
	return s.completeEnd, s.err
}

// endEvent ends the current event and checks that its id is greater than the previous one.
func (s *eventStream) endEvent() {
	switch {
	case s.hasID:
		if n, err := strconv.ParseInt(s.id, 10, 64); s.minID >= 0 && (err != nil || n <= s.minID) {
			s.err = errOutOfOrder
			return
		} else if err == nil {
			s.minID = n
		}
		s.lastID, s.lastUnnamed = s.id, false
	case s.hasData:
		s.lastUnnamed = true
	}
	if s.onEvent != nil && (s.hasData || s.hasID) {
		s.err = s.onEvent(s.id, s.buffer[s.eventStart:s.lineStart])
	}
	s.id, s.hasID, s.hasData = "", false, false
	s.eventStart, s.completeEnd = s.lineStart, s.lineStart
}

// discardComplete discards the complete events from the buffer.
func (s *eventStream) discardComplete() {
	n := copy(s.buffer, s.buffer[s.completeEnd:])
	s.buffer = s.buffer[:n]
	s.lineStart -= s.completeEnd
	s.eventStart, s.completeEnd = 0, 0
}

// eventData joins the data lines of an event.
func eventData(event []byte) []byte {
	var data []byte
	first := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "data" {
			continue
		}
		if !first {
			data = append(data, '\n')
		}
		first = false
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}
