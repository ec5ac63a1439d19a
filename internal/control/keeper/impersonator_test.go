package keeper

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// paxosMessageKind is the kind of a register's message, which follows the register's name.
type paxosMessageKind uint8

const (
	paxosQuery paxosMessageKind = iota + 1
	paxosQueryReply
	paxosPrepare
	paxosPromise
	paxosAccept
	paxosAccepted
)

// isRequest reports whether a message of this kind requests a vote.
func (k paxosMessageKind) isRequest() bool {
	return k == paxosQuery || k == paxosPrepare || k == paxosAccept
}

// isVote reports whether a message of this kind is a vote.
func (k paxosMessageKind) isVote() bool {
	return k == paxosQueryReply || k == paxosPromise || k == paxosAccepted
}

func messageKind(message []byte) paxosMessageKind {
	r := link.Reader{Buf: message}
	_ = r.String()
	return paxosMessageKind(r.U8())
}

// impersonator requests a keeper's votes under the identity of another voter that knows the newest state. It sends
// nothing that lets the keeper catch up.
type impersonator struct {
	t         *testing.T
	voter     paxos.Voter // the impersonated one
	victim    paxos.Voter
	conn      *link.Conn
	startedAt time.Time

	mu       sync.Mutex
	register *paxos.Register
	received map[paxosMessageKind]int // counts of the keeper's messages
	local    [][]byte                 // queued messages to itself
}

// impersonate connects to a keeper directly, without a relay, under the identity of another voter.
func (r *rig) impersonate(victim int, as paxos.Voter, newest paxos.State) *impersonator {
	r.t.Helper()
	k := r.running[victim].keeper
	p := &impersonator{
		t:         r.t,
		voter:     as,
		victim:    paxos.Voter{ID: k.registers.id, Name: k.self.Name, Addr: k.self.Addr},
		startedAt: time.Now(),
		received:  map[paxosMessageKind]int{},
	}
	register, err := paxos.New(paxos.Options{Name: configRegister, ID: as.ID, ProposerID: rand.Uint64() | 1, Rand: rand.Float64,
		Save: func([]byte) error { return nil }, Send: p.send, OnDecided: func(paxos.State) {}}, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	p.register = register
	p.step(func(now time.Duration) { register.Learn(now, newest) })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if p.conn, err = link.Dial(ctx, r.linkAddress(victim), p, link.DefaultOptions); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(p.conn.Close)
	w := link.Writer{}
	controlclient.Node{
		Name:        as.Name,
		Role:        controlclient.RoleKeeper,
		ID:          as.ID,
		Addr:        as.Addr,
		Incarnation: uint64(time.Now().UnixNano()),
	}.Append(&w)
	w.Bool(false)
	if _, err := p.conn.Call(ctx, controlclient.KindHello, w.Buf); err != nil {
		r.t.Fatal(err)
	}
	return p
}

// step runs a step of the register, and delivers the resulting messages to itself.
func (p *impersonator) step(do func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do(time.Since(p.startedAt))
	for len(p.local) > 0 {
		message := p.local[0]
		p.local = p.local[1:]
		p.register.Receive(time.Since(p.startedAt), p.voter, message)
	}
}

// send is called within steps.
func (p *impersonator) send(to paxos.Voter, message []byte) {
	if to.ID == p.voter.ID {
		p.local = append(p.local, message)
		return
	}
	if p.conn == nil || to.Name != p.victim.Name || !messageKind(message).isRequest() {
		return
	}
	w := link.Writer{}
	w.String(configRegister)
	w.U64(p.voter.ID)
	w.String(p.voter.Name)
	w.String(p.voter.Addr)
	w.Bytes(message)
	_ = p.conn.Send(controlclient.KindConsensus, w.Buf)
}

// Message handles the keeper's messages; it implements link.Handler.
func (p *impersonator) Message(m *link.Message) {
	if m.Kind != controlclient.KindConsensus {
		return
	}
	r := link.Reader{Buf: m.Body}
	name := r.String()
	from := paxos.Voter{ID: r.U64(), Name: r.String(), Addr: r.String()}
	message := r.Bytes()
	if r.Err != nil || name != configRegister {
		return
	}
	p.step(func(now time.Duration) {
		p.received[messageKind(message)]++
		p.register.Receive(now, from, message)
	})
}

// Closed implements link.Handler.
func (p *impersonator) Closed(*link.Conn) {}

// requestVotes starts a proposal and a read, and steps until the keeper has answered often enough. It fails if the
// keeper votes or if an operation ends.
func (p *impersonator) requestVotes() {
	p.t.Helper()
	ended := make(chan error, 2)
	p.step(func(now time.Duration) {
		p.register.Propose(now, testTimeout, func(s paxos.State) (paxos.State, error) { return s, nil }, func(_ paxos.State, err error) { ended <- err })
		p.register.Read(now, testTimeout, func(_ paxos.State, err error) { ended <- err })
	})
	const answers = 5
	eventually(p.t, "the keeper answers with its state", func() bool {
		p.step(func(now time.Duration) {
			if p.register.NextTick() <= now {
				p.register.Tick(now)
			}
		})
		p.mu.Lock()
		defer p.mu.Unlock()
		all := 0
		for kind, n := range p.received {
			if kind.isVote() {
				p.t.Fatalf("the keeper votes without knowing the state: %d messages of kind %d", n, kind)
			}
			all += n
		}
		return all >= answers
	})
	select {
	case err := <-ended:
		p.t.Errorf("an operation ended without another vote: %v", err)
	default:
	}
}

// requestLease requests the lease of a role.
func (p *impersonator) requestLease(leaseRole string) (granted bool) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	reply, err := p.conn.Call(ctx, controlclient.KindLease, leaseMessage{role: leaseRole, candidate: p.voter.Name}.encode())
	if err != nil {
		p.t.Fatal(err)
	}
	r := link.Reader{Buf: reply}
	return r.Bool()
}
