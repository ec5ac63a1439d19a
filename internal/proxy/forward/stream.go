package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// maxEvent is the maximum size of one event of a stream.
const maxEvent = 4 << 20

// forwardEvents forwards a stream: each event as soon as it is complete. After a retry the events
// continue after the last one that the client received.
func (x *exchange) forwardEvents(w http.ResponseWriter, rc *http.ResponseController) attempt.Event {
	minID := int64(-1)
	if x.headSent {
		minID, _ = strconv.ParseInt(x.lastEventID, 10, 64) // 0 for an id that is not a number
	}
	lastID := x.stream.lastID
	x.stream.reset(minID)
	x.stream.lastID = lastID
	return x.readEvents(func(whole []byte, end bool) error {
		if !x.headSent {
			x.writeHead(w, -1)
		}
		if len(whole) > 0 {
			if _, err := w.Write(whole); err != nil {
				return err
			}
		}
		if end { // flushed with the end of the body
			return nil
		}
		return rc.Flush()
	})
}

// readEvents reads the answer's body as events and calls forward with the bytes of complete ones; at a
// proper end of the body it calls forward with the remaining bytes and end set.
func (x *exchange) readEvents(forward func(complete []byte, end bool) error) attempt.Event {
	s := &x.stream
	for {
		if len(s.buffer) == cap(s.buffer) {
			if len(s.buffer) > maxEvent {
				return x.finishTruncated(errEventTooLong)
			}
			s.buffer = append(s.buffer, 0)[:len(s.buffer)]
		}
		n, err := x.response.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
		s.buffer = s.buffer[:len(s.buffer)+n]
		complete, invalid := s.scan()
		if errors.Is(err, io.EOF) && invalid == nil {
			x.connection.MarkComplete(x.response)
			x.finish(dispatch.Served, upstream.Answered)
			if forward(s.buffer, true) != nil {
				return attempt.ClientCanceled
			}
			return attempt.BodyComplete
		}
		if complete > 0 {
			if forward(s.buffer[:complete], false) != nil {
				x.finish(dispatch.Canceled, upstream.Canceled)
				return attempt.ClientCanceled
			}
			s.discardComplete()
		}
		if invalid != nil { // only now, as lastID covers the valid events before it
			return x.finishTruncated(invalid)
		}
		if err != nil {
			return x.finishTruncated(err)
		}
	}
}
