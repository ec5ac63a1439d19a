package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dunetide/internal/deliverynode/outbox"
)

const (
	// maxMessage is the maximum size of a message other than a lease, for example a complete list.
	maxMessage = 1 << 20
	// maxQueued is the maximum number of messages queued for one member; the newest of each key is kept.
	maxQueued = 1024
	// retryAfter is the pause before a retry to a member that could not be reached.
	retryAfter = HeartbeatEvery / 5
	// fileTimeout bounds the transfer of a file and the answer to a request.
	fileTimeout = time.Second
)

// Message is a notification or request between members.
type Message struct {
	From ID              `json:"From"`
	Kind string          `json:"Kind"`
	Key  string          `json:"Key"` // a newer message of the same kind and key replaces a queued one
	At   time.Duration   `json:"At"`  // when the event was observed, by the machine's clock
	Body json.RawMessage `json:"Body"`
}

// ErrUnanswered reports that a member has not answered a request.
var ErrUnanswered = errors.New("a member has not answered")

// Notify sends a notification to all other known members, but not to those that join later. It never blocks:
// an unreachable member gets the newest message of each key once it is reachable again.
func (g *Group) Notify(kind, key string, v any) error { return g.NotifyAt(g.cfg.Clock(), kind, key, v) }

// NotifyAt is Notify for an event observed at the given time.
func (g *Group) NotifyAt(at time.Duration, kind, key string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("group: encoding notification %s: %w", kind, err)
	}
	m := Message{From: g.id, Kind: kind, Key: key, At: at, Body: body}
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	for _, p := range g.peers {
		p.Push(m.Kind+"\x00"+m.Key, m, 0)
	}
	return nil
}

// Members returns the other processes that hold a member lock now.
func (g *Group) Members() ([]ID, error) {
	ids, err := g.dir.members()
	if err != nil {
		return nil, err
	}
	var live []ID
	for _, id := range ids {
		if id == g.id {
			continue
		}
		if held, err := g.dir.locked(memberPrefix + string(id)); err != nil {
			return nil, err
		} else if held {
			live = append(live, id)
		}
	}
	return live, nil
}

// Ask sends a request to one member and waits for its answer.
func (g *Group) Ask(ctx context.Context, to ID, kind string, v, answer any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("group: asking %s: %w", kind, err)
	}
	a, err := g.exchange(ctx, to, request{Version: Version, Ask: &Message{From: g.id, Kind: kind, At: g.cfg.Clock(), Body: body}}, fileTimeout)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnanswered, to, err)
	}
	if answer == nil || len(a.Body) == 0 {
		return nil
	}
	return json.Unmarshal(a.Body, answer)
}

// File requests an open file, such as a listening socket, from a member. It returns nil without
// an error if the member has none of that name.
func (g *Group) File(ctx context.Context, from ID, name string) (*os.File, error) {
	conn, err := g.dial(ctx, from)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the exchange is over
	if err := conn.SetDeadline(time.Now().Add(fileTimeout)); err != nil {
		return nil, err
	}
	if err := writeFrame(conn, request{Version: Version, File: name}, maxFrame); err != nil {
		return nil, err
	}
	mark, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(mark, oob)
	if err != nil {
		return nil, err
	}
	if n == 0 || mark[0] != 1 {
		return nil, nil
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("no file descriptor received"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("no file descriptor received"), err)
	}
	unix.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), name), nil
}

// sendFile sends a byte that says whether the file exists, with its descriptor attached.
func (g *Group) sendFile(conn *net.UnixConn, name string) error {
	var f *os.File
	if g.cfg.File != nil {
		f = g.cfg.File(name)
	}
	if f == nil {
		_, err := conn.Write([]byte{0})
		return err
	}
	defer func() { _ = f.Close() }() // the receiver has a descriptor of its own
	_, _, err := conn.WriteMsgUnix([]byte{1}, unix.UnixRights(int(f.Fd())), nil)
	return err
}

// updatePeers starts a queue for each new live member and ends the queues of members that are gone.
func (g *Group) updatePeers(ctx context.Context, running *sync.WaitGroup) error {
	live, err := g.Members()
	if err != nil {
		return err
	}
	alive, joined := map[ID]bool{}, false
	defer func() {
		if joined && g.cfg.OnMembersJoined != nil {
			g.cfg.OnMembersJoined()
		}
	}()
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	for _, id := range live {
		alive[id] = true
		if g.peers[id] != nil {
			continue
		}
		q, peerCtx, end := outbox.New[Message](maxQueued, 0), context.Context(nil), context.CancelFunc(nil)
		peerCtx, end = context.WithCancel(ctx)
		g.peers[id], g.cancelPeer[id], joined = q, end, true
		running.Go(func() { g.notifyPeer(peerCtx, id, q) })
	}
	for id := range g.peers {
		if !alive[id] {
			g.cancelPeer[id]()
			delete(g.peers, id)
			delete(g.cancelPeer, id)
		}
	}
	return nil
}

// notifyPeer sends the queued notifications to one member, in order, until the member is gone.
func (g *Group) notifyPeer(ctx context.Context, id ID, q *outbox.Queue[Message]) {
	for {
		e, ok := q.First()
		m := e.Value
		if !ok {
			select {
			case <-q.More():
				continue
			case <-ctx.Done():
				return
			}
		}
		if _, err := g.exchange(ctx, id, request{Version: Version, Tell: &m}, callTimeout); err != nil {
			g.cfg.Log.Debug("group: sending a notification failed", "member", id, "kind", m.Kind, "err", err)
			select {
			case <-time.After(retryAfter):
			case <-ctx.Done():
				return
			}
			if held, err := g.dir.locked(memberPrefix + string(id)); err == nil && !held {
				return
			}
			continue
		}
		q.Done(e)
	}
}

// request is what one member sends another. Exactly one of Hello, Tell, Ask and File is set.
type request struct {
	Version int      `json:"Version"`
	Hello   *Hello   `json:"Hello,omitempty"`
	Tell    *Message `json:"Tell,omitempty"`
	Ask     *Message `json:"Ask,omitempty"`
	File    string   `json:"File,omitempty"`
}

func (g *Group) dial(ctx context.Context, to ID) (*net.UnixConn, error) {
	var conn net.Conn
	err := WithSocketPath(g.dir.path(socketName+string(to)), func(short string) (err error) {
		dialer := net.Dialer{Timeout: callTimeout}
		conn, err = dialer.DialContext(ctx, "unix", short)
		return err
	})
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// exchange sends a request and reads the answer.
func (g *Group) exchange(ctx context.Context, to ID, r request, within time.Duration) (reply, error) {
	conn, err := g.dial(ctx, to)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = conn.Close() }() // the exchange is over
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return reply{}, err
	}
	if err := writeFrame(conn, r, maxMessage); err != nil {
		return reply{}, err
	}
	var a reply
	if err := readFrame(conn, &a, maxMessage); err != nil {
		return reply{}, err
	}
	if a.Refused != "" {
		return reply{}, errors.New(a.Refused)
	}
	return a, nil
}

// Status is the state of the group as seen by this process.
type Status struct {
	Member     ID             `json:"member"`
	Leads      bool           `json:"leads"`
	Term       int            `json:"term"`
	Epoch      uint64         `json:"epoch"`
	Parts      int            `json:"parts"` // in force
	Whole      int            `json:"whole"`
	LeaseLeft  float64        `json:"lease_left_s"`
	Members    []MemberStatus `json:"members"`
	Queued     int            `json:"queued"`
	Dropped    int            `json:"dropped"`
	Unreadable bool           `json:"unreadable_views,omitempty"`
}

// MemberStatus is the state of one member according to the last view.
type MemberStatus struct {
	ID    ID     `json:"id"`
	Alive bool   `json:"alive"` // its lock is held
	Parts int    `json:"parts"`
	State State  `json:"state,omitempty"` // set by the coordinator only
	Age   string `json:"last_heard,omitempty"`
}

// Status returns the state of the group.
func (g *Group) Status() Status {
	g.mu.Lock()
	now := g.cfg.Clock()
	s := Status{Member: g.id, Leads: g.coordinator != nil, Term: g.term, Epoch: g.member.epoch, Parts: g.member.Parts(now), Whole: Whole,
		LeaseLeft: max(0, (g.member.lease.Until - now).Seconds()), Members: []MemberStatus{}}
	states, ages := map[ID]State{}, map[ID]time.Duration{}
	if g.coordinator != nil {
		for id, p := range g.coordinator.peers {
			states[id], ages[id] = p.state(now), now-p.lastHeard
		}
	}
	g.mu.Unlock()
	views, _, torn, err := g.dir.views()
	s.Unreadable = torn || err != nil
	if len(views) > 0 {
		for _, v := range views[len(views)-1].Shares {
			held, _ := g.dir.locked(memberPrefix + string(v.Member)) // on an error it counts as not alive
			m := MemberStatus{ID: v.Member, Alive: held, Parts: v.Parts, State: states[v.Member]}
			if age, ok := ages[v.Member]; ok {
				m.Age = age.Round(time.Millisecond).String()
			}
			s.Members = append(s.Members, m)
		}
	}
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	for _, q := range g.peers {
		queued, _, dropped := q.Len()
		s.Queued += queued
		s.Dropped += dropped
	}
	return s
}

// Leads reports whether this process is the coordinator.
func (g *Group) Leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinator != nil
}
