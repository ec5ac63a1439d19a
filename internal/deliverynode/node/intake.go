package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunetide/internal/deliverynode/journal"
)

const (
	maxID = 256
	// rejectedRetryAfter is the Retry-After of a rejected message.
	rejectedRetryAfter = time.Second
	// maxTimeout is the longest time-out that a client may request.
	maxTimeout = 24 * time.Hour
)

// intake accepts messages from clients. A message is journaled before its request is answered; from then on the node must
// deliver it or report that it was not delivered.
type intake struct {
	names       names
	keyRequired []bool // per class: a message needs a key
	journal     *journal.Journal
	owner       *ownership
	log         *slog.Logger
	maxHeld     int
	accept      func(*journal.Message)

	mu       sync.Mutex
	held     map[string]bool // ids of messages that have not ended; true once accepted
	endedIDs *journal.IDRing // shared with the journal: ids of accepted messages that have ended
	closing  bool            // responses close their connections
	refuse   bool            // no more messages are accepted

	copies    *copies       // copies of the journal on other nodes; nil without copies
	processes *processGroup // the other processes of the node; nil where there are none
	noShare   bool          // this process has no share of the node's limits at the moment
}

// badRequest is an error of the client.
type badRequest struct {
	status int
	text   string
}

// Error returns the text for the client.
func (b badRequest) Error() string { return b.text }

// ServeHTTP handles the request of a client.
func (in *intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http ignores the Content-Length of a chunked request and ends the body at the last chunk. By that length, the
	// bytes after it may still be body, so they must not be read as another request.
	if in.isClosing() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "GET only", http.StatusMethodNotAllowed)
			return
		}
		if in.isRefusing() {
			in.sendUnavailable(w, "stopping")
			return
		}
		if in.journal.Failed() != nil {
			in.sendUnavailable(w, "the disk failed")
			return
		}
		_, _ = io.WriteString(w, "ok\n") // the client may have disconnected
		return
	}
	m, err := in.read(r)
	var bad badRequest
	switch {
	case errors.As(err, &bad):
		// The client may disagree on where such a request ends.
		w.Header().Set("Connection", "close")
		if bad.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", http.MethodPost)
		}
		in.log.Warn("intake: bad request", "status", bad.status, "why", bad.text)
		http.Error(w, bad.text, bad.status)
		return
	case err != nil:
		in.log.Warn("intake: incomplete request", "err", err)
		http.Error(w, "the body could not be read", http.StatusBadRequest)
		return
	}
	// The request's context is not checked: it also ends when a client has only closed its sending side and waits for the
	// response.
	status, why := in.submit(m)
	if in.isClosing() { // meanwhile
		w.Header().Set("Connection", "close")
	}
	switch status {
	case http.StatusAccepted:
		w.WriteHeader(status)
	case http.StatusServiceUnavailable:
		in.sendUnavailable(w, why)
	default:
		http.Error(w, why, status)
	}
}

// submit accepts a message, here or in the process that has taken over.
func (in *intake) submit(m *journal.Message) (status int, why string) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
		to, err := in.owner.owner(ctx)
		cancel()
		if err != nil {
			return http.StatusServiceUnavailable, "no process takes messages"
		}
		if to != nil {
			return in.forward(to, m)
		}
		switch acceptedElsewhere, err := in.acceptedElsewhere(m); {
		case acceptedElsewhere:
			return http.StatusAccepted, ""
		case err != nil && in.copies.RunsOnce(m.Class): // another node may have it, and both would send it
			return http.StatusServiceUnavailable, err.Error()
		}
		again, ok := in.reserve(m.ID)
		if again { // resent by a client that did not receive the response
			return http.StatusAccepted, ""
		}
		if !ok {
			return http.StatusServiceUnavailable, "the hold is full"
		}
		switch err := in.record(m); {
		case errors.Is(err, errNotReady): // nothing was written
			in.ended(m.ID)
			return http.StatusServiceUnavailable, err.Error()
		case err == nil:
			in.accepted(m.ID)
			in.accept(m)
			return http.StatusAccepted, ""
		case errors.Is(err, journal.ErrReleased):
			in.ended(m.ID) // the next iteration forwards it to the new owner
		case errors.Is(err, journal.ErrNotDurable): // it may be sent, so a retry may not be safe
			in.ended(m.ID)
			in.log.Error("intake: message not durable", "id", m.ID, "err", err)
			return http.StatusInternalServerError, "not known to be taken on"
		default:
			in.ended(m.ID)
			if !errors.Is(err, journal.ErrFull) && !errors.Is(err, journal.ErrFailed) {
				in.log.Error("intake: message not journaled", "id", m.ID, "err", err)
			}
			return http.StatusServiceUnavailable, "the journal takes no more"
		}
	}
}

// acceptedElsewhere reports whether another process of this node or another node of the fleet has a message. It returns an error if
// that can't be determined.
func (in *intake) acceptedElsewhere(m *journal.Message) (bool, error) {
	if in.processes != nil && in.processes.hasMessage(m.ID) {
		return true, nil
	}
	if in.copies == nil {
		return false, nil
	}
	return in.copies.keeper.Elsewhere(m.ID)
}

// errNotReady is returned if a message was refused before anything of it was written.
var errNotReady = errors.New("this node takes no messages now")

// record writes a message to the journal, and with -copies waits until other nodes have copies of it. It waits first
// until this node has the lease on its log and enough copies. A message that is written but not copied in time is ended,
// because it is unknown whether the copies have it.
func (in *intake) record(m *journal.Message) error {
	if in.copies == nil {
		return in.journal.Accept(m)
	}
	ctx, cancel := in.copies.waitContext()
	defer cancel()
	if err := in.copies.keeper.Own().AwaitReady(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotReady, err)
	}
	if err := in.journal.Accept(m); err != nil {
		return err
	}
	if err := in.copies.copiedWithin(ctx, []*journal.Journal{in.journal}, in.copies.wanted); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", journal.ErrNotDurable, err), in.journal.Closed(m, "", time.Now()))
	}
	return nil
}

// forward forwards a message to the process that has taken over.
func (in *intake) forward(to *link, m *journal.Message) (status int, why string) {
	a, sent, err := to.send(passedOn{Message: &handedIn{ID: m.ID, Key: m.Key, Class: m.Class, Dest: m.Dest,
		Deadline: m.Deadline, Body: m.Body}})
	if err == nil {
		return a.Status, a.Text
	}
	in.log.Error("handover: forwarding a message failed", "id", m.ID, "err", err)
	if sent { // it may have been accepted, so a retry may not be safe
		return http.StatusInternalServerError, "not known to be taken on"
	}
	return http.StatusServiceUnavailable, "no process takes messages"
}

// read checks a request and reads its message.
func (in *intake) read(r *http.Request) (*journal.Message, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := in.names.classes[name]
	if !ok {
		return nil, badRequest{http.StatusNotFound, "no such path"}
	}
	if r.Method != http.MethodPost {
		return nil, badRequest{http.StatusMethodNotAllowed, "POST only"}
	}
	bad := func(format string, args ...any) error {
		return badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
	}
	if r.Header.Get("X-Priority-Class") != name {
		return nil, bad("X-Priority-Class must name the class of the path")
	}
	m := &journal.Message{ID: r.Header.Get("X-Request-ID"), Key: r.Header.Get("Idempotency-Key"), Class: class}
	if !validToken(m.ID) {
		return nil, bad("X-Request-ID is missing or malformed")
	}
	if in.keyRequired[class] && m.Key == "" || m.Key != "" && !validToken(m.Key) {
		return nil, bad("Idempotency-Key is missing or malformed")
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return nil, bad("X-Timeout-Ms is missing or malformed")
	}
	m.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	if m.Dest, err = destination(r.Header.Get("X-Route-To")); err != nil {
		return nil, bad("X-Route-To: %v", err)
	}
	if r.ContentLength < 0 || r.Header.Get("Content-Length") == "" {
		return nil, bad("Content-Length is missing")
	}
	if r.ContentLength > journal.MaxBody {
		return nil, badRequest{http.StatusRequestEntityTooLarge, "over 64 KiB"}
	}
	m.Body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, m.Body); err != nil {
		return nil, fmt.Errorf("reading the body: %w", err)
	}
	return m, nil
}

// validToken reports whether an id or a key is valid in a header and in a line of a bundle.
func validToken(s string) bool {
	return s != "" && len(s) <= maxID && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// destination parses the field dest=7 of a header that may have other fields.
func destination(s string) (int, error) {
	for _, field := range strings.FieldsFunc(s, func(c rune) bool { return c == ',' || c == ';' || c == ' ' }) {
		if v, ok := strings.CutPrefix(field, "dest="); ok {
			n, err := strconv.ParseUint(v, 10, 16)
			if err != nil {
				return 0, errors.New("dest is no number of a destination")
			}
			return int(n), nil
		}
	}
	return 0, errors.New("dest is missing")
}

// reserve reserves capacity for a message. Again reports that the message was accepted before: it is held or has ended, and
// is not accepted a second time.
func (in *intake) reserve(id string) (again, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.endedIDs.Has(id) {
		return true, false
	}
	if taken, known := in.held[id]; known {
		return taken, false
	}
	if in.refuse || in.noShare || in.processes != nil && !in.processes.group.MaySend() || in.maxHeld > 0 && len(in.held) >= in.maxHeld {
		return false, false
	}
	in.held[id] = false
	return false, true
}

// accepted marks a message as journaled, by this process or an earlier one.
func (in *intake) accepted(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.held[id] = true
}

func (in *intake) count() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.held)
}

// ended frees the capacity of a message, and keeps the id of one that was accepted.
func (in *intake) ended(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.held[id] {
		in.endedIDs.Add(id)
	}
	delete(in.held, id)
}

// addInherited adds a message that another process or node accepted and that this one has taken over, so that it is not accepted
// a second time.
func (in *intake) addInherited(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.endedIDs.Has(id) {
		in.held[id] = true
	}
}

// has reports whether a message is held here or has ended.
func (in *intake) has(id string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.held[id] || in.endedIDs.Has(id)
}

// share sets this process's share of the node's limit on held messages.
func (in *intake) share(most int, none bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.maxHeld, in.noShare = most, none
}

// addEnded adds the id of a message that ended in an earlier process of the node.
func (in *intake) addEnded(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.endedIDs.Add(id)
}

// close makes every response the last of its connection, so that clients reconnect elsewhere and no request is cut off.
func (in *intake) close(refuse bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closing, in.refuse = true, refuse
}

func (in *intake) isClosing() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.closing
}

func (in *intake) isRefusing() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.refuse
}

// sendUnavailable rejects a request with a response that makes a retry safe.
func (in *intake) sendUnavailable(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(rejectedRetryAfter.Seconds(), 'f', -1, 64))
	http.Error(w, why, http.StatusServiceUnavailable)
}
