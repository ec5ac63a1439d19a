package forward

import (
	"bytes"
	"strconv"
)

// events takes a stream of server-sent events apart. It knows where whole events end and what
// the last of them were called.
type events struct {
	buf   []byte // what has come and not been taken
	line  int    // where the line begins that is looked at
	start int    // where the event begins that it is in
	whole int    // the end of the last whole event

	idOf   string // of the event that is looked at
	hasID  bool
	data   bool // it has data
	each   func(id string, event []byte) error
	lastID string // of the last whole event that had one
	// unnamed tells that there was an event with data and no id since then: nobody can say where
	// to go on.
	unnamed bool
	after   int64 // ids must be greater; -1: any
	err     error
}

// reset forgets all; an event must have an id beyond a number, where that is not negative.
func (s *events) reset(after int64) {
	*s = events{buf: s.buf[:0], after: after}
}

// scan looks at what has come since. It tells how many bytes belong to whole events.
func (s *events) scan() (int, error) {
	for s.err == nil {
		n := bytes.IndexByte(s.buf[s.line:], '\n')
		if n < 0 {
			break
		}
		line := s.buf[s.line : s.line+n]
		s.line += n + 1
		if len(line) > 0 && line[len(line)-1] == '\r' {
			line = line[:len(line)-1]
		}
		if len(line) == 0 {
			s.endOfEvent()
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			s.idOf, s.hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
		case "data":
			s.data = true
		}
	}
	return s.whole, s.err
}

func (s *events) endOfEvent() {
	switch {
	case s.hasID:
		if n, err := strconv.ParseInt(s.idOf, 10, 64); s.after >= 0 && (err != nil || n <= s.after) {
			s.err = errNotNext
			return
		} else if err == nil {
			s.after = n
		}
		s.lastID, s.unnamed = s.idOf, false
	case s.data:
		s.unnamed = true
	}
	if s.each != nil && (s.data || s.hasID) {
		s.err = s.each(s.idOf, s.buf[s.start:s.line])
	}
	s.idOf, s.hasID, s.data = "", false, false
	s.start, s.whole = s.line, s.line
}

// take drops the whole events.
func (s *events) take() {
	n := copy(s.buf, s.buf[s.whole:])
	s.buf = s.buf[:n]
	s.line -= s.whole
	s.start, s.whole = 0, 0
}

// dataOf joins the data lines of an event.
func dataOf(event []byte) []byte {
	var out []byte
	first := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "data" {
			continue
		}
		if !first {
			out = append(out, '\n')
		}
		first = false
		out = append(out, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return out
}
