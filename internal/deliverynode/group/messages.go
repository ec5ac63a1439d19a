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
	// maxMessage bounds what members tell each other beside leases: a whole list, say.
	maxMessage = 1 << 20
	// maxQueued bounds what waits for one member; the newest of each key is kept.
	maxQueued = 1024
	// retryAfter is how long a member is left alone that could not be reached.
	retryAfter = HeartbeatEvery / 5
	// fileTimeout is for handing on a file, and for an answer to a question.
	fileTimeout = time.Second
)

// Message is what members tell and ask each other.
type Message struct {
	From ID              `json:"From"`
	Kind string          `json:"Kind"`
	Key  string          `json:"Key"` // of two of one kind that wait, the newer one replaces the older
	At   time.Duration   `json:"At"`  // by the machine's own clock, when it was seen
	Body json.RawMessage `json:"Body"`
}

// ErrUnanswered says that a member has not answered a question.
var ErrUnanswered = errors.New("a member has not answered")

// Notify lets all other members know, those that join soon after not among them. It never
// waits: to a member that is out of touch the newest of each key is told when it is back.
func (g *Group) Notify(kind, key string, v any) error { return g.NotifyAt(g.cfg.Clock(), kind, key, v) }

// NotifyAt tells of something that was seen at another moment.
func (g *Group) NotifyAt(at time.Duration, kind, key string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("group: telling %s: %w", kind, err)
	}
	m := Message{From: g.id, Kind: kind, Key: key, At: at, Body: body}
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	for _, p := range g.peers {
		p.Push(m.Kind+"\x00"+m.Key, m, 0)
	}
	return nil
}

// Members are the other processes that hold a member's lock now.
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

// Ask puts a question to one member and waits for its answer.
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

// File asks a member for a file that it has open, such as a listening socket. Nil without
// an error says that it has none of that name.
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
		return nil, errors.Join(errors.New("no file came"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("no file came"), err)
	}
	unix.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), name), nil
}

// sendFile gives a file on: a byte that says whether there is one, and the file with it.
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

// updatePeers keeps a queue for each other member that lives, and ends those of the dead.
func (g *Group) updatePeers(ctx context.Context, running *sync.WaitGroup) error {
	live, err := g.Members()
	if err != nil {
		return err
	}
	there, met := map[ID]bool{}, false
	defer func() {
		if met && g.cfg.Met != nil {
			g.cfg.Met()
		}
	}()
	g.peersMu.Lock()
	defer g.peersMu.Unlock()
	for _, id := range live {
		there[id] = true
		if g.peers[id] != nil {
			continue
		}
		q, life, end := outbox.New[Message](maxQueued, 0), context.Context(nil), context.CancelFunc(nil)
		life, end = context.WithCancel(ctx)
		g.peers[id], g.cancelPeer[id], met = q, end, true
		running.Go(func() { g.notifyPeer(life, id, q) })
	}
	for id := range g.peers {
		if !there[id] {
			g.cancelPeer[id]()
			delete(g.peers, id)
			delete(g.cancelPeer, id)
		}
	}
	return nil
}

// notifyPeer tells one member what it is to know, in order, until it is gone.
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
			g.cfg.Log.Debug("group: telling", "member", id, "kind", m.Kind, "err", err)
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

// request is what one member sends another: one of these.
type request struct {
	Version int      `json:"Version"`
	Hello   *Hello   `json:"Hello,omitempty"`
	Tell    *Message `json:"Tell,omitempty"`
	Ask     *Message `json:"Ask,omitempty"`
	File    string   `json:"File,omitempty"`
}

func (g *Group) dial(ctx context.Context, to ID) (*net.UnixConn, error) {
	var conn net.Conn
	err := AtSocket(g.dir.path(socketName+string(to)), func(short string) (err error) {
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

// Status is how the group looks from here.
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

// MemberStatus is how one member stands, by the last view.
type MemberStatus struct {
	ID    ID     `json:"id"`
	Alive bool   `json:"alive"` // it holds its lock
	Parts int    `json:"parts"`
	State State  `json:"state,omitempty"` // as the coordinator sees it; only there
	Age   string `json:"last_heard,omitempty"`
}

// Status tells of the group.
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
			held, _ := g.dir.locked(memberPrefix + string(v.Member)) // one that can't be told counts as gone
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

// Leads tells whether this process coordinates.
func (g *Group) Leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinator != nil
}
