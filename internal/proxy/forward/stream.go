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

// maxEvent bounds one event of a stream.
const maxEvent = 4 << 20

// forwardEvents forwards a stream: each event as it comes, and only complete ones. After a retry
// the events continue those that the client has.
func (x *exchange) forwardEvents(w http.ResponseWriter, rc *http.ResponseController) attempt.Event {
	minID := int64(-1)
	if x.headSent {
		minID, _ = strconv.ParseInt(x.lastEventID, 10, 64) // an id that is no number can't be compared: 0
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
		if end { // goes out with the end of the body
			return nil
		}
		return rc.Flush()
	})
}

// readEvents reads the answer's body as events and calls a function with the bytes of those that
// are complete, last with what remains at the end of the body, which the endpoint has ended
// properly.
func (x *exchange) readEvents(forward func(whole []byte, end bool) error) attempt.Event {
	s := &x.stream
	for {
		if len(s.buffer) == cap(s.buffer) {
			if len(s.buffer) > maxEvent {
				return x.finishCut(errEventTooLong)
			}
			s.buffer = append(s.buffer, 0)[:len(s.buffer)]
		}
		n, err := x.response.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
		s.buffer = s.buffer[:len(s.buffer)+n]
		whole, invalid := s.scan()
		if errors.Is(err, io.EOF) && invalid == nil {
			x.connection.MarkComplete(x.response)
			x.finish(dispatch.Served, upstream.Answered)
			if forward(s.buffer, true) != nil {
				return attempt.ClientCanceled
			}
			return attempt.BodyComplete
		}
		if whole > 0 {
			if forward(s.buffer[:whole], false) != nil {
				x.finish(dispatch.Canceled, upstream.Canceled)
				return attempt.ClientCanceled
			}
			s.discardWhole()
		}
		if invalid != nil { // after what was valid before it, as lastID counts that
			return x.finishCut(invalid)
		}
		if err != nil {
			return x.finishCut(err)
		}
	}
}
